package choose

import (
	"maps"
	"slices"
	"time"
)

// RecordEvent records that an event of a target's answer arrived now.
func (t *Table) RecordEvent(now time.Time, id string) {
	if e := t.entries[id]; e != nil {
		e.lastEventAt = now
	}
}

// Wait is an online request that waits for an event of a target.
type Wait struct {
	Target Target
	For    time.Duration // since it was sent or since its newest event
	Begun  bool          // the target has sent an event of the answer
	// AliveWithin is the time since the newest event of any request within which a target
	// is alive.
	AliveWithin time.Duration
}

const (
	// patienceFactor is the multiple of the expected time to the next event from which on a
	// request counts as overdue. An attempt that is given up loses its place in the queue
	// and has to begin its prompt again, and a target in a slow phase of seconds takes four
	// times as long. With a smaller factor most attempts given up are at healthy targets.
	patienceFactor = 8
	// slackPatienceFactor is the same while most other targets have several free slots: then
	// the request is served at once wherever it is sent.
	slackPatienceFactor = 2
	// silentPatienceFactor is the same at a target of which no node received an event lately.
	silentPatienceFactor = 3
	// maxPatience is the time after which a request is overdue whatever was expected:
	// callers abandon a stream after 2 s without an event.
	maxPatience = time.Second
)

// BetterElsewhere reports whether an online request that waits for an event of a
// target would probably get it sooner at another one. A target that sent an event
// within w.AliveWithin is alive and serves its queue, so only a free slot elsewhere
// is better. Otherwise it may be dead, and any target that accepts the request is
// better. With the shared view on, the request has to be overdue (see patienceAt), or its target
// judged to fail, and another target estimated to be sooner.
func (t *Table) BetterElsewhere(now time.Time, w Wait, need Need) bool {
	id := w.Target.ID
	need.Exclude = maps.Clone(need.Exclude)
	if need.Exclude == nil {
		need.Exclude = map[string]bool{}
	}
	need.Exclude[id] = true
	others := t.usable(now, need)
	e := t.entries[id]
	if expected := t.expected(e, w); t.sharedView && expected > 0 {
		patience := min(t.patienceAt(now, e, w, others)*expected, maxPatience)
		return w.For >= patience && t.anyWithin(now, others, w.For)
	}
	if e == nil || !t.aliveLately(now, e, w.AliveWithin) {
		return len(others) > 0
	}
	return len(filter(others, func(other *entry) bool { return other.freeOnline(now) > 0 })) > 0
}

// failing reports whether a target is out of use because it does not work. One that leaves
// still finishes what it has.
func (t *Table) failing(now time.Time, e *entry) bool {
	reason := t.reason(now, e, Need{})
	return reason == Failing || reason == Unhealthy || reason == Outlier
}

// expected returns how long a request has to expect to wait for the next event of its target;
// 0: not known. An overdue request has to expect to wait as long again as it has waited, so
// that any target with a shorter estimate is better.
func (t *Table) expected(e *entry, w Wait) time.Duration {
	if e == nil {
		return 0
	}
	if w.Begun {
		return e.paceSum.mean()
	}
	unqueued := time.Duration(float64(t.serviceSums(e.Service).FirstEvent.mean()) * e.pace())
	return max(unqueued, w.Target.Estimate)
}

// patienceAt returns the multiple of the expected time from which on a request counts as
// overdue at a target, when it could be sent to the others.
func (t *Table) patienceAt(now time.Time, e *entry, w Wait, others []*entry) time.Duration {
	switch {
	case t.failing(now, e):
		return 0
	case mostHaveRoom(now, others):
		return slackPatienceFactor
	case !t.aliveLately(now, e, w.AliveWithin):
		return silentPatienceFactor
	}
	return patienceFactor
}

// mostHaveRoom reports whether most targets have so many free slots that one is free despite
// the age of the reports.
func mostHaveRoom(now time.Time, entries []*entry) bool {
	withRoom := filter(entries, func(e *entry) bool { return e.freeOnline(now) >= remoteMinFree })
	return 2*len(withRoom) > len(entries)
}

// anyWithin reports whether any of the targets is estimated to send the first event sooner
// than within the given time.
func (t *Table) anyWithin(now time.Time, entries []*entry, within time.Duration) bool {
	return slices.ContainsFunc(entries, func(e *entry) bool { return t.estimateFirstEvent(now, e) < within })
}

// aliveLately reports whether a target sent an event within aliveWithin. In a fleet of many
// nodes a node receives events of a target only now and then; with the shared view on,
// those that other nodes received count too.
func (t *Table) aliveLately(now time.Time, e *entry, aliveWithin time.Duration) bool {
	return now.Sub(e.lastEventAt) <= aliveWithin || (t.sharedView && t.aliveAt(now, e))
}
