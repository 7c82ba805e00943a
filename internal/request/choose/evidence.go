package choose

import (
	"time"

	"github.com/marblepond/marblepond/internal/request/outlier"
)

// judgeTargets passes the list of targets to the outlier detection, if the shared view is on.
func (t *Table) judgeTargets() {
	if !t.sharedView {
		return
	}
	list := make([]outlier.Target, 0, len(t.order))
	for _, id := range t.order {
		e := t.entries[id]
		list = append(list, outlier.Target{ID: id, Incarnation: e.Incarnation, Service: e.Service, Leaving: !e.isServing()})
	}
	t.judge.SetTargets(list)
}

// begin returns the chosen target as the target of an attempt.
func (t *Table) begin(now time.Time, e *entry, need Need) Target {
	chosen := e.Target
	chosen.Apart = need.Apart
	if t.sharedView {
		chosen.FoundFree = e.freeAt(now) > 0
		if !need.Batch {
			chosen.Estimate = t.estimateFirstEvent(now, e)
		}
		chosen.Attempt = t.judge.Begin(now, e.ID)
	}
	return chosen
}

// Evidence returns the evidence for a report of a level, by target; nil while the shared
// view is off.
func (t *Table) Evidence(now time.Time, level outlier.Level) map[string]outlier.Evidence {
	if !t.sharedView {
		return nil
	}
	return t.judge.Report(now, level)
}

// SetEvidence replaces the evidence that a reporter stated; nil removes it. It is kept while
// the shared view is off, for the moment when it is turned on.
func (t *Table) SetEvidence(from outlier.Reporter, evidence map[string]outlier.Evidence) {
	t.judge.SetReport(from, evidence)
}

// RecordAttemptEvent records that an event of an attempt arrived.
func (t *Table) RecordAttemptEvent(now time.Time, target Target) {
	t.RecordEvent(now, target.ID)
	if t.sharedView {
		t.judge.Event(now, target.ID, target.Attempt)
	}
}

// aliveAt reports whether any node received an event of a target lately: this node itself,
// or others by their newest reports. Such a target serves its queue.
func (t *Table) aliveAt(now time.Time, e *entry) bool { return t.judge.Alive(now, e.ID) }

// RecordEnd records the end of an attempt as evidence, in addition to End or EndBatch.
func (t *Table) RecordEnd(now time.Time, target Target, outcome Outcome) {
	if target.Attempt != 0 {
		t.judge.End(now, target.ID, target.Attempt, evidenceOf(target, outcome))
	}
}

// evidenceOf returns what an outcome says about the target.
func evidenceOf(target Target, outcome Outcome) outlier.Outcome {
	switch outcome {
	case Success:
		return outlier.Succeeded
	case Failure, ErrorAnswer, WrongIdentity:
		if target.Apart {
			return outlier.NoEvidence // the request is suspected of crashing targets
		}
		return outlier.Failed
	case Stalled:
		return outlier.GivenUp
	case Withdrawn:
		return outlier.NoEvidence
	}
	return outlier.BrokenOff
}

// RecordRefusal records that a target refused an online request because it is full: the
// request is not unanswered while it waits there.
func (t *Table) RecordRefusal(target Target) {
	if target.Attempt != 0 {
		t.judge.Refused(target.ID, target.Attempt)
	}
}

// RecordUsualFirstEvent records the time to the first event of an online request for the
// usual one, by which attempts count as unanswered.
func (t *Table) RecordUsualFirstEvent(target Target, took time.Duration) {
	if t.sharedView {
		t.judge.FirstEvent(target.ID, took)
	}
}
