// Package targets keeps a node's picture of the targets of its data centre:
// the VM list, load reports, who owns which target, and the orders that make
// targets what the configuration asks for.
//
// Each target is owned by one node of its data centre, found by rendezvous
// hashing over the live members. The owner reads the target's load, passes it
// on with its heartbeats, and holds the target's batch slots.
package targets

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marblepond/marblepond/internal/connection/engine"
	"github.com/marblepond/marblepond/internal/connection/platform"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/process/member"
	"github.com/marblepond/marblepond/internal/process/membership"
	"github.com/marblepond/marblepond/internal/process/rendezvous"
	"github.com/marblepond/marblepond/internal/process/ring"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/warmup"
	"github.com/marblepond/marblepond/internal/version/fleet"
	"github.com/marblepond/marblepond/internal/version/order"
)

// Config of a manager.
type Config struct {
	VMListInterval time.Duration
	LoadInterval   time.Duration
	Choose         choose.Config
}

// Manager owns the table of targets.
type Manager struct {
	cfg        Config
	platform   *platform.Client
	engines    *engine.Client
	membership *membership.Manager
	recorder   *timeline.Recorder
	checker    *invariant.Checker
	config     func() *fleet.Config

	mu     sync.Mutex
	table  *choose.Table
	owners map[string]string    // target to node
	marked map[string]time.Time // when a VM was learned to be leaving
	// touched carries targets whose online count changed to the pressure
	// duty; dropping one is safe because counts sent are absolute.
	touched  *ring.Ring[string]
	batch    func(target string) int // own batch items in flight
	onReport func(target string, load choose.Load, usable bool)
	onOwn    func(ids []string)
	onEnded  func(t choose.Target)
	polls    map[string]*poll
	seq      atomic.Uint64
}

// poll is the state of reading one owned target.
type poll struct {
	misses  int
	renamed time.Time // when what is loaded last changed
	ordered time.Time
	busy    bool
}

// touchedSize bounds the touched ring.
const touchedSize = 4096

// New returns a manager.
func New(cfg Config, p *platform.Client, e *engine.Client, m *membership.Manager, r *timeline.Recorder, c *invariant.Checker, config func() *fleet.Config) *Manager {
	cfg.Choose.WarmUp = func(service string) warmup.Rate {
		if s := config().Services[service]; s != nil {
			return s.WarmUp
		}
		return warmup.Rate{}
	}
	return &Manager{
		cfg: cfg, platform: p, engines: e, membership: m, recorder: r, checker: c, config: config,
		table: choose.New(cfg.Choose), owners: map[string]string{}, marked: map[string]time.Time{}, polls: map[string]*poll{},
		touched:  ring.New[string](touchedSize, ring.DropOldest),
		batch:    func(string) int { return 0 },
		onReport: func(string, choose.Load, bool) {},
		onOwn:    func([]string) {},
		onEnded:  func(choose.Target) {},
	}
}

// SetBatch connects the batch side; call it before Run.
func (m *Manager) SetBatch(inFlight func(string) int, onReport func(string, choose.Load, bool), onOwn func([]string)) {
	m.batch, m.onReport, m.onOwn = inFlight, onReport, onOwn
}

// OnEnded has a function told each target whose process has started again, with the
// start that is over as incarnation; call it before Run.
func (m *Manager) OnEnded(f func(t choose.Target)) { m.onEnded = f }

// Run reads the VM list and the owned targets until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { m.readVMs(ctx) })
	wg.Go(func() { m.readLoads(ctx) })
	wg.Wait()
}

const (
	// vmReadersPerDC is how many nodes of a data centre read the VM list at
	// the full rate; the others hear of leaving VMs by heartbeat and read it
	// every slowReads intervals.
	vmReadersPerDC = 2
	slowReads      = 5
)

func (m *Manager) readVMs(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if n%slowReads == 0 || m.readsVMs() {
			view := m.membership.View()
			if vms, err := m.platform.VMs(ctx, view.Self.DataCentre); err == nil {
				m.takeVMs(vms, view.Self)
			}
		}
		wait.For(ctx, jitter(m.cfg.VMListInterval))
	}
}

func (m *Manager) readsVMs() bool {
	view := m.membership.View()
	for _, id := range rendezvous.Rank("vm-list", view.ActiveIDs, vmReadersPerDC) {
		if id == view.Self.ID {
			return true
		}
	}
	return false
}

func (m *Manager) takeVMs(vms []platform.VM, self member.Info) {
	var list []choose.Target
	var nodes []member.Info
	for _, vm := range vms {
		switch {
		case vm.DataCentre != self.DataCentre:
		case vm.Role == platform.RoleTarget:
			list = append(list, choose.Target{ID: vm.ID, Incarnation: vm.Incarnation, Service: vm.Service, Addr: vm.Addr, DataCentre: vm.DataCentre})
		case vm.Role == platform.RoleEntry && vm.ID != self.ID && !vm.Leaving && vm.Addr != "":
			nodes = append(nodes, member.Info{ID: vm.ID, DataCentre: vm.DataCentre, PeerAddr: vm.Addr})
		}
	}
	m.mu.Lock()
	for _, vm := range vms {
		if vm.Leaving {
			m.leave(vm.ID, vm.Incarnation, "VM list")
		}
	}
	m.table.SetTargets(list)
	m.mu.Unlock()
	m.membership.AddListed(nodes)
	m.Reown(m.membership.View())
}

