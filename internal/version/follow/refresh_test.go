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

// fakeStore answers lists and changes as it is told.
type fakeStore struct {
	mu      sync.Mutex
	list    objects.Page
	changes objects.Page
	err     error
	lists   int
	asked   int
}

func (s *fakeStore) List(context.Context, callbudget.Class, string) (objects.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return s.list, nil
}

func (s *fakeStore) Changes(context.Context, string, int64) (objects.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	return s.changes, s.err
}

// heardNews counts what listeners are told.
type heardNews struct {
	mu     sync.Mutex
	news   []objects.Object
	failed int
}

func (h *heardNews) Changed(_ string, news []objects.Object, _ Source) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.news = append(h.news, news...)
}

func (h *heardNews) Failed(string, int64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed++
}

func newTestRefresher(s *fakeStore, heard ...string) (*Refresher, *heardNews) {
	news := &heardNews{}
	r := NewRefresher(kindT)
	r.Store, r.Listener, r.MaxAge, r.Self = s, news, 30*time.Millisecond, "self"
	r.Cache = NewCache(time.Now, kindT)
	r.PeersInDataCentre = func() []string { return slices.Clone(heard) }
	r.OtherDataCentres = func() []string { return nil }
	return r, news
}

func runFor(r *Refresher, d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	r.Run(ctx)
}

// TestLostHistoryIsListedAgain: what changed while the store forgot its history
// is found by a new list.
func TestLostHistoryIsListedAgain(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{list: objects.Page{Objects: []objects.Object{{Name: "a", Revision: 2}}, Revision: 3}, err: objects.ErrHistoryExpired}
	r, news := newTestRefresher(s)
	runFor(r, 100*time.Millisecond)
	is.True(s.lists >= 2)
	is.Equal(len(news.news), 1)
	is.Equal(news.failed, 0)
}

// TestFailedQuestionsAreRepeated: an unanswered question changes nothing, is
// told, and is asked again at a bounded rate.
func TestFailedQuestionsAreRepeated(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{list: objects.Page{Revision: 3}, err: errors.Join(objects.ErrUnavailable)}
	r, news := newTestRefresher(s)
	runFor(r, 450*time.Millisecond)
	is.Equal(s.lists, 1)
	is.True(news.failed >= 2)
	is.True(s.asked <= 6)
	is.Equal(r.Cache.CompleteRevision(kindT), int64(3))
}

// TestOthersAnswersSpareTheStore: a node that hears how new the copies of
// others are asks nothing while they are new enough, and asks when they are
// not.
func TestOthersAnswersSpareTheStore(t *testing.T) {
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
	is.Equal(s.asked, 0)
	runFor(r, time.Second) // nobody is heard any more
	is.True(s.asked > 0)
}

// TestKick: a kicked refresher asks at once.
func TestKick(t *testing.T) {
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
	is.True(s.lists+s.asked >= 2)
}

// TestNodesDownTheOrderAskLessInAnOutage: while the store is away, nodes in
// contact together ask it little more often than one alone.
func TestNodesDownTheOrderAskLessInAnOutage(t *testing.T) {
	is := is.New(t)
	asked := func(self string) int {
		s := &fakeStore{list: objects.Page{Revision: 3}, err: objects.ErrUnavailable}
		r, _ := newTestRefresher(s, "n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7")
		r.Self = self
		runFor(r, 1500*time.Millisecond)
		return s.asked
	}
	names := []string{"n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7", "self"}
	order := rendezvous.Rank(kindT, names, len(names))
	var wg sync.WaitGroup
	var first, last int
	wg.Go(func() { first = asked(order[0]) })
	wg.Go(func() { last = asked(order[len(order)-1]) })
	wg.Wait()
	is.True(last >= 1)
	is.True(first > last)
}
