package follow

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/marblepond/marblepond/internal/connection/objects"
)

const kindT = "targets"

// clock is a time that tests advance.
type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

func newTestCache() (*Cache, *clock) {
	clk := &clock{now: time.Unix(1000, 0)}
	return NewCache(clk.read, kindT), clk
}

// TestOrderOfDeliveryDoesNotMatter: in whatever order and however often changes are
// delivered, the cache ends with the newest revision of each object.
func TestOrderOfDeliveryDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var changes []objects.Object
		newest := map[string]objects.Object{}
		for revision := int64(1); revision <= 20; revision++ {
			o := objects.Object{Name: fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "name")), Revision: revision, Deleted: rapid.Bool().Draw(t, "deleted")}
			changes = append(changes, o)
			newest[o.Name] = o
		}
		cache, _ := newTestCache()
		for _, o := range append(rapid.Permutation(changes).Draw(t, "order"), rapid.Permutation(changes).Draw(t, "repeat")...) {
			cache.Apply(kindT, []objects.Object{o}, 0, 0)
		}
		for name, want := range newest {
			got, ok := cache.Get(kindT, name)
			if ok == want.Deleted || (ok && got.Revision != want.Revision) {
				t.Fatalf("%s is %+v, %v; want %+v", name, got, ok, want)
			}
		}
	})
}

func TestReplaceDeletesWhatIsNotListed(t *testing.T) {
	is := is.New(t)
	cache, _ := newTestCache()
	cache.Replace(kindT, []objects.Object{{Name: "a", Revision: 3}, {Name: "b", Revision: 4}}, 5)
	changed := cache.Replace(kindT, []objects.Object{{Name: "b", Revision: 4}}, 9)
	is.Equal(len(changed), 1)
	is.True(changed[0].Deleted)
	_, ok := cache.Get(kindT, "a")
	is.True(!ok)
	cache.Apply(kindT, []objects.Object{{Name: "a", Revision: 3}}, 0, 0) // a stale peer
	_, ok = cache.Get(kindT, "a")
	is.True(!ok)
	is.Equal(cache.CompleteRevision(kindT), int64(9))
}

// TestMarksSpreadFreshness: a store query of a peer makes this copy fresher when it lacks
// nothing that the peer has, and only then.
func TestMarksSpreadFreshness(t *testing.T) {
	is := is.New(t)
	cache, clk := newTestCache()
	cache.Replace(kindT, []objects.Object{{Name: "a", Revision: 3}}, 5)
	cache.MarkVerified(kindT, clk.now)
	clk.advance(time.Second)
	is.True(!cache.ReceiveMark(kindT, FreshnessMark{Complete: 40, Latest: 3, Age: 100 * time.Millisecond, QueryID: 1, Known: true}))
	age, _ := cache.Age(kindT)
	is.Equal(age, 100*time.Millisecond)
	is.Equal(cache.CompleteRevision(kindT), int64(40))
	clk.advance(time.Second)
	is.True(cache.ReceiveMark(kindT, FreshnessMark{Complete: 60, Latest: 50, Known: true})) // the peer has a change that this copy lacks
	age, _ = cache.Age(kindT)
	is.Equal(age, 1100*time.Millisecond)
}

// TestListHidesNoDeletion: a node that has just started and listed the kind does not know
// what was deleted before. Neither its mark nor its changes may make another node miss a
// deletion (seen as a DRAIN violation on scale-2 of keystel-queue-grown).
func TestListHidesNoDeletion(t *testing.T) {
	is := is.New(t)
	old, _ := newTestCache()
	old.Replace(kindT, []objects.Object{{Name: "a", Revision: 3}, {Name: "b", Revision: 5}}, 10)
	started, clk := newTestCache()
	started.Replace(kindT, []objects.Object{{Name: "a", Revision: 3}}, 12) // "b" was deleted at 11
	started.MarkVerified(kindT, clk.now)
	is.True(!old.ReceiveMark(kindT, started.FreshnessMarks()[kindT])) // the peer has no change that this copy lacks
	is.Equal(old.CompleteRevision(kindT), int64(10))
	_, known := old.Age(kindT)
	is.True(!known)

	changed := adopt(old, changesOf(started, kindT, old.CompleteRevision(kindT)))
	is.Equal(len(changed), 1)
	_, ok := old.Get(kindT, "b")
	is.True(!ok)
	is.Equal(old.CompleteRevision(kindT), int64(12))

	old.Apply(kindT, []objects.Object{{Name: "c", Revision: 14}}, 12, 14) // after that revision changes are enough
	changes := changesOf(old, kindT, 12)
	is.True(!changes.Whole)
	is.Equal(len(changes.Changes), 1)
}

