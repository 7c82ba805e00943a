package follow

import (
	"math/rand/v2"
	"slices"
	"time"
)

// FreshnessMark says how fresh a node's cached copy of a kind is.
type FreshnessMark struct {
	Complete int64         // no change up to this revision is missing
	Latest   int64         // revision of the newest change in the copy
	Floor    int64         // deletions up to this revision may be missing
	Age      time.Duration // since the newest store query whose answer the copy contains
	QueryID  uint64        // identifies that query
	Known    bool          // there was such a query
}

// OnVerified sets the function that is called when a newer store query, by any node,
// makes a copy fresher: other nodes query the store themselves unless they learn of it
// soon. The function must not block, nor call the cache. Call OnVerified before the cache
// is used.
func (c *Cache) OnVerified(f func()) { c.onVerified = f }

// MarkVerified records that the copy contains all that the store held at the time given,
// when this node sent a query to the store.
func (c *Cache) MarkVerified(name string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.kinds[name]; k != nil {
		c.verify(k, at, rand.Uint64())
	}
}

// maxSeenQueries is how many query IDs are kept for each kind: a datagram that is older
// than the last few queries cannot make the copy fresher.
const maxSeenQueries = 32

// verify records that the copy contains the answer of a store query that was sent at the
// time given. Each query counts only when it is first seen: the age in a mark leaves out
// the time that datagrams wait to be read, so that a mark which nodes pass to and fro
// would seem fresher than it is.
func (c *Cache) verify(k *kind, at time.Time, queryID uint64) {
	if slices.Contains(k.seenQueries, queryID) {
		return
	}
	k.seenQueries = append(k.seenQueries, queryID)
	if len(k.seenQueries) > maxSeenQueries {
		k.seenQueries = slices.Delete(k.seenQueries, 0, 1)
	}
	if !at.After(k.verified) {
		return
	}
	k.storeAnswered(c.now(), at)
	k.verified, k.queryID = at, queryID
	k.partial = false
	k.refresh.end()
	c.onVerified()
}

// storeAnswered notes that the store has answered a query that was sent at the time given. The
// time between two queries tells of an outage, and not that between the news of them: a node that
// is short of processor time hears of them late. For a node that has just started the time counts
// from its start.
func (k *kind) storeAnswered(now, sent time.Time) {
	before := k.answered
	if before.IsZero() {
		before = k.started
	}
	if sent.Sub(before) > k.outageAge {
		k.outageEnd = now
	}
	if sent.After(k.answered) {
		k.answered = sent
	}
}

// DeletionsUncertain reports whether a deletion of this kind may only mean that the store
// missed heartbeats during an outage. If only this node cannot reach the store, deletions
// are certain: the nodes that reach it keep this node's copy fresh.
func (c *Cache) DeletionsUncertain(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k.answered.IsZero() {
		return false
	}
	now := c.now()
	return now.Sub(k.answered) > k.outageAge || now.Sub(k.outageEnd) < recoveryTime
}

// Age returns the time since the copy was last known to contain all that the store held;
// known is false if it never was.
func (c *Cache) Age(name string) (age time.Duration, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	return c.now().Sub(k.verified), !k.verified.IsZero()
}

// EverVerified reports whether the copy of each kind given ever contained all that the
// store held.
func (c *Cache) EverVerified(kinds ...string) bool {
	for _, name := range kinds {
		if _, known := c.Age(name); !known {
			return false
		}
	}
	return true
}

// FreshnessMarks returns the freshness mark of each kind.
func (c *Cache) FreshnessMarks() map[string]FreshnessMark {
	c.mu.Lock()
	defer c.mu.Unlock()
	marks := make(map[string]FreshnessMark, len(c.kinds))
	for name, k := range c.kinds {
		complete := k.completeRevision()
		if k.filling() {
			complete = 0
		}
		marks[name] = FreshnessMark{Complete: complete, Latest: k.latest, Floor: k.floor, Age: c.now().Sub(k.verified), QueryID: k.queryID, Known: !k.verified.IsZero()}
	}
	return marks
}

// ReceiveMark takes the freshness mark of another node's copy. It reports whether this
// copy lacks a change that the other has; when it lacks nothing, the other node's store
// query counts for this copy too.
func (c *Cache) ReceiveMark(name string, m FreshnessMark) (behind bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k == nil || !m.Known {
		return false
	}
	k.heardOf = max(k.heardOf, m.Latest)
	if !slices.Contains(k.seenQueries, m.QueryID) { // also where this copy still lacks its answer
		k.storeAnswered(c.now(), c.now().Add(-m.Age))
	}
	complete := k.completeRevision()
	if complete < m.Latest || k.filling() {
		return true // a listing in several pages may contain a newer change and lack an older one
	}
	if complete < m.Floor {
		return false // a deletion that the other node does not know may be missing here
	}
	k.complete, k.deletions = max(k.complete, m.Complete), max(k.deletions, m.Complete)
	k.partial = false
	c.verify(k, c.now().Add(-m.Age), m.QueryID)
	return false
}
