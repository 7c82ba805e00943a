package batch

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/process/clock"
	"github.com/marblepond/marblepond/internal/record"
)

// TestLeaseRunsOutDuringASuspension: another node takes a chunk over while its holder's
// machine is suspended. The holder's steady clock stood still, and it would go on to
// dispatch items under a lease that is over.
func TestLeaseRunsOutDuringASuspension(t *testing.T) {
	is := is.New(t)
	var suspended atomic.Int64
	w := &Worker{cfg: Config{LeaseTTL: 10 * time.Second, OutageGrace: 30 * time.Second},
		clock: clock.NewShifted(func() time.Duration { return time.Duration(suspended.Load()) })}
	once := &lease{job: record.Job{NonIdempotent: true}, renewed: w.clock.Now()}
	repeatable := &lease{renewed: w.clock.Now()}
	is.True(w.valid(once) && w.valid(repeatable))
	for _, c := range []struct {
		away             time.Duration
		once, repeatable bool
	}{{7 * time.Second, true, true}, {9 * time.Second, false, true}, {40 * time.Second, false, false}} {
		suspended.Store(int64(c.away))
		time.Sleep(20 * time.Millisecond) // longer than the clock relies on a look
		is.Equal(w.valid(once), c.once)
		is.Equal(w.valid(repeatable), c.repeatable)
	}
}
