// Package discovery keeps a node's table of targets. It follows the list in the
// object store, and leaves out targets that this node knows to be unusable before
// the list shows it: those that refuse work, whose address now belongs to another
// target, or that fail.
package discovery

import (
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/outlier"
	"github.com/marblepond/marblepond/internal/request/warmup"
)

// Record is the object store's entry for one target.
type Record struct {
	choose.Target
	Draining bool
	// WarmUpLeft is how long the target's slow start still lasts.
	WarmUpLeft time.Duration
}

// Pool is the table of targets. It is safe for concurrent use.
type Pool struct {
	now           func() time.Time
	listUncertain func() bool // whether the store's list may lack live targets
	onChange      func(id, what string)

	mu                sync.Mutex
	table             *choose.Table
	records           map[string]Record
	lapsed            map[string]Record     // removed from the list while it was uncertain, and still in the table
	newestIncarnation map[string]uint64     // newest incarnation seen, by target; kept after the target is removed
	attempts          map[string][]*attempt // running attempts, by target; they end when the target restarts
	onOwnChange       func()                // called after each change of this node's counts in flight
	onOthersChange    func()                // called after each change of other nodes' counts in flight

	onVerdict   func(outlier.Change)  // called after each change of a verdict on a target
	probers     func() []outlier.Peer // reachable nodes that may send probes; nil: only this one
	probersSeen time.Time             // when probers was called last

	preemptor Preemptor
	joined    func() bool
}

// Preemptor frees slots at full targets for online requests. Its methods must not
// block.
type Preemptor interface {
	// PreemptItem stops one of this node's items at a target.
	PreemptItem(target string)
	// NotifyHolders tells other nodes that have items at a target at once that an
	// online request waits for a slot there.
	NotifyHolders(target string)
}

// New returns an empty pool. listUncertain reports whether the store had an outage
// lately, so that its list may lack live targets; onChange is called with each
// change of a target, for the log.
func New(cfg choose.Config, now func() time.Time, listUncertain func() bool, onChange func(id, what string)) *Pool {
	return &Pool{now: now, listUncertain: listUncertain, onChange: onChange, table: choose.New(cfg),
		records: map[string]Record{}, lapsed: map[string]Record{}, newestIncarnation: map[string]uint64{}, attempts: map[string][]*attempt{}, onOwnChange: func() {}, onOthersChange: func() {}, onVerdict: func(outlier.Change) {}, joined: func() bool { return true }}
}

// OnInFlightChange sets the functions that are called after each change of this node's
// counts in flight and of those that other nodes report. They must not block.
func (p *Pool) OnInFlightChange(onOwnChange, onOthersChange func()) {
	p.onOwnChange, p.onOthersChange = onOwnChange, onOthersChange
}

// SetPreemptor sets the preemptor; call it before the pool is used.
func (p *Pool) SetPreemptor(preemptor Preemptor) { p.preemptor = preemptor }

// SetJoined sets the function that reports whether this node and the other nodes know each
// other; call it before the pool is used.
func (p *Pool) SetJoined(joined func() bool) { p.joined = joined }

// MayHaveItems reports whether any node has batch items at usable targets of a service.
// It returns true as long as this node does not know what other nodes have there.
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
// target, as far as this node knows.
func (p *Pool) DataCentreInFlight() map[string]choose.InFlight {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.DataCentreInFlight()
}

// GroupInFlight returns what all nodes of this node's group have in flight, by target,
// as far as this node knows.
func (p *Pool) GroupInFlight() map[string]choose.InFlight {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.GroupInFlight()
}

// Counts returns the counts that are compared with the slots of a target.
func (p *Pool) Counts(target string) choose.Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Counts(target)
}

// Holders returns which other nodes have batch items at a target.
func (p *Pool) Holders(target string) choose.Holders {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Holders(target)
}

// JoinGroup sets the group of its data centre that this node belongs to, and drops the
// counts that nodes and groups there have reported.
func (p *Pool) JoinGroup(group string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.JoinGroup(group)
}

