package job

import (
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/schedule"
)

// PreemptItems stops items at targets whose slots online requests need. The items resume
// later after the last event that they received.
func (m *Manager) PreemptItems() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.anyRunning() {
		return
	}
	for id, n := range m.Pool.Excess() {
		m.preempt(id, n)
	}
}

// anyRunning reports whether an item runs that was not told to stop. The caller holds m.mu.
func (m *Manager) anyRunning() bool {
	for _, h := range m.held {
		if len(h.stops) > 0 {
			return true
		}
	}
	return false
}

// PreemptItemAt stops one item at a target.
func (m *Manager) PreemptItemAt(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.preempt(id, 1)
}

// preempt stops up to n items at a target. The caller holds m.mu until the pool has counted
// them as yielding, so that no attempt ends before it is counted.
func (m *Manager) preempt(id string, n int) {
	running := m.runningWhere(func(t choose.Target) bool { return t.ID == id })
	for _, item := range schedule.SelectYielding(running, n) {
		h := m.held[item.Job]
		stop := h.stops[item.Index]
		delete(h.stops, item.Index)
		if !stop(errPreempted) {
			continue // the attempt has already ended for another reason
		}
		m.Pool.MarkYielding(h.progress.items[item.Index].target)
		m.Metrics.Counter("items_yielded").Inc(1)
		m.Recorder.Record(timeline.BatchYielded, h.items[item.Index].ID, id, "online requests fill the target")
	}
}

// runningWhere returns the items that run at matching targets and were not told to stop.
// The caller holds m.mu.
func (m *Manager) runningWhere(match func(choose.Target) bool) []schedule.Item {
	var items []schedule.Item
	for _, h := range m.held {
		due := dueTime(&h.head, m.routeOf(&h.head))
		for i := range h.stops {
			if s := &h.progress.items[i]; match(s.target) {
				items = append(items, schedule.Item{Job: h.id, Index: i, Due: due, Sent: s.sentAt})
			}
		}
	}
	return items
}
