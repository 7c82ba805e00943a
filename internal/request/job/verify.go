package job

import (
	"context"
	"time"

	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/process/wait"
)

const (
	// suspensionThreshold is how late the scheduler must look for this node to take it
	// that its process or machine stood still: far longer than a busy machine
	// delays a timer, and shorter than the time after which others take over.
	suspensionThreshold = time.Second
	// verifyRetryDelay is the pause after the store did not tell who holds a job.
	verifyRetryDelay = 300 * time.Millisecond
	// verifyInterval is the least time between two questions for one job: another
	// node says several times a second that it holds it.
	verifyInterval = time.Second
	// verifyTimeout bounds finding out; the next commit is fenced in any case.
	verifyTimeout = 10 * time.Second
)

// verify finds out whether this node still holds a job that another node may
// have taken over, and stops working on it when it does not. Writes of a former
// holder fail in any case, but its reads would miss what its successor lists.
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

// fence stops the work on a job whose head shows a later holder.
func (m *Manager) fence(id string, head *Head) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h := m.held[id]; h != nil && head.Epoch > h.head.Epoch {
		m.release(h, "another node holds the job")
	}
}

// verifyAll verifies every job held, after this node stood still.
func (m *Manager) verifyAll(suspended time.Duration) {
	m.mu.Lock()
	ids := make([]string, 0, len(m.held))
	for id := range m.held {
		ids = append(ids, id)
	}
	m.mu.Unlock()
	for _, id := range ids {
		go m.verify(id, "this node stood still for "+suspended.Round(time.Millisecond).String())
	}
}
