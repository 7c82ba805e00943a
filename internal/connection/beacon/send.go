package beacon

import (
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/version/follow"
)

// send sends a report to nodes. The report is composed only when there are any.
func (x *Exchange) send(conn net.PacketConn, to []Peer, report func() *v1.Beacon) {
	if len(to) > 0 {
		x.write(conn, to, report())
	}
}

// write sends a report to nodes, without its counts if it does not fit into a datagram with them.
func (x *Exchange) write(conn net.PacketConn, to []Peer, report *v1.Beacon) {
	if size := proto.Size(report); size > maxDatagram {
		if x.OnOversize != nil {
			x.OnOversize(size)
		}
		report.Targets, report.Paces, report.Services, report.CountsOmitted = nil, nil, nil, true
	}
	write(conn, to, report)
}

func write(conn net.PacketConn, to []Peer, message *v1.Beacon) {
	data, err := proto.Marshal(message)
	if err != nil {
		return // plain fields always encode
	}
	for _, p := range to {
		_, _ = conn.WriteTo(data, p.Address) // the next one makes up for a lost datagram
	}
}

// sendToHolders notifies the nodes that have batch items at a target that a request waits
// for a slot there: directly those of the own group, and through one node each, which
// forwards the datagram, those of other groups and data centres.
func (x *Exchange) sendToHolders(conn net.PacketConn, target string) {
	view, holders := x.View(), x.Loads.Holders(target)
	x.send(conn, view.peersNamed(holders.Nodes), x.nodeReport)
	for _, group := range holders.Groups {
		x.send(conn, view.pickFromGroup(group, x.reachable), func() *v1.Beacon { return withPass(x.groupReport(), v1.Pass_PASS_TO_NODES, target) })
	}
	for _, centre := range holders.DataCentres {
		x.send(conn, pickOne(view.far[centre], x.reachable), func() *v1.Beacon { return withPass(x.dataCentreReport(), v1.Pass_PASS_TO_GROUPS, target) })
	}
}

func withPass(message *v1.Beacon, pass v1.Pass, target string) *v1.Beacon {
	message.Pass, message.FullTarget = pass, target
	return message
}

// forward sends a datagram on to the nodes that its Pass field names. Each hop narrows
// Pass, so that forwarding ends.
func (x *Exchange) forward(conn net.PacketConn, m *v1.Beacon) {
	pass := m.Pass
	if pass == v1.Pass_PASS_NOT {
		return
	}
	view, holders := x.View(), x.Loads.Holders(m.FullTarget)
	if pass == v1.Pass_PASS_TO_GROUPS {
		m.Pass = v1.Pass_PASS_TO_NODES
		for _, group := range holders.Groups {
			x.write(conn, view.pickFromGroup(group, x.reachable), m)
		}
	}
	m.Pass = v1.Pass_PASS_NOT
	if to := view.peersNamed(holders.Nodes); len(to) > 0 {
		x.write(conn, to, m)
	}
}

// nodeReport returns the report on this node.
func (x *Exchange) nodeReport() *v1.Beacon {
	return x.compose(v1.Scope_SCOPE_NODE, x.Loads.OwnInFlight(), x.Batch.OfNode())
}

// groupReport returns the report on this node's group.
func (x *Exchange) groupReport() *v1.Beacon {
	m := x.compose(v1.Scope_SCOPE_GROUP, x.Loads.GroupInFlight(), x.Batch.OfGroup())
	m.Members = x.members(func(state nodeState) bool { return state.group == x.View().group })
	return m
}

// dataCentreReport returns the report on this node's data centre.
func (x *Exchange) dataCentreReport() *v1.Beacon {
	m := x.compose(v1.Scope_SCOPE_DATA_CENTRE, x.Loads.DataCentreInFlight(), x.Batch.OfDataCentre())
	m.Members = x.members(func(state nodeState) bool { return len(state.jobs) > 0 })
	return m
}

func (x *Exchange) compose(scope v1.Scope, inFlight map[string]choose.InFlight, batch BatchReport) *v1.Beacon {
	x.sequence++
	message := &v1.Beacon{Node: x.Node, Boot: x.Boot, Sequence: x.sequence, DataCentre: x.DataCentre, Scope: scope, Groups: uint32(x.View().groups),
		Demand: uint32(batch.Demand), Overflow: uint32(batch.Overflow), Jobs: x.Batch.Announced(), Crashes: x.Crashes.Digest()}
	if took, age := x.Store.Latency(); took > 0 {
		message.StoreTookMs, message.StoreAgeMs = uint32(max(1, took.Milliseconds())), uint32(age.Milliseconds())
	}
	message.Targets = x.targetCounts(scope, inFlight)
	message.Marks = follow.PackMarks(x.Cache.FreshnessMarks())
	message.Refreshes = follow.PackRefreshes(x.Cache.RefreshesUnderWay())
	return message
}

// noteSuspension notes that the VM was suspended. The monotonic clock stands still
// meanwhile, so that datagrams received before seem more recent than they are, and other
// nodes would take nodes that were lost meanwhile for reachable. The caller holds x.mu.
func (x *Exchange) noteSuspension() {
	if suspended := x.Suspended(); suspended > x.suspendedTotal {
		x.suspendedTotal, x.resumedAt = suspended, time.Now()
	}
}

// members returns what a report states of the reachable nodes of this data centre that
// match a filter.
func (x *Exchange) members(wanted func(nodeState) bool) []*v1.Member {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.noteSuspension()
	var out []*v1.Member
	for node, state := range x.nodes {
		if state.near && x.silence(state.lastReceived) < unreachableAfter && state.lastReceived.After(x.resumedAt) && wanted(state) {
			sinceLast := time.Since(state.lastReceived)
			m := &v1.Member{Node: node, SilentMs: uint32(sinceLast.Milliseconds())}
			if sinceLast < unreachableAfter {
				m.Jobs = state.jobs // after a pause they may have another holder
			}
			out = append(out, m)
		}
	}
	return out
}
