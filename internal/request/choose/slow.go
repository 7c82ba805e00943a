package choose

import (
	"sort"
	"time"
)

const (
	// slowFactor is how many times the usual time to the first event marks a
	// target as slow: above what queueing behind one full batch adds.
	slowFactor = 2.5
	// slowFor is how long a measurement marks a target as slow; after that one
	// request finds out whether it still is.
	slowFor = 2 * time.Second
	// firstEventWeight is the weight of the newest measurement.
	firstEventWeight = 0.3
)

// usualFirstEvent returns the lower median over the service's targets that were
// measured.
func (t *Table) usualFirstEvent(service string) time.Duration {
	var times []time.Duration
	for _, id := range t.rank[service] {
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

func (e *entry) slow(now time.Time, usual time.Duration) bool {
	return usual > 0 && now.Sub(e.firstAt) < slowFor && float64(e.firstEvent) > slowFactor*float64(usual)
}

// RecordFirstEvent takes a measurement of the time to the first event.
func (t *Table) RecordFirstEvent(now time.Time, id string, took time.Duration) {
	e := t.entries[id]
	if e == nil {
		return
	}
	if e.firstEvent == 0 || now.Sub(e.firstAt) > slowFor {
		e.firstEvent = took
	} else {
		e.firstEvent += time.Duration(firstEventWeight * float64(took-e.firstEvent))
	}
	e.firstAt = now
}
