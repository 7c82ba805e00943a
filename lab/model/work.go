package model

import (
	"fmt"
	"time"

	"github.com/marblepond/marblepond/internal/request/choose"
)

// job is one batch job at its holder.
type job struct {
	id    string
	due   time.Time
	items []item
}

type item struct {
	run     *run // nil: waits or is done
	target  string
	sent    time.Duration
	notAt   time.Duration
	heard   time.Duration
	events  int // of the whole output
	held    int
	stopped bool
	done    bool
}

// job gives a new job to a node.
func (f *fleet) job() {
	n := f.node()
	counted := f.clock.now < f.load.Length
	if n == nil || !counted {
		return // callers send it again; not modelled
	}
	f.jobs++
	j := &job{id: fmt.Sprintf("j%05d", f.jobs), due: f.clock.wall().Add(f.CompleteWithin), items: make([]item, jobItems)}
	for i := range j.items {
		j.items[i].events = f.length(f.ItemEvents)
	}
	f.result.Items.Total += jobItems
	n.jobs = append(n.jobs, j)
}

// sendItem makes one attempt at an item.
func (n *node) sendItem(j *job, i int, target string) {
	it := &j.items[i]
	f, life := n.f, n.life
	it.target, it.sent, it.heard = target, f.clock.now, f.clock.now
	resumed := it.held * f.Engine.TokensPerEvent
	r := &run{prompt: itemTokens + resumed, events: it.events - it.held}
	f.result.ResumedTokens += resumed
	it.run = r
	current := func() bool { return it.run == r && n.life == life && !it.stopped }
	r.event = func(time.Duration) {
		f.deliver(n, target, func() {
			if current() {
				it.held++
				it.heard = f.clock.now
			}
		})
	}
	r.end = func(time.Duration) {
		f.deliver(n, target, func() {
			if !current() {
				return
			}
			it.done = true
			f.result.Items.end(f.clock.wall(), j.due)
			n.itemEnded(it, r, choose.Success, false)
		})
	}
	f.submit(n, target, r, func() { n.itemEnded(it, r, choose.Failure, false) })
	n.watchItem(it, r)
}

// watchItem ends an attempt whose target is silent for long.
func (n *node) watchItem(it *item, r *run) {
	n.f.clock.after(itemSilence, func() {
		if it.run != r || it.stopped {
			return
		}
		if n.f.clock.now-it.heard >= itemSilence {
			n.f.engines[it.target].drop(r)
			n.itemEnded(it, r, choose.Failure, false)
			return
		}
		n.watchItem(it, r)
	})
}

// submit sends a run to a target; failed is told when no connection is made.
func (f *fleet) submit(n *node, target string, r *run, failed func()) {
	if !f.reaches(n.centre, f.centres[target]) {
		f.clock.after(connectLimit, failed)
		return
	}
	f.clock.after(f.delay(n.centre, f.centres[target]), func() {
		if !r.gone {
			f.engines[target].add(r)
		}
	})
}

// deliver brings an event from a target to a node, unless they are cut apart.
func (f *fleet) deliver(n *node, target string, arrived func()) {
	f.clock.after(f.delay(n.centre, f.centres[target]), func() {
		if f.reaches(n.centre, f.centres[target]) {
			arrived()
		}
	})
}

// Times and shares of the product's forwarder.
const (
	overflow   = 4
	roomPause  = 10 * time.Millisecond
	roomShare  = 0.2
	firstShare = 0.5
	lookPause  = 25 * time.Millisecond
	attempts   = 2
)

// request is one online request at its node.
type request struct {
	n       *node
	life    int
	arrived time.Duration
	counted bool
	prefix  string
	left    int // events to come
	tried   int
	exclude map[string]bool
	first   time.Duration // 0: no event yet
	newest  time.Duration
	pause   time.Duration
}

// request gives a new online request to a node.
func (f *fleet) request() {
	n := f.node()
	counted := f.clock.now < f.load.Length
	if counted {
		f.result.Online.Total++
	}
	if n == nil {
		if counted {
			f.result.Online.Failed++
		}
		return
	}
	q := &request{n: n, life: n.life, arrived: f.clock.now, counted: counted, prefix: fmt.Sprint("p", f.draw.IntN(prefixes)),
		left: f.length(f.OnlineEvents), exclude: map[string]bool{}}
	q.place()
}

func (q *request) over() bool { return q.n.down || q.n.life != q.life }

