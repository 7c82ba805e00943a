package job

import (
	"time"

	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/schedule"
)

const (
	// moveStartShare is the share of Config.EvacuatedWithin for which items at evacuated
	// targets keep running: most finish in that time. From then until the share
	// moveEndShare the others are stopped. They resume at other targets after the last
	// event that they received.
	moveStartShare = 0.2
	moveEndShare   = 0.4
)

// moveEvacuated stops items at evacuated targets, a few in each run of the scheduler: if
// all were stopped at once, they would all be sent to the remaining targets at the same
// time.
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

// movesDue returns how many of the remaining items to move in this run of the scheduler.
// elapsed is the share of the evacuation time that has passed, and tick the share until the
// next run.
func movesDue(items int, elapsed, tick float64) int {
	if elapsed < moveStartShare {
		return 0
	}
	runs := int((moveEndShare - elapsed) / tick)
	if runs <= 1 {
		return items
	}
	return (items + runs - 1) / runs
}

// moveItem stops an item so that it resumes at another target. The caller holds m.mu.
func (m *Manager) moveItem(item schedule.Item) {
	h := m.held[item.Job]
	stop := h.stops[item.Index]
	delete(h.stops, item.Index)
	if !stop(errMoved) {
		return // the attempt has already ended for another reason
	}
	m.Metrics.Counter("items_moved").Inc(1)
	m.Recorder.Record(timeline.ItemMoved, h.items[item.Index].ID, h.progress.items[item.Index].target.ID, errMoved.Error())
}
