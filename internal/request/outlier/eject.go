package outlier

import (
	"cmp"
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/process/rendezvous"
)

const (
	// maxDoublings bounds the growth of the ejection time.
	maxDoublings = 5
	// maxEjectedShare is the share of a service's targets that may be ejected or on trial.
	maxEjectedShare = 0.3
	// commonCauseShare is the share of a service's targets that fail or hang from which on
	// none is ejected: the cause is common to them.
	commonCauseShare = 0.5
	// settleTime is how long after the start of a trial reports of other nodes may still
	// contain failures from before it.
	settleTime = 500 * time.Millisecond
	// probeTurn is how long each node in turn may send probes to a target on trial.
	probeTurn = time.Second
	// repeatableAfter and anyAfter are how far into a turn a probe may be a request that may
	// be repeated, and any request; before that it has to be a batch item.
	repeatableAfter = 100 * time.Millisecond
	anyAfter        = 250 * time.Millisecond
	// probeProof is how long a probe has sent events when it counts as succeeded before its
	// answer is complete: longer than a usual online request takes.
	probeProof = time.Second
	// maxProofs is how many probes have to succeed at most before a target is readmitted: one
	// after its first ejection, one more after each further one. Of the probes at a target
	// that hangs on half of its requests, every other one succeeds.
	maxProofs = 3
	// aliveNodesOfService is how many nodes receive events of a target on trial if others have
	// readmitted it: a probe is sent by one. A node whose trial begins later than that would
	// wait for successes that are no longer reported.
	aliveNodesOfService = 2
	// servedProof is how long other nodes have to receive events of a target on trial until these
	// show that they use it: longer than a batch item runs, 4 to 9 s, since attempts from before
	// the ejection and probes send events too.
	servedProof = 10 * time.Second
	// maxProbers is how many nodes take turns to send probes to a target.
	maxProbers = 32
	// forgetAfter is how long after its readmission a target without a new ejection starts
	// again with the shortest one.
	forgetAfter = 10 * time.Second
	// stepInterval is the least time between two evaluations of all targets.
	stepInterval = 50 * time.Millisecond
)

// State is whether a target gets work.
type State int

// The states.
const (
	Admitted State = iota
	Ejected        // it gets no work
	OnTrial        // it gets one probe at a time
)

var stateNames = map[State]string{Admitted: "", Ejected: "ejected", OnTrial: "on trial"}

// String returns the state's name, empty for Admitted.
func (s State) String() string { return stateNames[s] }

// verdict is the state of a target and its history.
type verdict struct {
	state      State
	cause      Cause
	scope      Scope
	ejections  int // without forgetAfter between two
	ejectedAt  time.Time
	until      time.Time // end of the ejection
	trialAt    time.Time
	readmitted time.Time
	lastBefore uint64 // newest attempt before the ejection or the trial
	probe      uint64 // number of the probe that this node has in flight; 0: none
	// probeFirstEvent is when the first event of that probe arrived; zero: none has.
	probeFirstEvent time.Time
	probers         []string // nodes in the order in which they send probes
	passed          int      // probes of this node that succeeded in the trial
	// silentAt is when the other nodes of the scope last received no event of the target, as of
	// its trial.
	silentAt time.Time
	// servedSince is the time from which on several nodes have received events of the target
	// without a pause, as of its trial.
	servedSince time.Time
}

// Change is a change of a target's state.
type Change struct {
	Target    string
	State     State
	Cause     Cause
	Scope     Scope
	Evidence  Evidence
	Ejections int           // in a row
	For       time.Duration // length of the ejection
}

// Step evaluates all targets, unless that was done within stepInterval, and returns the
// changes.
func (j *Judge) Step(now time.Time) []Change {
	if now.Sub(j.steppedAt) < stepInterval && now.After(j.steppedAt) {
		return nil
	}
	j.steppedAt = now
	j.suspectsOwn = j.failsAtMost(now)
	var changes []Change
	j.verdicts = 0
	for _, s := range j.services {
		changes = append(changes, j.stepService(now, s)...)
		s.deactivate()
		j.verdicts += s.notAdmitted()
	}
	return changes
}

// failsAtMost reports whether this node fails at over half of the targets that it used
// within the window. Its own link is then the likely cause.
func (j *Judge) failsAtMost(now time.Time) bool {
	j.suspectsOwn = false
	used, failing := 0, 0
	for _, t := range j.activeTargets() {
		if t.idle() {
			continue
		}
		t.dropGivenUp(now)
		e := j.own(now, t)
		bad := e.Failed + e.Unanswered
		if bad+e.Succeeded > 0 {
			used++
		}
		if bad > e.Succeeded {
			failing++
		}
	}
	return 2*failing > used
}

func (s *service) notAdmitted() int {
	n := 0
	for _, t := range s.active {
		if t.state != Admitted && !t.Leaving {
			n++
		}
	}
	return n
}

