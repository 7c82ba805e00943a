package quarantine

import (
	"time"

	"github.com/marblepond/marblepond/internal/request/fingerprint"
)

// Target is one incarnation of a target.
type Target struct {
	ID          string
	Incarnation uint64
}

// Proof says how an incarnation of a target is known to have ended.
type Proof string

// The proofs.
const (
	RefusesConnections Proof = "it refuses connections"
	AnotherAtAddress   Proof = "another target has its address"
	Restarted          Proof = "it has started again"
)

// Config of a table.
type Config struct {
	// Limit is after how many crashes work is refused.
	Limit int
	// Retention is how long a crash is remembered.
	Retention time.Duration
}

const (
	// provedWithin is how long after a loss the proof that the target has ended may
	// come: targets are back 2 to 5 s after a crash, and another one at the address
	// or a new start is then the first proof of one that fell silent.
	provedWithin = 6 * time.Second
	// mostCrashes and mostWork bound the memory: 256 crashes with 64 pieces of work
	// each take 0.4 MB. A target serves some ten requests at once.
	mostCrashes = 256
	mostWork    = 64
)

// crash is the end of one incarnation of a target.
type crash struct {
	target  Target
	at      time.Time // of the first loss that was noticed
	known   time.Time // when this node learned that the target has ended
	targets int       // that served the same service, this one included
	work    map[fingerprint.ID]state
	content uint64 // hash of what is told of it
}

// state is what is held of work that was in flight at a crash. It only goes up.
type state int

const (
	accused state = iota
	cleared
)

// losses are attempts that broke off at a target of which it is not proved that it
// has ended.
type losses struct {
	since   time.Time
	targets int
	work    map[fingerprint.ID]bool
}

// Table is what one node knows. It is not safe for concurrent use.
type Table struct {
	cfg      Config
	unproved map[Target]*losses
	crashes  map[Target]*crash

	verdicts map[fingerprint.ID]Verdict
	suspects map[fingerprint.ID]bool // at crashes that nothing else explains
	stale    bool                    // the crashes have changed since the verdicts were derived
	until    time.Time               // when they have to be derived again though nothing has changed
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, unproved: map[Target]*losses{}, crashes: map[Target]*crash{}, verdicts: map[fingerprint.ID]Verdict{}}
}

// Empty reports whether nothing is known that any work would have to be compared
// with.
func (t *Table) Empty() bool { return len(t.unproved)+len(t.crashes) == 0 }

// Lost takes work whose attempt broke off at a target, one of so many that serve
// its service. It reports whether the crash that this belongs to is proved.
func (t *Table) Lost(now time.Time, target Target, work fingerprint.ID, targets int) (news bool) {
	if c := t.crashes[target]; c != nil {
		if _, known := c.work[work]; known || len(c.work) >= mostWork {
			return false
		}
		c.work[work] = accused
		t.changed(c)
		return true
	}
	l := t.unproved[target]
	if l == nil {
		t.forgetUnproved(now)
		if len(t.unproved) >= mostCrashes {
			return false
		}
		l = &losses{since: now, work: map[fingerprint.ID]bool{}}
		t.unproved[target] = l
	}
	l.targets = max(l.targets, targets)
	if len(l.work) < mostWork {
		l.work[work] = true
	}
	return false
}

// EndedBefore reports whether an incarnation of a target was known to have ended before
// a time. What was sent there later has met the next one, of which no list tells yet.
func (t *Table) EndedBefore(target Target, sent time.Time) bool {
	c := t.crashes[target]
	return c != nil && c.known.Before(sent)
}

// Ended takes proof that an incarnation of a target has ended. It reports whether
// work was lost there of which that was not known.
func (t *Table) Ended(now time.Time, target Target) (news bool) {
	l := t.unproved[target]
	delete(t.unproved, target)
	if l == nil || now.Sub(l.since) > provedWithin || len(l.work) == 0 {
		return false
	}
	c := &crash{target: target, at: l.since, known: now, targets: l.targets, work: map[fingerprint.ID]state{}}
	for work := range l.work {
		c.work[work] = accused
	}
	t.add(c)
	return true
}

// Alive takes proof that an incarnation of a target lived at a time: what was lost
// there before was not lost by a crash.
func (t *Table) Alive(target Target, at time.Time) {
	if l := t.unproved[target]; l != nil && !l.since.After(at) {
		delete(t.unproved, target)
	}
}

// Clear takes work that was answered whole, or that an operator lets go: no crash
// that is known was its fault. It reports whether that is news.
func (t *Table) Clear(work fingerprint.ID) (news bool) {
	for target, l := range t.unproved {
		delete(l.work, work)
		if len(l.work) == 0 {
			delete(t.unproved, target)
		}
	}
	for _, c := range t.crashes {
		if s, known := c.work[work]; known && s == accused {
			c.work[work] = cleared
			t.changed(c)
			news = true
		}
	}
	return news
}

// Expire drops what is too old to count.
func (t *Table) Expire(now time.Time) {
	t.forgetUnproved(now)
	for target, c := range t.crashes {
		if now.Sub(c.at) >= t.cfg.Retention {
			delete(t.crashes, target)
			t.stale = true
		}
	}
}

func (t *Table) forgetUnproved(now time.Time) {
	for target, l := range t.unproved {
		if now.Sub(l.since) > provedWithin {
			delete(t.unproved, target)
		}
	}
}

// add takes a crash that is not known, and makes room for it.
func (t *Table) add(c *crash) {
	for len(t.crashes) >= mostCrashes {
		delete(t.crashes, t.leastUseful())
	}
	t.crashes[c.target] = c
	t.changed(c)
}

// leastUseful returns the oldest crash that refuses nothing, or else the oldest.
func (t *Table) leastUseful() Target {
	var oldest, idle *crash
	for _, c := range t.crashes {
		if oldest == nil || c.at.Before(oldest.at) {
			oldest = c
		}
		if !t.refusesBy(c) && (idle == nil || c.at.Before(idle.at)) {
			idle = c
		}
	}
	if idle != nil {
		return idle.target
	}
	return oldest.target
}

// refusesBy reports whether work is refused that was in flight at a crash.
func (t *Table) refusesBy(c *crash) bool {
	for work := range c.work {
		if _, refused := t.verdicts[work]; refused {
			return true
		}
	}
	return false
}

func (t *Table) changed(c *crash) {
	c.content = contentOf(c)
	t.stale = true
}
