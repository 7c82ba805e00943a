package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/request/admission"
	"github.com/marblepond/marblepond/internal/request/choose"
)

// OverloadVariant selects how requests are admitted with the shared view of targets.
type OverloadVariant struct {
	Order admission.Order
}

// Fleet2 is the larger of the users' fleets: 70 nodes before 89 targets of 0.55 to 1.2 of the
// nominal speed, with answers of 17 events.
var Fleet2 = Deployment{DataCentres: 4, NodeCount: 70, TargetCount: 89, Engine: fleet2Engine, FirstEventObjective: 300 * time.Millisecond,
	GapObjective: 300 * time.Millisecond, Deadline: 5 * time.Second, CompleteWithin: 18 * time.Second, LocalDelay: 300 * time.Microsecond, RemoteDelay: 900 * time.Microsecond,
	OnlineEvents: 17, ItemEvents: 118, Speed: drawFleet2Speed}

// drawFleet2Speed draws a speed between 0.55 and 1.2. Most targets are fast: a request holds
// a slot for 0.7 s on average, as measured, where even speeds would give 0.78 s.
func drawFleet2Speed(r *rand.Rand) float64 {
	u := r.Float64()
	return 1.2 - 0.65*u*u
}

// fleet2Engine is PublishedEngine with the step time and the events of that fleet.
var fleet2Engine = func() EngineParams {
	e := PublishedEngine
	e.StepTime, e.TokensPerEvent = 3200*time.Microsecond, 12
	return e
}()

// caller is a caller of an online request, which tries once more after a refusal.
type caller struct {
	arrived  time.Duration // of the first attempt
	limit    time.Duration // it waits for so long, over all attempts
	attempts int
	priority int
	begun    bool          // a target began to work for it
	answered bool          // completely, within its limit
	first    time.Duration // from its first attempt to the first event of the answer
}

const (
	// callerPatience is the time without an event after which a caller abandons a stream.
	callerPatience   = 2 * time.Second
	callerRetryShare = 1.0 / 3
	// hangKnownAfter is the time after which all nodes know that a target hangs.
	hangKnownAfter = 400 * time.Millisecond
	reportWindow   = 2 * time.Second
)

// startCaller creates the caller of a first attempt.
func (q *request) startCaller() {
	f := q.node.fleet
	q.caller = &caller{arrived: q.arrived, limit: f.Deadline, attempts: 1}
	if limits := f.load.Limits; len(limits) > 0 {
		q.caller.limit = limits[f.rng.IntN(len(limits))]
	}
	if f.load.LowShare > 0 && f.rng.Float64() < f.load.LowShare {
		q.caller.priority = 1
	}
	if q.counted {
		f.callers = append(f.callers, q.caller)
	}
}

// callerGone reports whether the caller has abandoned the request.
func (q *request) callerGone() bool {
	if q.caller == nil {
		return false
	}
	now := q.node.fleet.clock.now
	return now > q.caller.arrived+q.caller.limit || now-max(q.arrived, q.lastEvent) > callerPatience
}

// refuse refuses the request; its caller tries once more.
func (q *request) refuse(retryAfter time.Duration) {
	f := q.node.fleet
	if q.caller == nil || q.caller.attempts > 1 {
		q.end(refused)
		return
	}
	q.caller.attempts++
	left := q.caller.arrived + q.caller.limit - f.clock.now
	f.clock.after(min(retryAfter, time.Duration(callerRetryShare*float64(left))), func() {
		n := f.randomNode()
		if n == nil {
			q.end(failed)
			return
		}
		again := &request{node: n, incarnation: n.incarnation, arrived: f.clock.now, counted: q.counted, prefix: q.prefix, eventsLeft: q.eventsLeft, excluded: map[string]bool{}, caller: q.caller}
		again.place()
	})
}

// recordAnswer records a complete answer for its caller.
func (q *request) recordAnswer() {
	if c := q.caller; c != nil {
		c.answered = !q.callerGone()
		c.first = q.arrived + q.firstEventTime - c.arrived
	}
}

// Callers is how a group of callers fared.
type Callers struct {
	Count    int
	Answered float64       // share that got a complete answer within the time that they have
	P50, P99 time.Duration // from the first attempt to the first event, of those answered
	Attempts float64       // per caller
	Begun    int           // not answered, though a target worked for them
}

// String formats a group for the log of a test.
func (c Callers) String() string {
	return fmt.Sprintf("%.3f of %d (p50 %v p99 %v, %.2f attempts, %d in vain)", c.Answered, c.Count, c.P50.Round(time.Millisecond), c.P99.Round(time.Millisecond), c.Attempts, c.Begun)
}

// Window is how the callers that arrived in one window fared.
type Window struct {
	Callers
	ByPriority [2]Callers
}

func (f *fleet) windows() []Window {
	if !f.load.CallersReturn {
		return nil
	}
	out := make([]Window, int(f.load.Length/reportWindow)+1)
	for i := range out {
		in := func(wanted func(*caller) bool) Callers {
			return summariseCallers(f.callers, func(c *caller) bool { return int(c.arrived/reportWindow) == i && wanted(c) })
		}
		out[i].Callers = in(func(*caller) bool { return true })
		for p := range out[i].ByPriority {
			out[i].ByPriority[p] = in(func(c *caller) bool { return c.priority == p })
		}
	}
	return out
}

