package job

import "github.com/marblepond/marblepond/internal/process/rendezvous"

// Share returns how many items node may have at a target at once, when the
// slots that online requests leave are dealt out to nodes. Every node that
// knows the same nodes computes the same deal.
func Share(target string, slots int, node string, nodes []string) int {
	room := slots - reserve
	if room <= 0 || len(nodes) == 0 {
		return 0
	}
	share := room / len(nodes)
	for _, lucky := range rendezvous.Rank(target, nodes, room%len(nodes)) {
		if lucky == node {
			share++
		}
	}
	return share
}
