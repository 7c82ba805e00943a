// Package follow keeps this node's copy of the kinds of objects that it
// follows in the object store, and spreads them between nodes, so that a node
// that is cut off from the store learns what its peers know.
//
// For each object the entry with the higher store revision wins, whoever
// delivers it. A copy therefore never goes back, and the order in which the
// store and peers deliver does not matter.
package follow

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/connection/objects"
)

// tombstoneAge is how long a deletion is remembered. It only has to outlast
// the longest cut between two nodes; a node that was away longer has been
// restarted or lists again.
const tombstoneAge = 10 * time.Minute

// Source says who delivered a change.
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

type entry struct {
	objects.Object
	deletedAt time.Time
}

type kind struct {
	entries map[string]entry
	// complete is the store revision up to which no change is missing.
	complete int64
	// latest is the highest revision of an entry.
	latest int64
	// floor is the revision up to which deletions may not be known: that of the
	// newest list taken, which does not tell what it leaves out, or of the newest
	// deletion that was forgotten.
	floor int64
	// verified is when the store was asked the question whose answer made the
	// copy complete; zero: never.
	verified time.Time
	// question is the one that verified stands for, and heard holds those heard of
	// lately, oldest first.
	question uint64
	heard    []uint64
	// returned is when the store could be asked again after an outage.
	returned time.Time
}

const (
	// outageAge is the age of a copy at which the store counts as away for every
	// node in contact: longer than the last of them waits before it asks, and
	// shorter than the silence after which the store removes an entry.
	outageAge = 2 * time.Second
	// settleTime is how long after an outage a deletion may only mean that the
	// store missed heartbeats: entries of targets that live are back within about
	// two seconds (users' letter).
	settleTime = 2200 * time.Millisecond
)

// FreshnessMark says how new a copy of a kind is.
type FreshnessMark struct {
	Complete int64         // no change up to this revision is missing
	Latest   int64         // revision of the newest change held
	Floor    int64         // deletions up to this revision may not be held
	Age      time.Duration // since the store was asked
	QueryID  uint64        // which question to the store that was
	Known    bool          // the store was ever asked
}

// Cache is the copy of all followed kinds. It is safe for concurrent use.
type Cache struct {
	mu    sync.Mutex
	kinds map[string]*kind
	now   func() time.Time

	onVerified func()
}

// NewCache returns an empty copy of the kinds.
func NewCache(now func() time.Time, kinds ...string) *Cache {
	c := &Cache{kinds: map[string]*kind{}, now: now, onVerified: func() {}}
	for _, name := range kinds {
		c.kinds[name] = &kind{entries: map[string]entry{}}
	}
	return c
}

// Apply takes changes that, together with what is held, are complete from
// revision since up to revision to. It returns the entries that were news.
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
	var news []objects.Object
	for _, o := range changes {
		if c.put(k, o) {
			news = append(news, o)
		}
	}
	if since <= k.complete && to > k.complete {
		k.complete = to
	}
	return news
}

