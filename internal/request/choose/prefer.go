package choose

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/marblepond/marblepond/internal/process/rendezvous"
)

// preferred leaves out slow targets if there are others, and then limits the choice to
// the nearest data centre with capacity. With the policy LeastOfFew, leastOfFew does the
// latter for online requests.
func (t *Table) preferred(now time.Time, need Need, entries []*entry) []*entry {
	entries = t.withoutSlow(now, need, entries)
	if t.cfg.LocalDataCentre == "" || (t.cfg.Policy == LeastOfFew && !need.Batch) {
		return entries
	}
	return t.nearest(now, entries)
}

const (
	// localMinFree is how many free slots a target of the own data centre must have
	// for a request to stay there whatever the others have. The reports between nodes
	// are some 10 to 100 ms old, so the last free slot is often taken by the time a
	// request arrives.
	localMinFree = 2
	// remoteMinFree is how many free slots a target of another data centre must have
	// to be preferred to the last free slots of the own one: more than batch items
	// leave free, so that there is a slot which no node there is about to use.
	remoteMinFree = 3
)

// nearest returns the targets of the own data centre with at least localMinFree free
// slots; if none, those of other data centres with at least remoteMinFree; if none, all
// of the own data centre; if none, all.
func (t *Table) nearest(now time.Time, entries []*entry) []*entry {
	local := filter(entries, t.isLocal)
	if withRoom := filter(local, func(e *entry) bool { return e.freeAt(now) >= localMinFree }); len(withRoom) > 0 {
		return withRoom
	}
	if remote := filter(entries, func(e *entry) bool { return e.freeAt(now) >= remoteMinFree }); len(remote) > 0 {
		return remote
	}
	if len(local) > 0 {
		return local
	}
	return entries
}

// isLocal reports whether a target is in the own data centre; all are if none is
// configured.
func (t *Table) isLocal(e *entry) bool {
	return t.cfg.LocalDataCentre == "" || e.DataCentre == t.cfg.LocalDataCentre
}

func filter(entries []*entry, wanted func(*entry) bool) []*entry {
	var matching []*entry
	for _, e := range entries {
		if wanted(e) {
			matching = append(matching, e)
		}
	}
	return matching
}

func filterOrAll(entries []*entry, wanted func(*entry) bool) []*entry {
	if matching := filter(entries, wanted); len(matching) > 0 {
		return matching
	}
	return entries
}

const (
	// minChoices is how many random targets LeastOfFew compares at least. The nodes'
	// reports to each other are up to 100 ms old; meanwhile all nodes would choose the
	// target that appears least loaded. With a few random ones, most nodes choose
	// different targets and seldom a full one (power of d choices, Mitzenmacher, 2000).
	minChoices = 3
	// choicesOfAllNodes divided by the number of nodes of the data centre is how many
	// random targets each node compares if that is more than minChoices: three nodes,
	// which report to each other every 20 ms, compare eight each without choosing the
	// same target.
	choicesOfAllNodes = 24
)

// leastOfFew returns the least loaded of a few random targets of the own data centre
// if it has at least localMinFree free slots. Otherwise it prefers the least loaded of
// a few random targets elsewhere if that has at least remoteMinFree, or any free slot
// when the local one has none. Full targets are drawn like others: drawing only those
// with free slots would send all nodes to the last few of them and build queues there,
// while a request that waits behind one other is still in time.
func (t *Table) leastOfFew(now time.Time, entries []*entry) *entry {
	local := filter(entries, t.isLocal)
	remote := filter(entries, func(e *entry) bool { return !t.isLocal(e) })
	if len(local) == 0 {
		return t.bestOf(now, t.sample(remote))
	}
	best := t.bestOf(now, t.sample(local))
	if len(remote) == 0 || best.freeOnline(now) >= localMinFree {
		return best
	}
	other := t.bestOf(now, t.sample(remote))
	if free := other.freeOnline(now); free >= remoteMinFree || (free > 0 && best.freeOnline(now) <= 0) {
		return other
	}
	return best
}

// bestOf returns the target that is to be preferred for an online request.
func (t *Table) bestOf(now time.Time, entries []*entry) *entry {
	if !t.sharedView {
		return least(entries, func(e *entry) int { return e.cost(now) })
	}
	t.refreshPaces(now)
	best, lowest := entries[0], t.rank(now, entries[0])
	for _, e := range entries[1:] {
		if r := t.rank(now, e); r.compare(lowest) < 0 {
			best, lowest = e, r
		}
	}
	return best
}

// rank orders targets for an online request when the shared view is on: those with a free
// slot first, by what is in flight; then those at which a batch item can yield, by the online
// requests there; then the others and slow ones, by the estimated time to the first event.
// Of those that are equal otherwise, the faster comes first. All nodes know the same paces,
// but each draws its own few targets, and requests in flight count before the pace.
type rank struct {
	class    rankClass
	requests int
	estimate time.Duration
	pace     float64
}

type rankClass int

const (
	hasFreeSlot rankClass = iota
	hasYieldingItem
	isFullOrSlow
)

func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.class, o.class), cmp.Compare(r.requests, o.requests), cmp.Compare(r.estimate, o.estimate), cmp.Compare(r.pace, o.pace))
}

func (t *Table) rank(now time.Time, e *entry) rank {
	r := rank{class: isFullOrSlow, estimate: t.estimateFirstEvent(now, e), pace: e.pace()}
	switch {
	case e.hasSlowPace():
	case e.freeAt(now) > 0:
		r.class, r.requests = hasFreeSlot, e.inFlight()
	case e.freeOnline(now) > 0:
		r.class, r.requests = hasYieldingItem, e.estimatedOnline()
	}
	return r
}

// cost orders targets for an online request. Targets with free slots come first, by
// what is in flight; then full ones at which a batch item can yield; then the others,
// by how many requests are served before this one.
func (e *entry) cost(now time.Time) int {
	if e.freeAt(now) > 0 {
		return e.inFlight()
	}
	slots := e.inFlight() + e.free()
	return slots + max(0, 1-e.freeOnline(now))
}

// sample returns a random selection of the targets.
func (t *Table) sample(entries []*entry) []*entry {
	draws := max(minChoices, choicesOfAllNodes/t.NodesInDataCentre())
	if len(entries) <= draws {
		return entries
	}
	drawn := slices.Clone(entries)
	for i := range draws {
		j := i + t.random.IntN(len(drawn)-i)
		drawn[i], drawn[j] = drawn[j], drawn[i]
	}
	return drawn[:draws]
}

// byScatterKey returns the one target among those with free slots that has the highest
// rendezvous weight for the key; all targets if key is 0 or none has a free slot.
func byScatterKey(now time.Time, entries []*entry, key uint64) []*entry {
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
