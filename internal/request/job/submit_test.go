package job

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/request/backlog"
)

// count returns how many objects of a kind the store has.
func (s *memoryStore) count(kind string) int {
	page, _ := s.ListStale(context.Background(), kind)
	return len(page.Objects)
}

// slowStore delays the creation of objects.
type slowStore struct {
	*memoryStore
	delay time.Duration
}

func (s slowStore) Create(ctx context.Context, class callbudget.Class, kind, name string, value []byte) (objects.Object, error) {
	time.Sleep(s.delay)
	return s.memoryStore.Create(ctx, class, kind, name, value)
}

// makeStoreSlow makes a manager expect a slow object store, and gives the job a short
// response objective.
func makeStoreSlow(m *Manager, s *Submission) {
	m.StoreLatency = func() time.Duration { return 200 * time.Millisecond }
	s.Route.Objective = 300 * time.Millisecond
}

// A small job is accepted with a single write to a slow object store.
func TestSmallJobIsAcceptedWithOneWrite(t *testing.T) {
	is := is.New(t)
	store := slowStore{newMemoryStore(), 200 * time.Millisecond}
	m := newTestManager("n1", store)
	s := submission("j")
	makeStoreSlow(m, s)
	start := time.Now()
	is.NoErr(m.Submit(context.Background(), s))
	is.True(time.Since(start) < 300*time.Millisecond)
	is.Equal(store.count(KindItems), 0)
	is.Equal(store.count(KindHeads), 1)
}

// The items of a small job are available to a node that takes it over or is asked for a
// body, before and after they move to objects of their own.
func TestItemsOfASmallJobAreAlwaysThere(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	first := newTestManager("n1", store)
	s := submission("j")
	makeStoreSlow(first, s)
	is.NoErr(first.Submit(context.Background(), s))
	second := newTestManager("n2", store)
	_, err := second.Body(context.Background(), "j", "i1")
	is.NoErr(err)
	second.adopt(context.Background(), "j", first.cfg.Self)
	h := second.held["j"]
	is.Equal(len(h.items), 2)

	h.commitMu.Lock()
	second.mu.Lock()
	h.progress.finish(0, Result{Item: "i0", Text: "done"}, time.Now())
	second.mu.Unlock()
	is.True(second.commit(h))
	h.commitMu.Unlock()
	is.Equal(store.count(KindItems), 1)
	head, _, err := second.getHead(context.Background(), callbudget.Commit, "j")
	is.NoErr(err)
	is.Equal(len(head.Inline), 0)

	third := newTestManager("n3", store)
	_, err = third.Body(context.Background(), "j", "i1")
	is.NoErr(err)
	third.adopt(context.Background(), "j", second.cfg.Self)
	is.Equal(len(third.held["j"].items), 2)
}

// A large job, and any job while the object store does not answer or is fast, is written in
// two steps: if the first fails, the caller can be assured that nothing runs.
func TestItemsGoFirstWhereOneWriteDoesNotServe(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	m := newTestManager("n1", store)
	large := submission("large")
	large.Items = nil
	for i := range 20 {
		large.Items = append(large.Items, Item{ID: fmt.Sprint("i", i), Path: "/j/a", Body: []byte(strings.Repeat("x", 4<<10))})
	}
	makeStoreSlow(m, large)
	is.NoErr(m.Submit(context.Background(), large))
	is.Equal(store.count(KindItems), 1)
	for _, took := range []time.Duration{0, 5 * time.Millisecond} { // it does not answer, or answers in time
		s := submission(took.String())
		makeStoreSlow(m, s)
		m.StoreLatency = func() time.Duration { return took }
		is.NoErr(m.Submit(context.Background(), s))
	}
	is.Equal(store.count(KindItems), 3)
}

// A job that is complete with its first commit stores no item objects.
func TestDoneJobHasNoItems(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	m := newTestManager("n1", store)
	s := submission("j")
	makeStoreSlow(m, s)
	is.NoErr(m.Submit(context.Background(), s))
	h := m.held["j"]
	h.commitMu.Lock()
	m.mu.Lock()
	for i, item := range h.items {
		h.progress.finish(i, Result{Item: item.ID, Text: "done"}, time.Now())
	}
	m.mu.Unlock()
	is.True(m.commit(h))
	h.commitMu.Unlock()
	is.Equal(store.count(KindItems), 0)
	head, _, err := m.getHead(context.Background(), callbudget.Commit, "j")
	is.NoErr(err)
	is.Equal(len(head.Inline), 0)
	is.True(head.Complete())
}

// refusingBacklogs refuses every job.
type refusingBacklogs struct{ err error }

func (b refusingBacklogs) Reserve(context.Context, backlog.Key, int64, int64, func()) error {
	return b.err
}

// Guards against a job that is refused because its tokens do not fit, or may not fit, and of which
// something is stored, so that a part of it would run.
func TestJobThatIsNotReservedIsNotStored(t *testing.T) {
	for name, c := range map[string]struct {
		refusal error
		away    bool
		kind    string
	}{
		"does not fit":             {errkind.RateLimited.New("full"), false, "rate_limited"},
		"not known":                {errkind.PlatformUnavailable.New("not known"), false, "platform_unavailable"},
		"does not fit, store away": {errkind.RateLimited.New("full"), true, "platform_unavailable"}, // it may have been accepted before
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := newCallCounter()
			nodes, _ := newSharedManagers(store, 1)
			m := nodes[0]
			m.Backlogs = refusingBacklogs{c.refusal}
			store.away.Store(c.away)
			s := waitingSubmission("job", 5*time.Second)
			s.Route.TokenCap = 100
			answer := errkind.Of(m.Submit(context.Background(), s))
			is.Equal(answer.Name, c.kind)
			is.True(errkind.PromisesNotRun(answer.HTTPStatus))
			is.Equal(store.memoryStore.count(KindHeads)+store.memoryStore.count(KindItems), 0)
			is.Equal(len(m.held), 0)
			is.Equal(len(m.reserved), 0)
		})
	}
}
