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

func (s Span) holds(at time.Duration) bool { return at >= s.From && at < s.From+s.For }

// Scenario is a fleet, its load and what happens to it.
type Scenario struct {
	Name       string
	Nodes      int
	Centres    int
	Workspaces int
	PerSecond  float64 // requests of all workspaces, in the mean
	Length     time.Duration
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
	// leastRate is the smallest allowance that operators give, requests a second.
	leastRate = 5
	// inCentre and across are what a message takes one way.
	inCentre = 200 * time.Microsecond
	across   = 900 * time.Microsecond
	// comeBack is the time over which callers come again after all nodes were down.
	comeBack = time.Second
	// highs has the load go up and down around the mean, in periods of highTime.
	highs    = 0.85
	highTime = 2600 * time.Millisecond
)

// tolerated is how far an allowance may be exceeded.
var tolerated = allowance.Tolerance{Window: 5 * time.Second, Share: 0.1, Slack: 20}

// world is the fleet of a run.
type world struct {
	Scenario
	now      time.Duration
	events   queue
	order    uint64
	draw     *rand.Rand
	usual    []float64 // requests a second of each workspace
	messages int
	bytes    int
}

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newWorld(s Scenario) *world {
	w := &world{Scenario: s, draw: rand.New(rand.NewPCG(s.Seed, s.Seed+1)), usual: make([]float64, s.Workspaces)}
	sum := 0.0
	for i := range w.usual {
		w.usual[i] = math.Pow(float64(i+1), -skew)
		sum += w.usual[i]
	}
	for i := range w.usual {
		w.usual[i] *= s.PerSecond / sum
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now + d, w.order, do})
}

func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

// clock returns the virtual time as nodes read it.
func (w *world) clock() time.Time { return time.Unix(0, 0).Add(w.now) }

func (w *world) centre(node int) int { return node % w.Centres }

// limit returns the allowance of a workspace in force.
func (w *world) limit(ws int) workspace.Allowance {
	rate := math.Max(leastRate, math.Ceil(headroom*(1+highs)*w.usual[ws]))
	if w.LimitsHalvedAt > 0 && w.now >= w.LimitsHalvedAt {
		rate = math.Ceil(rate / 2)
	}
	return workspace.Allowance{PerSecond: rate, Burst: rate}
}

// up reports whether a node runs.
func (w *world) up(node int) bool {
	if w.AllKilled.holds(w.now) || (w.HalfKilled.holds(w.now) && node%2 == 1) {
		return false
	}
	return !(w.OwnerKilled.holds(w.now) && node == w.ownerOfLargest())
}

// linked reports whether two nodes reach each other.
func (w *world) linked(a, b int) bool {
	cut := w.Partition.holds(w.now) && (w.centre(a) == 0) != (w.centre(b) == 0)
	return !cut && w.up(a) && w.up(b)
}

// send carries a message, or loses it.
func (w *world) send(from, to, size int, arrive func()) {
	w.messages++
	w.bytes += size
	if !w.linked(from, to) || w.draw.Float64() < w.LossShare {
		return
	}
	delay := inCentre
	if w.centre(from) != w.centre(to) {
		delay = across
	}
	w.after(delay, func() {
		if w.linked(from, to) {
			arrive()
		}
	})
}

// demand returns how many requests a second a workspace sends now.
func (w *world) demand(ws int) float64 {
	phase := math.Sin(2 * math.Pi * w.now.Seconds() / highTime.Seconds())
	rate := w.usual[ws] * (1 + highs*math.Copysign(1, phase))
	if ws == 0 && w.Hot.holds(w.now) {
		rate *= w.HotFactor
	}
	return rate
}

