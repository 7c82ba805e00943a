package job

import (
	"slices"

	"github.com/marblepond/marblepond/internal/process/rendezvous"
)

// Reserve is how many slots of a target are kept free for the next online
// requests: two arrive within the time that a batch item takes to yield.
const Reserve = 2

// Deal returns how many items name, a data centre or a node, may have at a
// target at once, when the room there is dealt out by claims. Everyone who knows
// the same claims computes the same deal.
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
