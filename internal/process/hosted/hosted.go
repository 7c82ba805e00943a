// Package hosted assembles a node that runs on somebody else's platform: its
// durable state lies in an object store, its targets and routes are listed
// there, and an adapter translates. The adapter is given as Options.
package hosted

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/beacon"
	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/connection/peer"
	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/process/settings"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/forward"
	"github.com/marblepond/marblepond/internal/request/job"
	"github.com/marblepond/marblepond/internal/version/discovery"
	"github.com/marblepond/marblepond/internal/version/follow"
	"github.com/marblepond/marblepond/internal/version/route"
)

// Store is the object store as the node's duties need it.
type Store interface {
	follow.Store
	job.Store
	SetStatus(ctx context.Context, class callbudget.Class, kind, name string, status []byte) error
}

// Kinds names the kinds of objects that the platform defines.
type Kinds struct {
	Config      string // one object: the routing configuration
	Targets     string // one object a target
	Retirements string // one object for each VM that is to be emptied
}

// Adapter is what translates between the node and its platform.
type Adapter struct {
	Store  Store
	Health *objects.Health
	Sender target.Sender
	Kinds  Kinds
	// ConfigName is the object of Kinds.Config that is in force.
	ConfigName   string
	DecodeConfig func(value []byte) (*route.Table, error)
	DecodeTarget func(id string, value []byte) (discovery.Record, error)
	// RetirementStatus encodes what is said of a VM that is to be emptied.
	RetirementStatus func(done bool) []byte
	// Callers serves the callers' interface; Ready answers whether the node
	// takes new connections.
	Callers func(n *Node) http.Handler
	Ready   func(n *Node) http.Handler
}

// Node is one hosted process.
type Node struct {
	settings *settings.Settings
	seeds    atomic.Pointer[[]string] // of the newest settings file
	adapter  Adapter
	boot     int64 // Unix microseconds at process start

	recorder *timeline.Recorder
	checker  *invariant.Checker
	metrics  tally.Scope

	cache     *follow.Cache
	loads     *follow.Loads
	gossip    *follow.Gossip
	pool      *discovery.Pool
	forwarder *forward.Forwarder
	jobs      *job.Manager
	peers     *peers
	beacon    *beacon.Exchange
	claims    claims

	nodeList  atomic.Pointer[follow.Refresher] // keeps the list of nodes
	nodes     atomic.Pointer[map[string]nodeRecord]
	table     atomic.Pointer[route.Table]
	configAt  atomic.Int64  // Unix nanoseconds when the table came into force
	makeRoom  chan struct{} // what is in flight has changed
	leaving   atomic.Bool
	halted    chan struct{}
	active    sync.WaitGroup
	callers   *callerServer
	peerHTTP  *http.Server
	readyHTTP *http.Server
}

// Parts are what every process has.
type Parts struct {
	Settings *settings.Settings
	Recorder *timeline.Recorder
	Metrics  tally.Scope
	// MetricsPage serves the metrics as text.
	MetricsPage http.Handler
}

// New connects the parts of a node.
func New(parts Parts, adapter Adapter) *Node {
	s := parts.Settings
	n := &Node{settings: s, adapter: adapter, boot: time.Now().UnixMicro(), recorder: parts.Recorder, metrics: parts.Metrics,
		makeRoom: make(chan struct{}, 1), halted: make(chan struct{}), claims: claims{said: map[string]beacon.Batch{}}}
	n.seeds.Store(&s.Seeds)
	n.checker = invariant.New(n.recorder, s.StopOnViolated)
	n.peers = newPeers(s, n.recorder)
	n.cache = follow.NewCache(time.Now, adapter.Kinds.Config, adapter.Kinds.Targets, adapter.Kinds.Retirements, kindNodes, job.KindEnds)
	n.pool = discovery.New(choose.Config{EjectAfter: s.EjectAfter, EjectTime: s.EjectTime, Policy: choose.LeastLoad, Home: s.DataCentre},
		time.Now, func() bool { return n.cache.Doubtful(adapter.Kinds.Targets) }, n.targetChanged)
	n.forwarder = &forward.Forwarder{Targets: n.pool, Sender: adapter.Sender, Log: &requestLog{n}, Now: time.Now}
	n.loads = follow.NewLoads(s.NodeID, n.boot, time.Now, func() map[string]int64 { return n.jobs.WaitingTokens() })
	n.jobs = job.NewManager(job.Config{
		Self: job.Holder{Node: s.NodeID, Boot: n.boot, Address: s.PeerListen}, MaxValue: s.StoreMaxValue,
		KeepResults: s.KeepResults, TakeOverAfter: s.TakeOverAfter, SweepInterval: s.SweepInterval,
		Holds: s.CallerListen != "", ResultMemory: s.ResultMemory,
	}, job.Parts{Store: adapter.Store, Pool: n.pool, Sender: adapter.Sender, Routes: n.Table, RoutesFresh: n.TableFresh, Peers: n,
		Waiting: n.loads.Waiting, Ended: n.ended, Shares: n.batchShares, Recorder: n.recorder, Checker: n.checker, Metrics: n.metrics})
	n.beacon = beacon.New(beacon.Options{Node: s.NodeID, Boot: n.boot, Loads: n.pool, Copies: n.cache, Peers: n.beaconPeers, Behind: n.behind,
		Batch: n.batchWord, HeardBatch: n.batchHeard})
	n.pool.OnLoad(n.loadChanged)
	n.gossip = &follow.Gossip{Node: s.NodeID, Cache: n.cache, Loads: n.loads, Listener: n, Peers: n.peerAddresses,
		Client: n.peers.sync, Interval: s.GossipInterval, Pulls: follow.NewPulls()}
	n.listenHandlers(parts.MetricsPage)
	return n
}

