// Package warmup compares, by simulation, strategies by which nodes can share the rate of
// requests that a cold target (one in slow start) can take: turns in a rotation, an owner of
// each target that lends tokens, and a few senders for each target. It simulates when nodes
// learn that targets are cold, the requests of callers, network partitions and lost nodes, and
// counts the requests that reach each target in any second.
package warmup

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/process/rendezvous"
	"github.com/marblepond/marblepond/internal/request/warmup"
)

// Scenario is a load on targets that become cold together.
type Scenario struct {
	Nodes   int
	Targets int
	// Demand is how many requests per second arrive at all nodes together, for each cold
	// target.
	Demand float64
	// LearnTime is the time within which all nodes learn that the targets are cold.
	LearnTime time.Duration
	// Partitioned: the nodes are in two halves that can't reach each other.
	Partitioned bool
	// HalfKilled: half of the nodes end halfway through the warm-up, and the others learn of
	// it a second later.
	HalfKilled bool
	Seed       uint64
}

// Rate is the warm-up rate of the simulated targets.
var Rate = warmup.Rate{Time: 3 * time.Second, PerSecond: 7.6}

// Result is the outcome of a scenario.
type Result struct {
	MaxPerSecond int           // most requests that a target received in any second
	ServedShare  float64       // share of the requests that were sent to a target
	FirstSent    time.Duration // when the first request was sent
}

// Strategy returns a function that decides whether a node may send a request to a target now,
// where now is the time since the target became cold. It is not called for a node that has not
// learned of that yet.
type Strategy func(f *Fleet) func(node, target int, now time.Duration) bool

// Fleet is what a strategy knows of the nodes and targets.
type Fleet struct {
	Scenario
	names     []string
	targets   []string
	learnedAt []time.Duration
}

// reachable reports whether a node counts another one as reachable.
func (f *Fleet) reachable(node, other int, now time.Duration) bool {
	if f.Partitioned && node%2 != other%2 {
		return false
	}
	return !f.down(other, now-time.Second)
}

func (f *Fleet) down(node int, now time.Duration) bool {
	return f.HalfKilled && node >= f.Nodes/2 && now > Rate.Time/2
}

// Rotation gives nodes turns in a rotation, as the product does.
func Rotation(f *Fleet) func(node, target int, now time.Duration) bool {
	lastTurns := map[[2]int]int{}
	return func(node, target int, now time.Duration) bool {
		turn := (warmup.Position{Index: node, Nodes: f.Nodes}).Turn(f.targets[target], now-f.learnedAt[node], Rate.PerSecond)
		lastTurn, ok := lastTurns[[2]int{node, target}]
		if turn == warmup.NoTurn || (ok && lastTurn == turn) {
			return false
		}
		lastTurns[[2]int{node, target}] = turn
		return true
	}
}

// Lending has an owner of each target lend tokens to the other nodes: the first reachable node
// in rendezvous order. A fallback owner does not know what was lent before.
func Lending(f *Fleet) func(node, target int, now time.Duration) bool {
	type tokenBucket struct {
		tokens float64
		at     time.Duration
	}
	buckets := map[[2]int]*tokenBucket{}
	ranks := make([][]string, f.Targets)
	index := map[string]int{}
	for i, name := range f.names {
		index[name] = i
	}
	return func(node, target int, now time.Duration) bool {
		if ranks[target] == nil {
			ranks[target] = rendezvous.Rank(f.targets[target], f.names, f.Nodes)
		}
		owner := node
		for _, name := range ranks[target] {
			if i := index[name]; i == node || f.reachable(node, i, now) {
				owner = i
				break
			}
		}
		if f.down(owner, now) {
			return false // the owner does not answer
		}
		b := buckets[[2]int{owner, target}]
		if b == nil {
			b = &tokenBucket{tokens: 1, at: now}
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

// FewSenders lets only a few nodes send to each target, each a part of its rate: the first
// reachable ones in rendezvous order.
func FewSenders(f *Fleet) func(node, target int, now time.Duration) bool {
	const senders = 3
	notBefore := map[[2]int]time.Duration{}
	return func(node, target int, now time.Duration) bool {
		var reachable []string
		for i, name := range f.names {
			if i == node || f.reachable(node, i, now) {
				reachable = append(reachable, name)
			}
		}
		if !slices.Contains(rendezvous.Rank(f.targets[target], reachable, senders), f.names[node]) || now < notBefore[[2]int{node, target}] {
			return false
		}
		notBefore[[2]int{node, target}] = now + time.Duration(senders/Rate.PerSecond*float64(time.Second))
		return true
	}
}

// Run simulates a scenario. Each request is offered to the targets in random order, and is
// dropped if the node may send to none of them.
func Run(s Scenario, strategy Strategy) Result {
	const tick = 5 * time.Millisecond
	rng := rand.New(rand.NewPCG(s.Seed, s.Seed))
	f := &Fleet{Scenario: s}
	for i := range s.Nodes {
		f.names = append(f.names, fmt.Sprintf("node-%d", i))
		f.learnedAt = append(f.learnedAt, time.Duration(rng.Float64()*float64(s.LearnTime)))
	}
	for i := range s.Targets {
		f.targets = append(f.targets, fmt.Sprintf("target-%d", i))
	}
	maySend := strategy(f)
	sent := make([][]time.Duration, s.Targets)
	offered, served := 0, 0
	first := Rate.Time
	for now := time.Duration(0); now < Rate.Time; now += tick {
		arrivals := s.Demand * float64(s.Targets) * tick.Seconds()
		for n := int(arrivals + rng.Float64()); n > 0; n-- {
			node := rng.IntN(s.Nodes)
			if f.down(node, now) || now < f.learnedAt[node] {
				continue
			}
			offered++
			for _, target := range rng.Perm(s.Targets) {
				if maySend(node, target, now) {
					sent[target] = append(sent[target], now)
					served++
					first = min(first, now)
					break
				}
			}
		}
	}
	return Result{MaxPerSecond: maxInOneSecond(sent), ServedShare: float64(served) / float64(max(1, offered)), FirstSent: first}
}

// maxInOneSecond returns the most requests that any target received in one second.
func maxInOneSecond(sent [][]time.Duration) int {
	highest := 0
	for _, times := range sent {
		from := 0
		for i, at := range times {
			for times[from] <= at-time.Second {
				from++
			}
			highest = max(highest, i-from+1)
		}
	}
	return highest
}
