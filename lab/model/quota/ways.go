package quota

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/request/allowance"
)

// Limiter enforces the allowances of workspaces.
type Limiter interface {
	Name() string
	// Admit decides whether a request that arrived at a node is admitted. It calls decided
	// once, when the decision is made.
	Admit(node, ws int, decided func(admitted bool))
	// Restarted resets a node's state, as after a restart.
	Restarted(node int)
}

// equalShares gives each node the same share of each allowance.
type equalShares struct {
	sim     *simulation
	buckets [][]tokenBucket // by node and workspace
}

// NewEqualShares returns a limiter that gives each node the same share of each allowance.
func NewEqualShares(sim *simulation) Limiter {
	e := &equalShares{sim: sim, buckets: make([][]tokenBucket, sim.Nodes)}
	for node := range e.buckets {
		e.Restarted(node)
		for ws := range e.buckets[node] {
			e.buckets[node][ws].tokens = sim.limit(ws).Burst
		}
	}
	return e
}

func (e *equalShares) Name() string { return "equal shares" }

func (e *equalShares) Restarted(node int) {
	e.buckets[node] = make([]tokenBucket, e.sim.Workspaces)
	for ws := range e.buckets[node] {
		e.buckets[node][ws].at = e.sim.now
	}
}

func (e *equalShares) Admit(node, ws int, decided func(bool)) {
	limit, n := e.sim.limit(ws), float64(e.sim.Nodes)
	decided(e.buckets[node][ws].take(e.sim.now, limit.PerSecond/n, max(1, limit.Burst/n)))
}

// demandShares gives each node a share of each allowance in proportion to its share of the
// demand, which nodes report to each other.
type demandShares struct {
	sim     *simulation
	nodes   []demandNode
	history [][][]float64 // reported demand, by round, node and workspace
}

type demandNode struct {
	buckets  []tokenBucket
	demand   []float64       // requests per second, by workspace; a decaying mean with a time constant of 1 s
	demandAt []time.Duration // when demand was computed, by workspace
}

const (
	reportInterval = 100 * time.Millisecond
	// reportAge is the age, in rounds, of a report that was relayed by a group's
	// representative.
	reportAge = 3
	// entryBytes is the size of one workspace's demand in a datagram.
	entryBytes = 12
	// minReportedDemand is the demand, in requests per second, up to which none is reported.
	minReportedDemand = 0.01
)

// NewDemandShares returns a limiter that gives each node a share of each allowance in
// proportion to the reported demand.
func NewDemandShares(sim *simulation) Limiter {
	d := &demandShares{sim: sim, nodes: make([]demandNode, sim.Nodes)}
	for node := range d.nodes {
		d.Restarted(node)
		for ws := range sim.Workspaces {
			d.nodes[node].buckets[ws].tokens = 1
		}
	}
	sim.after(reportInterval, d.sendReports)
	return d
}

func (d *demandShares) Name() string { return "shares by demand" }

func (d *demandShares) Restarted(node int) {
	n := &d.nodes[node]
	n.buckets, n.demand, n.demandAt = make([]tokenBucket, d.sim.Workspaces), make([]float64, d.sim.Workspaces), make([]time.Duration, d.sim.Workspaces)
	for ws := range n.buckets {
		n.buckets[ws].at, n.demandAt[ws] = d.sim.now, d.sim.now
	}
}

// sendReports reports the demand at each node: to twice the square root of the number of
// nodes in its data centre, and to three nodes elsewhere.
func (d *demandShares) sendReports() {
	round := make([][]float64, d.sim.Nodes)
	nodesPerDataCentre := float64(d.sim.Nodes) / float64(d.sim.DataCentres)
	for node := range d.nodes {
		if !d.sim.up(node) {
			continue
		}
		round[node] = make([]float64, d.sim.Workspaces)
		entries := 0
		for ws := range d.sim.Workspaces {
			if demand := d.currentDemand(node, ws); demand > minReportedDemand {
				round[node][ws] = demand
				entries++
			}
		}
		sent := int(2*math.Sqrt(nodesPerDataCentre)) + 3
		d.sim.messages += sent
		d.sim.bytes += sent * entries * entryBytes
	}
	d.history = append(d.history, round)
	if len(d.history) > reportAge+2 {
		d.history = d.history[1:]
	}
	d.sim.after(reportInterval, d.sendReports)
}

