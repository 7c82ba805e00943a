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

// newLending returns what lends and borrows tokens of workspaces' allowances.
func (n *Node) newLending() *lending.Exchange {
	s := n.settings
	return lending.New(lending.Options{Node: s.NodeID, DataCentre: s.DataCentre, Boot: int64(n.self.Incarnation), Now: n.clock.Now, Fleet: lendingFleet{n}, Limit: n.allowanceOf, Metrics: n.metrics.scope,
		Tolerance: allowance.Tolerance{Window: s.AllowanceWindow, Share: s.AllowanceTolerance, Slack: float64(s.AllowanceSlack)}})
}

// allowanceOf returns the allowance of a workspace in force.
func (n *Node) allowanceOf(name string) (workspace.Allowance, bool) {
	w := n.config.Current().Workspaces.ByName(name)
	if w == nil {
		return workspace.Allowance{}, false
	}
	return w.Allowance, true
}

// lendingFleet implements lending.Fleet. A node knows the nodes of its own data centre and
// a few contacts of each other one, so that the owner is found in two steps: the data
// centre by the workspace's order of data centres, and the node there by those that
// know it. Nodes take datagrams at the address where they take calls of other nodes.
type lendingFleet struct{ n *Node }

// owners is how many nodes of one data centre are worth asking.
const owners = 2

func (f lendingFleet) Owners(name string, skip func(node string) bool) []lending.Lender {
	view := f.n.membership.View()
	var out []lending.Lender
	for _, dc := range rendezvous.Rank(name, f.dataCentres(view), owners) {
		list := f.alive(view, dc)
		list = slices.DeleteFunc(list, func(l lending.Lender) bool { return skip(l.Node) })
		names := make([]string, len(list))
		for i, l := range list {
			names[i] = l.Node
		}
		for _, owner := range rendezvous.Rank(name, names, owners) {
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
	return len(f.alive(f.n.membership.View(), dataCentre)) > 0
}

// LastReceived implements lending.Fleet. No node of another data centre is told from its
// contacts, and no time with it.
func (f lendingFleet) LastReceived(string) time.Time { return f.n.clock.Now() }

// dataCentres returns the data centres that are known.
func (f lendingFleet) dataCentres(view *member.View) []string {
	names := map[string]bool{view.Self.DataCentre: true}
	for _, c := range view.Contacts {
		names[c.DataCentre] = true
	}
	return slices.Collect(maps.Keys(names))
}

// alive returns the nodes of a data centre that are heard.
func (f lendingFleet) alive(view *member.View, dc string) []lending.Lender {
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
