package choose

import "maps"

// InFlight counts the requests and batch items in flight at a target.
type InFlight struct {
	Online int
	Batch  int
	Apart  int // online requests that were chosen with Need.Apart
}

// plus returns the sum of both, or the difference if sign is -1.
func (n InFlight) plus(other InFlight, sign int) InFlight {
	return InFlight{Online: n.Online + sign*other.Online, Batch: n.Batch + sign*other.Batch, Apart: n.Apart + sign*other.Apart}
}

// JoinGroup sets the group of its data centre that this node belongs to. It drops the
// reports of nodes and groups there, because the nodes are divided into new groups.
func (t *Table) JoinGroup(group string) {
	t.cfg.Group = group
	clear(t.nodes)
	clear(t.groups)
	clear(t.members)
	t.judge.DropDataCentre()
	clear(t.paces.nodes)
	clear(t.paces.groups)
	t.recomputeElsewhere()
}

// SetNode replaces the in-flight counts of another node of this node's group; nil
// removes them. It reports whether the counts changed.
func (t *Table) SetNode(node string, counts map[string]InFlight) (changed bool) {
	if counts == nil {
		delete(t.paces.nodes, node)
	}
	return t.setReport(t.nodes, node, counts)
}

// SetGroup replaces the in-flight counts of another group of this data centre, which
// has the given number of members; nil removes them. It reports whether the counts
// changed.
func (t *Table) SetGroup(name string, members int, counts map[string]InFlight) (changed bool) {
	if counts == nil {
		delete(t.members, name)
		delete(t.paces.groups, name)
	} else {
		t.members[name] = members
	}
	return t.setReport(t.groups, name, counts)
}

// NodesInDataCentre returns how many nodes of this data centre have reported in-flight
// counts, including this one.
func (t *Table) NodesInDataCentre() int {
	n := 1 + len(t.nodes)
	for _, members := range t.members {
		n += members
	}
	return n
}

// SetDataCentre replaces the in-flight counts of another data centre; nil removes
// them. It reports whether the counts changed.
func (t *Table) SetDataCentre(name string, counts map[string]InFlight) (changed bool) {
	if counts == nil {
		delete(t.paces.centres, name)
	}
	return t.setReport(t.centres, name, counts)
}

// setReport replaces one report and adjusts the sums by the difference, so that its
// cost grows with the size of the report and not with the number of nodes. It
// reports whether the counts changed.
func (t *Table) setReport(reports map[string]map[string]InFlight, name string, counts map[string]InFlight) (changed bool) {
	old := reports[name]
	if counts == nil {
		delete(reports, name)
	} else {
		reports[name] = counts
	}
	if maps.Equal(old, counts) {
		return false
	}
	t.addElsewhere(old, -1)
	t.addElsewhere(counts, 1)
	return true
}

// addElsewhere adds the counts of a report to the targets' sums, or subtracts them if
// sign is -1.
func (t *Table) addElsewhere(counts map[string]InFlight, sign int) {
	for id, n := range counts {
		if e := t.entries[id]; e != nil {
			e.elsewhere = e.elsewhere.plus(n, sign)
		}
	}
}

// recomputeElsewhere computes the sums again after the list of targets changed.
func (t *Table) recomputeElsewhere() {
	for _, e := range t.entries {
		e.elsewhere = InFlight{}
	}
	for _, reports := range []map[string]map[string]InFlight{t.nodes, t.groups, t.centres} {
		for _, counts := range reports {
			t.addElsewhere(counts, 1)
		}
	}
}

// GroupInFlight returns what all nodes of this node's group have in flight, by target,
// according to their newest reports.
func (t *Table) GroupInFlight() map[string]InFlight {
	return addCounts(t.OwnInFlight(), t.nodes)
}

// DataCentreInFlight returns the same for all nodes of this data centre.
func (t *Table) DataCentreInFlight() map[string]InFlight {
	return addCounts(t.GroupInFlight(), t.groups)
}

// addCounts adds the counts of reports to sum, which it changes and returns.
func addCounts(sum map[string]InFlight, reports map[string]map[string]InFlight) map[string]InFlight {
	for _, counts := range reports {
		for id, n := range counts {
			sum[id] = sum[id].plus(n, 1)
		}
	}
	return sum
}

// OwnInFlight returns what this node has in flight, by target. Batch items that are
// yielding their slot are not counted.
func (t *Table) OwnInFlight() map[string]InFlight {
	out := map[string]InFlight{}
	for id, e := range t.entries {
		if n := (InFlight{Online: e.online, Batch: e.notYielding(), Apart: e.apart}); n != (InFlight{}) {
			out[id] = n
		}
	}
	return out
}
