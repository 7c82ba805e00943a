// Package choose holds a node's table of targets and decides which of them
// gets a request. It is pure: time and the seed of its draws come from outside.
//
// Load reports lag, so the table counts what this node has sent since the
// report. A target that keeps failing is taken out for a growing time and let
// back in by one request at a time.
package choose

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/marblepond/marblepond/internal/process/rendezvous"
	"github.com/marblepond/marblepond/internal/request/warmup"
)

// Load is the newest report of a target.
type Load struct {
	Running    int
	Waiting    int
	MaxRunning int
	Batch      int // batch sequences of its owner among Running and Waiting
	Healthy    bool
	Loaded     []string
	Started    uint64    // start of the target's process in Unix milliseconds; 0: not known
	At         time.Time // when this node received the report
}

// Target is one back end.
type Target struct {
	ID          string
	Incarnation uint64
	Service     string
	Addr        string
	DataCentre  string
	Remote      bool // a node of another data centre that stands for its targets
	Slots       int  // requests served at once, where discovery tells it; 0: load reports do
	// Apart says, of the target of an attempt, that it was chosen with Need.Apart.
	Apart bool
	// Sent is, of the target of an attempt, when that was sent; zero: not known.
	Sent time.Time
}

// Outcome says how an attempt ended for the target.
type Outcome int

// The outcomes.
const (
	Success Outcome = iota
	Failure         // the target's fault
	Neutral         // given up or cancelled; says nothing of the target
)

type entry struct {
	Target
	load         Load
	known        bool          // a load report has arrived
	online       int           // own online requests in flight
	apart        int           // those of them that were placed apart
	saturated    time.Time     // until then its own refusal of a request stands for a full table entry
	full         time.Time     // the same, of its refusal of an item
	firstEvent   time.Duration // moving average of the time to the first event
	firstAt      time.Time     // newest measurement of firstEvent
	batch        int           // own batch items in flight, where this table places them
	yielding     int           // those of them that were told to make room
	heardAt      time.Time     // when an event of it last came
	overSince    time.Time     // since when requests here wait for a slot; zero: none does
	elsewhere    InFlight      // what other nodes last said they have there
	atReport     int           // own online in flight when load.At
	leaving      bool
	failures     int // in a row
	ejectedUntil time.Time
	ejections    int
	trial        bool      // one request is out to see whether it is back
	warmAt       time.Time // until then it is cold
	coldSince    time.Time // when this table learned that
	lastTurn     int       // newest turn used at it while it is cold
}

// Policy names how a target is chosen; baselines are kept for measurements.
type Policy string

// The policies.
const (
	Affinity   Policy = "affinity"       // prefix affinity with bounded load
	LeastLoad  Policy = "least_load"     // least corrected load
	LeastOfFew Policy = "least_of_few"   // least corrected load of a few drawn at random
	LeastOwn   Policy = "least_inflight" // least in-flight of this node only
	RoundRobin Policy = "round_robin"
)

// Config of a table.
type Config struct {
	EjectAfter int
	EjectTime  time.Duration
	Policy     Policy
	// MinReserve is how many slots of a target items leave free however few online
	// requests arrive: the baseline that reserves by arrivals are measured against.
	MinReserve int
	// Seed of the draws of LeastOfFew; it differs from node to node.
	Seed uint64
	// Node is the name of the node whose table it is, as other nodes tell theirs.
	Node string
	// Group is the group of nodes of its data centre that the node belongs to;
	// Table.JoinGroup changes it.
	Group string
	// WarmUp returns how targets of a service warm up; nil: they need not.
	WarmUp func(service string) warmup.Rate
	// LocalDataCentre is the data centre whose targets are preferred while they have room;
	// empty: none is.
	LocalDataCentre string
}

// loadBound is how far above the mean a target's load may be for a request to
// follow its prefix there (consistent hashing with bounded loads, Mirrokni et
// al., 2016).
const loadBound = 1.25

