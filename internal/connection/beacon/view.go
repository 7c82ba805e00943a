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
	// oneGroup is how many nodes of a data centre are one group, in which each tells
	// each: below it groups would send as much.
	oneGroup = 12
	// strayShare is the share of rounds in which a group is told on to a node of
	// another group by one that is not its speaker. A listener whose path to its
	// speaker is broken hears the group in one of ten rounds, about once a second.
	strayShare = 0.1
)

// Peer is another node.
type Peer struct {
	Node       string
	DataCentre string
	Address    net.Addr // where it hears datagrams
	Callers    bool     // it serves callers and may hold batch items
}

// View is how a node sees the others: those of its data centre in groups, about
// as many as each has nodes, and the others by data centre. Which group a node
// belongs to follows from its name, so that nodes that know the same others agree.
type View struct {
	self   string
	groups int
	group  int                 // of this node
	near   [][]Peer            // by group, without this node
	far    map[string][]Peer   // by data centre
	all    []Peer              // of other data centres
	byName map[string]net.Addr // of this data centre
}

// NewView returns how a node of a data centre sees the others.
func NewView(self, dataCentre string, others []Peer) *View {
	here := 1
	for _, p := range others {
		if p.DataCentre == dataCentre {
			here++
		}
	}
	return NewViewWithGroups(self, dataCentre, others, groupsOf(here))
}

// NewViewWithGroups returns the same with so many groups in the data centre.
func NewViewWithGroups(self, dataCentre string, others []Peer, groups int) *View {
	v := &View{self: self, groups: groups, far: map[string][]Peer{}, byName: map[string]net.Addr{}}
	v.group = v.groupOf(self)
	v.near = make([][]Peer, v.groups)
	for _, p := range others {
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

// groupsOf returns into how many groups so many nodes are divided: the power of
// two nearest to the square root, so that a node that comes or goes seldom changes
// the groups of all others. A node then tells about as many nodes as its group has,
// and one of each other group: 2 sqrt(n) in place of n.
func groupsOf(nodes int) int {
	if nodes <= oneGroup {
		return 1
	}
	return 1 << int(math.Round(math.Log2(float64(nodes))/2))
}

func (v *View) groupOf(node string) int {
	return int(xxhash.Sum64String(node) % uint64(v.groups))
}

// AloneInDataCentre reports whether no other node of the data centre is known.
func (v *View) AloneInDataCentre() bool { return len(v.byName) == 0 }

// Group returns the name of this node's group.
func (v *View) Group() string { return groupName(v.group) }

// Groups returns into how many groups the data centre is divided.
func (v *View) Groups() int { return v.groups }

// GroupOf returns the name of the group of a node of this data centre.
func (v *View) GroupOf(node string) string { return groupName(v.groupOf(node)) }

func groupName(group int) string { return fmt.Sprint("group-", group) }

// Members returns the other nodes of this node's group.
func (v *View) Members() []Peer { return v.near[v.group] }

// GroupReportReceivers returns to which nodes of other groups this node speaks for its own in
// a round. Each of them has one speaker among the members that are heard, the
// first in an order of its own; draw adds the strays.
func (v *View) GroupReportReceivers(heard []string, draw func() float64) []Peer {
	if v.groups == 1 {
		return nil
	}
	speakers := append(append(make([]string, 0, len(heard)+1), heard...), v.self)
	stray := strayShare / float64(max(1, len(heard)))
	var out []Peer
	for g, peers := range v.near {
		if g == v.group {
			continue
		}
		for _, p := range peers {
			if rendezvous.First(p.Node, speakers) == v.self || draw() < stray {
				out = append(out, p)
			}
		}
	}
	return out
}

// farListeners returns some nodes of other data centres drawn at random.
func (v *View) farListeners(n int) []Peer {
	if len(v.all) <= n {
		return v.all
	}
	out := make([]Peer, 0, n)
	for _, i := range rand.Perm(len(v.all))[:n] {
		out = append(out, v.all[i])
	}
	return out
}

// oneOf returns one of some nodes that may hold items: one that is heard if any
// is.
func oneOf(peers []Peer, heard func(node string) bool) []Peer {
	var known, others []Peer
	for _, p := range peers {
		switch {
		case !p.Callers:
		case heard(p.Node):
			known = append(known, p)
		default:
			others = append(others, p)
		}
	}
	if len(known) == 0 {
		known = others
	}
	if len(known) == 0 {
		return nil
	}
	i := rand.IntN(len(known))
	return known[i : i+1]
}

// inGroup returns one node of the group named, by oneOf.
func (v *View) inGroup(name string, heard func(node string) bool) []Peer {
	for g, peers := range v.near {
		if groupName(g) == name {
			return oneOf(peers, heard)
		}
	}
	return nil
}

// named returns the nodes of this data centre with the names given.
func (v *View) named(nodes []string) []Peer {
	var out []Peer
	for _, node := range nodes {
		if address := v.byName[node]; address != nil {
			out = append(out, Peer{Node: node, Address: address})
		}
	}
	return out
}
