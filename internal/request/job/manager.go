package job

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/singleflight"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/process/clock"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/backlog"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/continuation"
	"github.com/marblepond/marblepond/internal/request/fingerprint"
	"github.com/marblepond/marblepond/internal/request/quarantine"
	"github.com/marblepond/marblepond/internal/request/schedule"
	"github.com/marblepond/marblepond/internal/version/route"
)

// Pool chooses targets for items and counts the items there.
type Pool interface {
	// ChooseBatch chooses a target for an item and counts the item there.
	ChooseBatch(need choose.Need) (choose.Target, bool)
	// EndBatch records the end of an item's attempt; yielded says whether the attempt was
	// stopped for an online request and counted by MarkYielding.
	EndBatch(t choose.Target, outcome choose.Outcome, yielded bool)
	// Excess returns how many of this node's items have to stop for online requests, by
	// target.
	Excess() map[string]int
	// SharedView reports whether targets are judged by what all nodes observe.
	SharedView() bool
	// MarkYielding counts an item at a target that was stopped for an online request.
	MarkYielding(t choose.Target)
	// MarkItemRefused records that a target refused an item because it was full.
	MarkItemRefused(t choose.Target)
	// MarkLeaving stops new requests to a target.
	MarkLeaving(t choose.Target, why string)
	// RecordItemEvent records an event of an item, took after the one before; 0: it is the
	// first of its attempt.
	RecordItemEvent(t choose.Target, took time.Duration)
	// SeveralVersions reports whether targets of several versions of a service are listed, and
	// Supply whether a target is left at which an answer that has begun may continue.
	SeveralVersions(service string) bool
	Supply(service string, o continuation.Origin) continuation.Supply
	// Evacuated reports whether a target is in a data centre that is evacuated.
	Evacuated(t choose.Target) bool
	// OnRestart registers a function that is called when a target is known to have
	// restarted; stop unregisters it. What ran there before the restart is lost, what was
	// sent since is not.
	OnRestart(t choose.Target, ended func()) (stop func())
}

// Backlogs limits the tokens of waiting items over all nodes.
type Backlogs interface {
	// Reserve checks whether a job of so many tokens fits under the limit, counted over all
	// nodes. If so, it calls granted, which makes WaitingTokens include the job. The error
	// is of errkind and guarantees that the job does not run.
	Reserve(ctx context.Context, key backlog.Key, job, limit int64, granted func()) error
}

// Quarantine is told what the ends of attempts show about crashes of targets. There is no verdict
// on items themselves, because they are not the cause of crashes.
type Quarantine interface {
	// RefusedParts returns the verdict on parts of an item's prompt; refused is false if there
	// is none.
	RefusedParts(item *fingerprint.Work) (parts fingerprint.ID, refused bool)
	// Lost records that the connection to a target broke while it ran the work, Answering that
	// an answer has been arriving since a time, and Completed that the work was answered
	// completely. began is when the answer began, zero if it had not.
	Lost(work *fingerprint.Work, t choose.Target, began time.Time)
	Answering(work *fingerprint.Work, t choose.Target, began time.Time)
	Completed(work *fingerprint.Work, t choose.Target, began time.Time)
	// EndedBefore reports whether the incarnation of a target was known to have ended when
	// an attempt was sent there. Such an attempt reached the next incarnation.
	EndedBefore(t choose.Target) bool
	// Ended records proof that an incarnation of a target has ended.
	Ended(t choose.Target, proof quarantine.Proof)
}

// Peers gives access to other nodes.
type Peers interface {
	// Job returns a client of the job service at an address.
	Job(address string) marblepondv1connect.JobServiceClient
	// Poll returns one that fails with CodeResourceExhausted where an answer is over MaxPollBytes.
	Poll(address string) marblepondv1connect.JobServiceClient
	// Holders returns the addresses of the other nodes that may hold jobs.
	Holders() []string
	// Locator returns the address of the node that reads the head of a job for all nodes of
	// this data centre, or "" if this node does.
	Locator(job string) string
	// IsSweeper reports whether this node is one of the few in its data centre that scan
	// for lost jobs of other nodes.
	IsSweeper() bool
	// AdoptRank returns the position of this node in the order in which nodes may take a
	// job over, 0 for the first.
	AdoptRank(job string) int
	// UnreachableSince returns when the last message of an unreachable node was received;
	// false: the node is reachable or was never known.
	UnreachableSince(node string) (time.Time, bool)
	// Checkpoints returns a client of the checkpoint service at an address.
	Checkpoints(address string) marblepondv1connect.CheckpointServiceClient
	// Keepers returns the addresses of the nodes that store a job's checkpoint, chosen from
	// the usable ones. Those in present stay chosen as long as they qualify.
	Keepers(job string, present []string, usable func(address string) bool) []string
}

