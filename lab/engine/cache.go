package engine

import (
	"container/list"
	"sync"
	"time"
)

// prefixCache is a least-recently-used cache of prompt blocks. The key of a block is the hash
// of the prompt up to its end.
type prefixCache struct {
	limit  int
	blocks map[uint64]*list.Element
	order  *list.List // most recently used first
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, blocks: map[uint64]*list.Element{}, order: list.New()}
}

// insert returns the prompt tokens that are not cached and caches them.
func (c *prefixCache) insert(prompt string) int {
	blockChars := blockTokens * charsPerToken
	hit := true
	missed := 0
	for end := blockChars; end <= len(prompt); end += blockChars {
		key := Seed(prompt[:end])
		element, ok := c.blocks[key]
		hit = hit && ok
		if ok {
			c.order.MoveToFront(element)
		} else {
			c.blocks[key] = c.order.PushFront(key)
		}
		if !hit {
			missed += blockTokens
		}
	}
	for c.order.Len() > c.limit {
		oldest := c.order.Back()
		delete(c.blocks, oldest.Value.(uint64))
		c.order.Remove(oldest)
	}
	return missed + len(prompt)%blockChars/charsPerToken + 1
}

// CacheEvent reports that the blocks of a prompt were cached.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Prefix uint64 `json:"prefix"`
}

// eventLog holds the last maxEvents cache events; older ones are lost. An event is returned
// only after eventDelay.
type eventLog struct {
	mu     sync.Mutex
	seq    int64
	events []loggedEvent
}

type loggedEvent struct {
	CacheEvent
	at time.Time
}

const (
	maxEvents  = 200
	eventDelay = 300 * time.Millisecond
)

func newEventLog() *eventLog { return &eventLog{} }

func (l *eventLog) add(prompt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	l.events = append(l.events, loggedEvent{CacheEvent{l.seq, Seed(prompt)}, time.Now()})
	if len(l.events) > maxEvents {
		l.events = l.events[1:]
	}
}

func (l *eventLog) since(seq int64) []CacheEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []CacheEvent{}
	for _, e := range l.events {
		if e.Seq > seq && time.Since(e.at) > eventDelay {
			out = append(out, e.CacheEvent)
		}
	}
	return out
}
