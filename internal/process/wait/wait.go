// Package wait provides a sleep that ends early if a context ends.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns false if ctx ended first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