// loadChanged tells the duties that depend on what is in flight.
func (n *Node) loadChanged() {
	n.beacon.Touch()
	select {
	case n.makeRoom <- struct{}{}:
	default:
	}
}

// yield stops batch items where online requests need the room.
func (n *Node) yield(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.makeRoom:
			n.jobs.MakeRoom()
		}
	}
}

// Table returns the routing table in force, nil before the first is known.
func (n *Node) Table() *route.Table { return n.table.Load() }

// Forwarder returns what carries online requests.
func (n *Node) Forwarder() *forward.Forwarder { return n.forwarder }

// Jobs returns what keeps batch jobs.
func (n *Node) Jobs() *job.Manager { return n.jobs }

// Halt ends Run at once and hands nothing over, as a crash would; for tests.
func (n *Node) Halt() { close(n.halted) }

// Leaving reports whether the node was asked to stop.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Ready reports whether the node can take new connections.
func (n *Node) Ready() bool { return !n.Leaving() && n.Table() != nil }

// Metrics returns the scope that counts go to.
func (n *Node) Metrics() tally.Scope { return n.metrics }

// TableFresh reports whether the table is trusted to hold every route.
func (n *Node) TableFresh() bool {
	age, known := n.cache.Age(n.adapter.Kinds.Config)
	return known && age < freshWithin
}

// Changed implements follow.Listener.
func (n *Node) Changed(kind string, news []objects.Object, from follow.Source) {
	for _, o := range news {
		switch kind {
		case n.adapter.Kinds.Config:
			n.configChanged(o, from)
		case n.adapter.Kinds.Targets:
			n.targetListed(o)
		case kindNodes:
			n.nodesChanged(o)
		case job.KindEnds:
			n.jobs.EndSeen(o.Name)
		case n.adapter.Kinds.Retirements:
			n.retirementSeen(o)
		}
	}
}

// Failed implements follow.Listener.
func (n *Node) Failed(kind string, revision int64, cause error) {
	age, _ := n.cache.Age(kind)
	n.recorder.Record(timeline.CopyNotRefreshed, "", kind, cause.Error(), field("revision", revision), field("age_ms", age.Milliseconds()))
}

// behind asks a node that was heard to know more.
func (n *Node) behind(node string) {
	if r, ok := n.registered()[node]; ok {
		n.gossip.Pulls.Put(r.Address)
		return
	}
	if list := n.nodeList.Load(); list != nil {
		list.Kick() // it has registered since the list was read
	}
	n.gossip.Pulls.Put(n.anySeed())
}

func (n *Node) configChanged(o objects.Object, from follow.Source) {
	if o.Name != n.adapter.ConfigName || o.Deleted {
		return
	}
	table, err := n.adapter.DecodeConfig(o.Value)
	if err != nil {
		n.recorder.Record(timeline.ObjectRejected, "", o.Name, err.Error())
		return
	}
	for {
		old := n.table.Load()
		if old != nil && old.Version >= table.Version {
			return
		}
		if n.table.CompareAndSwap(old, table) {
			break
		}
	}
	n.configAt.Store(time.Now().UnixNano())
	n.callers.setIdleTimeout(table.Limits.IdleTimeout)
	n.recorder.Record(timeline.ConfigAdopted, "", fmt.Sprintf("version %d", table.Version), "from "+from.String(),
		timeline.Field{Name: "revision", Value: o.Revision})
	n.metrics.Gauge("config_version").Update(float64(table.Version))
}

func (n *Node) targetListed(o objects.Object) {
	if o.Deleted {
		n.pool.Remove(o.Name)
		return
	}
	record, err := n.adapter.DecodeTarget(o.Name, o.Value)
	if err != nil {
		n.recorder.Record(timeline.ObjectRejected, "", o.Name, err.Error())
		return
	}
	n.pool.Put(record)
}

func (n *Node) targetChanged(id, what string) {
	n.recorder.Record(timeline.TargetChanged, "", id, what)
}

// ended reports whether the end of a job is known here.
func (n *Node) ended(id string) bool {
	_, ok := n.cache.Get(job.KindEnds, id)
	return ok
}