// currentDemand returns the demand for a workspace at a node, decayed until now.
func (d *demandShares) currentDemand(node, ws int) float64 {
	n := &d.nodes[node]
	return n.demand[ws] * math.Exp(-(d.sim.now - n.demandAt[ws]).Seconds())
}

// reportedDemand returns the sum of the demand that other nodes have reported to a node.
func (d *demandShares) reportedDemand(node, ws int) float64 {
	sum := 0.0
	for other := range d.nodes {
		if other == node || !d.sim.connected(node, other) {
			continue
		}
		age := reportAge
		if d.sim.rng.Float64() < d.sim.LossShare {
			age++
		}
		if i := len(d.history) - age; i >= 0 && d.history[i][other] != nil {
			sum += d.history[i][other][ws]
		}
	}
	return sum
}

func (d *demandShares) Admit(node, ws int, decided func(bool)) {
	n := &d.nodes[node]
	n.demand[ws] = d.currentDemand(node, ws) + 1
	n.demandAt[ws] = d.sim.now
	limit := d.sim.limit(ws)
	share := n.demand[ws] / (n.demand[ws] + d.reportedDemand(node, ws))
	decided(n.buckets[ws].take(d.sim.now, share*limit.PerSecond, max(1, share*limit.Burst)))
}

// lending runs the product's algorithm: an owner of each workspace lends tokens to the other
// nodes (packages allowance and lending).
type lending struct {
	sim   *simulation
	names []string // names of the nodes
	nodes []lendingNode
}

type lendingNode struct {
	buckets         *allowance.Buckets
	balances        *allowance.Balances
	incarnation     int64
	sequence        uint64 // of its borrow requests
	pending         map[int]*pendingBorrow
	waitingRequests map[int]int           // requests that wait for a token, by workspace
	suspectUntil    map[int]time.Duration // until when an owner that did not answer is skipped, by node
	lastReceived    map[int]time.Duration // when a message of an owner was last received, by node
	lastProbed      map[int]time.Duration // when an owner was last probed, by node
}

// pendingBorrow is a borrow request that was not answered yet, for all requests of a workspace
// that wait at a node; retries tries to admit each of them again.
type pendingBorrow struct {
	sequence uint64
	need     int // requests for which it asks
	retries  []func()
	answered bool
}

const (
	// requestBytes and grantBytes are the sizes of the datagrams with UDP and IP headers.
	requestBytes = 96
	grantBytes   = 64
	// unreachableAfter is the time after which a node of the own data centre, or another data
	// centre, counts as unreachable. An owner that did not answer is skipped for suspectFor.
	// An owner from which no message is received for unresponsiveAfter, while its data centre
	// is reachable, counts as unresponsive.
	unreachableAfter  = time.Second
	suspectFor        = time.Second
	unresponsiveAfter = 250 * time.Millisecond
)

// NewLending returns a limiter in which an owner of each workspace lends tokens.
func NewLending(sim *simulation) Limiter {
	return newLending(sim)
}

func newLending(sim *simulation) *lending {
	l := &lending{sim: sim, nodes: make([]lendingNode, sim.Nodes)}
	for node := range sim.Nodes {
		l.names = append(l.names, fmt.Sprint("node-", node))
		l.Restarted(node)
		l.nodes[node].buckets = l.newBuckets(sim.wallTime().Add(-time.Minute))
	}
	return l
}

func (l *lending) Name() string { return "lent by an owner" }

func (l *lending) Restarted(node int) {
	n := &l.nodes[node]
	*n = lendingNode{buckets: l.newBuckets(l.sim.wallTime()), balances: allowance.NewBalances(), incarnation: max(n.incarnation+1, l.sim.wallTime().UnixMicro()),
		pending: map[int]*pendingBorrow{}, waitingRequests: map[int]int{}, suspectUntil: map[int]time.Duration{}, lastReceived: map[int]time.Duration{}, lastProbed: map[int]time.Duration{}}
}

func (l *lending) newBuckets(startedAt time.Time) *allowance.Buckets {
	buckets := allowance.NewBuckets(startedAt, tolerance)
	if l.sim.Policy != nil {
		buckets.SetPolicy(*l.sim.Policy)
	}
	return buckets
}

func workspaceName(ws int) string { return fmt.Sprint("w", ws) }

