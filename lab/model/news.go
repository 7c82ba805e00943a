package model

import (
	"maps"
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/connection/beacon"
	"github.com/marblepond/marblepond/internal/request/choose"
)

// peerState is what a node tells others and hears of them, as package beacon does.
type peerState struct {
	view             *beacon.View
	nodeDemand       map[string]int          // demand of the other nodes of the own group
	groupDemand      map[string]int          // of the other groups of the own data centre
	dataCentreClaims map[string]choose.Claim // of other data centres
	roundPending     bool                    // a round is on its way
	lastRound        time.Duration           // when the newest round was, and next when the pace allows another
	nextRound        time.Duration
}

func newPeerState(n *node) peerState {
	var peers []beacon.Peer
	for c := range n.fleet.DataCentres {
		for i := range n.fleet.NodesPerDataCentre {
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

// ownLoadChanged makes room and has the change told.
func (n *node) ownLoadChanged() {
	n.requestRound()
	n.othersLoadChanged()
}

// othersLoadChanged makes room.
func (n *node) othersLoadChanged() {
	excess := n.table.Excess(n.fleet.clock.wallTime())
	for _, id := range slices.Sorted(maps.Keys(excess)) {
		n.yieldItems(id, excess[id])
	}
}

// requestRound has a round sent as soon as the pace allows.
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

// requestRoundIfDue has a round sent when there was none for long.
func (n *node) requestRoundIfDue() {
	if !n.down && n.fleet.clock.now-n.lastRound >= nearInterval {
		n.requestRound()
	}
}

// sendRound tells the own data centre.
func (n *node) sendRound() {
	members := n.nodesOf(n.view.Members())
	receivers := n.nodesOf(n.view.GroupReportReceivers(n.runningMembers(), n.fleet.rng.Float64))
	n.roundPending, n.lastRound = false, n.fleet.clock.now
	n.nextRound = n.lastRound + beacon.MinRoundInterval(len(members)+len(receivers))
	n.send(members, n.nodeReport())
	n.send(receivers, n.groupReport())
}

// runningMembers returns the other nodes of the own group that run. That a node which
// does not is heard for a second more is not modelled.
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

// notifyHolders lets those with items at a target hear at once: nodes of the own
// group, and through one node each the other groups and data centres.
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

// randomRunningNode returns randomRunningNode of the nodes that run and are wanted.
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

// report is one datagram.
type report func(o *node)

// send brings a word to nodes.
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
	own, demand := n.table.OwnInFlight(), n.openItems()
	return func(o *node) {
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
	return func(o *node) {
		o.groupDemand[group] = demand
		if o.table.SetGroup(group, members, counts) {
			o.othersLoadChanged()
		}
	}
}

func (n *node) dataCentreReport() report {
	counts, claim := n.table.DataCentreInFlight(), n.dataCentreClaim()
	return func(o *node) {
		o.dataCentreClaims[n.dataCentre] = claim
		if o.table.SetDataCentre(n.dataCentre, counts) {
			o.othersLoadChanged()
		}
	}
}

// demandOfNodes returns the demand of each node of the own group, groupClaims that of
// each group of the own data centre.
func (n *node) demandOfNodes() map[string]int {
	out := maps.Clone(n.nodeDemand)
	out[n.name] = n.openItems()
	return out
}

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

// allotments returns how many items this node may have at a target.
func (n *node) allotments() func(choose.Target) int {
	claims := choose.Claims{Node: n.name, Group: n.view.Group(), DataCentre: n.dataCentre, Nodes: n.demandOfNodes(), Groups: n.demandOfGroups(), Centres: maps.Clone(n.dataCentreClaims)}
	claims.Centres[n.dataCentre] = n.dataCentreClaim()
	reserve := n.table.Reserve()
	return func(t choose.Target) int { return claims.Share(t, t.Slots-reserve(t)) }
}