// Config configures a Manager.
type Config struct {
	Self Holder
	// HoldsJobs says whether this node holds jobs; otherwise it only serves reads.
	HoldsJobs     bool
	MaxValueBytes int           // largest value that the object store accepts
	KeepResults   time.Duration // how long after its submission a job is readable
	TakeOverAfter time.Duration // how long a holder must be unresponsive before its jobs are taken over
	SweepInterval time.Duration // time between scans for lost jobs
	// EvacuatedWithin is the time within which an evacuation has to be in effect; 0: there
	// are no evacuations.
	EvacuatedWithin time.Duration
	// CheckpointInterval is the time between saves of the items' progress; 0 disables them.
	CheckpointInterval time.Duration
	// Selectors are the headers of an item that are part of its fingerprint.
	Selectors []string
	// PromptParts returns the names of the shared parts of an item's prompt.
	PromptParts func(values func(name string) []string) []string
	// ResultCacheBytes bounds the results that are cached in memory, and as much again the output of
	// items that is not stored yet.
	ResultCacheBytes int
	// MaxHeldBytes bounds the items of the held jobs up to which this node accepts more, and takes over
	// those of lost nodes; 0: no bound.
	MaxHeldBytes int64
	// MaxReadBytes bounds the memory for reads of stored results and items that callers cause; 0: a
	// default.
	MaxReadBytes int64
	// MaxReads bounds the connections for such reads, and as many on which holders are asked to wait for
	// results; 0: a default.
	MaxReads int
	// MaxParsedHeaderBytes bounds the parsed headers of running items; 0: no bound. Small ones do not
	// count, and a job is refused if one header alone is over the bound.
	MaxParsedHeaderBytes int64
}

// Dependencies are the components that a Manager uses.
type Dependencies struct {
	Store objects.Store
	// StoreLatency returns how long the object store takes to answer, 0 if that is unknown
	// or it does not answer.
	StoreLatency func() time.Duration
	// StoreResumed reports whether the object store answered a node after a silence, at a
	// time after since. nil: that is not known.
	StoreResumed func(since time.Time) bool
	// SharedView reports whether the shared view is on (docs/design/store-calls.md). nil: it
	// never is.
	SharedView func() bool
	Pool       Pool
	Quarantine Quarantine
	Sender     target.Sender
	Peers      Peers
	// Routes returns the current routing table, nil before the first one is known.
	Routes func() *route.Table
	// RoutesFresh reports whether the table can be relied on to contain every route.
	RoutesFresh func() bool
	Backlogs    Backlogs
	// Ended reports whether this node's cached copy of the object store contains the end of
	// a job.
	Ended func(job string) bool
	// EndsKnown reports whether that copy has ever been complete since this node started. nil: it
	// always is.
	EndsKnown func() bool
	// Clock also counts the time for which the VM was suspended.
	Clock *clock.Clock
	// Allotments returns a function that returns how many items this node may have at a
	// target at once, from what is known now. Call Allotments only while neither the
	// manager nor the pool is locked; its result may be called under their locks.
	Allotments func() func(t choose.Target) int
	Recorder   *timeline.Recorder
	Checker    *invariant.Checker
	Metrics    tally.Scope
}

