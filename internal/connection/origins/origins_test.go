package origins

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/request/continuation"
)

const testWindow = 10 * time.Second

var (
	testStream = Stream{Workspace: "w", Service: "s", ID: "first", Window: testWindow}
	onlyV1     = map[string]map[continuation.Version]int{"s": {"v1": 2}}
	bothV1V2   = map[string]map[continuation.Version]int{"s": {"v1": 1, "v2": 1}}
)

// network delivers messages between exchanges, unless a node is down or drops them.
type network struct {
	mu    sync.Mutex
	nodes map[string]*Exchange
	down  map[string]bool
	drop  int // how many of the next messages are lost
	sent  int
}

type sender struct {
	net  *network
	from string
}

func (s sender) SendStreamMessage(node string, m *v1.StreamMessage) { s.net.deliver(s.from, node, m) }

func (n *network) deliver(from, to string, m *v1.StreamMessage) {
	n.mu.Lock()
	n.sent++
	x := n.nodes[to]
	lost := n.drop > 0 || n.down[to] || n.down[from] || x == nil
	n.drop = max(0, n.drop-1)
	n.mu.Unlock()
	if !lost {
		x.Receive(m, func(answer *v1.StreamMessage) { n.deliver(to, from, answer) })
	}
}

// newNetwork returns exchanges of nodes n0, n1 and n2 in one data centre that have seen a list
// for the time given.
func newNetwork(listed map[string]map[continuation.Version]int, seen time.Duration) *network {
	net := &network{nodes: map[string]*Exchange{}, down: map[string]bool{}}
	start := time.Now().Add(-seen)
	for _, name := range []string{"n0", "n1", "n2"} {
		fleet := &continuation.Fleet{Self: name, DataCentre: "dc", Nodes: map[string][]string{}, Reachable: func(string) bool { return true }}
		for _, other := range []string{"n0", "n1", "n2"} {
			if other != name {
				fleet.Nodes["dc"] = append(fleet.Nodes["dc"], other)
			}
		}
		now := start
		clock := func() time.Time {
			if now.IsZero() {
				return time.Now()
			}
			return now
		}
		x := New(Options{Node: name, Now: clock, Timing: continuation.TimingOf(2 * time.Second), Network: sender{net, name},
			Fleet: func() *continuation.Fleet { return fleet }, FleetKnown: func() bool { return true }, ListVerified: clock, Metrics: tally.NoopScope})
		x.SetListed(listed)
		for ; now.Before(start.Add(seen)); now = now.Add(time.Second) {
			x.Tick()
		}
		now = time.Time{}
		net.nodes[name] = x
	}
	return net
}

func versionOf(found Found) string {
	v, known := found.Origin.Version()
	if !known {
		return "unknown"
	}
	return string(v)
}

// TestRecordOutlivesItsNode guards against a stream whose version is lost with the node that
// served it: once Record has returned, any other node finds the version.
func TestRecordOutlivesItsNode(t *testing.T) {
	is := is.New(t)
	net := newNetwork(bothV1V2, time.Minute)
	is.True(!net.nodes["n0"].Derivable("s", testWindow))
	net.nodes["n0"].Record(testStream, "v2")
	net.down["n0"] = true
	for _, node := range []string{"n1", "n2"} {
		found := net.nodes[node].Find(context.Background(), testStream, 200*time.Millisecond)
		is.Equal(versionOf(found), "v2")
		other := testStream
		other.Workspace = "other"
		is.Equal(versionOf(net.nodes[node].Find(context.Background(), other, 100*time.Millisecond)), "unknown")
	}
}

// TestLostQueryIsRepeated guards against a stream that is refused because a datagram was lost.
func TestLostQueryIsRepeated(t *testing.T) {
	is := is.New(t)
	net := newNetwork(bothV1V2, time.Minute)
	net.down["n1"] = true // the record reaches n2 only
	net.nodes["n0"].Record(testStream, "v1")
	net.down["n1"], net.down["n0"] = false, true
	net.drop = 2
	found := net.nodes["n1"].Find(context.Background(), testStream, 500*time.Millisecond)
	is.Equal(versionOf(found), "v1")
	is.Equal(found.Source, FromPeer)
}

