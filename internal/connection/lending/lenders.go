package lending

import (
	"net"

	"github.com/marblepond/marblepond/internal/request/allowance"
)

// Lender is a node that accepts requests, and so may own token buckets.
type Lender struct {
	Node       string
	DataCentre string
	Address    net.Addr // where it receives datagrams; nil: it receives none
	// ForCentre: this node stands for the owner in its data centre, which is not known
	// here; it answers a borrow request if it is the owner, and else forwards it.
	ForCentre bool
}

// Lenders lists the nodes that accept requests, reachable or not. It is immutable.
type Lenders struct {
	nodes  map[string]int // by data centre
	names  []string
	byName map[string]Lender
}

// NewLenders returns a list of nodes.
func NewLenders(list []Lender) *Lenders {
	l := &Lenders{nodes: map[string]int{}, byName: map[string]Lender{}}
	for _, n := range list {
		l.nodes[n.DataCentre]++
		l.names = append(l.names, n.Node)
		l.byName[n.Node] = n
	}
	return l
}

// Nodes returns how many nodes each data centre has.
func (l *Lenders) Nodes() map[string]int { return l.nodes }

// Owners returns the nodes to borrow tokens of a workspace from, in order of preference,
// among the nodes that match a filter.
func (l *Lenders) Owners(name string, wanted func(Lender) bool) []Lender {
	var names []string
	for _, n := range l.byName {
		if wanted(n) {
			names = append(names, n.Node)
		}
	}
	var out []Lender
	for _, owner := range allowance.Owners(name, names) {
		out = append(out, l.byName[owner])
	}
	return out
}

// PreferredOwner returns the first in that order among all nodes.
func (l *Lenders) PreferredOwner(name string) Lender {
	return l.byName[allowance.PreferredOwner(name, l.names)]
}
