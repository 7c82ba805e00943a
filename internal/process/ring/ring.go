// Package ring provides the bounded queue between the goroutines of a node. Each ring has a
// policy for entries that arrive while it is full.
package ring

import "sync/atomic"

// Policy is what Put does if the ring is full.
type Policy int

// The policies.
const (
	Refuse     Policy = iota // Put returns false; the producer decides
	DropOldest               // Put drops the oldest entry
	Block                    // Put waits until an entry was taken out
)

// Ring is a bounded first-in first-out queue for any number of producers and
// consumers.
type Ring[T any] struct {
	entries chan T
	policy  Policy
	refused atomic.Int64
	dropped atomic.Int64
}

// New returns a ring that holds up to size entries.
func New[T any](size int, policy Policy) *Ring[T] {
	return &Ring[T]{entries: make(chan T, size), policy: policy}
}

// Put adds an entry. It returns false only if the policy is Refuse and the ring is full.
func (r *Ring[T]) Put(entry T) bool {
	switch r.policy {
	case Block:
		r.entries <- entry
		return true
	case DropOldest:
		for {
			select {
			case r.entries <- entry:
				return true
			default:
			}
			select {
			case <-r.entries:
				r.dropped.Add(1)
			default:
			}
		}
	default:
		select {
		case r.entries <- entry:
			return true
		default:
			r.refused.Add(1)
			return false
		}
	}
}

// Out returns the channel that consumers read from.
func (r *Ring[T]) Out() <-chan T { return r.entries }

// Len returns the number of waiting entries.
func (r *Ring[T]) Len() int { return len(r.entries) }

// Lost returns the numbers of entries that were refused and that were dropped.
func (r *Ring[T]) Lost() (refused, dropped int64) {
	return r.refused.Load(), r.dropped.Load()
}
