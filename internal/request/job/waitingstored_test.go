package job

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

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
