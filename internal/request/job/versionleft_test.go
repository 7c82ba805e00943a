package job

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/continuation"
	"github.com/marblepond/marblepond/internal/version/discovery"
)

// listedPool returns a pool of targets with one slot each, named after their versions.
func listedPool(versions ...continuation.Version) *discovery.Pool {
	p := discovery.New(choose.Config{Policy: choose.LeastOfFew}, time.Now, func() bool { return false }, func(string, string) {})
	var records []discovery.Record
	for _, v := range versions {
		records = append(records, discovery.Record{Target: choose.Target{ID: string(v), Incarnation: 1, Addr: string(v), Slots: 1, Version: v}})
	}
	p.Update(records, nil, nil)
	return p
}

// sentItems tries once to send the waiting items of a job of three, after begin, and returns which
// run where.
func sentItems(t *testing.T, pool Pool, begin func(p *progress)) map[int]string {
	t.Helper()
	is := is.New(t)
	m := newTestManager("n1", newMemoryStore())
	m.Pool, m.Sender = pool, cancelledSender{}
	m.Allotments = func() func(choose.Target) int { return nil }
	s := submission("j")
	s.Items = nil
	for i := range 3 {
		s.Items = append(s.Items, Item{ID: fmt.Sprint("i", i), Path: "/j/p", Tokens: 10})
	}
	is.NoErr(m.Submit(context.Background(), s))
	h := m.held["j"]
	begin(h.progress)
	for i := range h.progress.items {
		h.progress.items[i].service = "" // that of the targets
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m.sendWaiting(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[int]string{}
	for i := range h.progress.items {
		if item := &h.progress.items[i]; item.phase == running {
			out[i] = item.target.ID
		}
	}
	return out
}

// Guards against items that wait for ever for a version that has left, while targets of the only
// version left are free.
func TestItemBeginsAnewOnceItsVersionHasLeft(t *testing.T) {
	is := is.New(t)
	sent := sentItems(t, listedPool("v2"), func(p *progress) {
		runAt(p, 0, "v1", "a", "b")
		p.items[0].ran = time.Minute
		for i := 1; i < 3; i++ {
			p.finish(i, Result{}, time.Now())
		}
	})
	is.Equal(sent, map[int]string{0: "v2"})
}

// Guards against an item that no target can take now and that keeps items from targets that are
// free for them.
func TestWaitingItemKeepsNoOtherWaiting(t *testing.T) {
	for name, c := range map[string]struct {
		listed []continuation.Version
		begin  func(p *progress)
		sent   int
	}{
		"its version has left, and no free slot is left for it": {[]continuation.Version{"v2", "v3"}, func(p *progress) { runAt(p, 0, "v1", "a") }, 2},
		"its version is full": {[]continuation.Version{"v1", "v2"}, func(p *progress) { runAt(p, 0, "v1", "a"); runAt(p, 1, "v1", "a") }, 2},
		"nobody knows its version": {[]continuation.Version{"v2"}, func(p *progress) {
			p.items[0].held = held{lastEvent: 1, origin: continuation.BegunAnywhere(), ran: time.Hour}
		}, 1},
		"it runs apart":                {[]continuation.Version{"v1", "v2"}, func(p *progress) { p.items[0].losses, p.items[1].losses = manyLosses, manyLosses }, 2},
		"its version is the only one":  {[]continuation.Version{"v1"}, func(p *progress) { runAt(p, 0, "v1", "a") }, 1},
		"its version left with others": {[]continuation.Version{"v3"}, func(p *progress) { runAt(p, 0, "v1", "a"); runAt(p, 1, "v2", "a") }, 1},
		"it begins anew later than another": {[]continuation.Version{"v1", "v2"}, func(p *progress) {
			for i := range 3 {
				runAt(p, i, "v3", "a")
				p.items[i].ran = time.Duration(2-i) * time.Hour
			}
		}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(sentItems(t, listedPool(c.listed...), c.begin)), c.sent)
		})
	}
}

// searchedPool counts the searches for a free slot.
type searchedPool struct {
	*discovery.Pool
	searches int
}

func (p *searchedPool) ChooseBatch(need choose.Need) (choose.Target, bool) {
	p.searches++
	return p.Pool.ChooseBatch(need)
}

// Guards against a service that is searched again for each kind of item though it is full: all its
// targets are of the version that began the item that found none.
func TestFullVersionThatIsTheOnlyOneIsSearchedOnce(t *testing.T) {
	is := is.New(t)
	pool := &searchedPool{Pool: listedPool("v1")}
	sent := sentItems(t, pool, func(p *progress) { runAt(p, 0, "v1", "a"); runAt(p, 1, "v1", "a") })
	is.Equal(sent, map[int]string{0: "v1"})
	is.Equal(pool.searches, 2) // one that finds the slot, and one that finds none
}

// trialPool has targets on trial only, which take items that have not failed.
type trialPool struct{ noPool }

func (trialPool) SharedView() bool { return true }
func (trialPool) ChooseBatch(need choose.Need) (choose.Target, bool) {
	return choose.Target{ID: "t", Service: need.Service, Version: "v1"}, !need.NoProbe
}

// Guards against an item that failed at an earlier holder of its job, may not be sent to a target on
// trial, and keeps all other items from being the trial.
func TestFailedItemKeepsNoOtherFromATrial(t *testing.T) {
	is := is.New(t)
	m := newTestManager("n1", newMemoryStore())
	m.Pool, m.Sender = trialPool{}, cancelledSender{}
	is.NoErr(m.Submit(context.Background(), submission("j")))
	h := m.held["j"]
	h.progress.items[0].failures = 1 // as restored from the head, which names no targets
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m.sendWaiting(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	is.Equal(h.progress.items[1].phase, running)
}

// freedPool has a target of one version, which gets a free slot after the first choice.
type freedPool struct {
	noPool
	choices *int
}

func (p freedPool) SeveralVersions(string) bool { return true }
func (p freedPool) ChooseBatch(need choose.Need) (choose.Target, bool) {
	*p.choices++
	return choose.Target{ID: "t", Service: need.Service, Version: "v1"}, *p.choices > 1
}

// Guards against an item whose text is dropped though it is sent to a target of the version that
// wrote it.
func TestItemKeepsItsTextAtATargetOfItsVersion(t *testing.T) {
	is := is.New(t)
	m := newTestManager("n1", newMemoryStore())
	choices := 0
	m.Pool, m.Sender = freedPool{choices: &choices}, cancelledSender{}
	is.NoErr(m.Submit(context.Background(), submission("j")))
	h := m.held["j"]
	runAt(h.progress, 0, "v1", "a", "b")
	h.progress.finish(1, Result{}, time.Now())
	h.progress.items[0].service = ""
	h.progress.items[0].ran = time.Millisecond
	h.progress.items[0].blockedSince = time.Now().Add(-time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m.sendWaiting(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	is.Equal(h.progress.items[0].phase, running)
	is.Equal(h.progress.items[0].origin, continuation.BegunAt("v1"))
	is.Equal(h.progress.items[0].lastEvent, int64(2))
}
