package node

import (
	"maps"
	"net"
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/connection/lending"
	"github.com/marblepond/marblepond/internal/process/member"
	"github.com/marblepond/marblepond/internal/process/rendezvous"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/allowance"
	"github.com/marblepond/marblepond/internal/version/workspace"
)

// newLending returns the exchange that lends and borrows tokens of workspaces' rate limits.
func (n *Node) newLending() *lending.Exchange {
	s := n.settings
	return lending.New(lending.Options{Node: s.NodeID, DataCentre: s.DataCentre, Boot: int64(n.self.Incarnation), Now: n.clock.Now, Fleet: lendingFleet{n}, Limit: n.allowanceOf, Metrics: n.metrics.scope,
		Tolerance: allowance.Tolerance{Window: s.AllowanceWindow, Share: s.AllowanceTolerance, Slack: float64(s.AllowanceSlack)}})
}

// allowanceOf returns the rate limit of a workspace in the configuration in force.
func (n *Node) allowanceOf(name string) (workspace.Allowance, bool) {
	w := n.config.Current().Workspaces.ByName(name)
	if w == nil {
		return workspace.Allowance{}, false
	}
	return w.Allowance, true
}

// lendingFleet implements lending.Fleet. A node knows all nodes of its own data centre but
// only a few contacts in each other one, so the owner is found in two steps: the data
// centre in the workspace's rendezvous order, then the node by the nodes of that data
// centre. Nodes receive datagrams at the address of their peer service.
type lendingFleet struct{ n *Node }

// maxOwners is how many data centres, and how many nodes in each, are tried as owners.
const maxOwners = 2

func (f lendingFleet) Owners(name string, skip func(node string) bool) []lending.Lender {
	view := f.n.membership.View()
	var out []lending.Lender
	for _, dc := range rendezvous.Rank(name, f.dataCentres(view), maxOwners) {
		list := f.aliveNodes(view, dc)
		list = slices.DeleteFunc(list, func(l lending.Lender) bool { return skip(l.Node) })
		names := make([]string, len(list))
		for i, l := range list {
			names[i] = l.Node
		}
		for _, owner := range rendezvous.Rank(name, names, maxOwners) {
			out = append(out, list[slices.Index(names, owner)])
		}
	}
	return out
}

func (f lendingFleet) PreferredOwner(name string) lending.Lender {
	view := f.n.membership.View()
	dc := rendezvous.First(name, f.dataCentres(view))
	if dc != view.Self.DataCentre {
		return lending.Lender{Node: dc, DataCentre: dc, ForCentre: true}
	}
	names := []string{view.Self.ID}
	for _, m := range view.Members {
		names = append(names, m.ID)
	}
	first := rendezvous.First(name, names)
	m, _ := view.Find(first)
	return lending.Lender{Node: first, DataCentre: dc, Address: f.address(m.PeerAddr)}
}

func (f lendingFleet) Nodes() map[string]int {
	view := f.n.membership.View()
	nodes := map[string]int{view.Self.DataCentre: 1 + len(view.Members)}
	for _, c := range view.Contacts {
		nodes[c.DataCentre]++
	}
	return nodes
}

func (f lendingFleet) Reachable(dataCentre string) bool {
	return len(f.aliveNodes(f.n.membership.View(), dataCentre)) > 0
}

// LastReceived implements lending.Fleet. Contacts carry no receive time, so every data
// centre counts as received from just now.
func (f lendingFleet) LastReceived(string) time.Time { return f.n.clock.Now() }

// dataCentres returns the known data centres, in no order.
func (f lendingFleet) dataCentres(view *member.View) []string {
	names := map[string]bool{view.Self.DataCentre: true}
	for _, c := range view.Contacts {
		names[c.DataCentre] = true
	}
	return slices.Collect(maps.Keys(names))
}

// aliveNodes returns the nodes of a data centre that are alive and not leaving; in its own
// data centre, this node is always included.
func (f lendingFleet) aliveNodes(view *member.View, dc string) []lending.Lender {
	var out []lending.Lender
	list, own := view.Contacts, dc == view.Self.DataCentre
	if own {
		out = append(out, lending.Lender{Node: view.Self.ID, DataCentre: dc})
		list = view.Members
	}
	for _, m := range list {
		if m.DataCentre == dc && m.State == member.Alive && !m.Leaving {
			out = append(out, lending.Lender{Node: m.ID, DataCentre: dc, Address: f.address(m.PeerAddr), ForCentre: !own})
		}
	}
	return out
}

func (f lendingFleet) address(peer string) net.Addr {
	address, err := net.ResolveUDPAddr("udp", peer)
	if err != nil {
		f.n.recorder.Record(timeline.ObjectRejected, "", peer, err.Error())
		return nil
	}
	return address
}
