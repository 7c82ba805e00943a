package choose

import (
	"time"

	"github.com/marblepond/marblepond/internal/request/outlier"
	"github.com/marblepond/marblepond/internal/request/warmup"
)

// maxEjectDoublings bounds the growth of the ejection time.
const maxEjectDoublings = 5

// End records the result of an online request that Begin counted. ejected and
// readmitted report whether that result ejected or readmitted the target.
func (t *Table) End(now time.Time, id string, outcome Outcome) (ejected, readmitted bool) {
	e := t.entries[id]
	if e == nil {
		return false, false
	}
	e.online = max(0, e.online-1)
	return t.RecordOutcome(now, id, outcome.withoutSharedView(false))
}

// RecordOutcome counts an outcome for the ejection of a target after consecutive failures.
// With the shared view on it does nothing: RecordEnd counts for the ejection then.
func (t *Table) RecordOutcome(now time.Time, id string, outcome Outcome) (ejected, readmitted bool) {
	e := t.entries[id]
	if e == nil || t.sharedView {
		return false, false
	}
	wasProbe := e.probing
	e.probing = false
	switch outcome {
	case Success:
		readmitted = !e.ejectedUntil.IsZero()
		e.failures, e.ejections, e.ejectedUntil = 0, 0, time.Time{}
	case Failure:
		if now.Before(e.ejectedUntil) && !wasProbe {
			return false, false // sent before the ejection: the same incident
		}
		e.failures++
		if e.failures >= t.cfg.EjectAfter || wasProbe {
			ejected = true
			e.ejectedUntil = now.Add(t.cfg.EjectTime << min(e.ejections, maxEjectDoublings))
			e.ejections++
		}
	}
	return ejected, readmitted
}

const (
	// slowStartTime is how long after its readmission by the outlier detection a target gets
	// no more than slowStartPerSecond online requests a second from all nodes together, and
	// no batch items. Otherwise all nodes would fill it at once, because it looks empty.
	slowStartTime      = time.Second
	slowStartPerSecond = 4
)

// forgetOwnEjections ends the ejections that followed from consecutive failures, when the
// outlier detection takes over.
func (t *Table) forgetOwnEjections() {
	for _, e := range t.entries {
		e.failures, e.ejections, e.ejectedUntil, e.probing = 0, 0, time.Time{}, false
	}
}

// Judge evaluates the evidence about all targets, and returns the verdicts that changed. It
// does nothing while the shared view is off.
func (t *Table) Judge(now time.Time) []outlier.Change {
	if !t.sharedView {
		return nil
	}
	changes := t.judge.Step(now)
	for _, c := range changes {
		t.apply(now, c)
	}
	return changes
}

// apply makes a changed verdict effective.
func (t *Table) apply(now time.Time, c outlier.Change) {
	e := t.entries[c.Target]
	if e == nil {
		return
	}
	e.state = c.State
	if c.State == outlier.Admitted {
		e.readmittedAt, e.readmissionTurn = now, warmup.NoTurn
	}
}

// Release ends the verdict on a target; ok is false if there is none.
func (t *Table) Release(now time.Time, id string) (c outlier.Change, ok bool) {
	if c, ok = t.judge.Release(now, id); ok {
		t.apply(now, c)
	}
	return c, ok
}

// HasVerdicts reports whether the outlier detection has ejected targets or has them on
// trial.
func (t *Table) HasVerdicts() bool { return t.sharedView && t.judge.HasVerdicts() }

// VerdictCounts returns how many targets the outlier detection has ejected and on trial.
func (t *Table) VerdictCounts() (ejected, onTrial int) {
	for _, e := range t.entries {
		switch e.state {
		case outlier.Ejected:
			ejected++
		case outlier.OnTrial:
			onTrial++
		}
	}
	return ejected, onTrial
}

// SetProbers replaces the reachable nodes that may send probes to targets on trial.
func (t *Table) SetProbers(peers []outlier.Peer) { t.judge.SetPeers(peers) }

// probeFor returns the target on trial to which the work is sent as a probe; nil: none.
func (t *Table) probeFor(now time.Time, need Need) *entry {
	if !t.HasVerdicts() || need.NoProbe || need.Apart {
		return nil
	}
	work := outlier.AtMostOnce
	switch {
	case need.Batch:
		work = outlier.Item
	case need.Repeatable:
		work = outlier.Repeatable
	}
	need.probe = true
	for _, id := range t.judge.Trials(need.Service) {
		e := t.entries[id]
		if e == nil || need.Exclude[id] || t.reason(now, e, need) != "" || !t.judge.MayProbe(now, id, work) {
			continue
		}
		if need.Batch && need.Limit != nil && e.batch >= need.Limit(e.Target) {
			continue
		}
		return e
	}
	return nil
}

// hasReadmissionTurn reports whether this node may send work to a target in slow start after
// its readmission. The nodes take turns, as at cold targets.
func (t *Table) hasReadmissionTurn(now time.Time, e *entry, need Need) bool {
	if !e.isInSlowStart(now) {
		return true
	}
	if need.Batch {
		return false
	}
	turn := t.position.Turn(e.ID, now.Sub(e.readmittedAt), slowStartPerSecond)
	return turn != warmup.NoTurn && turn != e.readmissionTurn
}

func (e *entry) isInSlowStart(now time.Time) bool {
	return !e.readmittedAt.IsZero() && now.Sub(e.readmittedAt) < slowStartTime
}

// useReadmissionTurn records that this node uses its current turn.
func (t *Table) useReadmissionTurn(now time.Time, e *entry) {
	if e.isInSlowStart(now) {
		e.readmissionTurn = t.position.Turn(e.ID, now.Sub(e.readmittedAt), slowStartPerSecond)
	}
}

// allowedExclusions returns the need of a batch item without its exclusions if these leave
// no target of the service that may take it: an item that failed everywhere may be tried anywhere.
func (t *Table) allowedExclusions(now time.Time, need Need) Need {
	if !need.Batch || len(need.Exclude) == 0 {
		return need
	}
	for _, id := range t.byService[need.Service] {
		if need.Exclude[id] {
			continue
		}
		if reason := t.reason(now, t.entries[id], need); reason == "" || reason == WarmingUp {
			return need
		}
	}
	need.Exclude = nil
	return need
}
