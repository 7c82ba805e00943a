package quarantine

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/request/fingerprint"
)

// crashSet is a set of positions in evaluation.crashes, of which there are at most maxCrashes.
type crashSet [maxCrashes / 64]uint64

func (s *crashSet) add(position int) { s[position/64] |= 1 << (position % 64) }

func (s crashSet) count() int {
	n := 0
	for _, word := range s {
		n += bits.OnesCount64(word)
	}
	return n
}

func (s crashSet) and(other crashSet) crashSet {
	for i := range s {
		s[i] &= other[i]
	}
	return s
}

func (s crashSet) without(other crashSet) crashSet {
	for i := range s {
		s[i] &^= other[i]
	}
	return s
}

func (s crashSet) empty() bool { return s == crashSet{} }

// positions returns the positions in ascending order.
func (s crashSet) positions() []int {
	var out []int
	for i, word := range s {
		for ; word != 0; word &= word - 1 {
			out = append(out, 64*i+bits.TrailingZeros64(word))
		}
	}
	return out
}

// evaluation derives verdicts from crashes in their order. A verdict depends on earlier crashes
// only, so later ones do not overturn it. Its crashes are then explained and no longer count
// against others.
type evaluation struct {
	cfg         Config
	now         time.Time
	crashes     []*crash                    // oldest first
	kills       crashSet                    // crashes that are among many at one moment
	decided     crashSet                    // crashes that a verdict explains
	unexplained map[fingerprint.ID]crashSet // that are not decided, by suspect
	everSuspect map[fingerprint.ID]bool     // work that was suspect of an earlier crash
	sound       map[fingerprint.ID]bool     // cleared of some crash
	verdicts    map[fingerprint.ID]Verdict
}

func newEvaluation(cfg Config, now time.Time) *evaluation {
	return &evaluation{cfg: cfg, now: now, unexplained: map[fingerprint.ID]crashSet{}, everSuspect: map[fingerprint.ID]bool{}, sound: map[fingerprint.ID]bool{}, verdicts: map[fingerprint.ID]Verdict{}}
}

// noteSound notes what has been cleared of any of the crashes.
func (e *evaluation) noteSound(crashes []*crash) {
	for _, c := range crashes {
		for id, s := range c.states {
			if s == cleared {
				e.sound[id] = true
			}
		}
	}
}

// add evaluates the next crash; near are the others at that moment.
func (e *evaluation) add(c *crash, near []*crash) {
	position := len(e.crashes)
	e.crashes = append(e.crashes, c)
	if isKill(1+len(near), c.targets) {
		e.kills.add(position)
	}
	for _, v := range e.verdicts {
		if c.hasSuspects(v.Suspects) {
			e.decided.add(position)
			return
		}
	}
	suspects := slices.DeleteFunc(slices.Clone(c.suspects), func(id fingerprint.ID) bool { return e.killedTogether(c, id, near) })
	for _, id := range suspects {
		crashes := e.unexplained[id]
		crashes.add(position)
		e.unexplained[id] = crashes
		if id.Kind() == fingerprint.OfWork {
			e.everSuspect[id] = true
		}
	}
	if suspects := e.mostLikelyCause(c); suspects != nil {
		e.refuse(suspects)
	}
}

// isKill reports whether so many of the targets of a service, ended at one moment, were killed.
func isKill(ended, targets int) bool {
	return ended >= minTogether && float64(ended) >= togetherShare*float64(targets)
}

// killedTogether reports whether the target of a crash was killed together with others by
// something other than the given work. Crashes near it of which the work is a suspect do not
// count, since work that is retried at once can crash several targets one after the other
// within a moment. Nor do crashes that other suspected work explains, since several crashing
// requests may arrive in step. Parts of prompts are not excluded here: many requests with one
// part may be in flight at a moment, whether it is the cause or not, see partIsCause.
func (e *evaluation) killedTogether(c *crash, id fingerprint.ID, near []*crash) bool {
	if id.Kind() == fingerprint.OfPart {
		return false
	}
	ended := 1
	for _, other := range near {
		if s, there := other.states[id]; !(there && s == suspect) && !e.explained(other) {
			ended++
		}
	}
	return isKill(ended, c.targets)
}

// explained reports whether a suspect of a crash is work that was suspect of an earlier one.
func (e *evaluation) explained(c *crash) bool {
	for id, s := range c.states {
		if s == suspect && e.everSuspect[id] {
			return true
		}
	}
	return false
}

