package hostedsoak

import (
	"fmt"
	"sync"
	"time"

	"github.com/marblepond/marblepond/lab/hosted"
)

// history is what happened in a run.
type history struct {
	mu         sync.Mutex
	faults     []span
	leaving    map[*hosted.Runner]time.Time
	version    int // newest written
	written    time.Time
	versions   []written // all of them
	violations []string
	counts     counts
	refused    map[string]string // attempts and jobs that were refused as not run: the refusal
	ended      map[string]time.Time
}

// written is a version of the configuration with the time at which it was written.
type written struct {
	version int
	at      time.Time
}

// span is a fault with the time it lasted.
type span struct {
	fault    Fault
	from, to time.Time // to: zero while it lasts
}

// counts sum a run up.
type counts struct {
	Online, Whole, Refused, Failed, Cut int
	Jobs, Items                         int
}

func newHistory() *history {
	return &history{leaving: map[*hosted.Runner]time.Time{}, refused: map[string]string{}, ended: map[string]time.Time{}, version: 1, written: time.Now()}
}

func (h *history) violate(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// fault notes that a fault begins; the function returned notes its end.
func (h *history) fault(f Fault) (ended func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, span{fault: f, from: time.Now()})
	index := len(h.faults) - 1
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.faults[index].to = time.Now()
	}
}

// settles is how long after a fault its effects may still show: a node that
// came back has to hear of the others, and calls that hang have to time out.
const settles = 3 * time.Second

// calm reports whether, but for kinds that are left out, nothing was wrong
// between two times, nor just before.
func (h *history) calm(from, to time.Time, but ...Kind) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calmLocked(from, to, but...)
}

func (h *history) calmLocked(from, to time.Time, but ...Kind) bool {
	for _, s := range h.faults {
		leftOut := false
		for _, kind := range but {
			leftOut = leftOut || s.fault.Kind == kind
		}
		if !leftOut && s.from.Before(to) && (s.to.IsZero() || s.to.Add(settles).After(from)) {
			return false
		}
	}
	return true
}

func (h *history) drains(r *hosted.Runner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving[r] = time.Now()
}

func (h *history) configured(version int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version, h.written = version, time.Now()
	h.versions = append(h.versions, written{version, h.written})
}

// inForceWithin is how soon a change of the configuration has to be in force.
const inForceWithin = 2 * time.Second

// judgeVersion judges the version that a node has in force now.
func (h *history) judgeVersion(name string, version int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	since := time.Since(h.written)
	if version >= h.version || since < inForceWithin+versionPoll || !h.calmLocked(h.written, time.Now(), ConfigChange, HangupNode) {
		return
	}
	h.violations = append(h.violations, fmt.Sprintf("node %s has version %d in force, %v after version %d was written", name, version, since, h.version))
}

func (h *history) count(change func(*counts)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(&h.counts)
}

func (h *history) refuse(id, how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refused[id] = how
}

func (h *history) end(job string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended[job] = time.Now()
}

func (h *history) report() (counts, []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts, append([]string(nil), h.violations...)
}
