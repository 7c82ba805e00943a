package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/request/fingerprint"
)

const (
	// settleTime is the age from which a crash counts: by then the simultaneous losses of
	// other nodes are known here too. Reports take two gossip rounds of 0.1 s to reach
	// other data centres.
	settleTime = 300 * time.Millisecond
	// Targets count as killed together, by something other than a request, if their ends are
	// noticed within togetherWithin and they are at least togetherShare of the targets of a
	// service, and at least minTogether. A request runs at one target at a time, so several
	// crashing requests do not end that many targets at one moment by chance; killedTogether
	// handles those that arrive in step.
	togetherWithin = 50 * time.Millisecond
	togetherShare  = 1.0 / 3
	minTogether    = 3
	// minSoleSuspect is the least number of crashes of the work at which no other suspect
	// is as likely. It protects harmless requests that often run beside crashing ones.
	minSoleSuspect = 1
	// certainFactor times the limit of crashes is enough whatever other work was in flight:
	// work that always runs together could otherwise never be refused.
	certainFactor = 2
)

// Verdict is the decision that requests are refused that have all of its suspects: the
// fingerprint of work, or those of one or more parts of a prompt.
type Verdict struct {
	Suspects []fingerprint.ID
	Targets  []Target  // whose crashes led to it, oldest first
	Since    time.Time // of the last of them
	Until    time.Time // when it expires, unless more targets crash
}

// OfParts reports whether the verdict is on parts of prompts.
func (v Verdict) OfParts() bool { return v.Suspects[0].Kind() == fingerprint.OfPart }

// Concerns reports whether a request with the given fingerprints is refused.
func (v Verdict) Concerns(ids []fingerprint.ID) bool {
	for _, suspect := range v.Suspects {
		if !slices.Contains(ids, suspect) {
			return false
		}
	}
	return true
}

// Refused returns the verdict on a request with the given fingerprints, and whether it is
// refused.
func (t *Table) Refused(now time.Time, ids ...fingerprint.ID) (Verdict, bool) {
	t.derive(now)
	for _, v := range t.verdicts {
		if v.Concerns(ids) {
			return v, true
		}
	}
	return Verdict{}, false
}

// Suspected reports whether work was in flight at a crash that nothing else explains and
// has not been answered completely since, or whether a part of its prompt was at several such
// crashes while other requests have been answered.
func (t *Table) Suspected(now time.Time, ids ...fingerprint.ID) bool {
	t.derive(now)
	return slices.ContainsFunc(ids, func(id fingerprint.ID) bool { return t.suspected[id] })
}

// Verdicts returns all verdicts, by fingerprint.Join of their suspects.
func (t *Table) Verdicts(now time.Time) map[fingerprint.ID]Verdict {
	t.derive(now)
	return maps.Clone(t.verdicts)
}

// derive updates the verdicts.
func (t *Table) derive(now time.Time) {
	if !t.verdictsStale && now.Before(t.validUntil) {
		return
	}
	t.Expire(now)
	t.verdictsStale = false
	t.validUntil = now.Add(t.cfg.Retention)
	eval := newEvaluation(t.cfg, now)
	order := t.inOrder()
	eval.noteSound(order)
	for i, c := range order {
		t.validUntil = earlier(t.validUntil, c.nextChange(now, t.cfg.Retention))
		if now.Sub(c.at) >= settleTime {
			eval.add(c, crashesNear(order, i))
		}
	}
	t.verdicts, t.suspected = eval.verdicts, eval.suspected()
}

// nextChange returns when the crash next counts in another way.
func (c *crash) nextChange(now time.Time, retention time.Duration) time.Time {
	next := c.at.Add(retention)
	for _, at := range []time.Time{c.at.Add(settleTime), c.answeredSince.Add(answeredTime), c.answeredSince.Add(burstAnsweredTime)} {
		if at.After(now) {
			next = earlier(next, at)
		}
	}
	return next
}

// answeredFor reports whether other requests have been answered for a time since the crash.
func (c *crash) answeredFor(now time.Time, d time.Duration) bool {
	return !c.answeredSince.IsZero() && now.Sub(c.answeredSince) >= d
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// inOrder returns the crashes, oldest first.
func (t *Table) inOrder() []*crash {
	return slices.SortedFunc(maps.Values(t.crashes), func(a, b *crash) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.target.ID, b.target.ID), cmp.Compare(a.target.Incarnation, b.target.Incarnation))
	})
}

// crashesNear returns the other crashes within togetherWithin of crash i; order is sorted by
// time.
func crashesNear(order []*crash, i int) []*crash {
	at := order[i].at
	from, to := i, i+1
	for from > 0 && at.Sub(order[from-1].at) <= togetherWithin {
		from--
	}
	for to < len(order) && order[to].at.Sub(at) <= togetherWithin {
		to++
	}
	return slices.Concat(order[from:i], order[i+1:to])
}
