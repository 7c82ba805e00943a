package choose

import "maps"

// InFlight counts what is at a target.
type InFlight struct {
	Online int
	Batch  int
	Apart  int // online requests that were placed apart
}

// plus returns the sum of both, or with sign -1 the difference.
func (n InFlight) plus(other InFlight, sign int) InFlight {
	return InFlight{Online: n.Online + sign*other.Online, Batch: n.Batch + sign*other.Batch, Apart: n.Apart + sign*other.Apart}
}

// JoinGroup says which group of its data centre this node belongs to. What nodes
// and groups there were heard to have counts no more: they are divided anew.
func (t *Table) JoinGroup(group string) {
	t.cfg.Group = group
	clear(t.nodes)
	clear(t.groups)
	clear(t.members)
	t.sumOthers()
}

// SetNode replaces what another node of this node's group has in flight; nil:
// nothing. It reports whether that is news.
func (t *Table) SetNode(node string, counts map[string]InFlight) (news bool) {
	return t.setOther(t.nodes, node, counts)
}

// SetGroup replaces what the nodes of another group of this data centre, so many
// in number, have in flight together; nil: nothing. It reports whether that is
// news.
func (t *Table) SetGroup(name string, members int, counts map[string]InFlight) (news bool) {
	if counts == nil {
		delete(t.members, name)
	} else {
		t.members[name] = members
	}
	return t.setOther(t.groups, name, counts)
}

// NodesInDataCentre returns how many nodes of this data centre are heard, with this one.
func (t *Table) NodesInDataCentre() int {
	n := 1 + len(t.nodes)
	for _, members := range t.members {
		n += members
	}
	return n
}

// SetDataCentre replaces what the nodes of another data centre have in flight
// together; nil: nothing. It reports whether that is news.
func (t *Table) SetDataCentre(name string, counts map[string]InFlight) (news bool) {
	return t.setOther(t.centres, name, counts)
}

// setOther replaces one word and corrects the sums by the difference: its cost
// grows with that word and not with the number of nodes that are heard. It
// reports whether the word says something new.
func (t *Table) setOther(words map[string]map[string]InFlight, name string, counts map[string]InFlight) (news bool) {
	old := words[name]
	if counts == nil {
		delete(words, name)
	} else {
		words[name] = counts
	}
	if maps.Equal(old, counts) {
		return false
	}
	t.addElsewhere(old, -1)
	t.addElsewhere(counts, 1)
	return true
}

// addElsewhere adds what a word counts to the sums of others, or with sign -1
// takes it away.
func (t *Table) addElsewhere(counts map[string]InFlight, sign int) {
	for id, n := range counts {
		if e := t.entries[id]; e != nil {
			e.elsewhere = e.elsewhere.plus(n, sign)
		}
	}
}

// sumOthers computes the sums of others anew, because the targets are others.
func (t *Table) sumOthers() {
	for _, e := range t.entries {
		e.elsewhere = InFlight{}
	}
	for _, words := range []map[string]map[string]InFlight{t.nodes, t.groups, t.centres} {
		for _, counts := range words {
			t.addElsewhere(counts, 1)
		}
	}
}

// GroupInFlight returns what all nodes of this node's group have in flight, by target,
// as far as this one knows.
func (t *Table) GroupInFlight() map[string]InFlight {
	return addAll(t.OwnInFlight(), t.nodes)
}

// DataCentreInFlight returns the same of all nodes of this data centre.
func (t *Table) DataCentreInFlight() map[string]InFlight {
	return addAll(t.GroupInFlight(), t.groups)
}

// addAll adds the counts of words to a sum, which it returns.
func addAll(sum map[string]InFlight, words map[string]map[string]InFlight) map[string]InFlight {
	for _, counts := range words {
		for id, n := range counts {
			sum[id] = sum[id].plus(n, 1)
		}
	}
	return sum
}

// OwnInFlight returns what this table has in flight, by target. Items that are making
// room count no more.
func (t *Table) OwnInFlight() map[string]InFlight {
	out := map[string]InFlight{}
	for id, e := range t.entries {
		if n := (InFlight{Online: e.online, Batch: e.staying(), Apart: e.apart}); n != (InFlight{}) {
			out[id] = n
		}
	}
	return out
}
