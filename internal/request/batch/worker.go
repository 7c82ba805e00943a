package batch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/connection/platform"
	"github.com/marblepond/marblepond/internal/process/clock"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/process/member"
	"github.com/marblepond/marblepond/internal/process/rendezvous"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/record"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/pace"
	"github.com/marblepond/marblepond/internal/request/run"
	"github.com/marblepond/marblepond/internal/version/fleet"
	"github.com/marblepond/marblepond/internal/version/targets"
)

// Config configures a Worker.
type Config struct {
	LeaseTTL     time.Duration
	OutageGrace  time.Duration // how long after LeaseTTL idempotent items may be dispatched
	CommitEvery  time.Duration // interval of commits, which also renew the lease
	ItemAttempts int           // failed attempts after which an item ends with an error
	WatchTimeout time.Duration
	Pace         pace.Config
}

// Worker runs batch items at the targets that this node owns, in slots that online
// requests leave free.
type Worker struct {
	cfg      Config
	self     record.Holder
	store    *Store
	platform *platform.Client
	runner   *run.Runner
	targets  *targets.Manager
	members  func() *member.View
	config   func() *fleet.Config
	recorder *timeline.Recorder
	checker  *invariant.Checker
	metrics  tally.Scope
	clock    *clock.Clock

	wake chan struct{} // has a value when the dispatch loop is to run at once

	mu        sync.Mutex
	pacer     *pace.Pacer
	jobs      map[string]*jobView // open and cancelling, by ID
	leases    map[string]*lease   // by name
	queues    map[string][]*item  // by service, next to be dispatched first
	running   map[string][]*item  // by target, in the order of dispatch
	suspects  *suspectTracker
	wanted    map[string]bool // services with free slots and no queued items
	acquiring bool
	draining  bool
}

// Dependencies are the components that a worker uses.
type Dependencies struct {
	Store    *Store
	Platform *platform.Client
	Runner   *run.Runner
	Targets  *targets.Manager
	Members  func() *member.View
	Config   func() *fleet.Config
	Recorder *timeline.Recorder
	Checker  *invariant.Checker
	Metrics  tally.Scope
	Clock    *clock.Clock // measures the expiry of leases
}

// NewWorker returns a worker; Run starts it.
func NewWorker(cfg Config, self record.Holder, deps Dependencies) *Worker {
	return &Worker{
		cfg: cfg, self: self, store: deps.Store, platform: deps.Platform, runner: deps.Runner, targets: deps.Targets, members: deps.Members,
		config: deps.Config, recorder: deps.Recorder, checker: deps.Checker, metrics: deps.Metrics, clock: deps.Clock, wake: make(chan struct{}, 1),
		pacer: pace.New(cfg.Pace), jobs: map[string]*jobView{}, leases: map[string]*lease{}, queues: map[string][]*item{},
		running: map[string][]*item{}, suspects: newSuspectTracker(), wanted: map[string]bool{},
	}
}

// InFlight returns the number of batch items in flight at a target.
func (w *Worker) InFlight(target string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pacer.Batch(target)
}

// HandleLoadReport processes the load report of an owned target.
func (w *Worker) HandleLoadReport(target string, load choose.Load, usable bool) {
	w.mu.Lock()
	w.pacer.SetCapacity(target, load.MaxRunning, usable)
	w.mu.Unlock()
	w.signal()
}

// SetOwnedTargets sets the targets that this node owns.
func (w *Worker) SetOwnedTargets(ids []string) {
	w.mu.Lock()
	w.pacer.SetOwned(ids)
	w.mu.Unlock()
	w.signal()
}

// HandlePressure processes a node's counts of online requests and preempts batch
// items at once where too many run.
func (w *Worker) HandlePressure(req *v1.PressureRequest) {
	now := time.Now()
	w.mu.Lock()
	for _, t := range req.Targets {
		w.pacer.RecordOnline(now, t.Target, req.Node, req.Incarnation, req.Seq, int(t.Online))
	}
	w.preemptExcess(now)
	w.mu.Unlock()
	w.signal()
}

// DropDeadNodes drops the counts of online requests of nodes that are dead.
func (w *Worker) DropDeadNodes(view *member.View) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range view.Members {
		if m.State == member.Dead {
			w.pacer.RemoveNode(m.ID)
		}
	}
}

// signal makes the dispatch loop run without waiting for its next tick.
func (w *Worker) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// dispatchInterval is the longest time between two checks for free slots.
const dispatchInterval = 50 * time.Millisecond

// Run runs batch items until ctx ends.
func (w *Worker) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { w.watchJobs(ctx) })
	wg.Go(func() { w.closeJobs(ctx) })
	wg.Go(func() { w.dispatchLoop(ctx) })
	wg.Wait()
}