func (m *Manager) leave(vm string, incarnation uint64, source string) {
	if m.table.MarkLeaving(vm, incarnation) {
		m.marked[vm] = time.Now()
		m.recorder.Record(timeline.VMLeaving, "", vm, source)
	}
}

// Evacuate replaces the data centres whose targets get no work.
func (m *Manager) Evacuate(dataCentres []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.SetEvacuated(time.Now(), dataCentres)
}

// AllEvacuated reports whether all targets of a service stand in data centres that are
// evacuated.
func (m *Manager) AllEvacuated(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.AllEvacuated(service)
}

// Reown computes the owners anew.
func (m *Manager) Reown(view *member.View) {
	m.mu.Lock()
	m.table.SetPosition(warmup.PositionOf(view.Self.ID, view.ActiveIDs))
	var own []string
	for _, s := range m.table.List(time.Now()) {
		owner := rendezvous.First(s.ID, view.ActiveIDs)
		m.owners[s.ID] = owner
		if owner == view.Self.ID {
			own = append(own, s.ID)
			if m.polls[s.ID] == nil {
				m.polls[s.ID] = &poll{}
			}
		} else {
			delete(m.polls, s.ID)
		}
	}
	m.mu.Unlock()
	m.onOwn(own)
}

// readLoads reads every owned target once an interval.
func (m *Manager) readLoads(ctx context.Context) {
	ticker := time.NewTicker(m.cfg.LoadInterval)
	defer ticker.Stop()
	for {
		for _, s := range m.ownedIdle() {
			go m.readLoad(ctx, s)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ownedIdle returns the owned targets that are not being read now.
func (m *Manager) ownedIdle() []choose.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []choose.Status
	for id, p := range m.polls {
		if s, ok := m.table.Get(time.Now(), id); ok && !p.busy {
			p.busy = true
			out = append(out, s)
		}
	}
	return out
}

// missesAllowed is how many readings in a row may fail before a target counts
// as unhealthy.
const missesAllowed = 3

// readTimeouts is how many intervals one reading may take.
const readTimeouts = 5

func (m *Manager) readLoad(ctx context.Context, s choose.Status) {
	ctx, cancel := context.WithTimeout(ctx, readTimeouts*m.cfg.LoadInterval)
	defer cancel()
	report, err := m.engines.Load(ctx, s.Addr)
	batch := m.batch(s.ID) // before m.mu: the batch side calls Usable under its own lock
	m.mu.Lock()
	p := m.polls[s.ID]
	if p == nil {
		m.mu.Unlock()
		return // owned by another node by now
	}
	p.busy = false
	p.misses++
	if err == nil {
		p.misses = 0
	}
	load := choose.Load{Running: report.Running, Waiting: report.Waiting, MaxRunning: report.MaxRunning,
		Batch: batch, Healthy: true, Loaded: report.Loaded, Started: report.Started, At: time.Now()}
	if err != nil {
		load = s.Load
		load.At = time.Now()
		load.Healthy = p.misses < missesAllowed && s.Known
		if p.misses == missesAllowed {
			m.recorder.Record(timeline.TargetLost, "", s.ID, err.Error())
		}
	}
	if !slices.Equal(load.Loaded, s.Load.Loaded) {
		p.renamed = time.Now()
	}
	ended := m.report(s.ID, s.Incarnation, load)
	now, _ := m.table.Get(time.Now(), s.ID)
	due := err == nil && time.Since(p.ordered) > orderPause
	m.mu.Unlock()
	m.tellEnded(ended)
	m.onReport(s.ID, load, now.Reason == "")
	if due {
		m.order(ctx, s, report, p)
	}
}

// report takes a load report, and returns the process that it shows to have ended: the
// target with its start as incarnation. The caller holds m.mu.
func (m *Manager) report(id string, incarnation uint64, load choose.Load) (ended []choose.Target) {
	before, known := m.table.Get(time.Now(), id)
	m.table.RecordLoad(id, incarnation, load)
	m.warmUp(id, incarnation, load.Started)
	if known && before.Load.Started > 0 && load.Started > before.Load.Started {
		ended = append(ended, ofProcess(before))
	}
	return ended
}

// warmUp notes that a target is cold if its process, whose start is given in Unix
// milliseconds, has not run for long. The caller holds m.mu.
func (m *Manager) warmUp(id string, incarnation, started uint64) {
	s, known := m.table.Get(time.Now(), id)
	if !known || started == 0 {
		return
	}
	ran := time.Since(time.UnixMilli(int64(started)))
	m.table.MarkWarmingUp(time.Now(), id, incarnation, m.cfg.Choose.WarmUp(s.Service).Time-ran)
}

// ofProcess returns a target whose incarnation is the start of its process, which
// changes more often than that of its VM.
func ofProcess(s choose.Status) choose.Target {
	t := s.Target
	t.Incarnation = s.Load.Started
	return t
}

func (m *Manager) tellEnded(ended []choose.Target) {
	for _, t := range ended {
		m.onEnded(t)
	}
}

// Process returns a target with the start of its process as incarnation; false: the
// target does not say when that was.
func (m *Manager) Process(t choose.Target) (choose.Target, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.table.Get(time.Now(), t.ID)
	return ofProcess(s), ok && s.Load.Started > 0
}

// orderPause is the least time between two orders to one target, above the
// lag of its load reports.
const orderPause = time.Second

func (m *Manager) order(ctx context.Context, s choose.Status, report engine.Report, p *poll) {
	config := m.config()
	service := config.Services[s.Service]
	if service == nil {
		return
	}
	next, ok := order.Next(service, config.Version, report)
	if !ok {
		return
	}
	p.ordered = time.Now()
	err := m.engines.Order(ctx, s.Addr, next)
	result := "taken"
	if errors.Is(err, engine.ErrFenced) {
		result = "refused: an owner with a newer configuration was here"
	} else if err != nil {
		result = err.Error()
	}
	m.recorder.Record(timeline.TargetOrdered, "", s.ID, fmt.Sprintf("%s %s fence %d: %s", next.Op, next.Name, next.Fence, result))
}

// Choose picks a target and counts the request there. When no target has the
// wanted version, one with another version of the same model is taken: while a
// version is rolled out, the one before it goes on serving.
func (m *Manager) Choose(need choose.Need) (choose.Target, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	target, ok := m.table.Choose(now, need)
	if !ok {
		if older := m.otherVersion(need); older != "" {
			need.Loaded = older
			target, ok = m.table.Choose(now, need)
		}
	}
	if !ok {
		return target, false
	}
	m.begin(target)
	return target, true
}

func (m *Manager) otherVersion(need choose.Need) string {
	for _, s := range m.table.List(time.Now()) {
		if s.Service != need.Service || s.Reason != "" {
			continue
		}
		for _, loaded := range s.Load.Loaded {
			if loaded != need.Loaded && order.SameModel(loaded, need.Loaded) {
				return loaded
			}
		}
	}
	return ""
}

func (m *Manager) begin(target choose.Target) {
	s, ok := m.table.Get(time.Now(), target.ID)
	m.checker.Assert(ok && !s.Leaving, invariant.NoDispatchToLeaving, "", target.ID, "chosen while leaving")
	m.table.Begin(target.ID)
	m.touched.Put(target.ID)
}

// LoadedName returns the name to ask a target for: the wanted one if loaded,
// else another version of the same model.
func (m *Manager) LoadedName(id, wanted string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, _ := m.table.Get(time.Now(), id)
	other := wanted
	for _, loaded := range s.Load.Loaded {
		if loaded == wanted {
			return wanted
		}
		if order.SameModel(loaded, wanted) {
			other = loaded
		}
	}
	return other
}

// End ends a request counted by Choose.
func (m *Manager) End(id string, outcome choose.Outcome) {
	m.finish(id, outcome, m.table.End)
}

// Judge counts the outcome of a batch item, whose place the pacer counts.
func (m *Manager) Judge(id string, outcome choose.Outcome) {
	m.finish(id, outcome, m.table.RecordOutcome)
}

func (m *Manager) finish(id string, outcome choose.Outcome, end func(time.Time, string, choose.Outcome) (bool, bool)) {
	m.mu.Lock()
	ejected, readmitted := end(time.Now(), id, outcome)
	m.mu.Unlock()
	m.touched.Put(id)
	if ejected {
		m.recorder.Record(timeline.TargetEjected, "", id, "failures in a row")
	}
	if readmitted {
		m.recorder.Record(timeline.TargetReadmitted, "", id, "a trial request succeeded")
	}
}

// Supply sums up the usable targets of a service. Targets with another version
// of the model count while none has the wanted one.
func (m *Manager) Supply(service, loaded string) (usable, capacity, inFlight, waiting int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	usable, capacity, inFlight, waiting = m.table.ServiceTotals(time.Now(), service, loaded)
	if usable == 0 {
		if older := m.otherVersion(choose.Need{Service: service, Loaded: loaded}); older != "" {
			return m.table.ServiceTotals(time.Now(), service, older)
		}
	}
	return usable, capacity, inFlight, waiting
}

// Leaving reports whether a target is known to leave, or is not listed.
func (m *Manager) Leaving(t choose.Target) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, listed := m.table.Get(time.Now(), t.ID)
	return !listed || s.Leaving
}

// Serving returns how many targets of a service are listed.
func (m *Manager) Serving(service string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.TargetCount(service)
}

// Usable reports whether a target may get new work now.
func (m *Manager) Usable(id string) (choose.Target, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.table.Get(time.Now(), id)
	return s.Target, ok && s.Reason == ""
}

// List returns all targets with their owners.
func (m *Manager) List() (list []choose.Status, owners map[string]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	owners = map[string]string{}
	for id, owner := range m.owners {
		owners[id] = owner
	}
	return m.table.List(time.Now()), owners
}

// jitter spreads a pause over 0.8 to 1.2 times d.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}
