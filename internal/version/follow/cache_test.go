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
	is.Equal(cache.Complete(kindT), int64(9))
}

// TestMarksSpreadFreshness: what a peer asked the store counts here when this
// copy lacks nothing, and not when it does.
func TestMarksSpreadFreshness(t *testing.T) {
	is := is.New(t)
	cache, now := newTestCache()
	cache.Replace(kindT, []objects.Object{{Name: "a", Revision: 3}}, 5)
	cache.Verified(kindT, now.now)
	now.pass(time.Second)
	is.True(!cache.HeardMark(kindT, Mark{Complete: 40, Latest: 3, Age: 100 * time.Millisecond, Known: true}))
	age, _ := cache.Age(kindT)
	is.Equal(age, 100*time.Millisecond)
	is.Equal(cache.Complete(kindT), int64(40))
	now.pass(time.Second)
	is.True(cache.HeardMark(kindT, Mark{Complete: 60, Latest: 50, Known: true})) // the peer holds a change that this copy lacks
	age, _ = cache.Age(kindT)
	is.Equal(age, 1100*time.Millisecond)
}

// TestGapInAListIsNoFreshness: a list of several pages may hold a change that is
// newer than the revision it is complete up to, and lack one before it. A peer's
// mark that lies between must not stand for what this copy lacks.
func TestGapInAListIsNoFreshness(t *testing.T) {
	is := is.New(t)
	cache, _ := newTestCache()
	cache.Replace(kindT, []objects.Object{{Name: "a", Revision: 3}, {Name: "z", Revision: 12}}, 10) // "a" changed at 11 after its page was read
	is.True(cache.HeardMark(kindT, Mark{Complete: 12, Latest: 12, Known: true}))
	is.Equal(cache.Complete(kindT), int64(10))
}

// TestOutageOfOneNodeCastsNoDoubt: a node that the store refuses hears through
// its peers that a target is gone, and must not keep sending to it (DRAIN on
// trouble-1, seed 913322990933). Only when nobody in contact could ask the
// store may a deletion be a missed heartbeat.
func TestOutageOfOneNodeCastsNoDoubt(t *testing.T) {
	is := is.New(t)
	cache, now := newTestCache()
	cache.Replace(kindT, []objects.Object{{Name: "a", Revision: 3}}, 5)
	cache.Verified(kindT, now.now)
	for range 10 { // refused here, while peers ask
		now.pass(800 * time.Millisecond)
		cache.HeardMark(kindT, Mark{Complete: 5, Latest: 3, Age: 200 * time.Millisecond, Known: true})
		is.True(!cache.Doubtful(kindT))
	}
	now.pass(4 * time.Second) // nobody can ask
	is.True(cache.Doubtful(kindT))
	cache.Verified(kindT, now.now)
	for range 2 {
		now.pass(time.Second)
		is.True(cache.Doubtful(kindT)) // targets that live may still be missing
		cache.Verified(kindT, now.now)
	}
	now.pass(300 * time.Millisecond)
	is.True(!cache.Doubtful(kindT))
}
