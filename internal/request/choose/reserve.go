package choose

import (
	"maps"
	"math"
	"time"
)

const (
	// homeReaction is the time from sending an online request to a target of the
	// own data centre whose slots are taken until an item there has made room: up to
	// 20 ms until its holder has heard of it, and some milliseconds until the target
	// has ended the item.
	homeReaction = 30 * time.Millisecond
	// awayReaction is the same where items of another data centre's node are at a
	// target: what that node knows of the target is up to 150 ms old.
	awayReaction = 180 * time.Millisecond
	// reserveMiss is the share of online requests that may find the slots kept for
	// them taken, and wait until an item has made room.
	reserveMiss = 0.03
	// occupiedWeight is the weight of the newest measurement in the usual time that
	// a request holds a slot.
	occupiedWeight = 0.05
)

// reserve returns how many slots of a target items leave free: as many as there
// are online requests within the time that an item takes to make room, in all but
// reserveMiss of such times. perSlot is the number of online requests that come
// to a target in the time for which one holds a slot.
func (c *Config) reserve(target Target, perSlot float64, occupied time.Duration) int {
	if occupied <= 0 {
		return c.MinReserve
	}
	reaction := awayReaction
	if c.LocalDataCentre == "" || target.DataCentre == c.LocalDataCentre {
		reaction = homeReaction
	}
	return max(c.MinReserve, poissonQuantile(perSlot*reaction.Seconds()/occupied.Seconds(), reserveMiss, target.Slots))
}

// onlinePerTarget returns, by service, how many online requests each target has
// on average. By Little's law that is also how many come to it in the time for
// which one holds a slot.
func (t *Table) onlinePerTarget() map[string]float64 {
	out := make(map[string]float64, len(t.rank))
	for service, ids := range t.rank {
		targets, online := 0, 0
		for _, id := range ids {
			if e := t.entries[id]; !e.leaving && !t.evacuated[e.DataCentre] {
				targets++
				online += e.estimate()
			}
		}
		out[service] = float64(online) / float64(max(1, targets))
	}
	return out
}

// Reserve returns the function that tells, by what is known now, how many slots
// of a target items leave free for online requests.
func (t *Table) Reserve() func(Target) int {
	perSlot := t.onlinePerTarget()
	occupied := maps.Clone(t.occupied)
	return func(target Target) int {
		return t.cfg.reserve(target, perSlot[target.Service], occupied[target.Service])
	}
}

// poissonQuantile returns the least k for which a Poisson variable of the given
// mean is above k with a probability of at most miss, and most if that is less.
func poissonQuantile(mean, miss float64, most int) int {
	k := 0
	term := math.Exp(-mean)
	for above := 1 - term; above > miss && k < most; k++ {
		term *= mean / float64(k+1)
		above -= term
	}
	return k
}

// RecordSlotTime takes how long an online request of a service held a slot.
func (t *Table) RecordSlotTime(service string, took time.Duration) {
	if old := t.occupied[service]; old > 0 {
		took = old + time.Duration(occupiedWeight*float64(took-old))
	}
	t.occupied[service] = took
}
