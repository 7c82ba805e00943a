package allowance

// FleetView are what an owner knows of the fleet as it lends.
type FleetView struct {
	// Preferred: this node is the first in the workspace's order of all nodes that are
	// registered, heard or not.
	Preferred bool
	// PreferredReachable: the natural owner is another node, which lives.
	PreferredReachable bool
	// Isolated: this node hears no other, although there are some.
	Isolated bool
	// Nodes is how many nodes each data centre has, and Heard which data centres are
	// heard, the own one included.
	Nodes     map[string]int
	Reachable map[string]bool
}

// silent reports whether some data centre is not heard.
func (s *FleetView) silent() bool {
	for dc := range s.Nodes {
		if !s.Reachable[dc] {
			return true
		}
	}
	return false
}

// nodes returns how many nodes there are.
func (s *FleetView) nodes() int {
	sum := 0
	for _, n := range s.Nodes {
		sum += n
	}
	return sum
}

// partOfNodes returns the part of the nodes that a data centre has.
func (s *FleetView) partOfNodes(dc string) float64 {
	return float64(s.Nodes[dc]) / float64(max(1, s.nodes()))
}