// SetNode replaces the counts in flight of another node of this node's group; nil means
// that the node is no longer reachable. It reports whether anything changed.
func (p *Pool) SetNode(node string, counts map[string]choose.InFlight) (changed bool) {
	return p.updateOthers(func() bool { return p.table.SetNode(node, counts) })
}

// SetGroup replaces the counts in flight of another group of this data centre, which has
// the number of members given; nil means that the group is no longer reachable. It
// reports whether anything changed.
func (p *Pool) SetGroup(group string, members int, counts map[string]choose.InFlight) (changed bool) {
	return p.updateOthers(func() bool { return p.table.SetGroup(group, members, counts) })
}

// SetDataCentre replaces the counts in flight of another data centre; nil means that it
// is no longer reachable. It reports whether anything changed.
func (p *Pool) SetDataCentre(name string, counts map[string]choose.InFlight) (changed bool) {
	return p.updateOthers(func() bool { return p.table.SetDataCentre(name, counts) })
}

// updateOthers changes the counts in flight of other nodes by calling set.
func (p *Pool) updateOthers(set func() bool) (changed bool) {
	p.mu.Lock()
	changed = set()
	p.mu.Unlock()
	if changed {
		p.onOthersChange()
	}
	return changed
}

// Excess returns how many of this node's batch items are to yield their slots, by target.
func (p *Pool) Excess() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Excess(p.now())
}

// MarkYielding records that an item at a target was told to yield its slot.
func (p *Pool) MarkYielding(t choose.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table.IsCurrent(t) {
		p.table.MarkYielding(t.ID)
	}
}

// MarkLeaving stops new requests to a target that turned out to be leaving, or whose
// address turned out to belong to another target.
func (p *Pool) MarkLeaving(t choose.Target, reason string) {
	p.mu.Lock()
	marked := p.table.MarkLeaving(t.ID, t.Incarnation)
	p.mu.Unlock()
	if marked {
		p.onChange(t.ID, reason)
	}
}

// Leaving reports whether a target is known to be leaving, or is not listed.
func (p *Pool) Leaving(t choose.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Leaving(t)
}

// OutOfServiceCounts returns how many targets are leaving, and how many are not listed and have
// work in flight.
func (p *Pool) OutOfServiceCounts() (leaving, unlisted int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.OutOfServiceCounts()
}

// SetEvacuated replaces the data centres whose targets get no work.
func (p *Pool) SetEvacuated(dataCentres []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetEvacuated(p.now(), dataCentres)
}

// Evacuated reports whether a target is in a data centre that is evacuated.
func (p *Pool) Evacuated(t choose.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Evacuated(t)
}

// AllEvacuated reports whether all targets of a service are in data centres that are
// evacuated.
func (p *Pool) AllEvacuated(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.AllEvacuated(service)
}

// SetSharedView sets whether targets are judged by what all nodes observe; see
// choose.Table.SetSharedView.
func (p *Pool) SetSharedView(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetSharedView(on)
}

// SharedView reports what SetSharedView has set.
func (p *Pool) SharedView() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.SharedView()
}

// Occupancy returns what is in flight at the targets of a service that may get requests.
func (p *Pool) Occupancy(service string) choose.Occupancy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Occupancy(p.now(), service)
}

// SetPosition sets this node's position among the nodes that send work: they take turns
// at targets in slow start.
func (p *Pool) SetPosition(position warmup.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetPosition(position)
}

// List returns all targets, each with the reason why it gets no work, if there is one.
func (p *Pool) List() []choose.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.List(p.now())
}

// Size returns how many targets are listed, of all services.
func (p *Pool) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.records)
}

// TargetCount returns how many targets of a service are listed.
func (p *Pool) TargetCount(service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.TargetCount(service)
}

// HasOther reports whether a service has a listed target that is not leaving and not among those
// given.
func (p *Pool) HasOther(service string, than map[string]bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.HasOther(service, than)
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
	p.preempt(target.ID, own, others)
	p.onOwnChange()
	return target, true
}

// preempt frees a slot for an online request that was sent to a full target: by one of
// this node's items, or else by items of other nodes.
func (p *Pool) preempt(id string, own bool, others choose.Holders) {
	switch {
	case own:
		p.preemptor.PreemptItem(id)
	case !others.Empty():
		p.preemptor.NotifyHolders(id)
	}
}