// mostLikelyCause returns the suspects of a crash that are to be refused as the cause of their
// crashes, nil if there are none.
func (e *evaluation) mostLikelyCause(c *crash) []fingerprint.ID {
	for _, group := range e.groups(c) {
		i := slices.IndexFunc(group, func(id fingerprint.ID) bool { return id.Kind() == fingerprint.OfPart })
		if i < 0 {
			i = len(group)
		}
		works, parts := group[:i], group[i:]
		switch {
		case len(works) == 1 || len(parts) == 0:
			if e.workIsCause(works[0], len(parts) > 0) {
				return works[:1]
			}
		case e.partIsCause(parts, len(works) > 1):
			return parts
		}
	}
	return nil
}

// groups returns the suspects of a crash that have at least as many unexplained ones as the
// limit, those of the same crashes together, work before parts; the groups with most crashes
// first. Items of batch jobs are not among them.
func (e *evaluation) groups(c *crash) [][]fingerprint.ID {
	byCrashes := map[crashSet][]fingerprint.ID{}
	for _, id := range c.suspects {
		if crashes := e.unexplained[id]; id.Kind() != fingerprint.OfItem && crashes.count() >= e.cfg.Limit {
			byCrashes[crashes] = append(byCrashes[crashes], id)
		}
	}
	var groups [][]fingerprint.ID
	for _, g := range byCrashes {
		slices.SortFunc(g, func(a, b fingerprint.ID) int { return cmp.Or(cmp.Compare(a.Kind(), b.Kind()), compareIDs(a, b)) })
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b []fingerprint.ID) int {
		return cmp.Or(cmp.Compare(e.unexplained[b[0]].count(), e.unexplained[a[0]].count()), compareIDs(a[0], b[0]))
	})
	return groups
}

// workIsCause reports whether work is to be refused as the likely cause of its crashes; tied
// says that parts of prompts are suspects of just the same ones. They may be its own, or those
// of another request that was there each time.
func (e *evaluation) workIsCause(work fingerprint.ID, tied bool) bool {
	crashes, limit := e.unexplained[work].count(), e.cfg.Limit
	if crashes >= certainFactor*limit {
		return true
	}
	if tied {
		limit++
	}
	return crashes >= limit && e.soleSuspectCrashes(work) >= minSoleSuspect
}

// soleSuspectCrashes returns the number of crashes of the work at which no other work, apart from
// items, has more than one unexplained crash, and no part of a prompt as many as the work, and
// others.
func (e *evaluation) soleSuspectCrashes(work fingerprint.ID) int {
	crashes := e.unexplained[work]
	rival := func(id fingerprint.ID) bool {
		others := e.unexplained[id]
		switch id.Kind() {
		case fingerprint.OfItem:
			return false
		case fingerprint.OfPart:
			return others.count() >= crashes.count() && others != crashes
		}
		return id != work && others.count() > 1
	}
	n := 0
	for _, position := range crashes.positions() {
		if !slices.ContainsFunc(e.crashes[position].suspects, rival) {
			n++
		}
	}
	return n
}

// suspected returns the suspects of crashes that nothing else explains; parts only if they came
// at several moments, and requests without them have been answered since.
func (e *evaluation) suspected() map[fingerprint.ID]bool {
	out := map[fingerprint.ID]bool{}
	for id, crashes := range e.unexplained {
		switch {
		case id.Kind() == fingerprint.OfItem:
		case id.Kind() == fingerprint.OfWork, !e.sound[id] && e.moments(e.answered(crashes.without(e.kills), 0)) > 1:
			out[id] = true
		}
	}
	return out
}

// refuse adds the verdict on suspects of the same crashes, which explains these.
func (e *evaluation) refuse(suspects []fingerprint.ID) {
	positions := e.unexplained[suspects[0]].positions()
	v := Verdict{Suspects: suspects, Since: e.crashes[positions[len(positions)-1]].at, Until: e.crashes[positions[len(positions)-e.cfg.Limit]].at.Add(e.cfg.Retention)}
	for _, p := range positions {
		v.Targets = append(v.Targets, e.crashes[p].target)
	}
	e.verdicts[fingerprint.Join(suspects)] = v
	for _, p := range positions {
		e.decided.add(p)
	}
	for id, crashes := range e.unexplained {
		if crashes = crashes.without(e.decided); crashes.empty() {
			delete(e.unexplained, id)
		} else {
			e.unexplained[id] = crashes
		}
	}
}

// hasSuspects reports whether all the given IDs are suspects of the crash.
func (c *crash) hasSuspects(ids []fingerprint.ID) bool {
	return !slices.ContainsFunc(ids, func(id fingerprint.ID) bool {
		s, there := c.states[id]
		return !there || s != suspect
	})
}
