package lending

import (
	"net"

	"github.com/marblepond/marblepond/internal/request/allowance"
)

// Lender is a node that takes requests.
type Lender struct {
	Node       string
	DataCentre string
	Address    net.Addr // where it takes datagrams; nil: it takes none
	// ForCentre: it stands for the owner in its data centre, which this node does not
	// know, and passes asks on to that one.
	ForCentre bool
}

// Lenders are nodes that take requests, heard or not. It is immutable.
type Lenders struct {
	nodes  map[string]int // by data centre
	names  []string
	byName map[string]Lender
}

// NewLenders returns the list of some nodes.
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

// Owners returns whom to ask for tokens of a workspace, among the nodes that are wanted,
// the first choice first.
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

// PreferredOwner returns the first choice among all nodes.
func (l *Lenders) PreferredOwner(name string) Lender {
	return l.byName[allowance.PreferredOwner(name, l.names)]
}
