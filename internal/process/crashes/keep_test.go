package crashes

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/request/fingerprint"
	"github.com/marblepond/marblepond/internal/request/quarantine"
)

// refuse makes a node refuse work: three targets crash under it.
func (f *fakeFleet) refuse(t *testing.T, watch *Watch, first int, work *fingerprint.Work) {
	t.Helper()
	for n := range 3 {
		f.crash(watch, first+n, work)
		known := watch.crashesKnown()
		eventually(t, "the crash is proved", func() bool { return watch.crashesKnown() > known || watch.knows(targetNo(first+n)) })
		f.advance(time.Second)
	}
	eventually(t, "the node refuses the work", func() bool { return watch.Refuse(work) != nil })
}

func (f *fakeFleet) isSaved(work *fingerprint.Work) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.saved[work.ID()]) == 3
}

// TestVerdictIsSavedOnceTheStoreAnswers guards against a verdict that all nodes forget together: the
// store was away when it was reached, and later all nodes are lost.
func TestVerdictIsSavedOnceTheStoreAnswers(t *testing.T) {
	is := is.New(t)
	fleet := newFakeFleet()
	watch := fleet.start(t, "n0")
	work := &fingerprint.Work{Path: "/bad"}
	fleet.storeDown = true
	fleet.refuse(t, watch, 0, work)
	time.Sleep(2 * verdictInterval)
	is.True(!fleet.isSaved(work))
	fleet.mu.Lock()
	fleet.storeDown = false
	fleet.mu.Unlock()
	eventually(t, "the verdict is saved", func() bool { return fleet.isSaved(work) })

	fleet.mu.Lock()
	fleet.storeDown = true
	fleet.mu.Unlock()
	watch.Completed(work, targetNo(9), fleet.time()) // it is released
	is.NoErr(watch.Refuse(work))
	time.Sleep(2 * verdictInterval)
	is.True(fleet.isSaved(work))
	fleet.mu.Lock()
	fleet.storeDown = false
	fleet.mu.Unlock()
	eventually(t, "the verdict is deleted", func() bool { return !fleet.isSaved(work) })
}

// TestSilentStoreDelaysNoVerdict guards against work under which targets crash and that is sent on
// for seconds because the verdict before it is being saved.
func TestSilentStoreDelaysNoVerdict(t *testing.T) {
	fleet := newFakeFleet()
	fleet.silence = make(chan struct{})
	defer close(fleet.silence)
	watch := fleet.start(t, "n0")
	fleet.refuse(t, watch, 0, &fingerprint.Work{Path: "/bad"})
	second := &fingerprint.Work{Path: "/worse"}
	stopped := make(chan struct{})
	defer watch.OnRefusal(second, never, func() { close(stopped) })()
	fleet.refuse(t, watch, 3, second)
	select {
	case <-stopped:
	case <-time.After(5 * verdictInterval):
		t.Error("an attempt in flight goes on")
	}
}

// TestVerdictOfALostNodeIsDeleted guards against work that is refused again after all nodes were restarted
// although it was answered before: the node that saved the verdict was lost before the verdict
// ended.
func TestVerdictOfALostNodeIsDeleted(t *testing.T) {
	is := is.New(t)
	fleet := newFakeFleet()
	work := &fingerprint.Work{Path: "/bad"}
	fleet.refuse(t, fleet.start(t, "lost"), 0, work)
	eventually(t, "the verdict is saved", func() bool { return fleet.isSaved(work) })
	fleet.deleter = "n1"
	watches := []*Watch{fleet.start(t, "n0"), fleet.start(t, "n1")}
	for _, watch := range watches {
		fleet.mu.Lock()
		stored := fleet.saved[work.ID()]
		fleet.mu.Unlock()
		watch.Merge(stored) // as at the start
		eventually(t, "the node refuses the work", func() bool { return watch.Refuse(work) != nil })
	}
	time.Sleep(2 * verdictInterval)
	for _, watch := range watches {
		watch.Completed(work, targetNo(9), fleet.time())
		is.NoErr(watch.Refuse(work))
	}
	time.Sleep(2 * verdictInterval)
	is.True(fleet.isSaved(work)) // until the node that saved it would have deleted it
	fleet.advance(deleteEndedAfter)
	eventually(t, "the verdict is deleted", func() bool { return !fleet.isSaved(work) })
	time.Sleep(2 * verdictInterval)
	is.Equal(fleet.deletes, 1)
}

