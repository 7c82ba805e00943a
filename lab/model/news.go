package model

import (
	"maps"
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/connection/beacon"
	"github.com/marblepond/marblepond/internal/request/choose"
)

// peerState is what a node knows from the reports of other nodes, and when it sends its
// own, as in package beacon.
type peerState struct {
	view             *beacon.View
	nodeDemand       map[string]int          // open items, by other node of its group
	groupDemand      map[string]int          // the same by other group of its data centre
	dataCentreClaims map[string]choose.Claim // by other data centre
	roundPending     bool                    // a round of reports is scheduled
	lastRound        time.Duration           // time of the last round
	nextRound        time.Duration           // earliest time of the next one, by the rate limit
}

func newPeerState(n *node) peerState {
	var peers []beacon.Peer
	for c := range n.fleet.DataCentres {
		for i := range n.fleet.nodesIn(c) {
			if name := nodeName(c, i); name != n.name {
				peers = append(peers, beacon.Peer{Node: name, DataCentre: dataCentreName(c), Callers: true})
			}
		}
	}
	view := beacon.NewView(n.name, n.dataCentre, peers)
	if n.fleet.variant.OneGroup {
		view = beacon.NewViewWithGroups(n.name, n.dataCentre, peers, 1)
	}
	return peerState{view: view, nodeDemand: map[string]int{}, groupDemand: map[string]int{}, dataCentreClaims: map[string]choose.Claim{}}
}

// ownLoadChanged schedules a report and stops items that exceed the capacity.
func (n *node) ownLoadChanged() {
	n.requestRound()
	n.othersLoadChanged()
}

// othersLoadChanged stops items that exceed the capacity.
func (n *node) othersLoadChanged() {
	excess := n.table.Excess(n.fleet.clock.wallTime())
	for _, id := range slices.Sorted(maps.Keys(excess)) {
		n.yieldItems(id, excess[id])
	}
}

// requestRound schedules a round of reports as soon as the rate limit allows.
func (n *node) requestRound() {
	if n.roundPending {
		return
	}
	n.roundPending = true
	incarnation := n.incarnation
	n.fleet.clock.after(n.nextRound-n.fleet.clock.now, func() {
		if n.incarnation == incarnation && !n.down {
			n.sendRound()
		}
	})
}

// requestRoundIfDue schedules a round if none was sent for nearInterval.
func (n *node) requestRoundIfDue() {
	if !n.down && n.fleet.clock.now-n.lastRound >= nearInterval {
		n.requestRound()
	}
}

// sendRound sends reports to nodes of the own data centre.
func (n *node) sendRound() {
	members := n.nodesOf(n.view.Members())
	receivers := n.nodesOf(n.view.GroupReportReceivers(n.runningMembers(), n.fleet.rng.Float64))
	n.roundPending, n.lastRound = false, n.fleet.clock.now
	n.nextRound = n.lastRound + beacon.MinRoundInterval(len(members)+len(receivers))
	n.send(members, n.nodeReport())
	n.send(receivers, n.groupReport())
}

// runningMembers returns the other nodes of the own group that run. In the product a node
// that has stopped counts as reachable for a second more; this is not modelled.
func (n *node) runningMembers() []string {
	var out []string
	for _, o := range n.nodesOf(n.view.Members()) {
		if !o.down {
			out = append(out, o.name)
		}
	}
	return out
}

func (n *node) nodesOf(peers []beacon.Peer) []*node {
	out := make([]*node, 0, len(peers))
	for _, p := range peers {
		out = append(out, n.fleet.nodesByName[p.Node])
	}
	return out
}

// reportToOtherDataCentres sends the report on the data centre to farFanout random nodes.
func (n *node) reportToOtherDataCentres() {
	if n.down {
		return
	}
	var others []*node
	for _, o := range n.fleet.nodes {
		if o.dataCentre != n.dataCentre {
			others = append(others, o)
		}
	}
	n.fleet.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	n.send(others[:min(farFanout, len(others))], n.dataCentreReport())
}

