package soak

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/marblepond/marblepond/lab/deployment"
	"github.com/marblepond/marblepond/lab/engine"
	"github.com/marblepond/marblepond/lab/platform"
	"github.com/marblepond/marblepond/lab/procs"
)

// drainLimit is how long a node asked to stop may take.
const drainLimit = 60 * time.Second

// injector carries out the plan.
type injector struct {
	fleet   *procs.Fleet
	history *history
	log     func(format string, args ...any)

	mu       sync.Mutex
	platform platform.Faults
	left     map[string]bool // engines marked as leaving
	races    int
	accepted map[uint64]string // intents by the version they became
	unsure   []string          // intents whose confirmation had no clear answer
}

// run carries out the plan until it ends.
func (i *injector) run(ctx context.Context, plan []Fault) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, f := range plan {
		wg.Go(func() {
			if sleep(ctx, time.Until(start.Add(f.Start))) {
				i.inject(ctx, f)
			}
		})
	}
	wg.Wait()
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// inject brings a fault about, waits its length, and takes it back.
func (i *injector) inject(ctx context.Context, f Fault) {
	i.log("fault %v", f)
	i.history.mu.Lock()
	i.history.spans = append(i.history.spans, span{fault: f, from: time.Now()})
	index := len(i.history.spans) - 1
	i.history.mu.Unlock()
	undo := i.begin(f)
	sleep(ctx, f.Length)
	undo()
	i.history.mu.Lock()
	i.history.spans[index].to = time.Now().Add(grace)
	i.history.mu.Unlock()
}

// grace is how long after a fault its effects on connections may still show.
const grace = 2 * time.Second

func (i *injector) begin(f Fault) (undo func()) {
	l := i.fleet
	node := l.Proc(l.NodeID(f.DC, f.N))
	en := l.Proc(l.EngineProc(f.DC, f.N))
	switch f.Kind {
	case KillNode:
		node.Kill()
		return func() { i.must(l.StartNode(f.DC, f.N)) }
	case FreezeNode:
		node.Signal(syscall.SIGSTOP)
		return func() { node.Signal(syscall.SIGCONT) }
	case TermNode:
		node.Signal(syscall.SIGTERM)
		return func() {
			if err := node.Wait(drainLimit); err != nil && !i.killed(f) {
				i.history.violate(fmt.Sprintf("8: %s did not stop cleanly: %v", node.Name, err))
			}
			i.must(l.StartNode(f.DC, f.N))
		}
	case KillEngine:
		en.Kill()
		return func() { i.must(l.StartEngine(f.DC, f.N)) }
	case HangEngine:
		return i.engineFaults(f, engine.Faults{Hang: true})
	case BadStreams:
		return i.engineFaults(f, engine.Faults{CutShare: 0.03, RepeatShare: 0.2, ReorderShare: 0.2})
	case FailingEngine:
		return i.engineFaults(f, engine.Faults{FailShare: 0.5})
	case CutCentres:
		return i.cutLinks(i.centre(f.DC), i.centre(f.Other))
	case CutNodes:
		return i.cutLinks(fmt.Sprintf("127.%d.%d.%d:", l.Net, f.DC+1, f.N+1), fmt.Sprintf("127.%d.%d.%d:", l.Net, f.DC+1, f.Other+1))
	case CutPlatform:
		return i.platformFaults(func(p *platform.Faults, on bool) { p.CutPrefixes = toggle(p.CutPrefixes, i.centre(f.DC), on) })
	case PlatformDown:
		return i.platformFaults(func(p *platform.Faults, on bool) { p.Down = on })
	case PlatformSlow:
		return i.platformFaults(func(p *platform.Faults, on bool) { p.SlowMS = choose(on, 300) })
	case LostAnswers:
		return i.platformFaults(func(p *platform.Faults, on bool) { p.LostShare = choose(on, 0.3) })
	case StaleVMs:
		return i.platformFaults(func(p *platform.Faults, on bool) { p.StaleVMsMS = choose(on, 2000) })
	case OperatorRace:
		i.race()
	case TargetLeaves:
		return i.leave(f)
	}
	return func() {}
}

