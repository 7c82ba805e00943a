package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/request/fingerprint"
)

const (
	// settle is how old a crash must be to count: by then what other nodes lost at
	// the same moment is known here too. News takes two rounds of 0.1 s to reach
	// other data centres.
	settle = 300 * time.Millisecond
	// togetherWithin is how close the ends of targets that were killed at once are
	// noticed, and togetherShare the share of a service's targets, and togetherLeast
	// the number, that count as killed at once. One request runs at one target at a
	// time, so that several that end targets do not come to that many at a moment by
	// chance; where they come in step, see together.
	togetherWithin = 50 * time.Millisecond
	togetherShare  = 1.0 / 3
	togetherLeast  = 3
	// aloneLeast is at how many of its crashes no other work may have been that was
	// at several: it keeps proper requests clear that are often beside several bad ones.
	aloneLeast = 1
	// certainFactor times the limit is enough whoever else was there: work that
	// always comes together would never be told apart.
	certainFactor = 2
)

// Verdict says why work is refused.
type Verdict struct {
	Targets []Target  // whose crashes decided it, oldest first
	Since   time.Time // of the last of them
	Until   time.Time // when it is let go, unless targets crash under it again
}

// Refused returns the verdict on work; false: it is not refused.
func (t *Table) Refused(now time.Time, work fingerprint.ID) (Verdict, bool) {
	t.derive(now)
	v, refused := t.verdicts[work]
	return v, refused
}

// Suspected reports whether work was in flight at a crash that nothing else explains and
// was not answered whole since.
func (t *Table) Suspected(now time.Time, work fingerprint.ID) bool {
	t.derive(now)
	return t.suspects[work]
}

// Verdicts returns all verdicts.
func (t *Table) Verdicts(now time.Time) map[fingerprint.ID]Verdict {
	t.derive(now)
	return maps.Clone(t.verdicts)
}

// derive brings the verdicts up to date.
func (t *Table) derive(now time.Time) {
	if !t.stale && now.Before(t.until) {
		return
	}
	t.Expire(now)
	t.stale = false
	t.until = now.Add(t.cfg.Retention)
	trial := newTrial(t.cfg)
	order := t.inOrder()
	for i, c := range order {
		if age := now.Sub(c.at); age < settle {
			t.until = earlier(t.until, c.at.Add(settle))
			continue
		}
		t.until = earlier(t.until, c.at.Add(t.cfg.Retention))
		near := around(order, i)
		trial.hear(c, slices.DeleteFunc(c.accused(), func(work fingerprint.ID) bool { return trial.together(c, work, near) }))
	}
	t.verdicts, t.suspects = trial.verdicts, trial.suspects()
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

// trial goes through crashes in their order. A verdict depends on what came before
// it only, so that later crashes don't overturn it.
type trial struct {
	cfg      Config
	history  map[fingerprint.ID][]*crash // that nothing else explains, by work
	verdicts map[fingerprint.ID]Verdict
}

func newTrial(cfg Config) *trial {
	return &trial{cfg: cfg, history: map[fingerprint.ID][]*crash{}, verdicts: map[fingerprint.ID]Verdict{}}
}

// hear takes the next crash, with the work that may have caused it.
func (t *trial) hear(c *crash, suspects []fingerprint.ID) {
	if slices.ContainsFunc(c.accused(), t.refused) {
		return
	}
	for _, work := range suspects {
		t.history[work] = append(t.history[work], c)
	}
	for _, work := range suspects {
		if t.guilty(work) {
			t.refuse(work)
			return
		}
	}
}

// around returns the other crashes within togetherWithin of one, of all in their order.
func around(order []*crash, i int) []*crash {
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

// together reports whether a crash is one of many at the same moment that work did not
// cause: those at which it was not in flight, and this one. Work that is sent on at
// once can crash several targets within a moment, one after the other. Nor do those
// count at which other work was that is suspected already: several that end targets may
// come in step.
func (t *trial) together(c *crash, work fingerprint.ID, near []*crash) bool {
	ended := 1
	for _, other := range near {
		if s, there := other.work[work]; !(there && s == accused) && !t.explains(other) {
			ended++
		}
	}
	return ended >= togetherLeast && float64(ended) >= togetherShare*float64(c.targets)
}

// explains reports whether suspected or refused work was at a crash.
func (t *trial) explains(c *crash) bool {
	for work, s := range c.work {
		if s == accused && (len(t.history[work]) > 0 || t.refused(work)) {
			return true
		}
	}
	return false
}

// suspects returns the work at crashes that nothing else explains.
func (t *trial) suspects() map[fingerprint.ID]bool {
	out := map[fingerprint.ID]bool{}
	for work, crashes := range t.history {
		if len(crashes) > 0 {
			out[work] = true
		}
	}
	return out
}

func (t *trial) refused(work fingerprint.ID) bool {
	_, refused := t.verdicts[work]
	return refused
}

// guilty reports whether work is the likely cause of its crashes.
func (t *trial) guilty(work fingerprint.ID) bool {
	crashes := len(t.history[work])
	return crashes >= certainFactor*t.cfg.Limit || (crashes >= t.cfg.Limit && t.alone(work) >= aloneLeast)
}

// alone returns at how many of its crashes no other work was that was at several.
func (t *trial) alone(work fingerprint.ID) int {
	n := 0
	for _, c := range t.history[work] {
		if !slices.ContainsFunc(c.accused(), func(other fingerprint.ID) bool { return other != work && len(t.history[other]) > 1 }) {
			n++
		}
	}
	return n
}

// refuse gives a verdict. What was beside the work is excused.
func (t *trial) refuse(work fingerprint.ID) {
	crashes := t.history[work]
	v := Verdict{Since: crashes[len(crashes)-1].at, Until: crashes[len(crashes)-t.cfg.Limit].at.Add(t.cfg.Retention)}
	for _, c := range crashes {
		v.Targets = append(v.Targets, c.target)
	}
	t.verdicts[work] = v
	delete(t.history, work)
	for other, history := range t.history {
		t.history[other] = slices.DeleteFunc(history, func(c *crash) bool { return slices.Contains(crashes, c) })
	}
}

// accused returns the work that may be the cause, in a fixed order.
func (c *crash) accused() []fingerprint.ID {
	var out []fingerprint.ID
	for work, s := range c.work {
		if s == accused {
			out = append(out, work)
		}
	}
	slices.SortFunc(out, func(a, b fingerprint.ID) int { return slices.Compare(a[:], b[:]) })
	return out
}
