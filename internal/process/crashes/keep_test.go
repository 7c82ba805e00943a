package crashes

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/request/fingerprint"
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
