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

// Config of a worker.
type Config struct {
	LeaseTTL     time.Duration
	OutageGrace  time.Duration
	CommitEvery  time.Duration
	ItemAttempts int
	WatchTimeout time.Duration
	Pace         pace.Config
}

// Worker runs batch items in the room online requests leave at the targets
// this node owns.
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

	wake chan struct{}

	mu        sync.Mutex
	pacer     *pace.Pacer
	jobs      map[string]*view   // open and cancelling
	leases    map[string]*lease  // by name
	queues    map[string][]*item // by service, next first
	running   map[string][]*item // by target
	suspects  *suspects
	wanted    map[string]bool // services with room and no items
	acquiring bool
	draining  bool
}

// Dependencies are what a worker works with.
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
	Clock    *clock.Clock // leases are told by it
}

// NewWorker returns a worker; Run starts it.
func NewWorker(cfg Config, self record.Holder, p Dependencies) *Worker {
	return &Worker{
		cfg: cfg, self: self, store: p.Store, platform: p.Platform, runner: p.Runner, targets: p.Targets, members: p.Members,
		config: p.Config, recorder: p.Recorder, checker: p.Checker, metrics: p.Metrics, clock: p.Clock, wake: make(chan struct{}, 1),
		pacer: pace.New(cfg.Pace), jobs: map[string]*view{}, leases: map[string]*lease{}, queues: map[string][]*item{},
		running: map[string][]*item{}, suspects: newSuspects(), wanted: map[string]bool{},
	}
}

// InFlight returns the batch items at a target.
func (w *Worker) InFlight(target string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pacer.Batch(target)
}

// HandleLoadReport takes an owned target's load report.
func (w *Worker) HandleLoadReport(target string, load choose.Load, usable bool) {
	w.mu.Lock()
	w.pacer.SetCapacity(target, load.MaxRunning, usable)
	w.mu.Unlock()
	w.signal()
}

// SetOwnedTargets sets the owned targets.
func (w *Worker) SetOwnedTargets(ids []string) {
	w.mu.Lock()
	w.pacer.SetOwned(ids)
	w.mu.Unlock()
	w.signal()
}

// HandlePressure takes a node's counts of online requests and makes room at once.
func (w *Worker) HandlePressure(req *v1.PressureRequest) {
	now := time.Now()
	w.mu.Lock()
	for _, t := range req.Targets {
		w.pacer.RecordOnline(now, t.Target, req.Node, req.Incarnation, req.Seq, int(t.Online))
	}
	w.yield(now)
	w.mu.Unlock()
	w.signal()
}

// DropDeadNodes drops the counts of nodes that are gone.
func (w *Worker) DropDeadNodes(view *member.View) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range view.Members {
		if m.State == member.Dead {
			w.pacer.RemoveNode(m.ID)
		}
	}
}

func (w *Worker) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// dispatchInterval is the longest pause between two looks at the slots.
const dispatchInterval = 50 * time.Millisecond

// Run works until ctx ends.
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
		w.yield(now)
		w.fill(ctx, now)
		if len(w.wanted) > 0 && !w.acquiring && !w.draining {
			w.acquiring = true
			go w.acquireMore(ctx)
		}
		w.mu.Unlock()
	}
}

// yield parks the youngest items of targets with more than their share.
func (w *Worker) yield(now time.Time) {
	for _, excess := range w.pacer.Excess(now) {
		list := w.running[excess.Target]
		n := excess.Count
		for _, it := range list {
			if it.parking {
				n--
			}
		}
		for i := len(list) - 1; i >= 0 && n > 0; i-- {
			if it := list[i]; !it.parking && !it.lease.job.NonIdempotent {
				it.parking = true
				it.cancel(errParked)
				w.recorder.Record(timeline.BatchYielded, it.id(), excess.Target, "online needs the place")
				n--
			}
		}
	}
}

// fill starts items in free slots.
func (w *Worker) fill(ctx context.Context, now time.Time) {
	clear(w.wanted)
	for _, slot := range w.pacer.Free(now) {
		target, usable := w.targets.Usable(slot.Target)
		if !usable {
			continue
		}
		for range slot.Count {
			it := w.next(target.Service, !w.suspects.at(target.ID))
			if it == nil {
				w.wanted[target.Service] = true
				break
			}
			w.start(ctx, it, target)
		}
	}
}

// next takes the next item of a service that may be dispatched, a suspect only
// where there is none.
func (w *Worker) next(service string, suspects bool) *item {
	queue := w.queues[service]
	for i, it := range queue {
		if it.lease.stopped || (it.suspect && !suspects) {
			continue
		}
		if w.valid(it.lease) && it.lease.open() {
			w.queues[service] = append(queue[:i:i], queue[i+1:]...)
			return it
		}
	}
	return nil
}

// serves reports whether this node owns a usable target of the service. The
// caller holds w.mu.
func (w *Worker) serves(service string) bool {
	for _, id := range w.pacer.Owned() {
		if target, usable := w.targets.Usable(id); usable && target.Service == service {
			return true
		}
	}
	return false
}

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

// claimGroup is how many non-idempotent items are marked as started at a time.
const claimGroup = 16

