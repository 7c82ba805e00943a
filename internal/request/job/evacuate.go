package job

import (
	"time"

	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/schedule"
)

const (
	// moveStartShare is the share of Config.EvacuatedWithin for which items run on at targets
	// that are evacuated: most end in that time. Until the share moveUntil the others are
	// stopped, and go on elsewhere from the events they hold.
	moveStartShare = 0.2
	moveEndShare   = 0.4
)

// moveEvacuated stops items at targets that are evacuated, at each look the part of
// those left that is due by then: stopped all at once, they would meet at the targets
// that are left.
func (m *Manager) moveEvacuated(now time.Time) {
	if m.cfg.EvacuatedWithin <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	items := m.runningWhere(m.Pool.Evacuated)
	if len(items) == 0 {
		m.evacuatingSince = time.Time{}
		return
	}
	if m.evacuatingSince.IsZero() {
		m.evacuatingSince = now
	}
	within := m.cfg.EvacuatedWithin.Seconds()
	for _, item := range schedule.SelectYielding(items, movesDue(len(items), now.Sub(m.evacuatingSince).Seconds()/within, scheduleInterval.Seconds()/within)) {
		m.moveItem(item)
	}
}

// movesDue returns how many of the items left are to be moved at a look, when the share
// passed of the time is over and the next look comes a share later.
func movesDue(items int, passed, tick float64) int {
	if passed < moveStartShare {
		return 0
	}
	runs := int((moveEndShare - passed) / tick)
	if runs <= 1 {
		return items
	}
	return (items + runs - 1) / runs
}

// moveItem stops an item so that it goes on at another target. The caller holds m.mu.
func (m *Manager) moveItem(item schedule.Item) {
	h := m.held[item.Job]
	stop := h.stops[item.Index]
	delete(h.stops, item.Index)
	if !stop(errMoved) {
		return // it has ended otherwise
	}
	m.Metrics.Counter("items_moved").Inc(1)
	m.Recorder.Record(timeline.ItemMoved, h.items[item.Index].ID, h.progress.items[item.Index].target.ID, errMoved.Error())
}
