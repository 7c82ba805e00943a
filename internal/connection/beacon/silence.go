package beacon

import (
	"maps"
	"time"
)

// word is the newest that is known of another node.
type word struct {
	boot     int64 // and sequence of the newest datagram of its own; 0: only others told of it
	sequence uint64
	at       time.Time // when it was last heard, by this node or one that told it
	near     bool      // of this node's data centre
	group    int       // there
	jobs     []string  // that it lately came to hold
}

// hears reports whether a node is heard now.
func (x *Exchange) hears(node string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return time.Since(x.heard[node].at) < silentAfter
}

// ReachableNodes returns the nodes that are heard now.
func (x *Exchange) ReachableNodes() []string {
	return x.heardBy(func(word) bool { return true })
}

// ReachableInDataCentre returns the nodes of this data centre that are heard now, without
// this one.
func (x *Exchange) ReachableInDataCentre() []string {
	return x.heardBy(func(w word) bool { return w.near })
}

// ReachableInGroup returns the nodes of this node's group that are heard now, without
// this one.
func (x *Exchange) ReachableInGroup() []string {
	group := x.View().group
	return x.heardBy(func(w word) bool { return w.near && w.group == group })
}

func (x *Exchange) heardBy(wanted func(word) bool) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]string, 0, len(x.heard))
	for node, w := range x.heard {
		if !x.silentNow(w) && wanted(w) {
			out = append(out, node)
		}
	}
	return out
}

// ReachableGroups returns the other groups of this data centre that are heard now.
func (x *Exchange) ReachableGroups() []string { return x.heardOfLate(x.grouped) }

// ReachableDataCentres returns the other data centres of which a node is heard now.
func (x *Exchange) ReachableDataCentres() []string { return x.heardOfLate(x.centres) }

// DataCentreLastReceived returns when a node of another data centre was last heard, the zero
// time when none was of late.
func (x *Exchange) DataCentreLastReceived(name string) time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.centres[name]
}

func (x *Exchange) heardOfLate(times map[string]time.Time) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []string
	for name, at := range times {
		if time.Since(at) < silentAfter {
			out = append(out, name)
		}
	}
	return out
}

// silentNow reports whether a node counts as silent. Of one in another group this
// node hears through that group's speaker. When the speaker is lost all of its
// group fall silent here until another one speaks; they count as silent only when
// that one says so, or after twice the time. The caller holds x.mu.
func (x *Exchange) silentNow(w word) bool {
	silent := time.Since(w.at)
	if !w.near || w.group == x.View().group || silent <= silentAfter {
		return silent > silentAfter
	}
	told := x.grouped[groupName(w.group)]
	return told.Sub(w.at) > silentAfter || silent > 2*silentAfter
}

// UnreachableSince returns when a node that is heard no more was last heard; false: it
// is heard, or never was.
func (x *Exchange) UnreachableSince(node string) (time.Time, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	at, gone := x.gone[node]
	return at, gone
}

// goneFor is how long a silent node is remembered: longer than its jobs are held.
const goneFor = 10 * time.Minute

// forgetSilent drops what silent nodes, groups and data centres said they have in
// flight.
func (x *Exchange) forgetSilent() {
	for _, node := range x.silentNodes() {
		x.Loads.SetNode(node, nil)
		x.OnUnreachable(node)
	}
	for _, group := range x.silentOf(x.grouped) {
		x.Loads.SetGroup(group, 0, nil)
	}
	for _, name := range x.silentOf(x.centres) {
		x.Loads.SetDataCentre(name, nil)
	}
}

// silentNodes forgets the nodes that are heard no more, and returns those of this
// data centre among them.
func (x *Exchange) silentNodes() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var near []string
	for node, w := range x.heard {
		if !x.silentNow(w) {
			continue
		}
		delete(x.heard, node)
		x.gone[node] = w.at
		if w.near {
			near = append(near, node)
		}
	}
	maps.DeleteFunc(x.gone, func(_ string, at time.Time) bool { return time.Since(at) > goneFor })
	return near
}

// silentOf forgets the groups or data centres that are heard no more, and returns
// them.
func (x *Exchange) silentOf(times map[string]time.Time) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []string
	for name, at := range times {
		if time.Since(at) > silentAfter {
			delete(times, name)
			out = append(out, name)
		}
	}
	return out
}
