package choose

import (
	"math"
	"time"
)

// The pace of a target is the mean time between two events of an answer. It says how fast
// the target works whatever is queued there, unlike the time to the first event.

const (
	// intervalHalfLife is the time in which the weight of a measured interval halves. What
	// is older than 5 s counts for 3 %. With equal weights over 5 s, a target that becomes
	// four times slower appears 1.4 times slower after 2 s; with this weight, 2.3 times.
	intervalHalfLife = time.Second
	// paceReportHalfLife is the same for what others report: reports of a data centre reach
	// a node only every few seconds in a large fleet.
	paceReportHalfLife = 2 * time.Second
	// paceReportExpiry is how long a report counts at all.
	paceReportExpiry = 10 * time.Second
	// serviceHalfLife is the half-life of the times of a service, which are the same at all
	// nodes and change little.
	serviceHalfLife = 10 * time.Second
	// maxInterval is the longest time between two events that counts for the pace. A longer
	// one is a stall, after which attempts are given up.
	maxInterval = 2 * time.Second
	// minIntervals is the weighted number of intervals, of all nodes together, from which
	// on the pace of a target counts.
	minIntervals = 5
	// minRelativePace and maxRelativePace limit the relative pace.
	minRelativePace, maxRelativePace = 0.25, 8
	// paceRefreshInterval is the time between computations of the relative paces, which
	// visit every report on every target.
	paceRefreshInterval = 250 * time.Millisecond
	// maxFirstEventFactor limits one measurement of the time to the first event without a
	// queue, relative to the mean so far: reports on load are 20 to 500 ms old, and some of
	// the requests that seemed to find a free slot were queued.
	maxFirstEventFactor = 2
)

// Sum is a weighted number of measurements and their weighted sum.
type Sum struct {
	Count float64
	Total time.Duration
}

func (s Sum) plus(o Sum) Sum { return Sum{s.Count + o.Count, s.Total + o.Total} }

// mean returns the mean of the measurements; 0: there is none.
func (s Sum) mean() time.Duration {
	if s.Count <= 0 {
		return 0
	}
	return time.Duration(float64(s.Total) / s.Count)
}

// decaying is a sum of measurements whose weight halves at regular times.
type decaying struct {
	sum Sum
	at  time.Time // at which sum holds
}

// value returns the sum as it is now.
func (d decaying) value(now time.Time, halfLife time.Duration) Sum {
	age := now.Sub(d.at)
	if age <= 0 || d.sum.Count == 0 {
		return d.sum
	}
	weight := math.Exp2(-age.Seconds() / halfLife.Seconds())
	return Sum{d.sum.Count * weight, time.Duration(float64(d.sum.Total) * weight)}
}

// add adds a measurement.
func (d *decaying) add(now time.Time, halfLife, took time.Duration) {
	d.sum = d.value(now, halfLife).plus(Sum{1, took})
	d.at = now
}

// serviceTimes are this node's measurements of a service, at a target of relative pace 1.
type serviceTimes struct {
	firstEvent decaying // time to the first event of requests that found a free slot
	hold       decaying // time for which a request holds a slot, without the time in a queue
}

// service returns the measurements of a service.
func (t *Table) service(name string) *serviceTimes {
	s := t.paces.services[name]
	if s == nil {
		s = &serviceTimes{}
		t.paces.services[name] = s
	}
	return s
}

// RecordInterval records the time between two events of an answer. It does nothing unless
// the shared view is on.
func (t *Table) RecordInterval(now time.Time, id string, took time.Duration) {
	e := t.entries[id]
	if !t.sharedView || e == nil || took <= 0 || took > maxInterval {
		return
	}
	e.intervals.add(now, intervalHalfLife, took)
	t.refreshPaces(now)
}

// RecordItemEvent records that an event of a batch item arrived now, took after the one
// before; 0: it is the first. It does nothing unless the shared view is on: without it,
// only events of online requests show that a target is alive.
func (t *Table) RecordItemEvent(now time.Time, target Target, took time.Duration) {
	if t.sharedView {
		t.RecordAttemptEvent(now, target)
		t.RecordInterval(now, target.ID, took)
	}
}

