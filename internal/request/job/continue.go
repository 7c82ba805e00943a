package job

import (
	"math/rand/v2"
	"time"

	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/continuation"
	"github.com/marblepond/marblepond/internal/version/route"
)

// serviceOf returns the service to which an item is sent: the one that began its text. If its
// route no longer leads there, the item begins anew. The caller holds m.mu.
func (m *Manager) serviceOf(h *heldJob, i int, r *route.Route) string {
	item := &h.progress.items[i]
	if item.origin.Begun() {
		if r.Serves(item.service) {
			return item.service
		}
		m.beginAnew(h, i, "its route no longer leads to the service that began it")
	}
	return r.PickService(rand.Float64())
}

// shouldBeginAnew reports whether an item that no target can take now begins anew at another
// version, if a target has a free slot for that. The caller holds m.mu.
func (m *Manager) shouldBeginAnew(h *heldJob, i int, service string, now time.Time) bool {
	item := &h.progress.items[i]
	if !item.origin.Begun() {
		return false
	}
	return continuation.ShouldBeginAnew(item.origin, m.Pool.Supply(service, item.origin), h.progress.blockedFor(i, now), item.ran)
}

// mayUseAll reports whether all targets of the service that an item needs are of the version that
// began it.
func (m *Manager) mayUseAll(need choose.Need) bool {
	return !m.Pool.SeveralVersions(need.Service) && m.Pool.Supply(need.Service, need.Origin) != continuation.Gone
}

// beginAnew drops the text of an item. The caller holds m.mu.
func (m *Manager) beginAnew(h *heldJob, i int, cause string) {
	item := &h.progress.items[i]
	version, _ := item.origin.Version()
	m.Recorder.Record(timeline.ItemBegunAnew, h.items[i].ID, "", cause, timeline.Field{Name: "job", Value: h.id},
		timeline.Field{Name: "held", Value: item.lastEvent}, timeline.Field{Name: "version", Value: string(version)}, timeline.Field{Name: "ran_ms", Value: item.ran.Milliseconds()})
	m.Metrics.Counter("items_begun_anew").Inc(1)
	h.progress.beginAnew(i)
}