// TestNobodyKnows guards against a guess, and against a wait after all nodes have replied. A
// node that does not reply is waited for as long as the caller allows.
func TestNobodyKnows(t *testing.T) {
	is := is.New(t)
	net := newNetwork(bothV1V2, time.Minute)
	asked := time.Now()
	found := net.nodes["n0"].Find(context.Background(), testStream, time.Second)
	is.Equal(versionOf(found), "unknown")
	is.True(found.Origin.Begun())
	is.Equal([]int{found.Asked, found.Replied}, []int{2, 2})
	is.True(time.Since(asked) < 500*time.Millisecond)

	net.down["n1"] = true
	asked = time.Now()
	found = net.nodes["n0"].Find(context.Background(), testStream, 120*time.Millisecond)
	is.Equal([]int{found.Asked, found.Replied}, []int{2, 1})
	is.True(time.Since(asked) >= 120*time.Millisecond)

	net.down["n1"] = false
	unnamed := testStream
	unnamed.ID = ""
	found = net.nodes["n0"].Find(context.Background(), unnamed, time.Second)
	is.Equal(versionOf(found), "unknown")
	is.Equal([]int{found.Asked, found.Replied}, []int{2, 2})
}

// TestOneVersionAloneSendsNothing guards against messages in a fleet whose targets have one
// version.
func TestOneVersionAloneSendsNothing(t *testing.T) {
	is := is.New(t)
	net := newNetwork(onlyV1, time.Minute)
	is.True(net.nodes["n0"].Derivable("s", testWindow))
	found := net.nodes["n1"].Find(context.Background(), testStream, time.Second)
	is.Equal(versionOf(found), "v1")
	is.Equal(found.Source, FromHistory)
	is.Equal(net.sent, 0)
	is.Equal(net.nodes["n0"].records.Len(), 0)
}

// TestStartingNodeLearnsTheHistory guards against a node that refuses the streams of lost nodes
// for a whole window after its start although targets have one version alone: it takes the
// history of another node, and until then asks.
func TestStartingNodeLearnsTheHistory(t *testing.T) {
	is := is.New(t)
	net := newNetwork(onlyV1, time.Minute)
	started := newNetwork(onlyV1, 0).nodes["n0"]
	started.Network = sender{net, "n0"}
	net.nodes["n0"] = started
	is.True(started.WantsHistory())
	found := started.Find(context.Background(), testStream, time.Second)
	is.Equal(versionOf(found), "v1")
	is.Equal(found.Source, FromPeerHistory)
	unnamed := testStream
	unnamed.ID = ""
	is.Equal(versionOf(started.Find(context.Background(), unnamed, time.Second)), "v1") // by the history alone
	is.True(!started.Derivable("s", testWindow))                                        // its streams are recorded
	started.AddHistory(net.nodes["n1"].History())
	is.True(!started.WantsHistory())
	is.True(started.Derivable("s", testWindow))
	is.Equal(started.Find(context.Background(), testStream, time.Second).Source, FromHistory)
}

// Guards against messages where each node knows the version at which streams begin: in a fleet with
// one version, at a node that has learned the history after its start, and in a release.
func TestVersionsThatAllNodesKnowAreNotAnnounced(t *testing.T) {
	is := is.New(t)
	for _, listed := range []map[string]map[continuation.Version]int{onlyV1, bothV1V2} {
		net := newNetwork(listed, time.Minute)
		net.nodes["n0"].AnnounceUse("s", "v1")
		net.nodes["n0"].AwaitAnnounced(context.Background(), "s", "v1")
		started := newNetwork(listed, 0).nodes["n0"]
		started.Network = sender{net, "n0"}
		net.nodes["n0"] = started
		started.AddHistory(net.nodes["n1"].History())
		started.AwaitAnnounced(context.Background(), "s", "v1")
		is.Equal(net.sent, 0)
	}
}

