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
	"github.com/marblepond/marblepond/internal/request/fingerprint"
	"github.com/marblepond/marblepond/internal/request/quarantine"
	"github.com/marblepond/marblepond/internal/request/schedule"
	"github.com/marblepond/marblepond/internal/version/route"
)

// Pool places items on targets.
type Pool interface {
	ChooseBatch(need choose.Need) (choose.Target, bool)
	// EndBatch takes the end of an item's attempt; yielded says whether it was
	// stopped to make room, as Yielding noted.
	EndBatch(t choose.Target, outcome choose.Outcome, yielded bool)
	// Excess returns how many of this node's items are to make room, by target.
	Excess() map[string]int
	// Yielding notes that an item at a target was told to make room.
	Yielding(t choose.Target)
	// RefusedItem notes that a target refused an item because it was full.
	RefusedItem(t choose.Target)
	Leave(t choose.Target, why string)
	// Evacuated reports whether a target stands in a data centre that is evacuated.
	Evacuated(t choose.Target) bool
	// WhenGone has a function called when a target is known to have started again; stop
	// takes it back. What ran there before is lost, what was sent since is not.
	WhenGone(t choose.Target, ended func()) (stop func())
}

// Backlogs counts the tokens that wait over all nodes.
type Backlogs interface {
	// Reserve has a job of so many tokens counted over all nodes, and calls granted, which
	// has it counted by WaitingTokens, if it fits. The error is of errkind, and promises
	// that the job does not run.
	Reserve(ctx context.Context, key backlog.Key, job, limit int64, granted func()) error
}

// Quarantine knows the work under which targets crash.
type Quarantine interface {
	// Refuse returns the error that refuses such work, nil for all other work.
	Refuse(work *fingerprint.Work) error
	// Lost takes work whose connection to a target broke, and Completed work that was
	// answered whole.
	Lost(work *fingerprint.Work, t choose.Target)
	// EndedBefore reports whether a target was known to have ended when an attempt was
	// sent there, which has then met the next incarnation.
	EndedBefore(t choose.Target) bool
	Completed(work *fingerprint.Work)
	// Ended takes proof that an incarnation of a target has ended.
	Ended(t choose.Target, proof quarantine.Proof)
	// OnRefusal has a function called when work is refused that is under way; done
	// takes it back.
	OnRefusal(work *fingerprint.Work, stop func()) (done func())
}

// Peers reaches the job services of other nodes.
type Peers interface {
	Job(address string) marblepondv1connect.JobServiceClient
	// Holders returns the addresses of the nodes that may hold jobs, without
	// this one.
	Holders() []string
	// Locator returns the address of the node of this data centre that looks
	// the head of a job up for all others, "" when this node does.
	Locator(job string) string
	// IsSweeper reports whether this node is one of the few of its data centre that
	// look for lost jobs of others.
	IsSweeper() bool
	// AdoptRank returns the place of this node in the order of those that may
	// take a job over, 0 for the first.
	AdoptRank(job string) int
	// UnreachableSince returns when a node that is heard no more was last heard; false:
	// it is heard, or never was.
	UnreachableSince(node string) (time.Time, bool)
	// Checkpoints reaches the checkpoint service of another node, and Keepers
	// returns the addresses of the nodes that are to keep a job's checkpoint, among
	// those that are usable: the present ones while they are there.
	Checkpoints(address string) marblepondv1connect.CheckpointServiceClient
	Keepers(job string, present []string, usable func(address string) bool) []string
}

// Config of a manager.
type Config struct {
	Self Holder
	// HoldsJobs says whether this node holds jobs; one that does not only reads.
	HoldsJobs     bool
	MaxValueBytes int // largest value of the store, in bytes
	KeepResults   time.Duration
	TakeOverAfter time.Duration
	SweepInterval time.Duration
	// EvacuatedWithin is the time in which an evacuation has to be in force; 0: there are
	// none.
	EvacuatedWithin time.Duration
	// CheckpointInterval is the time between saves of how far items have come; 0:
	// nothing is saved.
	CheckpointInterval time.Duration
	// Selectors are the headers of an item whose values change what it asks for.
	Selectors []string
	// ResultCacheBytes bounds the results kept in memory, in bytes.
	ResultCacheBytes int
}

// Dependencies are what a manager works with.
type Dependencies struct {
	Store objects.Store
	// StoreLatency returns how long the store takes to answer, 0 while that is not
	// known or it does not answer.
	StoreLatency func() time.Duration
	Pool         Pool
	Quarantine   Quarantine
	Sender       target.Sender
	Peers        Peers
	// Routes returns the routing table in force, nil before the first.
	Routes func() *route.Table
	// RoutesFresh reports whether the table is trusted to hold every route.
	RoutesFresh func() bool
	Backlogs    Backlogs
	// Ended reports whether the end of a job is known to this node.
	Ended func(job string) bool
	// Clock counts suspensions of the machine.
	Clock *clock.Clock
	// Allotments returns the function that tells how many items this node may have
	// at a target at once, by what is known now. It must not be called, but its
	// result may be, while the manager or the pool is locked.
	Allotments func() func(t choose.Target) int
	Recorder   *timeline.Recorder
	Checker    *invariant.Checker
	Metrics    tally.Scope
}

