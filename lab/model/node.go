package model

import (
	"time"

	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/schedule"
)

// service is the one that all targets belong to.
const service = "s"

// Times of the product that are not part of its pure decisions. Each is the
// constant of the same purpose there.
const (
	nearInterval  = 100 * time.Millisecond
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
	f      *fleet
	name   string
	centre string
	seed   uint64
	down   bool
	life   int // counts starts, so that what an earlier life began changes nothing
	table  *choose.Table
	jobs   []*job
	news
}

func newNode(f *fleet, name, centre string, seed uint64) *node {
	n := &node{f: f, name: name, centre: centre, seed: seed}
	f.clock.every(nearInterval, n.remind)
	f.clock.every(farInterval, n.tellFar)
	f.clock.every(scheduleTick, n.fill)
	return n
}

func (n *node) start() {
	n.down = false
	n.life++
	n.news = newNews(n)
	n.table = choose.New(choose.Config{EjectAfter: ejectAfter, EjectTime: ejectTime, Policy: choose.LeastOfFew, Node: n.name, LocalDataCentre: n.centre, Group: n.view.Group(),
		Seed: n.seed, MinReserve: n.f.variant.MinReserve})
	n.table.SetTargets(n.f.list)
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
		n.ownLoadChanged()
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
	for _, item := range schedule.SelectYielding(at, count) {
		it := &n.job(item.Job).items[item.Index]
		it.stopped = true
		n.table.MarkYielding(target)
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
	n.ownLoadChanged()
}
