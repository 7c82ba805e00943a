package batch

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/process/clock"
	"github.com/marblepond/marblepond/internal/record"
)

// TestLeaseRunsOutDuringASuspension guards against a holder that was suspended and
// goes on to dispatch items after its lease expired and another node took the chunk
// over: the holder's monotonic clock does not advance during the suspension.
func TestLeaseRunsOutDuringASuspension(t *testing.T) {
	is := is.New(t)
	var suspended atomic.Int64
	w := &Worker{cfg: Config{LeaseTTL: 10 * time.Second, OutageGrace: 30 * time.Second},
		clock: clock.NewWithSuspensions(func() time.Duration { return time.Duration(suspended.Load()) })}
	nonIdempotent := &lease{job: record.Job{NonIdempotent: true}, renewed: w.clock.Now()}
	idempotent := &lease{renewed: w.clock.Now()}
	is.True(w.valid(nonIdempotent) && w.valid(idempotent))
	for _, c := range []struct {
		suspendedFor              time.Duration
		nonIdempotent, idempotent bool
	}{{7 * time.Second, true, true}, {9 * time.Second, false, true}, {40 * time.Second, false, false}} {
		suspended.Store(int64(c.suspendedFor))
		time.Sleep(20 * time.Millisecond) // longer than the clock caches its reading
		is.Equal(w.valid(nonIdempotent), c.nonIdempotent)
		is.Equal(w.valid(idempotent), c.idempotent)
	}
}
