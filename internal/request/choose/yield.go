package choose

import (
	"slices"
	"time"
)

// yieldPatience is how long a target may have more requests than slots before
// every holder of items there makes room, whoever was to do it: several rounds of
// news in a data centre, and a small part of the usual objective of 300 ms.
const yieldPatience = 50 * time.Millisecond

// staying returns the own batch items that are not making room.
func (e *entry) staying() int { return max(0, e.batch-e.yielding) }

// over returns how many of the requests at a target wait for a slot, once the
// items that are making room have left. A target that refused one for want of room
// has one at least, whatever this table counts there.
func (e *entry) over(now time.Time) int {
	over := -e.free() - e.yielding
	if now.Before(e.saturated) {
		over = max(over, 1-e.yielding)
	}
	return over
}

// Excess returns, by target, how many of this table's batch items are to make
// room for online requests. Of several nodes with items at a target each gives
// its share, as all of them deal it out from the news they have of each other.
// Where that has not made room for yieldPatience, because their news differs,
// each gives its share rounded up.
func (t *Table) Excess(now time.Time) map[string]int {
	var out map[string]int
	for id, e := range t.entries {
		over := e.over(now)
		if over <= 0 {
			e.overSince = time.Time{}
			continue
		}
		if e.overSince.IsZero() {
			e.overSince = now
		}
		if n := t.share(now, id, e, over); n > 0 {
			if out == nil {
				out = map[string]int{}
			}
			out[id] = n
		}
	}
	return out
}

// share returns how many of the own items at a target are to make room when over
// are to in all.
func (t *Table) share(now time.Time, id string, e *entry, over int) int {
	own := e.staying()
	if own == 0 {
		return 0
	}
	if now.Sub(e.overSince) >= yieldPatience {
		all := own + e.elsewhere.Batch
		return min(own, (over*own+all-1)/all)
	}
	nodes, inGroup := itemsAt(t.nodes, id, t.cfg.Node, own)
	groups, here := itemsAt(t.groups, id, t.cfg.Group, inGroup)
	centres, _ := itemsAt(t.centres, id, t.cfg.LocalDataCentre, here)
	mine := Allot(id, over, t.cfg.LocalDataCentre, centres)
	mine = Allot(id, mine, t.cfg.Group, groups)
	return Allot(id, mine, t.cfg.Node, nodes)
}

// itemsAt returns how many items each of the others named in words, and self, has
// at a target, and their sum.
func itemsAt(words map[string]map[string]InFlight, id, self string, own int) (items map[string]int, sum int) {
	items, sum = map[string]int{self: own}, own
	for name, counts := range words {
		items[name] = counts[id].Batch
		sum += counts[id].Batch
	}
	return items, sum
}

// MarkYielding notes that one of this table's items at a target was told to make
// room; EndBatch takes its end.
func (t *Table) MarkYielding(id string) {
	if e := t.entries[id]; e != nil {
		e.yielding++
	}
}

// Holders are those that have batch items at a target.
type Holders struct {
	Nodes       []string // of the own group
	Groups      []string // other ones of the own data centre
	DataCentres []string // other ones
}

// Empty reports whether nobody has.
func (h Holders) Empty() bool { return len(h.Nodes)+len(h.Groups)+len(h.DataCentres) == 0 }

// Holders returns who else has batch items at a target, as far as this node knows.
func (t *Table) Holders(id string) Holders {
	return Holders{Nodes: withItems(t.nodes, id), Groups: withItems(t.groups, id), DataCentres: withItems(t.centres, id)}
}

// Preemption is called for an online request that was begun at a target. If that
// has no free slot left, it returns whether an own item is to make room, which is
// the soonest that any can; else who has items there and must hear of the
// request at once.
func (t *Table) Preemption(now time.Time, id string) (own bool, others Holders) {
	e := t.entries[id]
	if e == nil || e.over(now) <= 0 {
		return false, Holders{}
	}
	if e.staying() > 0 {
		return true, Holders{}
	}
	return false, t.Holders(id)
}

func withItems(words map[string]map[string]InFlight, id string) []string {
	var out []string
	for name, counts := range words {
		if counts[id].Batch > 0 {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
