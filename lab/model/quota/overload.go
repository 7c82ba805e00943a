package quota

import (
	"container/list"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/request/allowance"
)

// Overload is a load in which one workspace sends six times its usual rate. The load is that of
// docs/design/overload-and-shared-view.md; callers wait for callerPatience over two attempts.
type Overload struct {
	Scenario
	// Slots is the number of requests that the targets run at the same time. 0: any number.
	Slots int
	// Queued: requests of the workspace queue at full targets like all others, although it
	// exceeds its allowance.
	Queued bool
}

const (
	// The peaks and troughs of online traffic, as multiples of its mean.
	peakFactor, troughFactor = 1.87, 0.383
	peakTime, troughTime     = 2400 * time.Millisecond, 3400 * time.Millisecond
	// hotUsualRate is the mean rate of the workspace, in requests per second, and hotLimit
	// its allowance.
	hotUsualRate   = 31
	hotFactor      = 6
	hotLimitRate   = 50
	hotLimitBurst  = 50
	otherRate      = 190 // requests per second of all other workspaces together, on average
	slotTime       = 700 * time.Millisecond
	firstEventTime = 40 * time.Millisecond
	// targetRetryAfter is when a request returns that found no free slot, and the spread of it.
	targetRetryAfter, targetRetrySpread = 200 * time.Millisecond, 400 * time.Millisecond
	reportWindow                        = 2 * time.Second
)

// OverloadResult is the outcome of an Overload while the workspace sends more.
type OverloadResult struct {
	Callers, Owed               int // of the workspace, and how many of them the allowance covers
	AtOnce, OnReturn, NotServed int // of those that it covers: on the first attempt, on the second, not at all
	NotOwedServed               int
	Refusals                    int
	Answered                    float64 // share of the covered callers that were answered in the time that they have
	Others                      float64 // the same of the callers of other workspaces
	Attempts                    float64 // per caller of the workspace
	// P50 and P99 are the times to the first event of the workspace's callers that were answered,
	// from their first attempt on.
	P50, P99    time.Duration
	WorstWindow float64 // share of all callers that were answered, in the worst 2 s
	MeanWindow  float64
	Admitted    float64 // largest number of requests in 5 s, as a share of what is tolerated
	// ShortRetryAfter is how many refusals said 100 ms or less.
	ShortRetryAfter int
}

// overloadRequest is one caller's request, over both attempts.
type overloadRequest struct {
	at       time.Duration
	other    bool
	owed     bool
	node     int
	attempts int
	first    time.Duration // when its first event arrived; 0: it has none
}

// answered reports whether the caller got its answer in the time that it has.
func (q *overloadRequest) answered() bool {
	return q.first > 0 && q.first+slotTime-firstEventTime <= q.at+callerPatience
}

// overloadRun is the state of a run.
type overloadRun struct {
	*simulation
	load     Overload
	limiter  *lending
	arrivals *rand.Rand // apart from other random choices, so that all ways get the same requests
	requests []*overloadRequest
	owed     []time.Duration // when the covered callers arrived
	free     int
	queue    list.List
	admitted []time.Duration
	result   OverloadResult
}

// RunOverload runs a load.
func RunOverload(o Overload) OverloadResult {
	run := &overloadRun{simulation: newSimulation(o.Scenario), load: o, free: o.Slots, arrivals: rand.New(rand.NewPCG(o.Seed, o.Seed+2))}
	run.limiter = newLending(run.simulation)
	run.scheduleArrivals(hotUsualRate*peakFactor*hotFactor, run.hotRate, func() { run.first(false) })
	run.scheduleArrivals(otherRate*peakFactor, func() float64 { return otherRate * run.phase() }, func() { run.first(true) })
	run.scheduleRestarts(run.limiter)
	run.run(o.Length)
	return run.summary()
}

// phase returns the current load as a multiple of its mean.
func (r *overloadRun) phase() float64 {
	if r.now%(peakTime+troughTime) < peakTime {
		return peakFactor
	}
	return troughFactor
}

func (r *overloadRun) hotRate() float64 {
	rate := hotUsualRate * r.phase()
	if r.load.Hot.contains(r.now) {
		rate *= hotFactor
	}
	return rate
}

// scheduleArrivals schedules a Poisson process of the highest rate, thinned to the current one.
func (r *overloadRun) scheduleArrivals(highest float64, rate func() float64, arrive func()) {
	r.after(time.Duration(r.arrivals.ExpFloat64()/highest*float64(time.Second)), func() {
		if r.arrivals.Float64() < rate()/highest {
			arrive()
		}
		r.scheduleArrivals(highest, rate, arrive)
	})
}