// summariseCallers returns how the wanted callers fared.
func summariseCallers(callers []*caller, wanted func(*caller) bool) Callers {
	var out Callers
	var firsts []time.Duration
	for _, c := range callers {
		if !wanted(c) {
			continue
		}
		out.Count++
		out.Attempts += float64(c.attempts)
		switch {
		case c.answered:
			firsts = append(firsts, c.first)
		case c.begun:
			out.Begun++
		}
	}
	out.Attempts /= float64(max(1, out.Count))
	out.Answered = float64(len(firsts)) / float64(max(1, out.Count))
	if slices.Sort(firsts); len(firsts) > 0 {
		out.P50, out.P99 = firsts[len(firsts)/2], firsts[len(firsts)*99/100]
	}
	return out
}

// byLimit returns how the callers of each limit fared that arrived between two times.
func (f *fleet) byLimit(from, to time.Duration) map[time.Duration]Callers {
	out := map[time.Duration]Callers{}
	for _, limit := range f.load.Limits {
		out[limit] = summariseCallers(f.callers, func(c *caller) bool { return c.limit == limit && c.arrived >= from && c.arrived < to })
	}
	return out
}

// startAdmission creates the admission of a node that starts.
func (n *node) startAdmission() {
	v := n.fleet.variant.Overload
	if v == nil {
		return
	}
	n.table.SetSharedView(true)
	n.admission = admission.NewWithOrder(rand.New(rand.NewPCG(n.seed, 1)), v.Order)
}

// admit sends, queues or refuses a request, as package forward does.
func (q *request) admit() {
	f, n := q.node.fleet, q.node
	now := f.clock.wallTime()
	if q.admitted == nil {
		q.admitted = &admission.Request{Service: serviceName, Arrived: now, Silence: callerPatience, Deadline: startTime.Add(q.deadline())}
		if q.caller != nil {
			q.admitted.Priority = q.caller.priority
		}
		n.admission.Arrive(now, q.admitted)
	}
	if q.callerGone() {
		n.admission.Ended(q.admitted)
		q.end(failed)
		return
	}
	if n.admission.Stale(now, serviceName) {
		n.admission.Observe(now, serviceName, admission.Occupancy(n.table.Occupancy(now, serviceName)))
	}
	if terms, ok := n.admission.Terms(now, q.admitted); ok {
		need := q.need()
		need.Within, need.FreeSlot = terms.Within, terms.FreeSlot
		if t, ok := n.table.Choose(now, need); ok {
			n.admission.Sent(now, q.admitted, t.Estimate)
			q.send(t)
			return
		}
	}
	if d := n.admission.NoTarget(now, q.admitted); d.Refuse {
		q.refuse(d.RetryAfter)
		return
	}
	f.clock.after(capacityPollInterval, q.place)
}

func (q *request) deadline() time.Duration {
	if q.caller != nil {
		return q.caller.arrived + q.caller.limit
	}
	return q.arrived + q.node.fleet.Deadline
}

// recordAdmittedEvent records the first event of an admitted request.
func (q *request) recordAdmittedEvent() {
	if q.caller != nil {
		q.caller.begun = true
	}
	if q.admitted != nil {
		q.node.admission.FirstEvent(q.node.fleet.clock.wallTime(), q.admitted)
	}
}

// leaveAdmission records the end of an admitted request.
func (q *request) leaveAdmission() {
	if q.admitted != nil && !q.nodeStopped() {
		q.node.admission.Ended(q.admitted)
	}
}

// hang makes targets hang for a time. All nodes know of it after hangKnownAfter, as they do
// from each other's evidence in package outlier.
func (f *fleet) hang(targets []choose.Target, length time.Duration) {
	if f.hanging == nil {
		f.hanging = map[string]bool{}
	}
	mark := func(healthy bool) {
		if f.variant.Overload == nil {
			return
		}
		for _, n := range f.nodes {
			for _, t := range targets {
				id := t.ID
				n.table.RecordLoad(id, 1, choose.Load{MaxRunning: f.Engine.Slots, Healthy: healthy, At: f.clock.wallTime()})
			}
		}
	}
	for _, t := range targets {
		id := t.ID
		f.hanging[id], f.engines[id].hung = true, true
	}
	f.clock.after(hangKnownAfter, func() { mark(false) })
	f.clock.after(length, func() {
		for _, t := range targets {
			id := t.ID
			f.hanging[id], f.engines[id].hung = false, false
			f.engines[id].scheduleStep()
		}
		f.clock.after(hangKnownAfter, func() { mark(true) })
	})
}

// scheduleSlowPeriods lets targets become slow for short times.
func (f *fleet) scheduleSlowPeriods() {
	if f.load.SlowPeriods == 0 {
		return
	}
	f.schedulePoisson(func() float64 { return f.load.SlowPeriods * float64(len(f.targets)) }, func() {
		e := f.engines[f.targets[f.rng.IntN(len(f.targets))].ID]
		e.slowdown *= f.load.SlowFactor
		f.clock.after(f.load.SlowFor, func() { e.slowdown /= f.load.SlowFactor })
	})
}
