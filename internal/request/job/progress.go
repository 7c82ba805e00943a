package job

import (
	"time"

	"github.com/marblepond/marblepond/internal/request/choose"
)

// phase is the life of one item at the holder.
type phase int

const (
	waiting  phase = iota
	running        // at a target
	finished       // its result waits to be committed
	listed         // its result has a position
)

// progress is the pure state machine of one held job. Time comes from outside.
type progress struct {
	items   []itemState
	pending []pendingResult // finished and not committed, in the order they came
}

type itemState struct {
	phase             phase
	failures          int           // answers that count as failed attempts
	consecutiveBreaks int           // attempts in a row that broke off
	notBefore         time.Time     // not before this
	lastEvent         int64         // ID of the last event held
	text              []byte        // data of the events held; kept until the result is listed
	givenUp           bool          // finished without its whole output
	quarantined       bool          // not sent, because targets crash under it
	target            choose.Target // where it runs
	sentAt            time.Time     // when it was sent there
}

type pendingResult struct {
	index  int
	result Result
	at     time.Time // when it came
}

// newProgress returns the progress of a job as its head tells it.
func newProgress(h *Head) *progress {
	p := &progress{items: make([]itemState, h.Total)}
	for _, s := range h.Segments {
		for _, i := range s.Items {
			p.items[i].phase = listed
		}
	}
	for i, n := range h.Failed {
		p.items[i].failures = n
	}
	return p
}

const (
	// breakBackoff is the pause after an attempt broke off; it doubles up to
	// maxBreakPause with each further one in a row.
	breakBackoff    = 50 * time.Millisecond
	maxBreakBackoff = 2 * time.Second
	// failureBackoff is the pause after an answer of failure, so that a passing
	// fault of a target does not use up the attempts at once.
	failureBackoff = 250 * time.Millisecond
)

// mayBeSent reports whether an item waits and its pause is over.
func (p *progress) mayBeSent(i int, now time.Time) bool {
	return p.items[i].phase == waiting && !now.Before(p.items[i].notBefore)
}

// markSent notes that an item is at a target.
func (p *progress) markSent(i int, target choose.Target, now time.Time) {
	s := &p.items[i]
	s.phase, s.target, s.sentAt = running, target, now
}

// requeue notes that an attempt did not begin, or was stopped to make room.
func (p *progress) requeue(i int, now time.Time, pause time.Duration) {
	p.items[i].phase, p.items[i].notBefore = waiting, now.Add(pause)
}

// attemptBroke notes an attempt that attemptBroke off after it held up to event held.
func (p *progress) attemptBroke(i int, now time.Time) {
	s := &p.items[i]
	pause := min(breakBackoff<<min(s.consecutiveBreaks, 10), maxBreakBackoff)
	s.consecutiveBreaks++
	p.requeue(i, now, pause)
}

// attemptFailed notes an answer of failure. It returns whether attempts are left.
func (p *progress) attemptFailed(i int, now time.Time, attempts int) (left bool) {
	s := &p.items[i]
	s.failures++
	p.requeue(i, now, failureBackoff)
	return s.failures < attempts
}

// addEvent adds an addEvent's data to the text held. Events that are held already
// are left out.
func (p *progress) addEvent(i int, id int64, data []byte) {
	s := &p.items[i]
	if id <= s.lastEvent {
		return
	}
	if s.lastEvent > 0 {
		s.text = append(s.text, '\n')
	}
	s.text = append(s.text, data...)
	s.lastEvent = id
	s.consecutiveBreaks = 0
}

// restore lets a waiting item go on after event held, whose text is known. It
// reports whether that is news.
func (p *progress) restore(i int, lastEvent int64, text []byte) bool {
	s := &p.items[i]
	if s.phase != waiting || lastEvent <= s.lastEvent {
		return false
	}
	s.lastEvent, s.text = lastEvent, text
	return true
}

// finish gives an item its result. A second result of an item is ignored.
func (p *progress) finish(i int, r Result, now time.Time) bool {
	s := &p.items[i]
	if s.phase == finished || s.phase == listed {
		return false
	}
	s.phase, s.givenUp = finished, r.Dead
	p.pending = append(p.pending, pendingResult{i, r, now})
	return true
}

// commitDue reports whether the pending results are to be committed now: when all of
// them together have waited for the delay. One result waits that long, many that
// came at once a fraction of it; a commit costs the same for all.
func (p *progress) commitDue(now time.Time, delay time.Duration) bool {
	if len(p.pending) == 0 {
		return false
	}
	waited := time.Duration(0)
	for _, r := range p.pending {
		waited += now.Sub(r.at)
	}
	return p.unfinished() == 0 || waited >= delay
}

// unfinished returns the number of items without a result.
func (p *progress) unfinished() int {
	n := 0
	for i := range p.items {
		if ph := p.items[i].phase; ph == waiting || ph == running {
			n++
		}
	}
	return n
}

// demand returns the number of items that wait for a target or are at one.
func (p *progress) demand() int {
	n := p.unfinished()
	for i := range p.items {
		if p.items[i].quarantined && p.items[i].phase == waiting {
			n--
		}
	}
	return n
}

// markListed notes that the first n pending results are listed.
func (p *progress) markListed(n int) {
	for _, r := range p.pending[:n] {
		p.items[r.index].phase = listed
		p.items[r.index].text = nil
	}
	p.pending = p.pending[n:]
}

// failureCounts returns the failed attempts by item, where there are any.
func (p *progress) failureCounts() map[int]int {
	var out map[int]int
	for i := range p.items {
		if n := p.items[i].failures; n > 0 && p.items[i].phase != listed {
			if out == nil {
				out = map[int]int{}
			}
			out[i] = n
		}
	}
	return out
}

// noneRunning reports whether no item is at a target.
func (p *progress) noneRunning() bool {
	for i := range p.items {
		if p.items[i].phase == running {
			return false
		}
	}
	return true
}

// allListed reports whether every item is listed.
func (p *progress) allListed() bool { return p.unfinished() == 0 && len(p.pending) == 0 }
