package target

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a repeated send that is taken for the first one, so that a copy of the refusal of
// the first is believed: sends are remembered for sendsKeptFor, and beside many others.
func TestSendsAreRemembered(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var s Sends
	is.Equal(s.Begin(now, "process", "request"), 0)
	is.Equal(s.Begin(now, "other", "request"), 0)
	is.Equal(s.Begin(now, "process", "other"), 0)
	is.Equal(s.Begin(now, "process", "request"), 1)
	is.Equal(s.Begin(now.Add(sendsKeptFor), "process", "request"), 2)
	for i := range maxSends - 2 {
		s.Begin(now, "process", fmt.Sprint(i))
	}
	is.Equal(s.Begin(now.Add(sendsKeptFor), "process", "request"), 3)
}

// Guards against a request that is given up as one that may have run, though nothing of it was sent.
func TestUndoneSendIsForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var s Sends
	s.Begin(now, "process", "request")
	s.Undo("process", "request")
	is.Equal(s.Begin(now, "process", "request"), 0)
}
