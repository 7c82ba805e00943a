// Package warmup bounds how fast the nodes together send requests to a target that
// warms up. It is pure, and the nodes need not speak to each other: they take turns.
//
// The turns of n nodes at a target of r requests a second follow each other 1/r apart,
// so that each node has one in n/r. It lasts for openFor and allows one request. Which
// part of the round is a node's follows from its place in the list of nodes and from
// the target, so that the turns of different targets differ. In any second the nodes
// that agree on the list and on when the round began have at most r (1 + openFor) + 1
// requests. Nodes that learn later that a target is cold begin their rounds later:
// each second of that may add r requests in the worst case.
package warmup

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rate says how targets of a service warm up.
type Rate struct {
	// Time is how long a target is cold after its start.
	Time time.Duration
	// PerSecond is how many requests a second a cold target bears; 0: any number.
	PerSecond float64
}

// Position is which of the nodes that send work a node is.
type Position struct {
	Index int // in the list of all nodes by name, from 0
	Nodes int // 0: not known, the node has no turns
}

// PositionOf returns the share of a node among all that send work, whose names are sorted.
// One that is not among them has no turns: the others do not count it.
func PositionOf(node string, sorted []string) Position {
	place, found := slices.BinarySearch(sorted, node)
	if !found {
		return Position{}
	}
	return Position{Index: place, Nodes: len(sorted)}
}

// NoTurn is what Turn returns while another node has its turn.
const NoTurn = -1

// openFor is how long a turn lasts: of the targets of a data centre that are cold
// together some are open at any moment.
const openFor = 250 * time.Millisecond

// Turn returns the number of the turn that the node has at a target that has been cold
// for so long, or NoTurn.
func (s Position) Turn(target string, cold time.Duration, perSecond float64) int {
	if s.Nodes <= 0 || perSecond <= 0 {
		return NoTurn
	}
	round := float64(s.Nodes) / perSecond // seconds
	place := (uint64(s.Index) + xxhash.Sum64String(target)%uint64(s.Nodes)) % uint64(s.Nodes)
	since := cold.Seconds() - float64(place)/perSecond
	if since < 0 {
		return NoTurn
	}
	turn := math.Floor(since / round)
	if since-turn*round >= openFor.Seconds() {
		return NoTurn
	}
	return int(turn)
}
