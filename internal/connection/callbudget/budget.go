// Package callbudget limits the rate of calls of one client by priority class, so that
// calls that callers wait for are not delayed by calls that can wait.
package callbudget

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Class is the priority of a call when the budget is short.
type Class int

// The classes, most important first.
const (
	Lease Class = iota
	Commit
	Status
)

var classNames = map[Class]string{Lease: "lease", Commit: "commit", Status: "status"}

// String returns the name of the class in metrics.
func (c Class) String() string { return classNames[c] }

// ErrExhausted: the context ended before the budget allowed the call.
var ErrExhausted = errors.New("no calls left in the budget")

// Budget is a token bucket with a burst of one second. Calls of the less important
// classes leave part of the bucket to the more important ones.
type Budget struct {
	mu         sync.Mutex
	rate       float64
	tokens     float64
	refilledAt time.Time
}

// reservedShare is the fraction of the bucket that a class must leave to the others.
var reservedShare = map[Class]float64{Lease: 0, Commit: 0.1, Status: 0.4}

// retryInterval is how often a waiting call tries to take a token.
const retryInterval = 5 * time.Millisecond

// New returns a budget of rate calls per second.
func New(rate int) *Budget {
	return &Budget{rate: float64(rate), tokens: float64(rate), refilledAt: time.Now()}
}

// Wait takes a token for a call of the class. It returns ErrExhausted if ctx ends first.
func (b *Budget) Wait(ctx context.Context, class Class) error {
	for {
		if b.take(class, time.Now()) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ErrExhausted
		case <-time.After(retryInterval):
		}
	}
}

func (b *Budget) take(class Class, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.rate, b.tokens+now.Sub(b.refilledAt).Seconds()*b.rate)
	b.refilledAt = now
	if b.tokens < 1+reservedShare[class]*(b.rate-1) {
		return false
	}
	b.tokens--
	return true
}
