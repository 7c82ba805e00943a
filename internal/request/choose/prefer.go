package choose

import (
	"slices"
	"time"
)

// preferred leaves out slow targets and those that are still warming up when
// there are others, and chooses the data centre of a batch item.
func (t *Table) preferred(now time.Time, need Need, entries []*entry) []*entry {
	usual := t.usualFirstEvent(need.Service)
	entries = keepIfAny(entries, func(e *entry) bool { return !e.Warming && !e.slow(now, usual) })
	if t.cfg.Home == "" || (t.cfg.Policy == LeastOfFew && !need.Batch) {
		return entries
	}
	return t.nearest(now, entries)
}

const (
	// homeRoom is how many free slots keep a batch item in its own data centre
	// whatever the others have.
	homeRoom = 2
	// awayRoom is how many free slots a target elsewhere must have to be taken
	// before a full one at home: more than batch items leave free, so that it has
	// room that nobody else there is about to use.
	awayRoom = 3
)

// nearest returns the targets of the own data centre while they have room, then
// those elsewhere with plenty, then whatever there is, the own first.
func (t *Table) nearest(now time.Time, entries []*entry) []*entry {
	home := keep(entries, t.atHome)
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

func (t *Table) atHome(e *entry) bool { return e.DataCentre == t.cfg.Home }

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

// leastOfFew returns the least loaded of a few targets drawn at random: one of
// the own data centre unless all drawn there are full and one drawn elsewhere has
// plenty of room. Full targets are drawn like others. Taking those with room
// first would send all nodes to the last few of them, and queues would grow there
// while a request that waits behind one other is still in time.
func (t *Table) leastOfFew(now time.Time, entries []*entry) *entry {
	home := entries
	if t.cfg.Home != "" {
		home = keep(entries, t.atHome)
	}
	var best *entry
	if len(home) > 0 {
		if best = least(t.few(home), (*entry).inFlight); best.freeAt(now) > 0 {
			return best
		}
	}
	away := keep(entries, func(e *entry) bool { return !t.atHome(e) && e.freeAt(now) >= awayRoom })
	switch {
	case len(away) > 0:
		return least(t.few(away), (*entry).inFlight)
	case best != nil:
		return best
	}
	return least(t.few(entries), (*entry).inFlight)
}

// few returns that many targets drawn at random.
func (t *Table) few(entries []*entry) []*entry {
	if len(entries) <= few {
		return entries
	}
	drawn := slices.Clone(entries)
	for i := range few {
		j := i + t.draw.IntN(len(drawn)-i)
		drawn[i], drawn[j] = drawn[j], drawn[i]
	}
	return drawn[:few]
}
