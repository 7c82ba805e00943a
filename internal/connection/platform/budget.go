package platform

import (
	"context"
	"sync"
	"time"
)

// budget is a token bucket with one second of burst. Less important classes
// must leave part of the bucket to the more important ones.
type budget struct {
	mu     sync.Mutex
	rate   float64
	tokens float64
	filled time.Time
}

// keepFor is the share of the bucket that a class must leave untouched.
var keepFor = map[Class]float64{Lease: 0, Commit: 0.1, Status: 0.4}

// retryTake is how long a call waits before it looks at the bucket again.
const retryTake = 5 * time.Millisecond

func newBudget(rate int) *budget {
	return &budget{rate: float64(rate), tokens: float64(rate), filled: time.Now()}
}

// wait takes one call of the class, or ErrBudget when ctx ends first.
func (b *budget) wait(ctx context.Context, class Class) error {
	for {
		if b.take(class, time.Now()) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ErrBudget
		case <-time.After(retryTake):
		}
	}
}

func (b *budget) take(class Class, now time.Time) bool {
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
