// Package choose holds a node's table of targets and selects the target of each
// request. It is pure: the caller passes the time and the seed of random choices.
//
// Load reports lag, so the table adds what this node has sent since the report.
// A target that keeps failing is ejected for a growing time and readmitted by one
// probe request at a time (outlier detection).
package choose

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/marblepond/marblepond/internal/process/rendezvous"
	"github.com/marblepond/marblepond/internal/request/continuation"
	"github.com/marblepond/marblepond/internal/request/outlier"
	"github.com/marblepond/marblepond/internal/request/warmup"
)

// Load is a load report of a target.
type Load struct {
	Running    int
	Waiting    int
	MaxRunning int
	Batch      int // batch sequences of the target's owner node, included in Running and Waiting
	Healthy    bool
	Loaded     []string  // what the target has loaded, such as a model with its version
	Started    uint64    // start of the target's process in Unix milliseconds; 0: not known
	At         time.Time // when this node received the report
}

// Target is a server that runs requests of a service.
type Target struct {
	ID          string
	Incarnation uint64
	Service     string
	Addr        string
	DataCentre  string
	Remote      bool // a node of another data centre that represents the targets there
	Slots       int  // requests served at once, from discovery; 0: taken from load reports
	// Version is that of the target's software; empty where it is not known.
	Version continuation.Version
	// Apart is set on the target of an attempt that was chosen with Need.Apart.
	Apart bool
	// Sent is set on the target of an attempt: when the attempt was sent; zero: not known.
	Sent time.Time
	// Attempt is set on the target of an attempt that was chosen with the shared view on: its
	// number, by which the outlier detection follows it.
	Attempt uint64
	// FoundFree is set on the target of an attempt if it had a free slot when it was chosen
	// and the shared view is on.
	FoundFree bool
	// Estimate is set on the target of an online attempt with the shared view on: the
	// estimated time to the first event; 0: not known.
	Estimate time.Duration
}

// Outcome is the result of an attempt as it counts for the target.
type Outcome int

// The outcomes.
const (
	Success Outcome = iota
	Failure         // the target's fault
	Neutral         // abandoned or cancelled; no evidence about the target
	// The following are told apart only with the shared view on. Otherwise they count as
	// withoutSharedView says.

	ErrorAnswer   // a complete answer with status 5xx, which its caller gets
	Stalled       // this node gave the attempt up, because the target sent no event for too long
	WrongIdentity // another target has the address
	Withdrawn     // this node ended the attempt for a reason that is not the target's
)

// withoutSharedView returns as what an outcome of an online request or a batch item counts
// while the shared view is off.
func (o Outcome) withoutSharedView(batch bool) Outcome {
	switch {
	case o == ErrorAnswer && !batch:
		return Success
	case o == ErrorAnswer, o == WrongIdentity, o == Withdrawn:
		return Neutral
	case o == Stalled:
		return Failure
	}
	return o
}

type entry struct {
	Target
	load              Load
	hasLoad           bool          // a load report has arrived
	online            int           // own online requests in flight
	apart             int           // those of them that were chosen with Need.Apart
	itemsApart        int           // own batch items that were chosen with Need.Apart
	saturatedUntil    time.Time     // until then it counts as full, because it refused an online request
	itemsRefusedUntil time.Time     // until then it counts as full for batch items, because it refused one
	firstEvent        time.Duration // moving average of the time to the first event
	firstEventAt      time.Time     // time of the newest measurement of firstEvent
	batch             int           // own batch items in flight, if this table places them
	yielding          int           // those of them that were told to yield their slot
	lastEventAt       time.Time     // when the newest event of an answer arrived
	waitingSince      time.Time     // since when requests wait for a slot there; zero: none waits
	elsewhere         InFlight      // in flight from other nodes, by their newest reports
	onlineAtReport    int           // own online requests in flight at load.At
	leaving           bool          // announced, or found out by a request: final for the incarnation
	unlisted          bool          // missing from the newest list; in the table while work is in flight there
	failures          int           // in a row
	ejectedUntil      time.Time
	ejections         int       // in a row, without a success between
	probing           bool      // a probe request is in flight that decides on its readmission
	warmAt            time.Time // until then it is cold: in slow start
	coldSince         time.Time // when this table learned that it is cold
	lastTurn          int       // newest turn used while it is cold, see package warmup
	state             outlier.State
	readmittedAt      time.Time // when an ejection ended that the outlier detection began
	readmissionTurn   int       // newest turn used in the slow start after it
	intervals         decaying  // own measurements of the time between two events
	paceSum           Sum       // of all nodes, at the last refresh of the paces
	relativePace      float64   // at the last refresh; 0: not known
}

// Policy names how a target is chosen. Some policies are only baselines for
// measurements.
type Policy string

