package follow

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
)

// pagedStore has count objects and cuts its answers at a number of entries.
type pagedStore struct {
	limit int
	count int
	fail  func(call int) error // of each call; nil: none

	mu      sync.Mutex
	calls   int
	afters  []string // of the pages of listings
	expired bool     // the history is gone
}

func (s *pagedStore) next() error {
	s.calls++
	if s.fail == nil {
		return nil
	}
	return s.fail(s.calls)
}

func pagedName(i int) string { return fmt.Sprintf("o%05d", i) }

func (s *pagedStore) ListPage(_ context.Context, _ callbudget.Class, _, after string) (objects.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.afters = append(s.afters, after)
	if err := s.next(); err != nil {
		return objects.Page{}, err
	}
	page := objects.Page{Revision: int64(s.count)}
	for i := 1; i <= s.count; i++ {
		if pagedName(i) <= after {
			continue
		}
		if len(page.Objects) == s.limit {
			page.More = true
			break
		}
		page.Objects = append(page.Objects, objects.Object{Name: pagedName(i), Revision: int64(i)})
	}
	return page, nil
}

func (s *pagedStore) Changes(_ context.Context, _ string, since int64) (objects.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.next(); err != nil {
		return objects.Page{}, err
	}
	if s.expired {
		return objects.Page{}, objects.ErrHistoryExpired
	}
	page := objects.Page{Revision: int64(s.count)}
	for i := int(since) + 1; i <= s.count; i++ {
		if len(page.Objects) == s.limit {
			page.More, page.Revision = true, int64(i-1)
			break
		}
		page.Objects = append(page.Objects, objects.Object{Name: pagedName(i), Revision: int64(i)})
	}
	return page, nil
}

func newPagedRefresher(s *pagedStore) *Refresher {
	r, _ := newTestRefresher(&fakeStore{})
	r.Store = s
	return r
}

// TestRefreshReadsAllChanges guards against a refresh that takes an answer that the store cut for
// all there is: the copy was then called fresh and lacked the newest changes.
func TestRefreshReadsAllChanges(t *testing.T) {
	is := is.New(t)
	s := &pagedStore{limit: 500, count: 501}
	r := newPagedRefresher(s)
	r.Cache.Replace(kindT, []objects.Object{{Name: pagedName(1), Revision: 1}}, 1)
	s.count = 10001
	is.NoErr(r.refresh(context.Background()))
	is.Equal(s.calls, 20)
	is.Equal(r.Cache.CompleteRevision(kindT), int64(10001))
	is.Equal(len(r.Cache.List(kindT)), 10001)
}

// TestFailedPageLeavesTheCopyBehind: what has arrived is kept, but the copy is not called fresh
// until the rest has arrived.
func TestFailedPageLeavesTheCopyBehind(t *testing.T) {
	is := is.New(t)
	s := &pagedStore{limit: 100, count: 1000, fail: func(call int) error {
		if call == 4 {
			return objects.ErrUnavailable
		}
		return nil
	}}
	r := newPagedRefresher(s)
	r.Cache.Replace(kindT, nil, 1)
	is.True(r.refresh(context.Background()) != nil)
	is.Equal(r.Cache.CompleteRevision(kindT), int64(301))
	is.True(!r.Cache.EverVerified(kindT))
	is.True(r.Cache.Status(kindT).CatchingUp)
	is.NoErr(r.refresh(context.Background()))
	is.True(r.Cache.EverVerified(kindT))
	is.True(!r.Cache.Status(kindT).CatchingUp)
	is.Equal(s.calls, 11) // goes on after the third page
}

// TestInterruptedListingGoesOn guards against listings that never end: a listing of many pages
// that was begun anew after each failure did not get through on a slow line.
func TestInterruptedListingGoesOn(t *testing.T) {
	is := is.New(t)
	s := &pagedStore{limit: 100, count: 1001, expired: true, fail: func(call int) error {
		if call%3 == 0 {
			return errors.New("timeout")
		}
		return nil
	}}
	r := newPagedRefresher(s)
	failures := 0
	for r.refresh(context.Background()) != nil {
		failures++
	}
	is.Equal(failures, 5)
	is.Equal(len(r.Cache.List(kindT)), 1001)
	is.True(r.Cache.EverVerified(kindT))
	is.Equal(len(slices.Compact(s.afters)), 11) // each page was read once, but for those that failed
}

