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

// countingPool has no free slots and counts the calls of Excess.
type countingPool struct {
	noPool
	excess atomic.Int32
}

func (p *countingPool) Excess() map[string]int {
	p.excess.Add(1)
	return nil
}

// TestNodeWithoutJobsLooksForNothing: of 250 nodes that share ten jobs a second, most hold
// none at a given moment. Such a node neither computes allotments nor looks for items to
// stop, however often the counts of other nodes change.
func TestNodeWithoutJobsLooksForNothing(t *testing.T) {
	is := is.New(t)
	var allotments atomic.Int32
	pool := &countingPool{}
	m := newTestManager("n", newMemoryStore())
	m.cfg.SweepInterval, m.cfg.CheckpointInterval = time.Hour, time.Hour
	m.Pool = pool
	m.Allotments = func() func(choose.Target) int {
		allotments.Add(1)
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
	is.Equal(allotments.Load(), int32(0))
	is.Equal(pool.excess.Load(), int32(0))
}

// nonSweeperPeers are peers among which this node does not scan for lost jobs of others.
type nonSweeperPeers struct{ noPeers }

func (nonSweeperPeers) IsSweeper() bool { return false }

// TestFewNodesSweep: a node lists the heads of all jobs at its start, to find its own
// earlier jobs, and then only if it is a sweeper. Otherwise, at ten jobs a second, each of
// 250 nodes would list the heads of all jobs every five seconds.
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

// TestStartingNodeLooksUntilItHasItsJobs: a node that can't list the heads at its start
// tries again, also if it is not a sweeper.
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

// listCounter counts list calls, of which the first few fail.
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
