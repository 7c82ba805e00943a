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

// operation is one non-idempotent call, with all its tries.
type operation struct {
	id       string
	answered int // tries answered with 200
	notRun   int // tries refused as not run
	unknown  int // tries with an unknown outcome or a lost connection
	results  []string
}

// job is one batch as its caller saw it.
type job struct {
	id          string
	output      string
	plain       bool              // items are operations on the plain service
	items       map[string]string // item ID to text or operation
	cancelled   bool              // cancellation was asked for
	shownAt     time.Time         // when "cancelled" was first shown
	finalStatus string
}

// faultSpan is a time in which something was wrong with a process or a place.
type faultSpan struct {
	fault    Fault
	from, to time.Time
}

// history is what happened in a run.
type history struct {
	mu         sync.Mutex
	online     []online
	operations []*operation
	jobs       []*job
	spans      []faultSpan
	violations []string
	leaving    map[string]faultSpan // by engine
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

// faultDuring reports whether one of the kinds was in force between two times.
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