// ownerOfLargest returns the preferred owner of the first workspace, the largest.
func (s *simulation) ownerOfLargest() int {
	var names []string
	for node := range s.Nodes {
		names = append(names, fmt.Sprint("node-", node))
	}
	return slices.Index(names, allowance.PreferredOwner(workspaceName(0), names))
}

func (l *lending) Admit(node, ws int, decided func(bool)) {
	l.AdmitTry(node, ws, func(admitted bool, _ time.Duration) { decided(admitted) })
}

// AdmitTry is Admit where decided also gets the time after which a refused caller may return, before
// it is limited to what callers honour.
func (l *lending) AdmitTry(node, ws int, decided func(admitted bool, wait time.Duration)) {
	n := &l.nodes[node]
	n.balances.Arrived(l.sim.wallTime(), workspaceName(ws))
	n.waitingRequests[ws]++
	l.tryAdmit(node, ws, func(admitted bool, wait time.Duration) {
		n := &l.nodes[node]
		n.waitingRequests[ws]--
		decided(admitted, wait)
	})
}

// Return gives back the token of a request that reached no target.
func (l *lending) Return(node, ws int) {
	l.nodes[node].balances.Return(l.sim.wallTime(), workspaceName(ws))
}

// Exceeding reports whether a node was told that a workspace exceeds its allowance.
func (l *lending) Exceeding(node, ws int) bool {
	return l.nodes[node].balances.Exceeding(l.sim.wallTime(), workspaceName(ws))
}

// tryAdmit admits or refuses a request by the node's balance, or lets it wait for a borrow
// request.
func (l *lending) tryAdmit(node, ws int, decided func(bool, time.Duration)) {
	n := &l.nodes[node]
	switch decision, wait := n.balances.Take(l.sim.wallTime(), workspaceName(ws)); decision {
	case allowance.Taken:
		decided(true, 0)
	case allowance.Refused, allowance.Unanswered:
		decided(false, wait)
	default:
		retry := func() { l.tryAdmit(node, ws, decided) }
		if p := n.pending[ws]; p != nil {
			p.retries = append(p.retries, retry)
			return
		}
		n.sequence++
		p := &pendingBorrow{sequence: n.sequence, retries: []func(){retry}}
		n.pending[ws] = p
		l.startBorrow(node, ws, p)
	}
}

// startBorrow borrows tokens, after a pause while requests are refused.
func (l *lending) startBorrow(node, ws int, p *pendingBorrow) {
	n := &l.nodes[node]
	delay := time.Duration(0)
	if l.sim.Shared {
		delay = n.balances.AskDelay(l.sim.wallTime(), workspaceName(ws))
	}
	if delay == 0 {
		l.borrow(node, ws, p)
		return
	}
	incarnation := n.incarnation
	l.sim.after(delay, func() {
		if l.nodes[node].incarnation == incarnation {
			l.borrow(node, ws, p)
		}
	})
}

// borrow borrows tokens for all requests of a workspace that wait at a node.
func (l *lending) borrow(node, ws int, p *pendingBorrow) {
	n := &l.nodes[node]
	request := n.balances.Request(l.sim.wallTime(), workspaceName(ws), n.waitingRequests[ws])
	p.need = request.Need
	request.Borrower, request.Boot, request.Sequence, request.DataCentre = l.names[node], n.incarnation, p.sequence, dataCentreName(l.sim.dataCentre(node))
	l.sendNext(node, ws, p, request, allowance.NewAttempts(l.names[node], allowance.Owners(workspaceName(ws), l.reachableNodes(node))))
}

// sendNext sends a borrow request to the next owner to try, or lends at the node itself.
func (l *lending) sendNext(node, ws int, p *pendingBorrow, request allowance.BorrowRequest, attempts *allowance.Attempts) {
	name, wait, ok := attempts.Next()
	switch {
	case !ok:
		l.granted(node, ws, p, l.lend(node, ws, request, true), true)
		return
	case name == l.names[node]:
		l.granted(node, ws, p, l.lend(node, ws, request, false), false)
		return
	}
	owner := slices.Index(l.names, name)
	incarnation := l.nodes[node].incarnation
	l.sim.send(node, owner, requestBytes, func() {
		grant := l.lend(owner, ws, request, false)
		l.sim.send(owner, node, grantBytes, func() {
			l.nodes[node].lastReceived[owner] = l.sim.now
			if l.nodes[node].incarnation == incarnation {
				l.granted(node, ws, p, grant, false)
			}
		})
	})
	l.sim.after(wait, func() {
		if p.answered || l.nodes[node].incarnation != incarnation {
			return
		}
		if attempts.Last() {
			l.nodes[node].suspectUntil[owner] = l.sim.now + suspectFor
		}
		l.sendNext(node, ws, p, request, attempts)
	})
}

