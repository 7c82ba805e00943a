package lending

import "net"

// Lender is a node that takes requests.
type Lender struct {
	Node       string
	DataCentre string
	Address    net.Addr // where it takes datagrams
}

// Lenders are the nodes that take requests, heard or not. It is immutable.
type Lenders struct {
	Centres map[string]int // nodes by data centre
	names   []string
	byName  map[string]Lender
}

// NewLenders returns the list of some nodes.
func NewLenders(list []Lender) *Lenders {
	l := &Lenders{Centres: map[string]int{}, byName: map[string]Lender{}}
	for _, n := range list {
		l.Centres[n.DataCentre]++
		l.names = append(l.names, n.Node)
		l.byName[n.Node] = n
	}
	return l
}
