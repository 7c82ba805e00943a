package model

import (
	"fmt"
	"time"

	"github.com/marblepond/marblepond/internal/request/admission"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/patience"
)

// job is a batch job at its holder, the node that runs it.
type job struct {
	id    string
	due   time.Time
	items []item
}

type item struct {
	call           *engineCall // current attempt; nil: the item waits or is done
	target         string
	chosen         choose.Target
	sent           time.Duration
	notBefore      time.Duration // no new attempt before this time
	lastEvent      time.Duration
	totalEvents    int  // of the complete output
	receivedEvents int  // kept when the item is resumed elsewhere
	yielding       bool // its attempt is being stopped
	done           bool
}

// startJob submits a new job to a random node.
func (f *fleet) startJob() {
	n := f.randomNode()
	counted := f.clock.now < f.load.Length
	if n == nil || !counted {
		return // a caller would retry it; not modelled
	}
	f.jobCount++
	j := &job{id: fmt.Sprintf("j%05d", f.jobCount), due: f.clock.wallTime().Add(f.CompleteWithin), items: make([]item, jobItems)}
	for i := range j.items {
		j.items[i].totalEvents = f.drawLength(f.ItemEvents)
	}
	f.result.Items.Total += jobItems
	n.jobs = append(n.jobs, j)
}

// sendItem starts an attempt of an item, which resumes after the events received so far.
func (n *node) sendItem(j *job, i int, t choose.Target) {
	it, target := &j.items[i], t.ID
	it.chosen = t
	f, incarnation := n.fleet, n.incarnation
	it.target, it.sent, it.lastEvent = target, f.clock.now, f.clock.now
	resumed := it.receivedEvents * f.Engine.TokensPerEvent
	call := &engineCall{promptTokens: itemTokens + resumed, eventsLeft: it.totalEvents - it.receivedEvents}
	f.result.ResumedTokens += resumed
	it.call = call
	current := func() bool { return it.call == call && n.incarnation == incarnation && !it.yielding }
	call.onEvent = func(time.Duration) {
		f.deliver(n, target, func() {
			if current() {
				interval := f.clock.now - it.lastEvent
				if call.eventsReceived++; call.eventsReceived == 1 {
					interval = 0
				}
				n.table.RecordItemEvent(f.clock.wallTime(), t, interval)
				it.receivedEvents++
				it.lastEvent = f.clock.now
			}
		})
	}
	call.onEnd = func(time.Duration) {
		f.deliver(n, target, func() {
			if !current() {
				return
			}
			it.done = true
			f.result.Items.recordEnd(f.clock.wallTime(), j.due)
			n.endItemAttempt(it, call, choose.Success, false)
		})
	}
	f.submit(n, target, call, func() { n.endItemAttempt(it, call, choose.Failure, false) })
	n.watchItem(it, call)
}

// watchItem ends an attempt that receives no event for stallTimeout.
func (n *node) watchItem(it *item, call *engineCall) {
	n.fleet.clock.after(stallTimeout, func() {
		if it.call != call || it.yielding {
			return
		}
		if n.fleet.clock.now-it.lastEvent >= stallTimeout {
			n.fleet.engines[it.target].remove(call)
			n.endItemAttempt(it, call, choose.Failure, false)
			return
		}
		n.watchItem(it, call)
	})
}

// submit sends a call to a target, and calls onFailure if the target can't be reached.
func (f *fleet) submit(n *node, target string, call *engineCall, onFailure func()) {
	if !f.reachable(n.dataCentre, f.targetDataCentres[target]) {
		f.clock.after(connectTimeout, onFailure)
		return
	}
	f.clock.after(f.delay(n.dataCentre, f.targetDataCentres[target]), func() {
		if !call.ended {
			f.engines[target].enqueue(call)
		}
	})
}

// deliver delivers an event from a target to a node, unless a network partition is between
// them.
func (f *fleet) deliver(n *node, target string, onArrival func()) {
	f.clock.after(f.delay(n.dataCentre, f.targetDataCentres[target]), func() {
		if f.reachable(n.dataCentre, f.targetDataCentres[target]) {
			onArrival()
		}
	})
}

// Copies of the constants of package forward; maxAttempts is a route's number of attempts.
const (
	overflow             = 4
	capacityPollInterval = 10 * time.Millisecond
	firstEventShare      = 0.5
	recheckInterval      = 25 * time.Millisecond
	maxAttempts          = 2
)