// Table holds the targets. It is not safe for concurrent use.
type Table struct {
	cfg      Config
	entries  map[string]*entry
	order    []string                 // sorted IDs
	left     map[string]uint64        // newest leaving incarnation by VM, kept after the VM is gone
	turn     int                      // for RoundRobin
	draw     *rand.Rand               // for LeastOfFew
	occupied map[string]time.Duration // per service: how long online requests hold a slot
	rank     map[string][]string      // per service: IDs
	// What others last said that they have in flight, by target: the other nodes of
	// this node's group, the other groups of its data centre, other data centres.
	nodes   map[string]map[string]InFlight
	groups  map[string]map[string]InFlight
	centres map[string]map[string]InFlight
	members map[string]int // nodes of each other group

	evacuated map[string]bool // data centres
	turns     warmup.Position // which of the nodes this one is
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, draw: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)), entries: map[string]*entry{}, left: map[string]uint64{}, rank: map[string][]string{}, occupied: map[string]time.Duration{},
		nodes: map[string]map[string]InFlight{}, groups: map[string]map[string]InFlight{}, centres: map[string]map[string]InFlight{}, members: map[string]int{}}
}

// SetTargets replaces the list of targets. Counters of targets that stay are kept; a
// target marked as leaving stays so for that incarnation.
func (t *Table) SetTargets(targets []Target) {
	keep := map[string]bool{}
	for _, target := range targets {
		keep[target.ID] = true
		old := t.entries[target.ID]
		if old != nil && target.Incarnation < old.Incarnation {
			continue // a stale list
		}
		if old == nil || old.Incarnation != target.Incarnation {
			old = &entry{}
			t.entries[target.ID] = old
		}
		old.Target = target
		old.leaving = old.leaving || t.left[target.ID] >= target.Incarnation
	}
	for id, e := range t.entries {
		if !keep[id] && e.online+e.batch == 0 {
			delete(t.entries, id)
		} else if !keep[id] {
			e.leaving = true
		}
	}
	t.reindex()
	t.sumOthers()
}

func (t *Table) reindex() {
	t.order = t.order[:0]
	clear(t.rank)
	for id := range t.entries {
		t.order = append(t.order, id)
	}
	sort.Strings(t.order)
	for _, id := range t.order {
		service := t.entries[id].Service
		t.rank[service] = append(t.rank[service], id)
	}
}

// MarkLeaving marks one incarnation of a target as leaving, for good. It reports
// whether that was news.
func (t *Table) MarkLeaving(id string, incarnation uint64) bool {
	if t.left[id] >= incarnation {
		return false
	}
	t.left[id] = incarnation
	if e := t.entries[id]; e != nil && e.Incarnation <= incarnation {
		e.leaving = true
	}
	return true
}

// LeavingIncarnations returns the leaving incarnations known, to be passed on.
func (t *Table) LeavingIncarnations() map[string]uint64 { return t.left }

// IsCurrent reports whether a target is the incarnation that the table holds. What
// is said of another one, which has ended, says nothing of this one.
func (t *Table) IsCurrent(target Target) bool {
	e := t.entries[target.ID]
	return e != nil && e.Incarnation == target.Incarnation
}

// Leaving reports whether a target is known to leave, or is not listed.
func (t *Table) Leaving(target Target) bool {
	e := t.entries[target.ID]
	return t.left[target.ID] >= target.Incarnation || (e != nil && e.Incarnation == target.Incarnation && e.leaving)
}

// TargetCount returns how many targets of a service are listed.
func (t *Table) TargetCount(service string) int { return len(t.rank[service]) }

// RecordLoad takes a load report of the given incarnation.
func (t *Table) RecordLoad(id string, incarnation uint64, load Load) {
	e := t.entries[id]
	if e == nil || e.Incarnation != incarnation || (e.known && load.At.Before(e.load.At)) {
		return
	}
	e.load, e.known, e.atReport = load, true, e.online
}

