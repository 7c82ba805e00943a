package choose

import (
	"slices"
	"sort"
	"time"
)

const (
	// slowFactor is the multiple of the service's median time to the first event above
	// which a target counts as slow: more than queueing behind one full batch adds. With the
	// shared view on, it is the relative pace above which a target counts as slow: more than
	// the permanent differences between targets, which range over a factor of 2.2.
	slowFactor = 2.5
	// slowFor is how long a measurement marks a target as slow; after that, a request
	// sent there measures it again.
	slowFor = 2 * time.Second
	// firstEventWeight is the weight of the newest measurement in the moving average.
	firstEventWeight = 0.3
)

// medianFirstEvent returns the lower median of the time to the first event over the
// measured targets of a service; 0: none was measured.
func (t *Table) medianFirstEvent(service string) time.Duration {
	if median, ok := t.medians[service]; ok {
		return median
	}
	median := t.computeMedianFirstEvent(service)
	t.medians[service] = median
	return median
}

func (t *Table) computeMedianFirstEvent(service string) time.Duration {
	var times []time.Duration
	for _, id := range t.byService[service] {
		if e := t.entries[id]; e.firstEvent > 0 {
			times = append(times, e.firstEvent)
		}
	}
	if len(times) == 0 {
		return 0
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[(len(times)-1)/2]
}

func (e *entry) slow(now time.Time, median time.Duration) bool {
	return median > 0 && now.Sub(e.firstEventAt) < slowFor && float64(e.firstEvent) > slowFactor*float64(median)
}

// withoutSlow leaves out slow targets if there are others. With the shared view on, only
// batch items avoid them, and leastOfFew prefers others for online requests. While no pace is
// known, as in a rolling update from a version that reports none, first events are the sign.
func (t *Table) withoutSlow(now time.Time, need Need, entries []*entry) []*entry {
	if t.sharedView && t.knowsPaces(now, need.Service) {
		if !need.Batch {
			return entries
		}
		return filterOrAll(entries, func(e *entry) bool { return !e.hasSlowPace() })
	}
	median := t.medianFirstEvent(need.Service)
	return filterOrAll(entries, func(e *entry) bool { return !e.slow(now, median) })
}

// knowsPaces reports whether the pace of any target of a service is known.
func (t *Table) knowsPaces(now time.Time, service string) bool {
	t.refreshPaces(now)
	return slices.ContainsFunc(t.byService[service], func(id string) bool { return t.entries[id].relativePace > 0 })
}

// hasSlowPace reports whether events of a target take slowFactor times as long as usual.
func (e *entry) hasSlowPace() bool { return e.relativePace > slowFactor }

// RecordFirstEvent records a measurement of the time to the first event.
func (t *Table) RecordFirstEvent(now time.Time, id string, took time.Duration) {
	e := t.entries[id]
	if e == nil {
		return
	}
	if e.firstEvent == 0 || now.Sub(e.firstEventAt) > slowFor {
		e.firstEvent = took
	} else {
		e.firstEvent += time.Duration(firstEventWeight * float64(took-e.firstEvent))
	}
	e.firstEventAt = now
	delete(t.medians, e.Service)
}