// notifyHolders sends reports at once to the holders of items at a target: to the nodes of
// the own group, and to one node each of the other groups and data centres.
func (n *node) notifyHolders(h choose.Holders) {
	if n.fleet.variant.NoHolderNotices {
		return
	}
	n.send(n.fleet.nodesByNames(h.Nodes), n.nodeReport())
	for _, group := range h.Groups {
		n.send(n.randomRunningNode(func(o *node) bool { return o.dataCentre == n.dataCentre && o.view.Group() == group }), n.groupReport())
	}
	for _, dataCentre := range h.DataCentres {
		n.send(n.randomRunningNode(func(o *node) bool { return o.dataCentre == dataCentre }), n.dataCentreReport())
	}
}

// randomRunningNode returns a random one of the running nodes that are wanted, or none.
func (n *node) randomRunningNode(wanted func(*node) bool) []*node {
	var out []*node
	for _, o := range n.fleet.nodes {
		if !o.down && wanted(o) {
			out = append(out, o)
		}
	}
	if len(out) == 0 {
		return nil
	}
	i := n.fleet.rng.IntN(len(out))
	return out[i : i+1]
}

// report is a datagram; it is called with the node that receives it.
type report func(o *node)

// send sends a report to nodes.
func (n *node) send(to []*node, r report) {
	n.fleet.result.Datagrams += len(to)
	for _, o := range to {
		n.fleet.clock.after(n.fleet.delay(n.dataCentre, o.dataCentre), func() {
			if !o.down && !n.down && n.fleet.reachable(n.dataCentre, o.dataCentre) {
				r(o)
			}
		})
	}
}

func (n *node) nodeReport() report {
	own, demand, paces := n.table.OwnInFlight(), n.openItems(), n.pacesIfDue(0, n.table.NodePaces)
	return func(o *node) {
		o.table.SetNodePaces(o.fleet.clock.wallTime(), n.name, paces)
		o.nodeDemand[n.name] = demand
		if o.table.SetNode(n.name, own) {
			o.othersLoadChanged()
			if o.view.Groups() > 1 {
				o.requestRound()
			}
		}
	}
}

func (n *node) groupReport() report {
	counts, group, members, demand := n.table.GroupInFlight(), n.view.Group(), 1+len(n.view.Members()), sum(n.demandOfNodes())
	paces := n.pacesIfDue(1, n.table.GroupPaces)
	return func(o *node) {
		o.table.SetGroupPaces(o.fleet.clock.wallTime(), group, paces)
		o.groupDemand[group] = demand
		if o.table.SetGroup(group, members, counts) {
			o.othersLoadChanged()
		}
	}
}

func (n *node) dataCentreReport() report {
	counts, claim, paces := n.table.DataCentreInFlight(), n.dataCentreClaim(), n.pacesIfDue(2, n.table.DataCentrePaces)
	return func(o *node) {
		o.table.SetDataCentrePaces(o.fleet.clock.wallTime(), n.dataCentre, paces)
		o.dataCentreClaims[n.dataCentre] = claim
		if o.table.SetDataCentre(n.dataCentre, counts) {
			o.othersLoadChanged()
		}
	}
}

// demandOfNodes returns the demand of each node of the own group.
func (n *node) demandOfNodes() map[string]int {
	out := maps.Clone(n.nodeDemand)
	out[n.name] = n.openItems()
	return out
}

// demandOfGroups returns the demand of each group of the own data centre.
func (n *node) demandOfGroups() map[string]int {
	out := maps.Clone(n.groupDemand)
	out[n.view.Group()] = sum(n.demandOfNodes())
	return out
}

func sum(demands map[string]int) int {
	total := 0
	for _, d := range demands {
		total += d
	}
	return total
}

func (n *node) dataCentreClaim() choose.Claim {
	demand := sum(n.demandOfGroups())
	return choose.Claim{Demand: demand, Overflow: max(0, demand-n.table.BatchCapacity(n.fleet.clock.wallTime(), n.dataCentre))}
}

// allotments returns a function that returns how many items this node may have at a target.
func (n *node) allotments() func(choose.Target) int {
	claims := choose.Claims{Node: n.name, Group: n.view.Group(), DataCentre: n.dataCentre, Nodes: n.demandOfNodes(), Groups: n.demandOfGroups(), Centres: maps.Clone(n.dataCentreClaims)}
	claims.Centres[n.dataCentre] = n.dataCentreClaim()
	reserve := n.table.Reserve()
	return func(t choose.Target) int { return claims.Share(t, t.Slots-reserve(t)) }
}