// request is an online request at its node.
type request struct {
	node           *node
	incarnation    int
	arrived        time.Duration
	counted        bool // it arrived within the load's length
	prefix         string
	eventsLeft     int             // events not received yet
	retries        int             // attempts given up for a better target
	excluded       map[string]bool // targets of failed attempts
	firstEventTime time.Duration   // since its arrival; 0: no event yet
	lastEvent      time.Duration
	longestGap     time.Duration
	caller         *caller            // nil unless the load counts how callers fare
	admitted       *admission.Request // with Variant.Overload
}

// startRequest sends a new online request to a random node.
func (f *fleet) startRequest() {
	n := f.randomNode()
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
	q := &request{node: n, incarnation: n.incarnation, arrived: f.clock.now, counted: counted, prefix: fmt.Sprint("p", f.rng.IntN(prefixCount)),
		eventsLeft: f.drawLength(f.OnlineEvents), excluded: map[string]bool{}}
	if f.load.CallersReturn {
		q.startCaller()
	}
	q.place()
}

// nodeStopped reports whether the process that accepted the request has ended.
func (q *request) nodeStopped() bool { return q.node.down || q.node.incarnation != q.incarnation }

// capacityWait returns how long a request waits for free capacity without admission, as package forward
// decides it.
func (q *request) capacityWait() time.Duration {
	slotTime := q.node.table.MeanSlotTime(serviceName)
	longest := patience.Wait(min(callerPatience, q.deadline()-q.arrived-slotTime), 0)
	if slotTime > 0 {
		return min(longest, slotTime)
	}
	return longest
}

// place sends the request to a target. Without a free one it retries, and refuses or fails
// the request after capacityWait if it has received no event.
func (q *request) place() {
	f, n := q.node.fleet, q.node
	if q.nodeStopped() {
		q.end(failed)
		return
	}
	if n.admission != nil && q.firstEventTime == 0 && q.retries == 0 {
		q.admit()
		return
	}
	t, ok := n.table.Choose(f.clock.wallTime(), q.need())
	switch {
	case ok:
		q.send(t)
	case q.firstEventTime == 0 && f.clock.now-q.arrived > q.capacityWait() && q.retries > 0:
		q.end(failed)
	case q.firstEventTime == 0 && f.clock.now-q.arrived > q.capacityWait():
		q.refuse(patience.LateReturn(q.deadline()-f.clock.now, 0, f.rng.Float64()))
	default:
		if q.retries == 0 {
			clear(q.excluded)
		}
		f.clock.after(capacityPollInterval, q.place)
	}
}

func (q *request) need() choose.Need {
	return choose.Need{Service: serviceName, Exclude: q.excluded, Overflow: overflow}
}

// outcome is how a request ended without a complete answer.
type outcome int

const (
	refused outcome = iota
	failed
)

// end records that the request ended without a complete answer.
func (q *request) end(o outcome) {
	q.leaveAdmission()
	if !q.counted {
		return
	}
	if o == refused {
		q.node.fleet.result.Online.Refused++
	} else {
		q.node.fleet.result.Online.Failed++
	}
}

// attempt is one attempt of a request at a target.
type attempt struct {
	*request
	target  string
	call    *engineCall
	sent    time.Duration
	ended   bool
	chosen  choose.Target
	firstAt time.Duration // time of the first event of this attempt; 0: none yet
	lastAt  time.Duration // of the newest one
}

func (q *request) send(t choose.Target) {
	f, n, target := q.node.fleet, q.node, t.ID
	n.table.Begin(target)
	if own, others := n.table.Preemption(f.clock.wallTime(), target); own {
		n.yieldItems(target, 1)
	} else if !others.Empty() {
		n.notifyHolders(others)
	}
	n.ownLoadChanged()
	a := &attempt{request: q, target: target, chosen: t, sent: f.clock.now,
		call: &engineCall{prefix: q.prefix, prefixTokens: prefixTokens, promptTokens: prefixTokens + questionTokens, eventsLeft: q.eventsLeft}}
	a.call.onEvent = func(time.Duration) {
		f.deliver(n, target, func() {
			if a.current() {
				a.recordEvent()
			}
		})
	}
	a.call.onEnd = func(time.Duration) {
		f.deliver(n, target, func() {
			if a.current() {
				a.finish(choose.Success)
				n.table.RecordSlotTime(serviceName, f.clock.now-a.sent)
				n.table.RecordStreamTime(f.clock.wallTime(), target, a.lastAt-a.firstAt)
				q.complete()
			}
		})
	}
	f.submit(n, target, a.call, func() { a.retryElsewhere(choose.Failure) })
	a.watch(time.Duration(firstEventShare * float64(f.FirstEventObjective)))
}

