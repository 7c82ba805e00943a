package job

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/process/clock"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/backlog"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/continuation"
	"github.com/marblepond/marblepond/internal/request/fingerprint"
	"github.com/marblepond/marblepond/internal/request/quarantine"
	"github.com/marblepond/marblepond/internal/version/route"
)

// memoryStore is an object store in memory.
type memoryStore struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]objects.Object // by kind/name
}

func newMemoryStore() *memoryStore { return &memoryStore{objects: map[string]objects.Object{}} }

func (s *memoryStore) Get(_ context.Context, _ callbudget.Class, kind, name string) (objects.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind+"/"+name]
	if !ok {
		return objects.Object{}, objects.ErrNotFound
	}
	return o, nil
}

func (s *memoryStore) put(kind, name string, value []byte) objects.Object {
	s.revision++
	o := objects.Object{Name: name, Revision: s.revision, Value: value}
	s.objects[kind+"/"+name] = o
	return o
}

func (s *memoryStore) Create(_ context.Context, _ callbudget.Class, kind, name string, value []byte) (objects.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[kind+"/"+name]; ok {
		return objects.Object{}, objects.ErrConflict
	}
	return s.put(kind, name, value), nil
}

func (s *memoryStore) Update(_ context.Context, _ callbudget.Class, kind, name string, revision int64, value []byte) (objects.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[kind+"/"+name]
	switch {
	case !ok:
		return objects.Object{}, objects.ErrNotFound
	case revision != 0 && revision != old.Revision:
		return objects.Object{}, objects.ErrConflict
	}
	return s.put(kind, name, value), nil
}

func (s *memoryStore) Delete(_ context.Context, _ callbudget.Class, kind, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, kind+"/"+name)
	return nil
}

func (s *memoryStore) ListStale(_ context.Context, kind string) (objects.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := objects.Page{Revision: s.revision}
	for name, o := range s.objects {
		if strings.HasPrefix(name, kind+"/") {
			page.Objects = append(page.Objects, o)
		}
	}
	return page, nil
}

// noPool has no free slots; noPeers has no other nodes.
type noPool struct{}

func (noPool) ChooseBatch(choose.Need) (choose.Target, bool)          { return choose.Target{}, false }
func (noPool) EndBatch(choose.Target, choose.Outcome, bool)           {}
func (noPool) SharedView() bool                                       { return false }
func (noPool) SeveralVersions(string) bool                            { return false }
func (noPool) Supply(string, continuation.Origin) continuation.Supply { return continuation.Busy }
func (noPool) MarkYielding(choose.Target)                             {}
func (noPool) RecordItemEvent(choose.Target, time.Duration)           {}
func (noPool) Evacuated(choose.Target) bool                           { return false }
func (noPool) Excess() map[string]int                                 { return nil }
func (noPool) MarkItemRefused(choose.Target)                          {}
func (noPool) MarkLeaving(choose.Target, string)                      {}
func (noPool) OnRestart(choose.Target, func()) func()                 { return func() {} }

// noQuarantine quarantines no work.
type noQuarantine struct{}

func (noQuarantine) RefusedParts(*fingerprint.Work) (fingerprint.ID, bool) {
	return fingerprint.ID{}, false
}
func (noQuarantine) Lost(*fingerprint.Work, choose.Target, time.Time)      {}
func (noQuarantine) Answering(*fingerprint.Work, choose.Target, time.Time) {}
func (noQuarantine) Completed(*fingerprint.Work, choose.Target, time.Time) {}
func (noQuarantine) Ended(choose.Target, quarantine.Proof)                 {}
func (noQuarantine) EndedBefore(choose.Target) bool                        { return false }

type noPeers struct{}

func (noPeers) Job(string) marblepondv1connect.JobServiceClient {
	return marblepondv1connect.UnimplementedJobServiceHandler{}
}
func (noPeers) Poll(string) marblepondv1connect.JobServiceClient {
	return marblepondv1connect.UnimplementedJobServiceHandler{}
}
func (noPeers) Holders() []string                                    { return nil }
func (noPeers) Locator(string) string                                { return "" }
func (noPeers) IsSweeper() bool                                      { return true }
func (noPeers) AdoptRank(string) int                                 { return 0 }
func (noPeers) Keepers(string, []string, func(string) bool) []string { return nil }
func (noPeers) UnreachableSince(string) (time.Time, bool)            { return time.Time{}, false }
func (noPeers) Checkpoints(string) marblepondv1connect.CheckpointServiceClient {
	return marblepondv1connect.UnimplementedCheckpointServiceHandler{}
}

func newTestManager(node string, store objects.Store) *Manager {
	recorder := timeline.NewRecorder(node, 100, &log.Logger{Handler: discard.New()}, tally.NoopScope)
	table := route.NewTable(1, []route.Route{{Name: "r", Host: "h", Prefix: "/j/", Kind: route.Batch, Attempts: 3, CompleteWithin: time.Minute, AbandonAfter: time.Hour}}, route.Limits{})
	return NewManager(Config{Self: Holder{Node: node, Boot: 1, Address: node}, HoldsJobs: true, MaxValueBytes: 1 << 20, KeepResults: time.Hour, ResultCacheBytes: 1 << 20},
		Dependencies{Store: store, StoreLatency: func() time.Duration { return time.Millisecond }, Pool: noPool{}, Quarantine: noQuarantine{}, Peers: noPeers{}, Routes: func() *route.Table { return table }, RoutesFresh: func() bool { return true },
			Backlogs: unlimitedBacklogs{}, Ended: func(string) bool { return false }, Clock: clock.New(),
			Allotments: func() func(choose.Target) int { return func(choose.Target) int { return 0 } },
			Recorder:   recorder, Checker: invariant.New(recorder, false), Metrics: tally.NoopScope})
}

