package choose

import (
	"slices"

	"github.com/marblepond/marblepond/internal/process/rendezvous"
)

// Allot returns how many of a target's free slots name, a data centre, group or
// node, gets when the slots are divided by claims: in proportion to the claim and
// never more than it, with the remainder in the target's rendezvous order. All nodes
// that know the same claims compute the same allotment.
func Allot(target string, slots int, name string, claims map[string]int) int {
	total := 0
	for _, claim := range claims {
		total += claim
	}
	if slots <= 0 || claims[name] == 0 {
		return 0
	}
	if total <= slots {
		return claims[name]
	}
	share, allotted := 0, 0
	var names []string
	for other, claim := range claims {
		part := slots * claim / total
		allotted += part
		if other == name {
			share = part
		}
		if claim > 0 {
			names = append(names, other)
		}
	}
	slices.Sort(names)
	if slices.Contains(rendezvous.Rank(target, names, slots-allotted), name) {
		share++
	}
	return share
}

// Claim is the batch work of a data centre, in items that wait or run.
type Claim struct {
	Demand   int
	Overflow int // items for which the data centre's own targets have no free slots
}

// Claims is what a node knows of the batch work of all nodes.
type Claims struct {
	Node       string
	Group      string
	DataCentre string
	Nodes      map[string]int   // demand, by node of the own group
	Groups     map[string]int   // demand, by group of the own data centre
	Centres    map[string]Claim // by data centre
}

// Share returns how many items this node may have at a target with the given number
// of slots for batch items. The slots are allotted to data centres first: that of the
// target claims them for all of its items, others for their overflow; then to the
// groups of the data centre, then to the nodes of the group.
func (c Claims) Share(t Target, slots int) int {
	centres := make(map[string]int, len(c.Centres))
	for name, claim := range c.Centres {
		centres[name] = claim.Overflow
		if name == t.DataCentre {
			centres[name] = claim.Demand
		}
	}
	dataCentre := Allot(t.ID, slots, c.DataCentre, centres)
	group := Allot(t.ID, dataCentre, c.Group, c.Groups)
	return Allot(t.ID, group, c.Node, c.Nodes)
}
