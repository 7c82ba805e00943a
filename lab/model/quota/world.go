// Package quota models, in virtual time and without a network, ways to keep workspaces
// to an allowance over all nodes together: how far it is exceeded, how much of what lies
// inside it is refused, and what that costs.
package quota

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/request/allowance"
	"github.com/marblepond/marblepond/internal/version/workspace"
)

// Span is a part of the time of a scenario.
type Span struct{ From, For time.Duration }

func (s Span) contains(at time.Duration) bool { return at >= s.From && at < s.From+s.For }

// Scenario is a fleet, its load and what happens to it.
type Scenario struct {
	Name        string
	Nodes       int
	Centres     int
	Workspaces  int
	RequestRate float64 // requests of all workspaces, in the mean
	Length      time.Duration
	// OneNode has all callers of a workspace at one node; else each request comes to any.
	OneNode bool
	// Hot has the largest workspace send HotFactor times its usual.
	Hot       Span
	HotFactor float64
	// Partition separates the first data centre from the others.
	Partition Span
	// HalfKilled has half of the nodes down, with nothing remembered afterwards, AllKilled all
	// of them, and OwnerKilled the owner of the largest workspace. What comes while all are
	// down comes again when they are back.
	HalfKilled, AllKilled, OwnerKilled Span
	// LimitsHalvedAt is when the limits fall to a half, zero: never.
	LimitsHalvedAt time.Duration
	LossShare      float64 // share of messages between nodes that are lost
	Seed           uint64
}

const (
	// headroom is what an allowance has above a workspace's usual: that of the users'
	// deployment, where it is 1.6 times the usual of its highs.
	headroom = 1.6
	// skew makes some workspaces large: the usual of the nth is in proportion to n^-skew.
	skew = 0.8
	// minRate is the smallest allowance that operators give, requests a second.
	minRate = 5
	// localDelay and across are what a message takes one way.
	localDelay  = 200 * time.Microsecond
	remoteDelay = 900 * time.Microsecond
	// retrySpread is the time over which callers come again after all nodes were down.
	retrySpread = time.Second
	// waveAmplitude has the load go up and down around the mean, in periods of highTime.
	waveAmplitude = 0.85
	wavePeriod    = 2600 * time.Millisecond
)

// tolerance is how far an allowance may be exceeded.
var tolerance = allowance.Tolerance{Window: 5 * time.Second, Share: 0.1, Slack: 20}

// simulation is the fleet of a run.
type simulation struct {
	Scenario
	now        time.Duration
	events     eventQueue
	scheduled  uint64
	rng        *rand.Rand
	usualRates []float64 // requests a second of each workspace
	messages   int
	bytes      int
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].sequence < q[j].sequence)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newSimulation(s Scenario) *simulation {
	sim := &simulation{Scenario: s, rng: rand.New(rand.NewPCG(s.Seed, s.Seed+1)), usualRates: make([]float64, s.Workspaces)}
	sum := 0.0
	for i := range sim.usualRates {
		sim.usualRates[i] = math.Pow(float64(i+1), -skew)
		sum += sim.usualRates[i]
	}
	for i := range sim.usualRates {
		sim.usualRates[i] *= s.RequestRate / sum
	}
	return sim
}

func (s *simulation) after(d time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.events, event{s.now + d, s.scheduled, run})
}

func (s *simulation) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// wallTime returns the virtual time as nodes read it.
func (s *simulation) wallTime() time.Time { return time.Unix(0, 0).Add(s.now) }

func (s *simulation) dataCentre(node int) int { return node % s.Centres }

// limit returns the allowance of a workspace in force.
func (s *simulation) limit(ws int) workspace.Allowance {
	rate := math.Max(minRate, math.Ceil(headroom*(1+waveAmplitude)*s.usualRates[ws]))
	if s.LimitsHalvedAt > 0 && s.now >= s.LimitsHalvedAt {
		rate = math.Ceil(rate / 2)
	}
	return workspace.Allowance{PerSecond: rate, Burst: rate}
}

// up reports whether a node runs.
func (s *simulation) up(node int) bool {
	if s.AllKilled.contains(s.now) || (s.HalfKilled.contains(s.now) && node%2 == 1) {
		return false
	}
	return !(s.OwnerKilled.contains(s.now) && node == s.ownerOfLargest())
}

// connected reports whether two nodes reach each other.
func (s *simulation) connected(a, b int) bool {
	partitioned := s.Partition.contains(s.now) && (s.dataCentre(a) == 0) != (s.dataCentre(b) == 0)
	return !partitioned && s.up(a) && s.up(b)
}

// send carries a message, or loses it.
func (s *simulation) send(from, to, size int, arrive func()) {
	s.messages++
	s.bytes += size
	if !s.connected(from, to) || s.rng.Float64() < s.LossShare {
		return
	}
	delay := localDelay
	if s.dataCentre(from) != s.dataCentre(to) {
		delay = remoteDelay
	}
	s.after(delay, func() {
		if s.connected(from, to) {
			arrive()
		}
	})
}

// demand returns how many requests a second a workspace sends now.
func (s *simulation) demand(ws int) float64 {
	phase := math.Sin(2 * math.Pi * s.now.Seconds() / wavePeriod.Seconds())
	rate := s.usualRates[ws] * (1 + waveAmplitude*math.Copysign(1, phase))
	if ws == 0 && s.Hot.contains(s.now) {
		rate *= s.HotFactor
	}
	return rate
}

// receivingNode returns the node that a request comes to: one that runs.
func (s *simulation) receivingNode(ws int) int {
	node := s.rng.IntN(s.Nodes)
	if s.OneNode {
		node = ws * 7919 % s.Nodes
	}
	for !s.up(node) {
		node = (node + 1) % s.Nodes
	}
	return node
}

