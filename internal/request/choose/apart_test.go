package choose

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSuspectsDontMeet: requests that were in flight at a crash only get targets where
// no other such request of any node runs; without such a target they are not placed.
// All other requests may still get every target.
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
	is.Equal(table.OwnInFlight()["t0"], InFlight{Online: 1, Apart: 1}) // reported to other nodes
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
