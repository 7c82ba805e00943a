package hosted

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/dial"
	"github.com/marblepond/marblepond/internal/connection/peer"
	"github.com/marblepond/marblepond/internal/connection/relay"
	"github.com/marblepond/marblepond/internal/process/settings"
	"github.com/marblepond/marblepond/internal/process/timeline"
)

// peers hands out clients of other nodes.
type peers struct {
	sync  clients[marblepondv1connect.SyncServiceClient]
	greet clients[marblepondv1connect.SyncServiceClient] // seeds, at the start
	jobs  clients[marblepondv1connect.JobServiceClient]
	relay clients[marblepondv1connect.RelayServiceClient]
	saves clients[marblepondv1connect.CheckpointServiceClient]
	// crashes reaches what others know of crashed targets.
	crashes  clients[marblepondv1connect.QuarantineServiceClient]
	backlogs clients[marblepondv1connect.BacklogServiceClient]
}

// clients keeps one client for each address.
type clients[T any] struct {
	make func(address string) T

	mu   sync.Mutex
	made map[string]T
}

// at returns the client of the node at an address.
func (c *clients[T]) at(address string) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.made[address]
	if !ok {
		client = c.make(address)
		c.made[address] = client
	}
	return client
}

// newClients returns clients that a constructor of generated code makes.
func newClients[T any](h connect.HTTPClient, options []connect.ClientOption, construct func(connect.HTTPClient, string, ...connect.ClientOption) T) clients[T] {
	return clients[T]{made: map[string]T{}, make: func(address string) T { return construct(h, "http://"+address, options...) }}
}

// peerConns is how many idle connections are kept to each node.
const peerConns = 2

// greetDial is how long a starting node tries to connect to one seed before it asks the
// next. Machines that lost power together start within 0.3 s of each other, and a seed that
// is still dark drops the first packet of a connection, which is sent again only after a
// second.
const greetDial = 60 * time.Millisecond

// newPeers uses HTTP/1.1: a connection that a cut has left dead is dropped with
// the call that met it, while one of HTTP/2 would fail every call until it is
// found dead.
func newPeers(s *settings.Settings) *peers {
	dialer := dial.KeepAliveDialer(s.DialTimeout)
	h := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: peerConns,
		IdleConnTimeout: time.Minute, DisableCompression: true}}
	greeter := &http.Client{Transport: &http.Transport{DialContext: dial.KeepAliveDialer(min(greetDial, s.DialTimeout)).DialContext, DisableCompression: true, IdleConnTimeout: time.Second}}
	options := peer.ClientOptions(s.PeerKey)
	return &peers{
		sync:  newClients(h, options, marblepondv1connect.NewSyncServiceClient),
		greet: newClients(greeter, options, marblepondv1connect.NewSyncServiceClient),
		jobs:  newClients(h, options, marblepondv1connect.NewJobServiceClient),
		relay: newClients(h, options, marblepondv1connect.NewRelayServiceClient),
		saves: newClients(h, options, marblepondv1connect.NewCheckpointServiceClient),

		crashes:  newClients(h, options, marblepondv1connect.NewQuarantineServiceClient),
		backlogs: newClients(h, options, marblepondv1connect.NewBacklogServiceClient),
	}
}

// relay returns the object store as jobs reach it: also through other nodes.
func (n *Node) relay() *relay.Relay {
	return &relay.Relay{Direct: n.adapter.Store, StoreReachable: n.adapter.Health.Up, Peers: n.heardAddresses, Client: n.peers.relay.at,
		OnRelayed: func(kind, name, address string) {
			n.recorder.Record(timeline.CallRelayed, name, kind, "", field("through", address))
			n.metrics.Counter("store_calls_relayed").Inc(1)
		}}
}

// heardAddresses returns the addresses of the nodes that are heard now.
func (n *Node) heardAddresses() []string {
	nodes := n.registered()
	var out []string
	for _, name := range n.beacon.ReachableNodes() {
		if r, ok := nodes[name]; ok {
			out = append(out, r.Address)
		}
	}
	return out
}

// Job implements job.Peers.
func (n *Node) Job(address string) marblepondv1connect.JobServiceClient {
	return n.peers.jobs.at(address)
}

// peerAddresses returns the addresses of the other nodes: those registered,
// and the seeds until the first registration is known.
func (n *Node) peerAddresses() []string {
	seen := map[string]bool{"": true, n.settings.PeerAdvertise: true}
	var out []string
	for _, r := range n.registered() {
		if !seen[r.Address] {
			seen[r.Address] = true
			out = append(out, r.Address)
		}
	}
	if len(out) > 0 {
		return out
	}
	return slices.DeleteFunc(slices.Clone(*n.seeds.Load()), func(a string) bool { return a == n.settings.PeerAdvertise })
}

// joinTime is how long after its start a node may take others for not knowing it yet. Many
// nodes that start together have heard of each other within it.
const joinTime = 5 * time.Second

// joined reports whether the nodes of this data centre know of each other: this node is
// registered where they read it, and one of them is heard. Before that nobody makes room
// for its requests at targets, and it does not know that anybody could. It is taken for so
// when it has run for joinTime, and where no other node is known or configured.
func (n *Node) joined() bool {
	if time.Since(n.started) > joinTime {
		return true
	}
	nodes := n.registered()
	if nodes[n.settings.NodeID].Boot != n.boot {
		return len(n.peerAddresses()) == 0
	}
	return n.view.Load().AloneInDataCentre() || len(n.beacon.ReachableInDataCentre()) > 0
}