// Manager runs the jobs that this node holds, and serves reads of all jobs. It is safe for
// concurrent use.
type Manager struct {
	cfg Config
	Dependencies
	results     *resultCache
	reads       *bulkReads
	headReads   singleflight.Group // shared reads of heads, by job
	headsListed atomic.Bool        // this process has listed all heads
	// lastWriteTook is how long the last write of a submission took that the object store answered,
	// in nanoseconds.
	lastWriteTook atomic.Int64
	scheduleNow   chan struct{} // wakes the scheduler
	sweepNow      chan struct{} // starts the next sweep
	stopped       chan struct{} // closed when Run ends
	saveMu        sync.Mutex    // held while checkpoints are sent, so that keepers receive them in order

	mu               sync.Mutex
	fair             *schedule.FairQueue // orders items among workspaces
	held             map[string]*heldJob
	heldBytes        int64                 // of the items of held, and of jobs that are being accepted
	parsedHeaders    int64                 // bytes of the large headers of running items
	outputFull       bool                  // see updateOutputFull
	reserved         map[backlog.Key]int64 // tokens of submissions in progress, and of jobs that are being handed over
	draining         bool
	evacuatingSince  time.Time            // since when items run at evacuated targets; zero: none does
	unreachableSince map[string]time.Time // by Holder.String: since when the holder is unresponsive
	orphanedSince    map[string]time.Time // by job: when this node found that no node runs it
	heads            map[string]knownHead // of jobs that this node does not hold
	endedAt          map[string]time.Time // by job: when its end was received; the cached copy of the object store may lag behind
	toForget         map[string][]string  // by keeper: jobs whose checkpoint is no longer needed
	keeperStates     map[string]keeperState
	trials           trials // of items with refused parts of prompts
	committers       sync.WaitGroup
}

// heldJob is a job that this node holds.
type heldJob struct {
	id       string
	bytes    int64 // of its items
	head     Head
	revision int64
	items    []Item
	headers  []int64            // memory of each item's header while it runs; 0: it is small
	works    []fingerprint.Work // of each item
	progress *progress
	commitMu sync.Mutex // held during a commit, so that only one at a time updates the head
	// commitReason is why the commit in progress is made, with the shared view on.
	commitReason commitReason
	sequence     int       // number of the last segment that this holder wrote
	segmentBytes int       // size to which objects of results are filled; 0: not decided yet
	rejections   int       // commits in a row that the object store rejected for their content
	commitAfter  time.Time // earliest time of the next commit after a rejection
	heldSince    time.Time // when this node started to hold it
	verifiedAt   time.Time // when the head was last read because another node announced that it holds the job
	ended        bool
	released     bool // this node no longer holds it
	checkpoints  checkpoints
	stops        map[int]stopFunc // of running items, by index
	commitNow    chan struct{}    // wakes the committer
	changed      chan struct{}    // closed and replaced when results are listed or the job is released
}

// stopFunc cancels the attempt at an item with a cause. It reports whether the attempt
// ended for that cause.
type stopFunc func(cause error) bool

// NewManager returns a manager; Run starts it.
func NewManager(cfg Config, deps Dependencies) *Manager {
	return &Manager{cfg: cfg, Dependencies: deps, results: newResultCache(cfg.ResultCacheBytes), reads: newBulkReads(cfg.MaxReadBytes, cfg.MaxReads), scheduleNow: make(chan struct{}, 1), sweepNow: make(chan struct{}, 1), stopped: make(chan struct{}),
		fair: schedule.NewFairQueue(), held: map[string]*heldJob{}, reserved: map[backlog.Key]int64{}, unreachableSince: map[string]time.Time{}, orphanedSince: map[string]time.Time{}, heads: map[string]knownHead{},
		endedAt: map[string]time.Time{}, toForget: map[string][]string{}, keeperStates: map[string]keeperState{}, trials: trials{}}
}

// sharedView reports whether the shared view is on.
func (m *Manager) sharedView() bool { return m.SharedView != nil && m.SharedView() }

// Run schedules items, takes over lost jobs and saves checkpoints until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	if !m.cfg.HoldsJobs {
		<-ctx.Done()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { m.schedule(ctx) })
	wg.Go(func() { m.sweep(ctx) })
	wg.Go(func() { m.saveLoop(ctx) })
	wg.Wait()
	close(m.stopped)
	m.committers.Wait()
}

