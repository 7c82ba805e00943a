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

// nodeRecord is what a node registers.
type nodeRecord struct {
	Boot       int64  // Unix microseconds at process start
	Address    string // IP:port of the services for other nodes
	DataCentre string
	Beacon     string // IP:port where it hears other nodes' datagrams
	Callers    bool   // it serves callers and holds jobs
	Lending    string `json:",omitempty"` // IP:port where it is asked for tokens of allowances
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
		n.pool.SetPosition(n.shareOf(nodes))
		n.lenders.Store(n.lendersOf(nodes))
	}
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

// registerPause is the time between attempts to register.
const registerPause = 500 * time.Millisecond

// register writes the node's own entry until the store has it.
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
		n.nodeList.Load().Trigger()
	}
}

// anyRevision makes a write unconditional. Only the node itself writes its entry.
const anyRevision = 0
