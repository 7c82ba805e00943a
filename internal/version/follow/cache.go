// Package follow keeps this node's cache of the kinds of objects that it follows
// in the object store, and exchanges cached objects between nodes, so that a node
// that cannot reach the store gets them from its peers.
//
// For each object the entry with the higher store revision wins, whether the store
// or a peer delivers it. An entry is therefore never replaced by an older one, and
// the order of deliveries does not matter.
package follow

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/connection/objects"
)

// tombstoneRetention is how long the cache keeps a deletion. It has to be longer than
// the longest network partition between two nodes; a node that was unreachable for
// longer has been restarted or lists the kind again.
const tombstoneRetention = 10 * time.Minute

// pruneInterval is the least time between two searches for tombstones to drop.
const pruneInterval = time.Minute

// Source says where a change came from.
type Source int

// The sources.
const (
	FromStore Source = iota
	FromPeer
	FromDisk
)

var sourceNames = map[Source]string{FromStore: "store", FromPeer: "peer", FromDisk: "disk"}

// String returns the source's name.
func (s Source) String() string { return sourceNames[s] }

// entry is a cached object, or the tombstone of a deleted one.
type entry struct {
	objects.Object
	deletedAt time.Time
}

// kind is the cached copy of one kind of objects.
type kind struct {
	entries map[string]entry
	// order has the changes of entries by revision, once changesAfter has sorted it.
	order     []orderedChange
	unordered bool
	// complete is the store revision up to which the copy has every object that existed
	// there, and deletions the revision up to which no cached object was deleted. They differ
	// while changes arrive in parts from nodes that do not know all deletions.
	complete  int64
	deletions int64
	// fillTo is the revision of the copies of which parts were received. A part has the newest
	// revision of each object, so that objects which were changed after complete may be missing
	// here, or be older than at complete, until complete reaches fillTo.
	fillTo int64
	// latest is the highest revision of an entry, and heardOf of an entry of any node's copy.
	latest  int64
	heardOf int64
	// partial reports whether the answer received last was cut, and advanced when it arrived.
	// arriving is set from the first answer that was cut until the listener has the last one,
	// which ended at the revision end.
	partial  bool
	arriving bool
	end      int64
	advanced time.Time
	// floor is the revision up to which deletions may be missing here: the revision of
	// the newest listing, which does not say what was deleted before, or of the newest
	// tombstone that was dropped.
	floor  int64
	pruned time.Time // when tombstones were dropped last
	// verified is the start of the newest store query, by any node, whose answer this
	// copy contains; zero if there is none.
	verified time.Time
	// queryID identifies the query that verified belongs to. seenQueries holds the IDs
	// of the queries seen last, oldest first.
	queryID     uint64
	seenQueries []uint64
	// answered is when the newest query, by any node, was sent that the store is known to have
	// answered, if only in part. outageAge is the time without an answer after which the store
	// counts as unreachable for all nodes that are in contact, and outageEnd is when it answered
	// again after that.
	answered  time.Time
	outageAge time.Duration
	started   time.Time // when this node started
	outageEnd time.Time
	refresh   refreshes
}

const (
	// minOutageAge and outageAgeShare give the outageAge of a kind, the latter as a multiple of
	// the age at which its copy is refreshed. It is longer than the nodes that are first in
	// order take to query the store and to report the answer to all others, and shorter than
	// the time without a heartbeat after which the store removes an entry.
	minOutageAge   = 2 * time.Second
	outageAgeShare = 1.75
	// recoveryTime is how long after an outage a deletion may only mean that the store
	// missed heartbeats. Live targets register again within about two seconds, as the
	// users state.
	recoveryTime = 2200 * time.Millisecond
)

// Cache holds the cached copies of all followed kinds. It is safe for concurrent use.
type Cache struct {
	mu    sync.Mutex
	kinds map[string]*kind
	now   func() time.Time

	onVerified func()
}

// NewCache returns an empty cache of the kinds.
func NewCache(now func() time.Time, kinds ...string) *Cache {
	c := &Cache{kinds: map[string]*kind{}, now: now, onVerified: func() {}}
	for _, name := range kinds {
		c.kinds[name] = &kind{entries: map[string]entry{}, outageAge: minOutageAge, started: now()}
	}
	return c
}

// Kinds returns the kinds, those with the fewest objects first: in messages of a bounded size
// they are not held up by the others.
func (c *Cache) Kinds() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.SortedFunc(maps.Keys(c.kinds), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(c.kinds[a].entries), len(c.kinds[b].entries)), cmp.Compare(a, b))
	})
}

