package job

import (
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/process/timeline"
)

// MakeRoom stops items at targets that online requests are about to fill.
// They go on later from the events they hold.
func (m *Manager) MakeRoom() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, n := range m.Pool.Excess(keepFree) {
		for _, at := range m.leastUrgent(id, n) {
			at.h.stops[at.index](errYielded)
			delete(at.h.stops, at.index)
			m.Metrics.Counter("items_yielded").Inc(1)
			m.Recorder.Record(timeline.BatchYielded, at.h.items[at.index].ID, id, "online requests fill the target")
		}
	}
}

// keepFree is how many slots of a target batch items leave free by making room
// as online requests arrive: a request that comes next finds one at once, and
// the one after it comes later than an item takes to stop.
const keepFree = 1

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