// candidate is a target that is an outlier and not ejected yet.
type candidate struct {
	*target
	finding
}

func (j *Judge) stepService(now time.Time, s *service) []Change {
	var changes []Change
	serving, bad, rates := s.serving, 0, 0.0 // bad: admitted targets that fail or hang
	for _, t := range s.active {
		if t.Leaving {
			continue
		}
		if t.state != Admitted {
			changes = j.advance(now, t, changes)
		}
		t.noteFailures(now)
		if t.state == Admitted && t.window.sum.Failed+t.reported.Failed > 0 {
			all := j.failures(now, t)
			rates += all.failureRate()
			if all.Failed >= minFailures && all.failureRate() > minFailureRate {
				bad++
			}
		}
	}
	if serving == 0 {
		return changes
	}
	notAdmitted := s.notAdmitted()
	candidates := j.candidates(now, s, rates/float64(max(1, serving-notAdmitted)))
	for _, c := range candidates {
		if c.cause == Hanging {
			bad++
		}
	}
	if float64(bad+notAdmitted) > commonCauseShare*float64(serving) {
		return j.admitAll(now, s, CommonCause, changes)
	}
	limit := int(maxEjectedShare * float64(serving))
	changes = j.limitEjected(now, s, notAdmitted-limit, changes)
	for _, c := range candidates[:max(0, min(len(candidates), limit-notAdmitted))] {
		changes = append(changes, j.eject(now, c.target, c.finding))
	}
	return changes
}

// noteFailures records since when failures of a target are known.
func (t *target) noteFailures(now time.Time) {
	switch known := t.window.sum.Failed+t.reported.Failed > 0; {
	case !known:
		t.failingSince = time.Time{}
	case t.failingSince.IsZero():
		t.failingSince = now
	}
}

// candidates returns the admitted targets that are outliers, the worst first.
func (j *Judge) candidates(now time.Time, s *service, serviceRate float64) []candidate {
	var out []candidate
	for _, t := range s.active {
		if t.Leaving || t.state != Admitted {
			continue
		}
		if f, ok := j.judge(now, t, serviceRate); ok {
			out = append(out, candidate{t, f})
		}
	}
	slices.SortStableFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.severity(), a.severity()), cmp.Compare(b.evidence.Failed+b.evidence.Unanswered, a.evidence.Failed+a.evidence.Unanswered))
	})
	return out
}

// eject begins an ejection.
func (j *Judge) eject(now time.Time, t *target, f finding) Change {
	if t.ejections > 0 && t.state == Admitted && now.Sub(t.readmitted) > forgetAfter {
		t.ejections = 0
	}
	length := j.cfg.EjectTime << min(t.ejections, maxDoublings)
	t.ejections++
	t.state, t.cause, t.scope = Ejected, f.cause, f.scope
	t.ejectedAt, t.until, t.probe, t.lastBefore = now, now.Add(length), 0, j.lastAttempt
	// Successes from before the ejection must not count in the trial. Failures stay in the
	// reports until the trial, so that all nodes reach the same verdict.
	t.window.clearSucceeded()
	return t.change(f.evidence, length)
}

func (t *target) change(e Evidence, length time.Duration) Change {
	return Change{Target: t.ID, State: t.state, Cause: t.cause, Scope: t.scope, Evidence: e, Ejections: t.ejections, For: length}
}

// advance moves a target on that is ejected or on trial.
func (j *Judge) advance(now time.Time, t *target, changes []Change) []Change {
	if t.state == Ejected {
		if now.Before(t.until) {
			return changes
		}
		return append(changes, j.startTrial(now, t))
	}
	j.endSilentProbe(now, t)
	if now.Sub(t.trialAt) < settleTime {
		j.raiseFailures(t)
	}
	sum := j.sum(now, t)
	e := sum.of(t.scope)
	if e.Alive < aliveNodesOfService {
		t.servedSince = now
	}
	if j.aliveElsewhere(t) == 0 {
		t.silentAt = now
	}
	switch {
	case e.Failed > 0:
		return append(changes, j.eject(now, t, finding{ProbeFailed, t.scope, e}))
	case max(e.Succeeded, t.passed) >= min(t.ejections, maxProofs), now.Sub(t.servedSince) >= servedProof:
		return append(changes, t.admit(now, ProbePassed, e))
	}
	return changes
}

// startTrial ends an ejection. Only outcomes of later attempts count from now on.
func (j *Judge) startTrial(now time.Time, t *target) Change {
	t.state, t.cause, t.trialAt, t.lastBefore = OnTrial, EjectionOver, now, j.lastAttempt
	t.window, t.waiting = window{}, nil
	t.servedSince, t.silentAt, t.passed = now, now, 0
	j.setFloors(t)
	t.probers = j.probersOf(t)
	return t.change(Evidence{}, 0)
}

