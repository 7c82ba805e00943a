package choose

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestItemsThatLostTargetsDontMeet guards against a target that ends with several items that have
// often lost their targets. Online requests and other items still get every target.
func TestItemsThatLostTargetsDontMeet(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	table := New(Config{Policy: LeastOfFew, EjectAfter: 3, EjectTime: time.Second})
	table.SetTargets([]Target{{ID: "t0", Incarnation: 1, Service: "s", Slots: 8}, {ID: "t1", Incarnation: 1, Service: "s", Slots: 8}})
	apart := Need{Service: "s", Batch: true, Apart: true}
	placed := map[string]bool{}
	for range 2 {
		target, ok := table.Choose(now, apart)
		is.True(ok && !placed[target.ID])
		placed[target.ID] = true
		table.BeginBatch(target.ID)
		table.BeginItemApart(target.ID)
	}
	_, ok := table.Choose(now, apart)
	is.True(!ok)
	for _, need := range []Need{{Service: "s"}, {Service: "s", Batch: true}, {Service: "s", Apart: true}} {
		_, ok = table.Choose(now, need)
		is.True(ok)
	}
	is.Equal(table.OwnInFlight()["t0"].Apart, 0) // online requests do not make way for it
	table.EndItemApart("t1")
	target, ok := table.Choose(now, apart)
	is.True(ok)
	is.Equal(target.ID, "t1")
}

// TestItemIsTriedWhereItFailedIfNoOtherTargetServes guards against an item that is never placed,
// because the only target where it has not failed is out of service.
func TestItemIsTriedWhereItFailedIfNoOtherTargetServes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	for _, out := range []string{"leaving", "evacuated", "unlisted", "ejected"} {
		table := New(Config{Policy: LeastOfFew, EjectAfter: 1, EjectTime: time.Second})
		list := []Target{{ID: "t0", Incarnation: 1, Service: "s", Slots: 8, DataCentre: "a"}, {ID: "t1", Incarnation: 1, Service: "s", Slots: 8, DataCentre: "b"}}
		table.SetTargets(list)
		need := Need{Service: "s", Batch: true, Exclude: map[string]bool{"t0": true}}
		target, ok := table.Choose(now, need)
		is.True(ok)
		is.Equal(target.ID, "t1")
		table.BeginBatch("t1") // work in flight keeps the target in the table
		switch out {
		case "leaving":
			table.MarkLeaving("t1", 1)
		case "evacuated":
			table.SetEvacuated(now, []string{"b"})
		case "unlisted":
			table.SetTargets(list[:1])
		case "ejected":
			table.RecordOutcome(now, "t1", Failure)
		}
		target, ok = table.Choose(now, need)
		is.True(ok) // out of service: t1
		is.Equal(target.ID, "t0")
	}
}
