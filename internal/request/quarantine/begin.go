package quarantine

import (
	"sync/atomic"
	"time"
)

// answeringInterval is the time between two reports that an answer is arriving.
const answeringInterval = 250 * time.Millisecond

// Begin is when the answer of an attempt began to arrive. The zero value is that of an attempt
// without events. EventReceived is called by the goroutine that reads the answer, the other
// methods by any.
type Begin struct {
	first    atomic.Pointer[time.Time] // nil: no event has arrived
	reported time.Time
}

// EventReceived records an event. It reports whether the quarantine is to be told that the
// answer is arriving: from AnsweringTime on, each answeringInterval.
func (b *Begin) EventReceived(now time.Time) (answering bool) {
	first := b.first.Load()
	if first == nil {
		b.first.Store(&now)
		return false
	}
	if now.Sub(*first) < AnsweringTime || now.Sub(b.reported) < answeringInterval {
		return false
	}
	b.reported = now
	return true
}

// Time returns when the first event arrived, zero if none has.
func (b *Begin) Time() time.Time {
	if first := b.first.Load(); first != nil {
		return *first
	}
	return time.Time{}
}

// Answering reports whether events have been arriving for AnsweringTime.
func (b *Begin) Answering(now time.Time) bool {
	first := b.first.Load()
	return first != nil && now.Sub(*first) >= AnsweringTime
}
