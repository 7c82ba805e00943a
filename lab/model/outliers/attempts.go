package outliers

import (
	"time"

	"github.com/marblepond/marblepond/internal/request/choose"
)

// online is an online request.
type online struct {
	n          *node
	arrived    time.Duration
	atMostOnce bool
	exclude    map[string]bool
	ran        int
	left       int // events
	begun      bool
}

func (w *world) startOnline() {
	w.result.Online++
	o := &online{n: w.nodes[w.rng.IntN(len(w.nodes))], arrived: w.now, atMostOnce: w.rng.Float64() < w.AtMostOnceShare, exclude: map[string]bool{}, left: onlineEvents}
	o.place()
}

func (o *online) need() choose.Need {
	return choose.Need{Service: "s", Exclude: o.exclude, Overflow: overflow, Repeatable: !o.atMostOnce && o.ran == 0, NoProbe: o.ran > 0 || o.begun}
}

func (o *online) place() {
	w := o.n.w
	t, ok := o.n.table.Choose(w.time(), o.need())
	if !ok {
		if w.now-o.arrived > objective/5 {
			w.result.Refused++
			return
		}
		w.after(10*time.Millisecond, o.place)
		return
	}
	o.n.table.Begin(t.ID)
	o.send(t)
}

// attempt is one attempt of an online request.
type attempt struct {
	*online
	t         choose.Target
	e         *engine
	c         *call
	sent      time.Duration
	lastEvent time.Duration // or when it was sent
	first     bool          // an event arrived
	done      bool
}

func (o *online) send(t choose.Target) {
	w := o.n.w
	e := w.byID[t.ID]
	e.sent++
	a := &attempt{online: o, t: t, e: e, sent: w.now, lastEvent: w.now}
	b := w.behaviour(e, o.n.dataCentre)
	if b == Fail {
		w.after(2*linkDelay, a.failed)
		return
	}
	a.c = &call{events: o.left, hang: b == Hang, onEvent: a.event, onEnd: a.complete}
	w.after(linkDelay, func() { e.submit(w, a.c) })
	a.watch(objective / 2)
	a.patience()
}

func (a *attempt) event() {
	if a.done {
		return
	}
	w := a.n.w
	a.n.table.RecordAttemptEvent(w.time(), a.t)
	if !a.first {
		a.n.table.RecordFirstEvent(w.time(), a.t.ID, w.now-a.sent)
		a.n.table.RecordUsualFirstEvent(a.t, w.now-a.sent)
	}
	a.first, a.begun, a.lastEvent = true, true, w.now
	a.left--
}

func (a *attempt) complete() {
	if a.done {
		return
	}
	a.end(choose.Success)
	a.n.table.RecordSlotTime("s", a.n.w.now-a.sent)
	a.n.w.result.Answered++
}

// failed handles an answer with status 500.
func (a *attempt) failed() {
	if a.atMostOnce || a.ran > 0 {
		a.end(choose.ErrorAnswer)
		a.n.w.result.AnsweredWithError++
		return
	}
	a.end(choose.Failure)
	a.again()
}

func (a *attempt) again() {
	a.ran++
	a.exclude[a.t.ID] = true
	a.place()
}

func (a *attempt) end(o choose.Outcome) {
	a.done = true
	now := a.n.w.time()
	a.n.table.End(now, a.t.ID, o)
	a.n.table.RecordEnd(now, a.t, o)
	a.n.judge()
}

// patience lets the caller break off after callerPatience without an event.
func (a *attempt) patience() {
	a.n.w.after(callerPatience-(a.n.w.now-a.lastEvent), func() {
		switch {
		case a.done:
		case a.n.w.now-a.lastEvent < callerPatience:
			a.patience()
		default:
			a.n.w.result.TimedOut++
			a.end(choose.Neutral)
			a.e.remove(a.n.w, a.c)
		}
	})
}

// watch gives up an attempt without an event if another target is better, as the watchdog
// of package forward does.
func (a *attempt) watch(after time.Duration) {
	if a.atMostOnce || a.ran > 0 {
		return
	}
	w := a.n.w
	w.after(after, func() {
		switch {
		case a.done:
		case w.now-a.lastEvent < gapTimeout:
			a.watch(gapTimeout)
		case a.n.table.BetterElsewhere(w.time(), choose.Wait{Target: a.t, For: w.now - a.lastEvent, Begun: a.first, AliveWithin: gapTimeout}, a.need()):
			w.result.Stalled++
			a.end(choose.Stalled)
			a.e.remove(w, a.c)
			a.again()
		default:
			a.watch(recheck)
		}
	})
}

// item is a batch item.
type item struct {
	n        *node
	failedAt map[string]bool
	failures int
}

func (w *world) startItem() {
	i := &item{n: w.nodes[w.rng.IntN(len(w.nodes))], failedAt: map[string]bool{}}
	i.place()
}

func (i *item) place() {
	w, table := i.n.w, i.n.table
	need := choose.Need{Service: "s", Batch: true}
	if w.SharedView && i.failures > 0 {
		need.Exclude, need.Proven, need.NoProbe = i.failedAt, true, true
	}
	t, ok := table.Choose(w.time(), need)
	if !ok {
		w.after(itemPoll, i.place)
		return
	}
	table.BeginBatch(t.ID)
	e := w.byID[t.ID]
	ended := false
	end := func(o choose.Outcome) {
		ended = true
		table.EndBatch(w.time(), t.ID, o, false)
		if i.failures > 0 && o != choose.Success && w.SharedView {
			o = choose.Withdrawn
		}
		table.RecordEnd(w.time(), t, o)
		i.n.judge()
	}
	b := w.behaviour(e, i.n.dataCentre)
	if b == Fail {
		w.after(2*linkDelay, func() {
			end(choose.ErrorAnswer)
			i.retry(t.ID)
		})
		return
	}
	lastEvent := w.now
	c := &call{events: itemEvents, hang: b == Hang}
	c.onEvent = func() {
		lastEvent = w.now
		if !ended {
			table.RecordItemEvent(w.time(), t, 0)
		}
	}
	c.onEnd = func() {
		if !ended {
			end(choose.Success)
		}
	}
	w.after(linkDelay, func() { e.submit(w, c) })
	var watch func()
	watch = func() {
		switch {
		case ended:
		case w.now-lastEvent >= callerPatience:
			end(choose.Stalled)
			e.remove(w, c)
			i.retry(t.ID)
		default:
			w.after(callerPatience-(w.now-lastEvent), watch)
		}
	}
	w.after(callerPatience, watch)
}

func (i *item) retry(target string) {
	i.n.w.result.ItemAttemptsFailed++
	i.failures++
	i.failedAt[target] = true
	if i.failures < itemAttempts {
		i.n.w.after(250*time.Millisecond, i.place)
	}
}
