package choose

import "time"

// saturatedFor is how long a target's own refusal counts: long enough for batch
// items to make room there, and shorter than a request waits for room.
const saturatedFor = 50 * time.Millisecond

// leastOnline returns the entries with the fewest online requests: where all
// are full, what batch items hold becomes free.
func leastOnline(entries []*entry) []*entry {
	if len(entries) == 0 {
		return nil
	}
	lowest := entries[0].estimate()
	for _, e := range entries {
		lowest = min(lowest, e.estimate())
	}
	return keepIfAny(entries, func(e *entry) bool { return e.estimate() == lowest })
}

// MarkSaturated notes that a target refused an online request because it was full.
func (t *Table) MarkSaturated(now time.Time, id string) {
	if e := t.entries[id]; e != nil {
		e.saturated = now.Add(saturatedFor)
	}
}

// MarkItemRefused notes that a target refused a batch item because it was full. No other is
// sent there for a while; those that are there stay, since no request waits for that.
func (t *Table) MarkItemRefused(now time.Time, id string) {
	if e := t.entries[id]; e != nil {
		e.full = now.Add(saturatedFor)
	}
}

// BatchCapacity returns how many batch items the usable targets of a data centre
// have room for beside online requests.
func (t *Table) BatchCapacity(now time.Time, dataCentre string) int {
	room := 0
	reserve := t.Reserve()
	for _, e := range t.entries {
		if e.DataCentre == dataCentre && t.reason(now, e, Need{Batch: true}) == "" {
			room += max(0, e.Slots-reserve(e.Target)-e.estimate())
		}
	}
	return room
}

// HasItems reports whether batch items of any node are at usable targets of a service.
func (t *Table) HasItems(now time.Time, service string) bool {
	for _, id := range t.rank[service] {
		if e := t.entries[id]; e.batch+e.elsewhere.Batch > 0 && t.reason(now, e, Need{}) == "" {
			return true
		}
	}
	return false
}

func (e *entry) freeAt(now time.Time) int {
	if now.Before(e.saturated) || now.Before(e.full) {
		return min(0, e.free())
	}
	return e.free()
}

// unbounded stands for the free slots of a target whose size is not known.
const unbounded = 1 << 20

// free returns how many more requests the target serves at once.
func (e *entry) free() int {
	slots := e.Slots
	if e.known && e.load.MaxRunning > 0 {
		slots = e.load.MaxRunning
	}
	if slots == 0 {
		return unbounded
	}
	return slots - e.inFlight()
}

// inFlight returns what is at the target, online and batch.
func (e *entry) inFlight() int { return e.estimate() + e.batch + e.elsewhere.Batch }

// freeOnline returns the free slots once batch items have made room.
func (e *entry) freeOnline(now time.Time) int {
	return e.freeAt(now) + e.batch + e.elsewhere.Batch
}

// estimate is the online load now: own in flight plus what others had there at
// the last report.
func (e *entry) estimate() int {
	others := max(0, e.load.Running+e.load.Waiting-e.load.Batch-e.atReport)
	return e.online + others + e.elsewhere.Online
}

// BeginBatch counts a batch item sent to a target; EndBatch takes its result.
func (t *Table) BeginBatch(id string) {
	if e := t.entries[id]; e != nil {
		e.batch++
	}
}

// EndBatch takes the result of a batch item that BeginBatch counted; yielded
// says whether it was one that Yielding counted.
func (t *Table) EndBatch(now time.Time, id string, outcome Outcome, yielded bool) (ejected, readmitted bool) {
	if e := t.entries[id]; e != nil {
		e.batch = max(0, e.batch-1)
		if yielded {
			e.yielding = max(0, e.yielding-1)
		}
	}
	return t.RecordOutcome(now, id, outcome)
}

// BeginApart counts an online request that was placed apart, besides what Begin counts;
// EndApart takes its end.
func (t *Table) BeginApart(id string) {
	if e := t.entries[id]; e != nil {
		e.apart++
	}
}

// EndApart takes the end of a request that BeginApart counted.
func (t *Table) EndApart(id string) {
	if e := t.entries[id]; e != nil {
		e.apart = max(0, e.apart-1)
	}
}

// Begin counts an online request sent to a target.
func (t *Table) Begin(id string) {
	if e := t.entries[id]; e != nil {
		e.online++
	}
}

// ServiceTotals sums up a service's usable targets.
func (t *Table) ServiceTotals(now time.Time, service, loaded string) (usable, capacity, inFlight, waiting int) {
	for _, id := range t.rank[service] {
		e := t.entries[id]
		if t.reason(now, e, Need{Loaded: loaded}) != "" {
			continue
		}
		usable++
		capacity += e.load.MaxRunning
		inFlight += e.estimate()
		waiting += e.load.Waiting
	}
	return usable, capacity, inFlight, waiting
}

// Online returns this node's online requests in flight per target; targets
// with none are left out.
func (t *Table) Online() map[string]int {
	out := map[string]int{}
	for id, e := range t.entries {
		if e.online > 0 {
			out[id] = e.online
		}
	}
	return out
}
