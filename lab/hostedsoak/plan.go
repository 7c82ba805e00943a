// Package hostedsoak drives hosted nodes, as separate processes before stand-ins
// of the users' platform, through random faults, and checks what callers and
// targets saw against what must always hold.
package hostedsoak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is a fault.
type Kind string

// The faults. Those of nodes are signals, those of connections are made by
// proxies, those of the store and of runners by the stand-ins.
const (
	KillNode     Kind = "kill-node"
	FreezeNode   Kind = "freeze-node"
	StopNode     Kind = "stop-node" // SIGTERM, then a new start
	HangupNode   Kind = "hangup-node"
	ResetCallers Kind = "reset-callers"
	CutPeers     Kind = "cut-peers"     // nobody's calls reach the node
	DeafPeers    Kind = "deaf-peers"    // they reach it, and its answers do not come back
	CutStore     Kind = "cut-store"     // of one node: silence
	ResetStore   Kind = "reset-store"   // of one node
	StoreDown    Kind = "store-down"    // refuses everybody
	StoreSilent  Kind = "store-silent"  // answers nobody
	StoreSlow    Kind = "store-slow"    // answers late
	StoreLost    Kind = "store-lost"    // loses answers of writes
	StoreLate    Kind = "store-late"    // the same, and makes the writes later
	StoreForgets Kind = "store-forgets" // drops its history
	SlowRunner   Kind = "slow-runner"
	CutRunner    Kind = "cut-runner"   // silence
	ResetRunner  Kind = "reset-runner" // connections break, and new ones are refused
	CrashRunner  Kind = "crash-runner" // another takes its place
	DrainRunner  Kind = "drain-runner" // leaves as announced; another takes its place
	BadRunner    Kind = "bad-runner"   // breaks off, fails, loses answers, sends those of others
	ConfigChange Kind = "config-change"
)

var kinds = []Kind{KillNode, FreezeNode, StopNode, HangupNode, ResetCallers, CutPeers, DeafPeers, CutStore, ResetStore, StoreDown, StoreSilent,
	StoreSlow, StoreLost, StoreLate, StoreForgets, SlowRunner, CutRunner, ResetRunner, CrashRunner, DrainRunner, BadRunner, ConfigChange}

// Fault is one fault of the plan.
type Fault struct {
	Kind   Kind
	Start  time.Duration // since the start of the run
	Length time.Duration
	Which  int // node or runner
}

// String describes the fault.
func (f Fault) String() string {
	return fmt.Sprintf("%s %d at %.1f s for %.1f s", f.Kind, f.Which, f.Start.Seconds(), f.Length.Seconds())
}

const (
	// pauseAfterGroup is the pause after a group of faults; it is longer than the time
	// within which a change has to be in force, so that some are judged.
	pauseAfterGroup = 3 * time.Second
	// maxGroupSize is the most faults of a group, and within is how far apart they
	// start: they overlap, and come in series.
	maxGroupSize = 6
	groupSpread  = 3 * time.Second
	// minFaultLength and longest bound the length of a fault.
	minFaultLength = 300 * time.Millisecond
	maxFaultLength = 5 * time.Second
)

// NewPlan returns the faults of a seed. The same seed gives the same plan.
func NewPlan(seed uint64, length time.Duration, nodes, runners int) []Fault {
	rng := rand.New(rand.NewPCG(seed, seed))
	var plan []Fault
	for at := pauseAfterGroup; at < length; {
		end := at
		for range 1 + rng.IntN(maxGroupSize) {
			f := Fault{Kind: kinds[rng.IntN(len(kinds))], Start: at + time.Duration(rng.Int64N(int64(groupSpread))), Which: rng.IntN(nodes)}
			f.Length = minFaultLength + time.Duration(rng.Int64N(int64(maxFaultLength-minFaultLength)))
			switch f.Kind {
			case SlowRunner, CutRunner, ResetRunner, CrashRunner, DrainRunner, BadRunner:
				f.Which = rng.IntN(runners)
			}
			plan = append(plan, f)
			end = max(end, f.Start+f.Length)
		}
		at = end + pauseAfterGroup
	}
	return plan
}