// TestListedCacheRejectsDeletedObject: an object that a peer still has cached, but that is
// missing from the store's listing, does not come back through the peer.
func TestListedCacheRejectsDeletedObject(t *testing.T) {
	is := is.New(t)
	old, _ := newTestCache()
	old.Replace(kindT, []objects.Object{{Name: "a", Revision: 3}, {Name: "b", Revision: 5}}, 10)
	started, _ := newTestCache()
	started.Replace(kindT, []objects.Object{{Name: "a", Revision: 3}}, 12) // "b" was deleted at 11
	is.Equal(len(adopt(started, changesOf(old, kindT, 0))), 0)
	_, ok := started.Get(kindT, "b")
	is.True(!ok)
	is.Equal(len(started.Apply(kindT, []objects.Object{{Name: "b", Revision: 13}}, 12, 13)), 1) // created again
}

// TestMarkAgeGrowsInTransit: the age in a mark is that of the time when it was sent, so a
// node that reads its datagrams late takes a mark for fresher than it is. Marks that two
// such nodes pass to and fro must not gain more than the delay of the first transfer.
func TestMarkAgeGrowsInTransit(t *testing.T) {
	is := is.New(t)
	clk := &clock{time.Unix(1000, 0)}
	a, b := NewCache(clk.read, kindT), NewCache(clk.read, kindT)
	a.MarkVerified(kindT, clk.now)
	const late = 200 * time.Millisecond
	for range 15 { // six seconds in which no node queries the store
		sent := a.FreshnessMarks()[kindT]
		clk.advance(late)
		b.ReceiveMark(kindT, sent)
		sent = b.FreshnessMarks()[kindT]
		clk.advance(late)
		a.ReceiveMark(kindT, sent)
	}
	for _, cache := range []*Cache{a, b} {
		age, _ := cache.Age(kindT)
		is.True(age >= 6*time.Second-2*late)
	}
}

// TestGapInListIsNotFresh: a listing in several pages may contain a change that is newer
// than the revision up to which it is complete, and lack an older one. A peer's mark for a
// revision above that must not count for this copy.
func TestGapInListIsNotFresh(t *testing.T) {
	is := is.New(t)
	cache, _ := newTestCache()
	cache.Replace(kindT, []objects.Object{{Name: "a", Revision: 3}, {Name: "z", Revision: 12}}, 10) // "a" changed at 11 after its page was read
	is.True(cache.ReceiveMark(kindT, FreshnessMark{Complete: 12, Latest: 12, Known: true}))
	is.Equal(cache.CompleteRevision(kindT), int64(10))
}

// TestOutageOfOneNodeKeepsDeletionsCertain: a node that the store refuses learns from its
// peers that a target was removed, and must not keep sending to it (seen as a DRAIN
// violation on trouble-1, seed 913322990933). A deletion may be due to a missed heartbeat
// only when no node in contact could query the store.
func TestOutageOfOneNodeKeepsDeletionsCertain(t *testing.T) {
	is := is.New(t)
	cache, clk := newTestCache()
	cache.Replace(kindT, []objects.Object{{Name: "a", Revision: 3}}, 5)
	cache.MarkVerified(kindT, clk.now)
	queries := uint64(0)
	for range 10 { // the store refuses this node and answers its peers
		clk.advance(800 * time.Millisecond)
		queries++
		cache.ReceiveMark(kindT, FreshnessMark{Complete: 5, Latest: 3, Age: 200 * time.Millisecond, QueryID: queries, Known: true})
		is.True(!cache.DeletionsUncertain(kindT))
	}
	clk.advance(4 * time.Second) // no node can query the store
	is.True(cache.DeletionsUncertain(kindT))
	cache.MarkVerified(kindT, clk.now)
	for range 2 {
		clk.advance(time.Second)
		is.True(cache.DeletionsUncertain(kindT)) // live targets may still be missing
		cache.MarkVerified(kindT, clk.now)
	}
	clk.advance(300 * time.Millisecond)
	is.True(!cache.DeletionsUncertain(kindT))
}