// startHeldJob starts to run a job whose head names this node as its holder. loaded contains
// the checkpoints that were loaded from the job's keepers.
func (m *Manager) startHeldJob(id string, head Head, revision int64, items []Item, loaded []*v1.JobCheckpoint, why string) {
	h := &heldJob{id: id, bytes: heldBytes(items), heldSince: time.Now(), head: head, revision: revision, items: items, headers: largeHeaders(items), works: m.worksOf(&head, items), progress: newProgress(&head),
		stops: map[int]stopFunc{}, commitNow: make(chan struct{}, 1), changed: make(chan struct{})}
	h.checkpoints.setKeepers(head.Keepers)
	m.mu.Lock()
	if m.held[id] != nil {
		m.mu.Unlock()
		return
	}
	h.ended = m.endKnown(id)
	m.restore(h, loaded)
	m.held[id] = h
	m.heldBytes += h.bytes
	delete(m.heads, id)
	delete(m.orphanedSince, id)
	m.committers.Add(1)
	m.mu.Unlock()
	m.Recorder.Record(timeline.JobHeld, id, "", why, timeline.Field{Name: "items", Value: head.Total},
		timeline.Field{Name: "listed", Value: head.Listed()}, timeline.Field{Name: "epoch", Value: head.Epoch})
	go func() {
		defer m.committers.Done()
		m.commitLoop(h)
	}()
	m.wakeScheduler()
}

// worksOf returns the work of each item.
func (m *Manager) worksOf(head *Head, items []Item) []fingerprint.Work {
	works := make([]fingerprint.Work, len(items))
	for i := range items {
		w := &works[i]
		w.Item, w.Method, w.Host, w.Path, w.Body = true, http.MethodPost, head.Host, items[i].Path, items[i].Body
		if r := m.routeOf(head); r != nil {
			w.Service = r.PickService(0)
		}
		w.Selectors, w.Workspace = fingerprint.Select(m.cfg.Selectors, items[i].Header.Get), head.Workspace
		if m.cfg.PromptParts != nil {
			w.PromptParts = func() []string { return m.cfg.PromptParts(items[i].Header.Values) }
		}
	}
	return works
}

func (m *Manager) wakeScheduler() {
	select {
	case m.scheduleNow <- struct{}{}:
	default:
	}
}

func (h *heldJob) wakeCommitter() {
	select {
	case h.commitNow <- struct{}{}:
	default:
	}
}

// release stops the work on a job that this node no longer holds. The caller holds m.mu.
func (m *Manager) release(h *heldJob, why string) {
	if h.released {
		return
	}
	h.released = true
	for _, stop := range h.stops {
		stop(errReleased)
	}
	delete(m.held, h.id)
	m.heldBytes -= h.bytes
	close(h.changed)
	h.changed = make(chan struct{})
	h.wakeCommitter()
	m.Recorder.Record(timeline.JobReleased, h.id, "", why)
}

// MarkEnded records that the caller of a job has ended it, and stops its items.
func (m *Manager) MarkEnded(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endedAt[id] = time.Now()
	h := m.held[id]
	if h == nil || h.ended {
		return
	}
	h.ended = true
	for _, stop := range h.stops {
		stop(errEnded)
	}
	h.wakeCommitter()
	m.Recorder.Record(timeline.JobEnded, id, "", "its caller ended it")
}

// endKnown reports whether this node knows that a job was ended, from its cached copy of
// the object store or from another node. The caller holds m.mu.
func (m *Manager) endKnown(id string) bool {
	_, notified := m.endedAt[id]
	return notified || m.Ended(id)
}

// endsKnown reports whether this node has read which jobs were ended. A node that has just started
// has not, and would send the items of jobs that were ended before it takes them over.
func (m *Manager) endsKnown() bool { return m.EndsKnown == nil || m.EndsKnown() }

// routeOf returns the route of a job in the current routing table, or nil if it has none.
func (m *Manager) routeOf(head *Head) *route.Route {
	table := m.Routes()
	if table == nil {
		return nil
	}
	return table.Match(head.Host, head.Path)
}

// dueTime returns when the results of a job are due.
func dueTime(head *Head, r *route.Route) time.Time {
	at := time.UnixMilli(head.Submitted)
	if r != nil {
		at = at.Add(r.CompleteWithin)
	}
	return at
}

// heldByDueTime returns the held jobs, earliest due time first. The caller holds m.mu.
func (m *Manager) heldByDueTime() []*heldJob {
	jobs := make([]*heldJob, 0, len(m.held))
	for _, h := range m.held {
		jobs = append(jobs, h)
	}
	slices.SortFunc(jobs, func(a, b *heldJob) int {
		return dueTime(&a.head, m.routeOf(&a.head)).Compare(dueTime(&b.head, m.routeOf(&b.head)))
	})
	return jobs
}
