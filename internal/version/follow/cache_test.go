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

// clock is a time that tests move.
type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

func (c *clock) pass(d time.Duration) { c.now = c.now.Add(d) }

func newTestCache() (*Cache, *clock) {
	c := &clock{now: time.Unix(1000, 0)}
	return NewCache(c.read, kindT), c
}

// TestOrderOfDeliveryDoesNotMatter: whoever delivers changes in whatever order
// and however often, the copy ends with the newest revision of each object.
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
	news := cache.Replace(kindT, []objects.Object{{Name: "b", Revision: 4}}, 9)
	is.Equal(len(news), 1)
	is.True(news[0].Deleted)
	_, ok := cache.Get(kindT, "a")
	is.True(!ok)
	cache.Apply(kindT, []objects.Object{{Name: "a", Revision: 3}}, 0, 0) // a stale peer
	_, ok = cache.Get(kindT, "a")
	is.True(!ok)
	is.Equal(cache.CompleteRevision(kindT), int64(9))
}

// TestMarksSpreadFreshness: what a peer asked the store counts here when this
// copy lacks nothing, and not when it does.
func TestMarksSpreadFreshness(t *testing.T) {
	is := is.New(t)
	cache, now := newTestCache()
	cache.Replace(kindT, []objects.Object{{Name: "a", Revision: 3}}, 5)
	cache.MarkVerified(kindT, now.now)
	now.pass(time.Second)
	is.True(!cache.ReceiveMark(kindT, FreshnessMark{Complete: 40, Latest: 3, Age: 100 * time.Millisecond, QueryID: 1, Known: true}))
	age, _ := cache.Age(kindT)
	is.Equal(age, 100*time.Millisecond)
	is.Equal(cache.CompleteRevision(kindT), int64(40))
	now.pass(time.Second)
	is.True(cache.ReceiveMark(kindT, FreshnessMark{Complete: 60, Latest: 50, Known: true})) // the peer holds a change that this copy lacks
	age, _ = cache.Age(kindT)
	is.Equal(age, 1100*time.Millisecond)
}

// TestListHidesNoDeletion: a node that has just started and listed does not know
// what was deleted before. Neither its mark nor what it sends may let another node
// pass over a deletion (DRAIN on scale-2 of keystel-queue-grown).
func TestListHidesNoDeletion(t *testing.T) {
	is := is.New(t)
	old, _ := newTestCache()
	old.Replace(kindT, []objects.Object{{Name: "a", Revision: 3}, {Name: "b", Revision: 5}}, 10)
	started, now := newTestCache()
	started.Replace(kindT, []objects.Object{{Name: "a", Revision: 3}}, 12) // "b" was deleted at 11
	started.MarkVerified(kindT, now.now)
	is.True(!old.ReceiveMark(kindT, started.FreshnessMarks()[kindT])) // no change to be had there
	is.Equal(old.CompleteRevision(kindT), int64(10))
	_, known := old.Age(kindT)
	is.True(!known)

	news := adopt(old, changesOf(started, kindT, old.CompleteRevision(kindT)))
	is.Equal(len(news), 1)
	_, ok := old.Get(kindT, "b")
	is.True(!ok)
	is.Equal(old.CompleteRevision(kindT), int64(12))

	old.Apply(kindT, []objects.Object{{Name: "c", Revision: 14}}, 12, 14) // from there on changes are enough
	changes := changesOf(old, kindT, 12)
	is.True(!changes.Whole)
	is.Equal(len(changes.Changes), 1)
}

// TestListKeepsOutWhatIsGone: what a peer still holds and the store's list does
// not show does not come back through the peer.
func TestListKeepsOutWhatIsGone(t *testing.T) {
	is := is.New(t)
	old, _ := newTestCache()
	old.Replace(kindT, []objects.Object{{Name: "a", Revision: 3}, {Name: "b", Revision: 5}}, 10)
	started, _ := newTestCache()
	started.Replace(kindT, []objects.Object{{Name: "a", Revision: 3}}, 12) // "b" was deleted at 11
	is.Equal(len(adopt(started, changesOf(old, kindT, 0))), 0)
	_, ok := started.Get(kindT, "b")
	is.True(!ok)
	is.Equal(len(started.Apply(kindT, []objects.Object{{Name: "b", Revision: 13}}, 12, 13)), 1) // made again
}

