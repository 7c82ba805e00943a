package allowance

// Surroundings are what an owner knows of the fleet as it lends.
type Surroundings struct {
	// Natural: this node is the first in the workspace's order of all nodes that are
	// registered, heard or not.
	Natural bool
	// Substitute: the natural owner is another node, which lives.
	Substitute bool
	// Alone: this node hears no other, although there are some.
	Alone bool
	// Nodes is how many nodes each data centre has, and Heard which data centres are
	// heard, the own one included.
	Nodes map[string]int
	Heard map[string]bool
}

// silent reports whether some data centre is not heard.
func (s *Surroundings) silent() bool {
	for dc := range s.Nodes {
		if !s.Heard[dc] {
			return true
		}
	}
	return false
}

// nodes returns how many nodes there are.
func (s *Surroundings) nodes() int {
	sum := 0
	for _, n := range s.Nodes {
		sum += n
	}
	return sum
}

// partOfNodes returns the part of the nodes that a data centre has.
func (s *Surroundings) partOfNodes(dc string) float64 {
	return float64(s.Nodes[dc]) / float64(max(1, s.nodes()))
}
