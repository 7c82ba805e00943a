package continuation

import (
	"slices"
	"strconv"

	"github.com/marblepond/marblepond/internal/process/rendezvous"
)

// Fleet is what a node knows of the nodes that may keep records.
type Fleet struct {
	Self       string
	DataCentre string
	// Nodes are the other nodes by data centre, and Reachable reports which of those of the own
	// data centre are reachable.
	Nodes     map[string][]string
	Reachable func(node string) bool
	// Keepers are the other nodes that have a disk, of all data centres.
	Keepers []string
}

const (
	// copies is how many other nodes keep a record.
	copies = 2
	// nearCandidates is how many nodes of its own data centre a node asks: the one that keeps
	// the record is the first in order that the sender reached, other than the sender itself.
	nearCandidates = 3
	// farCandidates is the same for each of farCentres other data centres. One of the first two
	// data centres in order is not the sender's.
	farCandidates = 2
	farCentres    = 2
	// keeperCandidates is how many nodes with a disk a node asks.
	keeperCandidates = 2
	// askAll is the number of other nodes up to which all are asked.
	askAll = 12
)

func (k Key) name() string { return strconv.FormatUint(uint64(k), 16) }

// Holders returns the nodes to which the node that serves a stream sends its record: one of
// its own data centre, for a caller that returns after the loss of the node, and one of
// another, for the loss of the data centre. One of the two has a disk, for a loss of power of
// all nodes. Two copies cost the same in a fleet of any size.
func (f *Fleet) Holders(key Key) []string {
	name := key.name()
	isNear := func(node string) bool { return slices.Contains(f.Nodes[f.DataCentre], node) }
	lost := func(node string) bool { return isNear(node) && !f.Reachable(node) }
	out := rendezvous.Rank(name, slices.DeleteFunc(slices.Clone(f.Keepers), lost), 1)
	nearHeld := slices.ContainsFunc(out, isNear)
	var near []string
	for _, node := range f.Nodes[f.DataCentre] {
		if f.Reachable(node) && !slices.Contains(out, node) {
			near = append(near, node)
		}
	}
	farCopies := copies - len(out)
	if len(near) > 0 && !nearHeld {
		farCopies--
	}
	for _, centre := range rendezvous.Rank(name, f.otherCentres(), farCopies) {
		out = append(out, rendezvous.Rank(name, f.Nodes[centre], 1)...)
	}
	return append(rendezvous.Rank(name, near, copies-len(out)), out...)
}

func (f *Fleet) otherCentres() []string {
	var out []string
	for centre, nodes := range f.Nodes {
		if centre != f.DataCentre && len(nodes) > 0 {
			out = append(out, centre)
		}
	}
	return out
}

// Candidates returns the nodes that may have the record of a stream that began at any node.
func (f *Fleet) Candidates(key Key) []string {
	var all []string
	for _, nodes := range f.Nodes {
		all = append(all, nodes...)
	}
	if len(all) <= askAll {
		return all
	}
	name := key.name()
	out := rendezvous.Rank(name, f.Nodes[f.DataCentre], nearCandidates)
	for _, centre := range rendezvous.Rank(name, f.otherCentres(), farCentres) {
		out = append(out, rendezvous.Rank(name, f.Nodes[centre], farCandidates)...)
	}
	for _, keeper := range rendezvous.Rank(name, f.Keepers, keeperCandidates) {
		if !slices.Contains(out, keeper) {
			out = append(out, keeper)
		}
	}
	return out
}