// TestMarksDoNotStayYoungOnTheWay: nodes that read their datagrams late tell each
// other the age that a mark had when it was sent. Passed to and fro, it must not
// stand for news of the store for longer than the first way took.
func TestMarksDoNotStayYoungOnTheWay(t *testing.T) {
	is := is.New(t)
	now := &clock{time.Unix(1000, 0)}
	a, b := NewCache(now.read, kindT), NewCache(now.read, kindT)
	a.MarkVerified(kindT, now.now)
	const late = 200 * time.Millisecond
	for range 15 { // three seconds in which nobody asks the store
		sent := a.FreshnessMarks()[kindT]
		now.pass(late)
		b.ReceiveMark(kindT, sent)
		sent = b.FreshnessMarks()[kindT]
		now.pass(late)
		a.ReceiveMark(kindT, sent)
	}
	for _, cache := range []*Cache{a, b} {
		age, _ := cache.Age(kindT)
		is.True(age >= 6*time.Second-2*late)
	}
}

// TestGapInAListIsNoFreshness: a list of several pages may hold a change that is
// newer than the revision it is complete up to, and lack one before it. A peer's
// mark that lies between must not stand for what this copy lacks.
func TestGapInAListIsNoFreshness(t *testing.T) {
	is := is.New(t)
	cache, _ := newTestCache()
	cache.Replace(kindT, []objects.Object{{Name: "a", Revision: 3}, {Name: "z", Revision: 12}}, 10) // "a" changed at 11 after its page was read
	is.True(cache.ReceiveMark(kindT, FreshnessMark{Complete: 12, Latest: 12, Known: true}))
	is.Equal(cache.CompleteRevision(kindT), int64(10))
}

// TestOutageOfOneNodeCastsNoDoubt: a node that the store refuses hears through
// its peers that a target is gone, and must not keep sending to it (DRAIN on
// trouble-1, seed 913322990933). Only when nobody in contact could ask the
// store may a deletion be a missed heartbeat.
func TestOutageOfOneNodeCastsNoDoubt(t *testing.T) {
	is := is.New(t)
	cache, now := newTestCache()
	cache.Replace(kindT, []objects.Object{{Name: "a", Revision: 3}}, 5)
	cache.MarkVerified(kindT, now.now)
	asked := uint64(0)
	for range 10 { // refused here, while peers ask
		now.pass(800 * time.Millisecond)
		asked++
		cache.ReceiveMark(kindT, FreshnessMark{Complete: 5, Latest: 3, Age: 200 * time.Millisecond, QueryID: asked, Known: true})
		is.True(!cache.DeletionsUncertain(kindT))
	}
	now.pass(4 * time.Second) // nobody can ask
	is.True(cache.DeletionsUncertain(kindT))
	cache.MarkVerified(kindT, now.now)
	for range 2 {
		now.pass(time.Second)
		is.True(cache.DeletionsUncertain(kindT)) // targets that live may still be missing
		cache.MarkVerified(kindT, now.now)
	}
	now.pass(300 * time.Millisecond)
	is.True(!cache.DeletionsUncertain(kindT))
}

// TestQuestionsAreToldOnce: a question that this node asked or heard of for the
// first time is to be told on at once; the same one again is not, or nodes would
// tell each other without end.
func TestQuestionsAreToldOnce(t *testing.T) {
	is := is.New(t)
	cache, now := newTestCache()
	told := 0
	cache.OnVerified(func() { told++ })
	cache.MarkVerified(kindT, now.now)
	is.Equal(told, 1)
	now.pass(time.Second)
	for range 3 {
		cache.ReceiveMark(kindT, FreshnessMark{Age: 10 * time.Millisecond, QueryID: 7, Known: true})
	}
	is.Equal(told, 2)
	cache.ReceiveMark(kindT, FreshnessMark{Age: time.Minute, QueryID: 8, Known: true}) // older than what is known
	is.Equal(told, 2)
}
