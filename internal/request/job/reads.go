package job

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/request/patience"
)

const (
	// bulkReadFactor is how many times its bytes a stored object takes while it is read: as it comes,
	// decoded, and as it is handed on.
	bulkReadFactor = 4
	// minBulkRead is the least that a read counts, with its connection.
	minBulkRead = 64 << 10
	// defaultBulkMemory and defaultReads apply to a node without limits.
	defaultBulkMemory = 256 << 20
	defaultReads      = 1024
	// MaxPollBytes is the largest answer of a holder that is read while nothing counts its memory.
	MaxPollBytes = 64 << 10
	// maxBulkWaits is how many reads may wait for others, and bulkReadWait for how long.
	maxBulkWaits = 256
	bulkReadWait = time.Second
)

// bulkReads bounds the memory and the connections for reads of stored results and items that callers
// cause, and the connections on which a holder is asked to wait for results. It is safe for concurrent
// use.
type bulkReads struct {
	limit   int64
	least   int64 // that a read counts
	memory  *semaphore.Weighted
	polls   *semaphore.Weighted
	waiting atomic.Int64
}

// newBulkReads returns a bound in bytes and in connections, 0 for the defaults.
func newBulkReads(limit int64, connections int) *bulkReads {
	if limit <= 0 {
		limit = defaultBulkMemory
	}
	if connections <= 0 {
		connections = defaultReads
	}
	return &bulkReads{limit: limit, least: max(minBulkRead, limit/int64(connections)), memory: semaphore.NewWeighted(limit), polls: semaphore.NewWeighted(int64(connections))}
}

// begin waits until an object of a number of bytes may be read; end has to be called after that. An
// object that alone is over the bound is read alone. It fails with Overloaded if too many wait, or for
// too long.
func (b *bulkReads) begin(ctx context.Context, bytes int) (end func(), err error) {
	weight := min(max(bulkReadFactor*int64(bytes), b.least), b.limit)
	release := func() { b.memory.Release(weight) }
	if b.memory.TryAcquire(weight) {
		return release, nil
	}
	defer b.waiting.Add(-1)
	if b.waiting.Add(1) > maxBulkWaits {
		return nil, errTooManyReads()
	}
	limited, cancel := context.WithTimeout(ctx, bulkReadWait)
	defer cancel()
	if err := b.memory.Acquire(limited, weight); err != nil {
		return nil, errTooManyReads()
	}
	return release, nil
}

func errTooManyReads() error {
	return errkind.WithRetryAfter(errkind.Overloaded.New("too many results and items are read at once"), patience.Spread(fullRetryAfterLeast, fullRetryAfterMost, rand.Float64()))
}

// segmentSize returns the bytes of the segment that lists the result at a position, an upper limit if
// the head does not state them.
func (m *Manager) segmentSize(head *Head, position int) int {
	first := 0
	for _, s := range head.Segments {
		if first += len(s.Items); position < first {
			if s.Bytes > 0 {
				return s.Bytes
			}
			break
		}
	}
	return m.cfg.MaxValueBytes
}

// itemsSize returns an upper limit of the bytes of a job's stored items.
func (m *Manager) itemsSize(head *Head) int {
	return max(maxInlineBytes, head.Parts*m.cfg.MaxValueBytes)
}
