// Package soak injects random faults into a fleet of processes under load, records what
// callers saw, and checks the record against what must always hold.
package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is the kind of a fault.
type Kind string

// The kinds of faults: those of the users' list "What fails", and what causes them.
const (
	KillNode      Kind = "kill-node"
	FreezeNode    Kind = "freeze-node"
	TermNode      Kind = "term-node"
	KillEngine    Kind = "kill-engine"
	HangEngine    Kind = "hang-engine"
	BadStreams    Kind = "bad-streams"
	FailingEngine Kind = "failing-engine"
	CutCentres    Kind = "cut-centres"
	CutNodes      Kind = "cut-nodes"
	CutPlatform   Kind = "cut-platform"
	PlatformDown  Kind = "platform-down"
	PlatformSlow  Kind = "platform-slow"
	LostAnswers   Kind = "lost-answers"
	StaleVMs      Kind = "stale-vms"
	OperatorRace  Kind = "operator-race"
	TargetLeaves  Kind = "target-leaves"
)

var allKinds = []Kind{KillNode, FreezeNode, TermNode, KillEngine, HangEngine, BadStreams, FailingEngine, CutCentres,
	CutNodes, CutPlatform, PlatformDown, PlatformSlow, LostAnswers, StaleVMs, OperatorRace, TargetLeaves}

// Fault is one fault of the plan.
type Fault struct {
	Kind   Kind
	Start  time.Duration // since the start of the run
	Length time.Duration
	DC     int
	N      int // index of the node or engine in the data centre
	Other  int // the other data centre or node of a network partition
}

// String describes the fault.
func (f Fault) String() string {
	return fmt.Sprintf("%s at %.1fs for %.1fs dc%d n%d other%d", f.Kind, f.Start.Seconds(), f.Length.Seconds(), f.DC, f.N, f.Other)
}

// faultPause is the time between the end of a fault and the start of the next.
const faultPause = 2500 * time.Millisecond

// NewPlan returns the faults of a seed, one or two at a time. The same seed always gives the
// same plan.
func NewPlan(seed uint64, length time.Duration, centres, nodes, engines int) []Fault {
	rng := rand.New(rand.NewPCG(seed, seed))
	var plan []Fault
	for at := faultPause; ; {
		longest := time.Duration(0)
		for range 1 + rng.IntN(2) {
			f := Fault{Kind: allKinds[rng.IntN(len(allKinds))], Start: at, DC: rng.IntN(centres), N: rng.IntN(nodes)}
			f.Length = time.Second + time.Duration(rng.IntN(7000))*time.Millisecond
			f.Other = (f.DC + 1 + rng.IntN(centres-1)) % centres
			switch f.Kind {
			case KillEngine, HangEngine, BadStreams, FailingEngine, TargetLeaves:
				f.N = rng.IntN(engines)
			case CutNodes:
				f.Other = (f.N + 1) % nodes
			}
			plan = append(plan, f)
			longest = max(longest, f.Length)
		}
		at += longest + faultPause
		if at > length {
			return plan
		}
	}
}
