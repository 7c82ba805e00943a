package outlier

import "time"

const (
	// windowLength is the length of the sliding window of outcomes, and windowBuckets the
	// number of steps in which it slides.
	windowLength  = 3 * time.Second
	windowBuckets = 12
	bucketLength  = windowLength / windowBuckets
	// aliveWithin is how long ago a target sent its newest event if it is alive: several of
	// the usual intervals of 40 ms between two events.
	aliveWithin = 250 * time.Millisecond
	// minUnanswered and unansweredFactor, a multiple of the usual time to the first event,
	// are how long an attempt has no event before it counts as unanswered.
	minUnanswered    = 150 * time.Millisecond
	unansweredFactor = 4
	// failedAfter is how long an attempt was unanswered if its end counts as a failure.
	failedAfter = time.Second
	// firstEventWeight is the weight of the newest measurement in the moving average of the
	// time to the first event.
	firstEventWeight = 0.05
)

// Evidence is what a reporter observes at one target.
type Evidence struct {
	Failed     int // attempts in the window whose failure is the target's fault
	Succeeded  int // complete answers in the window
	Unanswered int // attempts that wait too long for their first event
	Alive      int // nodes that received an event of the target within aliveWithin
}

// Plus returns the sum of both.
func (e Evidence) Plus(other Evidence) Evidence { return e.plus(other, 1) }

func (e Evidence) plus(other Evidence, sign int) Evidence {
	return Evidence{Failed: e.Failed + sign*other.Failed, Succeeded: e.Succeeded + sign*other.Succeeded,
		Unanswered: e.Unanswered + sign*other.Unanswered, Alive: e.Alive + sign*other.Alive}
}

// failureRate returns the share of failures among the attempts that ended, 0 without any.
func (e Evidence) failureRate() float64 {
	if e.Failed <= 0 {
		return 0
	}
	return float64(e.Failed) / float64(e.Failed+max(0, e.Succeeded))
}

// succeeds reports whether attempts succeed and hardly any fails.
func (e Evidence) succeeds() bool { return e.Succeeded > 0 && e.failureRate() <= soundFailureRate }

// Outcome is how an attempt ended.
type Outcome int

// The outcomes.
const (
	NoEvidence Outcome = iota // it says nothing about the target
	Succeeded                 // a complete answer
	Failed                    // the target's fault
	// BrokenOff is the end of an attempt by its caller. It is a failure if the attempt was
	// unanswered for failedAfter, and otherwise no evidence.
	BrokenOff
	// GivenUp is the end of an attempt by this node, because the target sent no event. The
	// attempt counts as unanswered for failedAfter more.
	GivenUp
)

// window counts outcomes over windowLength.
type window struct {
	newest            int64 // number of the newest bucket, counted from the start of the judge
	failed, succeeded [windowBuckets]uint16
	sum               Evidence
}

// slide drops the buckets that are older than the window.
func (w *window) slide(bucket int64) {
	for steps := 0; w.newest < bucket; steps++ {
		if steps == windowBuckets {
			w.newest = bucket
			return
		}
		w.newest++
		i := w.newest % windowBuckets
		w.sum.Failed -= int(w.failed[i])
		w.sum.Succeeded -= int(w.succeeded[i])
		w.failed[i], w.succeeded[i] = 0, 0
	}
}

func (w *window) add(bucket int64, o Outcome) {
	w.slide(bucket)
	i := w.newest % windowBuckets
	switch o {
	case Failed:
		w.failed[i]++
		w.sum.Failed++
	case Succeeded:
		w.succeeded[i]++
		w.sum.Succeeded++
	}
}

func (w *window) clearSucceeded() {
	w.succeeded, w.sum.Succeeded = [windowBuckets]uint16{}, 0
}

func (w *window) empty() bool { return w.sum == Evidence{} }
