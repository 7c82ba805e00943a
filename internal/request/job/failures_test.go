package job

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/request/choose"
)

// failItem records that a target answered an item with a status.
func failItem(m *Manager, h *heldJob, i, status int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.progress.markSent(i, choose.Target{ID: "t"}, time.Now())
	m.handleFailure(context.Background(), h, i, choose.Target{ID: "t"}, m.routeOf(&h.head), time.Time{}, statusError(status), time.Now())
}

// TestFailuresOutliveTheirHolder guards against an item that fails at each run and is sent for ever: no
// other item of its job finishes, so that nothing is committed, and each holder is lost with the
// count of its failures.
func TestFailuresOutliveTheirHolder(t *testing.T) {
	for name, shared := range map[string]bool{"": false, "shared view": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctx := context.Background()
			store := newCallCounter()
			nodes, lost := newSharedManagers(store, 3)
			lost.Store(true) // the keepers have lost their disks
			for _, m := range nodes {
				m.SharedView = func() bool { return shared }
			}
			is.NoErr(nodes[0].Submit(ctx, submission("job")))
			for n := range 2 {
				failItem(nodes[n], nodes[n].held["job"], 0, http.StatusInternalServerError)
				time.Sleep(commitDelay + 3*commitPollInterval)
				close(nodes[n].stopped) // it loses power
				nodes[n+1].adopt(ctx, "job", nodes[n].cfg.Self)
			}
			h := nodes[2].held["job"]
			is.Equal(h.progress.items[0].failures, 2)
			store.takeCalls()
			time.Sleep(commitDelay + 3*commitPollInterval)
			is.Equal(store.takeCalls()["update "+KindHeads], 0) // nothing new to store
			failItem(nodes[2], h, 0, http.StatusInternalServerError)
			is.Equal(h.progress.items[0].phase, finished) // given up
		})
	}
}

// TestItemOfLostHoldersIsGivenUp guards against an item that fails at each run and reaches targets three times
// as often as its route allows, and more: each holder is lost a second after it gave the item up,
// before its result or the count of its failures is stored.
func TestItemOfLostHoldersIsGivenUp(t *testing.T) {
	for name, shared := range map[string]bool{"": false, "shared view": true} {
		for status, want := range map[int]int{http.StatusInternalServerError: 3, http.StatusUnprocessableEntity: 1} {
			t.Run(fmt.Sprint(name, status), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				ctx := context.Background()
				store := newCallCounter()
				nodes, lost := newSharedManagers(store, 5)
				lost.Store(true) // the keepers have lost their disks
				for _, m := range nodes {
					m.SharedView = func() bool { return shared }
				}
				is.NoErr(nodes[0].Submit(ctx, submission("job")))
				runs := 0
				for n := range 4 {
					h := nodes[n].held["job"]
					attempts := attemptsOf(nodes[n].routeOf(&h.head))
					is.Equal(attempts, 3)
					for mayRun(nodes[n], h, 0, attempts) {
						failItem(nodes[n], h, 0, status)
						runs++
					}
					store.takeCalls()
					time.Sleep(time.Second)
					is.True(store.takeCalls()["update "+KindHeads] <= 1) // one write for what came together
					close(nodes[n].stopped)                              // it loses power
					nodes[n+1].adopt(ctx, "job", nodes[n].cfg.Self)
				}
				t.Logf("%d runs", runs)
				is.Equal(runs, want)
			})
		}
	}
}

// mayRun reports whether an item waits and has attempts left.
func mayRun(m *Manager, h *heldJob, i, attempts int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return h.progress.items[i].phase == waiting && !h.progress.isExhausted(i, attempts)
}

// TestItemGivenUpIsNotSentAgain guards against an item that was given up and is sent again because its
// result could not be written: the head that its holder leaves behind has the count only.
func TestItemGivenUpIsNotSentAgain(t *testing.T) {
	for name, statuses := range map[string][]int{"failed": {500, 500, 500}, "can never succeed": {422}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			store := newMemoryStore()
			m := newTestManager("n0", &unwritableStore{store, KindResults})
			is.NoErr(m.Submit(ctx, submission("job")))
			h := m.held["job"]
			for _, status := range statuses {
				failItem(m, h, 0, status)
			}
			is.Equal(h.progress.items[0].phase, finished)
			is.True(m.relinquish(ctx, h))

			next := newTestManager("n1", store)
			next.Pool, next.Sender = roomyPool{}, recordingSender{make(chan target.Call, 8)}
			next.adopt(ctx, "job", Holder{})
			next.sendWaiting(ctx)
			is.Equal(next.held["job"].progress.items[0].phase, finished)
			is.Equal(next.held["job"].progress.items[1].phase, running)
		})
	}
}

// unwritableStore does not take writes of a kind.
type unwritableStore struct {
	*memoryStore
	kind string
}

func (s *unwritableStore) Create(ctx context.Context, class callbudget.Class, kind, name string, value []byte) (objects.Object, error) {
	if kind == s.kind {
		return objects.Object{}, objects.ErrUnavailable
	}
	return s.memoryStore.Create(ctx, class, kind, name, value)
}

// roomyPool has room for each item.
type roomyPool struct{ noPool }

func (roomyPool) ChooseBatch(choose.Need) (choose.Target, bool) { return choose.Target{ID: "t"}, true }
