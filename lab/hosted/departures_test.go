package hosted

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"
)

const (
	// drainBound is the time after which a target that left gets no more requests; the nodes
	// have it from the default of the setting targets_within.
	drainBound = 2 * time.Second
	// largeDrainBound is what the users ask for of fleets with thousands of targets, whose list
	// takes half a second on the line of a VM.
	largeDrainBound = 5 * time.Second
	// idleService is the service of targets that are listed and that nobody uses.
	idleService = "svc-idle"
)

// wholeLimits cuts answers as the users state it.
var wholeLimits = AnswerLimits{List: 500, Watch: 500, Bytes: 1 << 20}

// putIdle writes the entries of targets that nobody uses, in a state, with the numbers from
// first to last-1.
func (f *Fleet) putIdle(first, last int, state string) {
	for i := first; i < last; i++ {
		entry := f.Runners[0].Entry("hall-a", state)
		entry["service"], entry["address"] = idleService, "127.0.0.1:1"
		f.Store.Put("servers", fmt.Sprintf("idle-%05d", i), entry)
	}
}

// departures is a load on all nodes while targets leave.
type departures struct {
	fleet *Fleet
	acked map[*Runner]time.Time // when the store accepted that a target leaves
	stop  context.CancelFunc
	load  sync.WaitGroup
}

// startDepartures sends requests to all nodes, each every interval.
func (f *Fleet) startDepartures(interval time.Duration) *departures {
	ctx, cancel := context.WithCancel(context.Background())
	d := &departures{fleet: f, acked: map[*Runner]time.Time{}, stop: cancel}
	for _, n := range f.Nodes {
		d.load.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				d.load.Go(func() {
					SendRequest(ctx, n.CallerAddress(), RepeatPath, fmt.Sprintf("%s-%d", n.Settings.NodeID, i), nil)
				})
				select {
				case <-ctx.Done():
				case <-time.After(interval):
				}
			}
		})
	}
	return d
}

// leave reports runners as draining, or removes their entries.
func (d *departures) leave(remove bool, runners ...*Runner) {
	for _, r := range runners {
		if remove {
			d.fleet.Store.Delete("servers", r.ID)
		} else {
			d.fleet.Store.Put("servers", r.ID, r.Entry("hall-a", "draining"))
		}
		d.acked[r] = time.Now()
	}
}

// check waits and fails for each request that reached a target that left later than the bound.
func (d *departures) check(t *testing.T, bound time.Duration) {
	t.Helper()
	time.Sleep(bound + 3*time.Second)
	d.stop()
	d.load.Wait()
	for r, acked := range d.acked {
		before, late, last := 0, 0, time.Duration(0)
		for _, run := range r.RunStarts() {
			after := run.At.Sub(acked)
			last = max(last, after)
			switch {
			case after <= 0:
				before++
			case after > bound:
				late++
			}
		}
		t.Logf("%s: %d requests before it left, the last %v after, %d too late", r.ID, before, last, late)
		if before == 0 || late > 0 {
			t.Errorf("%s: %d requests before it left, %d later than %v after", r.ID, before, late, bound)
		}
	}
}

// TestTargetsLeaveBesideManyChanges guards against requests to targets that have left, from
// nodes that take an answer that the store cut at its size limit for all there is.
func TestTargetsLeaveBesideManyChanges(t *testing.T) {
	for name, c := range map[string]struct{ listed, before, leaving, after int }{
		"after many registrations":       {0, 3000, 0, 3000},
		"of 10,000, beside many changes": {10000, 1000, 1000, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, Options{Nodes: 6, Runners: 8, Slots: 32, Events: 2, Gap: 5 * time.Millisecond})
			f.Store.SetLimits(wholeLimits)
			f.putIdle(0, c.listed, "ready")
			for _, n := range f.Nodes {
				eventually(t, "all targets are known", 30*time.Second, func() bool { return n.TargetCount(idleService) == c.listed })
			}
			d := f.startDepartures(20 * time.Millisecond)
			time.Sleep(500 * time.Millisecond)
			f.putIdle(c.listed, c.listed+c.before, "ready")
			d.leave(false, f.Runners[0], f.Runners[1])
			f.putIdle(0, c.leaving, "draining")
			d.leave(true, f.Runners[2], f.Runners[3])
			f.putIdle(c.listed+c.before, c.listed+c.before+c.after, "ready")
			d.check(t, drainBound)
		})
	}
}

// TestRemovedTargetsGetNoRequestsBesideASlowStore guards against requests to targets that were
// removed without an announcement, from nodes that take the usual age of their copies for an
// outage of the store and so doubt the removal.
func TestRemovedTargetsGetNoRequestsBesideASlowStore(t *testing.T) {
	const bound = 5 * time.Second
	f := startFleet(t, Options{Nodes: 3, Runners: 4, Slots: 32, Events: 2, Gap: 5 * time.Millisecond, Extra: "[follow]\ntargets_within = 5s\n"})
	f.Store.SetFaults(StoreFaults{Latency: 300 * time.Millisecond})
	d := f.startDepartures(20 * time.Millisecond)
	time.Sleep(5 * time.Second) // several refreshes
	d.leave(true, f.Runners[0], f.Runners[1])
	d.check(t, bound)
}

