package job

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/request/choose"
)

// countingPool has no room and counts how often it is asked about it.
type countingPool struct {
	noPool
	excess atomic.Int32
}

func (p *countingPool) Excess() map[string]int {
	p.excess.Add(1)
	return nil
}

// TestNodeWithoutJobsLooksForNothing: of 250 nodes that share ten jobs a second
// most hold none at a moment. Such a node neither deals out room nor looks for
// items to stop, however often what is in flight elsewhere changes.
func TestNodeWithoutJobsLooksForNothing(t *testing.T) {
	is := is.New(t)
	var shares atomic.Int32
	pool := &countingPool{}
	m := newTestManager("n", newMemoryStore())
	m.cfg.SweepInterval, m.cfg.CheckpointInterval = time.Hour, time.Hour
	m.Pool = pool
	m.Shares = func() func(choose.Target) int {
		shares.Add(1)
		return func(choose.Target) int { return 0 }
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*scheduleTick)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx)
	}()
	for range 50 {
		m.MakeRoom()
	}
	<-done
	is.Equal(shares.Load(), int32(0))
	is.Equal(pool.excess.Load(), int32(0))
}