// TestOthersWaitForARefreshInPages guards against a fleet in which all nodes query the store
// because a refresh that takes several answers has not ended yet.
func TestOthersWaitForARefreshInPages(t *testing.T) {
	is := is.New(t)
	cache, clk := newTestCache()
	r := NewRefresher(kindT)
	r.Cache, r.MaxAge, r.Self = cache, time.Second, "self"
	r.PeersInDataCentre, r.OtherDataCentres = func() []string { return nil }, func() []string { return nil }
	cache.Replace(kindT, nil, 5)
	cache.MarkVerified(kindT, clk.now)
	clk.advance(2 * time.Second)
	is.True(r.untilDue() <= 0)
	is.True(cache.NoteRefresh(kindT, RefreshProgress{ID: 7, Answers: 1}))
	is.True(r.untilDue() > 0)
	clk.advance(refreshPatience + time.Millisecond)
	is.True(r.untilDue() <= 0)                                             // the node that refreshes makes no progress
	is.True(!cache.NoteRefresh(kindT, RefreshProgress{ID: 7, Answers: 1})) // old news that nodes pass on
	is.True(r.untilDue() <= 0)
	waited := time.Duration(0)
	for answers := uint32(2); waited < 10*time.Second; answers++ {
		cache.NoteRefresh(kindT, RefreshProgress{ID: 7, Answers: answers})
		if r.untilDue() <= 0 {
			break
		}
		clk.advance(100 * time.Millisecond)
		waited += 100 * time.Millisecond
	}
	is.Equal(waited, r.MaxAge) // no longer, if it is so slow
	cache.NoteRefresh(kindT, RefreshProgress{ID: 8, Answers: 1})
	cache.MarkVerified(kindT, clk.now)
	is.Equal(len(cache.RefreshesUnderWay()), 0)
}

// TestFewNodesOfALargeFleetQueryAtOnce guards against a storm of queries: while those that are
// first in order get no answer, twice as many query in each step, and not all others at once.
func TestFewNodesOfALargeFleetQueryAtOnce(t *testing.T) {
	is := is.New(t)
	const centres, nodes = 5, 197
	perRank := map[int]int{}
	for c := range centres {
		for n := range nodes {
			perRank[rankOf(c+n)]++
		}
	}
	before := 0
	for rank := range len(perRank) {
		is.True(perRank[rank] <= before+centres*centres)
		before += perRank[rank]
	}
	is.Equal(before, centres*nodes)
	is.True(len(perRank) <= 10) // the last ones wait for 2.5 s at the most
	for place := range singleRanks {
		is.Equal(rankOf(place), place) // as in a small fleet
	}
}

// TestLargeCopyPassesInParts guards against transfers that never end: a copy of several
// megabytes did not pass a slow line within the time of one call, and was begun anew.
func TestLargeCopyPassesInParts(t *testing.T) {
	is := is.New(t)
	seed := seedWithCache()
	var list []objects.Object
	for i := 1; i <= 10000; i++ {
		list = append(list, objects.Object{Name: pagedName(i), Revision: int64(i), Value: make([]byte, 300)})
	}
	seed.Cache.Replace(kindT, list, 10000)
	seed.Cache.MarkVerified(kindT, time.Now())
	node := startingNode(map[string]*fakePeer{"seed": {gossip: seed}})
	updates, largest := 0, 0
	node.Log = func(u Update) {
		updates++
		largest = max(largest, u.Changes)
	}
	started := time.Now()
	node.FetchFromSeeds(context.Background(), []string{"seed"}, kindT)
	is.True(node.Cache.EverVerified(kindT))
	is.Equal(len(node.Cache.List(kindT)), 10000)
	is.True(largest*300 <= partBytes)
	is.True(updates >= 24)
	is.True(time.Since(started) >= 300*time.Millisecond) // beyond its burst the seed sends at a bounded rate
}

// TestPartlyReceivedCopyIsNotUsed: a node is not ready with the first of many parts, and is once
// no more arrive.
func TestPartlyReceivedCopyIsNotUsed(t *testing.T) {
	is := is.New(t)
	full, clk := newTestCache()
	var list []objects.Object
	for i := 1; i <= 100; i++ {
		list = append(list, objects.Object{Name: pagedName(i), Revision: int64(i)})
	}
	full.Replace(kindT, list, 100)
	started := NewCache(clk.read, kindT)
	p, _ := full.Missing(kindT, started.State(kindT), 500)
	started.Merge(kindT, p)
	is.True(started.CompleteRevision(kindT) > 0)
	is.True(!started.Usable(kindT))
	clk.advance(fillTime)
	is.True(started.Usable(kindT)) // nothing more arrives
	for p.More {
		p, _ = full.Missing(kindT, started.State(kindT), 500)
		started.Merge(kindT, p)
	}
	is.True(!started.Usable(kindT)) // the node does not use the last part yet
	started.delivered(kindT, 50)    // an earlier part
	is.True(!started.Usable(kindT))
	started.delivered(kindT, 100)
	is.True(started.Usable(kindT))
	is.Equal(len(started.List(kindT)), 100)
}

