// Package invariant checks at run time what must always hold. A violation is recorded as an
// event with its evidence and is counted; in test runs it stops the process.
package invariant

import (
	"fmt"
	"os"
	"sync/atomic"

	"github.com/marblepond/marblepond/internal/process/timeline"
)

// Name identifies one invariant; docs/PROOFS.md lists them.
type Name string

// The invariants. The number in a name is that of the requirement it belongs to, in the
// users' list "What must always hold".
const (
	CompleteAnswerOnce      Name = "1-answer-whole-once"
	AnswerOfOneVersion      Name = "1-answer-of-one-version"
	CommitFenced            Name = "1-commit-fenced"
	NoDispatchAfterCancel   Name = "2-no-dispatch-after-cancelled"
	BatchWithinShare        Name = "3-batch-within-share"
	PieceOfOwnAttempt       Name = "4-piece-of-own-attempt"
	NotRunIsTrue            Name = "5-not-run-is-true"
	AtMostOnce              Name = "6-dispatch-at-most-once"
	NoDispatchToLeaving     Name = "7-no-work-to-leaving"
	DrainCompletesWork      Name = "8-drain-cuts-nothing"
	ConfigVersionMonotonic  Name = "9-config-only-forward"
	ResultPositionUnchanged Name = "1-result-keeps-its-position"
)

// Checker records violations in the timeline. It is safe for concurrent use.
type Checker struct {
	recorder *timeline.Recorder
	stop     bool
	count    atomic.Int64
}

// violationExitCode is the exit status of a process that a violation stopped.
const violationExitCode = 70

// New returns a checker. If stop is set, a violation ends the process.
func New(recorder *timeline.Recorder, stop bool) *Checker {
	return &Checker{recorder: recorder, stop: stop}
}

// Assert records a violation if holds is false, and returns holds. evidence is a format
// string for args.
func (c *Checker) Assert(holds bool, name Name, requestID, subject, evidence string, args ...any) bool {
	if holds {
		return true
	}
	c.count.Add(1)
	text := fmt.Sprintf(evidence, args...)
	c.recorder.Record(timeline.InvariantViolated, requestID, subject, string(name)+": "+text)
	if c.stop {
		fmt.Fprintf(os.Stderr, "invariant %s violated: %s %s\n", name, subject, text)
		os.Exit(violationExitCode)
	}
	return false
}

// Violations returns the number of violations so far.
func (c *Checker) Violations() int64 { return c.count.Load() }
