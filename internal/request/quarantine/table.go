package quarantine

import (
	"slices"
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
	// maxCrashes, maxWorkPerCrash and maxPartsPerCrash bound the memory: of a crash, further
	// work and parts are not recorded. A target serves about ten requests at once, whose
	// prompts have a few shared parts each.
	maxCrashes       = 256
	maxWorkPerCrash  = 64
	maxPartsPerCrash = 256
)

// crash is the end of one incarnation of a target.
type crash struct {
	target    Target
	at        time.Time // of the first loss
	learnedAt time.Time // when this node learned that the target has ended
	targets   int       // that served the same service, this one included
	software  string    // of the target, "" if it is not known
	states    map[fingerprint.ID]state
	parts     int              // of prompts, among states
	suspects  []fingerprint.ID // those of states that may have caused the crash, in a fixed order; see markChanged
	// answeredSince is when the first suspect was cleared; zero: none was.
	answeredSince time.Time
	contentHash   uint64 // see hashOf
}

// state is the state of work that was in flight at a crash, or of a part of its prompt. It
// only increases.
type state int

const (
	suspect state = iota // it may have caused the crash
	cleared              // an answer has shown since that it did not, or an operator released it
)

// Loss is an attempt that lost its connection to a target.
type Loss struct {
	Target   Target
	Software string // of the target: its service and version
	Targets  int    // of its service
	Suspects []fingerprint.ID
}

// Answer is an answer that a target makes.
type Answer struct {
	Software string // of the target: its service and version
	Began    time.Time
	Complete bool
	IDs      []fingerprint.ID // of the request
}

// unprovedLosses are attempts that lost their connection to a target whose end is not proved.
type unprovedLosses struct {
	firstLoss time.Time
	targets   int
	software  string
	suspects  map[fingerprint.ID]bool
}

// mayAdd reports whether a suspect still fits where so many are known, of which so many are parts.
func mayAdd(id fingerprint.ID, known, parts int) bool {
	if id.Kind() == fingerprint.OfPart {
		return parts < maxPartsPerCrash
	}
	return known-parts < maxWorkPerCrash
}

// Table holds the crashes known to one node, and the verdicts on work. It is not safe for
// concurrent use.
type Table struct {
	cfg      Config
	unproved map[Target]*unprovedLosses
	crashes  map[Target]*crash

	verdicts      map[fingerprint.ID]Verdict // by Join of their suspects
	suspected     map[fingerprint.ID]bool    // see Suspected
	verdictsStale bool                       // the crashes have changed since the verdicts were derived
	validUntil    time.Time                  // when they have to be derived again even without changes
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, unproved: map[Target]*unprovedLosses{}, crashes: map[Target]*crash{}, verdicts: map[fingerprint.ID]Verdict{}}
}

// Empty reports whether there are no losses and crashes with which work would have to be
// compared.
func (t *Table) Empty() bool { return len(t.unproved)+len(t.crashes) == 0 }

// Lost records that an attempt lost its connection to a target. It reports whether that
// changed a known crash.
func (t *Table) Lost(now time.Time, loss Loss) (changed bool) {
	if c := t.crashes[loss.Target]; c != nil {
		if !c.raiseTo(now, loss.Suspects, suspect) {
			return false
		}
		t.markChanged(c)
		return true
	}
	l := t.unproved[loss.Target]
	if l == nil {
		t.expireUnproved(now)
		if len(t.unproved) >= maxCrashes {
			return false
		}
		l = &unprovedLosses{firstLoss: now, software: loss.Software, suspects: map[fingerprint.ID]bool{}}
		t.unproved[loss.Target] = l
	}
	l.targets = max(l.targets, loss.Targets)
	parts := 0
	for id := range l.suspects {
		if id.Kind() == fingerprint.OfPart {
			parts++
		}
	}
	for _, id := range loss.Suspects {
		if l.suspects[id] || !mayAdd(id, len(l.suspects), parts) {
			continue
		}
		l.suspects[id] = true
		if id.Kind() == fingerprint.OfPart {
			parts++
		}
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
	if l == nil || now.Sub(l.firstLoss) > proofTimeout || len(l.suspects) == 0 {
		return false
	}
	c := &crash{target: target, at: l.firstLoss, learnedAt: now, targets: l.targets, software: l.software, states: map[fingerprint.ID]state{}}
	c.raiseTo(now, l.sorted(), suspect)
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

// AnsweringTime is how long events of an answer have arrived when it no longer just begins: a
// part of the prompt that crashes targets would have done so.
const AnsweringTime = 500 * time.Millisecond

// soundFor is how long after its begin an answer shows that the parts of its prompt do not
// crash targets: a part may begin to do so later, and an answer that began before shows nothing
// of that.
const soundFor = 3 * time.Second

// Answered records what an answer shows. A part of a prompt that crashes targets does so when
// an answer begins, so one that arrives clears the parts of its prompt of crashes of the same
// software; a complete one clears its work as well. It reports whether that changed a crash.
func (t *Table) Answered(now time.Time, a Answer) (changed bool) {
	shows := func(id fingerprint.ID, software string, crashed time.Time) bool {
		switch {
		case software != a.Software && software != "" && a.Software != "":
			return false
		case id.Kind() == fingerprint.OfPart:
			return crashed.Before(a.Began.Add(soundFor))
		}
		return a.Complete
	}
	return t.clear(now, a.IDs, shows)
}

// Clear clears a suspect of all known crashes, because an operator released it. It reports
// whether that changed the table.
func (t *Table) Clear(now time.Time, id fingerprint.ID) (changed bool) {
	return t.clear(now, []fingerprint.ID{id}, func(fingerprint.ID, string, time.Time) bool { return true })
}

func (t *Table) clear(now time.Time, ids []fingerprint.ID, shows func(id fingerprint.ID, software string, crashed time.Time) bool) (changed bool) {
	for target, l := range t.unproved {
		for _, id := range ids {
			if shows(id, l.software, l.firstLoss) {
				delete(l.suspects, id)
			}
		}
		if len(l.suspects) == 0 {
			delete(t.unproved, target)
		}
	}
	for _, c := range t.crashes {
		raised := false
		for _, id := range ids {
			if s, known := c.states[id]; known && s == suspect && shows(id, c.software, c.at) {
				raised = c.raiseTo(now, []fingerprint.ID{id}, cleared) || raised
			}
		}
		if raised {
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

// causesRefusal reports whether a crash leads to a verdict.
func (t *Table) causesRefusal(c *crash) bool {
	for _, v := range t.verdicts {
		if slices.Contains(v.Targets, c.target) {
			return true
		}
	}
	return false
}

func (t *Table) markChanged(c *crash) {
	c.contentHash = hashOf(c)
	c.suspects = c.suspects[:0]
	for id, s := range c.states {
		if s == suspect {
			c.suspects = append(c.suspects, id)
		}
	}
	slices.SortFunc(c.suspects, compareIDs)
	t.verdictsStale = true
}
