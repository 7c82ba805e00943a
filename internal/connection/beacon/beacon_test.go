package beacon

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/version/follow"
)

// fakeState is the state of one node: what it has in flight, and what it received.
type fakeState struct {
	mu        sync.Mutex
	own       map[string]choose.InFlight
	holders   choose.Holders
	announced []string
	jobs      map[string]string // reported holders, by job

	nodes       map[string]map[string]choose.InFlight
	groups      map[string]map[string]choose.InFlight
	centres     map[string]map[string]choose.InFlight
	claims      map[string]BatchReport // by node or data centre
	health      *objects.Health
	unreachable []string // nodes that became unreachable
}

func (f *fakeState) noteUnreachable(node string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable = append(f.unreachable, node)
}

// reportedUnreachable returns the nodes that became unreachable, in order of name.
func (f *fakeState) reportedUnreachable() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(slices.Values(f.unreachable))
}

func newFakeState(own map[string]choose.InFlight) *fakeState {
	return &fakeState{own: own, jobs: map[string]string{}, nodes: map[string]map[string]choose.InFlight{}, groups: map[string]map[string]choose.InFlight{}, centres: map[string]map[string]choose.InFlight{}, claims: map[string]BatchReport{},
		health: objects.NewHealth(time.Now, func(bool, time.Duration) {})}
}

func (f *fakeState) OwnInFlight() map[string]choose.InFlight {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.own)
}

func (f *fakeState) GroupInFlight() map[string]choose.InFlight {
	f.mu.Lock()
	defer f.mu.Unlock()
	return sumOf(append(slices.Collect(maps.Values(f.nodes)), f.own)...)
}

func (f *fakeState) DataCentreInFlight() map[string]choose.InFlight {
	here := f.GroupInFlight()
	f.mu.Lock()
	defer f.mu.Unlock()
	return sumOf(append(slices.Collect(maps.Values(f.groups)), here)...)
}

// sumOf adds up reports.
func sumOf(reports ...map[string]choose.InFlight) map[string]choose.InFlight {
	out := map[string]choose.InFlight{}
	for _, counts := range reports {
		for id, n := range counts {
			out[id] = choose.InFlight{Online: out[id].Online + n.Online, Batch: out[id].Batch + n.Batch}
		}
	}
	return out
}

func (f *fakeState) Holders(string) choose.Holders {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holders
}

// fakeBatch is fakeState as BatchWork, whose JoinGroup has nothing to drop.
type fakeBatch struct{ *fakeState }

func (fakeBatch) JoinGroup() {}

func (f *fakeState) JoinGroup(string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.nodes)
	clear(f.groups)
}

func (f *fakeState) SetNode(node string, counts map[string]choose.InFlight) bool {
	return f.set(f.nodes, node, counts)
}

func (f *fakeState) SetGroup(group string, _ int, counts map[string]choose.InFlight) bool {
	return f.set(f.groups, group, counts)
}

func (f *fakeState) SetDataCentre(name string, counts map[string]choose.InFlight) bool {
	return f.set(f.centres, name, counts)
}

func (f *fakeState) set(reports map[string]map[string]choose.InFlight, name string, counts map[string]choose.InFlight) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := !maps.Equal(reports[name], counts)
	reports[name] = counts
	return changed
}

func (f *fakeState) OfNode() BatchReport  { return BatchReport{Claim: choose.Claim{Demand: 1}} }
func (f *fakeState) OfGroup() BatchReport { return BatchReport{Claim: choose.Claim{Demand: 1}} }
func (f *fakeState) OfDataCentre() BatchReport {
	return BatchReport{Claim: choose.Claim{Demand: 2, Overflow: 1}}
}

func (f *fakeState) Announced() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.announced
}

func (f *fakeState) ReceiveGroup(string, BatchReport) {}

func (f *fakeState) ReceiveNode(node string, b BatchReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.claims[node] = b
}

func (f *fakeState) ReceiveDataCentre(name string, b BatchReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.claims[name] = b
}

func (f *fakeState) ReceiveJobs(node string, jobs []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range jobs {
		f.jobs[id] = node
	}
}

// noCrashes knows no crashed target.
type noCrashes struct{}

func (noCrashes) Digest() uint64               { return 0 }
func (noCrashes) ReceiveDigest(string, uint64) {}

// noCache has no freshness marks.
type noCache struct{}

func (noCache) FreshnessMarks() map[string]follow.FreshnessMark      { return nil }
func (noCache) ReceiveMark(string, follow.FreshnessMark) bool        { return false }
func (noCache) RefreshesUnderWay() map[string]follow.RefreshProgress { return nil }
func (noCache) NoteRefresh(string, follow.RefreshProgress) bool      { return false }