// current reports whether neither the attempt nor its node's process has ended.
func (a *attempt) current() bool { return !a.ended && !a.nodeStopped() }

func (a *attempt) finish(outcome choose.Outcome) {
	a.ended = true
	a.node.fleet.engines[a.target].remove(a.call)
	if !a.nodeStopped() {
		a.node.table.End(a.node.fleet.clock.wallTime(), a.target, outcome)
		a.node.table.RecordEnd(a.node.fleet.clock.wallTime(), a.chosen, outcome)
		a.node.ownLoadChanged()
	}
}

// retryElsewhere ends the attempt and continues the request at another target.
func (a *attempt) retryElsewhere(outcome choose.Outcome) {
	a.finish(outcome)
	a.excluded[a.target] = true
	a.place()
}

// wait describes how long the attempt has waited for an event.
func (a *attempt) wait(gap time.Duration) choose.Wait {
	since := max(a.sent, a.lastAt)
	return choose.Wait{Target: a.chosen, For: a.node.fleet.clock.now - since, Begun: a.firstAt > 0, AliveWithin: gap}
}

// watch ends an attempt whose caller has given up or whose node has stopped. It gives up an
// attempt that receives no event when another target would respond sooner.
func (a *attempt) watch(after time.Duration) {
	f := a.node.fleet
	seen := a.eventsLeft
	f.clock.after(after, func() {
		if a.current() && a.node.table.SharedView() && !f.hanging[a.target] {
			a.node.table.RecordEvent(f.clock.wallTime(), a.target) // other nodes receive events of it
		}
		gap := time.Duration(gapShare * float64(f.GapObjective))
		switch {
		case a.ended:
		case a.nodeStopped() || (a.caller == nil && f.clock.now-a.arrived > f.Deadline) || a.callerGone():
			a.finish(choose.Neutral)
			a.end(failed)
		case a.eventsLeft != seen:
			a.watch(gap)
		case a.retries+1 < maxAttempts && a.node.table.BetterElsewhere(f.clock.wallTime(), a.wait(gap), a.need()):
			a.retries++
			a.retryElsewhere(choose.Failure)
		default:
			a.watch(recheckInterval)
		}
	})
}

// measure records what an event shows of the target.
func (a *attempt) measure(now time.Duration) {
	wall, table := a.node.fleet.clock.wallTime(), a.node.table
	if a.firstAt > 0 {
		table.RecordInterval(wall, a.target, now-a.lastAt)
	} else {
		a.firstAt = now
		a.node.fleet.result.recordEstimate(a.chosen.Estimate, now-a.sent)
		if a.chosen.FoundFree {
			table.RecordUnqueuedFirstEvent(wall, a.target, now-a.sent)
		}
	}
	a.lastAt = now
}

func (a *attempt) recordEvent() {
	q, target, sent := a.request, a.target, a.sent
	f := q.node.fleet
	now := f.clock.now
	a.measure(now)
	q.node.table.RecordAttemptEvent(f.clock.wallTime(), a.chosen)
	if q.firstEventTime == 0 {
		q.firstEventTime = now - q.arrived
		q.node.table.RecordFirstEvent(f.clock.wallTime(), target, now-sent)
		q.recordAdmittedEvent()
	} else {
		q.longestGap = max(q.longestGap, now-q.lastEvent)
	}
	q.lastEvent = now
	q.eventsLeft--
}

// complete records the end of a request whose answer is complete.
func (q *request) complete() {
	q.leaveAdmission()
	if !q.counted {
		return
	}
	f := q.node.fleet
	q.recordAnswer()
	f.result.firstEventTimes = append(f.result.firstEventTimes, q.firstEventTime)
	if q.firstEventTime <= f.FirstEventObjective {
		f.result.FirstInTime++
	}
	if q.firstEventTime <= f.FirstEventObjective && q.longestGap <= f.GapObjective {
		f.result.Online.InTime++
	} else {
		f.result.Online.Late++
	}
}