func (w *Worker) dispatchLoop(ctx context.Context) {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		case <-ticker.C:
		}
		w.mu.Lock()
		now := time.Now()
		w.preemptExcess(now)
		w.fillFreeSlots(ctx, now)
		if len(w.wanted) > 0 && !w.acquiring && !w.draining {
			w.acquiring = true
			go w.acquireMore(ctx)
		}
		w.mu.Unlock()
	}
}

// preemptExcess cancels the most recently started items of targets that run more
// batch items than allowed; they are requeued when their attempts end.
// Non-idempotent items are not preempted. The caller holds w.mu.
func (w *Worker) preemptExcess(now time.Time) {
	for _, excess := range w.pacer.Excess(now) {
		list := w.running[excess.Target]
		n := excess.Count
		for _, it := range list {
			if it.preempted {
				n--
			}
		}
		for i := len(list) - 1; i >= 0 && n > 0; i-- {
			if it := list[i]; !it.preempted && !it.lease.job.NonIdempotent {
				it.preempted = true
				it.cancel(errPreempted)
				w.recorder.Record(timeline.BatchYielded, it.id(), excess.Target, "online requests need the slot")
				n--
			}
		}
	}
}

// fillFreeSlots dispatches queued items to free slots and sets w.wanted. The caller
// holds w.mu.
func (w *Worker) fillFreeSlots(ctx context.Context, now time.Time) {
	clear(w.wanted)
	for _, slot := range w.pacer.Free(now) {
		target, usable := w.targets.Usable(slot.Target)
		if !usable {
			continue
		}
		for range slot.Count {
			it := w.takeNext(target.Service, !w.suspects.runningAt(target.ID))
			if it == nil {
				w.wanted[target.Service] = true
				break
			}
			w.dispatch(ctx, it, target)
		}
	}
}

// takeNext removes the next item of a service that may be dispatched from its queue.
// Suspects are skipped unless allowed. The caller holds w.mu.
func (w *Worker) takeNext(service string, allowSuspects bool) *item {
	queue := w.queues[service]
	for i, it := range queue {
		if it.lease.stopped || (it.suspect && !allowSuspects) {
			continue
		}
		if w.valid(it.lease) && it.lease.jobOpen() {
			w.queues[service] = append(queue[:i:i], queue[i+1:]...)
			return it
		}
	}
	return nil
}

// ownsTargetOf reports whether this node owns a usable target of the service. The
// caller holds w.mu.
func (w *Worker) ownsTargetOf(service string) bool {
	for _, id := range w.pacer.Owned() {
		if target, usable := w.targets.Usable(id); usable && target.Service == service {
			return true
		}
	}
	return false
}

// requeue puts an item back into the queue of its service.
func (w *Worker) requeue(it *item, front bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if it.lease.stopped {
		return
	}
	queue := w.queues[it.service.Name]
	if front {
		w.queues[it.service.Name] = append([]*item{it}, queue...)
	} else {
		w.queues[it.service.Name] = append(queue, it)
	}
}

// claimGroupSize is the number of non-idempotent items whose start is committed
// together.
const claimGroupSize = 16

// nextClaims returns the items of a non-idempotent chunk whose start the next
// commit records, or, if the chunk is given back, the items whose recorded start
// it revokes because they were not dispatched. The caller holds w.mu.
func (w *Worker) nextClaims(l *lease, giveBack bool) (claim, returned []int) {
	if !l.job.NonIdempotent {
		return nil, nil
	}
	if giveBack {
		for _, it := range w.queues[l.job.ChunkService(l.chunk)] {
			if it.lease == l && it.claimed {
				returned = append(returned, it.index)
			}
		}
		return nil, returned
	}
	if !w.needsClaims(l) {
		return nil, nil
	}
	for _, it := range l.items[:min(claimGroupSize, len(l.items))] {
		claim = append(claim, it.index)
	}
	return claim, nil
}

// queuedItems returns the number of the lease's items in the queue. The caller
// holds w.mu.
func (w *Worker) queuedItems(l *lease) int {
	n := 0
	for _, it := range w.queues[l.job.ChunkService(l.chunk)] {
		if it.lease == l {
			n++
		}
	}
	return n
}

// enqueueClaimed moves items whose start is committed to the queue. The caller
// holds w.mu.
func (w *Worker) enqueueClaimed(l *lease, claim []int) {
	for range claim {
		it := l.items[0]
		l.items = l.items[1:]
		it.claimed = true
		w.queues[it.service.Name] = append(w.queues[it.service.Name], it)
	}
}

// needsClaims reports whether the next commit is to record the start of another
// group of a non-idempotent chunk: none of its items is queued any more. The
// caller holds w.mu.
func (w *Worker) needsClaims(l *lease) bool {
	return l.job.NonIdempotent && !l.stopped && len(l.items) > 0 && w.queuedItems(l) == 0
}

