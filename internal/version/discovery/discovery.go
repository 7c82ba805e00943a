// Package discovery keeps a node's targets as the object store lists them,
// less what the node knows better: targets that refuse, that are other targets
// now, or that fail.
package discovery

import (
	"slices"
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
	newest  map[string]uint64 // newest incarnation heard of, by target; kept after the target is gone
	running map[string][]*run // attempts that end when their target has started again, by target
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

// run is an attempt at one incarnation of a target.
type run struct {
	incarnation uint64
	ended       func() // told when that incarnation is known to be gone
}

// New returns an empty pool. doubtful reports whether the store has been in
// trouble lately; onChange hears of each change for the log.
func New(cfg choose.Config, now func() time.Time, doubtful func() bool, onChange func(id, what string)) *Pool {
	return &Pool{now: now, doubtful: doubtful, onChange: onChange, table: choose.New(cfg),
		records: map[string]Record{}, lapsed: map[string]Record{}, newest: map[string]uint64{}, running: map[string][]*run{}, onOwn: func() {}, onHeard: func() {}}
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
func (p *Pool) Yielding(t choose.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table.Current(t) {
		p.table.Yielding(t.ID)
	}
}

// change is a line of the log about one target.
type change struct{ id, what string }

// Update takes what the store says of targets: those that are listed, those that
// are taken off the list, and those whose entries name no target to use. The table
// is made anew once, however many they are.
func (p *Pool) Update(listed []Record, gone, refused []string) {
	p.mu.Lock()
	var changes []change
	var ended []*run
	for _, r := range listed {
		if r.Incarnation < p.newest[r.ID] {
			continue // a late word of an earlier incarnation
		}
		if r.Incarnation > p.newest[r.ID] {
			ended = append(ended, p.startedAgain(r)...)
		}
		changes = append(changes, p.put(r)...)
	}
	for _, id := range gone {
		changes = append(changes, p.remove(id, p.doubtful())...)
	}
	for _, id := range refused {
		changes = append(changes, p.remove(id, false)...)
	}
	p.set()
	for _, r := range listed {
		if r.Draining {
			p.table.Leave(r.ID, r.Incarnation)
		}
	}
	p.mu.Unlock()
	for _, attempt := range ended {
		attempt.ended()
	}
	for _, c := range changes {
		p.onChange(c.id, c.what)
	}
}

// startedAgain notes a new incarnation of a target, and returns the attempts at
// earlier ones, which are gone with them. The caller holds p.mu.
func (p *Pool) startedAgain(r Record) (ended []*run) {
	p.newest[r.ID] = r.Incarnation
	if old, known := p.records[r.ID]; known && old.Incarnation < r.Incarnation {
		delete(p.records, r.ID) // what is put is a new target
	}
	ended = p.running[r.ID]
	delete(p.running, r.ID)
	return ended
}

// WhenGone has a function called when a target is known to have started again:
// what runs at the incarnation given is lost with it, whether or not its
// connection shows it. stop takes the function back. It is called at once when
// that is known already.
func (p *Pool) WhenGone(t choose.Target, ended func()) (stop func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.newest[t.ID] > t.Incarnation {
		go ended()
		return func() {}
	}
	attempt := &run{t.Incarnation, ended}
	p.running[t.ID] = append(p.running[t.ID], attempt)
	return func() { p.forget(t.ID, attempt) }
}

func (p *Pool) forget(id string, attempt *run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := slices.DeleteFunc(p.running[id], func(r *run) bool { return r == attempt })
	if len(left) == 0 {
		delete(p.running, id)
		return
	}
	p.running[id] = left
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
func (p *Pool) remove(id string, doubtful bool) []change {
	r, known := p.records[id]
	delete(p.records, id)
	switch {
	case known && !r.Draining && doubtful:
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
			list = append(list, r.Target)
		}
	}
	p.table.Set(list)
}

// Leave stops new requests to a target that turned out to be leaving, or to be
// another one.
func (p *Pool) Leave(t choose.Target, why string) {
	p.mu.Lock()
	news := p.table.Leave(t.ID, t.Incarnation)
	p.mu.Unlock()
	if news {
		p.onChange(t.ID, why)
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
func (p *Pool) Heard(t choose.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table.Current(t) {
		p.table.Heard(p.now(), t.ID)
	}
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
func (p *Pool) End(t choose.Target, outcome choose.Outcome) {
	p.end(t, func() (ejected, readmitted bool) { return p.table.End(p.now(), t.ID, outcome) })
}

// EndBatch takes the result of a batch item.
func (p *Pool) EndBatch(t choose.Target, outcome choose.Outcome, yielded bool) {
	p.end(t, func() (ejected, readmitted bool) { return p.table.EndBatch(p.now(), t.ID, outcome, yielded) })
}

// end has the table count the end of an attempt, unless the target has started
// again: the counts of the new incarnation began without it.
func (p *Pool) end(t choose.Target, count func() (ejected, readmitted bool)) {
	p.mu.Lock()
	if !p.table.Current(t) {
		p.mu.Unlock()
		return
	}
	ejected, readmitted := count()
	p.mu.Unlock()
	p.onOwn()
	p.tell(t.ID, ejected, readmitted)
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
func (p *Pool) FirstEvent(t choose.Target, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table.Current(t) {
		p.table.FirstEvent(p.now(), t.ID, took)
	}
}

// Saturated notes that a target refused because it was full.
func (p *Pool) Saturated(t choose.Target) {
	p.mu.Lock()
	if p.table.Current(t) {
		p.table.Saturated(p.now(), t.ID)
	}
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
