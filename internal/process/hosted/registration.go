package hosted

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/marblepond/marblepond/internal/connection/beacon"
	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/process/wait"
)

// kindNodes is the kind of objects under which nodes register themselves.
const kindNodes = "marblepond-nodes"

// nodeRecord is the registration of a node; it is stored as JSON.
type nodeRecord struct {
	Boot       int64  // Unix microseconds at process start
	Address    string // IP:port of the services for other nodes
	DataCentre string
	Beacon     string // IP:port where it receives other nodes' datagrams
	Callers    bool   // whether it serves callers and holds jobs
	Lending    string `json:",omitempty"` // IP:port where it receives requests to lend tokens of allowances
}

// decodeNode decodes and validates a registration.
func decodeNode(value []byte) (nodeRecord, error) {
	var r nodeRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return nodeRecord{}, err
	}
	if _, err := netip.ParseAddrPort(r.Address); err != nil {
		return nodeRecord{}, err
	}
	if r.DataCentre == "" || r.Boot <= 0 {
		return nodeRecord{}, errors.New("registration lacks a data centre or a start time")
	}
	return r, nil
}

// registered returns the nodes that registered themselves, by name.
func (n *Node) registered() map[string]nodeRecord {
	if known := n.nodes.Load(); known != nil {
		return *known
	}
	return nil
}

// nodesChanged updates the registrations of the nodes given. To limit the cost when many
// nodes start together (255 nodes receive the registrations of all others in a few lists),
// it decodes only these, and resolves addresses once for each list and only if the view of
// the nodes has changed.
func (n *Node) nodesChanged(changes []objects.Object) {
	n.listMu.Lock()
	defer n.listMu.Unlock()
	nodes := maps.Clone(n.registered())
	if nodes == nil {
		nodes = map[string]nodeRecord{}
	}
	viewChanged := false // a node is new or removed, or its record differs in more than Boot
	for _, changed := range changes {
		old, known := nodes[changed.Name]
		delete(nodes, changed.Name)
		o, exists := n.cache.Get(kindNodes, changed.Name)
		if !exists {
			viewChanged = viewChanged || known
			continue
		}
		r, err := decodeNode(o.Value)
		if err != nil {
			n.recorder.Record(timeline.ObjectRejected, "", o.Name, err.Error())
			n.metrics.Counter("objects_rejected").Inc(1)
			viewChanged = viewChanged || known
			continue
		}
		nodes[o.Name] = r
		old.Boot = r.Boot
		viewChanged = viewChanged || old != r
	}
	n.nodes.Store(&nodes)
	if viewChanged {
		n.view.Store(n.viewOf(nodes))
		n.pool.SetPosition(n.warmUpPosition(nodes))
		n.lenders.Store(n.lendersOf(nodes))
		n.originFleet.Store(n.originFleetOf(n.view.Load()))
		n.updateSharedView()
	}
}

// viewOf returns the nodes to exchange datagrams with.
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

// registerRetryInterval is the time between attempts to register.
const registerRetryInterval = 500 * time.Millisecond

// register writes this node's registration to the object store and retries until it succeeds.
func (n *Node) register(ctx context.Context) {
	value, err := json.Marshal(nodeRecord{Boot: n.boot, Address: n.settings.PeerAdvertise, DataCentre: n.settings.DataCentre, Beacon: n.settings.BeaconListen,
		Callers: n.settings.CallerListen != "", Lending: n.settings.LendingListen})
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
			n.refreshNodeList(ctx)
			return
		}
		if !wait.For(ctx, registerRetryInterval) {
			return
		}
	}
}

const (
	// A starting node refreshes the cached list of nodes after a random delay, so that other
	// nodes learn its registration. The delay is at most refreshDelayPerNode for each known
	// node, and at most maxRefreshDelay. When many nodes start at once, the first ones read
	// the object store, and the registrations of the others come with these reads or with
	// the next regular refresh.
	refreshDelayPerNode = 16 * time.Millisecond
	maxRefreshDelay     = nodeListMaxAge
)

// refreshNodeList refreshes the cached list of nodes, which other nodes then copy, unless the
// list already has this node's registration.
func (n *Node) refreshNodeList(ctx context.Context) {
	pause := rand.N(min(maxRefreshDelay, time.Duration(1+len(n.registered()))*refreshDelayPerNode))
	refreshForAll := n.settings.FirstStart && n.isSeed()
	switch {
	case refreshForAll:
		pause = seedListDelay
	case n.settings.FirstStart:
		pause = firstSyncDelay + rand.N(maxRefreshDelay)
	}
	if wait.For(ctx, pause) && (refreshForAll || n.registered()[n.settings.NodeID].Boot != n.boot) {
		n.nodeRefresher.Load().Trigger()
	}
}

// anyRevision makes an update unconditional. A registration has no other writer than its node.
const anyRevision = 0
