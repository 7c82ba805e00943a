// Package quota is a discrete-event simulation, without a network, of distributed rate
// limiters that enforce each workspace's allowance (its rate limit) over all nodes together.
// It measures by how much an allowance is exceeded, how many requests within it are refused,
// and what a limiter costs in messages and delay.
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

// Span is an interval of the virtual time, of length For.
type Span struct{ From, For time.Duration }

func (s Span) contains(at time.Duration) bool { return at >= s.From && at < s.From+s.For }

// Scenario is a fleet with its load and faults.
type Scenario struct {
	Name        string
	Nodes       int
	DataCentres int
	Workspaces  int
	RequestRate float64 // requests per second of all workspaces together, on average
	Length      time.Duration
	// OneNode: all requests of a workspace arrive at one node, and not at random nodes.
	OneNode bool
	// Hot is when the largest workspace sends HotFactor times its usual rate.
	Hot       Span
	HotFactor float64
	// Partition is when the first data centre can't reach the others, nor they it.
	Partition Span
	// HalfKilled is when half of the nodes are down, AllKilled all of them, and OwnerKilled
	// the preferred owner of the largest workspace. They restart without state. Callers retry
	// requests that arrive while all nodes are down once the nodes are back.
	HalfKilled, AllKilled, OwnerKilled Span
	// LimitsHalvedAt is when all allowances are halved; 0: never.
	LimitsHalvedAt time.Duration
	LossShare      float64 // share of the messages between nodes that are lost
	Seed           uint64
	// Shared is the shared view, and Policy how owners lend then; nil: as by default.
	Shared bool
	Policy *allowance.Policy
	// Allowance is that of every workspace; nil: by its usual rate.
	Allowance *workspace.Allowance
}

const (
	// headroom is the ratio of an allowance to a workspace's usual peak rate, as in the
	// users' deployment.
	headroom = 1.6
	// skew makes some workspaces large: the usual rate of the nth is proportional to n^-skew.
	skew = 0.8
	// minRate is the smallest allowance that operators set, in requests per second.
	minRate = 5
	// localDelay and remoteDelay are the one-way delays of a message within a data centre and
	// between two.
	localDelay  = 200 * time.Microsecond
	remoteDelay = 900 * time.Microsecond
	// retrySpread is the time over which callers retry after all nodes were down.
	retrySpread = time.Second
	// The load is a square wave: each workspace's rate is waveAmplitude of its mean above and
	// below it in turn, with the period wavePeriod.
	waveAmplitude = 0.85
	wavePeriod    = 2600 * time.Millisecond
)

// tolerance is by how much an allowance may be exceeded.
var tolerance = allowance.Tolerance{Window: 5 * time.Second, Share: 0.1, Slack: 20}

// simulation is the state of one run: the virtual clock and the fleet.
type simulation struct {
	Scenario
	now        time.Duration
	events     eventQueue
	scheduled  uint64
	rng        *rand.Rand
	usualRates []float64 // mean requests per second, by workspace
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

// after runs a function when d has passed.
func (s *simulation) after(d time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.events, event{s.now + d, s.scheduled, run})
}

// run runs all events up to a time.
func (s *simulation) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// wallTime returns the virtual time as a wall-clock time.
func (s *simulation) wallTime() time.Time { return time.Unix(0, 0).Add(s.now) }

func (s *simulation) dataCentre(node int) int { return node % s.DataCentres }

