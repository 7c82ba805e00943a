package choose

import (
	"slices"

	"github.com/marblepond/marblepond/internal/process/rendezvous"
)

// Deal returns the share of name, a data centre or a node, when room at a target
// is dealt out by claims: to each in proportion to its claim, never more than
// that, and what is left over in an order of the target's own. Everyone who
// knows the same claims computes the same deal.
func Deal(target string, room int, name string, claims map[string]int) int {
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