// The policies.
const (
	Affinity   Policy = "affinity"       // prefix affinity with bounded load
	LeastLoad  Policy = "least_load"     // least corrected load
	LeastOfFew Policy = "least_of_few"   // least corrected load of a few random targets (power of d choices)
	LeastOwn   Policy = "least_inflight" // fewest online requests in flight from this node
	RoundRobin Policy = "round_robin"
)

// Config configures a table.
type Config struct {
	EjectAfter int           // failures in a row that eject a target
	EjectTime  time.Duration // of the first ejection; it doubles with each further one, see maxEjectDoublings
	Policy     Policy
	// MinReserve is how many slots of a target batch items leave free even when no
	// online requests arrive. Measurements use it as the baseline to compare
	// Table.Reserve with.
	MinReserve int
	// Seed is the random seed of LeastOfFew; it differs from node to node.
	Seed uint64
	// Node is the name of the node that owns the table, as used in the reports
	// between nodes.
	Node string
	// Group is the group of nodes of its data centre that the node belongs to;
	// Table.JoinGroup changes it.
	Group string
	// WarmUp returns how targets of a service warm up; nil: no target has to.
	WarmUp func(service string) warmup.Rate
	// VersionInUse reports whether resumable streams are begun at a version of a service, see
	// continuation.History.InUse; nil: at all. It must not call the table.
	VersionInUse func(service string, v continuation.Version) bool
	// LocalDataCentre is the data centre whose targets are preferred while they have
	// free slots; empty: no preference.
	LocalDataCentre string
}

// loadBound is the largest load of a target, relative to the mean, at which prefix
// affinity still selects it (consistent hashing with bounded loads, Mirrokni et
// al., 2016).
const loadBound = 1.25

// Table holds the targets. It is not safe for concurrent use.
type Table struct {
	cfg                 Config
	entries             map[string]*entry
	order               []string                 // sorted IDs
	leavingIncarnations map[string]uint64        // newest leaving incarnation by target, kept when the target is no longer listed
	rotation            int                      // counts choices, for RoundRobin and among equal targets
	random              *rand.Rand               // for LeastOfFew
	slotTime            map[string]time.Duration // by service: average time that an online request holds a slot
	byService           map[string][]string      // sorted IDs
	severalVersions     map[string]bool          // services whose targets have several versions
	medians             map[string]time.Duration // by service, see medianFirstEvent; until the next measurement
	// In-flight counts that others last reported, by reporter and target. The reporters
	// are the other nodes of this node's group, the other groups of its data centre, and
	// other data centres.
	nodes   map[string]map[string]InFlight
	groups  map[string]map[string]InFlight
	centres map[string]map[string]InFlight
	members map[string]int // nodes of each other group

	evacuated map[string]bool // data centres
	// sharedView says that targets are judged by what all nodes observe, see
	// SetSharedView.
	sharedView bool
	judge      *outlier.Judge  // of targets while sharedView is set
	position   warmup.Position // of this node in the rotation at cold targets
	paces      paces
}

// New creates an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), entries: map[string]*entry{}, leavingIncarnations: map[string]uint64{}, byService: map[string][]string{}, severalVersions: map[string]bool{}, slotTime: map[string]time.Duration{}, medians: map[string]time.Duration{},
		judge: outlier.New(outlier.Config{Node: cfg.Node, DataCentre: cfg.LocalDataCentre, EjectTime: cfg.EjectTime}),
		nodes: map[string]map[string]InFlight{}, groups: map[string]map[string]InFlight{}, centres: map[string]map[string]InFlight{}, members: map[string]int{}, paces: newPaces()}
}

// SetTargets replaces the list of targets. Targets that stay keep their counters; a
// target marked as leaving stays marked for that incarnation. A target that is missing
// from the list gets no new work until it is listed again.
func (t *Table) SetTargets(targets []Target) {
	listed := map[string]bool{}
	for _, target := range targets {
		listed[target.ID] = true
		old := t.entries[target.ID]
		if old != nil && target.Incarnation < old.Incarnation {
			continue // a stale list
		}
		if old == nil || old.Incarnation != target.Incarnation {
			old = &entry{}
			t.entries[target.ID] = old
		}
		old.Target = target
		old.unlisted = false
		old.leaving = t.leavingIncarnations[target.ID] >= target.Incarnation
	}
	for id, e := range t.entries {
		if !listed[id] && e.online+e.batch == 0 {
			delete(t.entries, id)
		} else if !listed[id] {
			e.unlisted = true
		}
	}
	t.reindex()
	t.recomputeElsewhere()
	t.judgeTargets()
}

