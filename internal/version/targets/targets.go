// Package targets keeps a node's table of the targets of its data centre: the VM
// list, load reports, the owner of each target, and the orders by which targets
// load and unload models until they match the configuration.
//
// Each target is owned by one node of its data centre, found by rendezvous
// hashing over the live members. The owner reads the target's load, sends it to
// other nodes with its heartbeats, and allots the target's batch slots.
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

// Config configures a Manager.
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

	mu           sync.Mutex
	table        *choose.Table
	owners       map[string]string    // node ID by target ID
	leavingSince map[string]time.Time // by VM: when this node learned that it is leaving
	// countChanged queues targets whose online count changed for SendPressure;
	// dropping one is safe because the counts sent are absolute.
	countChanged  *ring.Ring[string]
	batchInFlight func(target string) int // this node's batch items in flight at a target
	onLoad        func(target string, load choose.Load, usable bool)
	onOwnedChange func(ids []string)
	onProcessEnd  func(t choose.Target)
	polls         map[string]*poll
	seq           atomic.Uint64
}

// poll is the state of load readings of one owned target.
type poll struct {
	misses        int       // failed readings in a row
	loadedChanged time.Time // when the loaded names last changed
	lastOrder     time.Time
	busy          bool
}

// countChangedSize bounds the queue countChanged.
const countChangedSize = 4096

// New returns a manager; config returns the configuration in force.
func New(cfg Config, p *platform.Client, e *engine.Client, m *membership.Manager, r *timeline.Recorder, c *invariant.Checker, config func() *fleet.Config) *Manager {
	cfg.Choose.WarmUp = func(service string) warmup.Rate {
		if s := config().Services[service]; s != nil {
			return s.WarmUp
		}
		return warmup.Rate{}
	}
	return &Manager{
		cfg: cfg, platform: p, engines: e, membership: m, recorder: r, checker: c, config: config,
		table: choose.New(cfg.Choose), owners: map[string]string{}, leavingSince: map[string]time.Time{}, polls: map[string]*poll{},
		countChanged:  ring.New[string](countChangedSize, ring.DropOldest),
		batchInFlight: func(string) int { return 0 },
		onLoad:        func(string, choose.Load, bool) {},
		onOwnedChange: func([]string) {},
		onProcessEnd:  func(choose.Target) {},
	}
}

// SetBatch sets the functions that connect the batch worker: inFlight returns this node's
// batch items at a target, onLoad is called with each load reading of an owned target, and
// onOwnedChange with the IDs of the owned targets. Call it before Run.
func (m *Manager) SetBatch(inFlight func(string) int, onLoad func(string, choose.Load, bool), onOwnedChange func([]string)) {
	m.batchInFlight, m.onLoad, m.onOwnedChange = inFlight, onLoad, onOwnedChange
}

// OnProcessEnd sets the function that is called with each target whose process has
// restarted; the target's incarnation is the start of the process that ended. Call it
// before Run.
func (m *Manager) OnProcessEnd(f func(t choose.Target)) { m.onProcessEnd = f }

// Run reads the VM list and the owned targets until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { m.readVMs(ctx) })
	wg.Go(func() { m.readLoads(ctx) })
	wg.Wait()
}

const (
	// vmReadersPerDataCentre is how many nodes of a data centre read the VM list
	// every VMListInterval. The others learn of leaving VMs by heartbeat, and read
	// the list every slowReadIntervals intervals.
	vmReadersPerDataCentre = 2
	slowReadIntervals      = 5
)

func (m *Manager) readVMs(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if n%slowReadIntervals == 0 || m.isVMReader() {
			view := m.membership.View()
			if vms, err := m.platform.VMs(ctx, view.Self.DataCentre); err == nil {
				m.applyVMs(vms, view.Self)
			}
		}
		wait.For(ctx, jitter(m.cfg.VMListInterval))
	}
}

func (m *Manager) isVMReader() bool {
	view := m.membership.View()
	for _, id := range rendezvous.Rank("vm-list", view.ActiveIDs, vmReadersPerDataCentre) {
		if id == view.Self.ID {
			return true
		}
	}
	return false
}

func (m *Manager) applyVMs(vms []platform.VM, self member.Info) {
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
			m.markLeaving(vm.ID, vm.Incarnation, "VM list")
		}
	}
	m.table.SetTargets(list)
	m.mu.Unlock()
	m.membership.AddListed(nodes)
	m.UpdateOwners(m.membership.View())
}

