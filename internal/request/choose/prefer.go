package choose

import (
	"slices"
	"time"
)

// preferred leaves out slow targets and those that are still warming up when
// others have room, and chooses the data centre.
func (t *Table) preferred(now time.Time, service string, entries []*entry) []*entry {
	usual := t.usualFirstEvent(service)
	entries = keepIfAny(entries, func(e *entry) bool { return !e.Warming && !e.slow(now, usual) })
	if t.cfg.Home == "" {
		return entries
	}
	return t.nearest(now, entries)
}

const (
	// homeRoom is how many free slots keep a request in its own data centre
	// whatever the others have: what nodes tell each other is some 10 to 100 ms old,
	// and the last free slot of a target is often taken by the time it is used.
	homeRoom = 2
	// awayRoom is how many free slots a target elsewhere must have to be taken
	// before the last slots at home: more than batch items leave free, so that it
	// has room that nobody else there is about to use.
	awayRoom = 3
)

// nearest returns the targets of the own data centre while they have room, then
// those elsewhere with plenty, then whatever there is, the own first.
func (t *Table) nearest(now time.Time, entries []*entry) []*entry {
	home := keep(entries, func(e *entry) bool { return e.DataCentre == t.cfg.Home })
	if roomy := keep(home, func(e *entry) bool { return e.freeAt(now) >= homeRoom }); len(roomy) > 0 {
		return roomy
	}
	if away := keep(entries, func(e *entry) bool { return e.freeAt(now) >= awayRoom }); len(away) > 0 {
		return away
	}
	if len(home) > 0 {
		return home
	}
	return entries
}

func keep(entries []*entry, wanted func(*entry) bool) []*entry {
	var kept []*entry
	for _, e := range entries {
		if wanted(e) {
			kept = append(kept, e)
		}
	}
	return kept
}

func keepIfAny(entries []*entry, wanted func(*entry) bool) []*entry {
	if kept := keep(entries, wanted); len(kept) > 0 {
		return kept
	}
	return entries
}

// few is how many targets LeastOfFew compares. What nodes know of each other's
// requests is up to 100 ms old, and in that time all of them would choose the one
// that looks emptiest; of a few drawn at random most nodes find another one, and
// seldom a full one (power of d choices, Mitzenmacher, 2000).
const few = 3

// few returns that many targets drawn at random.
func (t *Table) few(entries []*entry) []*entry {
	if len(entries) <= few {
		return entries
	}
	drawn := slices.Clone(entries)
	t.draw.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:few]
}
