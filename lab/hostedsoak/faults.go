package hostedsoak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/marblepond/marblepond/lab/hosted"
)

// injector injects the faults of a plan.
type injector struct {
	fleet   *fleet
	load    *load
	history *history
	options Options
	log     func(format string, args ...any)

	mu    sync.Mutex
	store hosted.StoreFaults
	busy  map[string]bool // nodes and runner slots with an active fault
}

// run injects the faults of the plan and returns when all have been undone.
func (i *injector) run(plan []Fault) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, f := range plan {
		wg.Go(func() {
			time.Sleep(time.Until(start.Add(f.Start)))
			i.inject(f)
		})
	}
	wg.Wait()
}

func (i *injector) inject(f Fault) {
	for waited := time.Now(); !i.acquire(f); time.Sleep(acquireInterval) {
		if f.Kind != ReleaseAll || time.Since(waited) > maxFaultLength {
			return
		}
	}
	defer i.release(f)
	i.log("fault %v", f)
	ended := i.history.recordFault(f)
	undo := i.apply(f)
	time.Sleep(f.Length)
	undo()
	ended()
}

// resources names what a fault needs exclusively: a process or a runner slot has
// at most one fault of its group at a time, anything else one of each kind.
func (f Fault) resources() []string {
	switch f.Kind {
	case KillNode, FreezeNode, StopNode:
		return []string{fmt.Sprint("process ", f.Which)}
	case SlowRunner, CutRunner, ResetRunner, CrashRunner, DrainRunner, BadRunner, HangRunner, Release, UnlistRunner, EndlessRunner:
		return []string{fmt.Sprint("place ", f.Which)}
	case ReleaseAll:
		var all []string
		for i := range nodeCount {
			all = append(all, fmt.Sprint("process ", i))
		}
		for i := range runnerCount {
			all = append(all, fmt.Sprint("place ", i))
		}
		return all
	}
	return []string{fmt.Sprint(f.Kind, f.Which)}
}

func (i *injector) acquire(f Fault) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, r := range f.resources() {
		if i.busy[r] {
			return false
		}
	}
	for _, r := range f.resources() {
		i.busy[r] = true
	}
	return true
}

func (i *injector) release(f Fault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, r := range f.resources() {
		delete(i.busy, r)
	}
}

// apply injects a fault and returns the function that undoes it.
func (i *injector) apply(f Fault) (undo func()) {
	switch f.Kind {
	case KillNode, FreezeNode, StopNode, HangupNode:
		return i.signalNode(f, i.fleet.nodes[f.Which])
	case ResetCallers:
		return applyMode(i.fleet.nodes[f.Which].callers, Mode{Reset: true})
	case CutPeers:
		return applyMode(i.fleet.nodes[f.Which].peers, Mode{Blocked: true})
	case DeafPeers:
		return applyMode(i.fleet.nodes[f.Which].peers, Mode{AnswersBlocked: true})
	case CutStore:
		return applyMode(i.fleet.nodes[f.Which].store, Mode{Blocked: true})
	case ResetStore:
		return applyMode(i.fleet.nodes[f.Which].store, Mode{Reset: true})
	case StoreForgets:
		i.fleet.store.DropHistory()
	case ConfigChange:
		i.changeConfig()
	case Overload:
		i.load.overloaded.Store(true)
		return func() { i.load.overloaded.Store(false) }
	case BadPart:
		return i.sendBadPart()
	case MostAtOne:
		return i.load.preferOne()
	case ReleaseAll:
		return i.releaseAll()
	case UnlistRunner:
		return i.fleet.unlistRunner(i.fleet.runnerSlots[f.Which])
	case SlowRunner, CutRunner, ResetRunner, CrashRunner, DrainRunner, BadRunner, HangRunner, Release, EndlessRunner, FalseRunner:
		return i.faultRunner(f, i.fleet.runnerSlots[f.Which])
	default:
		return i.faultStore(f.Kind)
	}
	return func() {}
}

func applyMode(p *Proxy, m Mode) (undo func()) {
	p.SetMode(m)
	return func() { p.SetMode(Mode{}) }
}

func (i *injector) signalNode(f Fault, n *node) (undo func()) {
	switch f.Kind {
	case FreezeNode:
		n.signal(syscall.SIGSTOP)
		return func() { n.signal(syscall.SIGCONT) }
	case HangupNode:
		n.signal(syscall.SIGHUP)
		return func() {}
	case KillNode:
		n.signal(syscall.SIGKILL)
		<-n.exitChannel()
	case StopNode:
		n.signal(syscall.SIGTERM)
	}
	return func() {
		select {
		case <-n.exitChannel():
		case <-time.After(stopTimeout):
			i.history.violate("node %s did not stop within %v of SIGTERM", n.name, stopTimeout)
			n.signal(syscall.SIGKILL)
			<-n.exitChannel()
		}
		if err := n.exitError(); f.Kind == StopNode && err != nil {
			i.history.violate("node %s exited with %v after SIGTERM", n.name, err)
		}
		if err := n.start(filepath.Join(i.options.Bin, "marblepond")); err != nil {
			i.history.violate("driver: %v", err)
		}
	}
}

const (
	slowRunnerDelay    = 300 * time.Millisecond // added to each chunk that passes a slow runner's proxy
	slowStoreLatency   = 400 * time.Millisecond // added to each call of a slow store
	lateWriteDelay     = 2 * time.Second
	lostResponseShare  = 0.3
	badOneIn           = 2 // one in this many requests at a bad runner fails
	drainInForceWithin = 2500 * time.Millisecond
	falseAnswerShare   = 0.25
	refusedShare       = 0.3 // of the requests at a runner that sends false answers
	acquireInterval    = 50 * time.Millisecond
)