// endSilentProbe counts this node's probe as failed once it was unanswered for failedAfter.
func (j *Judge) endSilentProbe(now time.Time, t *target) {
	if a, waiting := t.find(t.probe); waiting && t.probe != 0 && j.unansweredFor(now, t, a) > failedAfter {
		t.stopWaiting(t.probe)
		t.window.add(j.bucket(now), Failed)
		t.probe = 0
	}
}

func (t *target) admit(now time.Time, cause Cause, e Evidence) Change {
	t.state, t.cause, t.readmitted, t.probe = Admitted, cause, now, 0
	return t.change(e, 0)
}

// admitAll ends the verdicts of a service. Ejections that it ends early do not make later ones longer.
func (j *Judge) admitAll(now time.Time, s *service, cause Cause, changes []Change) []Change {
	for _, t := range s.active {
		if t.state == Ejected {
			t.ejections--
		}
		if t.state != Admitted {
			changes = append(changes, t.admit(now, cause, Evidence{}))
		}
	}
	return changes
}

// limitEjected ends the verdicts of the given number of targets, those with the fewest
// ejections, because the service has fewer targets than before.
func (j *Judge) limitEjected(now time.Time, s *service, excess int, changes []Change) []Change {
	for ; excess > 0; excess-- {
		var mildest *target
		for _, t := range s.active {
			if t.state != Admitted && !t.Leaving && (mildest == nil || t.ejections < mildest.ejections) {
				mildest = t
			}
		}
		changes = append(changes, mildest.admit(now, OverLimit, Evidence{}))
	}
	return changes
}

// Release ends the verdict of a target and forgets its history; ok is false if it has none.
func (j *Judge) Release(now time.Time, id string) (c Change, ok bool) {
	t := j.targets[id]
	if t == nil || t.state == Admitted {
		return Change{}, false
	}
	t.window, t.waiting, t.lastBefore = window{}, nil, j.lastAttempt
	j.setFloors(t)
	c = t.admit(now, Released, Evidence{})
	t.ejections = 0
	j.verdicts--
	return c, true
}

// probersOf returns the nodes that send probes to a target, in the order of their turns.
func (j *Judge) probersOf(t *target) []string {
	names := []string{j.cfg.Node}
	for _, p := range j.peers {
		if p.Name == j.cfg.Node || t.scope == OwnNode || (t.scope == OwnDataCentre && p.DataCentre != j.cfg.DataCentre) {
			continue
		}
		names = append(names, p.Name)
	}
	return rendezvous.Rank(t.ID, names, maxProbers)
}

// aliveElsewhere returns how many other nodes of the scope of a target's verdict receive events of
// it, by their newest reports.
func (j *Judge) aliveElsewhere(t *target) int {
	switch t.scope {
	case OwnNode:
		return 0
	case OwnDataCentre:
		alive := 0
		for r, report := range j.reports {
			if r.Level != DataCentre {
				alive += report[t.ID].Alive
			}
		}
		return alive
	}
	return t.reported.Alive
}

// Work is the kind of a probe.
type Work int

// The kinds of work.
const (
	Item       Work = iota
	Repeatable      // an online request that may be repeated
	AtMostOnce
)

// MayProbe reports whether this node may send a probe of a kind to a target now.
func (j *Judge) MayProbe(now time.Time, id string, work Work) bool {
	t := j.targets[id]
	if t == nil || t.state != OnTrial || t.probe != 0 {
		return false
	}
	since := now.Sub(t.trialAt)
	turn, within := int(since/probeTurn), since%probeTurn
	switch {
	case t.probers[turn%len(t.probers)] != j.cfg.Node:
		return false
	case turn > 0 && j.aliveElsewhere(t) > 0 && now.Sub(t.silentAt) < servedProof: // another node's probe may be being answered
		return false
	case work == Repeatable:
		return within >= repeatableAfter
	case work == AtMostOnce:
		return within >= anyAfter
	}
	return true
}

// Trials returns the targets of a service that are on trial.
func (j *Judge) Trials(service string) []string {
	var out []string
	if s := j.services[service]; s != nil && j.verdicts > 0 {
		for _, t := range s.active {
			if t.state == OnTrial {
				out = append(out, t.ID)
			}
		}
	}
	return out
}

// Status describes a target for operators.
type Status struct {
	State    State
	Cause    Cause // of the newest change; empty: there was none
	Scope    Scope
	Evidence Evidence // over all nodes
	Since    time.Duration
}

// Status returns the status of a target.
func (j *Judge) Status(now time.Time, id string) Status {
	t := j.targets[id]
	if t == nil {
		return Status{}
	}
	sum := j.sum(now, t)
	s := Status{State: t.state, Cause: t.cause, Scope: t.scope, Evidence: sum.all}
	switch t.state {
	case Ejected:
		s.Since = now.Sub(t.ejectedAt)
	case OnTrial:
		s.Since = now.Sub(t.trialAt)
	}
	return s
}
