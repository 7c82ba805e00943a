package choose

import (
	"time"

	"github.com/marblepond/marblepond/internal/request/outlier"
)

// SetSharedView sets whether targets are judged by what all nodes of the fleet observe,
// instead of by what this node observes alone. In a fleet of n nodes each sends a target
// one of n requests, too few to notice within seconds that it fails or is slow.
func (t *Table) SetSharedView(on bool) {
	t.sharedView = on
	if on {
		t.forgetOwnEjections()
		t.judgeTargets()
		return
	}
	for id, e := range t.entries { // nothing would end the verdicts while it is off
		t.judge.Release(time.Time{}, id)
		e.state, e.readmittedAt = outlier.Admitted, time.Time{}
	}
}

// SharedView reports what SetSharedView has set.
func (t *Table) SharedView() bool { return t.sharedView }

// estimateFirstEvent estimates the time to the first event of an online request that is
// sent to a target now: the time of a request that gets a slot at once, and the time until
// the requests ahead of it have left their slots. Batch items yield their slots and do not
// count as ahead. It is 0 while nothing is known of the service.
func (t *Table) estimateFirstEvent(now time.Time, e *entry) time.Duration {
	t.refreshPaces(now)
	sums := t.serviceSums(e.Service)
	estimate := float64(sums.FirstEvent.mean())
	ahead, slots := max(0, 1-e.freeOnline(now)), e.slots()
	if ahead > 0 && slots > 0 {
		estimate += float64(ahead) / float64(slots) * float64(sums.Hold.mean())
	}
	return time.Duration(estimate * e.pace())
}

// serviceSums returns what all nodes measured of a service, as of the last refresh, and
// what this node measured until then.
func (t *Table) serviceSums(service string) ServiceSums {
	return t.paces.sums[service]
}

// RelativePace returns the mean time between two events of a target, relative to the mean
// of its service: 2 if events take twice as long. It is 1 while that is not known.
func (t *Table) RelativePace(id string) float64 {
	if e := t.entries[id]; e != nil {
		return e.pace()
	}
	return 1
}

// pace returns the relative pace of a target, see Table.RelativePace.
func (e *entry) pace() float64 {
	if e.relativePace == 0 {
		return 1
	}
	return e.relativePace
}

// SlotTime returns how long an online request of a service holds a slot of a target, without
// the time in a queue; 0: not known.
func (t *Table) SlotTime(service, id string) time.Duration {
	return time.Duration(float64(t.serviceSums(service).Hold.mean()) * t.RelativePace(id))
}
