package job

import (
	"container/list"
	"sync"
)

// resultCache keeps listed results in memory, the least recently read job is
// dropped first. Everything in it can be read from the store again. It is safe
// for concurrent use.
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

// put keeps results at consecutive positions. It returns a position that held
// another result, -1 when there is none.
func (c *resultCache) put(id string, first int, results []Result) (moved int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	moved = -1
	j := c.get(id)
	for i, r := range results {
		if old, ok := j.results[first+i]; ok {
			if old != r {
				moved = first + i
			}
			continue
		}
		j.results[first+i] = r
		j.bytes += resultSize(r)
		c.bytes += resultSize(r)
	}
	for c.bytes > c.limit && c.order.Len() > 1 {
		c.drop(c.order.Back().Value.(*cachedJob))
	}
	return moved
}

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

func (c *resultCache) drop(j *cachedJob) {
	c.order.Remove(j.element)
	delete(c.jobs, j.id)
	c.bytes -= j.bytes
}

// setTotal notes the number of items of a job.
func (c *resultCache) setTotal(id string, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j != nil {
		j.total = total
	}
}

// from returns the results at consecutive positions from one on, as far as
// they are in memory, and the number of items of the job.
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

// has reports whether the result at a position is in memory.
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

// forget drops a job.
func (c *resultCache) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j != nil {
		c.drop(j)
	}
}
