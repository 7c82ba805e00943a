package hosted

import (
	"net/http"
	"strings"
	"time"
)

// RunStart is the start of one run of a request.
type RunStart struct {
	RequestID string
	Path      string
	At        time.Time
}

// RunStarts returns the starts of all runs, in order.
func (r *Runner) RunStarts() []RunStart {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]RunStart(nil), r.runStarts...)
}

// ArrivalCount returns how many requests whose IDs have a prefix reached the runner, run
// or not.
func (r *Runner) ArrivalCount(prefix string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for id, times := range r.arrivals {
		if strings.HasPrefix(id, prefix) {
			n += times
		}
	}
	return n
}

// RunCount returns how often the runner started to run a request.
func (r *Runner) RunCount(requestID string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[requestID]
}

// ResumePositions returns the Last-Event-Id of each run of a request.
func (r *Runner) ResumePositions(requestID string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.resumePositions[requestID]...)
}

// CancelledRuns returns how many runs of a request were cancelled by the client.
func (r *Runner) CancelledRuns(requestID string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancelled[requestID]
}

func (r *Runner) recordCancelled(requestID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelled[requestID]++
}

func (r *Runner) recordRunEnd(requestID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active[requestID]--
	r.runEnds[requestID] = time.Now()
}

// LastRun returns whether a run of a request is in progress, and the latest end of one.
func (r *Runner) LastRun(requestID string) (active bool, ended time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active[requestID] > 0, r.runEnds[requestID]
}

// Header returns the header of the latest run of a request.
func (r *Runner) Header(requestID string) http.Header {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.headers[requestID]
}

// Completed reports whether a run of a request has ended with its last event.
func (r *Runner) Completed(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.completed[id]
}
