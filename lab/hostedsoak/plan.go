// Package hostedsoak runs hosted nodes as separate processes against stand-ins for
// the users' platform, injects random faults, and checks from the records of callers
// and runners that the guarantees held.
package hostedsoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. Faults of nodes are signals; proxies inject faults of
// connections, and the stand-ins those of the store and of runners.
const (
	KillNode      Kind = "kill-node"
	FreezeNode    Kind = "freeze-node" // SIGSTOP, then SIGCONT
	StopNode      Kind = "stop-node"   // SIGTERM, then a restart
	HangupNode    Kind = "hangup-node" // SIGHUP: the node reloads its settings
	ResetCallers  Kind = "reset-callers"
	CutPeers      Kind = "cut-peers"     // no calls of peers reach the node
	DeafPeers     Kind = "deaf-peers"    // they reach the node, but its responses do not come back
	CutStore      Kind = "cut-store"     // one node's connections to the store block
	ResetStore    Kind = "reset-store"   // one node's connections to the store are reset
	StoreDown     Kind = "store-down"    // refuses all calls
	StoreSilent   Kind = "store-silent"  // does not respond
	StoreSlow     Kind = "store-slow"    // responds late
	StoreLost     Kind = "store-lost"    // does not answer some writes
	StoreLate     Kind = "store-late"    // the same, and applies them later
	StoreForgets  Kind = "store-forgets" // drops its history of changes
	SlowRunner    Kind = "slow-runner"
	CutRunner     Kind = "cut-runner"   // its connections block
	ResetRunner   Kind = "reset-runner" // its connections are reset, also new ones
	CrashRunner   Kind = "crash-runner" // is replaced by another runner
	DrainRunner   Kind = "drain-runner" // is announced as draining, then replaced
	BadRunner     Kind = "bad-runner"   // breaks off, fails, refuses, loses answers or sends those of other requests
	ConfigChange  Kind = "config-change"
	HangRunner    Kind = "hang-runner"    // accepts requests and sends nothing
	Release       Kind = "release"        // a runner drains and is replaced by one of the next version
	Overload      Kind = "overload"       // callers send overloadFactor times as many online requests
	BadPart       Kind = "bad-part"       // requests share a part of their prompts that crashes runners
	MostAtOne     Kind = "most-at-one"    // most new connections go to one node
	UnlistRunner  Kind = "unlist-runner"  // its entry is missing from the store for a time
	EndlessRunner Kind = "endless-runner" // it sends bytes without end, in a form that is drawn for each request
	FalseRunner   Kind = "false-runner"   // it refuses requests, and sends answers that belong to others or to none
	ReleaseAll    Kind = "release-all"    // all runners are replaced by the next version in two halves, and all nodes are killed around each
)

var kinds = []Kind{KillNode, FreezeNode, StopNode, HangupNode, ResetCallers, CutPeers, DeafPeers, CutStore, ResetStore, StoreDown, StoreSilent,
	StoreSlow, StoreLost, StoreLate, StoreForgets, SlowRunner, CutRunner, ResetRunner, CrashRunner, DrainRunner, BadRunner, ConfigChange}

// sharedViewKinds are the kinds that are only in plans with the shared view on. They are
// repeated, so that most plans of 30 s contain one.
var sharedViewKinds = slices.Repeat([]Kind{HangRunner, Overload}, 3)

// versionKinds are the kinds that are only in plans with runners of several versions.
var versionKinds = slices.Repeat([]Kind{Release, ResetCallers}, 4)

// partKinds are the kinds that are only in plans with parts of prompts.
var partKinds = slices.Repeat([]Kind{BadPart, MostAtOne}, 4)

// runnerKinds are the kinds that are only in plans with further faults of runners.
var runnerKinds = slices.Repeat([]Kind{UnlistRunner, EndlessRunner}, 6)

// Fault is one fault of the plan.
type Fault struct {
	Kind   Kind
	Start  time.Duration // since the start of the run
	Length time.Duration
	Which  int // index of the node or runner slot
}

// String describes the fault.
func (f Fault) String() string {
	return fmt.Sprintf("%s %d at %.1f s for %.1f s", f.Kind, f.Which, f.Start.Seconds(), f.Length.Seconds())
}

const (
	// pauseAfterGroup is longer than the time in which a change of the configuration must
	// take effect, so that this is checked for some changes.
	pauseAfterGroup = 3 * time.Second
	// maxGroupSize is the largest number of faults in a group. They start within
	// groupSpread, so that some overlap and others follow each other.
	maxGroupSize = 6
	groupSpread  = 3 * time.Second
	// minFaultLength and maxFaultLength bound the duration of a fault.
	minFaultLength = 300 * time.Millisecond
	maxFaultLength = 5 * time.Second
	// minBadPartLength is longer than the time after which a bad part may reach runners no more.
	minBadPartLength  = 7 * time.Second
	falseRunnerLength = 8 * time.Second
	// calmPause is the pause after a group where open items are checked: they are when it has
	// been calm for idleCheckAfter.
	calmPause = settleTime + idleCheckAfter + 4*time.Second
)

// NewPlan returns the faults of a seed, of the usual kinds and of extra ones. Each group has a
// ReleaseAll and several FalseRunner faults if these are among the extra ones. The same arguments give the same plan.
func NewPlan(seed uint64, length time.Duration, nodes, runners int, extra ...Kind) []Fault {
	rng := rand.New(rand.NewPCG(seed, seed))
	kinds := slices.Concat(kinds, slices.DeleteFunc(slices.Clone(extra), func(k Kind) bool { return k == ReleaseAll || k == FalseRunner }))
	pause, releaseAll, falseRunners := pauseAfterGroup, slices.Contains(extra, ReleaseAll), slices.Contains(extra, FalseRunner)
	if releaseAll {
		pause = calmPause
	}
	var plan []Fault
	for at := pauseAfterGroup; at < length; {
		end := at
		if releaseAll {
			plan = append(plan, Fault{Kind: ReleaseAll, Start: at, Length: releaseAllLength})
			end += releaseAllLength
		}
		if falseRunners {
			for which := 1; which < runners; which += 2 {
				plan = append(plan, Fault{Kind: FalseRunner, Start: at, Length: falseRunnerLength, Which: which})
			}
			end = max(end, at+falseRunnerLength)
		}
		for range 1 + rng.IntN(maxGroupSize) {
			f := Fault{Kind: kinds[rng.IntN(len(kinds))], Start: at + time.Duration(rng.Int64N(int64(groupSpread))), Which: rng.IntN(nodes)}
			f.Length = minFaultLength + time.Duration(rng.Int64N(int64(maxFaultLength-minFaultLength)))
			switch f.Kind {
			case SlowRunner, CutRunner, ResetRunner, CrashRunner, DrainRunner, BadRunner, HangRunner, Release, UnlistRunner, EndlessRunner, FalseRunner:
				f.Which = rng.IntN(runners)
			case Overload, MostAtOne:
				f.Which = 0 // concerns all nodes, and there is one at a time
			case BadPart:
				f.Which = 0
				f.Length += minBadPartLength
			}
			plan = append(plan, f)
			end = max(end, f.Start+f.Length)
		}
		at = end + pause
	}
	return plan
}
