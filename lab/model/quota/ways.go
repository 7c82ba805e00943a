package quota

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/request/allowance"
)

// Limiter keeps workspaces to their allowances.
type Limiter interface {
	Name() string
	// Admit decides about a request that came to a node; decided is called once, at the
	// time when it is known.
	Admit(node, ws int, decided func(admitted bool))
	// Restarted has a node begin anew with nothing remembered.
	Restarted(node int)
}

// equal gives each node the same share.
type equal struct {
	w       *world
	buckets [][]bucket // by node and workspace
}

// NewEqualShares gives each node the same share of each allowance.
func NewEqualShares(w *world) Limiter {
	e := &equal{w: w, buckets: make([][]bucket, w.Nodes)}
	for node := range e.buckets {
		e.Restarted(node)
		for ws := range e.buckets[node] {
			e.buckets[node][ws].level = w.limit(ws).Burst
		}
	}
	return e
}

func (e *equal) Name() string { return "equal shares" }

func (e *equal) Restarted(node int) {
	e.buckets[node] = make([]bucket, e.w.Workspaces)
	for ws := range e.buckets[node] {
		e.buckets[node][ws].at = e.w.now
	}
}

func (e *equal) Admit(node, ws int, decided func(bool)) {
	limit, n := e.w.limit(ws), float64(e.w.Nodes)
	decided(e.buckets[node][ws].take(e.w.now, limit.PerSecond/n, max(1, limit.Burst/n)))
}

// byDemand gives each node a share by its part of the demand that nodes tell each other.
type byDemand struct {
	w       *world
	nodes   []demandNode
	history [][][]float64 // by round and node: demand of each workspace as told
}

type demandNode struct {
	buckets []bucket
	demand  []float64 // requests a second, mean of a second
	at      []time.Duration
}

const (
	tellEach = 100 * time.Millisecond
	// newsAge is how old, in rounds, news is that went through a group and its speaker.
	newsAge = 3
	// entryBytes is what the demand of one workspace takes in a datagram.
	entryBytes = 12
	// slightDemand is not told.
	slightDemand = 0.01
)

// NewDemandShares gives each node a share of each allowance by the demand told.
func NewDemandShares(w *world) Limiter {
	d := &byDemand{w: w, nodes: make([]demandNode, w.Nodes)}
	for node := range d.nodes {
		d.Restarted(node)
		for ws := range w.Workspaces {
			d.nodes[node].buckets[ws].level = 1
		}
	}
	w.after(tellEach, d.tell)
	return d
}

func (d *byDemand) Name() string { return "shares by demand" }

func (d *byDemand) Restarted(node int) {
	n := &d.nodes[node]
	n.buckets, n.demand, n.at = make([]bucket, d.w.Workspaces), make([]float64, d.w.Workspaces), make([]time.Duration, d.w.Workspaces)
	for ws := range n.buckets {
		n.buckets[ws].at, n.at[ws] = d.w.now, d.w.now
	}
}

// tell has each node tell its demand: to twice the root of the nodes of its data centre,
// and to three elsewhere.
func (d *byDemand) tell() {
	round := make([][]float64, d.w.Nodes)
	here := float64(d.w.Nodes) / float64(d.w.Centres)
	for node := range d.nodes {
		if !d.w.up(node) {
			continue
		}
		round[node] = make([]float64, d.w.Workspaces)
		entries := 0
		for ws := range d.w.Workspaces {
			if demand := d.demandNow(node, ws); demand > slightDemand {
				round[node][ws] = demand
				entries++
			}
		}
		sent := int(2*math.Sqrt(here)) + 3
		d.w.messages += sent
		d.w.bytes += sent * entries * entryBytes
	}
	d.history = append(d.history, round)
	if len(d.history) > newsAge+2 {
		d.history = d.history[1:]
	}
	d.w.after(tellEach, d.tell)
}

func (d *byDemand) demandNow(node, ws int) float64 {
	n := &d.nodes[node]
	return n.demand[ws] * math.Exp(-(d.w.now - n.at[ws]).Seconds())
}

// heard returns the demand of all nodes that a node has heard of.
func (d *byDemand) heard(node, ws int) float64 {
	sum := 0.0
	for other := range d.nodes {
		if other == node || !d.w.linked(node, other) {
			continue
		}
		age := newsAge
		if d.w.draw.Float64() < d.w.LossShare {
			age++
		}
		if i := len(d.history) - age; i >= 0 && d.history[i][other] != nil {
			sum += d.history[i][other][ws]
		}
	}
	return sum
}