func (i *injector) faultRunner(f Fault, s *runnerSlot) (undo func()) {
	switch f.Kind {
	case SlowRunner:
		return applyMode(s.proxy, Mode{Delay: slowRunnerDelay})
	case CutRunner:
		return applyMode(s.proxy, Mode{Blocked: true})
	case ResetRunner:
		return applyMode(s.proxy, Mode{Reset: true})
	case HangRunner:
		return s.applyBehaviour(func(string, int) hosted.Behaviour { return hosted.Hang })
	case EndlessRunner:
		forms := slices.Collect(maps.Values(hosted.EndlessForms))
		// Events with the IDs and the proof that are expected are an answer: an item goes on after them.
		forms = slices.DeleteFunc(forms, func(b hosted.Behaviour) bool { return b == hosted.EndlessEvents })
		return s.applyBehaviour(func(string, int) hosted.Behaviour { return forms[rand.IntN(len(forms))] })
	case FalseRunner:
		return s.sendFalseAnswers()
	case BadRunner:
		return s.applyBehaviour(func(string, int) hosted.Behaviour {
			if rand.IntN(badOneIn) > 0 {
				return hosted.Serve
			}
			return []hosted.Behaviour{hosted.BreakOff, hosted.LoseAnswer, hosted.ForeignID, hosted.NoStamp, hosted.Fail, hosted.Full}[rand.IntN(6)]
		})
	}
	return i.replaceRunner(f, s)
}

// applyBehaviour sets the behaviour of the slot's current runner; undo lets it serve again.
func (s *runnerSlot) applyBehaviour(b func(requestID string, run int) hosted.Behaviour) (undo func()) {
	s.mu.Lock()
	runner := s.runner
	s.mu.Unlock()
	runner.SetBehaviour(b)
	return func() { runner.SetBehaviour(func(string, int) hosted.Behaviour { return hosted.Serve }) }
}

// sendFalseAnswers has the slot's current runner refuse a share of the requests and send false
// answers of all forms.
func (s *runnerSlot) sendFalseAnswers() (undo func()) {
	s.mu.Lock()
	runner := s.runner
	s.mu.Unlock()
	serve := s.applyBehaviour(func(string, int) hosted.Behaviour {
		if rand.Float64() < refusedShare {
			return hosted.Full
		}
		return hosted.Serve
	})
	runner.SetFalseAnswers(func() hosted.FalseAnswer {
		if rand.Float64() >= falseAnswerShare {
			return hosted.NoFalseAnswer
		}
		return hosted.FalseAnswers[rand.IntN(len(hosted.FalseAnswers))]
	})
	return func() {
		runner.SetFalseAnswers(nil)
		serve()
	}
}

// replaceRunner drains or crashes a runner; undo starts another one in its slot, in a release
// with the next version.
func (i *injector) replaceRunner(f Fault, s *runnerSlot) (undo func()) {
	s.mu.Lock()
	old := s.runner
	if f.Kind != CrashRunner {
		i.fleet.register(s, "draining")
		i.history.recordDraining(old)
	}
	s.mu.Unlock()
	if f.Kind == CrashRunner {
		s.proxy.SetMode(Mode{Reset: true})
		time.AfterFunc(entryExpiry, func() { i.fleet.store.Delete("servers", old.ID) })
	} else {
		time.Sleep(drainTime)
	}
	return func() {
		i.fleet.store.Delete("servers", old.ID)
		s.proxy.SetMode(Mode{})
		version := old.Version()
		if f.Kind == Release {
			version = i.fleet.nextVersion()
		}
		i.fleet.startRunner(s, f.Which, version)
	}
}

// faultStore injects a fault of the store for all nodes; several may be active at once.
func (i *injector) faultStore(kind Kind) (undo func()) {
	set := func(on bool) {
		i.mu.Lock()
		defer i.mu.Unlock()
		switch kind {
		case StoreDown:
			i.store.Down = on
		case StoreSilent:
			i.store.Unresponsive = on
		case StoreSlow:
			i.store.Latency = ifOn(on, slowStoreLatency)
		case StoreLost:
			i.store.LostResponseShare = ifOn(on, lostResponseShare)
		case StoreLate:
			i.store.LostResponseShare, i.store.LateWriteDelay = ifOn(on, lostResponseShare), ifOn(on, lateWriteDelay)
		}
		i.fleet.store.SetFaults(i.store)
	}
	set(true)
	return func() { set(false) }
}

func ifOn[T any](on bool, v T) T {
	var none T
	if on {
		return v
	}
	return none
}

// changeConfig writes the next version of the configuration.
func (i *injector) changeConfig() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fleet.version++
	i.fleet.store.Put("config", "main", i.fleet.config())
	i.history.recordConfig(i.fleet.version)
}

// watchVersions polls the configuration version of each node until ctx ends. It
// checks that the version never decreases within one run of the process, and that
// a change takes effect in time if no other fault is active.
func (i *injector) watchVersions(ctx context.Context) {
	type observation struct{ boot, version int }
	last := map[string]observation{}
	for ctx.Err() == nil {
		for _, n := range i.fleet.nodes {
			runs, boot := n.running()
			version, ok := n.version()
			if again, bootAfter := n.running(); !runs || !again || !ok || bootAfter != boot {
				continue
			}
			if old := last[n.name]; old.boot == boot && version < old.version {
				i.history.violate("configuration of %s went from version %d to %d", n.name, old.version, version)
			}
			last[n.name] = observation{boot, version}
			i.history.checkVersion(n.name, version)
		}
		time.Sleep(versionPollInterval)
	}
}

const versionPollInterval = 200 * time.Millisecond
