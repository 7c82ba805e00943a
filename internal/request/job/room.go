package job

import (
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/process/timeline"
)

// MakeRoom stops items at targets that online requests have filled. They go on
// later from the events they hold.
func (m *Manager) MakeRoom() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, n := range m.Pool.Excess() {
		m.yield(id, n)
	}
}

// MakeRoomAt stops one item at a target.
func (m *Manager) MakeRoomAt(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.yield(id, 1)
}

// yield stops up to n items at a target. The caller holds m.mu.
func (m *Manager) yield(id string, n int) {
	for _, at := range m.leastUrgent(id, n) {
		stop := at.h.stops[at.index]
		delete(at.h.stops, at.index)
		if !stop(errYielded) {
			continue // it has ended otherwise
		}
		m.Pool.Yielding(id)
		m.Metrics.Counter("items_yielded").Inc(1)
		m.Recorder.Record(timeline.BatchYielded, at.h.items[at.index].ID, id, "online requests fill the target")
	}
}

// runningItem is an item at a target.
type runningItem struct {
	h     *held
	index int
	due   time.Time
}

// leastUrgent returns up to n items at a target, latest due first. The caller
// holds m.mu.
func (m *Manager) leastUrgent(targetID string, n int) []runningItem {
	var at []runningItem
	for _, h := range m.held {
		due := dueAt(&h.head, m.routeOf(&h.head))
		for i := range h.stops {
			if h.progress.items[i].target == targetID {
				at = append(at, runningItem{h, i, due})
			}
		}
	}
	slices.SortFunc(at, func(a, b runningItem) int {
		if d := b.due.Compare(a.due); d != 0 {
			return d
		}
		return b.h.progress.items[b.index].sentAt.Compare(a.h.progress.items[a.index].sentAt)
	})
	return at[:min(n, len(at))]
}
