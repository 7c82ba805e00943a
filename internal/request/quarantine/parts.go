package quarantine

import (
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/request/fingerprint"
)

const (
	// partMargin is how many of a part's crashes each other suspect must have missed.
	partMargin = 2
	// minorityMargin is how many more crashes are needed of a part that is at under half of them.
	minorityMargin = 2
	// answeredTime is how long other requests must have been answered after a crash for it to
	// count against a part. A harmless part that is often in use is among those answered.
	answeredTime = 500 * time.Millisecond
	// unansweredSpan is the time over which a part has to crash targets to be refused if nothing
	// is answered meanwhile: all targets may be down for another reason.
	unansweredSpan = 2500 * time.Millisecond
	// minBurst is the least number of crashes, at one moment or several, that are enough to refuse
	// a part if other requests have been answered for burstAnsweredTime since, and none with it.
	minBurst          = 5
	burstAnsweredTime = 1500 * time.Millisecond
	// maxMixture is how many causes at once are considered, and minMixtureShare and maxMixtureShare
	// the shares of the crashes that one of several may have.
	maxMixture      = 5
	minMixtureShare = 1.0 / 6
	maxMixtureShare = 0.75
)

// partIsCause reports whether requests with all of the given parts, which are suspects of the
// same crashes, are to be refused. withWorks says that several requests were there each time;
// what they have in common is then more likely the cause than each of them.
func (e *evaluation) partIsCause(parts []fingerprint.ID, withWorks bool) bool {
	crashes := e.unexplained[parts[0]]
	if e.isDominated(parts, crashes) {
		return false
	}
	extra := 0
	if 2*crashes.count() < e.unexplainedBetween(crashes) {
		extra = minorityMargin // they are at some of the crashes, rather by chance
	}
	fresh := slices.ContainsFunc(parts, func(id fingerprint.ID) bool { return !e.sound[id] })
	if counted := e.answered(crashes, burstAnsweredTime); fresh && counted.count() >= minBurst+extra && !e.isMixture(parts, counted, 2) {
		return true
	}
	limit := e.cfg.Limit + extra
	if !fresh {
		limit *= certainFactor // requests with them were answered before
	}
	separate := crashes.without(e.kills)
	if e.moments(separate) < limit || (crashes.count() < certainFactor*e.cfg.Limit && !e.isAhead(parts, crashes, withWorks)) {
		return false
	}
	counted := e.answered(separate, answeredTime)
	if e.moments(counted) < limit-1 {
		if e.span(separate) < unansweredSpan {
			return false
		}
		counted = crashes
	}
	return len(parts) > 1 || !e.isMixture(parts, counted, maxMixture)
}

// isDominated reports whether another part explains the same crashes and more, and is not just
// what several causes have in common.
func (e *evaluation) isDominated(parts []fingerprint.ID, crashes crashSet) bool {
	for other, more := range e.unexplained {
		if other.Kind() == fingerprint.OfPart && more != crashes && crashes.without(more).empty() && !e.sound[other] && !e.isCommon(other) {
			return true
		}
	}
	return false
}

// unexplainedBetween returns the number of crashes from the first to the last of the given ones
// that no verdict explains.
func (e *evaluation) unexplainedBetween(crashes crashSet) int {
	positions := crashes.positions()
	var between crashSet
	for p := positions[0]; p <= positions[len(positions)-1]; p++ {
		between.add(p)
	}
	return between.without(e.decided).count()
}

// answered returns the crashes since which other requests have been answered for a time.
func (e *evaluation) answered(crashes crashSet, d time.Duration) crashSet {
	var out crashSet
	for _, p := range crashes.positions() {
		if e.crashes[p].answeredFor(e.now, d) {
			out.add(p)
		}
	}
	return out
}

// moments returns the number of different moments at which crashes came.
func (e *evaluation) moments(crashes crashSet) int {
	n := 0
	var last time.Time
	for _, p := range crashes.positions() {
		if at := e.crashes[p].at; n == 0 || at.Sub(last) > togetherWithin {
			n++
			last = at
		}
	}
	return n
}

// span returns the time from the first to the last of the crashes.
func (e *evaluation) span(crashes crashSet) time.Duration {
	positions := crashes.positions()
	if len(positions) == 0 {
		return 0
	}
	return e.crashes[positions[len(positions)-1]].at.Sub(e.crashes[positions[0]].at)
}

// isAhead reports whether every other suspect has missed partMargin of the crashes.
func (e *evaluation) isAhead(parts []fingerprint.ID, crashes crashSet, withWorks bool) bool {
	for other, theirs := range e.unexplained {
		if slices.Contains(parts, other) || (withWorks && other.Kind() != fingerprint.OfPart && theirs == crashes) {
			continue
		}
		if crashes.without(theirs).count() < partMargin && !e.isCommon(other) {
			return false
		}
	}
	return true
}

// isCommon reports whether a part may only be what the prompts of several causes have in common.
func (e *evaluation) isCommon(id fingerprint.ID) bool {
	return id.Kind() == fingerprint.OfPart && e.isMixture([]fingerprint.ID{id}, e.unexplained[id], maxMixture)
}

// isMixture reports whether up to so many other suspects, each of several of the crashes,
// explain all of them between them: the parts may then only be what the prompts of several
// causes have in common.
func (e *evaluation) isMixture(parts []fingerprint.ID, crashes crashSet, most int) bool {
	var others []crashSet
	for other, theirs := range e.unexplained {
		shared := crashes.and(theirs)
		n := shared.count()
		if other.Kind() != fingerprint.OfPart {
			continue // harmless work that is sent again is at several crashes, too
		}
		if share := float64(n) / float64(crashes.count()); n > 1 && share >= minMixtureShare && share <= maxMixtureShare && !slices.Contains(parts, other) {
			others = append(others, shared)
		}
	}
	slices.SortFunc(others, func(a, b crashSet) int { return slices.Compare(a[:], b[:]) }) // all nodes choose the same
	return covered(crashes, others, most)
}

// covered reports whether up to so many of the sets contain all crashes between them. Beyond
// two it takes the largest first, and may miss a smaller choice.
func covered(crashes crashSet, sets []crashSet, most int) bool {
	switch {
	case crashes.empty():
		return true
	case most == 0:
		return false
	case most <= 2:
		return slices.ContainsFunc(sets, func(s crashSet) bool { return covered(crashes.without(s), sets, most-1) })
	}
	least := crashes
	for _, s := range sets {
		if rest := crashes.without(s); rest.count() < least.count() {
			least = rest
		}
	}
	return least != crashes && covered(least, sets, most-1)
}
