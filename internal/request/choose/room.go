package choose

import "time"

// saturatedFor is how long a target counts as full after it refused work: long enough
// for batch items to yield there, and shorter than a request waits for a free slot.
const saturatedFor = 50 * time.Millisecond

// Occupancy is what is in flight at the targets of a service.
type Occupancy struct {
	Targets, Slots int
	Others         int           // online requests of others
	SlotTime       time.Duration // how long an online request holds a slot; 0: not known
	First          time.Duration // median time to the first event
}

// isInTime reports whether a target without a free slot may get a request that Need.Within
// or Need.FreeSlot limits.
func (t *Table) isInTime(now time.Time, e *entry, need Need) bool {
	if !t.sharedView || e.freeOnline(now) > 0 {
		return true
	}
	return !need.FreeSlot && (need.Within <= 0 || t.estimateFirstEvent(now, e) <= need.Within)
}

// Occupancy returns the slots of the targets of a service that may get online requests, and
// what is in flight there. The slots that batch items hold count as free, since they yield.
func (t *Table) Occupancy(now time.Time, service string) Occupancy {
	sums := t.serviceSums(service)
	out := Occupancy{SlotTime: sums.Hold.mean(), First: sums.FirstEvent.mean()}
	for _, id := range t.byService[service] {
		e := t.entries[id]
		if t.reason(now, e, Need{}) != "" {
			continue
		}
		out.Targets++
		out.Slots += e.free() + e.inFlight()
		out.Others += e.estimatedOnline() - e.online
	}
	return out
}

// leastOnline returns the entries with the fewest online requests: if all are full,
// these have the most slots that batch items can yield.
func leastOnline(entries []*entry) []*entry {
	if len(entries) == 0 {
		return nil
	}
	lowest := entries[0].estimatedOnline()
	for _, e := range entries {
		lowest = min(lowest, e.estimatedOnline())
	}
	return filterOrAll(entries, func(e *entry) bool { return e.estimatedOnline() == lowest })
}

// MarkSaturated records that a target refused an online request because it was full.
func (t *Table) MarkSaturated(now time.Time, id string) {
	if e := t.entries[id]; e != nil {
		e.saturatedUntil = now.Add(saturatedFor)
	}
}

// MarkItemRefused records that a target refused a batch item because it was full. No
// other item is sent there for saturatedFor; items that run there continue, because no
// online request waits for their slots.
func (t *Table) MarkItemRefused(now time.Time, id string) {
	if e := t.entries[id]; e != nil {
		e.itemsRefusedUntil = now.Add(saturatedFor)
	}
}

// BatchCapacity returns how many batch items the usable targets of a data centre can
// run beside online requests.
func (t *Table) BatchCapacity(now time.Time, dataCentre string) int {
	capacity := 0
	reserve := t.Reserve()
	for _, e := range t.entries {
		if e.DataCentre == dataCentre && t.reason(now, e, Need{Batch: true}) == "" {
			capacity += max(0, e.Slots-reserve(e.Target)-e.estimatedOnline())
		}
	}
	return capacity
}

// HasItems reports whether batch items of any node run at usable targets of a service.
func (t *Table) HasItems(now time.Time, service string) bool {
	for _, id := range t.byService[service] {
		if e := t.entries[id]; e.batch+e.elsewhere.Batch > 0 && t.reason(now, e, Need{}) == "" {
			return true
		}
	}
	return false
}

func (e *entry) freeAt(now time.Time) int {
	if now.Before(e.saturatedUntil) || now.Before(e.itemsRefusedUntil) {
		return min(0, e.free())
	}
	return e.free()
}

// unlimitedSlots is the number of free slots assumed if a target's size is not known.
const unlimitedSlots = 1 << 20

// free returns how many more requests the target can serve at once; below 0, how many
// wait there.
func (e *entry) free() int {
	slots := e.slots()
	if slots == 0 {
		return unlimitedSlots
	}
	return slots - e.inFlight()
}

// slots returns how many requests the target serves at once; 0: not known.
func (e *entry) slots() int {
	if e.hasLoad && e.load.MaxRunning > 0 {
		return e.load.MaxRunning
	}
	return e.Slots
}

// inFlight returns how many requests and batch items are at the target.
func (e *entry) inFlight() int { return e.estimatedOnline() + e.batch + e.elsewhere.Batch }

// freeOnline returns the free slots for online requests, to which batch items yield.
func (e *entry) freeOnline(now time.Time) int {
	return e.freeAt(now) + e.batch + e.elsewhere.Batch
}

// estimatedOnline estimates the online requests at the target now: those of this node
// and of other nodes by their reports, and those of others at the last load report.
func (e *entry) estimatedOnline() int {
	others := max(0, e.load.Running+e.load.Waiting-e.load.Batch-e.onlineAtReport)
	return e.online + others + e.elsewhere.Online
}

// BeginBatch counts a batch item sent to a target; EndBatch ends it.
func (t *Table) BeginBatch(id string) {
	if e := t.entries[id]; e != nil {
		e.batch++
	}
}

// EndBatch records the result of a batch item that BeginBatch counted; yielded says
// whether MarkYielding counted it.
func (t *Table) EndBatch(now time.Time, id string, outcome Outcome, yielded bool) (ejected, readmitted bool) {
	if e := t.entries[id]; e != nil {
		e.batch = max(0, e.batch-1)
		if yielded {
			e.yielding = max(0, e.yielding-1)
		}
	}
	return t.RecordOutcome(now, id, outcome.withoutSharedView(true))
}

// BeginApart counts an online request that was chosen with Need.Apart, in addition to
// Begin; EndApart ends it.
func (t *Table) BeginApart(id string) {
	if e := t.entries[id]; e != nil {
		e.apart++
	}
}

// EndApart ends a request that BeginApart counted.
func (t *Table) EndApart(id string) {
	if e := t.entries[id]; e != nil {
		e.apart = max(0, e.apart-1)
	}
}

// BeginItemApart counts a batch item that was chosen with Need.Apart, in addition to BeginBatch;
// EndItemApart ends it.
func (t *Table) BeginItemApart(id string) {
	if e := t.entries[id]; e != nil {
		e.itemsApart++
	}
}

// EndItemApart ends an item that BeginItemApart counted.
func (t *Table) EndItemApart(id string) {
	if e := t.entries[id]; e != nil {
		e.itemsApart = max(0, e.itemsApart-1)
	}
}

// Begin counts an online request sent to a target; End ends it.
func (t *Table) Begin(id string) {
	if e := t.entries[id]; e != nil {
		e.online++
	}
}

// ServiceTotals sums up a service's usable targets.
func (t *Table) ServiceTotals(now time.Time, service, loaded string) (usable, capacity, inFlight, waiting int) {
	for _, id := range t.byService[service] {
		e := t.entries[id]
		if t.reason(now, e, Need{Loaded: loaded}) != "" {
			continue
		}
		usable++
		capacity += e.load.MaxRunning
		inFlight += e.estimatedOnline()
		waiting += e.load.Waiting
	}
	return usable, capacity, inFlight, waiting
}

// Online returns this node's online requests in flight by target, without targets that
// have none.
func (t *Table) Online() map[string]int {
	out := map[string]int{}
	for id, e := range t.entries {
		if e.online > 0 {
			out[id] = e.online
		}
	}
	return out
}
