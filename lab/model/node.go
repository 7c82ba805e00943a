package model

import (
	"maps"
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/schedule"
)

// service is the one that all targets belong to.
const service = "s"

// Times of the product that are not part of its pure decisions. Each is the
// constant of the same purpose there.
const (
	nearPace      = 5 * time.Millisecond // news to the own data centre, for each node and once more
	farInterval   = 100 * time.Millisecond
	farFanout     = 3
	scheduleTick  = 20 * time.Millisecond
	yieldPause    = 100 * time.Millisecond
	itemSilence   = 2 * time.Second
	connectLimit  = 50 * time.Millisecond
	ejectAfter    = 3
	ejectTime     = 2 * time.Second
	heardForShare = 0.5
)

// node plays one node around the product's decisions.
type node struct {
	f       *fleet
	name    string
	centre  string
	seed    uint64
	down    bool
	life    int // counts starts, so that what an earlier life began changes nothing
	table   *choose.Table
	jobs    []*job
	claims  map[string]int          // demand of the nodes of the own data centre
	centres map[string]choose.Claim // claims of other data centres
	changed bool
}

func newNode(f *fleet, name, centre string, seed uint64) *node {
	n := &node{f: f, name: name, centre: centre, seed: seed}
	f.clock.every(time.Duration(f.NodesPerCentre+1)*nearPace, n.tellNear)
	f.clock.every(farInterval, n.tellFar)
	f.clock.every(scheduleTick, n.fill)
	return n
}

func (n *node) start() {
	n.down = false
	n.life++
	n.table = choose.New(choose.Config{EjectAfter: ejectAfter, EjectTime: ejectTime, Policy: choose.LeastOfFew, Node: n.name, Home: n.centre,
		Seed: n.seed, LeastReserve: n.f.variant.LeastReserve})
	n.table.Set(n.f.list)
	n.claims, n.centres = map[string]int{}, map[string]choose.Claim{}
}

// stop ends the process: its connections break and engines end its runs.
func (n *node) stop() {
	n.down = true
	for _, j := range n.jobs {
		for i := range j.items {
			if it := &j.items[i]; it.run != nil {
				n.f.engines[it.target].drop(it.run)
				it.run = nil
			}
		}
	}
}

// others returns the other nodes of the own data centre, or those elsewhere.
func (n *node) others(near bool) []*node {
	var out []*node
	for _, o := range n.f.nodes {
		if o != n && (o.centre == n.centre) == near {
			out = append(out, o)
		}
	}
	return out
}

// loadChanged makes room and has the change told.
func (n *node) loadChanged() {
	n.changed = true
	excess := n.table.Excess(n.f.clock.wall())
	for _, id := range slices.Sorted(maps.Keys(excess)) {
		n.yield(id, excess[id])
	}
}

func (n *node) tellNear() {
	if n.down || !n.changed {
		return
	}
	n.changed = false
	n.send(n.others(true))
}

func (n *node) tellFar() {
	if n.down {
		return
	}
	far := n.others(false)
	n.f.draw.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	n.send(far[:min(farFanout, len(far))])
}

// tellHolders lets those with items at a target hear at once.
func (n *node) tellHolders(h choose.Holders) {
	if n.f.variant.Mute {
		return
	}
	var to []*node
	for _, o := range n.f.nodes {
		for _, name := range h.Nodes {
			if o.name == name {
				to = append(to, o)
			}
		}
		for _, centre := range h.DataCentres {
			if o.centre == centre {
				to = append(to, o)
			}
		}
	}
	n.send(to)
}

// send tells nodes what this one, or its data centre, has in flight.
func (n *node) send(to []*node) {
	own, here := n.table.Own(), n.table.Here()
	demand, claim := n.demand(), n.claim()
	for _, o := range to {
		n.f.clock.after(n.f.delay(n.centre, o.centre), func() {
			if o.down || n.down || !n.f.reaches(n.centre, o.centre) {
				return
			}
			if o.centre == n.centre {
				o.claims[n.name] = demand
				o.table.SetNode(n.name, own)
			} else {
				o.centres[n.centre] = claim
				o.table.SetDataCentre(n.centre, here)
			}
			o.loadChanged()
		})
	}
}

func (n *node) claim() choose.Claim {
	demand := n.demand()
	for _, d := range n.claims {
		demand += d
	}
	return choose.Claim{Demand: demand, Overflow: max(0, demand-n.table.BatchRoom(n.f.clock.wall(), n.centre))}
}

// shares returns how many items this node may have at a target.
func (n *node) shares() func(choose.Target) int {
	claims := choose.Claims{Node: n.name, DataCentre: n.centre, Nodes: map[string]int{n.name: n.demand()}, Centres: map[string]choose.Claim{n.centre: n.claim()}}
	for name, demand := range n.claims {
		claims.Nodes[name] = demand
	}
	for name, claim := range n.centres {
		claims.Centres[name] = claim
	}
	reserve := n.table.Reserve()
	return func(t choose.Target) int { return claims.Share(t, t.Slots-reserve(t)) }
}

// fill sends the items that there is room for.
func (n *node) fill() {
	if n.down {
		return
	}
	now := n.f.clock.wall()
	items := n.waitingItems()
	schedule.Sort(items)
	limit := n.shares()
	for _, item := range items {
		t, ok := n.table.Choose(now, choose.Need{Service: service, Batch: true, Limit: limit})
		if !ok {
			return
		}
		n.table.BeginBatch(t.ID)
		n.sendItem(n.job(item.Job), item.Index, t.ID)
		n.loadChanged()
	}
}

func (n *node) job(id string) *job {
	for _, j := range n.jobs {
		if j.id == id {
			return j
		}
	}
	return nil
}

func (n *node) waitingItems() []schedule.Item {
	var out []schedule.Item
	for _, j := range n.jobs {
		for i := range j.items {
			if it := &j.items[i]; it.run == nil && !it.done && n.f.clock.now >= it.notAt {
				out = append(out, schedule.Item{Job: j.id, Index: i, Due: j.due})
			}
		}
	}
	return out
}

func (n *node) demand() int {
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

// yield stops items at a target.
func (n *node) yield(target string, count int) {
	var at []schedule.Item
	for _, j := range n.jobs {
		for i := range j.items {
			if it := &j.items[i]; it.run != nil && !it.stopped && it.target == target {
				at = append(at, schedule.Item{Job: j.id, Index: i, Due: j.due, Sent: epoch.Add(it.sent)})
			}
		}
	}
	for _, item := range schedule.Yielding(at, count) {
		it := &n.job(item.Job).items[item.Index]
		it.stopped = true
		n.table.Yielding(target)
		n.f.result.Yields++
		run := it.run
		n.f.clock.after(n.f.delay(n.centre, n.f.centres[target]), func() { n.f.engines[target].drop(run) })
		it.notAt = n.f.clock.now + yieldPause
		n.f.clock.after(0, func() { n.itemEnded(it, run, choose.Neutral, true) })
	}
}

// itemEnded takes the end of an attempt.
func (n *node) itemEnded(it *item, r *run, outcome choose.Outcome, yielded bool) {
	if it.run != r {
		return
	}
	it.run, it.stopped = nil, false
	n.table.EndBatch(n.f.clock.wall(), it.target, outcome, yielded)
	n.loadChanged()
}
