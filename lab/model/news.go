package model

import (
	"maps"
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/connection/beacon"
	"github.com/marblepond/marblepond/internal/request/choose"
)

// news is what a node tells others and hears of them, as package beacon does.
type news struct {
	view    *beacon.View
	claims  map[string]int          // demand of the other nodes of the own group
	groups  map[string]int          // of the other groups of the own data centre
	centres map[string]choose.Claim // of other data centres
	pending bool                    // a round is on its way
	told    time.Duration           // when the newest round was, and next when the pace allows another
	next    time.Duration
}

func newNews(n *node) news {
	var peers []beacon.Peer
	for c := range n.f.DataCentres {
		for i := range n.f.NodesPerDataCentre {
			if name := nodeName(c, i); name != n.name {
				peers = append(peers, beacon.Peer{Node: name, DataCentre: centreName(c), Callers: true})
			}
		}
	}
	view := beacon.NewView(n.name, n.centre, peers)
	if n.f.variant.OneGroup {
		view = beacon.NewViewWithGroups(n.name, n.centre, peers, 1)
	}
	return news{view: view, claims: map[string]int{}, groups: map[string]int{}, centres: map[string]choose.Claim{}}
}

// ownLoadChanged makes room and has the change told.
func (n *node) ownLoadChanged() {
	n.touch()
	n.othersLoadChanged()
}

// othersLoadChanged makes room.
func (n *node) othersLoadChanged() {
	excess := n.table.Excess(n.f.clock.wall())
	for _, id := range slices.Sorted(maps.Keys(excess)) {
		n.yield(id, excess[id])
	}
}

// touch has a round sent as soon as the pace allows.
func (n *node) touch() {
	if n.pending {
		return
	}
	n.pending = true
	life := n.life
	n.f.clock.after(n.next-n.f.clock.now, func() {
		if n.life == life && !n.down {
			n.round()
		}
	})
}

// remind has a round sent when there was none for long.
func (n *node) remind() {
	if !n.down && n.f.clock.now-n.told >= nearInterval {
		n.touch()
	}
}

// round tells the own data centre.
func (n *node) round() {
	members := n.named(n.view.Members())
	listeners := n.named(n.view.GroupReportReceivers(n.membersUp(), n.f.draw.Float64))
	n.pending, n.told = false, n.f.clock.now
	n.next = n.told + beacon.MinRoundInterval(len(members)+len(listeners))
	n.send(members, n.ofNode())
	n.send(listeners, n.ofGroup())
}

// membersUp returns the other nodes of the own group that run. That a node which
// does not is heard for a second more is not modelled.
func (n *node) membersUp() []string {
	var out []string
	for _, o := range n.named(n.view.Members()) {
		if !o.down {
			out = append(out, o.name)
		}
	}
	return out
}

func (n *node) named(peers []beacon.Peer) []*node {
	out := make([]*node, 0, len(peers))
	for _, p := range peers {
		out = append(out, n.f.byName[p.Node])
	}
	return out
}

func (n *node) tellFar() {
	if n.down {
		return
	}
	var far []*node
	for _, o := range n.f.nodes {
		if o.centre != n.centre {
			far = append(far, o)
		}
	}
	n.f.draw.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	n.send(far[:min(farFanout, len(far))], n.ofCentre())
}

// tellHolders lets those with items at a target hear at once: nodes of the own
// group, and through one node each the other groups and data centres.
func (n *node) tellHolders(h choose.Holders) {
	if n.f.variant.NoHolderNotices {
		return
	}
	n.send(n.f.all(h.Nodes), n.ofNode())
	for _, group := range h.Groups {
		n.send(n.one(func(o *node) bool { return o.centre == n.centre && o.view.Group() == group }), n.ofGroup())
	}
	for _, centre := range h.DataCentres {
		n.send(n.one(func(o *node) bool { return o.centre == centre }), n.ofCentre())
	}
}

// one returns one of the nodes that run and are wanted.
func (n *node) one(wanted func(*node) bool) []*node {
	var out []*node
	for _, o := range n.f.nodes {
		if !o.down && wanted(o) {
			out = append(out, o)
		}
	}
	if len(out) == 0 {
		return nil
	}
	i := n.f.draw.IntN(len(out))
	return out[i : i+1]
}

// word is one datagram.
type word func(o *node)

// send brings a word to nodes.
func (n *node) send(to []*node, w word) {
	n.f.result.Datagrams += len(to)
	for _, o := range to {
		n.f.clock.after(n.f.delay(n.centre, o.centre), func() {
			if !o.down && !n.down && n.f.reaches(n.centre, o.centre) {
				w(o)
			}
		})
	}
}

func (n *node) ofNode() word {
	own, demand := n.table.OwnInFlight(), n.demand()
	return func(o *node) {
		o.claims[n.name] = demand
		if o.table.SetNode(n.name, own) {
			o.othersLoadChanged()
			if o.view.Groups() > 1 {
				o.touch()
			}
		}
	}
}

func (n *node) ofGroup() word {
	counts, group, members, demand := n.table.GroupInFlight(), n.view.Group(), 1+len(n.view.Members()), sum(n.nodeClaims())
	return func(o *node) {
		o.groups[group] = demand
		if o.table.SetGroup(group, members, counts) {
			o.othersLoadChanged()
		}
	}
}

func (n *node) ofCentre() word {
	counts, claim := n.table.DataCentreInFlight(), n.claim()
	return func(o *node) {
		o.centres[n.centre] = claim
		if o.table.SetDataCentre(n.centre, counts) {
			o.othersLoadChanged()
		}
	}
}

// nodeClaims returns the demand of each node of the own group, groupClaims that of
// each group of the own data centre.
func (n *node) nodeClaims() map[string]int {
	out := maps.Clone(n.claims)
	out[n.name] = n.demand()
	return out
}

func (n *node) groupClaims() map[string]int {
	out := maps.Clone(n.groups)
	out[n.view.Group()] = sum(n.nodeClaims())
	return out
}

func sum(demands map[string]int) int {
	total := 0
	for _, d := range demands {
		total += d
	}
	return total
}

func (n *node) claim() choose.Claim {
	demand := sum(n.groupClaims())
	return choose.Claim{Demand: demand, Overflow: max(0, demand-n.table.BatchCapacity(n.f.clock.wall(), n.centre))}
}

// shares returns how many items this node may have at a target.
func (n *node) shares() func(choose.Target) int {
	claims := choose.Claims{Node: n.name, Group: n.view.Group(), DataCentre: n.centre, Nodes: n.nodeClaims(), Groups: n.groupClaims(), Centres: maps.Clone(n.centres)}
	claims.Centres[n.centre] = n.claim()
	reserve := n.table.Reserve()
	return func(t choose.Target) int { return claims.Share(t, t.Slots-reserve(t)) }
}
