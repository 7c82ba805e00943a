package hostedsoak

import (
	"fmt"
	"sync"
	"time"

	"github.com/marblepond/marblepond/lab/hosted"
)

// history records the events of a run.
type history struct {
	mu         sync.Mutex
	faults     []faultSpan
	draining   map[*hosted.Runner]time.Time
	version    int // latest version written
	writtenAt  time.Time
	versions   []configVersion // those written during the run
	violations []string
	counts     counts
	refused    map[string]string // refusals by ID of the requests and items refused as not run
	completed  map[string]bool   // requests that were answered, and items that are listed as completed
	givenUp    map[string]bool   // items that are listed as given up
	endedJobs  map[string]time.Time
}

// configVersion is a version of the configuration and the time at which it was written.
type configVersion struct {
	version int
	at      time.Time
}

// faultSpan is a fault and the time span in which it was active.
type faultSpan struct {
	fault    Fault
	from, to time.Time // to: zero while it is active
}

// counts are the totals of a run.
type counts struct {
	Online, Complete, Refused, Failed, Cut int
	Jobs, Items                            int
	// Streams whose callers returned after some events, and how the last attempt ended.
	Returned, ReturnedComplete, ReturnedRefused int
	// Parts of prompts that crashed runners, the crashes, requests with them that reached runners
	// too late, and other requests that were refused for a part.
	BadParts, PartCrashes, LatePartRuns, RefusedForPart int
	FalseAnswers, ItemChecks                            int
}

func newHistory() *history {
	return &history{draining: map[*hosted.Runner]time.Time{}, refused: map[string]string{}, completed: map[string]bool{}, givenUp: map[string]bool{}, endedJobs: map[string]time.Time{}, version: 1, writtenAt: time.Now()}
}

func (h *history) violate(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// recordFault records the start of a fault; ended records its end.
func (h *history) recordFault(f Fault) (ended func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, faultSpan{fault: f, from: time.Now()})
	index := len(h.faults) - 1
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.faults[index].to = time.Now()
	}
}

// settleTime is how long after a fault its effects may last: a restarted node has to
// learn of the others, and hanging calls have to time out.
const settleTime = 3 * time.Second

// faultFree reports whether no fault, apart from the excepted kinds, was active between
// two times or within settleTime before.
func (h *history) faultFree(from, to time.Time, except ...Kind) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.faultFreeLocked(from, to, except...)
}

func (h *history) faultFreeLocked(from, to time.Time, except ...Kind) bool {
	for _, s := range h.faults {
		excepted := false
		for _, kind := range except {
			excepted = excepted || s.fault.Kind == kind
		}
		if !excepted && s.from.Before(to) && (s.to.IsZero() || s.to.Add(settleTime).After(from)) {
			return false
		}
	}
	return true
}

func (h *history) recordDraining(r *hosted.Runner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining[r] = time.Now()
}

func (h *history) recordConfig(version int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version, h.writtenAt = version, time.Now()
	h.versions = append(h.versions, configVersion{version, h.writtenAt})
}

// inForceWithin is the time in which a change of the configuration must take effect.
const inForceWithin = 2 * time.Second

// checkVersion checks the configuration version that a node has in force now.
func (h *history) checkVersion(name string, version int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	since := time.Since(h.writtenAt)
	if version >= h.version || since < inForceWithin+versionPollInterval || !h.faultFreeLocked(h.writtenAt, time.Now(), ConfigChange, HangupNode) {
		return
	}
	h.violations = append(h.violations, fmt.Sprintf("node %s has version %d in force, %v after version %d was written", name, version, since, h.version))
}

func (h *history) count(change func(*counts)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(&h.counts)
}

func (h *history) recordRefusal(id, how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refused[id] = how
}

func (h *history) recordCompleted(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.completed[id] = true
}

func (h *history) recordGivenUp(item string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.givenUp[item] = true
}

// itemAttempts is how often an item has to fail before it is given up; no item of a run can never
// succeed.
const itemAttempts = 3

// checkAnswered checks that what was answered ran, and that items that were given up ran as often
// as they may fail. The caller holds h.mu.
func checkAnswered(h *history, runs map[string]int, violate func(format string, args ...any)) {
	for id := range h.completed {
		if runs[id] == 0 {
			violate("%s was answered completely and never ran", id)
		}
	}
	for id := range h.givenUp {
		if _, ended := h.endedJobs[jobOf(id)]; !ended && runs[id] < itemAttempts {
			violate("item %s was given up after %d runs", id, runs[id])
		}
	}
}

func (h *history) recordJobEnd(job string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endedJobs[job] = time.Now()
}

func (h *history) report() (counts, []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts, append([]string(nil), h.violations...)
}
