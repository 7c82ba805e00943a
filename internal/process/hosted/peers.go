package hosted

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/beacon"
	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/dial"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/connection/peer"
	"github.com/marblepond/marblepond/internal/connection/relay"
	"github.com/marblepond/marblepond/internal/process/rendezvous"
	"github.com/marblepond/marblepond/internal/process/settings"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/request/job"
)

// kindNodes is the kind of objects under which nodes register themselves.
const kindNodes = "marblepond-nodes"

// nodeRecord is what a node registers.
type nodeRecord struct {
	Boot       int64  // Unix microseconds at process start
	Address    string // IP:port of the services for other nodes
	DataCentre string
	Beacon     string // IP:port where it hears other nodes' datagrams
	Callers    bool   // it serves callers and holds jobs
}

// decodeNode decodes a registration. One that can't be used is refused whole.
func decodeNode(value []byte) (nodeRecord, error) {
	var r nodeRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return nodeRecord{}, err
	}
	if _, err := netip.ParseAddrPort(r.Address); err != nil {
		return nodeRecord{}, err
	}
	if r.DataCentre == "" || r.Boot <= 0 {
		return nodeRecord{}, errors.New("a registration without data centre or start")
	}
	return r, nil
}

// peers hands out clients of other nodes.
type peers struct {
	sync  clients[marblepondv1connect.SyncServiceClient]
	jobs  clients[marblepondv1connect.JobServiceClient]
	relay clients[marblepondv1connect.RelayServiceClient]
	saves clients[marblepondv1connect.CheckpointServiceClient]
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

// newPeers uses HTTP/1.1: a connection that a cut has left dead is dropped with
// the call that met it, while one of HTTP/2 would fail every call until it is
// found dead.
func newPeers(s *settings.Settings) *peers {
	dialer := dial.Plain(s.DialTimeout)
	h := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: peerConns,
		IdleConnTimeout: time.Minute, DisableCompression: true}}
	options := peer.ClientOptions(s.PeerKey)
	return &peers{
		sync:  newClients(h, options, marblepondv1connect.NewSyncServiceClient),
		jobs:  newClients(h, options, marblepondv1connect.NewJobServiceClient),
		relay: newClients(h, options, marblepondv1connect.NewRelayServiceClient),
		saves: newClients(h, options, marblepondv1connect.NewCheckpointServiceClient),
	}
}

// relay returns the object store as jobs reach it: also through other nodes.
func (n *Node) relay() *relay.Relay {
	return &relay.Relay{Own: n.adapter.Store, Reached: n.adapter.Health.Up, Peers: n.heardAddresses, Client: n.peers.relay.at,
		Relayed: func(kind, name, address string) {
			n.recorder.Record(timeline.CallRelayed, name, kind, "", field("through", address))
			n.metrics.Counter("store_calls_relayed").Inc(1)
		}}
}