// nodeFor returns the node that a request comes to: one that runs.
func (w *world) nodeFor(ws int) int {
	node := w.draw.IntN(w.Nodes)
	if w.OneNode {
		node = ws * 7919 % w.Nodes
	}
	for !w.up(node) {
		node = (node + 1) % w.Nodes
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

// tally takes what happens to requests.
type tally struct {
	w          *world
	admitted   [][]time.Duration // by workspace
	reference  []bucket          // what a limiter that knows everything at once would admit
	inside     []int             // by workspace: what it admits
	requests   int
	delays     []time.Duration
	limitsThen []workspace.Allowance
}

// bucket is a token bucket.
type bucket struct {
	level float64
	at    time.Duration
}

func (b *bucket) take(now time.Duration, rate, most float64) bool {
	b.level = min(most, b.level+(now-b.at).Seconds()*rate)
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

func (t *tally) arrive(way Limiter, ws int) {
	if all := t.w.AllKilled; all.holds(t.w.now) {
		back := all.From + all.For - t.w.now + time.Duration(t.w.draw.Float64()*float64(comeBack))
		t.w.after(back, func() { t.arrive(way, ws) })
		return
	}
	t.requests++
	limit := t.w.limit(ws)
	inside := t.reference[ws].take(t.w.now, limit.PerSecond, limit.Burst)
	if inside {
		t.inside[ws]++
	}
	began := t.w.now
	way.Admit(t.w.nodeFor(ws), ws, func(admitted bool) {
		if !admitted {
			return
		}
		t.admitted[ws] = append(t.admitted[ws], t.w.now)
		t.delays = append(t.delays, t.w.now-began)
	})
}

// worst returns the largest ratio over all windows. After a limit was lowered it counts
// from one window later on.
func (t *tally) worst() float64 {
	worst := 0.0
	for ws, times := range t.admitted {
		limit := t.limitsThen[ws]
		most := (limit.PerSecond*tolerated.Window.Seconds()+limit.Burst)*(1+tolerated.Share) + tolerated.Slack
		slices.Sort(times)
		first := 0
		for i, at := range times {
			for at-times[first] > tolerated.Window {
				first++
			}
			if t.w.LimitsHalvedAt == 0 || times[first] >= t.w.LimitsHalvedAt+tolerated.Window {
				worst = max(worst, float64(i-first+1)/most)
			}
		}
	}
	return worst
}

// missing returns the share of what lies inside the allowances that was not admitted.
func (t *tally) missing() float64 {
	inside, missing := 0, 0
	for ws, n := range t.inside {
		inside += n
		missing += max(0, n-len(t.admitted[ws]))
	}
	return float64(missing) / float64(max(1, inside))
}

// Run plays a scenario in one way.
func Run(s Scenario, newWay func(w *world) Limiter) Result {
	w := newWorld(s)
	way := newWay(w)
	t := &tally{w: w, admitted: make([][]time.Duration, s.Workspaces), reference: make([]bucket, s.Workspaces), inside: make([]int, s.Workspaces)}
	for ws := range s.Workspaces {
		t.reference[ws].level = w.limit(ws).Burst
		t.schedule(way, ws)
	}
	w.restarts(way)
	w.run(s.Length)
	for ws := range s.Workspaces {
		t.limitsThen = append(t.limitsThen, w.limit(ws))
	}
	slices.Sort(t.delays)
	f := Result{Limiter: way.Name(), WorstWindow: t.worst(), Requests: t.requests, MissingShare: t.missing()}
	if n := len(t.delays); n > 0 {
		f.P50, f.P99 = t.delays[n/2], t.delays[n*99/100]
	}
	perNode := float64(s.Nodes) * s.Length.Seconds()
	f.MessageRate, f.ByteRate = float64(w.messages)/perNode, float64(w.bytes)/perNode
	return f
}

// schedule has a workspace's next request arrive. Arrivals are drawn at the highest rate
// and thinned out.
func (t *tally) schedule(way Limiter, ws int) {
	most := t.w.usual[ws] * (1 + highs)
	if ws == 0 && t.w.HotFactor > 1 {
		most *= t.w.HotFactor
	}
	pause := time.Duration(t.w.draw.ExpFloat64() / most * float64(time.Second))
	t.w.after(pause, func() {
		if t.w.draw.Float64() < t.w.demand(ws)/most {
			t.arrive(way, ws)
		}
		t.schedule(way, ws)
	})
}

// restarts tells a way which nodes start anew.
func (w *world) restarts(way Limiter) {
	for _, span := range []Span{w.HalfKilled, w.AllKilled, w.OwnerKilled} {
		if span.For == 0 {
			continue
		}
		w.after(span.From, func() {
			var down []int
			for node := range w.Nodes {
				if !w.up(node) {
					down = append(down, node)
				}
			}
			w.after(span.For, func() {
				for _, node := range down {
					way.Restarted(node)
				}
			})
		})
	}
}
