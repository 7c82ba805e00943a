package job

import (
	"slices"

	"github.com/marblepond/marblepond/internal/process/rendezvous"
)

// Deal returns how many items node may have at a target at once, when the slots
// that online requests leave are dealt out to nodes by their claims. Every node
// that knows the same claims computes the same deal.
func Deal(target string, slots int, node string, claims map[string]int) int {
	room := slots - reserve
	total := 0
	for _, claim := range claims {
		total += claim
	}
	if room <= 0 || claims[node] == 0 {
		return 0
	}
	if total <= room {
		return claims[node]
	}
	share, dealt := 0, 0
	var names []string
	for name, claim := range claims {
		part := room * claim / total
		dealt += part
		if name == node {
			share = part
		}
		if claim > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	if slices.Contains(rendezvous.Rank(target, names, room-dealt), node) {
		share++
	}
	return share
}
