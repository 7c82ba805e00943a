package choose

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/marblepond/marblepond/internal/request/warmup"
)

const (
	coldFor  = 3 * time.Second
	coldRate = 8.0
)

// centresTable returns a table with targets of 8 slots in three data centres; the node
// is in the first one.
func centresTable(targets int, position warmup.Position) *Table {
	t := New(Config{EjectAfter: 3, EjectTime: time.Second, Policy: LeastOfFew, LocalDataCentre: "dc0",
		WarmUp: func(string) warmup.Rate { return warmup.Rate{Time: coldFor, PerSecond: coldRate} }})
	var list []Target
	for i := range targets {
		list = append(list, Target{ID: fmt.Sprintf("t%d", i), Incarnation: 1, Service: "s", DataCentre: fmt.Sprintf("dc%d", i%3), Slots: 8})
	}
	t.SetTargets(list)
	t.SetPosition(position)
	return t
}

// TestEvacuatedTargetsGetNothing: neither requests nor batch items go to a data centre
// while it is evacuated, whatever is reported about its targets meanwhile.
func TestEvacuatedTargetsGetNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := centresTable(9, warmup.Position{Index: 0, Nodes: 1})
		now := start
		evacuated := map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				clear(evacuated)
				var names []string
				for _, name := range []string{"dc0", "dc1", "dc2", "unknown"} {
					if rapid.Bool().Draw(t, name) {
						evacuated[name], names = true, append(names, name)
					}
				}
				tab.SetEvacuated(now, names)
			case 1:
				tab.MarkWarmingUp(now, "t1", 1, time.Duration(rapid.IntRange(0, 4000).Draw(t, "cold ms"))*time.Millisecond)
			case 2:
				tab.MarkSaturated(now, "t0")
			default:
				need := Need{Service: "s", Batch: rapid.Bool().Draw(t, "batch"), Overflow: 4}
				if target, ok := tab.Choose(now, need); ok && evacuated[target.DataCentre] {
					t.Fatalf("%s of %s was chosen", target.ID, target.DataCentre)
				}
			}
		}
		if tab.AllEvacuated("s") != (evacuated["dc0"] && evacuated["dc1"] && evacuated["dc2"]) {
			t.Fatalf("evacuated: %v; all: %v", evacuated, tab.AllEvacuated("s"))
		}
	})
}

// TestLeavingTargetsAreNotTakenForEvacuated: if all targets are leaving, the service does
// not count as evacuated, because new targets may come and requests wait for them.
func TestLeavingTargetsAreNotTakenForEvacuated(t *testing.T) {
	is := is.New(t)
	tab := centresTable(3, warmup.Position{Index: 0, Nodes: 1})
	is.True(!tab.AllEvacuated("s"))
	is.True(!tab.AllEvacuated("a service without targets"))
	for _, id := range []string{"t0", "t1", "t2"} {
		tab.MarkLeaving(id, 1)
	}
	is.True(!tab.AllEvacuated("s"))
}

// TestReturnedTargetsWarmUp: after the end of an evacuation, targets get requests at the
// rate of cold targets, and no batch items, until their warm-up time has passed.
func TestReturnedTargetsWarmUp(t *testing.T) {
	is := is.New(t)
	tab := centresTable(1, warmup.Position{Index: 0, Nodes: 1})
	tab.SetEvacuated(start, []string{"dc0"})
	is.Equal(tab.List(start)[0].Reason, Evacuated)
	tab.SetEvacuated(start, nil)
	sent := 0
	for at := start; at.Before(start.Add(coldFor)); at = at.Add(5 * time.Millisecond) {
		_, ok := tab.Choose(at, Need{Service: "s", Batch: true})
		is.True(!ok) // an item would run for long and use a turn that online requests need
		if _, ok := tab.Choose(at, Need{Service: "s"}); ok {
			sent++
		}
	}
	is.True(sent >= int(coldFor.Seconds()*coldRate)-1)
	is.True(sent <= int(coldFor.Seconds()*coldRate)+1)
	_, ok := tab.Choose(start.Add(coldFor), Need{Service: "s", Batch: true})
	is.True(ok)
}

// TestColdTargetsComeAfterWarmOnes: a cold target gets a request only if no warm one has
// a free slot.
func TestColdTargetsComeAfterWarmOnes(t *testing.T) {
	is := is.New(t)
	tab := centresTable(2, warmup.Position{Index: 0, Nodes: 1})
	tab.MarkWarmingUp(start, "t0", 1, coldFor)
	for range 8 {
		target, ok := tab.Choose(start, Need{Service: "s"})
		is.True(ok)
		is.Equal(target.ID, "t1")
		tab.Begin(target.ID)
	}
	target, ok := tab.Choose(start, Need{Service: "s"})
	is.True(ok)
	is.Equal(target.ID, "t0") // the warm one is full
	tab.Begin(target.ID)
	target, ok = tab.Choose(start, Need{Service: "s"})
	is.True(ok)
	is.Equal(target.ID, "t1") // it is queued there, because a cold target might crash under it
}

// TestWarmUpIsNotCutShort: a report that a target is warm, or warm soon, may date from
// before it became cold again, so it does not shorten the warm-up.
func TestWarmUpIsNotCutShort(t *testing.T) {
	is := is.New(t)
	tab := centresTable(1, warmup.Position{Index: 1, Nodes: 100})
	tab.MarkWarmingUp(start, "t0", 1, coldFor)
	tab.MarkWarmingUp(start, "t0", 1, 0)
	tab.MarkWarmingUp(start, "t0", 1, time.Second)
	is.Equal(tab.List(start.Add(2 * time.Second))[0].Reason, WarmingUp)
	is.Equal(tab.List(start.Add(coldFor))[0].Reason, Reason(""))
}
