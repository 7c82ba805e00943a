package beacon

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"

	"github.com/cespare/xxhash/v2"

	"github.com/marblepond/marblepond/internal/process/rendezvous"
)

const (
	// maxSingleGroup is the number of nodes up to which a data centre is one group, in
	// which each node reports to each other: groups would send as much there.
	maxSingleGroup = 12
	// extraReportShare is the share of rounds in which a node of another group receives
	// a group's report from a member that is not its representative. A receiver whose path
	// to its representative is broken gets a report in one of ten rounds, about once a
	// second.
	extraReportShare = 0.1
)

// Peer is another node.
type Peer struct {
	Node       string
	DataCentre string
	Address    net.Addr // where it receives datagrams
	Callers    bool     // it serves callers and may hold batch items
}

// View lists the other nodes: those of the own data centre by group, with about as many
// groups as each has nodes, and the others by data centre. The group of a node follows
// from its name, so that all nodes that know the same nodes agree on it.
type View struct {
	self      string
	groups    int
	group     int                 // of this node
	near      [][]Peer            // by group, without this node
	far       map[string][]Peer   // by data centre
	all       []Peer              // of other data centres
	byName    map[string]net.Addr // of this data centre
	nodes     map[string][]string // names by data centre, without this node
	addresses map[string]net.Addr // by name, of all data centres
}

// NewView returns the view of a node of a data centre.
func NewView(self, dataCentre string, others []Peer) *View {
	here := 1
	for _, p := range others {
		if p.DataCentre == dataCentre {
			here++
		}
	}
	return NewViewWithGroups(self, dataCentre, others, groupCount(here))
}

// NewViewWithGroups is NewView with a given number of groups in the data centre.
func NewViewWithGroups(self, dataCentre string, others []Peer, groups int) *View {
	v := &View{self: self, groups: groups, far: map[string][]Peer{}, byName: map[string]net.Addr{}, nodes: map[string][]string{}, addresses: map[string]net.Addr{}}
	v.group = v.groupOf(self)
	v.near = make([][]Peer, v.groups)
	for _, p := range others {
		v.nodes[p.DataCentre] = append(v.nodes[p.DataCentre], p.Node)
		v.addresses[p.Node] = p.Address
		if p.DataCentre == dataCentre {
			g := v.groupOf(p.Node)
			v.near[g] = append(v.near[g], p)
			v.byName[p.Node] = p.Address
			continue
		}
		v.far[p.DataCentre] = append(v.far[p.DataCentre], p)
		v.all = append(v.all, p)
	}
	return v
}

// groupCount returns the number of groups for a number of nodes: the power of two nearest
// to the square root, so that a node that joins or leaves seldom changes the groups of all
// others. A node then sends to about as many nodes as its group has, and to one of each
// other group: 2 sqrt(n) in place of n.
func groupCount(nodes int) int {
	if nodes <= maxSingleGroup {
		return 1
	}
	return 1 << int(math.Round(math.Log2(float64(nodes))/2))
}

func (v *View) groupOf(node string) int {
	return int(xxhash.Sum64String(node) % uint64(v.groups))
}

// Nodes returns the names of the other nodes by data centre. The caller must not change them.
func (v *View) Nodes() map[string][]string { return v.nodes }

// AloneInDataCentre reports whether no other node of the data centre is known.
func (v *View) AloneInDataCentre() bool { return len(v.byName) == 0 }

// Group returns the name of this node's group.
func (v *View) Group() string { return groupName(v.group) }

// Groups returns the number of groups in the data centre.
func (v *View) Groups() int { return v.groups }

// GroupOf returns the name of the group of a node of this data centre.
func (v *View) GroupOf(node string) string { return groupName(v.groupOf(node)) }

func groupName(group int) string { return fmt.Sprint("group-", group) }

// Members returns the other nodes of this node's group.
func (v *View) Members() []Peer { return v.near[v.group] }

// GroupReportReceivers returns the nodes of other groups to which this node sends the
// report on its group in a round. Each of them has one representative among the reachable
// members of the group: the first in rendezvous order for the receiver's name. The
// other members send one too in extraReportShare of the rounds; draw returns a random number
// in [0, 1).
func (v *View) GroupReportReceivers(reachable []string, draw func() float64) []Peer {
	if v.groups == 1 {
		return nil
	}
	candidates := append(append(make([]string, 0, len(reachable)+1), reachable...), v.self)
	extra := extraReportShare / float64(max(1, len(reachable)))
	var out []Peer
	for g, peers := range v.near {
		if g == v.group {
			continue
		}
		for _, p := range peers {
			if rendezvous.First(p.Node, candidates) == v.self || draw() < extra {
				out = append(out, p)
			}
		}
	}
	return out
}

// farReceivers returns up to n nodes of other data centres, drawn at random.
func (v *View) farReceivers(n int) []Peer {
	if len(v.all) <= n {
		return v.all
	}
	out := make([]Peer, 0, n)
	for _, i := range rand.Perm(len(v.all))[:n] {
		out = append(out, v.all[i])
	}
	return out
}

// pickOne returns a random node among peers that may hold batch items: a reachable one if
// there is any.
func pickOne(peers []Peer, reachable func(node string) bool) []Peer {
	var preferred, others []Peer
	for _, p := range peers {
		switch {
		case !p.Callers:
		case reachable(p.Node):
			preferred = append(preferred, p)
		default:
			others = append(others, p)
		}
	}
	if len(preferred) == 0 {
		preferred = others
	}
	if len(preferred) == 0 {
		return nil
	}
	i := rand.IntN(len(preferred))
	return preferred[i : i+1]
}

// pickFromGroup returns one node of a group, chosen by pickOne.
func (v *View) pickFromGroup(name string, reachable func(node string) bool) []Peer {
	for g, peers := range v.near {
		if groupName(g) == name {
			return pickOne(peers, reachable)
		}
	}
	return nil
}

// peersNamed returns the nodes of this data centre with the given names.
func (v *View) peersNamed(nodes []string) []Peer {
	var out []Peer
	for _, node := range nodes {
		if address := v.byName[node]; address != nil {
			out = append(out, Peer{Node: node, Address: address})
		}
	}
	return out
}
