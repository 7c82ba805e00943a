package model

import (
	"time"

	"github.com/marblepond/marblepond/internal/request/admission"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/schedule"
)

// serviceName is the service of all targets.
const serviceName = "s"

// Copies of the product's constants for what is simulated here: reports between nodes
// (package beacon), and items and attempts (packages job and forward).
const (
	nearInterval      = 100 * time.Millisecond
	farInterval       = 100 * time.Millisecond
	farFanout         = 3
	scheduleInterval  = 20 * time.Millisecond
	preemptionBackoff = 100 * time.Millisecond
	stallTimeout      = 2 * time.Second
	connectTimeout    = 50 * time.Millisecond
	ejectAfter        = 3
	ejectTime         = 2 * time.Second
	gapShare          = 0.5
)

// node simulates one node around the product's decisions.
type node struct {
	fleet       *fleet
	name        string
	dataCentre  string
	seed        uint64
	down        bool
	incarnation int // number of starts; events scheduled by an earlier incarnation are ignored
	table       *choose.Table
	jobs        []*job
	peerState
	admission   *admission.Controller // with Variant.Overload
	paceReports paceReports
}

func newNode(f *fleet, name, dataCentre string, seed uint64) *node {
	n := &node{fleet: f, name: name, dataCentre: dataCentre, seed: seed}
	f.clock.every(nearInterval, n.requestRoundIfDue)
	f.clock.every(farInterval, n.reportToOtherDataCentres)
	f.clock.every(scheduleInterval, n.dispatchItems)
	return n
}

func (n *node) start() {
	n.down = false
	n.incarnation++
	n.peerState = newPeerState(n)
	n.table = choose.New(choose.Config{EjectAfter: ejectAfter, EjectTime: ejectTime, Policy: choose.LeastOfFew, Node: n.name, LocalDataCentre: n.dataCentre, Group: n.view.Group(),
		Seed: n.seed, MinReserve: n.fleet.variant.MinReserve})
	n.table.SetSharedView(n.fleet.variant.SharedView)
	n.table.SetTargets(n.fleet.targets)
	n.startAdmission()
}

// stop ends the process. Its connections break, so that the engines end its items.
func (n *node) stop() {
	n.down = true
	for _, j := range n.jobs {
		for i := range j.items {
			if it := &j.items[i]; it.call != nil {
				n.fleet.engines[it.target].remove(it.call)
				it.call = nil
			}
		}
	}
}

// dispatchItems sends waiting items while there are free slots for them.
func (n *node) dispatchItems() {
	if n.down {
		return
	}
	now := n.fleet.clock.wallTime()
	items := n.waitingItems()
	schedule.Sort(items)
	limit := n.allotments()
	for _, item := range items {
		t, ok := n.table.Choose(now, choose.Need{Service: serviceName, Batch: true, Limit: limit})
		if !ok {
			return
		}
		n.table.BeginBatch(t.ID)
		n.sendItem(n.jobByID(item.Job), item.Index, t)
		n.ownLoadChanged()
	}
}

func (n *node) jobByID(id string) *job {
	for _, j := range n.jobs {
		if j.id == id {
			return j
		}
	}
	return nil
}

// waitingItems returns the items that may be sent now.
func (n *node) waitingItems() []schedule.Item {
	var out []schedule.Item
	for _, j := range n.jobs {
		for i := range j.items {
			if it := &j.items[i]; it.call == nil && !it.done && n.fleet.clock.now >= it.notBefore {
				out = append(out, schedule.Item{Job: j.id, Index: i, Due: j.due})
			}
		}
	}
	return out
}

// openItems returns the number of items that are not done.
func (n *node) openItems() int {
	open := 0
	for _, j := range n.jobs {
		for i := range j.items {
			if !j.items[i].done {
				open++
			}
		}
	}
	return open
}

// yieldItems stops up to count items at a target, to free their slots for online requests.
func (n *node) yieldItems(target string, count int) {
	var running []schedule.Item
	for _, j := range n.jobs {
		for i := range j.items {
			if it := &j.items[i]; it.call != nil && !it.yielding && it.target == target {
				running = append(running, schedule.Item{Job: j.id, Index: i, Due: j.due, Sent: startTime.Add(it.sent)})
			}
		}
	}
	for _, item := range schedule.SelectYielding(running, count) {
		it := &n.jobByID(item.Job).items[item.Index]
		it.yielding = true
		n.table.MarkYielding(target)
		n.fleet.result.Yields++
		call := it.call
		n.fleet.clock.after(n.fleet.delay(n.dataCentre, n.fleet.targetDataCentres[target]), func() { n.fleet.engines[target].remove(call) })
		it.notBefore = n.fleet.clock.now + preemptionBackoff
		n.fleet.clock.after(0, func() { n.endItemAttempt(it, call, choose.Neutral, true) })
	}
}

// endItemAttempt records the end of an attempt, unless the item has another one by now.
func (n *node) endItemAttempt(it *item, call *engineCall, outcome choose.Outcome, yielded bool) {
	if it.call != call {
		return
	}
	it.call, it.yielding = nil, false
	n.table.EndBatch(n.fleet.clock.wallTime(), it.target, outcome, yielded)
	n.table.RecordEnd(n.fleet.clock.wallTime(), it.chosen, outcome)
	n.ownLoadChanged()
}
