package discovery

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/request/choose"
)

// uncertain says whether the store's list is uncertain.
type uncertain bool

func (d *uncertain) read() bool { return bool(*d) }

func newTestPool(d *uncertain) (*Pool, *[]string) {
	var log []string
	return New(choose.Config{EjectAfter: 2, EjectTime: time.Hour, Policy: choose.LeastOfFew}, time.Now, d.read,
		func(id, what string) { log = append(log, id+" "+what) }), &log
}

func record(id string, incarnation uint64) Record {
	return Record{Target: choose.Target{ID: id, Incarnation: incarnation, Service: "s", Addr: "10.0.0.1:80", DataCentre: "a", Slots: 2}}
}

func chooseTarget(t *testing.T, p *Pool) choose.Target {
	t.Helper()
	target, ok := p.Choose(choose.Need{Service: "s"})
	if !ok {
		t.Fatal("no target has a free slot")
	}
	return target
}

// TestRestartedTargetHasFreshState: a target that restarts under its ID begins without
// the requests in flight, the failures and the leaving mark of its earlier incarnation.
// Requests to the earlier incarnation that end late change nothing.
func TestRestartedTargetHasFreshState(t *testing.T) {
	is := is.New(t)
	var listUncertain uncertain
	p, _ := newTestPool(&listUncertain)
	p.Update([]Record{record("t", 100)}, nil, nil)
	first, second := chooseTarget(t, p), chooseTarget(t, p)
	p.End(first, choose.Failure)
	p.MarkLeaving(second, "it says so")
	_, ok := p.Choose(choose.Need{Service: "s"})
	is.True(!ok)

	p.Update([]Record{record("t", 200)}, nil, nil)
	is.Equal(len(p.OwnInFlight()), 0)
	again := chooseTarget(t, p)
	is.Equal(again.Incarnation, uint64(200))
	is.Equal(p.OwnInFlight()["t"].Online, 1)
	p.End(second, choose.Failure) // of the incarnation before
	p.MarkSaturated(second)
	p.MarkLeaving(second, "late")
	is.Equal(p.OwnInFlight()["t"].Online, 1)
	chooseTarget(t, p) // it still takes requests
}

// TestStaleRecordIsIgnored: a late entry of an earlier incarnation changes nothing,
// also after the target was removed.
func TestStaleRecordIsIgnored(t *testing.T) {
	is := is.New(t)
	var listUncertain uncertain
	p, _ := newTestPool(&listUncertain)
	p.Update([]Record{record("t", 200)}, nil, nil)
	late := record("t", 100)
	late.Draining = true
	p.Update([]Record{late}, nil, nil)
	chosen := chooseTarget(t, p)
	is.Equal(chosen.Incarnation, uint64(200))
	p.End(chosen, choose.Success)
	p.Update(nil, []string{"t"}, nil)
	p.Update([]Record{record("t", 150)}, nil, nil)
	_, ok := p.Choose(choose.Need{Service: "s"})
	is.True(!ok)
}

// TestAttemptsAreNotifiedOfRestart: a new incarnation notifies each running attempt at an
// earlier one once, and no other attempts.
func TestAttemptsAreNotifiedOfRestart(t *testing.T) {
	is := is.New(t)
	var listUncertain uncertain
	p, _ := newTestPool(&listUncertain)
	p.Update([]Record{record("t", 100), record("u", 100)}, nil, nil)
	calls := map[string]int{}
	watch := func(name, id string, incarnation uint64) func() {
		return p.OnRestart(choose.Target{ID: id, Incarnation: incarnation}, func() { calls[name]++ })
	}
	watch("running", "t", 100)
	stop := watch("ended", "t", 100)
	watch("other", "u", 100)
	stop()
	p.Update([]Record{record("t", 100)}, nil, nil) // a heartbeat
	is.Equal(len(calls), 0)
	p.Update([]Record{record("t", 200)}, nil, nil)
	watch("new", "t", 200)
	p.Update([]Record{record("t", 200)}, nil, nil)
	is.Equal(calls, map[string]int{"running": 1})

	late := make(chan struct{})
	p.OnRestart(choose.Target{ID: "t", Incarnation: 100}, func() { close(late) }) // chosen before, sent after
	select {
	case <-late:
	case <-time.After(time.Second):
		t.Fatal("an attempt at an earlier incarnation is not notified")
	}
}

// TestUnusableEntryIsRemoved: a target whose entry cannot be used is removed at once, also
// while the store's list is uncertain; a target that is missing from the list is kept then.
func TestUnusableEntryIsRemoved(t *testing.T) {
	is := is.New(t)
	listUncertain := uncertain(true)
	p, log := newTestPool(&listUncertain)
	p.Update([]Record{record("t", 1), record("u", 1)}, nil, nil)
	p.Update(nil, []string{"u"}, []string{"t"})
	is.Equal(chooseTarget(t, p).ID, "u")
	is.Equal(chooseTarget(t, p).ID, "u")
	_, ok := p.Choose(choose.Need{Service: "s", Overflow: 1, Exclude: map[string]bool{"u": true}})
	is.True(!ok)
	is.Equal((*log)[2:], []string{"u missing from the store's list after an outage; kept until the list is reliable again", "t gone"})
}
