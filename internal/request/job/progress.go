package job

import (
	"time"

	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/continuation"
	"github.com/marblepond/marblepond/internal/request/fingerprint"
)

// phase is the state of an item at the holder of its job.
type phase int

const (
	waiting  phase = iota
	running        // an attempt at a target is in progress
	finished       // its result is not committed yet
	listed         // its result is committed and has a position
)

// progress is the state machine of the items of one held job. It is pure: the caller passes
// the time.
type progress struct {
	items   []itemState
	pending []pendingResult // finished but not committed, in order of completion
	// storeFailuresAt is when failed attempts that the stored head lacks are to be stored; zero: it
	// has all.
	storeFailuresAt time.Time
}

type itemState struct {
	phase             phase
	failures          int             // attempts that the target answered with a failure
	nearLimit         bool            // it has one attempt left, or none
	consecutiveBreaks int             // attempts in a row that broke off without a new event
	losses            int             // attempts that ended with their target, their connection to it, or without an end
	notBefore         time.Time       // earliest time of the next attempt
	held                              // what its attempts have brought; kept until the result is listed
	blockedSince      time.Time       // since when no target of the version that began the text can take it
	givenUp           bool            // finished without its complete output
	reported          bool            // a failure of it was counted as a target's
	failedAt          map[string]bool // targets that answered it with a failure; it is not tried there again
	trial             fingerprint.ID  // refused parts that its attempt tries; zero: none
	target            choose.Target   // where it runs
	sentAt            time.Time       // when the attempt started
}

// held is the output of an item so far.
type held struct {
	lastEvent int64  // ID of the last event received
	text      []byte // data of the events received
	// origin and service say which targets wrote the text. It continues only there.
	origin  continuation.Origin
	service string
	ran     time.Duration // for which attempts ran
	begins  int           // how often it was begun anew at this holder
}

type pendingResult struct {
	index  int
	result Result
	at     time.Time // when the item finished
}

// newProgress returns the progress that the head of a job records.
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
	// breakBackoff is the delay after an attempt broke off. It doubles with each further
	// one in a row, up to maxBreakBackoff.
	breakBackoff    = 50 * time.Millisecond
	maxBreakBackoff = 2 * time.Second
	// manyLosses is how often an item has lost its target when it is sent more carefully. An item
	// crashes no target, but one that did would end a target with each attempt, and the other
	// requests there.
	manyLosses = 3
	// lossBackoff is the delay after the manyLosses-th loss. It doubles with each further one, up to
	// maxLossBackoff.
	lossBackoff    = 500 * time.Millisecond
	maxLossBackoff = 8 * time.Second
	// failureBackoff is the delay after a failed attempt, so that a transient fault of a
	// target does not use up all attempts at once.
	failureBackoff = 250 * time.Millisecond
)

// mayBeSent reports whether an item waits and its backoff is over.
func (p *progress) mayBeSent(i int, now time.Time) bool {
	return p.items[i].phase == waiting && !now.Before(p.items[i].notBefore)
}

// markSent records that an attempt at an item has started at a target.
func (p *progress) markSent(i int, target choose.Target, now time.Time) {
	s := &p.items[i]
	s.phase, s.target, s.sentAt, s.blockedSince = running, target, now, time.Time{}
}

// requeue returns an item to waiting after an attempt that did not start, broke off, failed
// or was stopped.
func (p *progress) requeue(i int, now time.Time, pause time.Duration) {
	p.items[i].phase, p.items[i].notBefore = waiting, now.Add(pause)
}

// attemptBroke records that an attempt broke off. The next one resumes after lastEvent.
func (p *progress) attemptBroke(i int, now time.Time) {
	s := &p.items[i]
	pause := min(breakBackoff<<min(s.consecutiveBreaks, 10), maxBreakBackoff)
	s.consecutiveBreaks++
	p.requeue(i, now, pause)
}

// attemptLost records that an attempt lost its target, and returns the delay until the next one,
// which resumes after lastEvent.
func (p *progress) attemptLost(i int, now time.Time) (pause time.Duration) {
	s := &p.items[i]
	s.losses++
	pause = min(breakBackoff<<min(s.consecutiveBreaks, 10), maxBreakBackoff)
	s.consecutiveBreaks++
	if s.losses >= manyLosses {
		pause = min(lossBackoff<<min(s.losses-manyLosses, 10), maxLossBackoff)
	}
	p.requeue(i, now, pause)
	return pause
}

// attemptFailed records a failed attempt. It returns whether attempts are left.
func (p *progress) attemptFailed(i int, now time.Time, attempts int) (left bool) {
	s := &p.items[i]
	s.failures++
	s.nearLimit = s.failures >= attempts-1
	p.storeFailures(s, now)
	p.requeue(i, now, failureBackoff)
	return s.failures < attempts
}

