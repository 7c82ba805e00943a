package job

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/objects"
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
	m.Allotments = func() func(choose.Target) int {
		shares.Add(1)
		return func(choose.Target) int { return 0 }
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*scheduleInterval)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx)
	}()
	for range 50 {
		m.PreemptItems()
	}
	<-done
	is.Equal(shares.Load(), int32(0))
	is.Equal(pool.excess.Load(), int32(0))
}

// nonSweeperPeers are peers among which this node is not one that looks for the lost
// jobs of others.
type nonSweeperPeers struct{ noPeers }

func (nonSweeperPeers) IsSweeper() bool { return false }

// TestFewNodesSweep: of 250 nodes before ten jobs a second each listed the heads of
// all jobs every five seconds. A node lists them at its start, for jobs of its own
// before that, and then only if it is one of those that look for all.
func TestFewNodesSweep(t *testing.T) {
	for name, c := range map[string]struct {
		peers   Peers
		repeats bool
	}{"one of them": {noPeers{}, true}, "another one": {nonSweeperPeers{}, false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			store := &listCounter{memoryStore: newMemoryStore()}
			m := newTestManager("n", store)
			m.cfg.SweepInterval, m.cfg.CheckpointInterval, m.Peers = 20*time.Millisecond, time.Hour, c.peers
			ctx, cancel := context.WithTimeout(context.Background(), 2*firstSweepDelay)
			defer cancel()
			m.Run(ctx)
			lists := store.lists.Load()
			is.True(lists >= 1)
			is.Equal(lists > 1, c.repeats)
		})
	}
}

// TestStartingNodeLooksUntilItHasItsJobs: a node that can't list the heads at its
// start looks again, also when it is not one of those that look for all.
func TestStartingNodeLooksUntilItHasItsJobs(t *testing.T) {
	is := is.New(t)
	store := &listCounter{memoryStore: newMemoryStore()}
	store.failures.Store(1)
	m := newTestManager("n", store)
	m.cfg.SweepInterval, m.cfg.CheckpointInterval, m.Peers = time.Hour, time.Hour, nonSweeperPeers{}
	ctx, cancel := context.WithTimeout(context.Background(), 2*firstSweepDelay+2*suspectSweepInterval)
	defer cancel()
	m.Run(ctx)
	is.Equal(store.lists.Load(), int32(2))
}

// listCounter counts lists, the first few of which fail.
type listCounter struct {
	*memoryStore
	lists, failures atomic.Int32
}

func (s *listCounter) ListStale(ctx context.Context, kind string) (objects.Page, error) {
	s.lists.Add(1)
	if s.failures.Add(-1) >= 0 {
		return objects.Page{}, objects.ErrUnavailable
	}
	return s.memoryStore.ListStale(ctx, kind)
}