// TestUsualAgeIsNoOutage guards against removed targets that stay in use: copies that are refreshed
// at 1.75 s, for a bound of 5 s, are older than two seconds in each cycle, and a removal is not
// believed after an outage of the store.
func TestUsualAgeIsNoOutage(t *testing.T) {
	is := is.New(t)
	cache, clk := newTestCache()
	cache.SetMaxAge(kindT, 1750*time.Millisecond)
	cache.MarkVerified(kindT, clk.now)
	for range 5 {
		clk.advance(2800 * time.Millisecond)
		is.True(!cache.DeletionsUncertain(kindT))
		cache.MarkVerified(kindT, clk.now)
		is.True(!cache.DeletionsUncertain(kindT))
	}
	clk.advance(2800 * time.Millisecond)
	is.True(cache.NoteRefresh(kindT, RefreshProgress{ID: 1, Answers: 1})) // the store answers, in many parts
	clk.advance(2800 * time.Millisecond)
	is.True(!cache.DeletionsUncertain(kindT))
	clk.advance(300 * time.Millisecond)
	is.True(cache.DeletionsUncertain(kindT))
}

// TestQueriesAreAnnouncedOnce: a store query that this node made, or sees in a mark for
// the first time, is announced to other nodes at once. When it is seen again it is not, or
// nodes would announce it to each other without end.
func TestQueriesAreAnnouncedOnce(t *testing.T) {
	is := is.New(t)
	cache, clk := newTestCache()
	calls := 0
	cache.OnVerified(func() { calls++ })
	cache.MarkVerified(kindT, clk.now)
	is.Equal(calls, 1)
	clk.advance(time.Second)
	for range 3 {
		cache.ReceiveMark(kindT, FreshnessMark{Age: 10 * time.Millisecond, QueryID: 7, Known: true})
	}
	is.Equal(calls, 2)
	cache.ReceiveMark(kindT, FreshnessMark{Age: time.Minute, QueryID: 8, Known: true}) // older than the newest query
	is.Equal(calls, 2)
}

// Guards against a node that starts in an outage of the store, and that takes targets whose entries
// expired in it for gone as soon as the store answers.
func TestDeletionsAreUncertainAfterAStartInAnOutage(t *testing.T) {
	is := is.New(t)
	cache, clk := newTestCache()
	clk.advance(4 * time.Second) // no node can query the store
	cache.Replace(kindT, []objects.Object{{Name: "a", Revision: 3}}, 5)
	cache.MarkVerified(kindT, clk.now)
	is.True(cache.DeletionsUncertain(kindT)) // live targets may still be missing
	for range 2 {
		clk.advance(recoveryTime / 2)
		cache.MarkVerified(kindT, clk.now)
	}
	is.True(!cache.DeletionsUncertain(kindT))
}

// Guards against a copy that counts as fresh while it has a deleted object: a node has a part of
// another node's copy and queries the store for the changes after it; before the answer arrives, an
// older list of a third node replaces the part.
func TestAnswerDoesNotFreshenACopyThatWasReplaced(t *testing.T) {
	is := is.New(t)
	cache, clk := newTestCache()
	cache.Merge(kindT, Part{Changes: []objects.Object{{Name: "new", Revision: 3}}, Complete: 3, Until: 4, Existed: 4, HasDeletions: true, More: true})
	since := cache.CompleteRevision(kindT)
	is.Equal(since, int64(3))
	cache.Replace(kindT, []objects.Object{{Name: "deleted at 2", Revision: 1}}, 1)
	cache.ApplyAnswer(kindT, objects.Page{Objects: []objects.Object{{Name: "newest", Revision: 4}}, Revision: 4}, since, clk.now)
	_, fresh := cache.Age(kindT)
	is.True(!fresh)
	is.Equal(cache.CompleteRevision(kindT), int64(1)) // from where the next query brings the deletion
}
