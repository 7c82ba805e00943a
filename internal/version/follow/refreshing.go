package follow

import (
	"slices"
	"time"
)

// RefreshProgress says how far a refresh of a copy has come that takes several answers of the
// store. Nodes pass it on, so that others wait for its end instead of querying the store too.
type RefreshProgress struct {
	ID      uint64 // of the refresh
	Answers uint32 // received so far
}

const (
	// refreshPatience is how long other nodes wait for the next answer to a refresh. It is longer
	// than an answer of full size takes on a slow line and its news to every node.
	refreshPatience = 600 * time.Millisecond
	// maxSeenRefreshes is how many refreshes are remembered for each kind.
	maxSeenRefreshes = 8
)

// refreshes is what a node knows of refreshes of one kind that are under way.
type refreshes struct {
	seen     []RefreshProgress // newest last
	began    time.Time         // when the first progress since the newest end was known; zero: none is
	advanced time.Time         // when the newest progress was known
}

// note notes progress. It reports whether that was new.
func (r *refreshes) note(now time.Time, p RefreshProgress) bool {
	i := slices.IndexFunc(r.seen, func(seen RefreshProgress) bool { return seen.ID == p.ID })
	if i >= 0 && r.seen[i].Answers >= p.Answers {
		return false
	}
	if i >= 0 {
		r.seen = slices.Delete(r.seen, i, i+1)
	}
	r.seen = append(r.seen, p)
	if len(r.seen) > maxSeenRefreshes {
		r.seen = slices.Delete(r.seen, 0, 1)
	}
	if r.began.IsZero() || now.Sub(r.advanced) > refreshPatience {
		r.began = now
	}
	r.advanced = now
	return true
}

// end notes that a refresh has ended with a complete answer.
func (r *refreshes) end() { r.began = time.Time{} }

// newest returns the newest progress while a refresh is under way.
func (r *refreshes) newest(now time.Time) (p RefreshProgress, underWay bool) {
	if r.began.IsZero() || now.Sub(r.advanced) > refreshPatience {
		return RefreshProgress{}, false
	}
	return r.seen[len(r.seen)-1], true
}

// wait returns how long another node waits for a refresh that is under way: until no answer has
// arrived for refreshPatience, and no longer than maxTime since it was known of.
func (r *refreshes) wait(now time.Time, maxTime time.Duration) time.Duration {
	if _, underWay := r.newest(now); !underWay {
		return 0
	}
	return max(0, min(r.advanced.Add(refreshPatience).Sub(now), r.began.Add(maxTime).Sub(now)))
}

// NoteRefresh notes the progress of a refresh, by this node or by another. It reports whether
// that was new to this node.
func (c *Cache) NoteRefresh(name string, p RefreshProgress) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[name]
	if k == nil || !k.refresh.note(c.now(), p) {
		return false
	}
	k.storeAnswered(c.now(), c.now())
	return true
}

// RefreshesUnderWay returns the progress of the refreshes that are under way, by kind.
func (c *Cache) RefreshesUnderWay() map[string]RefreshProgress {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out map[string]RefreshProgress
	for name, k := range c.kinds {
		if p, underWay := k.refresh.newest(c.now()); underWay {
			if out == nil {
				out = map[string]RefreshProgress{}
			}
			out[name] = p
		}
	}
	return out
}

// refreshWait returns how long this node waits for a refresh by another node.
func (c *Cache) refreshWait(name string, maxTime time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.kinds[name].refresh.wait(c.now(), maxTime)
}
