package choose

import (
	"maps"
	"math"
	"time"
)

const (
	// localPreemptTime is the time from sending an online request to a full target of
	// the own data centre until a batch item there has yielded its slot: up to 20 ms
	// until the node that sent the item learns of the request, and some milliseconds
	// until the target has ended the item.
	localPreemptTime = 30 * time.Millisecond
	// remotePreemptTime is the same for a target of another data centre: reports on the
	// requests there reach this node up to 150 ms late.
	remotePreemptTime = 180 * time.Millisecond
	// reserveMissShare is the share of online requests that may find the reserved slots
	// taken and wait until a batch item has yielded.
	reserveMissShare = 0.03
	// slotTimeWeight is the weight of the newest measurement in the moving average of
	// the time that a request holds a slot.
	slotTimeWeight = 0.05
)

// reserve returns how many slots of a target batch items leave free: enough for the
// online requests that arrive within the preemption time, in all but reserveMissShare
// of cases. perSlot is the mean number of online requests that arrive at a target
// within slotTime, the time for which one of them holds a slot.
func (c *Config) reserve(target Target, perSlot float64, slotTime time.Duration) int {
	if slotTime <= 0 {
		return c.MinReserve
	}
	preemptTime := remotePreemptTime
	if c.LocalDataCentre == "" || target.DataCentre == c.LocalDataCentre {
		preemptTime = localPreemptTime
	}
	return max(c.MinReserve, poissonQuantile(perSlot*preemptTime.Seconds()/slotTime.Seconds(), reserveMissShare, target.Slots))
}

// onlinePerTarget returns, by service, the mean number of online requests in flight
// at a target. By Little's law that is also how many arrive at it in the time for
// which one holds a slot.
func (t *Table) onlinePerTarget() map[string]float64 {
	out := make(map[string]float64, len(t.byService))
	for service, ids := range t.byService {
		targets, online := 0, 0
		for _, id := range ids {
			if e := t.entries[id]; e.isServing() && !t.evacuated[e.DataCentre] {
				targets++
				online += e.estimatedOnline()
			}
		}
		out[service] = float64(online) / float64(max(1, targets))
	}
	return out
}

// Reserve returns a function that computes how many slots of a target batch items leave
// free for online requests, from a snapshot of what is known now.
func (t *Table) Reserve() func(Target) int {
	perSlot := t.onlinePerTarget()
	slotTime := maps.Clone(t.slotTime)
	return func(target Target) int {
		return t.cfg.reserve(target, perSlot[target.Service], slotTime[target.Service])
	}
}

// poissonQuantile returns the least k that a Poisson variable of the given mean
// exceeds with a probability of at most miss, but no more than most.
func poissonQuantile(mean, miss float64, most int) int {
	k := 0
	term := math.Exp(-mean)
	for above := 1 - term; above > miss && k < most; k++ {
		term *= mean / float64(k+1)
		above -= term
	}
	return k
}

// MeanSlotTime returns how long this node's online requests of a service hold a slot, 0 if that is not
// known.
func (t *Table) MeanSlotTime(service string) time.Duration { return t.slotTime[service] }

// RecordSlotTime records how long an online request of a service held a slot.
func (t *Table) RecordSlotTime(service string, took time.Duration) {
	if old := t.slotTime[service]; old > 0 {
		took = old + time.Duration(slotTimeWeight*float64(took-old))
	}
	t.slotTime[service] = took
}