// first submits the first attempt of a caller.
func (r *overloadRun) first(other bool) {
	if all := r.AllKilled; all.contains(r.now) {
		r.after(all.From+all.For-r.now+time.Duration(r.rng.Float64()*float64(retrySpread)), func() { r.first(other) })
		return
	}
	request := &overloadRequest{at: r.now, other: other}
	r.requests = append(r.requests, request)
	if other {
		r.place(request)
		return
	}
	for len(r.owed) > 0 && r.owed[0] <= r.now-tolerance.Window {
		r.owed = r.owed[1:]
	}
	if float64(len(r.owed)) < hotLimitRate*tolerance.Window.Seconds()+hotLimitBurst {
		request.owed = true
		r.owed = append(r.owed, r.now)
	}
	r.try(request)
}

// try asks for a token.
func (r *overloadRun) try(request *overloadRequest) {
	if r.AllKilled.contains(r.now) {
		return // the caller has no further try
	}
	node := r.receivingNode(0)
	request.node = node
	request.attempts++
	r.limiter.AdmitTry(node, 0, func(admitted bool, wait time.Duration) {
		if !admitted {
			r.refused(request, wait)
			return
		}
		r.place(request)
	})
}

func (r *overloadRun) refused(request *overloadRequest, wait time.Duration) {
	r.result.Refusals++
	if request.attempts > 1 {
		return
	}
	if wait = r.retryAfter(wait); wait <= 100*time.Millisecond {
		r.result.ShortRetryAfter++
	}
	r.after(wait, func() { r.try(request) })
}

// retryAfter returns when a refused caller returns.
func (r *overloadRun) retryAfter(wait time.Duration) time.Duration {
	if r.Shared {
		return allowance.RetryAfter(wait, callerPatience, r.rng.Float64())
	}
	return min(wait, callerPatience/3)
}

// place gives a request a slot of a target. A request of a workspace that exceeds its
// allowance gets only a free slot, if the shared view is on, and no place in a queue.
func (r *overloadRun) place(request *overloadRequest) {
	if r.load.Slots == 0 || r.free > 0 {
		r.start(request)
		return
	}
	if r.Shared && !r.load.Queued && !request.other && r.limiter.Exceeding(request.node, 0) {
		r.limiter.Return(request.node, 0)
		if request.attempts == 1 {
			r.after(targetRetryAfter+time.Duration(r.rng.Float64()*float64(targetRetrySpread)), func() { r.try(request) })
		}
		return
	}
	r.queue.PushBack(request)
}

// start runs a request in a free slot.
func (r *overloadRun) start(request *overloadRequest) {
	r.free--
	if !request.other {
		r.admitted = append(r.admitted, r.now)
	}
	request.first = r.now + firstEventTime
	r.after(slotTime, func() {
		r.free++
		if front := r.queue.Front(); front != nil {
			r.start(r.queue.Remove(front).(*overloadRequest))
		}
	})
}

func (r *overloadRun) summary() OverloadResult {
	out := r.result
	answered, counts := map[time.Duration]float64{}, map[time.Duration]float64{}
	owedAnswered, others, othersAnswered, attempts := 0, 0, 0, 0
	var firsts []time.Duration
	for _, q := range r.requests {
		if !r.load.Hot.contains(q.at) {
			continue
		}
		if q.other {
			others++
			othersAnswered += count(q.answered())
		} else {
			out.Callers++
			out.count(q)
			attempts += q.attempts
			if q.answered() {
				firsts = append(firsts, q.first-q.at)
			}
		}
		if q.other || q.owed {
			answered[q.at/reportWindow] += float64(count(q.answered()))
			counts[q.at/reportWindow]++
		}
		if q.owed {
			out.Owed++
			owedAnswered += count(q.answered())
		}
	}
	out.Answered, out.Others = float64(owedAnswered)/float64(max(1, out.Owed)), float64(othersAnswered)/float64(max(1, others))
	out.Attempts = float64(attempts) / float64(max(1, out.Callers))
	if slices.Sort(firsts); len(firsts) > 0 {
		out.P50, out.P99 = firsts[len(firsts)/2], firsts[len(firsts)*99/100]
	}
	out.WorstWindow = 1
	for at, sum := range answered {
		out.WorstWindow = min(out.WorstWindow, sum/counts[at])
		out.MeanWindow += sum / counts[at] / float64(len(answered))
	}
	rec := recorder{sim: r.simulation, admitted: [][]time.Duration{r.admitted}}
	rec.finalLimits = append(rec.finalLimits, r.limit(0))
	out.Admitted = rec.worstWindow()
	return out
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}

func (out *OverloadResult) count(q *overloadRequest) {
	switch {
	case !q.owed:
		out.NotOwedServed += count(q.answered())
	case !q.answered():
		out.NotServed++
	case q.attempts == 1:
		out.AtOnce++
	default:
		out.OnReturn++
	}
}