// RecordUnqueuedFirstEvent records the time to the first event of an online request that
// found a free slot, see Target.FoundFree.
func (t *Table) RecordUnqueuedFirstEvent(now time.Time, id string, took time.Duration) {
	e := t.entries[id]
	if !t.sharedView || e == nil {
		return
	}
	took = time.Duration(float64(took) / t.RelativePace(id))
	if usual := t.serviceSums(e.Service).FirstEvent.mean(); usual > 0 {
		took = min(took, maxFirstEventFactor*usual)
	}
	t.service(e.Service).firstEvent.add(now, serviceHalfLife, took)
	t.refreshPaces(now)
}

// RecordStreamTime records the time from the first to the last event of an online request.
// With the time to the first event without a queue, that is how long it held its slot.
func (t *Table) RecordStreamTime(now time.Time, id string, took time.Duration) {
	e := t.entries[id]
	if !t.sharedView || e == nil {
		return
	}
	hold := t.serviceSums(e.Service).FirstEvent.mean() + time.Duration(float64(took)/t.RelativePace(id))
	t.service(e.Service).hold.add(now, serviceHalfLife, hold)
	t.refreshPaces(now)
}

// refreshPaces computes the relative paces and the times of the services again, unless that
// was done less than paceRefreshInterval ago.
func (t *Table) refreshPaces(now time.Time) {
	if age := now.Sub(t.paces.refreshed); age >= 0 && age < paceRefreshInterval {
		return
	}
	t.paces.refreshed = now
	t.paces.removeExpired(now)
	t.refreshTargetPaces(now)
	for service := range t.byService {
		t.paces.sums[service] = t.sumService(now, service, t.paces.nodes, t.paces.groups, t.paces.centres)
	}
}

func (t *Table) refreshTargetPaces(now time.Time) {
	for _, e := range t.entries {
		e.paceSum = e.intervals.value(now, intervalHalfLife)
	}
	for _, reporters := range []paceReporters{t.paces.nodes, t.paces.groups, t.paces.centres} {
		for _, reporter := range reporters {
			for id, reported := range reporter.targets {
				if e := t.entries[id]; e != nil {
					e.paceSum = e.paceSum.plus(reported.value(now, paceReportHalfLife))
				}
			}
		}
	}
	for _, ids := range t.byService {
		var service Sum
		for _, id := range ids {
			service = service.plus(t.entries[id].paceSum)
		}
		for _, id := range ids {
			t.entries[id].relativePace = relativePace(t.entries[id].paceSum, service)
		}
	}
}

// relativePace returns the mean interval of a target divided by that of its service; 0: too
// few intervals are known.
func relativePace(target, service Sum) float64 {
	if target.Count < minIntervals || service.Total <= 0 {
		return 0
	}
	return min(max(float64(target.mean())/float64(service.mean()), minRelativePace), maxRelativePace)
}

// SlowTargets returns the targets that count as slow, with their relative paces.
func (t *Table) SlowTargets(now time.Time) map[string]float64 {
	t.refreshPaces(now)
	out := map[string]float64{}
	for id, e := range t.entries {
		if e.hasSlowPace() {
			out[id] = e.relativePace
		}
	}
	return out
}

// ServiceTimes are the mean times of the online requests of a service at a target of relative
// pace 1; 0: not known.
type ServiceTimes struct {
	FirstEvent time.Duration // of a request that finds a free slot
	Hold       time.Duration // for which a request holds a slot
}

// ServiceTimes returns the times of each service.
func (t *Table) ServiceTimes(now time.Time) map[string]ServiceTimes {
	t.refreshPaces(now)
	out := map[string]ServiceTimes{}
	for service := range t.byService {
		sums := t.serviceSums(service)
		out[service] = ServiceTimes{sums.FirstEvent.mean(), sums.Hold.mean()}
	}
	return out
}
