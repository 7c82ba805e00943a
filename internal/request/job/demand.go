package job

import (
	"time"
)

// Demand returns how many items wait or run here.
func (m *Manager) Demand() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, h := range m.held {
		if !h.ended {
			n += h.progress.open()
		}
	}
	return n
}

// announceFor is how long a node tells others that it came to hold a job: in
// that time each of them has heard it a few times.
const announceFor = 2 * time.Second

// Announced returns the jobs that this node lately came to hold.
func (m *Manager) Announced() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for id, h := range m.held {
		if time.Since(h.since) < announceFor {
			out = append(out, id)
		}
	}
	return out
}

// HeldBy takes the news that a node holds jobs.
func (m *Manager) HeldBy(holder Holder, jobs []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range jobs {
		known := m.heads[id]
		if m.held[id] == nil && known.head.Holder != holder && !known.whole {
			known.head.Holder, known.at, known.lost = holder, time.Now(), false
			m.heads[id] = known
		}
	}
}

// WaitingTokens returns, by route, the tokens of items that this node holds
// and that no target has finished.
func (m *Manager) WaitingTokens() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]int64{}
	for _, h := range m.held {
		if h.ended {
			continue
		}
		if r := m.routeOf(&h.head); r != nil {
			out[r.Name] += h.waitingTokens()
		}
	}
	for name, tokens := range m.reserved {
		out[name] += tokens
	}
	return out
}

func (h *held) waitingTokens() int64 {
	total := int64(0)
	for i := range h.items {
		if p := h.progress.items[i].phase; p == waiting || p == running {
			total += h.items[i].Tokens
		}
	}
	return total
}