// Manager keeps the jobs of one node. It is safe for concurrent use.
type Manager struct {
	cfg Config
	Dependencies
	results     *resultCache
	headReads   singleflight.Group // of heads, by job
	headsListed atomic.Bool        // all heads were listed in this life of the process
	scheduleNow chan struct{}      // the scheduler looks at once
	sweepNow    chan struct{}      // the next sweep comes at once
	stopped     chan struct{}      // closed when Run ends
	saveMu      sync.Mutex         // held while checkpoints are sent: keepers get them in order

	mu               sync.Mutex
	fair             *schedule.FairQueue // among workspaces
	held             map[string]*heldJob
	reserved         map[backlog.Key]int64 // tokens of submissions in progress
	draining         bool
	evacuatingSince  time.Time            // since when items run at targets that are evacuated; zero: none does
	unreachableSince map[string]time.Time // holders: since when they do not answer
	orphanedSince    map[string]time.Time // jobs that nobody holds: since when this node knows
	heads            map[string]knownHead // of jobs that others hold
	endedAt          map[string]time.Time // when the end of a job was told; the copy of the store may be older
	toForget         map[string][]string  // by keeper: jobs whose checkpoint is not needed any more
	keeperStates     map[string]keeperState
	committers       sync.WaitGroup
}

// heldJob is a job that this node holds.
type heldJob struct {
	id          string
	head        Head
	revision    int64
	items       []Item
	works       []fingerprint.Work // what the items ask for
	progress    *progress
	commitMu    sync.Mutex // held during a commit: one at a time changes the head
	sequence    int        // segments written by this holder
	heldSince   time.Time  // when this node came to hold it
	verifiedAt  time.Time  // when the store was last asked because another node says it holds it
	ended       bool
	released    bool // this node no longer holds it
	checkpoints checkpoints
	stops       map[int]stopFunc // running items
	commitNow   chan struct{}    // the committer looks at once
	changed     chan struct{}    // closed when results were listed
}

// stopFunc ends the attempt at an item for a reason. It returns whether that was
// what ended it.
type stopFunc func(cause error) bool

// NewManager returns a manager; Run starts it.
func NewManager(cfg Config, deps Dependencies) *Manager {
	return &Manager{cfg: cfg, Dependencies: deps, results: newResultCache(cfg.ResultCacheBytes), scheduleNow: make(chan struct{}, 1), sweepNow: make(chan struct{}, 1), stopped: make(chan struct{}),
		fair: schedule.NewFairQueue(), held: map[string]*heldJob{}, reserved: map[backlog.Key]int64{}, unreachableSince: map[string]time.Time{}, orphanedSince: map[string]time.Time{}, heads: map[string]knownHead{},
		endedAt: map[string]time.Time{}, toForget: map[string][]string{}, keeperStates: map[string]keeperState{}}
}

// Run schedules items and looks for jobs without a holder until ctx ends.
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

// startHeldJob starts to work on a job whose head names this node. from is how far its
// items came under an earlier holder, as far as that is known.
func (m *Manager) startHeldJob(id string, head Head, revision int64, items []Item, from []*v1.JobCheckpoint, why string) {
	h := &heldJob{id: id, heldSince: time.Now(), head: head, revision: revision, items: items, works: worksOf(&head, items, m.cfg.Selectors), progress: newProgress(&head),
		stops: map[int]stopFunc{}, commitNow: make(chan struct{}, 1), changed: make(chan struct{})}
	h.checkpoints.setKeepers(head.Keepers)
	m.mu.Lock()
	if m.held[id] != nil {
		m.mu.Unlock()
		return
	}
	h.ended = m.endKnown(id)
	m.restore(h, from)
	m.held[id] = h
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

// worksOf returns what items ask for. An item is sent as the same request would be
// that a caller sends by itself, and so has its fingerprint.
func worksOf(head *Head, items []Item, selectors []string) []fingerprint.Work {
	works := make([]fingerprint.Work, len(items))
	for i := range items {
		w := &works[i]
		w.Method, w.Host, w.Path, w.Body = http.MethodPost, head.Host, items[i].Path, items[i].Body
		w.Selectors, w.Workspace = fingerprint.Select(selectors, items[i].header().Get), head.Workspace
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

// release ends this node's hold on a job. The caller holds m.mu.
func (m *Manager) release(h *heldJob, why string) {
	if h.released {
		return
	}
	h.released = true
	for _, stop := range h.stops {
		stop(errReleased)
	}
	delete(m.held, h.id)
	close(h.changed)
	h.changed = make(chan struct{})
	h.wakeCommitter()
	m.Recorder.Record(timeline.JobReleased, h.id, "", why)
}

// MarkEnded takes the news that the caller of a job has ended it.
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

// endKnown reports whether the end of a job is known here, from the copy of the
// store or from another node. The caller holds m.mu.
func (m *Manager) endKnown(id string) bool {
	_, notified := m.endedAt[id]
	return notified || m.Ended(id)
}

// routeOf returns the route of a job in the table in force, nil when it has none.
func (m *Manager) routeOf(head *Head) *route.Route {
	table := m.Routes()
	if table == nil {
		return nil
	}
	return table.Match(head.Host, head.Path)
}

// dueTime returns when a job's results are due.
func dueTime(head *Head, r *route.Route) time.Time {
	at := time.UnixMilli(head.Submitted)
	if r != nil {
		at = at.Add(r.CompleteWithin)
	}
	return at
}

// heldByDueTime returns the held jobs, earliest due first. The caller holds m.mu.
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
