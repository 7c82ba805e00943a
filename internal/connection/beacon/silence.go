package beacon

import (
	"maps"
	"time"

	"github.com/marblepond/marblepond/internal/request/outlier"
)

// nodeState is the newest state known of another node.
type nodeState struct {
	boot         int64     // of its newest datagram received here; 0: only other nodes reported it
	sequence     uint64    // of the same datagram
	lastReceived time.Time // of its newest datagram, received here or by a node that reported it
	listedAt     time.Time // when a report of a paused node last included it
	near         bool      // in this node's data centre
	group        int       // in its data centre
	jobs         []string  // that it recently became the holder of
}

// reachable reports whether a datagram from a node was received within unreachableAfter, not
// counting pauses of this process.
func (x *Exchange) reachable(node string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.silence(x.nodes[node].lastReceived) < unreachableAfter
}

// silence returns for how long this process has run since t, the time at which something was
// last received. The caller holds x.mu.
func (x *Exchange) silence(t time.Time) time.Duration { return x.pauses.ranSince(t, time.Now()) }

// startTicks has the time between two ticks judged from now on, and stopTicks no longer.
func (x *Exchange) startTicks() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.pauses.allowed = 2 * x.farInterval
	x.pauses.tick(time.Now())
}

func (x *Exchange) stopTicks() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.pauses.stop()
}

// tick notes that the process runs; due each farInterval.
func (x *Exchange) tick() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.pauses.tick(time.Now())
}

// ReachableNodes returns the reachable nodes of all data centres, without this one.
func (x *Exchange) ReachableNodes() []string {
	return x.reachableWhere(func(nodeState) bool { return true })
}

// ReachableInDataCentre returns the reachable nodes of this data centre, without this one.
func (x *Exchange) ReachableInDataCentre() []string {
	return x.reachableWhere(func(state nodeState) bool { return state.near })
}

// ReachableInGroup returns the reachable nodes of this node's group, without this one.
func (x *Exchange) ReachableInGroup() []string {
	group := x.View().group
	return x.reachableWhere(func(state nodeState) bool { return state.near && state.group == group })
}

func (x *Exchange) reachableWhere(wanted func(nodeState) bool) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]string, 0, len(x.nodes))
	for node, state := range x.nodes {
		if !x.isUnreachable(state) && wanted(state) {
			out = append(out, node)
		}
	}
	return out
}

// ReachableGroups returns the other groups of this data centre on which a report was
// received within unreachableAfter.
func (x *Exchange) ReachableGroups() []string { return x.receivedLately(x.groupsReceived) }

// ReachableDataCentres returns the other data centres from which a datagram was received
// within unreachableAfter.
func (x *Exchange) ReachableDataCentres() []string { return x.receivedLately(x.centresReceived) }

// DataCentreLastReceived returns when a datagram from another data centre was last received,
// the zero time when it is unreachable.
func (x *Exchange) DataCentreLastReceived(name string) time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.centresReceived[name]
}

func (x *Exchange) receivedLately(times map[string]time.Time) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []string
	for name, at := range times {
		if x.silence(at) < unreachableAfter {
			out = append(out, name)
		}
	}
	return out
}

// isUnreachable reports whether a node counts as unreachable. Nodes of another group are
// known here through reports of that group's representative. When the representative is
// lost, no reports on its group arrive until another node takes over; the nodes of the
// group then count as unreachable only when a later report no longer includes them, or
// after twice the time; the same holds when the representative was paused. The caller holds x.mu.
func (x *Exchange) isUnreachable(state nodeState) bool {
	sinceLast := x.silence(state.lastReceived)
	if !state.near || state.group == x.View().group || sinceLast <= unreachableAfter {
		return sinceLast > unreachableAfter
	}
	reported := x.groupsReceived[groupName(state.group)]
	listed := min(sinceLast, x.silence(state.listedAt))
	return listed-x.silence(reported) > unreachableAfter || sinceLast > 2*unreachableAfter
}

// UnreachableSince returns when the last datagram from an unreachable node was received;
// false: the node is reachable, or is not known.
func (x *Exchange) UnreachableSince(node string) (time.Time, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	at, unreachable := x.unreachableSince[node]
	return at, unreachable
}

// keepUnreachable is how long an unreachable node is remembered: longer than any job
// stays with an unreachable holder.
const keepUnreachable = 10 * time.Minute

// removeUnreachable drops what unreachable nodes, groups and data centres reported to have
// in flight.
func (x *Exchange) removeUnreachable() {
	for _, node := range x.removeUnreachableNodes() {
		x.Loads.SetNode(node, nil)
		x.dropEvidence(outlier.Node, node)
		x.OnUnreachable(node)
	}
	for _, group := range x.removeStale(x.groupsReceived) {
		x.Loads.SetGroup(group, 0, nil)
		x.dropEvidence(outlier.Group, group)
	}
	for _, name := range x.removeStale(x.centresReceived) {
		x.Loads.SetDataCentre(name, nil)
		x.dropEvidence(outlier.DataCentre, name)
	}
}

// removeUnreachableNodes removes the unreachable nodes, and returns those of this data
// centre among them.
func (x *Exchange) removeUnreachableNodes() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var near []string
	for node, state := range x.nodes {
		if !x.isUnreachable(state) {
			continue
		}
		delete(x.nodes, node)
		x.unreachableSince[node] = state.lastReceived
		if state.near {
			near = append(near, node)
		}
	}
	maps.DeleteFunc(x.unreachableSince, func(_ string, at time.Time) bool { return time.Since(at) > keepUnreachable })
	return near
}

// removeStale removes the groups or data centres from which nothing was received for
// longer than unreachableAfter, and returns them.
func (x *Exchange) removeStale(times map[string]time.Time) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []string
	for name, at := range times {
		if x.silence(at) > unreachableAfter {
			delete(times, name)
			out = append(out, name)
		}
	}
	return out
}
