package target

import (
	"sync"
	"time"
)

// Liveness decides whether an attempt is lost when its target is reported as restarted. The
// report arrives up to a second after the restart, and requests sent meanwhile run in the new
// process: cancelling those would break an answer that is being sent, and would leave the
// caller of a request that may run only once without an answer. The zero value is that of an
// attempt that has received no event. It is safe for concurrent use.
type Liveness struct {
	mu        sync.Mutex
	lastEvent time.Time   // when the last event arrived; zero: never
	timer     *time.Timer // nil: no restart was reported since the last event
	stopped   bool
}

// EventReceived records that an event of the answer has arrived.
func (l *Liveness) EventReceived() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastEvent = time.Now()
	if l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
}

// TargetRestarted records the report that the target has restarted. lost is called unless
// another event arrives within timeout of the last one: the attempt then ended with the
// previous process.
func (l *Liveness) TargetRestarted(timeout time.Duration, lost func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return
	}
	l.timer = time.AfterFunc(timeout-time.Since(l.lastEvent), lost)
}

// Stop ends the check. It is called when the attempt ends.
func (l *Liveness) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	if l.timer != nil {
		l.timer.Stop()
	}
}