// limit returns the current allowance of a workspace.
func (s *simulation) limit(ws int) workspace.Allowance {
	if s.Allowance != nil {
		return *s.Allowance
	}
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

// connected reports whether two nodes are up and can reach each other.
func (s *simulation) connected(a, b int) bool {
	partitioned := s.Partition.contains(s.now) && (s.dataCentre(a) == 0) != (s.dataCentre(b) == 0)
	return !partitioned && s.up(a) && s.up(b)
}

// send delivers a message after its delay, unless it is lost or the nodes are not connected
// when it is sent and when it arrives.
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

// demand returns how many requests per second a workspace sends now.
func (s *simulation) demand(ws int) float64 {
	phase := math.Sin(2 * math.Pi * s.now.Seconds() / wavePeriod.Seconds())
	rate := s.usualRates[ws] * (1 + waveAmplitude*math.Copysign(1, phase))
	if ws == 0 && s.Hot.contains(s.now) {
		rate *= s.HotFactor
	}
	return rate
}

// receivingNode returns the node at which a request arrives, one that is up.
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

// Result is the outcome of a run.
type Result struct {
	Limiter string
	// WorstWindow is the largest ratio, over all windows, of the requests admitted to those
	// allowed including the tolerance. Above 1 the limit is violated.
	WorstWindow float64
	// MissingShare is how many requests fewer were admitted, over all workspaces, than by a
	// central limiter that sees each request at once, as a share of those it admits.
	MissingShare float64
	Requests     int
	// P50 and P99 are percentiles of the time for which admitted requests waited.
	P50, P99    time.Duration
	MessageRate float64 // messages sent per node and second
	ByteRate    float64 // bytes sent per node and second
}

// recorder submits the requests of a run and records what happens to them.
type recorder struct {
	sim            *simulation
	admitted       [][]time.Duration // times of admission, by workspace
	reference      []tokenBucket     // central limiter, by workspace
	referenceCount []int             // requests that the central limiter admits, by workspace
	requests       int
	waits          []time.Duration       // of admitted requests
	finalLimits    []workspace.Allowance // by workspace, at the end of the run
}

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

// arrive submits a request of a workspace to a node.
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
	r.try(limiter, ws, false)
}

// callerPatience is how long a caller waits for its request, over both tries. It honours a
// Retry-After up to a third of what is left of that.
const callerPatience = 5 * time.Second

// try submits a first try or a retry. With the shared view, a refused caller returns once.
func (r *recorder) try(limiter Limiter, ws int, returning bool) {
	if r.sim.AllKilled.contains(r.sim.now) {
		return // a retry; the caller has no further try
	}
	arrivedAt := r.sim.now
	admit := func(admitted bool, wait time.Duration) {
		switch {
		case admitted:
			r.admitted[ws] = append(r.admitted[ws], r.sim.now)
			r.waits = append(r.waits, r.sim.now-arrivedAt)
		case r.sim.Shared && !returning:
			r.sim.after(allowance.RetryAfter(wait, callerPatience, r.sim.rng.Float64()), func() { r.try(limiter, ws, true) })
		}
	}
	node := r.sim.receivingNode(ws)
	if l, ok := limiter.(*lending); ok {
		l.AdmitTry(node, ws, admit)
		return
	}
	limiter.Admit(node, ws, func(admitted bool) { admit(admitted, 0) })
}

// worstWindow returns Result.WorstWindow. After the limits were halved, windows count only if
// they start at least a window later.
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

// missingShare returns Result.MissingShare.
func (r *recorder) missingShare() float64 {
	admissible, missing := 0, 0
	for ws, n := range r.referenceCount {
		admissible += n
		missing += max(0, n-len(r.admitted[ws]))
	}
	return float64(missing) / float64(max(1, admissible))
}

// Run simulates a scenario with a limiter.
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
	slices.Sort(rec.waits)
	r := Result{Limiter: limiter.Name(), WorstWindow: rec.worstWindow(), Requests: rec.requests, MissingShare: rec.missingShare()}
	if n := len(rec.waits); n > 0 {
		r.P50, r.P99 = rec.waits[n/2], rec.waits[n*99/100]
	}
	perNode := float64(s.Nodes) * s.Length.Seconds()
	r.MessageRate, r.ByteRate = float64(sim.messages)/perNode, float64(sim.bytes)/perNode
	return r
}

// scheduleArrival schedules a workspace's next request: a Poisson process at the highest rate
// that is thinned to the current one.
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

// scheduleRestarts schedules the restarts of the nodes that the scenario kills.
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
