package job

import (
	"context"
	"time"

	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/process/wait"
)

const (
	// suspensionThreshold is how late a run of the scheduler must be for this node to
	// conclude that its process or VM was suspended: far longer than a busy VM delays a
	// timer, and shorter than the time after which other nodes take its jobs over.
	suspensionThreshold = time.Second
	// verifyRetryDelay is the delay after the head of a job could not be read.
	verifyRetryDelay = 300 * time.Millisecond
	// verifyInterval is the minimum time between two verifications of one job: another node
	// announces several times a second that it holds the job.
	verifyInterval = time.Second
	// verifyTimeout bounds one verification; commits of a former holder fail in any case.
	verifyTimeout = 10 * time.Second
)

// verify reads the head of a job that another node may have taken over, and releases the
// job if that is so. Writes of a former holder fail in any case, but reads from it would
// miss the results that its successor lists.
func (m *Manager) verify(id, why string) {
	ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
	defer cancel()
	m.Recorder.Record(timeline.JobDoubted, id, "", why)
	for {
		head, _, err := m.getHead(ctx, callbudget.Commit, id)
		if err == nil {
			m.fence(id, &head)
			return
		}
		if !wait.For(ctx, verifyRetryDelay) {
			return
		}
	}
}

// fence releases a job whose head shows a later holder.
func (m *Manager) fence(id string, head *Head) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h := m.held[id]; h != nil && head.Epoch > h.head.Epoch {
		m.release(h, "another node holds the job")
	}
}

// verifyAll verifies every held job after this node was suspended.
func (m *Manager) verifyAll(suspended time.Duration) {
	m.mu.Lock()
	ids := make([]string, 0, len(m.held))
	for id := range m.held {
		ids = append(ids, id)
	}
	m.mu.Unlock()
	for _, id := range ids {
		go m.verify(id, "this node was suspended for "+suspended.Round(time.Millisecond).String())
	}
}
