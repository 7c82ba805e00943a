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

// Proof is how an incarnation of a target is known to have ended.
type Proof string

// The proofs.
const (
	RefusesConnections Proof = "it refuses connections"
	AnotherAtAddress   Proof = "another target has its address"
	Restarted          Proof = "it has restarted"
)

// Config is the configuration of a Table.
type Config struct {
	// Limit is the number of crashes after which work is refused.
	Limit int
	// Retention is how long a crash is kept.
	Retention time.Duration
}

const (
	// proofTimeout is how long after a loss the proof that the target has ended may
	// arrive. Targets are back 2 to 5 s after a crash; for a target that stopped responding,
	// another one at its address or its restart is then the first proof.
	proofTimeout = 6 * time.Second
	// maxCrashes and maxWorkPerCrash bound the memory: 256 crashes with the fingerprints of
	// 64 requests each take 0.4 MB. A target serves about ten requests at once.
	maxCrashes      = 256
	maxWorkPerCrash = 64
)

// crash is the end of one incarnation of a target.
type crash struct {
	target      Target
	at          time.Time // of the first loss
	learnedAt   time.Time // when this node learned that the target has ended
	targets     int       // that served the same service, this one included
	work        map[fingerprint.ID]state
	contentHash uint64 // see hashOf
}

// state is the state of work that was in flight at a crash. It only increases.
type state int

const (
	suspect state = iota // it may have caused the crash
	cleared              // it was answered completely since, or released by an operator
)

// unprovedLosses are attempts that lost their connection to a target whose end is not proved.
type unprovedLosses struct {
	firstLoss time.Time
	targets   int
	work      map[fingerprint.ID]bool
}

// Table holds the crashes known to one node, and the verdicts on work. It is not safe for
// concurrent use.
type Table struct {
	cfg      Config
	unproved map[Target]*unprovedLosses
	crashes  map[Target]*crash

	verdicts      map[fingerprint.ID]Verdict
	suspectedWork map[fingerprint.ID]bool // suspects of crashes that nothing else explains
	verdictsStale bool                    // the crashes have changed since the verdicts were derived
	validUntil    time.Time               // when they have to be derived again even without changes
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, unproved: map[Target]*unprovedLosses{}, crashes: map[Target]*crash{}, verdicts: map[fingerprint.ID]Verdict{}}
}

// Empty reports whether there are no losses and crashes with which work would have to be
// compared.
func (t *Table) Empty() bool { return len(t.unproved)+len(t.crashes) == 0 }

// Lost records that an attempt at work lost its connection to a target; targets is the number
// of targets of its service. It reports whether that changed a known crash.
func (t *Table) Lost(now time.Time, target Target, work fingerprint.ID, targets int) (changed bool) {
	if c := t.crashes[target]; c != nil {
		if _, known := c.work[work]; known || len(c.work) >= maxWorkPerCrash {
			return false
		}
		c.work[work] = suspect
		t.markChanged(c)
		return true
	}
	l := t.unproved[target]
	if l == nil {
		t.expireUnproved(now)
		if len(t.unproved) >= maxCrashes {
			return false
		}
		l = &unprovedLosses{firstLoss: now, work: map[fingerprint.ID]bool{}}
		t.unproved[target] = l
	}
	l.targets = max(l.targets, targets)
	if len(l.work) < maxWorkPerCrash {
		l.work[work] = true
	}
	return false
}

// EndedBefore reports whether an incarnation of a target was known to have ended before a
// request was sent. The request then reached the next incarnation, which no list of targets
// may show yet.
func (t *Table) EndedBefore(target Target, sent time.Time) bool {
	c := t.crashes[target]
	return c != nil && c.learnedAt.Before(sent)
}

// Ended records proof that an incarnation of a target has ended. It reports whether that
// added a crash.
func (t *Table) Ended(now time.Time, target Target) (changed bool) {
	l := t.unproved[target]
	delete(t.unproved, target)
	if l == nil || now.Sub(l.firstLoss) > proofTimeout || len(l.work) == 0 {
		return false
	}
	c := &crash{target: target, at: l.firstLoss, learnedAt: now, targets: l.targets, work: map[fingerprint.ID]state{}}
	for work := range l.work {
		c.work[work] = suspect
	}
	t.add(c)
	return true
}

// Alive records proof that an incarnation of a target was alive at a time: earlier losses
// there were not caused by a crash.
func (t *Table) Alive(target Target, at time.Time) {
	if l := t.unproved[target]; l != nil && !l.firstLoss.After(at) {
		delete(t.unproved, target)
	}
}

// Clear clears work of all known crashes, because it was answered completely or released by
// an operator. It reports whether that changed the table.
func (t *Table) Clear(work fingerprint.ID) (changed bool) {
	for target, l := range t.unproved {
		delete(l.work, work)
		if len(l.work) == 0 {
			delete(t.unproved, target)
		}
	}
	for _, c := range t.crashes {
		if s, known := c.work[work]; known && s == suspect {
			c.work[work] = cleared
			t.markChanged(c)
			changed = true
		}
	}
	return changed
}

// Expire drops losses and crashes that are too old to count.
func (t *Table) Expire(now time.Time) {
	t.expireUnproved(now)
	for target, c := range t.crashes {
		if now.Sub(c.at) >= t.cfg.Retention {
			delete(t.crashes, target)
			t.verdictsStale = true
		}
	}
}

func (t *Table) expireUnproved(now time.Time) {
	for target, l := range t.unproved {
		if now.Sub(l.firstLoss) > proofTimeout {
			delete(t.unproved, target)
		}
	}
}

// add adds a new crash, and evicts others if the table is full.
func (t *Table) add(c *crash) {
	for len(t.crashes) >= maxCrashes {
		delete(t.crashes, t.evictionCandidate())
	}
	t.crashes[c.target] = c
	t.markChanged(c)
}

// evictionCandidate returns the oldest crash that causes no refusal, or else the oldest crash.
func (t *Table) evictionCandidate() Target {
	var oldest, oldestUnused *crash
	for _, c := range t.crashes {
		if oldest == nil || c.at.Before(oldest.at) {
			oldest = c
		}
		if !t.causesRefusal(c) && (oldestUnused == nil || c.at.Before(oldestUnused.at)) {
			oldestUnused = c
		}
	}
	if oldestUnused != nil {
		return oldestUnused.target
	}
	return oldest.target
}

// causesRefusal reports whether work that was in flight at a crash is refused.
func (t *Table) causesRefusal(c *crash) bool {
	for work := range c.work {
		if _, refused := t.verdicts[work]; refused {
			return true
		}
	}
	return false
}

func (t *Table) markChanged(c *crash) {
	c.contentHash = hashOf(c)
	t.verdictsStale = true
}