// Result are what a run came to.
type Result struct {
	Limiter string
	// WorstWindow is the largest ratio of what was admitted in any window to what may be, with
	// the tolerance: over 1 the rule is broken.
	WorstWindow float64
	// MissingShare is the share of what a limiter that knows everything at once would admit by
	// which less was admitted, over all workspaces.
	MissingShare float64
	Requests     int
	// P50 and P99 are how long an admitted request waited for it.
	P50, P99    time.Duration
	MessageRate float64 // a node and second
	ByteRate    float64 // the same
}

// recorder takes what happens to requests.
type recorder struct {
	sim            *simulation
	admitted       [][]time.Duration // by workspace
	reference      []tokenBucket     // what a limiter that knows everything at once would admit
	referenceCount []int             // by workspace: what it admits
	requests       int
	delays         []time.Duration
	finalLimits    []workspace.Allowance
}

// tokenBucket is a token tokenBucket.
type tokenBucket struct {
	tokens float64
	at     time.Duration
}

func (b *tokenBucket) take(now time.Duration, rate, burst float64) bool {
	b.tokens = min(burst, b.tokens+(now-b.at).Seconds()*rate)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (r *recorder) arrive(limiter Limiter, ws int) {
	if all := r.sim.AllKilled; all.contains(r.sim.now) {
		delay := all.From + all.For - r.sim.now + time.Duration(r.sim.rng.Float64()*float64(retrySpread))
		r.sim.after(delay, func() { r.arrive(limiter, ws) })
		return
	}
	r.requests++
	limit := r.sim.limit(ws)
	withinLimit := r.reference[ws].take(r.sim.now, limit.PerSecond, limit.Burst)
	if withinLimit {
		r.referenceCount[ws]++
	}
	arrivedAt := r.sim.now
	limiter.Admit(r.sim.receivingNode(ws), ws, func(admitted bool) {
		if !admitted {
			return
		}
		r.admitted[ws] = append(r.admitted[ws], r.sim.now)
		r.delays = append(r.delays, r.sim.now-arrivedAt)
	})
}

// worstWindow returns the largest ratio over all windows. After a limit was lowered it counts
// from one window later on.
func (r *recorder) worstWindow() float64 {
	worst := 0.0
	for ws, times := range r.admitted {
		limit := r.finalLimits[ws]
		allowed := (limit.PerSecond*tolerance.Window.Seconds()+limit.Burst)*(1+tolerance.Share) + tolerance.Slack
		slices.Sort(times)
		first := 0
		for i, at := range times {
			for at-times[first] > tolerance.Window {
				first++
			}
			if r.sim.LimitsHalvedAt == 0 || times[first] >= r.sim.LimitsHalvedAt+tolerance.Window {
				worst = max(worst, float64(i-first+1)/allowed)
			}
		}
	}
	return worst
}

// missingShare returns the share of what lies inside the allowances that was not admitted.
func (r *recorder) missingShare() float64 {
	admissible, missing := 0, 0
	for ws, n := range r.referenceCount {
		admissible += n
		missing += max(0, n-len(r.admitted[ws]))
	}
	return float64(missing) / float64(max(1, admissible))
}

// Run plays a scenario in one way.
func Run(s Scenario, newLimiter func(sim *simulation) Limiter) Result {
	sim := newSimulation(s)
	limiter := newLimiter(sim)
	rec := &recorder{sim: sim, admitted: make([][]time.Duration, s.Workspaces), reference: make([]tokenBucket, s.Workspaces), referenceCount: make([]int, s.Workspaces)}
	for ws := range s.Workspaces {
		rec.reference[ws].tokens = sim.limit(ws).Burst
		rec.scheduleArrival(limiter, ws)
	}
	sim.scheduleRestarts(limiter)
	sim.run(s.Length)
	for ws := range s.Workspaces {
		rec.finalLimits = append(rec.finalLimits, sim.limit(ws))
	}
	slices.Sort(rec.delays)
	r := Result{Limiter: limiter.Name(), WorstWindow: rec.worstWindow(), Requests: rec.requests, MissingShare: rec.missingShare()}
	if n := len(rec.delays); n > 0 {
		r.P50, r.P99 = rec.delays[n/2], rec.delays[n*99/100]
	}
	perNode := float64(s.Nodes) * s.Length.Seconds()
	r.MessageRate, r.ByteRate = float64(sim.messages)/perNode, float64(sim.bytes)/perNode
	return r
}

// scheduleArrival has a workspace's next request arrive. Arrivals are drawn at the highest rate
// and thinned out.
func (r *recorder) scheduleArrival(limiter Limiter, ws int) {
	maxRate := r.sim.usualRates[ws] * (1 + waveAmplitude)
	if ws == 0 && r.sim.HotFactor > 1 {
		maxRate *= r.sim.HotFactor
	}
	gap := time.Duration(r.sim.rng.ExpFloat64() / maxRate * float64(time.Second))
	r.sim.after(gap, func() {
		if r.sim.rng.Float64() < r.sim.demand(ws)/maxRate {
			r.arrive(limiter, ws)
		}
		r.scheduleArrival(limiter, ws)
	})
}

// scheduleRestarts tells a way which nodes start anew.
func (s *simulation) scheduleRestarts(limiter Limiter) {
	for _, span := range []Span{s.HalfKilled, s.AllKilled, s.OwnerKilled} {
		if span.For == 0 {
			continue
		}
		s.after(span.From, func() {
			var down []int
			for node := range s.Nodes {
				if !s.up(node) {
					down = append(down, node)
				}
			}
			s.after(span.For, func() {
				for _, node := range down {
					limiter.Restarted(node)
				}
			})
		})
	}
}
