// Package discovery keeps a node's targets as the object store lists them,
// less what the node knows better: targets that refuse, that are other targets
// now, or that fail.
package discovery

import (
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/request/choose"
)

// Record is what the store says of one target.
type Record struct {
	choose.Target
	Draining bool
}

// Pool is the table of targets. It is safe for concurrent use.
type Pool struct {
	now      func() time.Time
	doubtful func() bool // the store's list may lack targets that live
	onChange func(id, what string)

	mu      sync.Mutex
	table   *choose.Table
	records map[string]Record
	lapsed  map[string]Record // taken from the list while the store was in doubt
	onOwn   func()            // told each change of what this node has in flight
	onHeard func()            // told each change of what others have in flight

	displacer Displacer
}

// Displacer makes room at full targets. Its methods must not block.
type Displacer interface {
	// MakeRoom stops one of this node's items at a target.
	MakeRoom(target string)
	// TellHolders lets others that have items at a target know at once that an
	// online request waits for a slot there.
	TellHolders(target string)
}

// incarnation of every target: the ID of a record names one start of it.
const incarnation = 1

// New returns an empty pool. doubtful reports whether the store has been in
// trouble lately; onChange hears of each change for the log.
func New(cfg choose.Config, now func() time.Time, doubtful func() bool, onChange func(id, what string)) *Pool {
	return &Pool{now: now, doubtful: doubtful, onChange: onChange, table: choose.New(cfg),
		records: map[string]Record{}, lapsed: map[string]Record{}, onOwn: func() {}, onHeard: func() {}}
}

// OnLoad sets the functions that are told each change of what this node has in
// flight and of what it hears of others. They must not block.
func (p *Pool) OnLoad(own, heard func()) { p.onOwn, p.onHeard = own, heard }

// SetDisplacer sets what makes room; call it before the pool is used.
func (p *Pool) SetDisplacer(d Displacer) { p.displacer = d }

// InFlight returns what this node has in flight, by target.
func (p *Pool) InFlight() map[string]choose.InFlight {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Own()
}

// InFlightHere returns what all nodes of this data centre have in flight, by
// target, as far as this one knows.
func (p *Pool) InFlightHere() map[string]choose.InFlight {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Here()
}

// InFlightInGroup returns the same of this node's group.
func (p *Pool) InFlightInGroup() map[string]choose.InFlight {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.InGroup()
}

// Holders returns who else has batch items at a target.
func (p *Pool) Holders(target string) choose.Holders {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Holders(target)
}

// JoinGroup says which group of its data centre this node belongs to, and forgets
// what nodes and groups there were heard to have in flight.
func (p *Pool) JoinGroup(group string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.JoinGroup(group)
}

// SetNode takes what another node of this node's group has in flight; nil: it is
// not heard of any more. It reports whether that is news.
func (p *Pool) SetNode(node string, counts map[string]choose.InFlight) (news bool) {
	return p.hear(func() bool { return p.table.SetNode(node, counts) })
}

// SetGroup takes what the nodes of another group of this data centre, so many in
// number, have in flight; nil: it is not heard of any more. It reports whether that
// is news.
func (p *Pool) SetGroup(group string, members int, counts map[string]choose.InFlight) (news bool) {
	return p.hear(func() bool { return p.table.SetGroup(group, members, counts) })
}

// SetDataCentre takes what another data centre has in flight; nil: it is not
// heard of any more. It reports whether that is news.
func (p *Pool) SetDataCentre(name string, counts map[string]choose.InFlight) (news bool) {
	return p.hear(func() bool { return p.table.SetDataCentre(name, counts) })
}

// hear changes what others have in flight.
func (p *Pool) hear(set func() bool) (news bool) {
	p.mu.Lock()
	news = set()
	p.mu.Unlock()
	if news {
		p.onHeard()
	}
	return news
}

// Excess returns how many of this node's batch items are to make room, by target.
func (p *Pool) Excess() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Excess(p.now())
}

// Yielding notes that an item at a target was told to make room.
func (p *Pool) Yielding(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Yielding(id)
}

// change is a line of the log about one target.
type change struct{ id, what string }

// Update takes what the store says of targets that are listed, and which are taken
// off the list. The table is made anew once, however many they are.
func (p *Pool) Update(listed []Record, gone []string) {
	p.mu.Lock()
	var changes []change
	for _, r := range listed {
		changes = append(changes, p.put(r)...)
	}
	for _, id := range gone {
		changes = append(changes, p.remove(id)...)
	}
	p.set()
	for _, r := range listed {
		if r.Draining {
			p.table.Leave(r.ID, incarnation)
		}
	}
	p.mu.Unlock()
	for _, c := range changes {
		p.onChange(c.id, c.what)
	}
}