// SetMaxAge sets the age at which the copy of a kind is refreshed.
func (c *Cache) SetMaxAge(name string, maxAge time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kinds[name].outageAge = max(minOutageAge, time.Duration(outageAgeShare*float64(maxAge)))
}

// Apply adds changes of a kind, among them all that were made after revision since up to
// revision to. It returns those that were new to the cache.
func (c *Cache) Apply(name string, changes []objects.Object, since, to int64) []objects.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k == nil {
		return nil
	}
	return c.apply(k, changes, since, to)
}

// apply is Apply for a caller that holds c.mu.
func (c *Cache) apply(k *kind, changes []objects.Object, since, to int64) []objects.Object {
	changed := c.putEntries(k, changes, k.complete)
	if hasObject(changed) { // which may have been deleted since
		k.deletions = min(k.deletions, k.complete)
	}
	if since <= k.complete {
		k.complete = max(k.complete, to)
	}
	if since <= k.deletions {
		k.deletions = max(k.deletions, to)
	}
	return changed
}

// hasObject reports whether changes have one that is not a deletion.
func hasObject(changes []objects.Object) bool {
	return slices.ContainsFunc(changes, func(o objects.Object) bool { return !o.Deleted })
}

// putEntries adds changes and returns those that were new to the cache. An object of a revision
// up to complete that is not cached was deleted since.
func (c *Cache) putEntries(k *kind, changes []objects.Object, complete int64) []objects.Object {
	var changed []objects.Object
	for _, o := range changes {
		if c.putEntry(k, o, complete) {
			changed = append(changed, o)
		}
	}
	return changed
}

// ApplyAnswer adds the store's answer to a query for the changes after revision since, which
// was sent at the time given, and returns those that were new to the cache. The answer makes
// the copy fresh only if it was not cut and the copy still has all changes up to since: an
// older list of another node may have replaced it meanwhile.
func (c *Cache) ApplyAnswer(name string, page objects.Page, since int64, queried time.Time) []objects.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k == nil {
		return nil
	}
	changed := c.apply(k, page.Objects, since, page.Revision)
	k.received(c.now(), page.More)
	if !page.More && !k.filling() && k.completeRevision() >= page.Revision {
		c.verify(k, queried, rand.Uint64())
	}
	return changed
}

// received notes that an answer has arrived, and whether it was cut.
func (k *kind) received(now time.Time, more bool) {
	k.partial, k.advanced = more, now
	k.arriving = k.arriving || (more && k.verified.IsZero())
	if !more {
		k.end = k.complete
	}
}

// delivered notes that the listener was notified of an answer up to a revision.
func (c *Cache) delivered(name string, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.kinds[name]; k != nil && !k.partial && revision >= k.end {
		k.arriving = false
	}
}

// Replace replaces a kind by a complete listing at a revision: cached objects that are
// not listed count as deleted at that revision. It returns the changes that were new to
// the cache.
func (c *Cache) Replace(name string, list []objects.Object, listRevision int64) []objects.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k == nil {
		return nil
	}
	return c.replace(k, list, listRevision)
}

// ReplaceListed is Replace by a listing of the store that was begun at the time given; the
// copy is then as fresh as that.
func (c *Cache) ReplaceListed(name string, list []objects.Object, listRevision int64, begun time.Time) []objects.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k == nil {
		return nil
	}
	changed := c.replace(k, list, listRevision)
	c.verify(k, begun, rand.Uint64())
	return changed
}

// replace is Replace for a caller that holds c.mu.
func (c *Cache) replace(k *kind, list []objects.Object, listRevision int64) []objects.Object {
	listed := make(map[string]bool, len(list))
	for _, o := range list {
		listed[o.Name] = true
	}
	if k.filling() || listRevision >= k.complete { // the list alone is complete
		k.complete, k.deletions, k.fillTo = 0, 0, 0
	}
	changed := c.putEntries(k, append(slices.Clone(list), k.unlisted(listed, listRevision)...), k.complete)
	k.complete, k.deletions = max(k.complete, listRevision), max(min(k.deletions, k.complete), listRevision)
	k.floor = max(k.floor, listRevision)
	k.received(c.now(), false)
	return changed
}

// unlisted returns the deletions of the cached objects that are missing from a list of all that
// existed at a revision.
func (k *kind) unlisted(listed map[string]bool, listRevision int64) []objects.Object {
	var deleted []objects.Object
	for id, e := range k.entries {
		if !listed[id] && !e.Deleted && e.Revision <= listRevision {
			deleted = append(deleted, objects.Object{Name: id, Revision: listRevision, Deleted: true})
		}
	}
	return deleted
}

