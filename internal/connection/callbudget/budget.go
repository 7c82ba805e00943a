// Package callbudget bounds the calls of one client by class, so that work that
// callers wait for is not held up by work that can wait.
package callbudget

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Class orders calls when the budget is short.
type Class int

// The classes, most important first.
const (
	Lease Class = iota
	Commit
	Status
)

// ErrExhausted: the context ended before the budget allowed the call.
var ErrExhausted = errors.New("no calls left in the budget")

// Budget is a token bucket with one second of burst. Less important classes
// must leave part of the bucket to the more important ones.
type Budget struct {
	mu     sync.Mutex
	rate   float64
	tokens float64
	filled time.Time
}

// keepFor is the share of the bucket that a class must leave untouched.
var keepFor = map[Class]float64{Lease: 0, Commit: 0.1, Status: 0.4}

// retryTake is how long a call waits before it looks at the bucket again.
const retryTake = 5 * time.Millisecond

// New returns a budget of rate calls a second.
func New(rate int) *Budget {
	return &Budget{rate: float64(rate), tokens: float64(rate), filled: time.Now()}
}

// Wait takes one call of the class, or ErrExhausted when ctx ends first.
func (b *Budget) Wait(ctx context.Context, class Class) error {
	for {
		if b.take(class, time.Now()) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ErrExhausted
		case <-time.After(retryTake):
		}
	}
}

func (b *Budget) take(class Class, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.rate, b.tokens+now.Sub(b.filled).Seconds()*b.rate)
	b.filled = now
	if b.tokens < 1+keepFor[class]*(b.rate-1) {
		return false
	}
	b.tokens--
	return true
}
