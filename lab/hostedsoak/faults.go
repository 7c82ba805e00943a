package hostedsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/marblepond/marblepond/lab/hosted"
)

// injector carries out a plan.
type injector struct {
	fleet   *fleet
	history *history
	options Options
	log     func(format string, args ...any)

	mu    sync.Mutex
	store hosted.StoreFaults
	busy  map[string]bool // nodes and places that a fault has in hand
}

// run carries out the plan and returns when every fault has been taken back.
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
	if !i.take(f) {
		return
	}
	defer i.give(f)
	i.log("fault %v", f)
	ended := i.history.fault(f)
	undo := i.begin(f)
	time.Sleep(f.Length)
	undo()
	ended()
}

// owner names what a fault needs for itself: one process or place is in one
// fault of its kind at a time.
func (f Fault) owner() string {
	switch f.Kind {
	case KillNode, FreezeNode, StopNode:
		return fmt.Sprint("process ", f.Which)
	case SlowRunner, CutRunner, ResetRunner, CrashRunner, DrainRunner, BadRunner:
		return fmt.Sprint("place ", f.Which)
	}
	return fmt.Sprint(f.Kind, f.Which)
}

func (i *injector) take(f Fault) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.busy[f.owner()] {
		return false
	}
	i.busy[f.owner()] = true
	return true
}

func (i *injector) give(f Fault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.busy, f.owner())
}

// begin brings a fault about and returns what takes it back.
func (i *injector) begin(f Fault) (undo func()) {
	switch f.Kind {
	case KillNode, FreezeNode, StopNode, HangupNode:
		return i.signal(f, i.fleet.nodes[f.Which])
	case ResetCallers:
		return through(i.fleet.nodes[f.Which].callers, Mode{Reset: true})
	case CutPeers:
		return through(i.fleet.nodes[f.Which].peers, Mode{Blocked: true})
	case DeafPeers:
		return through(i.fleet.nodes[f.Which].peers, Mode{AnswersBlocked: true})
	case CutStore:
		return through(i.fleet.nodes[f.Which].store, Mode{Blocked: true})
	case ResetStore:
		return through(i.fleet.nodes[f.Which].store, Mode{Reset: true})
	case StoreForgets:
		i.fleet.store.DropHistory()
	case ConfigChange:
		i.changeConfig()
	case SlowRunner, CutRunner, ResetRunner, CrashRunner, DrainRunner, BadRunner:
		return i.disturb(f, i.fleet.seats[f.Which])
	default:
		return i.disturbStore(f.Kind)
	}
	return func() {}
}

func through(p *Proxy, m Mode) (undo func()) {
	p.SetMode(m)
	return func() { p.SetMode(Mode{}) }
}

func (i *injector) signal(f Fault, n *node) (undo func()) {
	switch f.Kind {
	case FreezeNode:
		n.signal(syscall.SIGSTOP)
		return func() { n.signal(syscall.SIGCONT) }
	case HangupNode:
		n.signal(syscall.SIGHUP)
		return func() {}
	case KillNode:
		n.signal(syscall.SIGKILL)
		<-n.ended()
	case StopNode:
		n.signal(syscall.SIGTERM)
	}
	return func() {
		select {
		case <-n.ended():
		case <-time.After(stopWithin):
			i.history.violate("node %s did not stop within %v of SIGTERM", n.name, stopWithin)
			n.signal(syscall.SIGKILL)
			<-n.ended()
		}
		if err := n.exit(); f.Kind == StopNode && err != nil {
			i.history.violate("node %s ended with %v after SIGTERM", n.name, err)
		}
		if err := n.start(filepath.Join(i.options.Bin, "marblepond")); err != nil {
			i.history.violate("driver: %v", err)
		}
	}
}

const (
	slowPiece    = 300 * time.Millisecond // added to each piece of a slow runner's answers
	slowCall     = 400 * time.Millisecond // added to each call of a slow store
	lateWrite    = 2 * time.Second
	lostShare    = 0.3
	badOneIn     = 2 // requests of a bad runner that go wrong
	drainedCheck = 2500 * time.Millisecond
)

func (i *injector) disturb(f Fault, s *seat) (undo func()) {
	switch f.Kind {
	case SlowRunner:
		return through(s.proxy, Mode{Delay: slowPiece})
	case CutRunner:
		return through(s.proxy, Mode{Blocked: true})
	case ResetRunner:
		return through(s.proxy, Mode{Reset: true})
	case BadRunner:
		s.mu.Lock()
		runner := s.runner
		s.mu.Unlock()
		runner.SetBehaviour(func(string, int) hosted.Behaviour {
			if rand.IntN(badOneIn) > 0 {
				return hosted.Serve
			}
			return []hosted.Behaviour{hosted.BreakOff, hosted.LoseAnswer, hosted.ForeignID, hosted.NoStamp, hosted.Fail, hosted.Full}[rand.IntN(6)]
		})
		return func() { runner.SetBehaviour(func(string, int) hosted.Behaviour { return hosted.Serve }) }
	}
	return i.replace(f, s)
}

// replace takes a runner away, with or without notice, and puts another into
// its place.
func (i *injector) replace(f Fault, s *seat) (undo func()) {
	s.mu.Lock()
	old := s.runner
	if f.Kind == DrainRunner {
		i.fleet.register(s, "draining")
		i.history.drains(old)
	}
	s.mu.Unlock()
	if f.Kind == CrashRunner {
		s.proxy.SetMode(Mode{Reset: true})
		time.AfterFunc(entryLapses, func() { i.fleet.store.Delete("servers", old.ID) })
	} else {
		time.Sleep(drainsFor)
	}
	return func() {
		i.fleet.store.Delete("servers", old.ID)
		s.proxy.SetMode(Mode{})
		i.fleet.seat(s, f.Which)
	}
}

// disturbStore changes the store for everybody; faults of it add up.
func (i *injector) disturbStore(kind Kind) (undo func()) {
	set := func(on bool) {
		i.mu.Lock()
		defer i.mu.Unlock()
		switch kind {
		case StoreDown:
			i.store.Down = on
		case StoreSilent:
			i.store.Unresponsive = on
		case StoreSlow:
			i.store.Latency = pick(on, slowCall)
		case StoreLost:
			i.store.LostResponseShare = pick(on, lostShare)
		case StoreLate:
			i.store.LostResponseShare, i.store.LateWriteDelay = pick(on, lostShare), pick(on, lateWrite)
		}
		i.fleet.store.SetFaults(i.store)
	}
	set(true)
	return func() { set(false) }
}

func pick[T any](on bool, v T) T {
	var none T
	if on {
		return v
	}
	return none
}

// changeConfig writes the next version.
func (i *injector) changeConfig() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fleet.version++
	i.fleet.store.Put("config", "main", i.fleet.config())
	i.history.configured(i.fleet.version)
}

// watchVersions reads the version in force at each node until ctx ends. It
// never goes back within one start, and a change is in force in time when
// nothing else is wrong.
func (i *injector) watchVersions(ctx context.Context) {
	type seen struct{ boot, version int }
	last := map[string]seen{}
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
			last[n.name] = seen{boot, version}
			i.history.judgeVersion(n.name, version)
		}
		time.Sleep(versionPoll)
	}
}

const versionPoll = 200 * time.Millisecond