// claims returns the items of a non-idempotent chunk whose start the next
// commit is to record, and those to be taken back when the chunk is given
// back. The caller holds w.mu.
func (w *Worker) claims(l *lease, giveBack bool) (claim, returned []int) {
	if !l.job.NonIdempotent {
		return nil, nil
	}
	if giveBack {
		for _, it := range w.queues[l.job.ChunkService(l.n)] {
			if it.lease == l && it.claimed {
				returned = append(returned, it.index)
			}
		}
		return nil, returned
	}
	if !w.wantsClaims(l) {
		return nil, nil
	}
	for _, it := range l.items[:min(claimGroup, len(l.items))] {
		claim = append(claim, it.index)
	}
	return claim, nil
}

func (w *Worker) queued(l *lease) int {
	n := 0
	for _, it := range w.queues[l.job.ChunkService(l.n)] {
		if it.lease == l {
			n++
		}
	}
	return n
}

// release moves items whose start is committed to the queue. The caller holds
// w.mu.
func (w *Worker) release(l *lease, claim []int) {
	for range claim {
		it := l.items[0]
		l.items = l.items[1:]
		it.claimed = true
		w.queues[it.service.Name] = append(w.queues[it.service.Name], it)
	}
}

// wantsClaims reports whether the next group of a non-idempotent chunk is to
// be marked as started. The caller holds w.mu.
func (w *Worker) wantsClaims(l *lease) bool {
	return l.job.NonIdempotent && !l.stopped && len(l.items) > 0 && w.queued(l) == 0
}

// acquireMore leases chunks of the most urgent jobs for the services wanted.
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
	views := w.urgent()
	w.mu.Unlock()
	for _, v := range views {
		if l := w.acquireFrom(ctx, v, wanted); l != nil {
			w.adopt(ctx, l)
			return
		}
	}
	wait.For(ctx, refreshPause)
}

// urgent returns the open jobs, earliest due first. The caller holds w.mu.
func (w *Worker) urgent() []*view {
	var views []*view
	for _, v := range w.jobs {
		if job, _ := v.current(); job.State == record.JobOpen {
			views = append(views, v)
		}
	}
	slices.SortFunc(views, func(a, b *view) int {
		if d := a.job.Due - b.job.Due; d != 0 {
			return int(d)
		}
		return int(a.job.Created - b.job.Created)
	})
	return views
}

// acquireTries bounds the chunks tried in one round.
const acquireTries = 3

// acquireFrom leases a chunk of the job. Nodes prefer different chunks, so
// that they seldom meet at one.
func (w *Worker) acquireFrom(ctx context.Context, v *view, wanted map[string]bool) *lease {
	if err := v.refresh(ctx, w.platform); err != nil {
		return nil
	}
	job, _ := v.current()
	free := slices.DeleteFunc(v.free(w.takeable), func(n int) bool { return !wanted[job.ChunkService(n)] })
	slices.SortFunc(free, func(a, b int) int {
		x, y := rendezvous.Weight(record.StateName(job.ID, a), w.self.Node), rendezvous.Weight(record.StateName(job.ID, b), w.self.Node)
		if x > y {
			return -1
		}
		return 1
	})
	for _, n := range free[:min(acquireTries, len(free))] {
		if l := w.acquire(ctx, v, n); l != nil {
			return l
		}
	}
	return nil
}

// adopt puts a new lease to work.
func (w *Worker) adopt(ctx context.Context, l *lease) {
	w.mu.Lock()
	w.leases[name(l)] = l
	if !l.job.NonIdempotent {
		for _, it := range l.items {
			w.queues[it.service.Name] = append(w.queues[it.service.Name], it)
		}
		l.items = nil
	}
	if l.job.NonIdempotent || l.left == 0 {
		l.wake()
	}
	w.mu.Unlock()
	go w.keep(ctx, l)
	w.signal()
}

// halt stops a lease's dispatches and ends its running items.
func (w *Worker) halt(l *lease) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l.stopped = true
	for _, list := range w.running {
		for _, it := range list {
			if it.lease == l && !l.job.NonIdempotent {
				it.cancel(errHalted)
			}
		}
	}
	w.dropQueued(l)
}

func (w *Worker) dropQueued(l *lease) {
	for service, queue := range w.queues {
		w.queues[service] = slices.DeleteFunc(queue, func(it *item) bool { return it.lease == l })
	}
}

// idlePause is the pause between looks at a lease that is to become idle.
const idlePause = 10 * time.Millisecond

func (w *Worker) waitIdle(ctx context.Context, l *lease) {
	for {
		w.mu.Lock()
		running := l.running
		w.mu.Unlock()
		if running == 0 || !wait.For(ctx, idlePause) {
			return
		}
	}
}

func (w *Worker) forget(l *lease) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.leases, name(l))
}

// Drain stops taking chunks, lets running items end, commits what is finished
// and gives the leases back. It returns the number of leases not given back.
func (w *Worker) Drain(ctx context.Context) int {
	w.mu.Lock()
	w.draining = true
	for _, l := range w.leases {
		l.stopped = true
		if l.running == 0 {
			l.wake() // the others are woken by their last item
		}
	}
	w.mu.Unlock()
	for {
		w.mu.Lock()
		held := len(w.leases)
		w.mu.Unlock()
		if held == 0 || !wait.For(ctx, idlePause) {
			return held
		}
	}
}
