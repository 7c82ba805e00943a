package beacon

import (
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/version/follow"
)

// send tells a word to nodes; it is composed only when there are any.
func (x *Exchange) send(conn net.PacketConn, to []Peer, word func() *v1.Beacon) {
	if len(to) > 0 {
		write(conn, to, word())
	}
}

func write(conn net.PacketConn, to []Peer, message *v1.Beacon) {
	data, err := proto.Marshal(message)
	if err != nil {
		return // plain fields always encode
	}
	for _, p := range to {
		_, _ = conn.WriteTo(data, p.Address) // a lost datagram is healed by the next
	}
}

// tellHolders tells those that have items at a target that a request waits for a
// slot there: the nodes of the own group, one node of each other group and one of
// each other data centre, which pass it on.
func (x *Exchange) tellHolders(conn net.PacketConn, target string) {
	view, holders := x.View(), x.Loads.Holders(target)
	x.send(conn, view.named(holders.Nodes), x.wordOfNode)
	for _, group := range holders.Groups {
		x.send(conn, view.inGroup(group, x.hears), func() *v1.Beacon { return passed(x.wordOfGroup(), v1.Pass_PASS_TO_NODES, target) })
	}
	for _, centre := range holders.DataCentres {
		x.send(conn, oneOf(view.far[centre], x.hears), func() *v1.Beacon { return passed(x.wordOfDataCentre(), v1.Pass_PASS_TO_GROUPS, target) })
	}
}

func passed(message *v1.Beacon, pass v1.Pass, target string) *v1.Beacon {
	message.Pass, message.FullTarget = pass, target
	return message
}

// passOn passes a datagram on as it asks. Each step asks for less, so that it ends.
func (x *Exchange) passOn(conn net.PacketConn, m *v1.Beacon) {
	pass := m.Pass
	if pass == v1.Pass_PASS_NOT {
		return
	}
	view, holders := x.View(), x.Loads.Holders(m.FullTarget)
	if pass == v1.Pass_PASS_TO_GROUPS {
		m.Pass = v1.Pass_PASS_TO_NODES
		for _, group := range holders.Groups {
			write(conn, view.inGroup(group, x.hears), m)
		}
	}
	m.Pass = v1.Pass_PASS_NOT
	if to := view.named(holders.Nodes); len(to) > 0 {
		write(conn, to, m)
	}
}

// wordOfNode returns what this node says of itself.
func (x *Exchange) wordOfNode() *v1.Beacon {
	return x.compose(v1.Scope_SCOPE_NODE, x.Loads.InFlight(), x.Batch.OfNode())
}

// wordOfGroup returns what this node says of its group.
func (x *Exchange) wordOfGroup() *v1.Beacon {
	m := x.compose(v1.Scope_SCOPE_GROUP, x.Loads.InFlightInGroup(), x.Batch.OfGroup())
	m.Members = x.members(func(w word) bool { return w.group == x.View().group })
	return m
}

// wordOfDataCentre returns what this node says of its data centre.
func (x *Exchange) wordOfDataCentre() *v1.Beacon {
	m := x.compose(v1.Scope_SCOPE_DATA_CENTRE, x.Loads.InFlightHere(), x.Batch.OfDataCentre())
	m.Members = x.members(func(w word) bool { return len(w.jobs) > 0 })
	return m
}

func (x *Exchange) compose(scope v1.Scope, inFlight map[string]choose.InFlight, batch BatchReport) *v1.Beacon {
	x.sequence++
	message := &v1.Beacon{Node: x.Node, Boot: x.Boot, Sequence: x.sequence, DataCentre: x.DataCentre, Scope: scope, Groups: uint32(x.View().groups),
		Demand: uint32(batch.Demand), Overflow: uint32(batch.Overflow), Jobs: x.Batch.Announced(), Crashes: x.Crashes.Digest()}
	if took, age := x.Store.Latency(); took > 0 {
		message.StoreTookMs, message.StoreAgeMs = uint32(max(1, took.Milliseconds())), uint32(age.Milliseconds())
	}
	for id, n := range inFlight {
		message.Targets = append(message.Targets, &v1.TargetCounts{Target: id, Online: uint32(n.Online), Batch: uint32(n.Batch), Apart: uint32(n.Apart)})
	}
	message.Marks = follow.PackMarks(x.Cache.AgeMarks())
	return message
}

// noteSuspension notes that the machine was suspended. What was heard before is older
// than it seems then, and others would take nodes that were lost meanwhile for alive.
// The caller holds x.mu.
func (x *Exchange) noteSuspension() {
	if slept := x.Suspended(); slept > x.slept {
		x.slept, x.woke = slept, time.Now()
	}
}

// members returns what is told of the nodes of this data centre that are heard and
// wanted.
func (x *Exchange) members(wanted func(word) bool) []*v1.Member {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.noteSuspension()
	var out []*v1.Member
	for node, w := range x.heard {
		if silent := time.Since(w.at); w.near && silent < silentAfter && w.at.After(x.woke) && wanted(w) {
			out = append(out, &v1.Member{Node: node, SilentMs: uint32(silent.Milliseconds()), Jobs: w.jobs})
		}
	}
	return out
}
