// Package warmup compares ways in which nodes may share the rate that a cold target
// bears: turns, a lender for each target, and a few nodes for each target. It models when
// nodes learn that targets are cold, what callers ask for, cuts and lost nodes, and counts
// what reaches each target in every second.
package warmup

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/process/rendezvous"
	"github.com/marblepond/marblepond/internal/request/warmup"
)

// Scenario is one load on targets that become cold together.
type Scenario struct {
	Nodes   int
	Targets int
	// Demand is how many requests a second callers have for each cold target, in all.
	Demand float64
	// LearnTime is within which time the nodes learn that the targets are cold.
	LearnTime time.Duration
	// Partitioned: the nodes are in two halves that do not hear each other.
	Partitioned bool
	// HalfKilled: half of the nodes end halfway, and the others are told a second later.
	HalfKilled bool
	Seed       uint64
}

// Rate is how the targets of the model warm up.
var Rate = warmup.Rate{Time: 3 * time.Second, PerSecond: 7.6}

// Result sums up a scenario.
type Result struct {
	MaxPerSecond int     // requests in one second at any target
	ServedShare  float64 // share of the demand
	FirstSent    time.Duration
}

// Strategy decides whether a node may send a request to a target, so long after the target
// became cold. A node that has not learned of it yet is not asked.
type Strategy func(w *Fleet) func(node, target int, now time.Duration) bool

// Fleet is what a way may know.
type Fleet struct {
	Scenario
	names   []string
	targets []string
	learned []time.Duration
}

// hears reports whether a node hears another one.
func (w *Fleet) hears(node, other int, now time.Duration) bool {
	if w.Partitioned && node%2 != other%2 {
		return false
	}
	return !w.dead(other, now-time.Second)
}

func (w *Fleet) dead(node int, now time.Duration) bool {
	return w.HalfKilled && node >= w.Nodes/2 && now > Rate.Time/2
}

// Rotation is what the product does.
func Rotation(w *Fleet) func(node, target int, now time.Duration) bool {
	used := map[[2]int]int{}
	return func(node, target int, now time.Duration) bool {
		turn := (warmup.Position{Index: node, Nodes: w.Nodes}).Turn(w.targets[target], now-w.learned[node], Rate.PerSecond)
		last, any := used[[2]int{node, target}]
		if turn == warmup.NoTurn || (any && last == turn) {
			return false
		}
		used[[2]int{node, target}] = turn
		return true
	}
}

// Lending has one node for each target lend its requests to the others: the first in the
// target's order of those that are heard. A substitute does not know what was lent.
func Lending(w *Fleet) func(node, target int, now time.Duration) bool {
	type bucket struct {
		tokens float64
		at     time.Duration
	}
	buckets := map[[2]int]*bucket{}
	orders := make([][]string, w.Targets)
	index := map[string]int{}
	for i, name := range w.names {
		index[name] = i
	}
	return func(node, target int, now time.Duration) bool {
		if orders[target] == nil {
			orders[target] = rendezvous.Rank(w.targets[target], w.names, w.Nodes)
		}
		owner := node
		for _, name := range orders[target] {
			if i := index[name]; i == node || w.hears(node, i, now) {
				owner = i
				break
			}
		}
		if w.dead(owner, now) {
			return false // it does not answer
		}
		b := buckets[[2]int{owner, target}]
		if b == nil {
			b = &bucket{tokens: 1, at: now}
			buckets[[2]int{owner, target}] = b
		}
		b.tokens = min(1, b.tokens+(now-b.at).Seconds()*Rate.PerSecond)
		b.at = now
		if b.tokens < 1 {
			return false
		}
		b.tokens--
		return true
	}
}

// FewSenders lets a few nodes for each target send, each a part of its rate: the first in the
// target's order of those that are heard.
func FewSenders(w *Fleet) func(node, target int, now time.Duration) bool {
	const few = 3
	next := map[[2]int]time.Duration{}
	return func(node, target int, now time.Duration) bool {
		var heard []string
		for i, name := range w.names {
			if i == node || w.hears(node, i, now) {
				heard = append(heard, name)
			}
		}
		if !slices.Contains(rendezvous.Rank(w.targets[target], heard, few), w.names[node]) || now < next[[2]int{node, target}] {
			return false
		}
		next[[2]int{node, target}] = now + time.Duration(few/Rate.PerSecond*float64(time.Second))
		return true
	}
}

// Run plays a scenario. A request that a node has is offered to some targets drawn at
// random and waits a short while for one of them.
func Run(s Scenario, way Strategy) Result {
	const tick = 5 * time.Millisecond
	draw := rand.New(rand.NewPCG(s.Seed, s.Seed))
	w := &Fleet{Scenario: s}
	for i := range s.Nodes {
		w.names = append(w.names, fmt.Sprintf("node-%d", i))
		w.learned = append(w.learned, time.Duration(draw.Float64()*float64(s.LearnTime)))
	}
	for i := range s.Targets {
		w.targets = append(w.targets, fmt.Sprintf("target-%d", i))
	}
	may := way(w)
	sent := make([][]time.Duration, s.Targets)
	asked, served := 0, 0
	first := Rate.Time
	for now := time.Duration(0); now < Rate.Time; now += tick {
		due := s.Demand * float64(s.Targets) * tick.Seconds()
		for n := int(due + draw.Float64()); n > 0; n-- {
			node := draw.IntN(s.Nodes)
			if w.dead(node, now) || now < w.learned[node] {
				continue
			}
			asked++
			for _, target := range draw.Perm(s.Targets) {
				if may(node, target, now) {
					sent[target] = append(sent[target], now)
					served++
					first = min(first, now)
					break
				}
			}
		}
	}
	return Result{MaxPerSecond: most(sent), ServedShare: float64(served) / float64(max(1, asked)), FirstSent: first}
}

// most returns the most requests that a target got in one second.
func most(sent [][]time.Duration) int {
	top := 0
	for _, times := range sent {
		from := 0
		for i, at := range times {
			for times[from] <= at-time.Second {
				from++
			}
			top = max(top, i-from+1)
		}
	}
	return top
}
