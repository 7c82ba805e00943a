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
	// has more than one crash itself. It protects harmless requests that often run beside
	// crashing ones.
	minSoleSuspect = 1
	// certainFactor times the limit of crashes is enough whatever other work was in flight:
	// work that always runs together could otherwise never be refused.
	certainFactor = 2
)

// Verdict is the decision that work is refused.
type Verdict struct {
	Targets []Target  // whose crashes led to it, oldest first
	Since   time.Time // of the last of them
	Until   time.Time // when it expires, unless the work crashes targets again
}

// Refused returns the verdict on work, and whether it is refused.
func (t *Table) Refused(now time.Time, work fingerprint.ID) (Verdict, bool) {
	t.derive(now)
	v, refused := t.verdicts[work]
	return v, refused
}

// Suspected reports whether work was in flight at a crash that nothing else explains and
// has not been answered completely since.
func (t *Table) Suspected(now time.Time, work fingerprint.ID) bool {
	t.derive(now)
	return t.suspectedWork[work]
}

// Verdicts returns all verdicts.
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
	eval := newEvaluation(t.cfg)
	order := t.inOrder()
	for i, c := range order {
		if age := now.Sub(c.at); age < settleTime {
			t.validUntil = earlier(t.validUntil, c.at.Add(settleTime))
			continue
		}
		t.validUntil = earlier(t.validUntil, c.at.Add(t.cfg.Retention))
		near := crashesNear(order, i)
		eval.add(c, slices.DeleteFunc(c.suspects(), func(work fingerprint.ID) bool { return eval.killedTogether(c, work, near) }))
	}
	t.verdicts, t.suspectedWork = eval.verdicts, eval.suspectedWork()
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

// evaluation derives verdicts from crashes in their order. A verdict depends on earlier
// crashes only, so later ones don't overturn it.
type evaluation struct {
	cfg         Config
	unexplained map[fingerprint.ID][]*crash // crashes that nothing else explains, by suspect
	verdicts    map[fingerprint.ID]Verdict
}

func newEvaluation(cfg Config) *evaluation {
	return &evaluation{cfg: cfg, unexplained: map[fingerprint.ID][]*crash{}, verdicts: map[fingerprint.ID]Verdict{}}
}

// add evaluates the next crash, with the suspects that may have caused it.
func (e *evaluation) add(c *crash, suspects []fingerprint.ID) {
	if slices.ContainsFunc(c.suspects(), e.refused) {
		return
	}
	for _, work := range suspects {
		e.unexplained[work] = append(e.unexplained[work], c)
	}
	for _, work := range suspects {
		if e.isLikelyCause(work) {
			e.refuse(work)
			return
		}
	}
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

// killedTogether reports whether the target of a crash was killed together with others by
// something other than the given work. Crashes near it of which the work is a suspect do not
// count, since work that is retried at once can crash several targets one after the other
// within a moment. Nor do crashes that other suspected or refused work explains, since
// several crashing requests may arrive in step.
func (e *evaluation) killedTogether(c *crash, work fingerprint.ID, near []*crash) bool {
	ended := 1
	for _, other := range near {
		if s, there := other.work[work]; !(there && s == suspect) && !e.explained(other) {
			ended++
		}
	}
	return ended >= minTogether && float64(ended) >= togetherShare*float64(c.targets)
}

// explained reports whether a suspect of a crash is already suspected or refused.
func (e *evaluation) explained(c *crash) bool {
	for work, s := range c.work {
		if s == suspect && (len(e.unexplained[work]) > 0 || e.refused(work)) {
			return true
		}
	}
	return false
}

// suspectedWork returns the suspects of crashes that nothing else explains.
func (e *evaluation) suspectedWork() map[fingerprint.ID]bool {
	out := map[fingerprint.ID]bool{}
	for work, crashes := range e.unexplained {
		if len(crashes) > 0 {
			out[work] = true
		}
	}
	return out
}

func (e *evaluation) refused(work fingerprint.ID) bool {
	_, refused := e.verdicts[work]
	return refused
}

// isLikelyCause reports whether work is to be refused as the likely cause of its crashes.
func (e *evaluation) isLikelyCause(work fingerprint.ID) bool {
	crashes := len(e.unexplained[work])
	return crashes >= certainFactor*e.cfg.Limit || (crashes >= e.cfg.Limit && e.soleSuspectCrashes(work) >= minSoleSuspect)
}

// soleSuspectCrashes returns the number of crashes of the work at which no other suspect has
// more than one unexplained crash.
func (e *evaluation) soleSuspectCrashes(work fingerprint.ID) int {
	n := 0
	for _, c := range e.unexplained[work] {
		if !slices.ContainsFunc(c.suspects(), func(other fingerprint.ID) bool { return other != work && len(e.unexplained[other]) > 1 }) {
			n++
		}
	}
	return n
}

// refuse adds the verdict on work. Its crashes are then explained and no longer count against
// other suspects.
func (e *evaluation) refuse(work fingerprint.ID) {
	crashes := e.unexplained[work]
	v := Verdict{Since: crashes[len(crashes)-1].at, Until: crashes[len(crashes)-e.cfg.Limit].at.Add(e.cfg.Retention)}
	for _, c := range crashes {
		v.Targets = append(v.Targets, c.target)
	}
	e.verdicts[work] = v
	delete(e.unexplained, work)
	for other, otherCrashes := range e.unexplained {
		e.unexplained[other] = slices.DeleteFunc(otherCrashes, func(c *crash) bool { return slices.Contains(crashes, c) })
	}
}

// suspects returns the work that may have caused the crash, in a fixed order.
func (c *crash) suspects() []fingerprint.ID {
	var out []fingerprint.ID
	for work, s := range c.work {
		if s == suspect {
			out = append(out, work)
		}
	}
	slices.SortFunc(out, func(a, b fingerprint.ID) int { return slices.Compare(a[:], b[:]) })
	return out
}