func (f *fakeState) received(name string) map[string]choose.InFlight {
	f.mu.Lock()
	defer f.mu.Unlock()
	if counts := f.centres[name]; counts != nil {
		return counts
	}
	return f.nodes[name]
}

// TestAnyNodeReportsForItsDataCentre: a node receives a report of each node of its own
// data centre, and the sum over another data centre from any node of it. Reports of
// unreachable nodes and data centres no longer count.
func TestAnyNodeReportsForItsDataCentre(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	exchanges := map[string]*Exchange{}
	start := func(node, centre string, state *fakeState, others ...Peer) (Peer, context.CancelFunc) {
		running, stop := context.WithCancel(ctx)
		x, conn := newExchange(t, node, centre, state, func() []Peer { return others })
		exchanges[node] = x
		go x.Run(running, conn)
		return Peer{Node: node, DataCentre: centre, Address: conn.LocalAddr(), Callers: true}, stop
	}
	b, a1, a2 := newFakeState(nil), newFakeState(map[string]choose.InFlight{"t": {Online: 2}}), newFakeState(map[string]choose.InFlight{"t": {Online: 1, Batch: 3}})
	peerB, _ := start("b1", "b", b)
	peer1, stop1 := start("a1", "a", a1, peerB)
	_, stop2 := start("a2", "a", a2, peer1)
	eventually(t, func() bool {
		n := b.received("a")["t"]
		return n.Online == 3 && n.Batch == 3
	})
	a2.health.RecordLatency(300 * time.Millisecond) // a1 passes on the latency of the object store
	eventually(t, func() bool {
		took, _ := b.health.Latency()
		return took == 300*time.Millisecond
	})
	is.Equal(a1.received("a2")["t"], choose.InFlight{Online: 1, Batch: 3})
	b.mu.Lock()
	is.Equal(b.claims["a"], BatchReport{Claim: choose.Claim{Demand: 2, Overflow: 1}})
	b.mu.Unlock()
	stop2()
	eventually(t, func() bool { return a1.received("a2") == nil })
	a1.mu.Lock()
	is.Equal(a1.unreachable, []string{"a2"})
	since, unreachable := exchanges["a1"].UnreachableSince("a2")
	is.True(unreachable && time.Since(since) >= unreachableAfter)
	a1.mu.Unlock()
	stop1()
	eventually(t, func() bool { return b.received("a") == nil })
}

// newExchange returns an exchange whose view has the given nodes, and its socket.
func newExchange(t *testing.T, node, centre string, state *fakeState, others func() []Peer) (*Exchange, net.PacketConn) {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newExchangeOf(node, centre, state, others), conn
}

func newExchangeOf(node, centre string, state *fakeState, others func() []Peer) *Exchange {
	return New(Options{Node: node, DataCentre: centre, Boot: time.Now().UnixMicro(), Loads: state, Cache: noCache{}, Crashes: noCrashes{}, Suspended: func() time.Duration { return 0 }, Batch: fakeBatch{state}, Store: state.health,
		View: func() *View { return NewView(node, centre, others()) }, OnBehind: func(string) {}, OnUnreachable: state.noteUnreachable})
}

// TestSocketIsClosedWhenRunReturns guards against a node that cannot listen on its address when it starts again
// at once: the socket of the one that ended was closed a moment after it.
func TestSocketIsClosedWhenRunReturns(t *testing.T) {
	is := is.New(t)
	x, conn := newExchange(t, "a1", "a", newFakeState(nil), func() []Peer { return nil })
	address := conn.LocalAddr().String()
	for range 2000 {
		ctx, stop := context.WithCancel(context.Background())
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			x.Run(ctx, conn)
		}()
		stop()
		<-stopped
		var err error
		conn, err = net.ListenPacket("udp", address)
		is.NoErr(err)
	}
	is.NoErr(conn.Close())
}

