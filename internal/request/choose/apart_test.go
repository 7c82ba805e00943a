package choose

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSuspectsDontMeet: requests that were in flight at a crash run at targets where no
// other such request does, at whatever node; where there is none they are not placed.
// Others take every target as before.
func TestSuspectsDontMeet(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	table := New(Config{Policy: LeastOfFew, EjectAfter: 3, EjectTime: time.Second})
	var targets []Target
	for n := range 3 {
		targets = append(targets, Target{ID: fmt.Sprint("t", n), Incarnation: 1, Service: "s", Slots: 8})
	}
	table.SetTargets(targets)
	suspect := Need{Service: "s", Apart: true}
	table.SetNode("other", map[string]InFlight{"t2": {Online: 1, Apart: 1}})
	placed := map[string]bool{}
	for range 2 {
		target, ok := table.Choose(now, suspect)
		is.True(ok && target.Apart && target.ID != "t2" && !placed[target.ID])
		placed[target.ID] = true
		table.Begin(target.ID)
		table.BeginApart(target.ID)
	}
	is.Equal(table.OwnInFlight()["t0"], InFlight{Online: 1, Apart: 1}) // told to others
	_, ok := table.Choose(now, suspect)
	is.True(!ok)
	target, ok := table.Choose(now, Need{Service: "s"})
	is.True(ok && !target.Apart)
	table.SetNode("other", nil)
	target, ok = table.Choose(now, suspect)
	is.True(ok)
	is.Equal(target.ID, "t2")
	table.EndApart("t0")
	table.Begin("t2")
	table.BeginApart("t2")
	target, ok = table.Choose(now, suspect)
	is.True(ok)
	is.Equal(target.ID, "t0")
}
