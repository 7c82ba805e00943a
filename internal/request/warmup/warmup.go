// Package warmup limits the rate at which all nodes together send requests to a cold
// target, one that is still warming up (slow start). It is pure. The nodes exchange no
// messages for it: they take turns in a fixed rotation.
//
// At a target that may get r requests per second, the turns of n nodes start 1/r seconds
// apart, so that each node has one turn in a round of n/r seconds. A turn lasts turnLength
// and allows one request. A node's offset in the round follows from its index in the list
// of nodes and from the target, so that the turns at different targets differ. Nodes that
// agree on the list and on the start of the round send at most r (1 + turnLength) + 1
// requests in any second, with turnLength in seconds. Nodes that learn later that a target
// is cold start their rounds later: each second of delay may add r requests in the worst
// case.
package warmup

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rate is how targets of a service warm up.
type Rate struct {
	// Time is how long a target is cold after its start.
	Time time.Duration
	// PerSecond is how many requests per second a cold target can take; 0: no limit.
	PerSecond float64
}

// Position is a node's position in the rotation of the nodes that send work.
type Position struct {
	Index int // in the list of all nodes sorted by name, from 0
	Nodes int // number of nodes; 0: not known, the node has no turns
}

// PositionOf returns the position of a node in the sorted names of all nodes that send
// work. A node that is not among them has no turns, because the others do not count it.
func PositionOf(node string, sorted []string) Position {
	index, found := slices.BinarySearch(sorted, node)
	if !found {
		return Position{}
	}
	return Position{Index: index, Nodes: len(sorted)}
}

// NoTurn is what Turn returns while the node has no turn.
const NoTurn = -1

// turnLength is how long a turn lasts: long enough that a node has a turn at some of the
// targets at any moment when many targets of a data centre are cold together.
const turnLength = 250 * time.Millisecond

// Turn returns the number of the node's current turn, counted from 0, at a target that has
// been cold for coldFor, or NoTurn.
func (p Position) Turn(target string, coldFor time.Duration, perSecond float64) int {
	if p.Nodes <= 0 || perSecond <= 0 {
		return NoTurn
	}
	round := float64(p.Nodes) / perSecond // seconds
	offset := (uint64(p.Index) + xxhash.Sum64String(target)%uint64(p.Nodes)) % uint64(p.Nodes)
	since := coldFor.Seconds() - float64(offset)/perSecond
	if since < 0 {
		return NoTurn
	}
	turn := math.Floor(since / round)
	if since-turn*round >= turnLength.Seconds() {
		return NoTurn
	}
	return int(turn)
}
