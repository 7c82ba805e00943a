package choose

import (
	"slices"
	"strconv"
	"time"

	"github.com/marblepond/marblepond/internal/process/rendezvous"
)

// preferred leaves out slow targets when there are others, and chooses the data centre
// of a batch item.
func (t *Table) preferred(now time.Time, need Need, entries []*entry) []*entry {
	usual := t.usualFirstEvent(need.Service)
	entries = keepIfAny(entries, func(e *entry) bool { return !e.slow(now, usual) })
	if t.cfg.LocalDataCentre == "" || (t.cfg.Policy == LeastOfFew && !need.Batch) {
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

// atHome reports whether a target is in the own data centre; without one, all are.
func (t *Table) atHome(e *entry) bool {
	return t.cfg.LocalDataCentre == "" || e.DataCentre == t.cfg.LocalDataCentre
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

const (
	// few is how many targets LeastOfFew compares. What nodes know of each other's
	// requests is up to 100 ms old, and in that time all of them would choose the
	// one that looks emptiest; of a few drawn at random most nodes find another
	// one, and seldom a full one (power of d choices, Mitzenmacher, 2000).
	few = 3
	// fewByNodes divided by the number of nodes of the data centre is how many are
	// compared where that is more: three nodes tell each other every 20 ms, and
	// together draw eight each without meeting at one target.
	fewByNodes = 24
)

// leastOfFew returns the least loaded of a few targets drawn at random: one of
// the own data centre while it has room, else one drawn elsewhere that has
// plenty, or any when the one at home is full. Full targets are drawn like others. Taking those
// with room first would send all nodes to the last few of them, and queues would
// grow there while a request that waits behind one other is still in time.
func (t *Table) leastOfFew(now time.Time, entries []*entry) *entry {
	cost := func(e *entry) int { return e.cost(now) }
	home := keep(entries, t.atHome)
	away := keep(entries, func(e *entry) bool { return !t.atHome(e) })
	if len(home) == 0 {
		return least(t.few(away), cost)
	}
	best := least(t.few(home), cost)
	if len(away) == 0 || best.freeOnline(now) >= homeRoom {
		return best
	}
	other := least(t.few(away), cost)
	if room := other.freeOnline(now); room >= awayRoom || (room > 0 && best.freeOnline(now) <= 0) {
		return other
	}
	return best
}

// cost orders targets for an online request: by what is there while a slot is
// free, then those at which an item makes room at once, then by how many requests
// are served before it.
func (e *entry) cost(now time.Time) int {
	if e.freeAt(now) > 0 {
		return e.inFlight()
	}
	slots := e.inFlight() + e.free()
	return slots + max(0, 1-e.freeOnline(now))
}

// few returns some targets drawn at random.
func (t *Table) few(entries []*entry) []*entry {
	draws := max(few, fewByNodes/t.NodesInDataCentre())
	if len(entries) <= draws {
		return entries
	}
	drawn := slices.Clone(entries)
	for i := range draws {
		j := i + t.draw.IntN(len(drawn)-i)
		drawn[i], drawn[j] = drawn[j], drawn[i]
	}
	return drawn[:draws]
}

// scattered returns the one of the targets with room that comes first in an order of
// the key's own; all of them without a key, or when none has room.
func scattered(now time.Time, entries []*entry, key uint64) []*entry {
	if key == 0 {
		return entries
	}
	var first *entry
	var top uint64
	name := strconv.FormatUint(key, 16)
	for _, e := range entries {
		if e.freeOnline(now) <= 0 {
			continue
		}
		if w := rendezvous.Weight(name, e.ID); first == nil || w > top {
			first, top = e, w
		}
	}
	if first == nil {
		return entries
	}
	return []*entry{first}
}
