package choose

import (
	"slices"
	"time"
)

// yieldEscalateAfter is how long a target may have more requests than slots before
// every node with batch items there yields, whatever its share was: several rounds of
// reports in a data centre, after which a difference between what nodes know does not go away.
const yieldEscalateAfter = 50 * time.Millisecond

// notYielding returns how many own batch items at the target are not yielding.
func (e *entry) notYielding() int { return max(0, e.batch-e.yielding) }

// waiting returns how many of the requests at a target will wait for a slot after the
// yielding items have left. If the target refused an online request because it was
// full, at least one waits, whatever this table counts there.
func (e *entry) waiting(now time.Time) int {
	waiting := -e.free() - e.yielding
	if now.Before(e.saturatedUntil) {
		waiting = max(waiting, 1-e.yielding)
	}
	return waiting
}

// Excess returns, by target, how many of this node's batch items have to yield to
// online requests. Several nodes with items at a target allot the yields among
// themselves, each computing the same allotment from the reports it has. If requests
// still wait after yieldEscalateAfter, because the nodes' reports differ, each node
// yields its proportional share rounded up.
func (t *Table) Excess(now time.Time) map[string]int {
	var out map[string]int
	for id, e := range t.entries {
		waiting := e.waiting(now)
		if waiting <= 0 {
			e.waitingSince = time.Time{}
			continue
		}
		if e.waitingSince.IsZero() {
			e.waitingSince = now
		}
		if n := t.yieldShare(now, id, e, waiting); n > 0 {
			if out == nil {
				out = map[string]int{}
			}
			out[id] = n
		}
	}
	return out
}

// yieldShare returns how many of this node's items at a target have to yield when
// waiting requests need a slot there.
func (t *Table) yieldShare(now time.Time, id string, e *entry, waiting int) int {
	own := e.notYielding()
	if own == 0 {
		return 0
	}
	if now.Sub(e.waitingSince) >= yieldEscalateAfter {
		all := own + e.elsewhere.Batch
		return min(own, (waiting*own+all-1)/all)
	}
	nodes, inGroup := itemsByName(t.nodes, id, t.cfg.Node, own)
	groups, inDataCentre := itemsByName(t.groups, id, t.cfg.Group, inGroup)
	centres, _ := itemsByName(t.centres, id, t.cfg.LocalDataCentre, inDataCentre)
	ownShare := Allot(id, waiting, t.cfg.LocalDataCentre, centres)
	ownShare = Allot(id, ownShare, t.cfg.Group, groups)
	return Allot(id, ownShare, t.cfg.Node, nodes)
}

// itemsByName returns how many batch items each reporter, and self, has at a target,
// and the sum.
func itemsByName(reports map[string]map[string]InFlight, id, self string, own int) (items map[string]int, sum int) {
	items, sum = map[string]int{self: own}, own
	for name, counts := range reports {
		items[name] = counts[id].Batch
		sum += counts[id].Batch
	}
	return items, sum
}

// MarkYielding records that one of this node's items at a target was told to yield;
// EndBatch ends it.
func (t *Table) MarkYielding(id string) {
	if e := t.entries[id]; e != nil {
		e.yielding++
	}
}

// Holders lists the others that have batch items at a target.
type Holders struct {
	Nodes       []string // of the own group
	Groups      []string // other groups of the own data centre
	DataCentres []string // other data centres
}

// Empty reports whether there are no holders.
func (h Holders) Empty() bool { return len(h.Nodes)+len(h.Groups)+len(h.DataCentres) == 0 }

// Holders returns the others that have batch items at a target, by their newest reports.
func (t *Table) Holders(id string) Holders {
	return Holders{Nodes: withItems(t.nodes, id), Groups: withItems(t.groups, id), DataCentres: withItems(t.centres, id)}
}

// Preemption decides which batch item yields to an online request that was just sent
// to a target. If the target has no free slot left, own reports whether an item of this
// node has to yield, which is the fastest way; if this node has none, others are the
// holders of items there, to be notified of the request at once.
func (t *Table) Preemption(now time.Time, id string) (own bool, others Holders) {
	e := t.entries[id]
	if e == nil || e.waiting(now) <= 0 {
		return false, Holders{}
	}
	if e.notYielding() > 0 {
		return true, Holders{}
	}
	return false, t.Holders(id)
}

func withItems(reports map[string]map[string]InFlight, id string) []string {
	var out []string
	for name, counts := range reports {
		if counts[id].Batch > 0 {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