// BetterElsewhere reports whether a request that waits for an event of a target would get
// it sooner at another target; see choose.Table.BetterElsewhere.
func (p *Pool) BetterElsewhere(w choose.Wait, need choose.Need) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.BetterElsewhere(p.now(), w, need)
}

// RecordEvent records that an event of a target has arrived.
func (p *Pool) RecordEvent(t choose.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table.IsCurrent(t) {
		p.table.RecordAttemptEvent(p.now(), t)
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
	if ok && target.Apart {
		p.table.BeginItemApart(target.ID)
	}
	return target, ok
}

// End records the outcome of an online request and frees its slot.
func (p *Pool) End(t choose.Target, outcome choose.Outcome) {
	p.end(t, outcome, func() (ejected, readmitted bool) {
		if t.Apart {
			p.table.EndApart(t.ID)
		}
		return p.table.End(p.now(), t.ID, outcome)
	})
}

// EndBatch records the outcome of a batch item and frees its slot; yielded says whether
// the item was stopped to free the slot for an online request.
func (p *Pool) EndBatch(t choose.Target, outcome choose.Outcome, yielded bool) {
	p.end(t, outcome, func() (ejected, readmitted bool) {
		if t.Apart {
			p.table.EndItemApart(t.ID)
		}
		return p.table.EndBatch(p.now(), t.ID, outcome, yielded)
	})
}

// end calls count to end an attempt in the table, unless the target has restarted: the
// counts of the new incarnation never included the attempt.
func (p *Pool) end(t choose.Target, outcome choose.Outcome, count func() (ejected, readmitted bool)) {
	p.mu.Lock()
	if !p.table.IsCurrent(t) {
		p.mu.Unlock()
		return
	}
	ejected, readmitted := count()
	p.table.RecordEnd(p.now(), t, outcome)
	changes := p.table.Judge(p.now())
	p.mu.Unlock()
	p.onOwnChange()
	p.reportVerdicts(changes)
	p.logEjection(t.ID, ejected, readmitted)
}

func (p *Pool) logEjection(id string, ejected, readmitted bool) {
	switch {
	case ejected:
		p.onChange(id, "ejected after failures in a row")
	case readmitted:
		p.onChange(id, "readmitted")
	}
}

// RecordFirstEvent records the time from sending a request to its first event.
func (p *Pool) RecordFirstEvent(t choose.Target, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table.IsCurrent(t) {
		p.table.RecordFirstEvent(p.now(), t.ID, took)
		p.table.RecordUsualFirstEvent(t, took)
		if t.FoundFree {
			p.table.RecordUnqueuedFirstEvent(p.now(), t.ID, took)
		}
	}
}

// MarkItemRefused records that a target refused a batch item because it was full.
func (p *Pool) MarkItemRefused(t choose.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table.IsCurrent(t) {
		p.table.MarkItemRefused(p.now(), t.ID)
	}
}

// MarkSaturated records that a target refused an online request because it was full.
func (p *Pool) MarkSaturated(t choose.Target) {
	p.mu.Lock()
	if p.table.IsCurrent(t) {
		p.table.MarkSaturated(p.now(), t.ID)
		p.table.RecordRefusal(t)
	}
	p.mu.Unlock()
	p.onOwnChange() // batch items there yield their slots
}

// BatchCapacity returns how many batch items the usable targets of a data centre
// have slots for besides online requests.
func (p *Pool) BatchCapacity(dataCentre string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.BatchCapacity(p.now(), dataCentre)
}

// Reserve returns a function that says how many slots of a target batch items must leave
// free, by what is known at the call of Reserve.
func (p *Pool) Reserve() func(choose.Target) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Reserve()
}

// SlotTime returns how long an online request of a service holds a slot, 0 if that is not known.
func (p *Pool) SlotTime(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.MeanSlotTime(service)
}

// RecordSlotTime records how long an online request of a service held a slot.
func (p *Pool) RecordSlotTime(service string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.RecordSlotTime(service, took)
}
