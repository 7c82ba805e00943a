package choose

import (
	"slices"

	"github.com/marblepond/marblepond/internal/process/rendezvous"
)

// Allot returns the share of name, a data centre or a node, when room at a target
// is dealt out by claims: to each in proportion to its claim, never more than
// that, and what is left over in an order of the target's own. Everyone who
// knows the same claims computes the same deal.
func Allot(target string, room int, name string, claims map[string]int) int {
	total := 0
	for _, claim := range claims {
		total += claim
	}
	if room <= 0 || claims[name] == 0 {
		return 0
	}
	if total <= room {
		return claims[name]
	}
	share, dealt := 0, 0
	var names []string
	for other, claim := range claims {
		part := room * claim / total
		dealt += part
		if other == name {
			share = part
		}
		if claim > 0 {
			names = append(names, other)
		}
	}
	slices.Sort(names)
	if slices.Contains(rendezvous.Rank(target, names, room-dealt), name) {
		share++
	}
	return share
}

// Claim is the batch work of a node or a data centre, in items that wait or run.
type Claim struct {
	Demand   int
	Overflow int // those that find no room in their data centre
}

// Claims is what a node knows of the batch work on the targets.
type Claims struct {
	Node       string
	Group      string
	DataCentre string
	Nodes      map[string]int   // demand, by node of the own group
	Groups     map[string]int   // demand, by group of the own data centre
	Centres    map[string]Claim // by data centre
}

// Share returns how many items the node may have at a target that has room for
// so many. Data centres come first: that of the target with all of its items,
// others with those that find no room at home; then the groups of each, then the
// nodes of each group.
func (c Claims) Share(t Target, room int) int {
	centres := make(map[string]int, len(c.Centres))
	for name, claim := range c.Centres {
		centres[name] = claim.Overflow
		if name == t.DataCentre {
			centres[name] = claim.Demand
		}
	}
	here := Allot(t.ID, room, c.DataCentre, centres)
	group := Allot(t.ID, here, c.Group, c.Groups)
	return Allot(t.ID, group, c.Node, c.Nodes)
}