func (t *Table) reindex() {
	t.order = t.order[:0]
	clear(t.medians)
	clear(t.byService)
	clear(t.severalVersions)
	for id := range t.entries {
		t.order = append(t.order, id)
	}
	sort.Strings(t.order)
	for _, id := range t.order {
		service := t.entries[id].Service
		if same := t.byService[service]; len(same) > 0 && t.entries[same[0]].Version != t.entries[id].Version {
			t.severalVersions[service] = true
		}
		t.byService[service] = append(t.byService[service], id)
	}
}

// MarkLeaving marks one incarnation of a target as leaving; the mark is never
// removed. It reports whether the mark is new.
func (t *Table) MarkLeaving(id string, incarnation uint64) bool {
	if t.leavingIncarnations[id] >= incarnation {
		return false
	}
	t.leavingIncarnations[id] = incarnation
	if e := t.entries[id]; e != nil && e.Incarnation <= incarnation {
		e.leaving = true
		t.judge.MarkLeaving(id)
	}
	return true
}

// LeavingIncarnations returns the newest incarnation known to leave, by target, for
// reports to other nodes.
func (t *Table) LeavingIncarnations() map[string]uint64 { return t.leavingIncarnations }

// IsCurrent reports whether a target is the incarnation that the table lists. A
// report about another incarnation, which has ended, does not apply to this one.
func (t *Table) IsCurrent(target Target) bool {
	e := t.entries[target.ID]
	return e != nil && e.Incarnation == target.Incarnation
}

// OutOfServiceCounts returns how many targets are leaving, and how many are not listed and have
// work in flight.
func (t *Table) OutOfServiceCounts() (leaving, unlisted int) {
	for _, e := range t.entries {
		switch {
		case e.leaving:
			leaving++
		case e.unlisted:
			unlisted++
		}
	}
	return leaving, unlisted
}

// isServing reports whether the target is listed and was not marked as leaving.
func (e *entry) isServing() bool { return !e.leaving && !e.unlisted }

// Leaving reports whether a target was marked as leaving, or was dropped from the list
// while work is in flight there.
func (t *Table) Leaving(target Target) bool {
	e := t.entries[target.ID]
	return t.leavingIncarnations[target.ID] >= target.Incarnation || (e != nil && e.Incarnation == target.Incarnation && !e.isServing())
}

// TargetCount returns how many targets of a service are listed.
func (t *Table) TargetCount(service string) int { return len(t.byService[service]) }

// HasOther reports whether a service has a listed target that is not leaving and not among those
// given.
func (t *Table) HasOther(service string, than map[string]bool) bool {
	return slices.ContainsFunc(t.byService[service], func(id string) bool { return !than[id] && t.entries[id].isServing() })
}

// RecordLoad records a load report of the given incarnation. Reports of other
// incarnations and older reports are ignored.
func (t *Table) RecordLoad(id string, incarnation uint64, load Load) {
	e := t.entries[id]
	if e == nil || e.Incarnation != incarnation || (e.hasLoad && load.At.Before(e.load.At)) {
		return
	}
	e.load, e.hasLoad, e.onlineAtReport = load, true, e.online
}

// Need is what a request requires of its target.
type Need struct {
	Service string
	Loaded  string          // name that must be loaded; empty: none
	Prefix  string          // affinity key; empty: none
	Exclude map[string]bool // targets already tried
	// Batch marks a batch item: the target must have more free slots than
	// Table.Reserve keeps for online requests.
	Batch bool
	// Limit returns how many batch items this table may have at a target at
	// once; nil: no limit.
	Limit func(Target) int
	// Apart marks a request that was in flight at a crash of a target. It is placed
	// where no other online request with this mark runs (anti-affinity), and nowhere
	// if there is no such target. A batch item with this mark is placed where no other one of
	// this node runs: items run for long, and online requests would have to wait for them.
	Apart bool
	// ScatterKey, if not 0, selects the target by a hash of the requested work
	// instead of by load, among those with free slots. Otherwise nodes that know the
	// same loads select the same target at the same moment.
	ScatterKey uint64
	// Repeatable marks an online request that is sent elsewhere if it fails.
	Repeatable bool
	// NoProbe marks work that is not sent to a target on trial: it has failed before, or its
	// answer has begun.
	NoProbe bool
	// Proven prefers targets that are known to succeed.
	Proven bool
	probe  bool // it is checked whether the work may be a probe
	// Origin says at which version the answer began: it continues at a target of that version
	// only. Zero: it has not begun.
	Origin continuation.Origin
	// Resumable marks a stream that has not begun and may be resumed later.
	Resumable bool
	// Overflow is how many requests may be queued at a target beyond its slots
	// when all targets are full; 0: no limit.
	Overflow int
	// Within is the longest acceptable estimate of the time to the first event at a target
	// without a free slot; 0: any. It applies with the shared view only, as FreeSlot does.
	Within time.Duration
	// FreeSlot: only targets with a free slot, or one that a batch item yields.
	FreeSlot bool
}