// granted adds borrowed tokens to a node's balance and retries the requests that wait.
func (l *lending) granted(node, ws int, p *pendingBorrow, grant allowance.Grant, isolated bool) {
	if p.answered {
		return
	}
	p.answered = true
	n := &l.nodes[node]
	if l.sim.Shared {
		n.balances.GrantedInLine(l.sim.wallTime(), workspaceName(ws), grant, p.need, isolated)
	} else {
		n.balances.Granted(l.sim.wallTime(), workspaceName(ws), grant, isolated)
	}
	delete(n.pending, ws)
	for _, retry := range p.retries {
		retry()
	}
}

// lend lends tokens from a node's bucket.
func (l *lending) lend(node, ws int, request allowance.BorrowRequest, isolated bool) allowance.Grant {
	view := allowance.FleetView{Isolated: isolated, Nodes: map[string]int{}, Reachable: map[string]bool{}, Shared: l.sim.Shared}
	for dc := range l.sim.DataCentres {
		view.Nodes[dataCentreName(dc)] = l.sim.Nodes / l.sim.DataCentres
		view.Reachable[dataCentreName(dc)] = l.dataCentreReachable(node, dc)
	}
	preferred := slices.Index(l.names, allowance.PreferredOwner(workspaceName(ws), l.names))
	view.Preferred = preferred == node
	if !view.Preferred && !isolated {
		view.PreferredReachable = l.isResponsive(node, preferred)
	}
	return l.nodes[node].buckets.Lend(l.sim.wallTime(), l.sim.limit(ws), view, request)
}

// isResponsive reports whether a message of an owner was received lately, and probes it.
func (l *lending) isResponsive(node, owner int) bool {
	l.sim.send(node, owner, requestBytes, func() {
		l.sim.send(owner, node, grantBytes, func() { l.nodes[node].lastReceived[owner] = l.sim.now })
	})
	n := &l.nodes[node]
	if probed, ok := n.lastProbed[owner]; !ok || l.sim.now-probed > unresponsiveAfter {
		n.lastReceived[owner] = l.sim.now // counts as responsive until it had the time to answer
	}
	n.lastProbed[owner] = l.sim.now
	dc := l.sim.dataCentre(owner)
	return l.dataCentreReachable(node, dc) && l.dataCentreLastReceived(node, dc)-n.lastReceived[owner] < unresponsiveAfter
}

// dataCentreLastReceived returns when a node last received a message of a data centre.
func (l *lending) dataCentreLastReceived(node, dc int) time.Duration {
	if l.sim.Partition.contains(l.sim.now) && (l.sim.dataCentre(node) == 0) != (dc == 0) {
		return l.sim.Partition.From
	}
	return l.sim.now
}

// reachableNodes returns the nodes from which a node would borrow.
func (l *lending) reachableNodes(node int) []string {
	var out []string
	for owner := range l.nodes {
		reachable := owner == node || (l.sim.dataCentre(owner) != l.sim.dataCentre(node) && l.dataCentreReachable(node, l.sim.dataCentre(owner))) ||
			(l.sim.dataCentre(owner) == l.sim.dataCentre(node) && !l.detectedDown(owner))
		if reachable && l.sim.now >= l.nodes[node].suspectUntil[owner] {
			out = append(out, l.names[owner])
		}
	}
	return out
}

// detectedDown reports whether a node has been down for unreachableAfter.
func (l *lending) detectedDown(node int) bool {
	earlier := *l.sim
	earlier.now = max(0, l.sim.now-unreachableAfter)
	return !l.sim.up(node) && !earlier.up(node)
}

// dataCentreReachable reports whether a node counts a data centre as reachable, which it does
// for unreachableAfter into a partition.
func (l *lending) dataCentreReachable(node, dc int) bool {
	if (l.sim.dataCentre(node) == 0) == (dc == 0) {
		return true
	}
	return !(l.sim.Partition.contains(l.sim.now) && l.sim.Partition.contains(l.sim.now-unreachableAfter))
}

func dataCentreName(dc int) string { return fmt.Sprint("dc", dc) }