func (m *Manager) markLeaving(vm string, incarnation uint64, source string) {
	if m.table.MarkLeaving(vm, incarnation) {
		m.leavingSince[vm] = time.Now()
		m.recorder.Record(timeline.VMLeaving, "", vm, source)
	}
}

// SetEvacuated replaces the data centres whose targets get no work.
func (m *Manager) SetEvacuated(dataCentres []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.SetEvacuated(time.Now(), dataCentres)
}

// AllEvacuated reports whether all targets of a service are in data centres that are
// evacuated.
func (m *Manager) AllEvacuated(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.AllEvacuated(service)
}

// UpdateOwners recomputes the owner of each target from the members in view.
func (m *Manager) UpdateOwners(view *member.View) {
	m.mu.Lock()
	m.table.SetPosition(warmup.PositionOf(view.Self.ID, view.ActiveIDs))
	var owned []string
	for _, s := range m.table.List(time.Now()) {
		owner := rendezvous.First(s.ID, view.ActiveIDs)
		m.owners[s.ID] = owner
		if owner == view.Self.ID {
			owned = append(owned, s.ID)
			if m.polls[s.ID] == nil {
				m.polls[s.ID] = &poll{}
			}
		} else {
			delete(m.polls, s.ID)
		}
	}
	m.mu.Unlock()
	m.onOwnedChange(owned)
}

// readLoads reads the load of every owned target once per LoadInterval.
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

// ownedIdle returns the owned targets without a load reading in progress, and marks them
// as being read.
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

// unhealthyAfterMisses is how many readings in a row have to fail for a target to count
// as unhealthy.
const unhealthyAfterMisses = 3

// readTimeoutIntervals is the timeout of one load reading, in multiples of LoadInterval.
const readTimeoutIntervals = 5

func (m *Manager) readLoad(ctx context.Context, s choose.Status) {
	ctx, cancel := context.WithTimeout(ctx, readTimeoutIntervals*m.cfg.LoadInterval)
	defer cancel()
	report, err := m.engines.Load(ctx, s.Addr)
	batch := m.batchInFlight(s.ID) // before m.mu: the batch worker calls Usable under its own lock
	m.mu.Lock()
	p := m.polls[s.ID]
	if p == nil {
		m.mu.Unlock()
		return // another node owns it now
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
		load.Healthy = p.misses < unhealthyAfterMisses && s.Known
		if p.misses == unhealthyAfterMisses {
			m.recorder.Record(timeline.TargetLost, "", s.ID, err.Error())
		}
	}
	if !slices.Equal(load.Loaded, s.Load.Loaded) {
		p.loadedChanged = time.Now()
	}
	ended := m.recordLoad(s.ID, s.Incarnation, load)
	now, _ := m.table.Get(time.Now(), s.ID)
	due := err == nil && time.Since(p.lastOrder) > minOrderInterval
	m.mu.Unlock()
	m.notifyProcessEnds(ended)
	m.onLoad(s.ID, load, now.Reason == "")
	if due {
		m.sendOrder(ctx, s, report, p)
	}
}

// recordLoad records a load report. If the report shows that the target's process has
// restarted, it returns the target with the start of the ended process as incarnation.
// The caller holds m.mu.
func (m *Manager) recordLoad(id string, incarnation uint64, load choose.Load) (ended []choose.Target) {
	before, known := m.table.Get(time.Now(), id)
	m.table.RecordLoad(id, incarnation, load)
	m.markWarmingUp(id, incarnation, load.Started)
	if known && before.Load.Started > 0 && load.Started > before.Load.Started {
		ended = append(ended, withProcessStart(before))
	}
	return ended
}

// markWarmingUp puts a target in slow start for what is left of its service's warm-up
// time; started is the start of its process in Unix milliseconds. The caller holds m.mu.
func (m *Manager) markWarmingUp(id string, incarnation, started uint64) {
	s, known := m.table.Get(time.Now(), id)
	if !known || started == 0 {
		return
	}
	ran := time.Since(time.UnixMilli(int64(started)))
	m.table.MarkWarmingUp(time.Now(), id, incarnation, m.cfg.Choose.WarmUp(s.Service).Time-ran)
}

// withProcessStart returns a target with the start of its process as incarnation: a
// process restarts more often than its VM.
func withProcessStart(s choose.Status) choose.Target {
	t := s.Target
	t.Incarnation = s.Load.Started
	return t
}