// exhaust records that no further attempt at an item can succeed.
func (p *progress) exhaust(i int, now time.Time, attempts int) {
	s := &p.items[i]
	s.failures, s.nearLimit = max(s.failures, attempts), true
	p.storeFailures(s, now)
}

// storeFailures has the failed attempts of an item stored: soon if it has one attempt left or none,
// since each loss of the holder before that repeats them.
func (p *progress) storeFailures(s *itemState, now time.Time) {
	at := now.Add(commitDelay)
	if s.nearLimit {
		at = now.Add(urgentCommitDelay)
	}
	if p.storeFailuresAt.IsZero() || at.Before(p.storeFailuresAt) {
		p.storeFailuresAt = at
	}
}

// isExhausted reports whether an item has no attempts left: its former holder gave it up and
// could not list that.
func (p *progress) isExhausted(i, attempts int) bool { return p.items[i].failures >= attempts }

// failuresDue reports whether failed attempts are to be stored now. The counts of items that fail at each run would otherwise be lost with each holder, and the items sent for
// ever, while nothing else of the job is committed.
func (p *progress) failuresDue(now time.Time) bool {
	return !p.storeFailuresAt.IsZero() && !now.Before(p.storeFailuresAt)
}

// markFailuresStored records that the stored head has the given counts.
func (p *progress) markFailuresStored(stored map[int]int, now time.Time) {
	p.storeFailuresAt = time.Time{}
	for i, n := range p.failureCounts() {
		if n > stored[i] {
			p.storeFailures(&p.items[i], now)
		}
	}
}

// excludeTarget records that a target answered an item with a failure.
func (p *progress) excludeTarget(i int, id string) {
	s := &p.items[i]
	if s.failedAt == nil {
		s.failedAt = map[string]bool{}
	}
	s.failedAt[id] = true
}

// addEvent appends an event's data to the text of an item. Events that were received before
// are ignored.
func (p *progress) addEvent(i int, id int64, data []byte) {
	s := &p.items[i]
	if id <= s.lastEvent {
		return
	}
	if s.lastEvent > 0 {
		s.text = append(s.text, '\n')
	}
	s.origin, s.service = s.origin.After(s.target.Version), s.target.Service
	s.text = append(s.text, data...)
	s.lastEvent = id
	s.consecutiveBreaks = 0
}

// attemptEnded adds the time of an attempt that has just ended.
func (p *progress) attemptEnded(i int, now time.Time) {
	s := &p.items[i]
	s.ran += now.Sub(s.sentAt)
}

// beginAnew drops the text of an item, so that its next attempt may run at any target.
func (p *progress) beginAnew(i int) {
	s := &p.items[i]
	s.held = held{begins: s.begins + 1}
	s.blockedSince = time.Time{}
}

// blockedFor returns for how long no target of its version could take an item that it was
// tried to send now.
func (p *progress) blockedFor(i int, now time.Time) time.Duration {
	s := &p.items[i]
	if s.blockedSince.IsZero() {
		s.blockedSince = now
	}
	return now.Sub(s.blockedSince)
}

// restore lets a waiting item resume with the text of a checkpoint. It reports whether that is
// further than the item had come.
func (p *progress) restore(i int, saved held) bool {
	s := &p.items[i]
	if s.phase != waiting || saved.lastEvent <= s.lastEvent {
		return false
	}
	s.held = saved
	return true
}

// finish records the result of an item. It returns false, and ignores the result, if the
// item already has one.
func (p *progress) finish(i int, r Result, now time.Time) bool {
	s := &p.items[i]
	if s.phase == finished || s.phase == listed {
		return false
	}
	s.phase, s.givenUp = finished, r.Dead
	p.pending = append(p.pending, pendingResult{i, r, now})
	return true
}

// commitDue reports whether to commit now: when no item is without a result, when the pending
// results together have waited for delay, or when a failed attempt is to be stored. One result
// waits that long, many that came at once a fraction of it; a commit costs the same for all.
func (p *progress) commitDue(now time.Time, delay time.Duration) bool {
	if p.failuresDue(now) {
		return true
	}
	if len(p.pending) == 0 {
		return false
	}
	return p.unfinished() == 0 || p.waited(now) >= delay
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

// markListed records that the first n pending results are listed.
func (p *progress) markListed(n int) {
	for _, r := range p.pending[:n] {
		p.items[r.index].phase = listed
		p.items[r.index].text = nil
	}
	p.pending = p.pending[n:]
}

// failureCounts returns the failed attempts by item index, for items that have any and are
// not listed.
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

// noneRunning reports whether no item runs.
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
