package beacon

import (
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/version/follow"
)

func (x *Exchange) receive(conn net.PacketConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFrom(buffer)
		if err != nil {
			return // the socket is closed
		}
		var message v1.Beacon
		if proto.Unmarshal(buffer[:n], &message) == nil && x.news(&message) {
			x.take(&message)
			x.passOn(conn, &message)
		}
	}
}

// news reports whether a datagram is newer than the last of its sender.
func (x *Exchange) news(m *v1.Beacon) bool {
	group := x.View().groupOf(m.Node)
	x.mu.Lock()
	defer x.mu.Unlock()
	last, heard := x.heard[m.Node]
	if m.Node == x.Node || m.Boot < last.boot || (m.Boot == last.boot && m.Sequence <= last.sequence) {
		return false
	}
	near := m.DataCentre == x.DataCentre
	x.heard[m.Node] = word{boot: m.Boot, sequence: m.Sequence, at: time.Now(), near: near, group: group, jobs: m.Jobs}
	delete(x.gone, m.Node)
	if !near {
		x.centres[m.DataCentre] = time.Now()
	}
	if !heard && x.OnReachable != nil {
		x.OnReachable(m.Node)
	}
	return true
}

// take hands what a datagram says to the duties that it concerns.
func (x *Exchange) take(m *v1.Beacon) {
	x.takeLoads(m)
	if len(m.Jobs) > 0 {
		x.Batch.ReceiveJobs(m.Node, m.Jobs)
	}
	for _, member := range m.Members {
		x.takeMember(member, m)
	}
	if m.StoreTookMs > 0 {
		x.Store.Heard(time.Duration(m.StoreTookMs)*time.Millisecond, time.Duration(m.StoreAgeMs)*time.Millisecond)
	}
	if m.Crashes != 0 {
		x.Crashes.ReceiveDigest(m.Node, m.Crashes)
	}
	behind := false
	for kind, mark := range follow.UnpackMarks(m.Marks) {
		behind = x.Cache.HeardMark(kind, mark) || behind
	}
	if behind {
		x.OnBehind(m.Node)
	}
}

// takeLoads takes what is in flight. A word that speaks for a group as another
// number of groups divides the nodes would count some of them twice; it is passed
// over until the two nodes know the same others.
func (x *Exchange) takeLoads(m *v1.Beacon) {
	counts := make(map[string]choose.InFlight, len(m.Targets))
	for _, t := range m.Targets {
		counts[t.Target] = choose.InFlight{Online: int(t.Online), Batch: int(t.Batch), Apart: int(t.Apart)}
	}
	batch := BatchReport{Claim: choose.Claim{Demand: int(m.Demand), Overflow: int(m.Overflow)}}
	view := x.View()
	group := view.groupOf(m.Node)
	switch {
	case m.DataCentre != x.DataCentre:
		x.Loads.SetDataCentre(m.DataCentre, counts)
		x.Batch.ReceiveDataCentre(m.DataCentre, batch)
	case int(m.Groups) != view.groups:
	case m.Scope == v1.Scope_SCOPE_NODE && group == view.group:
		x.Batch.ReceiveNode(m.Node, batch)
		if x.Loads.SetNode(m.Node, counts) && view.groups > 1 {
			x.NotifyChange() // the group has something new to say to others
		}
	case m.Scope == v1.Scope_SCOPE_GROUP && group != view.group:
		x.heardGroup(groupName(group))
		x.Loads.SetGroup(groupName(group), len(m.Members)+1, counts)
		x.Batch.ReceiveGroup(groupName(group), batch)
	}
}

func (x *Exchange) heardGroup(name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.grouped[name] = time.Now()
}

// takeMember takes what a datagram says of another node than its sender: that of
// a group in this data centre that it is heard, and the jobs that it holds.
func (x *Exchange) takeMember(member *v1.Member, m *v1.Beacon) {
	if member.Node == x.Node {
		return
	}
	if m.DataCentre == x.DataCentre && m.Scope == v1.Scope_SCOPE_GROUP {
		x.heardOf(member)
	}
	if len(member.Jobs) > 0 {
		x.Batch.ReceiveJobs(member.Node, member.Jobs)
	}
}

func (x *Exchange) heardOf(member *v1.Member) {
	at := time.Now().Add(-time.Duration(member.SilentMs) * time.Millisecond)
	group := x.View().groupOf(member.Node)
	x.mu.Lock()
	defer x.mu.Unlock()
	w := x.heard[member.Node]
	if !at.After(w.at) || !at.After(x.gone[member.Node]) {
		return
	}
	w.at, w.near, w.group, w.jobs = at, true, group, member.Jobs
	x.heard[member.Node] = w
	delete(x.gone, member.Node)
}
