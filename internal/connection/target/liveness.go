package target

import (
	"sync"
	"time"
)

// Liveness tells whether an attempt still runs when its target is said to have started
// again. The news comes up to a second after the start, and what was sent meanwhile runs
// at the new process: to end it would break an answer that is on its way, and for a
// request that may run once leave its caller without any. The zero value is that of an
// attempt that has brought nothing. It is safe for concurrent use.
type Liveness struct {
	mu    sync.Mutex
	last  time.Time   // when the attempt last brought an event; zero: never
	check *time.Timer // nil: nothing is checked
	ended bool
}

// EventReceived notes that an event of the answer has arrived.
func (l *Liveness) EventReceived() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = time.Now()
	if l.check != nil {
		l.check.Stop()
		l.check = nil
	}
}

// TargetRestarted takes the news that the target has started again. lost is called when the
// attempt has brought nothing for a time, counted from before the news: it was lost with
// the process before. What brings something until then runs on.
func (l *Liveness) TargetRestarted(silent time.Duration, lost func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.check = time.AfterFunc(silent-time.Since(l.last), lost)
}

// Stop ends the check, with the attempt.
func (l *Liveness) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	if l.check != nil {
		l.check.Stop()
	}
}