func (c *Cache) putEntry(k *kind, o objects.Object, complete int64) bool {
	old, known := k.entries[o.Name]
	if !known && o.Deleted && o.Revision <= k.floor {
		return false // no other node has the object either
	}
	if (!known || old.Deleted) && !o.Deleted && o.Revision <= complete {
		return false // it was deleted since, and the tombstone is not known
	}
	if known && (old.Revision > o.Revision || (old.Revision == o.Revision && (old.Deleted || !o.Deleted))) {
		return false
	}
	e := entry{Object: o}
	if o.Deleted {
		e.deletedAt = c.now()
		c.pruneTombstones(k)
	}
	k.entries[o.Name] = e
	k.noteChange(o)
	k.latest = max(k.latest, o.Revision)
	return !o.Deleted || known
}

func (c *Cache) pruneTombstones(k *kind) {
	now := c.now()
	if now.Sub(k.pruned) < pruneInterval {
		return // it goes through the whole copy
	}
	k.pruned = now
	for id, e := range k.entries {
		if e.Deleted && now.Sub(e.deletedAt) > tombstoneRetention {
			delete(k.entries, id)
			k.floor = max(k.floor, e.Revision)
		}
	}
}

// CompleteRevision returns the revision up to which no change of the kind is missing.
func (c *Cache) CompleteRevision(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.kinds[name].completeRevision()
}

// completeRevision returns the revision up to which no change is missing, a deletion of a
// cached object included.
func (k *kind) completeRevision() int64 { return min(k.complete, k.deletions) }

// CopyStatus says how fresh a copy is, for operators.
type CopyStatus struct {
	Revision   int64         // no change up to it is missing
	Behind     int64         // revisions from there to the newest one known of
	Age        time.Duration // since the newest store query whose answer the copy contains
	Verified   bool          // there was such a query
	CatchingUp bool          // the newest answer was cut
}

// Status returns how fresh the copy of a kind is.
func (c *Cache) Status(name string) CopyStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	s := CopyStatus{Revision: k.completeRevision(), Verified: !k.verified.IsZero(), CatchingUp: k.partial}
	s.Behind = max(0, max(k.latest, k.heardOf)-s.Revision)
	if s.Verified {
		s.Age = c.now().Sub(k.verified)
	}
	return s
}

// filling reports whether the copy lacks parts of what another node had.
func (k *kind) filling() bool { return k.complete < k.fillTo }

// anyFilling reports whether the copy of one of the kinds is filling.
func (c *Cache) anyFilling(kinds []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(kinds, func(name string) bool { return c.kinds[name] != nil && c.kinds[name].filling() })
}

// fillTime is the time after which a copy that is received in parts is used although no
// further part has arrived.
const fillTime = 2 * time.Second

// Usable reports whether the copy of a kind may be used: there is one, and it is not just being
// received in parts for the first time.
func (c *Cache) Usable(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	return k.complete > 0 && k.arrivesFor(c.now()) <= 0
}

// arrivesFor returns how long to wait for further parts of a copy that is received for the first
// time.
func (c *Cache) arrivesFor(name string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.kinds[name].arrivesFor(c.now())
}

func (k *kind) arrivesFor(now time.Time) time.Duration {
	if !k.arriving {
		return 0
	}
	return fillTime - now.Sub(k.advanced)
}

// Now returns the cache's time.
func (c *Cache) Now() time.Time { return c.now() }

// CompleteRevisions returns the CompleteRevision of every kind.
func (c *Cache) CompleteRevisions() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	marks := make(map[string]int64, len(c.kinds))
	for name, k := range c.kinds {
		marks[name] = k.completeRevision()
	}
	return marks
}

// ChangesSince returns the changes of a kind after a revision. If this copy may lack a
// deletion after that revision, it returns all existing objects instead, and full is
// true.
func (c *Cache) ChangesSince(name string, revision int64) (changes []objects.Object, complete int64, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k == nil || k.completeRevision() <= revision || k.filling() {
		return nil, revision, false
	}
	full = revision < k.floor
	for _, e := range k.entries {
		if (full && !e.Deleted) || (!full && e.Revision > revision) {
			changes = append(changes, e.Object)
		}
	}
	return changes, k.completeRevision(), full
}

// Get returns an object, and whether it exists as far as this node knows.
func (c *Cache) Get(name, id string) (objects.Object, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.kinds[name].entries[id]
	return e.Object, ok && !e.Deleted
}

// List returns the objects of a kind that exist as far as this node knows.
func (c *Cache) List(name string) []objects.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []objects.Object
	for _, e := range c.kinds[name].entries {
		if !e.Deleted {
			out = append(out, e.Object)
		}
	}
	return out
}