// Choose returns the target for a request; ok is false when no target can take it.
func (t *Table) Choose(now time.Time, need Need) (Target, bool) {
	need = t.allowedExclusions(now, need)
	if probed := t.probeFor(now, need); probed != nil {
		return t.begin(now, probed, need), true
	}
	usable := t.usable(now, need)
	if need.Proven {
		usable = filterOrAll(usable, func(e *entry) bool { return t.judge.Succeeds(e.ID) })
	}
	switch {
	case need.Apart && need.Batch:
		usable = filter(usable, func(e *entry) bool { return e.itemsApart == 0 })
	case need.Apart:
		usable = filter(usable, func(e *entry) bool { return e.apart+e.elsewhere.Apart == 0 })
	}
	if len(usable) == 0 {
		return Target{}, false
	}
	best := t.pick(now, usable, need)
	t.useTurn(now, best)
	t.useReadmissionTurn(now, best)
	if !best.ejectedUntil.IsZero() {
		best.probing = true
	}
	return t.begin(now, best, need), true
}

func (t *Table) usable(now time.Time, need Need) []*entry {
	var out, full, cold []*entry
	var reserve func(Target) int
	if need.Batch {
		reserve = t.Reserve()
	}
	overflow, kept := t.overflow(need), t.keptSlots(now, need)
	for _, id := range t.byService[need.Service] {
		e := t.entries[id]
		if need.Exclude[id] || t.reason(now, e, need) != "" {
			continue
		}
		switch free := e.freeAt(now); {
		case !kept.allow(id, e.freeOnline(now)):
			continue
		case need.Batch && (free <= reserve(e.Target) || (need.Limit != nil && e.batch >= need.Limit(e.Target))):
			continue
		case free <= 0:
			if (overflow == 0 || e.freeOnline(now) > -overflow) && t.isInTime(now, e, need) {
				full = append(full, e)
			}
		case !e.warm(now):
			cold = append(cold, e)
		default:
			out = append(out, e)
		}
	}
	if need.Resumable && t.severalVersions[need.Service] {
		versions := t.versionsForNewStreams(need.Service)
		out, full, cold = versions.preferred(out), versions.allowed(full), versions.allowed(cold)
	}
	switch {
	case len(cold) > 0 && !anyFree(now, out) && !anyFree(now, full):
		out = cold
	case need.Batch:
	case t.cfg.Policy == LeastOfFew:
		out = append(out, full...) // a full target may be the best of the sample
	case len(out) == 0:
		return leastOnline(full)
	}
	return t.preferred(now, need, out)
}

// anyFree reports whether any of the targets has a slot that is free or that a batch
// item can yield.
func anyFree(now time.Time, entries []*entry) bool {
	return slices.ContainsFunc(entries, func(e *entry) bool { return e.freeOnline(now) > 0 })
}

func (t *Table) pick(now time.Time, usable []*entry, need Need) *entry {
	switch t.cfg.Policy {
	case RoundRobin:
		t.rotation++
		return usable[t.rotation%len(usable)]
	case LeastOwn:
		return least(usable, func(e *entry) int { return e.online })
	case LeastOfFew:
		if !need.Batch {
			return t.leastOfFew(now, byScatterKey(now, usable, need.ScatterKey))
		}
	case Affinity:
		if need.Prefix != "" {
			return byAffinity(usable, need.Prefix)
		}
	}
	t.rotation++ // spreads requests over equally loaded targets; otherwise all nodes pick the first
	return least(rotate(usable, t.rotation), (*entry).inFlight)
}

func rotate(entries []*entry, n int) []*entry {
	n %= len(entries)
	return append(append(make([]*entry, 0, len(entries)), entries[n:]...), entries[:n]...)
}

func least(usable []*entry, cost func(*entry) int) *entry {
	best, lowest := usable[0], cost(usable[0])
	for _, e := range usable[1:] {
		if c := cost(e); c < lowest {
			best, lowest = e, c
		}
	}
	return best
}

func byAffinity(usable []*entry, prefix string) *entry {
	total := 0
	for _, e := range usable {
		total += e.estimatedOnline()
	}
	bound := int(loadBound*float64(total)/float64(len(usable))) + 1
	var best *entry
	var top uint64
	for _, e := range usable {
		if w := rendezvous.Weight(prefix, e.ID); e.estimatedOnline() <= bound && (best == nil || w > top) {
			best, top = e, w
		}
	}
	if best == nil {
		return least(usable, (*entry).estimatedOnline)
	}
	return best
}
