package allowance

// FleetView is what a lending node knows of the other nodes.
type FleetView struct {
	// Preferred reports whether this node is the preferred owner of the workspace: the first
	// of all registered nodes, reachable or not, in rendezvous order.
	Preferred bool
	// PreferredReachable reports whether the preferred owner is another node that is reachable.
	PreferredReachable bool
	// Isolated reports whether this node can reach no other, although others are registered.
	Isolated bool
	// Shared reports whether the shared view is on:
	// refused requests get places in line.
	Shared bool
	// Nodes is the number of nodes by data centre, and Reachable the reachable data centres,
	// including this node's own.
	Nodes     map[string]int
	Reachable map[string]bool
}

// partitioned reports whether a data centre is unreachable.
func (v *FleetView) partitioned() bool {
	for dc := range v.Nodes {
		if !v.Reachable[dc] {
			return true
		}
	}
	return false
}

// nodes returns the number of nodes.
func (v *FleetView) nodes() int {
	sum := 0
	for _, n := range v.Nodes {
		sum += n
	}
	return sum
}

// nodeShare returns the share of a data centre in the nodes.
func (v *FleetView) nodeShare(dc string) float64 {
	return float64(v.Nodes[dc]) / float64(max(1, v.nodes()))
}