// TestHoldersAreNotifiedAtOnce: an urgent report reaches the nodes that have batch items
// without waiting for a round, in the own data centre and elsewhere, and no other node.
func TestHoldersAreNotifiedAtOnce(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	near, far, other, holder := newFakeState(nil), newFakeState(nil), newFakeState(nil), newFakeState(nil)
	start := func(node, centre string, state *fakeState, others ...Peer) (*Exchange, Peer) {
		x, conn := newExchange(t, node, centre, state, func() []Peer { return others })
		x.nearInterval, x.farInterval = time.Hour, time.Hour
		go x.Run(ctx, conn)
		return x, Peer{Node: node, DataCentre: centre, Address: conn.LocalAddr(), Callers: true}
	}
	_, nearPeer := start("a2", "a", near)
	_, holderPeer := start("b2", "b", holder)
	far.holders = choose.Holders{Nodes: []string{"b2"}} // as b1 knows of its own data centre
	_, farPeer := start("b1", "b", far, holderPeer)
	_, otherPeer := start("c1", "c", other)
	state := newFakeState(map[string]choose.InFlight{"t": {Online: 1}})
	state.holders = choose.Holders{Nodes: []string{"a2"}, DataCentres: []string{"b"}}
	x, _ := start("a1", "a", state, nearPeer, farPeer, otherPeer)
	x.NotifyHolders("t")
	eventually(t, func() bool {
		return near.received("a1") != nil && far.received("a") != nil && holder.received("a") != nil
	})
	is.Equal(near.received("a1")["t"].Online, 1)
	is.Equal(holder.received("a")["t"].Online, 1) // through b1, which knows who holds items there
	is.Equal(len(other.received("a")), 0)
}

func eventually(t *testing.T, f func() bool) {
	t.Helper()
	for range 400 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not within 4 s")
}

// freshCache has a freshness mark, and records those of others.
type freshCache struct {
	noCache
	received chan string
}

func (freshCache) FreshnessMarks() map[string]follow.FreshnessMark {
	return map[string]follow.FreshnessMark{"targets": {Complete: 7, Known: true}}
}

func (c freshCache) ReceiveMark(kind string, _ follow.FreshnessMark) bool {
	select {
	case c.received <- kind:
	default:
	}
	return false
}

// TestReportBeyondADatagramStillSaysHowFreshCopiesAre guards against nodes that learn of no change
// because the reports on what is in flight are too large to be sent. What was in flight before
// stays in force.
func TestReportBeyondADatagramStillSaysHowFreshCopiesAre(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, n *memoryNetwork) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		from, to := newFakeState(map[string]choose.InFlight{"t": {Online: 1}}), newFakeState(nil)
		receiverConn, senderConn := n.listen("a2"), n.listen("a1")
		receiver := newExchangeOf("a2", "a", to, func() []Peer { return nil })
		cache := freshCache{received: make(chan string, 1)}
		receiver.Cache = cache
		sender := newExchangeOf("a1", "a", from, func() []Peer {
			return []Peer{{Node: "a2", DataCentre: "a", Address: receiverConn.LocalAddr()}}
		})
		oversize := make(chan int, 1)
		sender.Cache = freshCache{}
		sender.OnOversize = func(bytes int) {
			select {
			case oversize <- bytes:
			default:
			}
		}
		go receiver.Run(ctx, receiverConn)
		go sender.Run(ctx, senderConn)
		eventually(t, func() bool { return to.received("a1")["t"].Online == 1 })
		from.mu.Lock()
		for i := range 5000 {
			from.own[fmt.Sprintf("target-%04d", i)] = choose.InFlight{Online: 1}
		}
		from.mu.Unlock()
		is.True(<-oversize > maxDatagram)
		<-cache.received
		for range 2 { // of a report sent since
			is.Equal(<-cache.received, "targets")
		}
		is.Equal(to.received("a1")["t"].Online, 1)
		is.Equal(len(to.received("a1")), 1)
	})
}

// TestFirstRoundKeepsWhatWasReceived guards against a new node that drops the reports which
// arrived before its own first round, and takes the targets for free until the next ones.
func TestFirstRoundKeepsWhatWasReceived(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, n *memoryNetwork) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		to := newFakeState(nil)
		senderConn, receiverConn := n.listen("a1"), n.listen("a2")
		sender := newExchangeOf("a1", "a", newFakeState(map[string]choose.InFlight{"t": {Online: 1}}), func() []Peer {
			return []Peer{{Node: "a2", DataCentre: "a", Address: receiverConn.LocalAddr()}}
		})
		go sender.Run(ctx, senderConn)
		time.Sleep(nearInterval / 2)
		go newExchangeOf("a2", "a", to, func() []Peer { return nil }).Run(ctx, receiverConn)
		time.Sleep(nearInterval * 3 / 4) // after the sender's first round, before the receiver's
		is.Equal(to.received("a1")["t"].Online, 1)
		time.Sleep(nearInterval / 2) // after the receiver's, before the sender's second
		is.Equal(to.received("a1")["t"].Online, 1)
	})
}