// put notes what the store says of a target. The caller holds p.mu.
func (p *Pool) put(r Record) []change {
	old, known := p.records[r.ID]
	p.records[r.ID] = r
	delete(p.lapsed, r.ID)
	switch {
	case !known && !r.Draining:
		return []change{{r.ID, "listed"}}
	case r.Draining && !old.Draining:
		return []change{{r.ID, "draining"}}
	}
	return nil
}

// remove takes a target off. While the store's list is in doubt the target is
// kept until Settle, because it may only have missed its heartbeat there. The
// caller holds p.mu.
func (p *Pool) remove(id string) []change {
	r, known := p.records[id]
	delete(p.records, id)
	switch {
	case known && !r.Draining && p.doubtful():
		p.lapsed[id] = r
		return []change{{id, "lapsed while the store was away; kept until it has settled"}}
	case known:
		return []change{{id, "gone"}}
	}
	return nil
}

// Settle removes targets that lapsed once the store's list is trusted again.
func (p *Pool) Settle() {
	p.mu.Lock()
	var gone []string
	if len(p.lapsed) > 0 && !p.doubtful() {
		for id := range p.lapsed {
			gone = append(gone, id)
		}
		clear(p.lapsed)
		p.set()
	}
	p.mu.Unlock()
	for _, id := range gone {
		p.onChange(id, "gone")
	}
}

// set hands the list to the table. The caller holds p.mu.
func (p *Pool) set() {
	list := make([]choose.Target, 0, len(p.records)+len(p.lapsed))
	for _, records := range []map[string]Record{p.records, p.lapsed} {
		for _, r := range records {
			r.Incarnation = incarnation
			list = append(list, r.Target)
		}
	}
	p.table.Set(list)
}

// Leave stops new requests to a target that turned out to be leaving, or to be
// another one.
func (p *Pool) Leave(id, why string) {
	p.mu.Lock()
	news := p.table.Leave(id, incarnation)
	p.mu.Unlock()
	if news {
		p.onChange(id, why)
	}
}

// Choose returns a target for an online request and counts it there.
func (p *Pool) Choose(need choose.Need) (choose.Target, bool) {
	p.mu.Lock()
	target, ok := p.table.Choose(p.now(), need)
	if !ok {
		p.mu.Unlock()
		return target, false
	}
	p.table.Begin(target.ID)
	own, others := p.table.Displace(p.now(), target.ID)
	p.mu.Unlock()
	p.displaced(target.ID, own, others)
	p.onOwn()
	return target, true
}

// displaced has room made for an online request that was sent to a full target.
func (p *Pool) displaced(id string, own bool, others choose.Holders) {
	switch {
	case own:
		p.displacer.MakeRoom(id)
	case !others.None():
		p.displacer.TellHolders(id)
	}
}

// Better reports whether a request that waits for an event of a target would come
// sooner to it at another; see choose.Table.Better.
func (p *Pool) Better(id string, need choose.Need, heard time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Better(p.now(), id, need, heard)
}

// Heard notes an event of a target.
func (p *Pool) Heard(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Heard(p.now(), id)
}

// ChooseBatch returns a target for a batch item and counts it there.
func (p *Pool) ChooseBatch(need choose.Need) (choose.Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	need.Batch = true
	target, ok := p.table.Choose(p.now(), need)
	if ok {
		p.table.BeginBatch(target.ID)
	}
	return target, ok
}

// End takes the result of an online request.
func (p *Pool) End(id string, outcome choose.Outcome) {
	p.mu.Lock()
	ejected, readmitted := p.table.End(p.now(), id, outcome)
	p.mu.Unlock()
	p.onOwn()
	p.tell(id, ejected, readmitted)
}

// EndBatch takes the result of a batch item.
func (p *Pool) EndBatch(id string, outcome choose.Outcome, yielded bool) {
	p.mu.Lock()
	ejected, readmitted := p.table.EndBatch(p.now(), id, outcome, yielded)
	p.mu.Unlock()
	p.onOwn()
	p.tell(id, ejected, readmitted)
}

func (p *Pool) tell(id string, ejected, readmitted bool) {
	switch {
	case ejected:
		p.onChange(id, "ejected after failures in a row")
	case readmitted:
		p.onChange(id, "readmitted")
	}
}

// FirstEvent takes the time from sending a request to its first event.
func (p *Pool) FirstEvent(id string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.FirstEvent(p.now(), id, took)
}

// Saturated notes that a target refused because it was full.
func (p *Pool) Saturated(id string) {
	p.mu.Lock()
	p.table.Saturated(p.now(), id)
	p.mu.Unlock()
	p.onOwn() // batch items there make room
}

// BatchRoom returns how many batch items the usable targets of a data centre
// have room for beside online requests.
func (p *Pool) BatchRoom(dataCentre string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.BatchRoom(p.now(), dataCentre)
}

// Reserve returns the function that tells, by what is known now, how many slots
// of a target items leave free.
func (p *Pool) Reserve() func(choose.Target) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Reserve()
}

// Occupied takes how long an online request of a service held a slot.
func (p *Pool) Occupied(service string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Occupied(service, took)
}
