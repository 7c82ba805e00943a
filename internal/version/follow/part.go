package follow

import (
	"cmp"
	"math"
	"slices"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/connection/objects"
)

// CopyState says what a node's copy of a kind has, for a node that sends it what it lacks.
type CopyState struct {
	Complete  int64 // the copy has every object that existed at this revision
	Deletions int64 // no object of the copy was deleted up to this revision
	Empty     bool  // the copy has no object
}

// Part is a part of the changes that a copy lacks, in the order of their revisions. It is cut
// at a size, and the receiver asks for the rest: a copy of any size passes a slow line, and
// what has arrived is kept when the connection breaks.
type Part struct {
	Changes  []objects.Object
	Since    int64 // changes up to this revision are left out
	Complete int64 // changes up to this revision are contained
	More     bool  // there are changes after Complete
	Until    int64 // revision of the copy of which this is a part
	// Existed is the revision up to which no object in Changes was deleted.
	Existed int64
	// HasDeletions reports whether all deletions after DeletionsSince and up to Complete are
	// contained.
	HasDeletions   bool
	DeletionsSince int64
	// HasNames reports whether Names are the names of all objects that existed at Existed, which
	// tell the receiver what was deleted without a known deletion.
	HasNames bool
	Names    []string
}

// objectOverhead is the size of a change in a message without its name and value.
const objectOverhead = 24

func sizeOf(o objects.Object) int { return objectOverhead + len(o.Name) + len(o.Value) }

// size returns the size of a part in a message, about.
func (p *Part) size() int {
	size := 0
	for _, o := range p.Changes {
		size += sizeOf(o)
	}
	for _, id := range p.Names {
		size += len(id) + 2
	}
	return size
}

// pack returns the part as a message.
func (p *Part) pack(kind string) *v1.KindChanges {
	m := &v1.KindChanges{Kind: kind, Since: p.Since, Complete: p.Complete, More: p.More, Until: p.Until, Existed: p.Existed,
		HasDeletions: p.HasDeletions, DeletionsSince: p.DeletionsSince, HasNames: p.HasNames, Names: p.Names}
	for _, o := range p.Changes {
		m.Changes = append(m.Changes, changeToProto(o))
	}
	return m
}

func unpackPart(m *v1.KindChanges) Part {
	return Part{Changes: objectsFromProto(m.Changes), Since: m.Since, Complete: m.Complete, More: m.More, Until: m.Until, Existed: m.Existed,
		HasDeletions: m.HasDeletions, DeletionsSince: m.DeletionsSince, HasNames: m.HasNames, Names: m.Names}
}

// State returns what the copy of a kind has.
func (c *Cache) State(name string) CopyState {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	return CopyState{Complete: k.complete, Deletions: k.deletions, Empty: len(k.entries) == 0}
}

// Missing returns the first part of what another node's copy of a kind lacks, of at most
// maxBytes or of one change. ok is false if the copy lacks nothing that this node knows.
func (c *Cache) Missing(name string, have CopyState, maxBytes int) (p Part, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k == nil || k.deletions < k.complete || k.complete < have.Complete || (k.complete == have.Complete && have.Deletions >= have.Complete) {
		return Part{}, false
	}
	p = Part{Since: have.Complete, Complete: k.complete, Until: max(k.complete, k.fillTo), Existed: k.deletions, DeletionsSince: have.Deletions, HasDeletions: have.Deletions >= k.floor}
	if k.filling() && !p.HasDeletions && !have.Empty {
		return Part{}, false // this node cannot tell which objects of the other copy were deleted
	}
	p.take(k, have, maxBytes)
	if p.HasNames = !p.HasDeletions && !have.Empty && !p.More; p.HasNames {
		for id, e := range k.entries {
			if !e.Deleted {
				p.Names = append(p.Names, id)
			}
		}
	}
	return p, true
}