func (d *byDemand) Admit(node, ws int, decided func(bool)) {
	n := &d.nodes[node]
	n.demand[ws] = d.demandNow(node, ws) + 1
	n.at[ws] = d.w.now
	limit := d.w.limit(ws)
	share := n.demand[ws] / (n.demand[ws] + d.heard(node, ws))
	decided(n.buckets[ws].take(d.w.now, share*limit.PerSecond, max(1, share*limit.Burst)))
}

// lent has an owner of each workspace lend tokens, as the product does.
type lent struct {
	w     *world
	names []string // of nodes
	nodes []lentNode
}

type lentNode struct {
	ledger   *allowance.Buckets
	purse    *allowance.Balances
	started  int64
	sequence uint64
	pending  map[int]*asking
	waiting  map[int]int           // requests that wait for a token
	suspects map[int]time.Duration // until when an owner is passed over
	lived    map[int]time.Duration // when an owner was last heard
	doubted  map[int]time.Duration // when it was last asked whether one lives
}

// asking is an ask under way, and the requests that wait for it.
type asking struct {
	sequence uint64
	waiting  []func()
	answered bool
}

const (
	// askBytes and grantBytes are the datagrams, with the headers of UDP and IP.
	askBytes   = 96
	grantBytes = 64
	// silentAfter is when a node of the own data centre, or a data centre, counts as gone,
	// suspectFor how long an owner that did not answer is passed over, and deadAfter how long
	// it has to be silent while its data centre is heard.
	silentAfter = time.Second
	suspectFor  = time.Second
	deadAfter   = 250 * time.Millisecond
)

// NewLending has an owner of each workspace lend tokens.
func NewLending(w *world) Limiter {
	l := &lent{w: w, nodes: make([]lentNode, w.Nodes)}
	for node := range w.Nodes {
		l.names = append(l.names, fmt.Sprint("node-", node))
		l.Restarted(node)
		l.nodes[node].ledger = allowance.NewBuckets(w.clock().Add(-time.Minute), tolerated)
	}
	return l
}

func (l *lent) Name() string { return "lent by an owner" }

func (l *lent) Restarted(node int) {
	n := &l.nodes[node]
	*n = lentNode{ledger: allowance.NewBuckets(l.w.clock(), tolerated), purse: allowance.NewBalances(), started: n.started + 1,
		pending: map[int]*asking{}, waiting: map[int]int{}, suspects: map[int]time.Duration{}, lived: map[int]time.Duration{}, doubted: map[int]time.Duration{}}
}

func workspaceName(ws int) string { return fmt.Sprint("w", ws) }

// ownerOfLargest returns the natural owner of the first workspace.
func (w *world) ownerOfLargest() int {
	var names []string
	for node := range w.Nodes {
		names = append(names, fmt.Sprint("node-", node))
	}
	return slices.Index(names, allowance.PreferredOwner(workspaceName(0), names))
}

func (l *lent) Admit(node, ws int, decided func(bool)) {
	n := &l.nodes[node]
	n.purse.Arrived(l.w.clock(), workspaceName(ws))
	n.waiting[ws]++
	l.tryTake(node, ws, func(admitted bool) {
		l.nodes[node].waiting[ws]--
		decided(admitted)
	})
}

func (l *lent) tryTake(node, ws int, decided func(bool)) {
	n := &l.nodes[node]
	switch answer, _ := n.purse.Take(l.w.clock(), workspaceName(ws)); answer {
	case allowance.Taken:
		decided(true)
	case allowance.Refused, allowance.Unanswered:
		decided(false)
	default:
		again := func() { l.tryTake(node, ws, decided) }
		if a := n.pending[ws]; a != nil {
			a.waiting = append(a.waiting, again)
			return
		}
		n.sequence++
		a := &asking{sequence: n.sequence, waiting: []func(){again}}
		n.pending[ws] = a
		l.ask(node, ws, a)
	}
}

// ask sends an ask along its course.
func (l *lent) ask(node, ws int, a *asking) {
	n := &l.nodes[node]
	ask := n.purse.Request(l.w.clock(), workspaceName(ws), n.waiting[ws])
	ask.Borrower, ask.Boot, ask.Sequence, ask.DataCentre = l.names[node], n.started, a.sequence, centreName(l.w.centre(node))
	l.next(node, ws, a, ask, allowance.NewAttempts(l.names[node], allowance.Owners(workspaceName(ws), l.heard(node))))
}

