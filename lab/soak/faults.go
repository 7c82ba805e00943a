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

// drainTimeout is the time within which a node must end after SIGTERM.
const drainTimeout = 60 * time.Second

// injector injects the faults of a plan into a fleet.
type injector struct {
	fleet   *procs.Fleet
	history *history
	log     func(format string, args ...any)

	mu        sync.Mutex
	platform  platform.Faults
	leaving   map[string]bool // engines marked as leaving
	races     int
	accepted  map[uint64]string // accepted intents by configuration version
	uncertain []string          // intents whose application failed with an unknown outcome
}

// run injects the faults of the plan at their times and returns when the last is undone.
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

// sleep waits for d; false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// inject starts a fault, waits for its length and undoes it.
func (i *injector) inject(ctx context.Context, f Fault) {
	i.log("fault %v", f)
	i.history.mu.Lock()
	i.history.spans = append(i.history.spans, faultSpan{fault: f, from: time.Now()})
	index := len(i.history.spans) - 1
	i.history.mu.Unlock()
	undo := i.begin(f)
	sleep(ctx, f.Length)
	undo()
	i.history.mu.Lock()
	i.history.spans[index].to = time.Now().Add(afterEffectTime)
	i.history.mu.Unlock()
}

// afterEffectTime is how long after its end a fault may still affect connections.
const afterEffectTime = 2 * time.Second

// begin starts a fault and returns a function that undoes it.
func (i *injector) begin(f Fault) (undo func()) {
	l := i.fleet
	node := l.Proc(l.NodeID(f.DC, f.N))
	en := l.Proc(l.EngineProc(f.DC, f.N))
	switch f.Kind {
	case KillNode:
		node.Kill()
		return func() { i.logError(l.StartNode(f.DC, f.N)) }
	case FreezeNode:
		node.Signal(syscall.SIGSTOP)
		return func() { node.Signal(syscall.SIGCONT) }
	case TermNode:
		node.Signal(syscall.SIGTERM)
		return func() {
			if err := node.Wait(drainTimeout); err != nil && !i.stoppedByOther(f) {
				i.history.addViolation(fmt.Sprintf("8: %s did not stop cleanly: %v", node.Name, err))
			}
			i.logError(l.StartNode(f.DC, f.N))
		}
	case KillEngine:
		en.Kill()
		return func() { i.logError(l.StartEngine(f.DC, f.N)) }
	case HangEngine:
		return i.engineFaults(f, engine.Faults{Hang: true})
	case BadStreams:
		return i.engineFaults(f, engine.Faults{CutShare: 0.03, RepeatShare: 0.2, ReorderShare: 0.2})
	case FailingEngine:
		return i.engineFaults(f, engine.Faults{FailShare: 0.5})
	case CutCentres:
		return i.cutLinks(i.addressPrefix(f.DC), i.addressPrefix(f.Other))
	case CutNodes:
		return i.cutLinks(fmt.Sprintf("127.%d.%d.%d:", l.Net, f.DC+1, f.N+1), fmt.Sprintf("127.%d.%d.%d:", l.Net, f.DC+1, f.Other+1))
	case CutPlatform:
		return i.platformFaults(func(p *platform.Faults, on bool) { p.CutPrefixes = setEntry(p.CutPrefixes, i.addressPrefix(f.DC), on) })
	case PlatformDown:
		return i.platformFaults(func(p *platform.Faults, on bool) { p.Down = on })
	case PlatformSlow:
		return i.platformFaults(func(p *platform.Faults, on bool) { p.SlowMS = valueIf(on, 300) })
	case LostAnswers:
		return i.platformFaults(func(p *platform.Faults, on bool) { p.LostShare = valueIf(on, 0.3) })
	case StaleVMs:
		return i.platformFaults(func(p *platform.Faults, on bool) { p.StaleVMsMS = valueIf(on, 2000) })
	case OperatorRace:
		i.raceOperators()
	case TargetLeaves:
		return i.markLeaving(f)
	}
	return func() {}
}