// acquireMore leases one chunk for a service in w.wanted. It tries the jobs in the
// order of their due times.
func (w *Worker) acquireMore(ctx context.Context) {
	defer func() {
		w.mu.Lock()
		w.acquiring = false
		w.mu.Unlock()
	}()
	w.mu.Lock()
	wanted := map[string]bool{}
	for service := range w.wanted {
		wanted[service] = true
	}
	views := w.openJobsByDueTime()
	w.mu.Unlock()
	for _, v := range views {
		if l := w.acquireFrom(ctx, v, wanted); l != nil {
			w.addLease(ctx, l)
			return
		}
	}
	wait.For(ctx, minRefreshInterval)
}

// openJobsByDueTime returns the open jobs, earliest due time first. The caller holds
// w.mu.
func (w *Worker) openJobsByDueTime() []*jobView {
	var views []*jobView
	for _, v := range w.jobs {
		if job, _ := v.current(); job.State == record.JobOpen {
			views = append(views, v)
		}
	}
	slices.SortFunc(views, func(a, b *jobView) int {
		if d := a.job.Due - b.job.Due; d != 0 {
			return int(d)
		}
		return int(a.job.Created - b.job.Created)
	})
	return views
}

// maxAcquireAttempts bounds the chunks of a job that are tried in one round.
const maxAcquireAttempts = 3

// acquireFrom leases a chunk of the job. Each node prefers other chunks, by
// rendezvous hashing, so that conflicting writes are rare.
func (w *Worker) acquireFrom(ctx context.Context, v *jobView, wanted map[string]bool) *lease {
	if err := v.refresh(ctx, w.platform); err != nil {
		return nil
	}
	job, _ := v.current()
	free := slices.DeleteFunc(v.leasable(w.canTakeOver), func(n int) bool { return !wanted[job.ChunkService(n)] })
	slices.SortFunc(free, func(a, b int) int {
		x, y := rendezvous.Weight(record.StateName(job.ID, a), w.self.Node), rendezvous.Weight(record.StateName(job.ID, b), w.self.Node)
		if x > y {
			return -1
		}
		return 1
	})
	for _, n := range free[:min(maxAcquireAttempts, len(free))] {
		if l := w.acquire(ctx, v, n); l != nil {
			return l
		}
	}
	return nil
}

// addLease queues the items of a new lease and starts its renewal loop.
func (w *Worker) addLease(ctx context.Context, l *lease) {
	w.mu.Lock()
	w.leases[leaseName(l)] = l
	if !l.job.NonIdempotent {
		for _, it := range l.items {
			w.queues[it.service.Name] = append(w.queues[it.service.Name], it)
		}
		l.items = nil
	}
	if l.job.NonIdempotent || l.remaining == 0 {
		l.requestCommit()
	}
	w.mu.Unlock()
	go w.renewLoop(ctx, l)
	w.signal()
}

// stopItems stops dispatching a lease's items and cancels those that run, except
// non-idempotent ones.
func (w *Worker) stopItems(l *lease) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l.stopped = true
	for _, list := range w.running {
		for _, it := range list {
			if it.lease == l && !l.job.NonIdempotent {
				it.cancel(errLeaseEnded)
			}
		}
	}
	w.dropQueued(l)
}

// dropQueued removes the lease's items from the queues. The caller holds w.mu.
func (w *Worker) dropQueued(l *lease) {
	for service, queue := range w.queues {
		w.queues[service] = slices.DeleteFunc(queue, func(it *item) bool { return it.lease == l })
	}
}

// idlePollInterval is the time between two checks whether a lease is idle or, while
// draining, given back.
const idlePollInterval = 10 * time.Millisecond

// waitIdle waits until no item of the lease runs.
func (w *Worker) waitIdle(ctx context.Context, l *lease) {
	for {
		w.mu.Lock()
		running := l.running
		w.mu.Unlock()
		if running == 0 || !wait.For(ctx, idlePollInterval) {
			return
		}
	}
}

// dropLease removes a lease that has ended.
func (w *Worker) dropLease(l *lease) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.leases, leaseName(l))
}

// Drain stops leasing chunks, lets running items end, commits their results and
// gives the leases back. It returns the number of leases not given back when ctx
// ended.
func (w *Worker) Drain(ctx context.Context) int {
	w.mu.Lock()
	w.draining = true
	for _, l := range w.leases {
		l.stopped = true
		if l.running == 0 {
			l.requestCommit() // the others commit when their last item ends
		}
	}
	w.mu.Unlock()
	for {
		w.mu.Lock()
		remaining := len(w.leases)
		w.mu.Unlock()
		if remaining == 0 || !wait.For(ctx, idlePollInterval) {
			return remaining
		}
	}
}
