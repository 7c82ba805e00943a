package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/process/rendezvous"
)

// fakeStore answers listings and queries for changes with its fields, and counts them.
type fakeStore struct {
	mu      sync.Mutex
	list    objects.Page
	changes objects.Page
	err     error
	lists   int
	queries int
}

func (s *fakeStore) ListPage(context.Context, callbudget.Class, string, string) (objects.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return s.list, nil
}

func (s *fakeStore) Changes(context.Context, string, int64) (objects.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queries++
	return s.changes, s.err
}

// fakeListener records the changed objects and counts the failures.
type fakeListener struct {
	mu      sync.Mutex
	objects []objects.Object
	failed  int
}

func (l *fakeListener) Changed(_ string, changed []objects.Object, _ Source) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.objects = append(l.objects, changed...)
}

func (l *fakeListener) Failed(string, int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed++
}

func newTestRefresher(s *fakeStore, peers ...string) (*Refresher, *fakeListener) {
	listener := &fakeListener{}
	r := NewRefresher(kindT)
	r.Store, r.Listener, r.MaxAge, r.Self = s, listener, 30*time.Millisecond, "self"
	r.Cache = NewCache(time.Now, kindT)
	r.PeersInDataCentre = func() []string { return slices.Clone(peers) }
	r.OtherDataCentres = func() []string { return nil }
	return r, listener
}

func runFor(r *Refresher, d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	r.Run(ctx)
}

// TestLostHistoryIsListedAgain: changes that the store dropped from its history are found
// by a new listing.
func TestLostHistoryIsListedAgain(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{list: objects.Page{Objects: []objects.Object{{Name: "a", Revision: 2}}, Revision: 3}, err: objects.ErrHistoryExpired}
	r, listener := newTestRefresher(s)
	runFor(r, 100*time.Millisecond)
	is.True(s.lists >= 2)
	is.Equal(len(listener.objects), 1)
	is.Equal(listener.failed, 0)
}

// TestFailedQueriesAreRetried: a failed query changes nothing, is reported to the
// listener, and is retried at a bounded rate.
func TestFailedQueriesAreRetried(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{list: objects.Page{Revision: 3}, err: errors.Join(objects.ErrUnavailable)}
	r, listener := newTestRefresher(s)
	runFor(r, 450*time.Millisecond)
	is.Equal(s.lists, 1)
	is.True(listener.failed >= 2)
	is.True(s.queries <= 6)
	is.Equal(r.Cache.CompleteRevision(kindT), int64(3))
}

// TestFreshMarksOfPeersAvoidQueries: a node does not query the store while marks of its
// peers keep its copy fresh, and queries it when they do not.
func TestFreshMarksOfPeersAvoidQueries(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{list: objects.Page{Revision: 3}, changes: objects.Page{Revision: 3}}
	r, _ := newTestRefresher(s, "n1", "n2")
	r.MaxAge = 100 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for ctx.Err() == nil {
			r.Cache.ReceiveMark(kindT, FreshnessMark{Complete: 3, QueryID: rand.Uint64(), Known: true})
			time.Sleep(10 * time.Millisecond)
		}
	}()
	runFor(r, 300*time.Millisecond)
	cancel()
	is.Equal(s.queries, 0)
	runFor(r, time.Second) // no more marks arrive
	is.True(s.queries > 0)
}

// TestTrigger: a triggered refresher queries the store at once.
func TestTrigger(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{list: objects.Page{Revision: 3}, changes: objects.Page{Revision: 3}}
	r, _ := newTestRefresher(s)
	r.MaxAge = time.Minute
	r.Trigger()
	go func() {
		time.Sleep(50 * time.Millisecond)
		r.Trigger()
	}()
	runFor(r, 150*time.Millisecond)
	is.True(s.lists+s.queries >= 2)
}

// TestLowerRankedNodesQueryLessInOutage: while the store is unreachable, nodes in contact
// together query it little more often than one node would alone.
func TestLowerRankedNodesQueryLessInOutage(t *testing.T) {
	is := is.New(t)
	queriesOf := func(self string) int {
		s := &fakeStore{list: objects.Page{Revision: 3}, err: objects.ErrUnavailable}
		r, _ := newTestRefresher(s, "n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7")
		r.Self = self
		runFor(r, 1500*time.Millisecond)
		return s.queries
	}
	names := []string{"n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7", "self"}
	order := rendezvous.Rank(kindT, names, len(names))
	var wg sync.WaitGroup
	var first, last int
	wg.Go(func() { first = queriesOf(order[0]) })
	wg.Go(func() { last = queriesOf(order[len(order)-1]) })
	wg.Wait()
	is.True(last >= 1)
	is.True(first > last)
}
