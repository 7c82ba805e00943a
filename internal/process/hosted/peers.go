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
	"github.com/marblepond/marblepond/internal/request/job"
)

// peers has the clients of the services of other nodes, by address.
type peers struct {
	sync        clients[marblepondv1connect.SyncServiceClient]
	seedSync    clients[marblepondv1connect.SyncServiceClient] // for seeds, when this node starts
	jobs        clients[marblepondv1connect.JobServiceClient]
	polls       clients[marblepondv1connect.JobServiceClient] // see job.Peers
	relay       clients[marblepondv1connect.RelayServiceClient]
	checkpoints clients[marblepondv1connect.CheckpointServiceClient]
	crashes     clients[marblepondv1connect.QuarantineServiceClient]
	backlogs    clients[marblepondv1connect.BacklogServiceClient]
}

// clients creates one client for each address and reuses it.
type clients[T any] struct {
	make func(address string) T

	mu        sync.Mutex
	byAddress map[string]T
}

// at returns the client of the node at an address.
func (c *clients[T]) at(address string) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.byAddress[address]
	if !ok {
		client = c.make(address)
		c.byAddress[address] = client
	}
	return client
}

// newClients returns clients that are created with a constructor of the generated code.
func newClients[T any](h connect.HTTPClient, options []connect.ClientOption, construct func(connect.HTTPClient, string, ...connect.ClientOption) T) clients[T] {
	return clients[T]{byAddress: map[string]T{}, make: func(address string) T { return construct(h, "http://"+address, options...) }}
}

// idleConnsPerPeer is how many idle connections to each node are kept open.
const idleConnsPerPeer = 2

// maxPeerHeadBytes bounds the head of another node's answer.
const maxPeerHeadBytes = 64 << 10

// seedDialTimeout is how long a starting node tries to connect to one seed before it tries
// the next. VMs that lost power together start within 0.3 s of each other. A seed that is not
// up yet drops the first packet of a connection, which is retransmitted only after a second.
const seedDialTimeout = 60 * time.Millisecond

// newPeers uses HTTP/1.1: if a network partition broke a connection, only the next call on it
// fails and the connection is dropped, while on a broken HTTP/2 connection every call fails
// until the failure is detected.
func newPeers(s *settings.Settings) *peers {
	dialer := dial.KeepAliveDialer(s.DialTimeout)
	h := &http.Client{Transport: dial.CheckAnswers(&http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConnsPerPeer,
		IdleConnTimeout: time.Minute, DisableCompression: true, MaxResponseHeaderBytes: maxPeerHeadBytes})}
	seedHTTP := &http.Client{Transport: dial.CheckAnswers(&http.Transport{DialContext: dial.KeepAliveDialer(min(seedDialTimeout, s.DialTimeout)).DialContext, DisableCompression: true, IdleConnTimeout: time.Second, MaxResponseHeaderBytes: maxPeerHeadBytes})}
	options := peer.ClientOptions(s.PeerKey)
	return &peers{
		sync:        newClients(h, options, marblepondv1connect.NewSyncServiceClient),
		seedSync:    newClients(seedHTTP, options, marblepondv1connect.NewSyncServiceClient),
		jobs:        newClients(h, options, marblepondv1connect.NewJobServiceClient),
		polls:       newClients(h, append(slices.Clone(options), connect.WithReadMaxBytes(job.MaxPollBytes)), marblepondv1connect.NewJobServiceClient),
		relay:       newClients(h, options, marblepondv1connect.NewRelayServiceClient),
		checkpoints: newClients(h, options, marblepondv1connect.NewCheckpointServiceClient),

		crashes:  newClients(h, options, marblepondv1connect.NewQuarantineServiceClient),
		backlogs: newClients(h, options, marblepondv1connect.NewBacklogServiceClient),
	}
}

// relay returns a client of the object store that can also reach it through other nodes; jobs
// use it.
func (n *Node) relay() *relay.Relay {
	return &relay.Relay{Direct: n.adapter.Store, StoreReachable: n.adapter.Health.Up, StoreResumed: n.storeResumed, Peers: n.reachableAddresses, Client: n.peers.relay.at,
		OnRelayed: func(kind, name, address string) {
			n.recorder.Record(timeline.CallRelayed, name, kind, "", field("through", address))
			n.metrics.Counter("store_calls_relayed").Inc(1)
		}}
}

// reachableAddresses returns the addresses of the reachable nodes.
func (n *Node) reachableAddresses() []string {
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

// Poll implements job.Peers.
func (n *Node) Poll(address string) marblepondv1connect.JobServiceClient {
	return n.peers.polls.at(address)
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

// maxJoinTime is how long after its start a node may count as not joined. Within this time
// many nodes that start together have discovered each other.
const maxJoinTime = 5 * time.Second

// joined reports whether this node and the others of its data centre know of each other: its
// registration is in the list that they read, and one of them is reachable. Before that, no
// other node preempts items for this node's requests, and this node does not know which nodes
// could. A node also counts as joined if no other node is known or configured, and once it
// has run for maxJoinTime.
func (n *Node) joined() bool {
	if time.Since(n.started) > maxJoinTime {
		return true
	}
	nodes := n.registered()
	if nodes[n.settings.NodeID].Boot != n.boot {
		return len(n.peerAddresses()) == 0
	}
	return n.view.Load().AloneInDataCentre() || len(n.beacon.ReachableInDataCentre()) > 0
}
