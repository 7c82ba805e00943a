package beacon

import (
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/outlier"
	"github.com/marblepond/marblepond/internal/version/follow"
)

// receive handles datagrams until the socket is closed.
func (x *Exchange) receive(conn net.PacketConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if err != nil {
			return // the socket is closed
		}
		var message v1.Beacon
		switch {
		case proto.Unmarshal(buffer[:n], &message) != nil:
		case message.Stream != nil:
			x.receiveStreamMessage(message.Stream, from)
		case x.isNewer(&message):
			x.apply(&message)
			x.forward(conn, &message)
		}
	}
}

// isNewer reports whether a datagram is newer than the last one from its sender, and notes
// that the sender is reachable.
func (x *Exchange) isNewer(m *v1.Beacon) bool {
	group := x.View().groupOf(m.Node)
	x.mu.Lock()
	defer x.mu.Unlock()
	last, known := x.nodes[m.Node]
	if m.Node == x.Node || m.Boot < last.boot || (m.Boot == last.boot && m.Sequence <= last.sequence) {
		return false
	}
	near := m.DataCentre == x.DataCentre
	x.nodes[m.Node] = nodeState{boot: m.Boot, sequence: m.Sequence, lastReceived: time.Now(), near: near, group: group, jobs: m.Jobs}
	delete(x.unreachableSince, m.Node)
	if !near {
		x.centresReceived[m.DataCentre] = time.Now()
	}
	if !known && x.OnReachable != nil {
		x.OnReachable(m.Node)
	}
	return true
}

// apply passes the content of a datagram to the parts of the node that use it.
func (x *Exchange) apply(m *v1.Beacon) {
	if !m.CountsOmitted {
		x.applyLoads(m)
		x.applyPaces(m)
	}
	if len(m.Jobs) > 0 {
		x.Batch.ReceiveJobs(m.Node, m.Jobs)
	}
	for _, member := range m.Members {
		x.applyMember(member, m)
	}
	if m.StoreTookMs > 0 {
		x.Store.ReceiveLatency(time.Duration(m.StoreTookMs)*time.Millisecond, time.Duration(m.StoreAgeMs)*time.Millisecond)
	}
	if m.Crashes != 0 {
		x.Crashes.ReceiveDigest(m.Node, m.Crashes)
	}
	for kind, progress := range follow.UnpackRefreshes(m.Refreshes) {
		x.Cache.NoteRefresh(kind, progress)
	}
	behind := false
	for kind, mark := range follow.UnpackMarks(m.Marks) {
		behind = x.Cache.ReceiveMark(kind, mark) || behind
	}
	if behind {
		x.OnBehind(m.Node)
	}
}

// applyLoads takes what is in flight and the batch work. A report from a node that divides
// the data centre into another number of groups would count some nodes twice; it is
// ignored until both know the same nodes.
func (x *Exchange) applyLoads(m *v1.Beacon) {
	counts := make(map[string]choose.InFlight, len(m.Targets))
	for _, t := range m.Targets {
		if n := (choose.InFlight{Online: int(t.Online), Batch: int(t.Batch), Apart: int(t.Apart)}); n != (choose.InFlight{}) {
			counts[t.Target] = n
		}
	}
	batch := BatchReport{Claim: choose.Claim{Demand: int(m.Demand), Overflow: int(m.Overflow)}}
	view := x.View()
	group := view.groupOf(m.Node)
	switch {
	case m.DataCentre != x.DataCentre:
		x.receiveEvidence(outlier.Reporter{Level: outlier.DataCentre, Name: m.DataCentre}, m.Targets)
		x.Loads.SetDataCentre(m.DataCentre, counts)
		x.Batch.ReceiveDataCentre(m.DataCentre, batch)
	case int(m.Groups) != view.groups:
	case m.Scope == v1.Scope_SCOPE_NODE && group == view.group:
		x.receiveEvidence(outlier.Reporter{Level: outlier.Node, Name: m.Node}, m.Targets)
		x.Batch.ReceiveNode(m.Node, batch)
		if x.Loads.SetNode(m.Node, counts) && view.groups > 1 {
			x.NotifyChange() // the report on this group has changed
		}
	case m.Scope == v1.Scope_SCOPE_GROUP && group != view.group:
		x.noteGroupReport(groupName(group))
		x.receiveEvidence(outlier.Reporter{Level: outlier.Group, Name: groupName(group)}, m.Targets)
		x.Loads.SetGroup(groupName(group), len(m.Members)+1, counts)
		x.Batch.ReceiveGroup(groupName(group), batch)
	}
}

func (x *Exchange) noteGroupReport(name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.groupsReceived[name] = time.Now()
}

// applyMember takes what a datagram reports on a node other than its sender: when it was
// last received, if the datagram is on a group of this data centre, and the jobs that it
// recently became the holder of.
func (x *Exchange) applyMember(member *v1.Member, m *v1.Beacon) {
	if member.Node == x.Node {
		return
	}
	if m.DataCentre == x.DataCentre && m.Scope == v1.Scope_SCOPE_GROUP {
		x.noteMember(member)
	}
	if len(member.Jobs) > 0 {
		x.Batch.ReceiveJobs(member.Node, member.Jobs)
	}
}

// noteMember notes when the sender of a datagram last received one of another node. Older
// reports than what this node knows are ignored. A sender that was paused includes nodes that
// it has not received for longer than unreachableAfter; this adds none that is not known here.
func (x *Exchange) noteMember(member *v1.Member) {
	now := time.Now()
	at := now.Add(-time.Duration(member.SilentMs) * time.Millisecond)
	group := x.View().groupOf(member.Node)
	x.mu.Lock()
	defer x.mu.Unlock()
	state, known := x.nodes[member.Node]
	if now.Sub(at) >= unreachableAfter {
		if !known {
			return
		}
		state.listedAt = now
		x.nodes[member.Node] = state
	}
	if !at.After(state.lastReceived) || !at.After(x.unreachableSince[member.Node]) {
		return
	}
	state.lastReceived, state.near, state.group, state.jobs = at, true, group, member.Jobs
	x.nodes[member.Node] = state
	delete(x.unreachableSince, member.Node)
}