// take adds the changes that a copy lacks, up to a size. Those of one revision stay together.
func (p *Part) take(k *kind, have CopyState, maxBytes int) {
	after := have.Complete
	if p.HasDeletions {
		after = min(after, have.Deletions)
	}
	size, last := 0, int64(0)
	for _, c := range k.changesAfter(after) {
		e := k.entries[c.name]
		if e.Revision != c.revision || (e.Deleted && (!p.HasDeletions || e.Revision <= have.Deletions)) || (!e.Deleted && e.Revision <= have.Complete) {
			continue
		}
		if size += sizeOf(e.Object); size > maxBytes && len(p.Changes) > 0 && e.Revision > last && last < p.Complete {
			p.Complete, p.More = last, true
			return
		}
		p.Changes = append(p.Changes, e.Object)
		last = e.Revision
	}
}

// orderedChange is a change in the order of revisions; the entry of the name may be newer.
type orderedChange struct {
	revision int64
	name     string
}

// noteChange adds a change to the order.
func (k *kind) noteChange(o objects.Object) {
	if n := len(k.order); n > 0 && k.order[n-1].revision > o.Revision {
		k.unordered = true
	}
	k.order = append(k.order, orderedChange{o.Revision, o.Name})
	if len(k.order) > 2*len(k.entries)+minOrder {
		k.sortOrder()
	}
}

// sortOrder sorts the order and drops the changes that are no longer the newest of their name.
func (k *kind) sortOrder() {
	k.order = slices.DeleteFunc(k.order, func(c orderedChange) bool { return k.entries[c.name].Revision != c.revision })
	slices.SortFunc(k.order, func(a, b orderedChange) int {
		return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.name, b.name))
	})
	k.order, k.unordered = slices.Compact(k.order), false
}

// changesAfter returns the changes after a revision in their order, also ones that are no longer
// the newest of their name. While changes arrive in order it costs no more than what it returns.
func (k *kind) changesAfter(revision int64) []orderedChange {
	if k.unordered {
		k.sortOrder()
	}
	first, _ := slices.BinarySearchFunc(k.order, revision+1, func(c orderedChange, r int64) int { return cmp.Compare(c.revision, r) })
	return k.order[first:]
}

// minOrder is the length up to which an order is not worth sorting.
const minOrder = 64

// Merge adds a part to the copy of a kind and returns the changes that were new to it.
func (c *Cache) Merge(name string, p Part) []objects.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k == nil {
		return nil
	}
	empty := len(k.entries) == 0
	changed := c.putEntries(k, p.Changes, k.complete)
	existed := int64(math.MaxInt64) // no object that is new to the copy was deleted up to it
	if hasObject(changed) {
		existed = p.Existed
	}
	if p.HasNames {
		named := make(map[string]bool, len(p.Names))
		for _, id := range p.Names {
			named[id] = true
		}
		changed = append(changed, c.putEntries(k, k.unlisted(named, p.Existed), k.complete)...)
	}
	if p.Since <= k.complete && p.Complete > k.complete {
		k.complete = p.Complete
		k.fillTo = max(k.fillTo, p.Until)
	}
	k.mergeDeletions(p, empty, existed)
	k.received(c.now(), p.More || k.filling())
	return changed
}

// mergeDeletions notes up to which revision no cached object was deleted, once a part is in the
// copy. empty reports whether the copy was empty before; no object that is new to it was deleted
// up to the revision existed.
func (k *kind) mergeDeletions(p Part, empty bool, existed int64) {
	switch {
	case p.HasNames:
		k.deletions = max(k.deletions, p.Existed)
		k.floor = max(k.floor, p.Existed)
	case p.HasDeletions && p.DeletionsSince <= k.deletions:
		k.deletions = min(max(k.deletions, p.Complete), existed)
	case empty:
		k.deletions = p.Existed
		k.floor = max(k.floor, p.Existed)
	default:
		k.deletions = min(k.deletions, existed)
	}
}
