package forward

import (
	"context"
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/version/route"
)

const (
	// firstEventShare is the share of the objective after which an attempt without an
	// event may be given up. The rest is enough to be served elsewhere in time.
	firstEventShare = 0.5
	// gapShare is the share of the longest allowed gap between two events after which an
	// attempt may be given up in mid-stream.
	gapShare = 0.5
	// minStallTimeout keeps short objectives from giving up attempts at healthy targets.
	minStallTimeout = 80 * time.Millisecond
)

// recheckInterval is the interval at which an attempt at an unresponsive target is checked
// for a better target: about as often as an event is due.
const recheckInterval = 25 * time.Millisecond

// watchdog cancels an attempt whose target sends no event for too long, if another target
// would send the next event sooner. It only watches streams that may still be resumed at
// another target; other attempts are never cancelled for lack of events.
type watchdog struct {
	mu         sync.Mutex
	timer      *time.Timer // nil if the attempt is not watched
	first      time.Duration
	gapTimeout time.Duration
	// better reports whether another target would answer sooner than the one that has been
	// waited for so long; begun says that an event was received.
	better  func(waited time.Duration, begun bool) bool
	since   time.Time // of the newest event or, before the first, the start of the attempt
	begun   bool
	held    bool // this node holds the events back
	stopped bool
}

func newWatchdog(r *route.Route, ran int, better func(waited time.Duration, begun bool) bool, cancel context.CancelCauseFunc) *watchdog {
	if r.Kind != route.Stream || !r.Resumable || ran+1 >= r.Attempts || r.Objective <= 0 || r.GapObjective <= 0 {
		return &watchdog{}
	}
	first := max(minStallTimeout, time.Duration(firstEventShare*float64(r.Objective)))
	w := &watchdog{first: first, gapTimeout: gapTimeout(r), better: better, since: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(first, func() { w.expired(cancel) })
	return w
}

// gapTimeout returns the time without an event after which a target counts as
// unresponsive.
func gapTimeout(r *route.Route) time.Duration {
	return max(minStallTimeout, time.Duration(gapShare*float64(r.GapObjective)))
}

// expired cancels the attempt if another target is better, and otherwise checks again
// after recheckInterval.
func (w *watchdog) expired(cancel context.CancelCauseFunc) {
	waited, begun, held := w.waited()
	if !held && w.better(waited, begun) {
		cancel(errStalled)
		return
	}
	w.reset(recheckInterval)
}

// hold runs f, in which no event is read, before the first event; its time does not count as the
// target's.
func (w *watchdog) hold(f func()) {
	w.mu.Lock()
	w.held = true
	w.mu.Unlock()
	began := time.Now()
	f()
	w.mu.Lock()
	w.held, w.since = false, w.since.Add(time.Since(began))
	left := w.first - time.Since(w.since)
	w.mu.Unlock()
	w.reset(max(0, left))
}

// eventReceived restarts the timer for the gap to the next event.
func (w *watchdog) eventReceived() {
	w.mu.Lock()
	w.since, w.begun = time.Now(), true
	w.mu.Unlock()
	w.reset(w.gapTimeout)
}

// waited returns for how long no event was received, whether any was, and whether this node holds
// the events back.
func (w *watchdog) waited() (waited time.Duration, begun, held bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.since), w.begun, w.held
}

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
