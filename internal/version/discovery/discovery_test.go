package discovery

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/request/choose"
)

// doubt is whether the store's list is in doubt.
type doubt bool

func (d *doubt) read() bool { return bool(*d) }

func newTestPool(d *doubt) (*Pool, *[]string) {
	var log []string
	return New(choose.Config{EjectAfter: 2, EjectTime: time.Hour, Policy: choose.LeastOfFew}, time.Now, d.read,
		func(id, what string) { log = append(log, id+" "+what) }), &log
}

func record(id string, incarnation uint64) Record {
	return Record{Target: choose.Target{ID: id, Incarnation: incarnation, Service: "s", Addr: "10.0.0.1:80", DataCentre: "a", Slots: 2}}
}

func place(t *testing.T, p *Pool) choose.Target {
	t.Helper()
	target, ok := p.Choose(choose.Need{Service: "s"})
	if !ok {
		t.Fatal("no target has room")
	}
	return target
}

// TestRestartedTargetStartsAnew: a target that starts again under its ID has none
// of what ran there before, no failures, and is not leaving because the one before
// it was. What ends late at the one before changes nothing.
func TestRestartedTargetStartsAnew(t *testing.T) {
	is := is.New(t)
	var in doubt
	p, _ := newTestPool(&in)
	p.Update([]Record{record("t", 100)}, nil, nil)
	first, second := place(t, p), place(t, p)
	p.End(first, choose.Failure)
	p.MarkLeaving(second, "it says so")
	_, ok := p.Choose(choose.Need{Service: "s"})
	is.True(!ok)

	p.Update([]Record{record("t", 200)}, nil, nil)
	is.Equal(len(p.OwnInFlight()), 0)
	again := place(t, p)
	is.Equal(again.Incarnation, uint64(200))
	is.Equal(p.OwnInFlight()["t"].Online, 1)
	p.End(second, choose.Failure) // of the incarnation before
	p.MarkSaturated(second)
	p.MarkLeaving(second, "late")
	is.Equal(p.OwnInFlight()["t"].Online, 1)
	place(t, p) // it takes requests all the same
}

// TestOlderWordOverridesNoNewerOne: a late entry of an earlier start changes
// nothing, also after the target was taken off.
func TestOlderWordOverridesNoNewerOne(t *testing.T) {
	is := is.New(t)
	var in doubt
	p, _ := newTestPool(&in)
	p.Update([]Record{record("t", 200)}, nil, nil)
	late := record("t", 100)
	late.Draining = true
	p.Update([]Record{late}, nil, nil)
	chosen := place(t, p)
	is.Equal(chosen.Incarnation, uint64(200))
	p.End(chosen, choose.Success)
	p.Update(nil, []string{"t"}, nil)
	p.Update([]Record{record("t", 150)}, nil, nil)
	_, ok := p.Choose(choose.Need{Service: "s"})
	is.True(!ok)
}

// TestAttemptsHearOfARestart: those at the incarnation that is gone, once, and no
// others.
func TestAttemptsHearOfARestart(t *testing.T) {
	is := is.New(t)
	var in doubt
	p, _ := newTestPool(&in)
	p.Update([]Record{record("t", 100), record("u", 100)}, nil, nil)
	told := map[string]int{}
	watch := func(name, id string, incarnation uint64) func() {
		return p.OnRestart(choose.Target{ID: id, Incarnation: incarnation}, func() { told[name]++ })
	}
	watch("running", "t", 100)
	stop := watch("ended", "t", 100)
	watch("other", "u", 100)
	stop()
	p.Update([]Record{record("t", 100)}, nil, nil) // a heartbeat
	is.Equal(len(told), 0)
	p.Update([]Record{record("t", 200)}, nil, nil)
	watch("new", "t", 200)
	p.Update([]Record{record("t", 200)}, nil, nil)
	is.Equal(told, map[string]int{"running": 1})

	late := make(chan struct{})
	p.OnRestart(choose.Target{ID: "t", Incarnation: 100}, func() { close(late) }) // chosen before, sent after
	select {
	case <-late:
	case <-time.After(time.Second):
		t.Fatal("an attempt at a target that is gone is not told")
	}
}

// TestUnreadableEntryIsTakenOff: an entry that names no target any more is taken
// off at once, also while the store is in doubt; one that is missing then is kept.
func TestUnreadableEntryIsTakenOff(t *testing.T) {
	is := is.New(t)
	in := doubt(true)
	p, log := newTestPool(&in)
	p.Update([]Record{record("t", 1), record("u", 1)}, nil, nil)
	p.Update(nil, []string{"u"}, []string{"t"})
	is.Equal(place(t, p).ID, "u")
	is.Equal(place(t, p).ID, "u")
	_, ok := p.Choose(choose.Need{Service: "s", Overflow: 1, Exclude: map[string]bool{"u": true}})
	is.True(!ok)
	is.Equal((*log)[2:], []string{"u lapsed while the store was away; kept until it has settled", "t gone"})
}