// TestExpiredVerdictOfALostNodeCostsNoCall guards against calls to the store for verdicts that refuse nothing
// when they are read again.
func TestExpiredVerdictOfALostNodeCostsNoCall(t *testing.T) {
	is := is.New(t)
	fleet := newFakeFleet()
	work := &fingerprint.Work{Path: "/bad"}
	fleet.refuse(t, fleet.start(t, "lost"), 0, work)
	eventually(t, "the verdict is saved", func() bool { return fleet.isSaved(work) })
	fleet.deleter = "n0"
	watch := fleet.start(t, "n0")
	watch.Merge(fleet.saved[work.ID()])
	eventually(t, "the node refuses the work", func() bool { return watch.Refuse(work) != nil })
	time.Sleep(2 * verdictInterval)
	fleet.storeDown = true // for the node that saved it
	fleet.advance(2 * time.Hour)
	eventually(t, "the verdict has ended", func() bool { return watch.Refuse(work) == nil })
	time.Sleep(2 * verdictInterval)
	watch.mu.Lock()
	defer watch.mu.Unlock()
	is.Equal(len(watch.ended), 0)
}

// TestNarrowerVerdictOfALostNodeIsSaved guards against a part under which targets crash and that is sent on
// after all nodes were restarted: the verdict on it took the place of one whose node was lost.
func TestNarrowerVerdictOfALostNodeIsSaved(t *testing.T) {
	is := is.New(t)
	fleet := newFakeFleet()
	lost := fleet.start(t, "lost")
	for n := range 3 { // the two parts always come together
		fleet.crash(lost, n, prompted(fmt.Sprint("/bad", n), "common", "bad"))
		eventually(t, "the crash is proved", func() bool { return lost.knows(targetNo(n)) })
		fleet.advance(time.Second)
		lost.Completed(prompted(fmt.Sprint("/good", n), "other"), targetNo(50), fleet.time())
		fleet.advance(time.Second)
	}
	eventually(t, "the verdict is saved", func() bool { return len(fleet.savedIDs()) == 1 })
	both := fleet.savedIDs()[0]
	fleet.deleter = "n0"
	watch := fleet.start(t, "n0")
	watch.Merge(fleet.saved[both])
	eventually(t, "the node refuses both", func() bool { return watch.Refuse(prompted("/new", "common", "bad")) != nil })
	time.Sleep(2 * verdictInterval)
	watch.Completed(prompted("/answered", "common"), targetNo(51), fleet.time())
	is.NoErr(watch.Refuse(prompted("/new", "common")))
	is.True(watch.Refuse(prompted("/new", "bad")) != nil)
	time.Sleep(2 * verdictInterval)
	fleet.advance(deleteEndedAfter)
	eventually(t, "the narrower verdict is saved in place of the other", func() bool {
		ids := fleet.savedIDs()
		return len(ids) == 1 && ids[0] != both
	})
}

// TestVerdictThatBeginsAgainStaysSaved guards against a verdict that all nodes forget together: one node could
// not delete it in the store when it ended, and does so after another one has saved it again.
func TestVerdictThatBeginsAgainStaysSaved(t *testing.T) {
	fleet := newFakeFleet()
	n0, n1 := fleet.start(t, "n0"), fleet.start(t, "n1")
	work := &fingerprint.Work{Path: "/bad"}
	fleet.refuse(t, n0, 0, work)
	eventually(t, "the verdict is saved", func() bool { return fleet.isSaved(work) })
	fleet.mu.Lock()
	first := fleet.saved[work.ID()]
	fleet.refusesDeletes = true // of this node
	fleet.mu.Unlock()
	n0.Completed(work, targetNo(9), fleet.time())
	eventually(t, "the deletion is due", func() bool {
		n0.mu.Lock()
		defer n0.mu.Unlock()
		return n0.unstored[work.ID()] != nil
	})
	fleet.advance(time.Second)
	fleet.refuse(t, n1, 10, work)
	eventually(t, "the verdict is saved again", func() bool {
		fleet.mu.Lock()
		defer fleet.mu.Unlock()
		return slices.IndexFunc(fleet.saved[work.ID()], func(c quarantine.Crash) bool { return c.Target == first[0].Target }) < 0
	})
	fleet.mu.Lock()
	again := fleet.saved[work.ID()]
	fleet.mu.Unlock()
	n0.Merge(again)
	eventually(t, "the node refuses the work again", func() bool { return n0.Refuse(work) != nil })
	time.Sleep(2 * verdictInterval)
	fleet.mu.Lock()
	fleet.refusesDeletes = false
	fleet.mu.Unlock()
	time.Sleep(maxStoreRetryInterval / 2)
	if !fleet.isSaved(work) {
		t.Error("the verdict is not stored")
	}
}

func (f *fakeFleet) savedIDs() []fingerprint.ID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.saved))
}