// TestManyDeletionsCostLittle guards against departures that are learned of late because each
// deletion goes through the whole copy.
func TestManyDeletionsCostLittle(t *testing.T) {
	deletions := func(listed int) time.Duration {
		cache, clk := newTestCache()
		var list, deleted []objects.Object
		for i := 1; i <= listed; i++ {
			list = append(list, objects.Object{Name: pagedName(i), Revision: int64(i)})
		}
		for i := 1; i <= 1000; i++ {
			deleted = append(deleted, objects.Object{Name: pagedName(i), Revision: int64(listed + i), Deleted: true})
		}
		cache.Replace(kindT, list, int64(listed))
		clk.advance(time.Second)
		started := time.Now()
		cache.Apply(kindT, deleted, int64(listed), int64(listed+1000))
		return time.Since(started)
	}
	few, many := deletions(1000), deletions(50000)
	t.Logf("1,000 deletions among 1,000 objects: %v, among 50,000: %v", few, many)
	if many > 20*few+20*time.Millisecond { // 50 times as long if each goes through the copy
		t.Errorf("1,000 deletions among 50,000 objects take %v", many)
	}
}

// TestOrderOfChangesIsBounded guards against a copy that grows with each change of the same objects
// while no other node asks for changes.
func TestOrderOfChangesIsBounded(t *testing.T) {
	is := is.New(t)
	cache, _ := newTestCache()
	for i := int64(1); i <= 5000; i++ {
		cache.Apply(kindT, []objects.Object{{Name: pagedName(int(i % 10)), Revision: i}}, i-1, i)
	}
	is.True(len(cache.kinds[kindT].order) <= 2*10+minOrder)
}

// TestNodesThatGetNothingAskLessOften guards against nodes that spend their time on calls of others
// that they cannot serve: a node whose pulls bring nothing, because the other one has sent as much
// as it may, pulls less often, and one whose pulls fail does not.
func TestNodesThatGetNothingAskLessOften(t *testing.T) {
	is := is.New(t)
	for _, fails := range []bool{false, true} {
		seed := seedWithCache()
		var list []objects.Object
		for i := int64(1); i <= 1000; i++ {
			list = append(list, objects.Object{Name: pagedName(int(i)), Revision: i, Value: make([]byte, 300)})
		}
		seed.Cache.Replace(kindT, list, 1000)
		seed.sent.spent, seed.sent.at = 1<<30, time.Now()
		peer := &fakePeer{gossip: seed}
		if fails {
			peer.gossip = nil
		}
		node := startingNode(map[string]*fakePeer{"p": peer})
		node.PullQueue, node.Interval, node.Peers, node.Isolated = NewPullQueue(), time.Hour, func() []string { return nil }, func() bool { return false }
		ctx, cancel := context.WithTimeout(context.Background(), 20*minPullInterval)
		go func() {
			for ctx.Err() == nil {
				node.PullQueue.Put("p")
				time.Sleep(time.Millisecond)
			}
		}()
		node.Run(ctx)
		cancel()
		is.Equal(peer.queries.Load() >= 10, fails)
	}
}

// TestPartIsNoState guards against a copy that calls itself fresh with a part of what another node
// has: the part has the newest revision of each object, so that "b", which had an older revision
// before, is missing.
func TestPartIsNoState(t *testing.T) {
	is := is.New(t)
	full, clk := newTestCache()
	full.Replace(kindT, []objects.Object{{Name: "a", Revision: 2}, {Name: "b", Revision: 5}}, 5)
	node := NewCache(clk.read, kindT)
	p, ok := full.Missing(kindT, node.State(kindT), 1)
	is.True(ok && p.More)
	node.Merge(kindT, p)
	older := FreshnessMark{Complete: 2, Latest: 2, QueryID: 1, Known: true} // of a node that has "b" at revision 1
	node.ReceiveMark(kindT, older)
	is.True(!node.EverVerified(kindT))
	p, ok = full.Missing(kindT, node.State(kindT), 1)
	is.True(ok && !p.More)
	node.Merge(kindT, p)
	node.ReceiveMark(kindT, FreshnessMark{Complete: 5, Latest: 5, QueryID: 2, Known: true})
	is.True(node.EverVerified(kindT))
}

// TestPartsTellDeletions guards against deleted objects that stay in a copy which receives parts
// of a node that has just listed the kind and does not know what was deleted before: the last part
// names what exists, and until then the copy is as old as it was.
func TestPartsTellDeletions(t *testing.T) {
	is := is.New(t)
	listed, clk := newTestCache()
	listed.Replace(kindT, []objects.Object{{Name: "a", Revision: 3}, {Name: "c", Revision: 11}, {Name: "d", Revision: 12}}, 12) // "b" was deleted
	node := NewCache(clk.read, kindT)
	node.Apply(kindT, []objects.Object{{Name: "a", Revision: 3}, {Name: "b", Revision: 5}}, 0, 6)
	p, _ := listed.Missing(kindT, node.State(kindT), 1)
	is.True(p.More)
	node.Merge(kindT, p)
	is.Equal(node.CompleteRevision(kindT), int64(6))
	p, _ = listed.Missing(kindT, node.State(kindT), 1000)
	node.Merge(kindT, p)
	_, exists := node.Get(kindT, "b")
	is.True(!exists)
	is.Equal(node.CompleteRevision(kindT), int64(12))
}
