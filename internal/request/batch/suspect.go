package batch

import "time"

// suspectTracker decides against which item the loss of a target counts. An item
// can crash the engine that runs it, which ends all concurrent items there too.
// The cause is not reported, so every item lost in a crash becomes a suspect. At
// most one suspect runs at a target at a time, so that the next loss there is
// attributed to that suspect alone.
//
// The order in which the losses of one crash are noticed does not matter, because
// an attempt counts by whether its item was a suspect when the attempt started.
type suspectTracker struct {
	running map[string]int       // by target: running attempts that started as a suspect's
	lost    map[string]time.Time // by target: when such an attempt was last lost
}

// sameCrashWindow is the time after the loss of a suspect during which losses of
// other items at the same target are attributed to the same crash. It covers the
// time until all broken connections of one crash are noticed.
const sameCrashWindow = time.Second

func newSuspectTracker() *suspectTracker {
	return &suspectTracker{running: map[string]int{}, lost: map[string]time.Time{}}
}

// runningAt reports whether a suspect runs at a target.
func (s *suspectTracker) runningAt(target string) bool { return s.running[target] > 0 }

// start registers an attempt that begins at it.target.
func (s *suspectTracker) start(it *item) {
	it.startedAsSuspect = it.suspect
	if it.startedAsSuspect {
		s.running[it.target]++
	}
}

// end removes an attempt that start registered.
func (s *suspectTracker) end(it *item) {
	if !it.startedAsSuspect {
		return
	}
	s.running[it.target]--
	if s.running[it.target] == 0 {
		delete(s.running, it.target)
	}
}

// recordLoss records an attempt whose target was lost, and reports whether the loss
// counts against the item. It does not count for an item that ran concurrently
// with a suspect, but the item becomes a suspect: it may be the cause, and its
// losses would otherwise all be attributed to one suspect after another.
func (s *suspectTracker) recordLoss(it *item, now time.Time) bool {
	if it.startedAsSuspect {
		s.lost[it.target] = now
		return true
	}
	it.suspect = true
	return !s.runningAt(it.target) && now.Sub(s.lost[it.target]) >= sameCrashWindow
}