// Replace takes a whole listing at a revision: objects that it lacks are
// deleted as of that revision. It returns the entries that were news.
func (c *Cache) Replace(name string, list []objects.Object, revision int64) []objects.Object {
	listed := make(map[string]bool, len(list))
	for _, o := range list {
		listed[o.Name] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k == nil {
		return nil
	}
	changes := slices.Clone(list)
	for id, e := range k.entries {
		if !listed[id] && !e.Deleted && e.Revision <= revision {
			changes = append(changes, objects.Object{Name: id, Revision: revision, Deleted: true})
		}
	}
	news := c.apply(k, changes, 0, revision)
	k.floor = max(k.floor, revision)
	return news
}

func (c *Cache) put(k *kind, o objects.Object) bool {
	old, known := k.entries[o.Name]
	if !known && o.Revision <= k.floor {
		return false // it was gone when the list was made, and what deleted it is not known
	}
	if known && (old.Revision > o.Revision || (old.Revision == o.Revision && (old.Deleted || !o.Deleted))) {
		return false
	}
	e := entry{Object: o}
	if o.Deleted {
		e.deletedAt = c.now()
		c.prune(k)
	}
	k.entries[o.Name] = e
	k.latest = max(k.latest, o.Revision)
	return !o.Deleted || known
}

func (c *Cache) prune(k *kind) {
	for id, e := range k.entries {
		if e.Deleted && c.now().Sub(e.deletedAt) > tombstoneAge {
			delete(k.entries, id)
			k.floor = max(k.floor, e.Revision)
		}
	}
}

// CompleteRevision returns the revision up to which no change of the kind is missing.
func (c *Cache) CompleteRevision(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.kinds[name].complete
}

// Now returns the cache's time.
func (c *Cache) Now() time.Time { return c.now() }

// OnVerified sets the function that is told when a question to the store counts
// here that did not before, whoever asked it: other nodes ask themselves unless
// they hear of it soon. It must not block, nor call the cache. Call it before the
// cache is used.
func (c *Cache) OnVerified(f func()) { c.onVerified = f }

// MarkVerified notes that the copy holds all that the store held at a moment, by a
// question that this node asked.
func (c *Cache) MarkVerified(name string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.kinds[name]; k != nil {
		c.verify(k, at, rand.Uint64())
	}
}

// heardQuestions is how many questions are remembered of a kind: a datagram that
// is older than the last few of them is too old to be news.
const heardQuestions = 32

// verify notes the moment that a question stands for. A question counts when it
// is first heard of, and not again: what a mark says of its age leaves out the
// time that datagrams wait to be read, so that a mark that goes from node to node
// would stay young.
func (c *Cache) verify(k *kind, at time.Time, question uint64) {
	if slices.Contains(k.heard, question) {
		return
	}
	k.heard = append(k.heard, question)
	if len(k.heard) > heardQuestions {
		k.heard = slices.Delete(k.heard, 0, 1)
	}
	if !at.After(k.verified) {
		return
	}
	if now := c.now(); !k.verified.IsZero() && now.Sub(k.verified) > outageAge {
		k.returned = now
	}
	k.verified, k.question = at, question
	c.onVerified()
}

// DeletionsUncertain reports whether a deletion of this kind may only mean that the store
// was away and missed heartbeats. An outage that meets this node alone is none:
// its copy stays new through the nodes that reach the store.
func (c *Cache) DeletionsUncertain(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k.verified.IsZero() {
		return false
	}
	now := c.now()
	return now.Sub(k.verified) > outageAge || now.Sub(k.returned) < settleTime
}

// Age returns how long ago the copy was last known to hold all that the store
// held; known is false when it never was.
func (c *Cache) Age(name string) (age time.Duration, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	return c.now().Sub(k.verified), !k.verified.IsZero()
}

// EverVerified reports whether the copy of each kind ever held all that the store held.
func (c *Cache) EverVerified(kinds ...string) bool {
	for _, name := range kinds {
		if _, known := c.Age(name); !known {
			return false
		}
	}
	return true
}

// FreshnessMarks returns how new the copy of each kind is.
func (c *Cache) FreshnessMarks() map[string]FreshnessMark {
	c.mu.Lock()
	defer c.mu.Unlock()
	marks := make(map[string]FreshnessMark, len(c.kinds))
	for name, k := range c.kinds {
		marks[name] = FreshnessMark{Complete: k.complete, Latest: k.latest, Floor: k.floor, Age: c.now().Sub(k.verified), QueryID: k.question, Known: !k.verified.IsZero()}
	}
	return marks
}

// ReceiveMark takes how new another node's copy is. It reports whether this copy
// lacks a change that the other holds; when it does not, the other's question
// to the store counts for this copy too.
func (c *Cache) ReceiveMark(name string, m FreshnessMark) (behind bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k == nil || !m.Known {
		return false
	}
	if k.complete < m.Latest {
		return true // a list of several pages may hold a newer change and lack one before it
	}
	if k.complete < m.Floor {
		return false // a deletion that the other does not know may be missing here
	}
	k.complete = max(k.complete, m.Complete)
	c.verify(k, c.now().Add(-m.Age), m.QueryID)
	return false
}

// CompleteRevisions returns Complete of every kind.
func (c *Cache) CompleteRevisions() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	marks := make(map[string]int64, len(c.kinds))
	for name, k := range c.kinds {
		marks[name] = k.complete
	}
	return marks
}

// ChangesSince returns the changes of a kind after a revision, as far as this copy knows
// them. Where it may lack a deletion after that revision it returns all objects
// that exist, and whole is true.
func (c *Cache) ChangesSince(name string, revision int64) (changes []objects.Object, whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k == nil || k.complete <= revision {
		return nil, false
	}
	whole = revision < k.floor
	for _, e := range k.entries {
		if (whole && !e.Deleted) || (!whole && e.Revision > revision) {
			changes = append(changes, e.Object)
		}
	}
	return changes, whole
}

// Get returns an object that exists as far as is known.
func (c *Cache) Get(name, id string) (objects.Object, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.kinds[name].entries[id]
	return e.Object, ok && !e.Deleted
}

// List returns the objects of a kind that exist as far as is known.
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