// linedFleet starts a fleet in which each node has an endpoint of the store of its own; extra is
// added to the settings of each.
func linedFleet(t *testing.T, nodes int, extra string, o Options) (*Fleet, []*Endpoint) {
	t.Helper()
	f := startFleet(t, o)
	f.Store.SetLimits(wholeLimits)
	var lines []*Endpoint
	for i := range nodes {
		line := f.Store.NewEndpoint()
		n, err := f.StartNode(fmt.Sprintf("edge-%d", i), line.Settings()+extra)
		if err != nil {
			t.Fatal(err)
		}
		if err := f.waitReady(n); err != nil {
			t.Fatal(err)
		}
		lines = append(lines, line)
	}
	return f, lines
}

// TestTargetsLeaveBesideFaults: the same while nodes are behind for another reason: the store
// has lost its history, is slow, or is out of reach of most nodes, lines are slow, or nodes start.
func TestTargetsLeaveBesideFaults(t *testing.T) {
	const slowLine = 30e6 / 8 // bytes per second
	for name, c := range map[string]struct {
		within time.Duration
		fault  func(f *Fleet, lines []*Endpoint)
	}{
		"the store drops its history": {drainBound, func(f *Fleet, _ []*Endpoint) { f.Store.DropHistory() }},
		"the store drops its history, and lines are slow": {largeDrainBound, func(f *Fleet, lines []*Endpoint) {
			for _, line := range lines {
				line.SetRate(slowLine)
			}
			f.Store.DropHistory()
		}},
		"the store is slow": {drainBound, func(f *Fleet, _ []*Endpoint) { f.Store.SetFaults(StoreFaults{Latency: 60 * time.Millisecond}) }},
		"all but one node are refused": {drainBound, func(f *Fleet, lines []*Endpoint) {
			for _, line := range lines[1:] {
				line.SetDown(true)
			}
		}},
		"all but one node hear nothing of the store": {drainBound, func(f *Fleet, lines []*Endpoint) {
			for _, line := range lines[1:] {
				line.SetUnresponsive(true)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f, lines := linedFleet(t, 6, fmt.Sprintf("[follow]\ntargets_within = %v\n", c.within), Options{Runners: 8, Slots: 32, Events: 2, Gap: 5 * time.Millisecond})
			f.putIdle(0, 4000, "ready")
			for _, n := range f.Nodes {
				eventually(t, "all targets are known", 10*time.Second, func() bool { return n.TargetCount(idleService) == 4000 })
			}
			d := f.startDepartures(20 * time.Millisecond)
			time.Sleep(500 * time.Millisecond)
			c.fault(f, lines)
			f.putIdle(4000, 5500, "ready")
			d.leave(false, f.Runners[0], f.Runners[1])
			f.putIdle(0, 500, "draining")
			d.leave(true, f.Runners[2], f.Runners[3])
			c.fault(f, lines) // once more, in the middle of the changes
			f.putIdle(5500, 6500, "ready")
			d.check(t, c.within)
		})
	}
}

// TestTargetsLeaveWhileNodesStart: the same while half of the nodes start again, which then
// receive the whole list in parts. No node is ready before it has the list.
func TestTargetsLeaveWhileNodesStart(t *testing.T) {
	f, _ := linedFleet(t, 6, "", Options{Runners: 8, Slots: 32, Events: 2, Gap: 5 * time.Millisecond})
	f.putIdle(0, 10000, "ready")
	for _, n := range f.Nodes {
		eventually(t, "all targets are known", 10*time.Second, func() bool { return n.TargetCount(idleService) == 10000 })
	}
	d := f.startDepartures(20 * time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	for _, n := range f.Nodes[:3] {
		n.Kill()
	}
	f.putIdle(10000, 11000, "ready")
	d.leave(false, f.Runners[0], f.Runners[1])
	started := time.Now()
	for _, n := range append([]*Node(nil), f.Nodes[:3]...) {
		again, err := f.Restart(n, "")
		if err != nil {
			t.Fatal(err)
		}
		if err := f.waitReady(again); err != nil {
			t.Fatal(err)
		}
		if known := again.TargetCount(idleService); known < 10000 {
			t.Errorf("%s is ready with %d of 10,000 targets", again.Settings.NodeID, known)
		}
	}
	t.Logf("three nodes started one after another in %v", time.Since(started))
	d.leave(true, f.Runners[2], f.Runners[3])
	d.check(t, drainBound)
}