// Run serves until ctx ends, then drains. A listen error is returned.
func (n *Node) Run(ctx context.Context) error {
	if n.settings.Memory > 0 {
		debug.SetMemoryLimit(int64(n.settings.Memory) << 20 * 9 / 10)
	}
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	n.recorder.Record(timeline.NodeStarted, "", n.settings.NodeID, fmt.Sprintf("boot %d", n.boot))
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var duties sync.WaitGroup
	n.startDuties(work, listeners, &duties)
	n.serve(listeners)
	select {
	case <-ctx.Done():
		n.drain(work)
	case <-n.halted:
		n.callers.http.Close()
	}
	stop()
	duties.Wait()
	n.peerHTTP.Close()
	n.readyHTTP.Close()
	n.recorder.Record(timeline.NodeStopped, "", n.settings.NodeID, "")
	return nil
}

type listeners struct {
	callers, ready, peers, metrics net.Listener
	beacon                         net.PacketConn
}

func (n *Node) listen() (listeners, error) {
	var l listeners
	var errs []error
	for _, place := range []struct {
		address string
		into    *net.Listener
	}{{n.settings.CallerListen, &l.callers}, {n.settings.ReadyListen, &l.ready}, {n.settings.PeerListen, &l.peers}, {n.settings.MetricsListen, &l.metrics}} {
		if place.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", place.address)
		*place.into = listener
		errs = append(errs, err)
	}
	if n.settings.BeaconListen != "" {
		conn, err := net.ListenPacket("udp", n.settings.BeaconListen)
		l.beacon = conn
		errs = append(errs, err)
	}
	return l, errors.Join(errs...)
}

// headerTimeout bounds how long a caller may take to send its header.
const headerTimeout = 5 * time.Second

func (n *Node) listenHandlers(metricsPage http.Handler) {
	mux := http.NewServeMux()
	mux.Handle(marblepondv1connect.NewSyncServiceHandler(n.gossip, peer.Require(n.settings.PeerKey)...))
	mux.Handle(marblepondv1connect.NewJobServiceHandler(n.jobs.PeerService(), peer.Require(n.settings.PeerKey)...))
	mux.Handle("GET /metrics", metricsPage)
	n.peerHTTP = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	n.readyHTTP = &http.Server{Handler: n.adapter.Ready(n), ReadHeaderTimeout: headerTimeout}
	n.callers = newCallerServer(n.tracked(n.adapter.Callers(n)))
}

// tracked counts requests in progress, so that a drain waits for them.
func (n *Node) tracked(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.active.Add(1)
		defer n.active.Done()
		if n.Leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (n *Node) serve(l listeners) {
	go n.peerHTTP.Serve(l.peers)
	if l.callers != nil {
		go n.callers.http.Serve(l.callers)
	}
	if l.ready != nil {
		go n.readyHTTP.Serve(l.ready)
	}
	if l.metrics != nil {
		go n.peerHTTP.Serve(l.metrics)
	}
}

func (n *Node) startDuties(ctx context.Context, l listeners, wg *sync.WaitGroup) {
	for kind, age := range n.followed() {
		r := follow.NewRefresher(kind)
		r.Store, r.Cache, r.Listener, r.MaxAge, r.Self, r.Heard = n.adapter.Store, n.cache, n, age, n.settings.NodeID, n.followers(kind)
		if kind == kindNodes {
			n.nodeList.Store(r)
		}
		wg.Go(func() { r.Run(ctx) })
	}
	wg.Go(func() { n.gossip.Run(ctx) })
	wg.Go(func() { n.register(ctx) })
	wg.Go(func() { n.settle(ctx) })
	wg.Go(func() { n.announceReady(ctx) })
	wg.Go(func() { n.callers.reapIdle(ctx) })
	wg.Go(func() { n.jobs.Run(ctx) })
	wg.Go(func() { n.yield(ctx) })
	if l.beacon != nil {
		wg.Go(func() { n.beacon.Run(ctx, l.beacon) })
	}
}

// tick is the pace of duties that look at the clock.
const tick = 200 * time.Millisecond

// settle removes targets that lapsed while the store was away.
func (n *Node) settle(ctx context.Context) {
	every(ctx, tick, n.pool.Settle)
}

func every(ctx context.Context, d time.Duration, f func()) {
	ticker := time.NewTicker(d)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

func (n *Node) announceReady(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	every(ctx, tick, func() {
		if table := n.Table(); table != nil {
			n.recorder.Record(timeline.NodeReady, "", n.settings.NodeID, fmt.Sprintf("configuration version %d", table.Version))
			cancel()
		}
	})
}

// StoreChanged records that the store was lost or regained.
func StoreChanged(r *timeline.Recorder) func(up bool, after time.Duration) {
	return func(up bool, after time.Duration) {
		code := timeline.StoreLost
		if up {
			code = timeline.StoreRegained
		}
		r.Record(code, "", "store", "", timeline.Field{Name: "state_before_ms", Value: after.Milliseconds()})
	}
}