func (m *Manager) notifyProcessEnds(ended []choose.Target) {
	for _, t := range ended {
		m.onProcessEnd(t)
	}
}

// WithProcessStart returns a target with the start of its process as incarnation; false if
// the target does not report the start.
func (m *Manager) WithProcessStart(t choose.Target) (choose.Target, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.table.Get(time.Now(), t.ID)
	return withProcessStart(s), ok && s.Load.Started > 0
}

// minOrderInterval is the least time between two orders to one target. It is longer than
// the delay of load reports, so that the next order sees the effect of the last one.
const minOrderInterval = time.Second

func (m *Manager) sendOrder(ctx context.Context, s choose.Status, report engine.Report, p *poll) {
	config := m.config()
	service := config.Services[s.Service]
	if service == nil {
		return
	}
	next, ok := order.Next(service, config.Version, report)
	if !ok {
		return
	}
	p.lastOrder = time.Now()
	err := m.engines.Order(ctx, s.Addr, next)
	result := "taken"
	if errors.Is(err, engine.ErrFenced) {
		result = "refused: the target has an order of a newer configuration version"
	} else if err != nil {
		result = err.Error()
	}
	m.recorder.Record(timeline.TargetOrdered, "", s.ID, fmt.Sprintf("%s %s fence %d: %s", next.Op, next.Name, next.Fence, result))
}

// Choose chooses a target and counts the request there. When no target has the
// wanted version, it chooses one with another version of the same model: while a
// version is rolled out, the previous version continues to serve.
func (m *Manager) Choose(need choose.Need) (choose.Target, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	target, ok := m.table.Choose(now, need)
	if !ok {
		if other := m.otherVersion(need); other != "" {
			need.Loaded = other
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
	m.countChanged.Put(target.ID)
}

// LoadedName returns the model name to request from a target: the wanted one if the
// target has it loaded, else another loaded version of the same model, else the wanted
// one.
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

// End records the outcome of a request that Choose counted.
func (m *Manager) End(id string, outcome choose.Outcome) {
	m.finish(id, outcome, m.table.End)
}

// RecordOutcome records the outcome of a batch item; its slot is counted by the pacer.
func (m *Manager) RecordOutcome(id string, outcome choose.Outcome) {
	m.finish(id, outcome, m.table.RecordOutcome)
}

func (m *Manager) finish(id string, outcome choose.Outcome, end func(time.Time, string, choose.Outcome) (bool, bool)) {
	m.mu.Lock()
	ejected, readmitted := end(time.Now(), id, outcome)
	m.mu.Unlock()
	m.countChanged.Put(id)
	if ejected {
		m.recorder.Record(timeline.TargetEjected, "", id, "failures in a row")
	}
	if readmitted {
		m.recorder.Record(timeline.TargetReadmitted, "", id, "a probe request succeeded")
	}
}

// ServiceTotals sums up the usable targets of a service. Targets with another version
// of the model count only while no target has the wanted one.
func (m *Manager) ServiceTotals(service, loaded string) (usable, capacity, inFlight, waiting int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	usable, capacity, inFlight, waiting = m.table.ServiceTotals(time.Now(), service, loaded)
	if usable == 0 {
		if other := m.otherVersion(choose.Need{Service: service, Loaded: loaded}); other != "" {
			return m.table.ServiceTotals(time.Now(), service, other)
		}
	}
	return usable, capacity, inFlight, waiting
}

// Leaving reports whether a target is known to be leaving, or is not listed.
func (m *Manager) Leaving(t choose.Target) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, listed := m.table.Get(time.Now(), t.ID)
	return !listed || s.Leaving
}

// TargetCount returns how many targets of a service are listed.
func (m *Manager) TargetCount(service string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.TargetCount(service)
}

// Usable returns a target and whether it may get new work now.
func (m *Manager) Usable(id string) (choose.Target, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.table.Get(time.Now(), id)
	return s.Target, ok && s.Reason == ""
}

// List returns all targets, and the owner of each by target ID.
func (m *Manager) List() (list []choose.Status, owners map[string]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	owners = map[string]string{}
	for id, owner := range m.owners {
		owners[id] = owner
	}
	return m.table.List(time.Now()), owners
}

// jitter returns a random duration between 0.8 and 1.2 times d.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}
