package forward

import (
	"context"
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

// watchdog ends an attempt whose target is silent. It only watches streams
// that may still go on elsewhere; for all others silence is no reason to end.
type watchdog struct {
	timer *time.Timer
	gap   time.Duration
}

func newWatchdog(r *route.Route, ran int, cancel context.CancelCauseFunc) *watchdog {
	if r.Kind != route.Stream || !r.Resumable || ran+1 >= r.Attempts || r.Objective <= 0 || r.GapObjective <= 0 {
		return &watchdog{}
	}
	first := max(leastStall, time.Duration(firstShare*float64(r.Objective)))
	return &watchdog{
		timer: time.AfterFunc(first, func() { cancel(errStalled) }),
		gap:   max(leastStall, time.Duration(gapShare*float64(r.GapObjective))),
	}
}

// event notes that the target has sent an event.
func (w *watchdog) event() {
	if w.timer != nil {
		w.timer.Reset(w.gap)
	}
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