// place sends the request to a target, or waits a little for one.
func (q *request) place() {
	f, n := q.n.f, q.n
	if q.over() {
		q.end(&f.result.Online.Failed)
		return
	}
	t, ok := n.table.Choose(f.clock.wall(), q.need())
	switch {
	case ok:
		q.send(t.ID)
	case q.first == 0 && f.clock.now-q.arrived > time.Duration(roomShare*float64(f.FirstEventObjective)) && q.tried > 0:
		q.end(&f.result.Online.Failed)
	case q.first == 0 && f.clock.now-q.arrived > time.Duration(roomShare*float64(f.FirstEventObjective)):
		q.end(&f.result.Online.Refused)
	default:
		if q.tried == 0 {
			clear(q.exclude)
		}
		f.clock.after(roomPause, q.place)
	}
}

func (q *request) need() choose.Need {
	return choose.Need{Service: service, Exclude: q.exclude, Overflow: overflow}
}

func (q *request) end(count *int) {
	if q.counted {
		*count++
	}
}

// attempt is one try of a request at a target.
type attempt struct {
	*request
	target string
	run    *run
	sent   time.Duration
	ended  bool
}

func (q *request) send(target string) {
	f, n := q.n.f, q.n
	n.table.Begin(target)
	if own, others := n.table.Preemption(f.clock.wall(), target); own {
		n.yield(target, 1)
	} else if !others.Empty() {
		n.tellHolders(others)
	}
	n.ownLoadChanged()
	a := &attempt{request: q, target: target, sent: f.clock.now,
		run: &run{prefix: q.prefix, shared: sharedTokens, prompt: sharedTokens + ownTokens, events: q.left}}
	a.run.event = func(time.Duration) {
		f.deliver(n, target, func() {
			if a.current() {
				q.event(target, a.sent)
			}
		})
	}
	a.run.end = func(time.Duration) {
		f.deliver(n, target, func() {
			if a.current() {
				a.finish(choose.Success)
				n.table.RecordSlotTime(service, f.clock.now-a.sent)
				q.whole()
			}
		})
	}
	f.submit(n, target, a.run, func() { a.elsewhere(choose.Failure) })
	a.watch(time.Duration(firstShare * float64(f.FirstEventObjective)))
}

// current reports whether the attempt still counts at its node.
func (a *attempt) current() bool { return !a.ended && !a.over() }

func (a *attempt) finish(outcome choose.Outcome) {
	a.ended = true
	a.n.f.engines[a.target].drop(a.run)
	if !a.over() {
		a.n.table.End(a.n.f.clock.wall(), a.target, outcome)
		a.n.ownLoadChanged()
	}
}

// elsewhere ends the attempt and goes on at another target.
func (a *attempt) elsewhere(outcome choose.Outcome) {
	a.finish(outcome)
	a.exclude[a.target] = true
	a.place()
}

// watch ends an attempt whose caller is gone, and gives a silent target up when
// another is better.
func (a *attempt) watch(after time.Duration) {
	f := a.n.f
	seen := a.left
	f.clock.after(after, func() {
		gap := time.Duration(heardForShare * float64(f.GapObjective))
		switch {
		case a.ended:
		case a.over() || f.clock.now-a.arrived > f.Deadline:
			a.finish(choose.Neutral)
			a.end(&f.result.Online.Failed)
		case a.left != seen:
			a.watch(gap)
		case a.tried+1 < attempts && a.n.table.BetterElsewhere(f.clock.wall(), a.target, a.need(), gap):
			a.tried++
			a.elsewhere(choose.Failure)
		default:
			a.watch(lookPause)
		}
	})
}

func (q *request) event(target string, sent time.Duration) {
	f := q.n.f
	now := f.clock.now
	q.n.table.RecordEvent(f.clock.wall(), target)
	if q.first == 0 {
		q.first = now - q.arrived
		q.n.table.RecordFirstEvent(f.clock.wall(), target, now-sent)
	} else {
		q.pause = max(q.pause, now-q.newest)
	}
	q.newest = now
	q.left--
}

func (q *request) whole() {
	if !q.counted {
		return
	}
	f := q.n.f
	f.result.first = append(f.result.first, q.first)
	if q.first <= f.FirstEventObjective && q.pause <= f.GapObjective {
		f.result.Online.InTime++
	} else {
		f.result.Online.Late++
	}
}