// Need is what a request asks of a target.
type Need struct {
	Service string
	Loaded  string          // name that must be loaded; empty: none
	Prefix  string          // affinity key; empty: none
	Exclude map[string]bool // targets already tried
	// Batch asks for room that online requests leave: the target must have more
	// slots free than Table.Reserve returns.
	Batch bool
	// Limit returns how many batch items this table may have at a target at
	// once; nil: no limit.
	Limit func(Target) int
	// Apart asks for a target at which no other online request runs that asked for it;
	// where there is none, no target can take the request. Items don't ask for it: they
	// run for long, and online requests would have to wait for them.
	Apart bool
	// ScatterKey draws the target by the work asked for and not by load, among those with
	// room; 0: it does not. Nodes that know the same loads choose alike at the same
	// moment.
	ScatterKey uint64
	// Overflow is how many requests beyond its slots a target may be given
	// when all are full; 0: no limit.
	Overflow int
}

// Choose returns the target for a request; ok is false when none can take it.
func (t *Table) Choose(now time.Time, need Need) (Target, bool) {
	usable := t.usable(now, need)
	if need.Apart {
		usable = keep(usable, func(e *entry) bool { return e.apart+e.elsewhere.Apart == 0 })
	}
	if len(usable) == 0 {
		return Target{}, false
	}
	best := t.pick(now, usable, need)
	t.useTurn(now, best)
	if !best.ejectedUntil.IsZero() {
		best.trial = true
	}
	chosen := best.Target
	chosen.Apart = need.Apart
	return chosen, true
}

func (t *Table) usable(now time.Time, need Need) []*entry {
	var out, full, cold []*entry
	var reserve func(Target) int
	if need.Batch {
		reserve = t.Reserve()
	}
	for _, id := range t.rank[need.Service] {
		e := t.entries[id]
		if need.Exclude[id] || t.reason(now, e, need) != "" {
			continue
		}
		switch free := e.freeAt(now); {
		case need.Batch && (free <= reserve(e.Target) || (need.Limit != nil && e.batch >= need.Limit(e.Target))):
			continue
		case free <= 0:
			if need.Overflow == 0 || e.freeOnline(now) > -need.Overflow {
				full = append(full, e)
			}
		case !e.warm(now):
			cold = append(cold, e)
		default:
			out = append(out, e)
		}
	}
	switch {
	case len(cold) > 0 && !hasRoom(now, out) && !hasRoom(now, full):
		out = cold
	case need.Batch:
	case t.cfg.Policy == LeastOfFew:
		out = append(out, full...) // a full target may be the best of a few
	case len(out) == 0:
		return leastOnline(full)
	}
	return t.preferred(now, need, out)
}

// hasRoom reports whether any of some targets has a slot that is free, or becomes so
// when an item makes room.
func hasRoom(now time.Time, entries []*entry) bool {
	return slices.ContainsFunc(entries, func(e *entry) bool { return e.freeOnline(now) > 0 })
}

func (t *Table) pick(now time.Time, usable []*entry, need Need) *entry {
	switch t.cfg.Policy {
	case RoundRobin:
		t.turn++
		return usable[t.turn%len(usable)]
	case LeastOwn:
		return least(usable, func(e *entry) int { return e.online })
	case LeastOfFew:
		if !need.Batch {
			return t.leastOfFew(now, scattered(now, usable, need.ScatterKey))
		}
	case Affinity:
		if need.Prefix != "" {
			return affine(usable, need.Prefix)
		}
	}
	t.turn++ // equal targets take turns, so that nodes do not all pick the first
	return least(rotate(usable, t.turn), (*entry).inFlight)
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

func affine(usable []*entry, prefix string) *entry {
	total := 0
	for _, e := range usable {
		total += e.estimate()
	}
	bound := int(loadBound*float64(total)/float64(len(usable))) + 1
	var best *entry
	var top uint64
	for _, e := range usable {
		if w := rendezvous.Weight(prefix, e.ID); e.estimate() <= bound && (best == nil || w > top) {
			best, top = e, w
		}
	}
	if best == nil {
		return least(usable, (*entry).estimate)
	}
	return best
}