func submission(id string) *Submission {
	now := time.Now()
	return &Submission{ID: id, Host: "h", Path: "/j/x", Arrived: now, Deadline: now.Add(4 * time.Second),
		Route: &route.Route{Name: "r", Host: "h", Prefix: "/j/", Kind: route.Batch}, Items: []Item{{ID: "i0", Path: "/j/a"}, {ID: "i1", Path: "/j/b"}}}
}

// TestFormerHolderIsFenced: a holder that was suspended while another node took its job
// over lists nothing more, and the results that the new holder listed stay.
func TestFormerHolderIsFenced(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	paused, successor := newTestManager("paused", store), newTestManager("fresh", store)
	is.NoErr(paused.Submit(context.Background(), submission("job")))
	mine := paused.held["job"]
	mine.commitMu.Lock() // the holder is suspended

	successor.adopt(context.Background(), "job", paused.cfg.Self)
	theirs := successor.held["job"]
	is.True(theirs != nil)
	theirs.commitMu.Lock()
	theirs.progress.finish(1, Result{Item: "i1", Text: "of the new holder"}, time.Now())
	is.True(successor.commit(theirs))
	theirs.commitMu.Unlock()

	mine.progress.finish(0, Result{Item: "i0", Text: "of the former holder"}, time.Now())
	is.True(!paused.commit(mine)) // fenced
	mine.commitMu.Unlock()
	is.Equal(paused.held["job"], nil)
	page, err := successor.Read(context.Background(), "job", 0, 0)
	is.NoErr(err)
	is.Equal(len(page.Results), 1)
	is.Equal(page.Results[0].Text, "of the new holder")
	page, err = paused.Read(context.Background(), "job", 0, 0) // from the object store
	is.NoErr(err)
	is.Equal(page.Results[0].Text, "of the new holder")
}

// TestRemovedWhenExpired: all objects of an expired job are deleted from the object store.
func TestRemovedWhenExpired(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	m := newTestManager("n", store)
	is.NoErr(m.Submit(context.Background(), submission("old")))
	h := m.held["old"]
	h.commitMu.Lock()
	h.progress.finish(0, Result{Item: "i0"}, time.Now())
	is.True(m.commit(h))
	h.commitMu.Unlock()
	head := h.head
	m.remove(context.Background(), "old", &head)
	is.Equal(len(store.objects), 0)
}

// unreachablePeers reports every node as unreachable since a time.
type unreachablePeers struct {
	noPeers
	since time.Time
}

func (p unreachablePeers) UnreachableSince(string) (time.Time, bool) { return p.since, true }

// TestUnreachableTimeCountsDuringStoreOutage: TakeOverAfter counts from when the last
// message of the holder was received, even if the object store could not be read until now.
func TestUnreachableTimeCountsDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	m := newTestManager("n1", newMemoryStore())
	m.cfg.TakeOverAfter = 6 * time.Second
	holder := Holder{Node: "lost", Boot: 1, Address: "lost"}
	m.Peers = unreachablePeers{since: time.Now().Add(-7 * time.Second)}
	lost, _ := m.unreachableHolder(holder, []string{"j"})
	is.Equal(lost, []string{"j"})
	m.Peers = unreachablePeers{since: time.Now().Add(-2 * time.Second)}
	lost, sweepSoon := m.unreachableHolder(Holder{Node: "quiet", Boot: 1}, []string{"j"})
	is.Equal(len(lost), 0)
	is.True(sweepSoon)
}

// TestSuspendedHolderAsksTheStore: another node takes a job over while the VM of its holder
// is suspended. After the suspension no timer and no message reports that, so the holder
// has to read the head, and releases the job.
func TestSuspendedHolderAsksTheStore(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	var suspended atomic.Int64
	holder, other := newTestManager("holder", store), newTestManager("other", store)
	holder.Clock = clock.NewWithSuspensions(func() time.Duration { return time.Duration(suspended.Load()) })
	holder.cfg.SweepInterval, holder.cfg.CheckpointInterval = time.Hour, time.Hour
	is.NoErr(holder.Submit(context.Background(), submission("job")))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go holder.Run(ctx)
	other.adopt(context.Background(), "job", holder.cfg.Self)
	time.Sleep(3 * allRunningInterval)
	is.Equal(holder.Demand(), 2) // it has not noticed the takeover yet
	suspended.Store(int64(10 * time.Second))
	for range 100 {
		if holder.Demand() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("it still works on the job a second after its suspension")
}

// unlimitedBacklogs accepts every job.
type unlimitedBacklogs struct{}

func (unlimitedBacklogs) Reserve(_ context.Context, _ backlog.Key, _, _ int64, granted func()) error {
	granted()
	return nil
}
