package job

import (
	"time"

	"github.com/marblepond/marblepond/internal/request/backlog"
)

// Demand returns how many items wait for a target or run here.
func (m *Manager) Demand() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, h := range m.held {
		if !h.ended {
			n += h.progress.demand()
		}
	}
	return n
}

const (
	// announceDuration is how long a node tells others that it came to hold a job: in
	// that time each of them has heard it a few times.
	announceDuration = 2 * time.Second
	// announceTakeoverDuration is the same for a job that it took over: its former holder
	// may be cut off, usually for a few seconds, and has to hear it soon after.
	announceTakeoverDuration = 12 * time.Second
)

// Announced returns the jobs that this node lately came to hold.
func (m *Manager) Announced() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for id, h := range m.held {
		duration := announceDuration
		if h.head.Epoch > 1 {
			duration = announceTakeoverDuration
		}
		if time.Since(h.heldSince) < duration {
			out = append(out, id)
		}
	}
	return out
}

// ObserveHolder takes the news that a node holds jobs.
func (m *Manager) ObserveHolder(holder Holder, jobs []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range jobs {
		if h := m.held[id]; h != nil {
			if time.Since(h.verifiedAt) > verifyInterval {
				h.verifiedAt = time.Now()
				go m.verify(id, "node "+holder.Node+" says that it holds the job")
			}
			continue
		}
		known := m.heads[id]
		if known.head.Holder != holder && !(known.fromStore && known.head.Complete()) {
			m.heads[id] = knownHead{head: Head{Holder: holder}, at: time.Now()}
		}
	}
}

// WaitingTokens returns the tokens of items that this node holds and that no target has
// finished, with those of submissions in progress.
func (m *Manager) WaitingTokens() map[backlog.Key]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[backlog.Key]int64{}
	for _, h := range m.held {
		if h.ended {
			continue
		}
		if r := m.routeOf(&h.head); r != nil {
			out[backlog.Key{Route: r.Name, Workspace: h.head.Workspace}] += h.waitingTokens()
		}
	}
	for key, tokens := range m.reserved {
		out[key] += tokens
	}
	return out
}

func (h *heldJob) waitingTokens() int64 {
	total := int64(0)
	for i := range h.items {
		if p := h.progress.items[i].phase; p == waiting || p == running {
			total += h.items[i].Tokens
		}
	}
	return total
}