func (l *lent) next(node, ws int, a *asking, ask allowance.BorrowRequest, course *allowance.Attempts) {
	name, wait, ok := course.Next()
	switch {
	case !ok:
		l.granted(node, ws, a, l.lend(node, ws, ask, true), true)
		return
	case name == l.names[node]:
		l.granted(node, ws, a, l.lend(node, ws, ask, false), false)
		return
	}
	owner := slices.Index(l.names, name)
	started := l.nodes[node].started
	l.w.send(node, owner, askBytes, func() {
		grant := l.lend(owner, ws, ask, false)
		l.w.send(owner, node, grantBytes, func() {
			l.nodes[node].lived[owner] = l.w.now
			if l.nodes[node].started == started {
				l.granted(node, ws, a, grant, false)
			}
		})
	})
	l.w.after(wait, func() {
		if a.answered || l.nodes[node].started != started {
			return
		}
		if course.Last() {
			l.nodes[node].suspects[owner] = l.w.now + suspectFor
		}
		l.next(node, ws, a, ask, course)
	})
}

func (l *lent) granted(node, ws int, a *asking, grant allowance.Grant, alone bool) {
	if a.answered {
		return
	}
	a.answered = true
	n := &l.nodes[node]
	n.purse.Granted(l.w.clock(), workspaceName(ws), grant, alone)
	delete(n.pending, ws)
	for _, again := range a.waiting {
		again()
	}
}

func (l *lent) lend(node, ws int, ask allowance.BorrowRequest, alone bool) allowance.Grant {
	around := allowance.FleetView{Isolated: alone, Nodes: map[string]int{}, Reachable: map[string]bool{}}
	for dc := range l.w.Centres {
		around.Nodes[centreName(dc)] = l.w.Nodes / l.w.Centres
		around.Reachable[centreName(dc)] = l.hearsCentre(node, dc)
	}
	first := slices.Index(l.names, allowance.PreferredOwner(workspaceName(ws), l.names))
	around.Preferred = first == node
	if !around.Preferred && !alone {
		around.PreferredReachable = l.lives(node, first)
	}
	return l.nodes[node].ledger.Lend(l.w.clock(), l.w.limit(ws), around, ask)
}

// lives reports whether an owner was heard of late, and asks it.
func (l *lent) lives(node, owner int) bool {
	l.w.send(node, owner, askBytes, func() {
		l.w.send(owner, node, grantBytes, func() { l.nodes[node].lived[owner] = l.w.now })
	})
	n := &l.nodes[node]
	if asked, before := n.doubted[owner]; !before || l.w.now-asked > deadAfter {
		n.lived[owner] = l.w.now // until it had the time to answer
	}
	n.doubted[owner] = l.w.now
	dc := l.w.centre(owner)
	return l.hearsCentre(node, dc) && l.centreHeardAt(node, dc)-n.lived[owner] < deadAfter
}

// centreHeardAt returns when a node last heard a data centre.
func (l *lent) centreHeardAt(node, dc int) time.Duration {
	if l.w.Partition.holds(l.w.now) && (l.w.centre(node) == 0) != (dc == 0) {
		return l.w.Partition.From
	}
	return l.w.now
}

// heard returns the nodes that a node would ask.
func (l *lent) heard(node int) []string {
	var out []string
	for owner := range l.nodes {
		heard := owner == node || (l.w.centre(owner) != l.w.centre(node) && l.hearsCentre(node, l.w.centre(owner))) ||
			(l.w.centre(owner) == l.w.centre(node) && !l.silent(owner))
		if heard && l.w.now >= l.nodes[node].suspects[owner] {
			out = append(out, l.names[owner])
		}
	}
	return out
}

// silent reports whether a node has been down for as long as it takes to be noticed.
func (l *lent) silent(node int) bool {
	earlier := *l.w
	earlier.now = max(0, l.w.now-silentAfter)
	return !l.w.up(node) && !earlier.up(node)
}

// hearsCentre reports whether a node hears a data centre, as of late.
func (l *lent) hearsCentre(node, dc int) bool {
	if (l.w.centre(node) == 0) == (dc == 0) {
		return true
	}
	return !(l.w.Partition.holds(l.w.now) && l.w.Partition.holds(l.w.now-silentAfter))
}

func centreName(dc int) string { return fmt.Sprint("dc", dc) }
