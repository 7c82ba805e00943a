// Package discovery keeps a node's targets as the object store lists them,
// less what the node knows better: targets that refuse, that are other targets
// now, or that fail.
package discovery

import (
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/warmup"
)

// Record is what the store says of one target.
type Record struct {
	choose.Target
	Draining bool
	// WarmUpLeft is how long the target stays cold.
	WarmUpLeft time.Duration
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

	displacer Preemptor
	joined    func() bool
}

// Preemptor makes room at full targets. Its methods must not block.
type Preemptor interface {
	// PreemptItem stops one of this node's items at a target.
	PreemptItem(target string)
	// NotifyHolders lets others that have items at a target know at once that an
	// online request waits for a slot there.
	NotifyHolders(target string)
}

// New returns an empty pool. doubtful reports whether the store has been in
// trouble lately; onChange hears of each change for the log.
func New(cfg choose.Config, now func() time.Time, doubtful func() bool, onChange func(id, what string)) *Pool {
	return &Pool{now: now, doubtful: doubtful, onChange: onChange, table: choose.New(cfg),
		records: map[string]Record{}, lapsed: map[string]Record{}, newest: map[string]uint64{}, running: map[string][]*run{}, onOwn: func() {}, onHeard: func() {}, joined: func() bool { return true }}
}

// OnInFlightChange sets the functions that are told each change of what this node has in
// flight and of what it hears of others. They must not block.
func (p *Pool) OnInFlightChange(own, heard func()) { p.onOwn, p.onHeard = own, heard }

// SetPreemptor sets what makes room; call it before the pool is used.
func (p *Pool) SetPreemptor(d Preemptor) { p.displacer = d }

// SetJoined sets the function that reports whether this node and the others know of each
// other; call it before the pool is used.
func (p *Pool) SetJoined(joined func() bool) { p.joined = joined }

// MayHaveItems reports whether batch items of any node are at usable targets of a service,
// or may be, as long as this node does not know what others have there.
func (p *Pool) MayHaveItems(service string) bool {
	if !p.joined() {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.HasItems(p.now(), service)
}

// OwnInFlight returns what this node has in flight, by target.
func (p *Pool) OwnInFlight() map[string]choose.InFlight {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.OwnInFlight()
}

// DataCentreInFlight returns what all nodes of this data centre have in flight, by
// target, as far as this one knows.
func (p *Pool) DataCentreInFlight() map[string]choose.InFlight {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.DataCentreInFlight()
}

// GroupInFlight returns the same of this node's group.
func (p *Pool) GroupInFlight() map[string]choose.InFlight {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.GroupInFlight()
}

// Counts returns what is held against the slots of a target.
func (p *Pool) Counts(target string) choose.Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Counts(target)
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

// MarkYielding notes that an item at a target was told to make room.
func (p *Pool) MarkYielding(t choose.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table.IsCurrent(t) {
		p.table.MarkYielding(t.ID)
	}
}

// MarkLeaving stops new requests to a target that turned out to be leaving, or to be
// another one.
func (p *Pool) MarkLeaving(t choose.Target, why string) {
	p.mu.Lock()
	news := p.table.MarkLeaving(t.ID, t.Incarnation)
	p.mu.Unlock()
	if news {
		p.onChange(t.ID, why)
	}
}

// Leaving reports whether a target is known to leave, or is not listed.
func (p *Pool) Leaving(t choose.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Leaving(t)
}

// SetEvacuated replaces the data centres whose targets get no work.
func (p *Pool) SetEvacuated(dataCentres []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetEvacuated(p.now(), dataCentres)
}

// Evacuated reports whether a target stands in a data centre that is evacuated.
func (p *Pool) Evacuated(t choose.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Evacuated(t)
}

// AllEvacuated reports whether all targets of a service stand in data centres that are
// evacuated.
func (p *Pool) AllEvacuated(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.AllEvacuated(service)
}

// SetPosition says which of the nodes that send work this one is.
func (p *Pool) SetPosition(s warmup.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetPosition(s)
}

// List returns all targets, with the reason why any of them gets no work.
func (p *Pool) List() []choose.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.List(p.now())
}

// TargetCount returns how many targets of a service are listed.
func (p *Pool) TargetCount(service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.TargetCount(service)
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
	if target.Apart {
		p.table.BeginApart(target.ID)
	}
	own, others := p.table.Preemption(p.now(), target.ID)
	p.mu.Unlock()
	p.displaced(target.ID, own, others)
	p.onOwn()
	return target, true
}

// displaced has room made for an online request that was sent to a full target.
func (p *Pool) displaced(id string, own bool, others choose.Holders) {
	switch {
	case own:
		p.displacer.PreemptItem(id)
	case !others.Empty():
		p.displacer.NotifyHolders(id)
	}
}

// BetterElsewhere reports whether a request that waits for an event of a target would come
// sooner to it at another; see choose.Table.BetterElsewhere.
func (p *Pool) BetterElsewhere(id string, need choose.Need, heard time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.BetterElsewhere(p.now(), id, need, heard)
}

// RecordEvent notes an event of a target.
func (p *Pool) RecordEvent(t choose.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table.IsCurrent(t) {
		p.table.RecordEvent(p.now(), t.ID)
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
	if !p.table.IsCurrent(t) {
		p.mu.Unlock()
		return
	}
	if t.Apart {
		p.table.EndApart(t.ID)
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

// RecordFirstEvent takes the time from sending a request to its first event.
func (p *Pool) RecordFirstEvent(t choose.Target, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table.IsCurrent(t) {
		p.table.RecordFirstEvent(p.now(), t.ID, took)
	}
}

// MarkItemRefused notes that a target refused a batch item because it was full.
func (p *Pool) MarkItemRefused(t choose.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table.IsCurrent(t) {
		p.table.MarkItemRefused(p.now(), t.ID)
	}
}

// MarkSaturated notes that a target refused an online request because it was full.
func (p *Pool) MarkSaturated(t choose.Target) {
	p.mu.Lock()
	if p.table.IsCurrent(t) {
		p.table.MarkSaturated(p.now(), t.ID)
	}
	p.mu.Unlock()
	p.onOwn() // batch items there make room
}

// BatchCapacity returns how many batch items the usable targets of a data centre
// have room for beside online requests.
func (p *Pool) BatchCapacity(dataCentre string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.BatchCapacity(p.now(), dataCentre)
}

// Reserve returns the function that tells, by what is known now, how many slots
// of a target items leave free.
func (p *Pool) Reserve() func(choose.Target) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Reserve()
}

// RecordSlotTime takes how long an online request of a service held a slot.
func (p *Pool) RecordSlotTime(service string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.RecordSlotTime(service, took)
}