// killed reports whether the node was also killed during the fault, or could
// not finish because its work was held up by another fault.
func (i *injector) killed(f Fault) bool {
	return i.history.during(time.Now().Add(-drainLimit), time.Now(), func(o Fault) bool {
		return (o.Kind == KillNode || o.Kind == TermNode) && o != f && o.DC == f.DC && o.N == f.N
	})
}

func choose[T any](on bool, v T) T {
	var zero T
	if on {
		return v
	}
	return zero
}

func toggle(list []string, entry string, on bool) []string {
	var out []string
	for _, e := range list {
		if e != entry {
			out = append(out, e)
		}
	}
	if on {
		out = append(out, entry)
	}
	return out
}

func (i *injector) must(err error) {
	if err != nil {
		i.log("driver: %v", err)
	}
}

func (i *injector) centre(dc int) string { return fmt.Sprintf("127.%d.%d.", i.fleet.Net, dc+1) }

func (i *injector) engineFaults(f Fault, faults engine.Faults) (undo func()) {
	addr := i.fleet.EngineAddr(f.DC, f.N)
	i.must(procs.SendControl(addr, "faults", faults))
	return func() { i.must(procs.SendControl(addr, "faults", engine.Faults{})) }
}

func (i *injector) cutLinks(a, b string) (undo func()) {
	i.fleet.Links.Cut(a, b)
	return func() { i.fleet.Links.Heal(a, b) }
}

func (i *injector) platformFaults(change func(p *platform.Faults, on bool)) (undo func()) {
	set := func(on bool) {
		i.mu.Lock()
		defer i.mu.Unlock()
		change(&i.platform, on)
		i.must(i.fleet.SetFaults(i.platform))
	}
	set(true)
	return func() { set(false) }
}

// maxLeft bounds the engines that leave in a run, for they do not come back.
const maxLeft = 2

// leave marks an engine's VM as leaving.
func (i *injector) leave(f Fault) (undo func()) {
	name := i.fleet.EngineProc(f.DC, f.N)
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.left) >= maxLeft || i.left[name] {
		return func() {}
	}
	i.left[name] = true
	i.setVMs()
	i.history.mu.Lock()
	i.history.leaving[name] = span{fault: f, from: time.Now()}
	i.history.mu.Unlock()
	return func() {}
}

// setVMs shows the VM list as it should be. The caller holds i.mu.
func (i *injector) setVMs() {
	vms := i.fleet.VMs()
	for n := range vms {
		vms[n].Leaving = i.left[vms[n].ID]
	}
	i.must(i.fleet.SetVMs(vms))
}

// race lets two operators confirm different intents at the same time, at
// different nodes.
func (i *injector) race() {
	i.mu.Lock()
	i.races++
	intents := []string{i.vary("a"), i.vary("b")}
	i.mu.Unlock()
	var wg sync.WaitGroup
	for n, intent := range intents {
		wg.Go(func() { i.operate(i.fleet.PeerAddr(n%len(i.fleet.DataCentres), 0), intent) })
	}
	wg.Wait()
}

// operate confirms an intent and notes what came of it.
func (i *injector) operate(addr, intent string) {
	version, err := deployment.Apply(addr, intent)
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case err == nil:
		if other, twice := i.accepted[version]; twice && other != intent {
			i.history.violate(fmt.Sprintf("9: version %d was accepted from two operators", version))
		}
		i.accepted[version] = intent
	case !errors.Is(err, deployment.ErrStale):
		i.unsure = append(i.unsure, intent)
	}
	i.log("operator at %s: version %d, %v", addr, version, err)
}

// vary returns the intent with an adapter that names this race and operator.
func (i *injector) vary(operator string) string {
	return strings.Replace(i.fleet.Layout.Intent, "version = 1\n", fmt.Sprintf("version = 1\nadapters = a%d%s\n", i.races, operator), 1)
}