// stoppedByOther reports whether another fault killed or terminated the node within the last
// drainTimeout.
func (i *injector) stoppedByOther(f Fault) bool {
	return i.history.faultDuring(time.Now().Add(-drainTimeout), time.Now(), func(o Fault) bool {
		return (o.Kind == KillNode || o.Kind == TermNode) && o != f && o.DC == f.DC && o.N == f.N
	})
}

// valueIf returns v if on is set, else the zero value.
func valueIf[T any](on bool, v T) T {
	var zero T
	if on {
		return v
	}
	return zero
}

// setEntry returns the list with the entry if on is set, else without it.
func setEntry(list []string, entry string, on bool) []string {
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

// logError logs an error of the test driver itself.
func (i *injector) logError(err error) {
	if err != nil {
		i.log("driver error: %v", err)
	}
}

// addressPrefix returns the address prefix of a data centre.
func (i *injector) addressPrefix(dc int) string { return fmt.Sprintf("127.%d.%d.", i.fleet.Net, dc+1) }

func (i *injector) engineFaults(f Fault, faults engine.Faults) (undo func()) {
	addr := i.fleet.EngineAddr(f.DC, f.N)
	i.logError(procs.SendControl(addr, "faults", faults))
	return func() { i.logError(procs.SendControl(addr, "faults", engine.Faults{})) }
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
		i.logError(i.fleet.SetFaults(i.platform))
	}
	set(true)
	return func() { set(false) }
}

// maxLeaving is the maximum number of engines marked as leaving in a run; the mark is never
// removed.
const maxLeaving = 2

// markLeaving marks an engine's VM as leaving.
func (i *injector) markLeaving(f Fault) (undo func()) {
	name := i.fleet.EngineProc(f.DC, f.N)
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.leaving) >= maxLeaving || i.leaving[name] {
		return func() {}
	}
	i.leaving[name] = true
	i.setVMs()
	i.history.mu.Lock()
	i.history.leaving[name] = faultSpan{fault: f, from: time.Now()}
	i.history.mu.Unlock()
	return func() {}
}

// setVMs sets the platform's VM list with the marks of leaving engines. The caller holds i.mu.
func (i *injector) setVMs() {
	vms := i.fleet.VMs()
	for n := range vms {
		vms[n].Leaving = i.leaving[vms[n].ID]
	}
	i.logError(i.fleet.SetVMs(vms))
}

// raceOperators lets two operators apply different intents at the same time, at nodes of
// different data centres.
func (i *injector) raceOperators() {
	i.mu.Lock()
	i.races++
	intents := []string{i.intentVariant("a"), i.intentVariant("b")}
	i.mu.Unlock()
	var wg sync.WaitGroup
	for n, intent := range intents {
		wg.Go(func() { i.applyIntent(i.fleet.PeerAddr(n%len(i.fleet.DataCentres), 0), intent) })
	}
	wg.Wait()
}

// applyIntent applies an intent and records its outcome.
func (i *injector) applyIntent(addr, intent string) {
	version, err := deployment.Apply(addr, intent)
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case err == nil:
		if other, twice := i.accepted[version]; twice && other != intent {
			i.history.addViolation(fmt.Sprintf("9: version %d was assigned to intents of two operators", version))
		}
		i.accepted[version] = intent
	case !errors.Is(err, deployment.ErrStale):
		i.uncertain = append(i.uncertain, intent)
	}
	i.log("operator at %s: version %d, %v", addr, version, err)
}

// intentVariant returns the first intent with an adapter whose name identifies the current
// race and the operator.
func (i *injector) intentVariant(operator string) string {
	return strings.Replace(i.fleet.Layout.Intent, "version = 1\n", fmt.Sprintf("version = 1\nadapters = a%d%s\n", i.races, operator), 1)
}
