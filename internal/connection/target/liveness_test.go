package target

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const silent = 100 * time.Millisecond

// replacedAfter has an attempt that brings something at the times given hear of its
// target's next start at one time, and returns when it counts as lost; 0: it does not.
func replacedAfter(t *testing.T, news time.Duration, brought ...time.Duration) (lost time.Duration) {
	synctest.Test(t, func(*testing.T) {
		began := time.Now()
		l := &Liveness{}
		defer l.Stop()
		for _, at := range brought {
			time.AfterFunc(at, l.EventReceived)
		}
		time.AfterFunc(news, func() { l.TargetRestarted(silent, func() { lost = time.Since(began) }) })
		time.Sleep(10 * time.Second)
	})
	return lost
}

// TestSilentAttemptIsLost: at once if it was silent for long, and otherwise when it would
// have brought something.
func TestSilentAttemptIsLost(t *testing.T) {
	is := is.New(t)
	is.Equal(replacedAfter(t, 3*time.Second, 20*time.Millisecond, 500*time.Millisecond), 3*time.Second)
	is.Equal(replacedAfter(t, 550*time.Millisecond, 500*time.Millisecond), 600*time.Millisecond)
	is.Equal(replacedAfter(t, 30*time.Millisecond), 30*time.Millisecond) // it never brought anything
}

// TestAttemptThatBringsMoreGoesOn: it runs at the next process already.
func TestAttemptThatBringsMoreGoesOn(t *testing.T) {
	is := is.New(t)
	is.Equal(replacedAfter(t, 550*time.Millisecond, 500*time.Millisecond, 590*time.Millisecond), time.Duration(0))
	is.Equal(replacedAfter(t, 50*time.Millisecond, 40*time.Millisecond, 120*time.Millisecond), time.Duration(0))
}

// TestEndedAttemptIsNotLost: neither news before its end nor after it matters.
func TestEndedAttemptIsNotLost(t *testing.T) {
	l := &Liveness{}
	l.EventReceived()
	l.TargetRestarted(time.Hour, func() { t.Error("lost") })
	l.Stop()
	l.TargetRestarted(0, func() { t.Error("lost after its end") })
}
