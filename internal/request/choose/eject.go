package choose

import "time"

// maxEjectDoublings bounds the growth of the time a target is left out.
const maxEjectDoublings = 5

// End takes the result of an online request. ejected is true when the target
// was taken out by it, readmitted when it was let back in.
func (t *Table) End(now time.Time, id string, outcome Outcome) (ejected, readmitted bool) {
	e := t.entries[id]
	if e == nil {
		return false, false
	}
	e.online = max(0, e.online-1)
	return t.RecordOutcome(now, id, outcome)
}

// RecordOutcome counts an outcome for or against a target.
func (t *Table) RecordOutcome(now time.Time, id string, outcome Outcome) (ejected, readmitted bool) {
	e := t.entries[id]
	if e == nil {
		return false, false
	}
	wasTrial := e.trial
	e.trial = false
	switch outcome {
	case Success:
		readmitted = !e.ejectedUntil.IsZero()
		e.failures, e.ejections, e.ejectedUntil = 0, 0, time.Time{}
	case Failure:
		if now.Before(e.ejectedUntil) && !wasTrial {
			return false, false // sent before it was taken out; the same trouble
		}
		e.failures++
		if e.failures >= t.cfg.EjectAfter || wasTrial {
			ejected = true
			e.ejectedUntil = now.Add(t.cfg.EjectTime << min(e.ejections, maxEjectDoublings))
			e.ejections++
		}
	}
	return ejected, readmitted
}