// Guards against a stream that continues at another version: another node, whose list is older, has
// to know of the version once AwaitAnnounced has returned, although messages are lost. A node that is
// down holds up the first stream for a moment only.
func TestNodesKnowAnAnnouncedVersion(t *testing.T) {
	is := is.New(t)
	net := newNetwork(onlyV1, time.Minute)
	n0 := net.nodes["n0"]
	n0.SetListed(map[string]map[continuation.Version]int{"s": {"v2": 2}}) // v1 was replaced at once
	is.Equal(versionOf(net.nodes["n1"].Find(context.Background(), testStream, time.Millisecond)), "v1")
	net.drop = 2
	n0.AnnounceUse("s", "v2")
	n0.AwaitAnnounced(context.Background(), "s", "v2")
	for _, node := range []string{"n1", "n2"} {
		is.Equal(versionOf(net.nodes[node].Find(context.Background(), testStream, time.Millisecond)), "unknown")
		is.Equal(versionOf(net.nodes[node].Find(context.Background(), Stream{Service: "other"}, time.Millisecond)), "unknown")
	}

	net = newNetwork(onlyV1, time.Minute)
	n0 = net.nodes["n0"]
	n0.SetListed(map[string]map[continuation.Version]int{"s": {"v2": 2}})
	net.down["n1"] = true
	began := time.Now()
	n0.AwaitAnnounced(context.Background(), "s", "v2")
	waited := time.Since(began)
	is.True(waited >= announceWait)
	is.True(waited < 10*announceWait)
	began = time.Now()
	n0.AwaitAnnounced(context.Background(), "s", "v2")
	is.True(time.Since(began) < announceWait)
}

// Guards against a stream that begins before others are told, at a node that has just started: the
// only version that it lists may be new, and it may not know the other nodes yet.
func TestStartedNodeAnnouncesTheOnlyVersion(t *testing.T) {
	is := is.New(t)
	net := newNetwork(onlyV1, time.Minute)
	started := newNetwork(map[string]map[continuation.Version]int{"s": {"v2": 2}}, 0).nodes["n0"]
	known, fleet := false, started.Fleet()
	started.Network, started.FleetKnown = sender{net, "n0"}, func() bool { return known }
	started.Fleet = func() *continuation.Fleet {
		if known {
			return fleet
		}
		return &continuation.Fleet{Self: "n0", DataCentre: "dc"}
	}
	net.nodes["n0"] = started
	ctx, cancel := context.WithTimeout(context.Background(), 2*resendInterval)
	defer cancel()
	started.AwaitAnnounced(ctx, "s", "v2")
	is.True(ctx.Err() != nil) // it has waited
	known = true
	started.AwaitAnnounced(context.Background(), "s", "v2")
	is.Equal(versionOf(net.nodes["n1"].Find(context.Background(), testStream, time.Millisecond)), "unknown")
}

// Guards against a node that begins streams only at a new version after its start, because the list
// of targets arrives in parts, and the first part has targets of that version alone.
func TestFirstPartOfTheListDoesNotShowTheVersionInUse(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	verified := time.Time{} // the list is not complete
	fleet := &continuation.Fleet{Self: "n", DataCentre: "dc", Nodes: map[string][]string{}}
	x := New(Options{Node: "n", Now: func() time.Time { return now }, Timing: continuation.TimingOf(2 * time.Second), Network: sender{&network{}, "n"},
		Fleet: func() *continuation.Fleet { return fleet }, ListVerified: func() time.Time { return verified }, Metrics: tally.NoopScope})
	x.SetListed(map[string]map[continuation.Version]int{"s": {"v2": 1}})
	is.True(x.InUse("s", "v2"))
	verified = now
	x.SetListed(map[string]map[continuation.Version]int{"s": {"v1": 6, "v2": 1}})
	is.True(!x.InUse("s", "v2"))
}
