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
	phase    phase
	failures int           // answers that count as failed attempts
	breaks   int           // attempts in a row that broke off
	notAt    time.Time     // not before this
	held     int64         // ID of the last event held
	text     []byte        // data of the events held; kept until the result is listed
	dead     bool          // finished without its whole output
	refused  bool          // not sent, because targets crash under it
	target   choose.Target // where it runs
	sentAt   time.Time     // when it was sent there
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
	// breakPause is the pause after an attempt broke off; it doubles up to
	// maxBreakPause with each further one in a row.
	breakPause    = 50 * time.Millisecond
	maxBreakPause = 2 * time.Second
	// failurePause is the pause after an answer of failure, so that a passing
	// fault of a target does not use up the attempts at once.
	failurePause = 250 * time.Millisecond
)

// mayBeSent reports whether an item waits and its pause is over.
func (p *progress) mayBeSent(i int, now time.Time) bool {
	return p.items[i].phase == waiting && !now.Before(p.items[i].notAt)
}

// sent notes that an item is at a target.
func (p *progress) sent(i int, target choose.Target, now time.Time) {
	s := &p.items[i]
	s.phase, s.target, s.sentAt = running, target, now
}

// unsent notes that an attempt did not begin, or was stopped to make room.
func (p *progress) unsent(i int, now time.Time, pause time.Duration) {
	p.items[i].phase, p.items[i].notAt = waiting, now.Add(pause)
}

// broke notes an attempt that broke off after it held up to event held.
func (p *progress) broke(i int, now time.Time) {
	s := &p.items[i]
	pause := min(breakPause<<min(s.breaks, 10), maxBreakPause)
	s.breaks++
	p.unsent(i, now, pause)
}

// failed notes an answer of failure. It returns whether attempts are left.
func (p *progress) failed(i int, now time.Time, attempts int) (left bool) {
	s := &p.items[i]
	s.failures++
	p.unsent(i, now, failurePause)
	return s.failures < attempts
}

// event adds an event's data to the text held. Events that are held already
// are left out.
func (p *progress) event(i int, id int64, data []byte) {
	s := &p.items[i]
	if id <= s.held {
		return
	}
	if s.held > 0 {
		s.text = append(s.text, '\n')
	}
	s.text = append(s.text, data...)
	s.held = id
	s.breaks = 0
}

// restore lets a waiting item go on after event held, whose text is known. It
// reports whether that is news.
func (p *progress) restore(i int, held int64, text []byte) bool {
	s := &p.items[i]
	if s.phase != waiting || held <= s.held {
		return false
	}
	s.held, s.text = held, text
	return true
}

// finish gives an item its result. A second result of an item is ignored.
func (p *progress) finish(i int, r Result, now time.Time) bool {
	s := &p.items[i]
	if s.phase == finished || s.phase == listed {
		return false
	}
	s.phase, s.dead = finished, r.Dead
	p.pending = append(p.pending, pendingResult{i, r, now})
	return true
}

// due reports whether the pending results are to be committed now: when all of
// them together have waited for the delay. One result waits that long, many that
// came at once a fraction of it; a commit costs the same for all.
func (p *progress) due(now time.Time, delay time.Duration) bool {
	if len(p.pending) == 0 {
		return false
	}
	waited := time.Duration(0)
	for _, r := range p.pending {
		waited += now.Sub(r.at)
	}
	return p.open() == 0 || waited >= delay
}

// open returns the number of items without a result.
func (p *progress) open() int {
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
	n := p.open()
	for i := range p.items {
		if p.items[i].refused && p.items[i].phase == waiting {
			n--
		}
	}
	return n
}

// committed notes that the first n pending results are listed.
func (p *progress) committed(n int) {
	for _, r := range p.pending[:n] {
		p.items[r.index].phase = listed
		p.items[r.index].text = nil
	}
	p.pending = p.pending[n:]
}

// failures returns the failed attempts by item, where there are any.
func (p *progress) failures() map[int]int {
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

// idle reports whether no item is at a target.
func (p *progress) idle() bool {
	for i := range p.items {
		if p.items[i].phase == running {
			return false
		}
	}
	return true
}

// whole reports whether every item is listed.
func (p *progress) whole() bool { return p.open() == 0 && len(p.pending) == 0 }
