package choose

import (
	"maps"
	"time"
)

// saturatedFor is how long a target's own refusal counts: long enough for batch
// items to make room there, and shorter than a request waits for room.
const saturatedFor = 50 * time.Millisecond

// InFlight counts what is at a target.
type InFlight struct {
	Online int
	Batch  int
}

// JoinGroup says which group of its data centre this node belongs to. What nodes
// and groups there were heard to have counts no more: they are divided anew.
func (t *Table) JoinGroup(group string) {
	t.cfg.Group = group
	clear(t.nodes)
	clear(t.groups)
	clear(t.members)
	t.sumOthers()
}

// SetNode replaces what another node of this node's group has in flight; nil:
// nothing. It reports whether that is news.
func (t *Table) SetNode(node string, counts map[string]InFlight) (news bool) {
	return t.setOther(t.nodes, node, counts)
}

// SetGroup replaces what the nodes of another group of this data centre, so many
// in number, have in flight together; nil: nothing. It reports whether that is
// news.
func (t *Table) SetGroup(name string, members int, counts map[string]InFlight) (news bool) {
	if counts == nil {
		delete(t.members, name)
	} else {
		t.members[name] = members
	}
	return t.setOther(t.groups, name, counts)
}

// NodesHere returns how many nodes of this data centre are heard, with this one.
func (t *Table) NodesHere() int {
	n := 1 + len(t.nodes)
	for _, members := range t.members {
		n += members
	}
	return n
}

// SetDataCentre replaces what the nodes of another data centre have in flight
// together; nil: nothing. It reports whether that is news.
func (t *Table) SetDataCentre(name string, counts map[string]InFlight) (news bool) {
	return t.setOther(t.centres, name, counts)
}

// setOther replaces one word and corrects the sums by the difference: its cost
// grows with that word and not with the number of nodes that are heard. It
// reports whether the word says something new.
func (t *Table) setOther(words map[string]map[string]InFlight, name string, counts map[string]InFlight) (news bool) {
	old := words[name]
	if counts == nil {
		delete(words, name)
	} else {
		words[name] = counts
	}
	if maps.Equal(old, counts) {
		return false
	}
	t.addElsewhere(old, -1)
	t.addElsewhere(counts, 1)
	return true
}

// addElsewhere adds what a word counts to the sums of others, or with sign -1
// takes it away.
func (t *Table) addElsewhere(counts map[string]InFlight, sign int) {
	for id, n := range counts {
		if e := t.entries[id]; e != nil {
			e.elsewhere.Online += sign * n.Online
			e.elsewhere.Batch += sign * n.Batch
		}
	}
}

// sumOthers computes the sums of others anew, because the targets are others.
func (t *Table) sumOthers() {
	for _, e := range t.entries {
		e.elsewhere = InFlight{}
	}
	for _, words := range []map[string]map[string]InFlight{t.nodes, t.groups, t.centres} {
		for _, counts := range words {
			t.addElsewhere(counts, 1)
		}
	}
}

// InGroup returns what all nodes of this node's group have in flight, by target,
// as far as this one knows.
func (t *Table) InGroup() map[string]InFlight {
	return addAll(t.Own(), t.nodes)
}

// Here returns the same of all nodes of this data centre.
func (t *Table) Here() map[string]InFlight {
	return addAll(t.InGroup(), t.groups)
}

// addAll adds the counts of words to a sum, which it returns.
func addAll(sum map[string]InFlight, words map[string]map[string]InFlight) map[string]InFlight {
	for _, counts := range words {
		for id, n := range counts {
			old := sum[id]
			sum[id] = InFlight{Online: old.Online + n.Online, Batch: old.Batch + n.Batch}
		}
	}
	return sum
}

// Own returns what this table has in flight, by target. Items that are making
// room count no more.
func (t *Table) Own() map[string]InFlight {
	out := map[string]InFlight{}
	for id, e := range t.entries {
		if n := (InFlight{Online: e.online, Batch: e.staying()}); n != (InFlight{}) {
			out[id] = n
		}
	}
	return out
}

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

// Saturated notes that a target refused because it was full.
func (t *Table) Saturated(now time.Time, id string) {
	if e := t.entries[id]; e != nil {
		e.saturated = now.Add(saturatedFor)
	}
}

// BatchRoom returns how many batch items the usable targets of a data centre
// have room for beside online requests.
func (t *Table) BatchRoom(now time.Time, dataCentre string) int {
	room := 0
	reserve := t.Reserve()
	for _, e := range t.entries {
		if e.DataCentre == dataCentre && e.why(now, "") == "" {
			room += max(0, e.Slots-reserve(e.Target)-e.estimate())
		}
	}
	return room
}

func (e *entry) freeAt(now time.Time) int {
	if now.Before(e.saturated) {
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
	return t.Judge(now, id, outcome)
}

// Begin counts an online request sent to a target.
func (t *Table) Begin(id string) {
	if e := t.entries[id]; e != nil {
		e.online++
	}
}

// Supply sums up a service's usable targets.
func (t *Table) Supply(now time.Time, service, loaded string) (usable, capacity, inFlight, waiting int) {
	for _, id := range t.rank[service] {
		e := t.entries[id]
		if e.why(now, loaded) != "" {
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