// heardAddresses returns the addresses of the nodes that are heard now.
func (n *Node) heardAddresses() []string {
	nodes := n.registered()
	var out []string
	for _, name := range n.beacon.Heard() {
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

// registered returns the nodes that registered themselves, by name.
func (n *Node) registered() map[string]nodeRecord {
	if known := n.nodes.Load(); known != nil {
		return *known
	}
	return nil
}

// nodesChanged takes the registrations of some nodes. Only these are decoded, and
// addresses are resolved once for each list, if one has changed: 255 nodes that
// start together hear of all others in a few.
func (n *Node) nodesChanged(news []objects.Object) {
	n.listing.Lock()
	defer n.listing.Unlock()
	nodes := maps.Clone(n.registered())
	if nodes == nil {
		nodes = map[string]nodeRecord{}
	}
	moved := false // a node is heard elsewhere, or is new or gone
	for _, changed := range news {
		old, known := nodes[changed.Name]
		delete(nodes, changed.Name)
		o, exists := n.cache.Get(kindNodes, changed.Name)
		if !exists {
			moved = moved || known
			continue
		}
		r, err := decodeNode(o.Value)
		if err != nil {
			n.recorder.Record(timeline.ObjectRejected, "", o.Name, err.Error())
			n.metrics.Counter("objects_rejected").Inc(1)
			moved = moved || known
			continue
		}
		nodes[o.Name] = r
		old.Boot = r.Boot
		moved = moved || old != r
	}
	n.nodes.Store(&nodes)
	if moved {
		n.view.Store(n.viewOf(nodes))
	}
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

// viewOf returns how this node sees the nodes that registered themselves.
func (n *Node) viewOf(nodes map[string]nodeRecord) *beacon.View {
	var others []beacon.Peer
	for name, r := range nodes {
		if name == n.settings.NodeID || r.Beacon == "" {
			continue
		}
		address, err := net.ResolveUDPAddr("udp", r.Beacon)
		if err != nil {
			n.recorder.Record(timeline.ObjectRejected, "", name, err.Error())
			continue
		}
		others = append(others, beacon.Peer{Node: name, DataCentre: r.DataCentre, Address: address, Callers: r.Callers})
	}
	return beacon.NewView(n.settings.NodeID, n.settings.DataCentre, others)
}

// Holders implements job.Peers.
func (n *Node) Holders() []string {
	var out []string
	for name, r := range n.registered() {
		if r.Callers && name != n.settings.NodeID {
			out = append(out, r.Address)
		}
	}
	return out
}

// nearHolders returns the other nodes of this data centre that are heard and
// hold jobs.
func (n *Node) nearHolders() []string {
	nodes := n.registered()
	var out []string
	for _, name := range n.beacon.HeardNear() {
		if nodes[name].Callers {
			out = append(out, name)
		}
	}
	return out
}

// Locator implements job.Peers.
func (n *Node) Locator(job string) string {
	first := rendezvous.First(job, append(n.nearHolders(), n.settings.NodeID))
	if first == n.settings.NodeID {
		return ""
	}
	return n.registered()[first].Address
}

const (
	// mostAdoptRank bounds the places in the order in which nodes take over a job.
	mostAdoptRank = 5
	// sweepersHere is how many nodes of a data centre look for lost jobs: as many as
	// have a place of their own in that order. Each look lists the heads of all jobs,
	// which costs a call a page, and by 250 nodes brings nothing that 30 do not.
	sweepersHere = mostAdoptRank + 1
)

// sweepers returns the nodes of this data centre that look for lost jobs.
func (n *Node) sweepers() []string {
	return rendezvous.Rank(job.KindHeads, append(n.nearHolders(), n.settings.NodeID), sweepersHere)
}

// Sweeps implements job.Peers.
func (n *Node) Sweeps() bool { return slices.Contains(n.sweepers(), n.settings.NodeID) }

// AdoptRank implements job.Peers.
func (n *Node) AdoptRank(job string) int {
	sweepers := n.sweepers()
	if !slices.Contains(sweepers, n.settings.NodeID) {
		return mostAdoptRank
	}
	centre := rendezvous.Place(job, n.settings.DataCentre, n.beacon.HeardDataCentres(), mostAdoptRank)
	return min(mostAdoptRank, centre+rendezvous.Place(job, n.settings.NodeID, sweepers, mostAdoptRank))
}

// Checkpoints implements job.Peers.
func (n *Node) Checkpoints(address string) marblepondv1connect.CheckpointServiceClient {
	return n.peers.saves.at(address)
}

// SilentSince implements job.Peers.
func (n *Node) SilentSince(node string) (time.Time, bool) { return n.beacon.SilentSince(node) }

// keepersOfJob is how many nodes keep a job's checkpoint: one in the data centre
// of its holder, which is near, and one elsewhere, for the loss of a disk or of
// the data centre.
const keepersOfJob = 2

// Keepers implements job.Peers. Nodes that serve no callers come first: they have
// a disk, and a start of the whole deployment finds the checkpoints there. Without
// one in this data centre or another, other nodes of this one serve: that covers
// the loss of one node.
func (n *Node) Keepers(job string, present []string, usable func(address string) bool) []string {
	nodes := n.registered()
	near := n.beacon.HeardNear()
	centres := n.beacon.HeardDataCentres()
	var disk, far, memory []string // names, by preference
	for name, r := range nodes {
		// A present keeper stays until it fails: each change is written to the head.
		kept := slices.Contains(present, r.Address)
		here := r.DataCentre == n.settings.DataCentre
		switch {
		case name == n.settings.NodeID || !usable(r.Address):
		case here && !kept && !slices.Contains(near, name):
		case here && !r.Callers:
			disk = append(disk, name)
		case here:
			memory = append(memory, name)
		case !r.Callers && (kept || slices.Contains(centres, r.DataCentre)):
			far = append(far, name)
		}
	}
	var out []string
	for _, names := range [][]string{disk, far, memory} {
		if len(names) > 0 && len(out) < keepersOfJob {
			out = append(out, keeperOf(job, names, nodes, present))
		}
	}
	return out
}

// keeperOf returns the address of one of the nodes named: the present keeper
// among them, or the first in an order of the job's own.
func keeperOf(job string, names []string, nodes map[string]nodeRecord, present []string) string {
	for _, name := range names {
		if slices.Contains(present, nodes[name].Address) {
			return nodes[name].Address
		}
	}
	return nodes[rendezvous.First(job, names)].Address
}

// registerPause is the time between attempts to register.
const registerPause = 500 * time.Millisecond

// register writes the node's own entry until the store has it.
func (n *Node) register(ctx context.Context) {
	value, err := json.Marshal(nodeRecord{Boot: n.boot, Address: n.settings.PeerAdvertise, DataCentre: n.settings.DataCentre, Beacon: n.settings.BeaconListen,
		Callers: n.settings.CallerListen != ""})
	if err != nil {
		n.recorder.Record(timeline.ObjectRejected, "", n.settings.NodeID, err.Error())
		return
	}
	for {
		_, err := n.adapter.Store.Create(ctx, callbudget.Status, kindNodes, n.settings.NodeID, value)
		if errors.Is(err, objects.ErrConflict) {
			_, err = n.adapter.Store.Update(ctx, callbudget.Status, kindNodes, n.settings.NodeID, anyRevision, value)
		}
		if err == nil {
			n.showRegistration(ctx)
			return
		}
		if !wait.For(ctx, registerPause) {
			return
		}
	}
}

const (
	// showPace is the time for each node that is known, and showLongest the longest,
	// within which a starting node has its registration seen. Of many that start at
	// once the first ones ask the store, and the others are seen with them or with
	// the next refresh of the list.
	showPace    = 16 * time.Millisecond
	showLongest = nodesAge
)

// showRegistration has the copy of the list of nodes refreshed, which others then
// fetch, unless it has this node's entry by then.
func (n *Node) showRegistration(ctx context.Context) {
	pause := rand.N(min(showLongest, time.Duration(1+len(n.registered()))*showPace))
	forAll := n.settings.FirstStart && n.isSeed()
	switch {
	case forAll:
		pause = firstShown
	case n.settings.FirstStart:
		pause = firstGreeting + rand.N(showLongest)
	}
	if wait.For(ctx, pause) && (forAll || n.registered()[n.settings.NodeID].Boot != n.boot) {
		n.nodeList.Load().Kick()
	}
}

// anyRevision makes a write unconditional. Only the node itself writes its entry.
const anyRevision = 0
