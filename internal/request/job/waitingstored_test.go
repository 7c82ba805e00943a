package job

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/request/backlog"
	"github.com/marblepond/marblepond/internal/version/route"
)

// TestStoredJobsTellTheirTokens guards against a limit on waiting tokens that forgets the jobs of lost
// holders: the stored head has the tokens of the items that are not listed, until the job is ended.
func TestStoredJobsTellTheirTokens(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := newMemoryStore()
	m := newTestManager("n", store)
	for _, id := range []string{"a", "ended"} {
		s := submission(id)
		s.Items[0].Tokens, s.Items[1].Tokens = 100, 30
		is.NoErr(m.Submit(ctx, s))
	}
	next := newTestManager("next", store)
	waiting := func() int64 {
		page, err := store.ListStale(ctx, KindHeads)
		is.NoErr(err)
		stored, ok := next.WaitingStored(page.Objects)
		is.True(ok)
		return stored[backlog.Key{Route: "r"}][backlog.Incarnation{Node: "n", Boot: 1}]
	}
	is.Equal(waiting(), int64(260))
	is.NoErr(next.EndJob(ctx, "ended"))
	is.Equal(waiting(), int64(130))
	h := m.held["a"]
	h.commitMu.Lock()
	h.progress.finish(0, Result{Item: "i0"}, time.Now())
	is.True(m.commit(h))
	h.commitMu.Unlock()
	is.Equal(waiting(), int64(30))
	next.Routes = func() *route.Table { return nil }
	_, ok := next.WaitingStored([]objects.Object{})
	is.True(!ok)
}

// updateObserver is a store that calls a function before each update, and fails those that it rejects.
type updateObserver struct {
	*memoryStore
	before func() error
}

func (s *updateObserver) Update(ctx context.Context, class callbudget.Class, kind, name string, revision int64, value []byte) (objects.Object, error) {
	if err := s.before(); err != nil {
		return objects.Object{}, err
	}
	return s.memoryStore.Update(ctx, class, kind, name, revision, value)
}

// TestJobCountsUntilItIsHandedOver guards against a limit on waiting tokens that forgets a job of a leaving node:
// it is reported no longer, and its head still names the node.
func TestJobCountsUntilItIsHandedOver(t *testing.T) {
	for name, c := range map[string]struct {
		failure error
		left    int64
	}{"written": {nil, 0}, "taken over by another node": {objects.ErrConflict, 0}, "the store does not answer": {objects.ErrUnavailable, 130}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			store := &updateObserver{memoryStore: newMemoryStore()}
			m := newTestManager("n", store)
			s := submission("a")
			s.Items[0].Tokens, s.Items[1].Tokens = 100, 30
			store.before = func() error { return nil }
			is.NoErr(m.Submit(ctx, s))
			key := backlog.Key{Route: "r"}
			is.Equal(m.WaitingTokens()[key], int64(130))
			updates := 0
			store.before = func() error {
				updates++
				is.Equal(m.WaitingTokens()[key], int64(130))
				return c.failure
			}
			is.Equal(m.relinquish(ctx, m.held["a"]), c.failure == nil)
			is.True(updates > 0)
			is.Equal(m.WaitingTokens()[key], c.left)
		})
	}
}
