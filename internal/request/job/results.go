package job

import (
	"container/list"
	"sync"
)

// resultCache caches listed results and evicts the least recently used job first.
// Everything in it can be read from the object store again. It is safe for concurrent use.
type resultCache struct {
	limit int // bytes

	mu    sync.Mutex
	jobs  map[string]*cachedJob
	order *list.List // of *cachedJob, most recently used first
	bytes int
}

type cachedJob struct {
	id      string
	total   int
	results map[int]Result // by position
	bytes   int
	element *list.Element
}

func newResultCache(limit int) *resultCache {
	return &resultCache{limit: limit, jobs: map[string]*cachedJob{}, order: list.New()}
}

// put caches results at consecutive positions from first on. It returns a position that
// already held a different result, or -1.
func (c *resultCache) put(id string, first int, results []Result) (conflict int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conflict = -1
	j := c.get(id)
	for i, r := range results {
		if old, ok := j.results[first+i]; ok {
			if old != r {
				conflict = first + i
			}
			continue
		}
		j.results[first+i] = r
		j.bytes += len(r.Text)
		c.bytes += len(r.Text)
	}
	for c.bytes > c.limit && c.order.Len() > 1 {
		c.drop(c.order.Back().Value.(*cachedJob))
	}
	if c.bytes > c.limit {
		c.keepOnly(j, first, first+len(results))
	}
	return conflict
}

// keepOnly removes the results of a job outside of a range of positions, and all of them if these alone
// are over the limit. The caller holds c.mu.
func (c *resultCache) keepOnly(j *cachedJob, from, to int) {
	for position, r := range j.results {
		if position < from || position >= to {
			delete(j.results, position)
			j.bytes -= len(r.Text)
			c.bytes -= len(r.Text)
		}
	}
	if c.bytes > c.limit {
		c.drop(j)
	}
}

// get returns the cache entry of a job, which it creates if needed and marks as most
// recently used. The caller holds c.mu.
func (c *resultCache) get(id string) *cachedJob {
	j := c.jobs[id]
	if j == nil {
		j = &cachedJob{id: id, results: map[int]Result{}}
		j.element = c.order.PushFront(j)
		c.jobs[id] = j
		return j
	}
	c.order.MoveToFront(j.element)
	return j
}

// drop removes a cache entry. The caller holds c.mu.
func (c *resultCache) drop(j *cachedJob) {
	c.order.Remove(j.element)
	delete(c.jobs, j.id)
	c.bytes -= j.bytes
}

// setTotal records the number of items of a cached job.
func (c *resultCache) setTotal(id string, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j != nil {
		j.total = total
	}
}

// from returns the cached results at consecutive positions from after on, and the number of
// items of the job.
func (c *resultCache) from(id string, after int) ([]Result, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		return nil, 0
	}
	c.order.MoveToFront(j.element)
	var out []Result
	for {
		r, ok := j.results[after+len(out)]
		if !ok {
			return out, j.total
		}
		out = append(out, r)
	}
}

// has reports whether the result at a position is cached.
func (c *resultCache) has(id string, position int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		return false
	}
	_, ok := j.results[position]
	return ok
}

// forget removes a job from the cache.
func (c *resultCache) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j != nil {
		c.drop(j)
	}
}
