package forward

import (
	"context"
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/version/route"
)

const (
	// firstShare is the share of the objective after which a target that has
	// sent no event is given up: enough is left to be served elsewhere in time.
	firstShare = 0.5
	// gapShare is the share of the longest allowed pause after which a target in
	// mid-stream is given up.
	gapShare = 0.5
	// leastStall keeps short objectives from giving up healthy targets.
	leastStall = 80 * time.Millisecond
)

// lookPause is the time between looks for a better place while a silent target
// is kept: short beside the usual objective of 300 ms.
const lookPause = 25 * time.Millisecond

// watchdog ends an attempt whose target is silent and that would come sooner to
// its next event elsewhere. It only watches streams that may still go on
// elsewhere; for all others silence is no reason to end.
type watchdog struct {
	mu      sync.Mutex
	timer   *time.Timer // nil: nothing is watched
	gap     time.Duration
	better  func() bool // another target would take the request sooner
	stopped bool
}

func newWatchdog(r *route.Route, ran int, better func() bool, cancel context.CancelCauseFunc) *watchdog {
	if r.Kind != route.Stream || !r.Resumable || ran+1 >= r.Attempts || r.Objective <= 0 || r.GapObjective <= 0 {
		return &watchdog{}
	}
	first := max(leastStall, time.Duration(firstShare*float64(r.Objective)))
	w := &watchdog{gap: longestGap(r), better: better}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(first, func() { w.expired(cancel) })
	return w
}

// longestGap returns the time without an event after which a target counts as
// silent.
func longestGap(r *route.Route) time.Duration {
	return max(leastStall, time.Duration(gapShare*float64(r.GapObjective)))
}

// expired ends the attempt, or looks again soon while no other target is better.
func (w *watchdog) expired(cancel context.CancelCauseFunc) {
	if w.better() {
		cancel(errStalled)
		return
	}
	w.reset(lookPause)
}

// event notes that the target has sent an event.
func (w *watchdog) event() { w.reset(w.gap) }

func (w *watchdog) reset(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && !w.stopped {
		w.timer.Reset(d)
	}
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
