package soak

import (
	"sync"
	"time"

	"github.com/marblepond/marblepond/lab/client"
)

// online is one online request as its caller saw it.
type online struct {
	start, end time.Time
	node       string
	text       string
	tokens     int
	stream     bool
	outcome    client.Outcome
}

// operation is one non-idempotent call, with all its attempts.
type operation struct {
	id       string
	answered int // attempts answered with 200
	notRun   int // attempts refused as not run
	unknown  int // attempts with an unknown outcome or a lost connection
	results  []string
}

// job is one batch as its caller saw it.
type job struct {
	id          string
	output      string
	plain       bool              // whether the items are operations of the plain service
	items       map[string]string // item ID to text or operation
	cancelled   bool              // whether a cancellation was requested
	shownAt     time.Time         // when it was first shown as ended
	finalStatus string
}

// faultSpan is the time during which a fault was active; to is zero while it is.
type faultSpan struct {
	fault    Fault
	from, to time.Time
}

// history records what callers saw and which faults were active in a run.
type history struct {
	mu         sync.Mutex
	online     []online
	operations []*operation
	jobs       []*job
	spans      []faultSpan
	violations []string
	leaving    map[string]faultSpan // since when an engine is marked as leaving, by engine
}

func (h *history) addViolation(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, text)
}

func (h *history) addOnline(o online) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.online = append(h.online, o)
}

func (h *history) addOperation(o *operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, o)
}

func (h *history) addJob(j *job) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs = append(h.jobs, j)
}

// faultDuring reports whether a fault that matches was active between two times.
func (h *history) faultDuring(from, to time.Time, match func(Fault) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.spans {
		if match(s.fault) && s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return true
		}
	}
	return false
}
