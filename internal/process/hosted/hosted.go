// Package hosted assembles a node that runs on somebody else's platform: its
// durable state lies in an object store, its targets and routes are listed
// there, and an Adapter translates.
package hosted

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"github.com/marblepond/marblepond/internal/connection/beacon"
	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/lending"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/process/clock"
	"github.com/marblepond/marblepond/internal/process/crashes"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/process/settings"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/checkpoint"
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
	objects.Store
	SetStatus(ctx context.Context, class callbudget.Class, kind, name string, status []byte) error
}

// Kinds names the kinds of objects that the platform defines.
type Kinds struct {
	Config      string // one object: the routing configuration
	Targets     string // one object a target
	Retirements string // one object for each VM that is to be emptied
	Evacuations string // one object for each data centre whose targets are to get no work, under its name
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
	// Selectors are the headers of a request whose values change what it asks for.
	Selectors []string
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
	started  time.Time

	recorder *timeline.Recorder
	checker  *invariant.Checker
	metrics  tally.Scope
	clock    *clock.Clock

	cache       *follow.Cache
	gossip      *follow.Gossip
	pool        *discovery.Pool
	forwarder   *forward.Forwarder
	jobs        *job.Manager
	peers       *peers
	beacon      *beacon.Exchange
	batch       *batchWork
	checkpoints *checkpoint.Store // of jobs that other nodes hold
	crashes     *crashes.Watch
	lending     *lending.Exchange
	backlogs    *backlogs

	nodeList atomic.Pointer[follow.Refresher] // keeps the list of nodes
	// listing is held while lists that the store holds are taken over. News may come
	// out of order, so that what counts is read from the cache.
	listing    sync.Mutex
	nodes      atomic.Pointer[map[string]nodeRecord]
	view       atomic.Pointer[beacon.View]     // the same as datagrams go
	lenders    atomic.Pointer[lending.Lenders] // the same as allowances are lent
	table      atomic.Pointer[route.Table]
	configured chan struct{} // closed when the first table is known
	makeRoom   chan struct{} // what is in flight has changed
	leaving    atomic.Bool
	halted     chan struct{}
	callers    *callerServer
	peerHTTP   *http.Server
	readyHTTP  *http.Server
	pageHTTP   *http.Server // the metrics page
}

// Parts are what every process has.
type Parts struct {
	Settings *settings.Settings
	Recorder *timeline.Recorder
	Metrics  tally.Scope
	// Clock tells ages, deadlines and leases; it counts suspensions of the machine.
	Clock *clock.Clock
	// MetricsPage serves the metrics as text.
	MetricsPage http.Handler
}

// New connects the parts of a node.
func New(parts Parts, adapter Adapter) *Node {
	s := parts.Settings
	n := &Node{settings: s, adapter: adapter, boot: time.Now().UnixMicro(), started: time.Now(), recorder: parts.Recorder, metrics: parts.Metrics, clock: parts.Clock,
		configured: make(chan struct{}), makeRoom: make(chan struct{}, 1), halted: make(chan struct{})}
	n.batch = newBatchWork(n)
	n.view.Store(beacon.NewView(s.NodeID, s.DataCentre, nil))
	n.seeds.Store(&s.Seeds)
	n.checker = invariant.New(n.recorder, s.StopOnViolation)
	n.peers = newPeers(s)
	n.cache = follow.NewCache(n.clock.Now, adapter.Kinds.Config, adapter.Kinds.Targets, adapter.Kinds.Retirements, adapter.Kinds.Evacuations, kindNodes, job.KindEnds)
	n.pool = discovery.New(choose.Config{EjectAfter: s.EjectAfter, EjectTime: s.EjectTime, Policy: choose.LeastOfFew, Node: s.NodeID, LocalDataCentre: s.DataCentre, Seed: uint64(n.boot) ^ xxhash.Sum64String(s.NodeID), WarmUp: n.warmUp},
		time.Now, func() bool { return n.cache.Doubtful(adapter.Kinds.Targets) }, n.targetChanged)
	n.crashes = n.newCrashWatch()
	n.lending = n.newLending()
	n.backlogs = newBacklogs(n)
	n.forwarder = &forward.Forwarder{Targets: n.pool, Sender: adapter.Sender, Quarantine: n.crashes, Log: &requestLog{n}, Checker: n.checker, Now: n.clock.Now}
	n.jobs = job.NewManager(job.Config{
		Self: job.Holder{Node: s.NodeID, Boot: n.boot, Address: s.PeerAdvertise}, MaxValueBytes: s.StoreMaxValue,
		KeepResults: s.KeepResults, Selectors: adapter.Selectors, TakeOverAfter: s.TakeOverAfter, SweepInterval: s.SweepInterval, EvacuatedWithin: s.EvacuatedWithin,
		HoldsJobs: s.CallerListen != "", ResultCacheBytes: s.ResultMemory, CheckpointInterval: s.CheckpointInterval,
	}, job.Dependencies{Store: n.relay(), StoreLatency: n.storeTook, Pool: n.pool, Quarantine: n.crashes, Sender: adapter.Sender, Routes: n.Table, RoutesFresh: n.TableFresh, Peers: n,
		Backlogs: n.backlogs, Ended: n.ended, Clock: n.clock, Allotments: n.batch.shares, Recorder: n.recorder, Checker: n.checker, Metrics: n.metrics})
	n.checkpoints = checkpoint.NewStore(checkpoint.Limits{MaxBytes: s.CheckpointMemory, Retention: s.KeepResults}, n.clock.Now)
	n.beacon = beacon.New(beacon.Options{Node: s.NodeID, DataCentre: s.DataCentre, Boot: n.boot, Loads: n.pool, Cache: n.cache, Batch: n.batch, Store: adapter.Health, Crashes: n.crashes, Suspended: n.clock.Suspended,
		View: n.view.Load, OnBehind: n.behind, OnUnreachable: func(string) { n.jobs.TriggerSweep() },
		OnReachable: func(node string) { n.recorder.Record(timeline.NodeHeard, "", node, "") }})
	n.cache.OnVerified(n.beacon.NotifyChange)
	n.pool.OnLoad(n.ownLoadChanged, n.othersLoadChanged)
	n.pool.SetDisplacer(n)
	n.pool.SetJoined(n.joined)
	n.gossip = &follow.Gossip{Node: s.NodeID, Cache: n.cache, Listener: n, Peers: n.peerAddresses,
		Client: n.peers.sync.at, GreetClient: n.peers.greet.at, Interval: s.GossipInterval, Alone: func() bool { return len(n.beacon.ReachableNodes()) == 0 }, Pulls: follow.NewPulls()}
	n.listenHandlers(parts.MetricsPage)
	return n
}

// Table returns the routing table in force, nil before the first is known.
func (n *Node) Table() *route.Table { return n.table.Load() }

// AwaitTable returns the routing table in force; before the first is known it waits for
// it for a time.
func (n *Node) AwaitTable(ctx context.Context, most time.Duration) *route.Table {
	if table := n.Table(); table != nil {
		return table
	}
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	select {
	case <-n.configured:
	case <-ctx.Done():
	}
	return n.Table()
}

// Forwarder returns what carries online requests.
func (n *Node) Forwarder() *forward.Forwarder { return n.forwarder }

// Jobs returns what keeps batch jobs.
func (n *Node) Jobs() *job.Manager { return n.jobs }

// Leaving reports whether the node was asked to stop.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Ready reports whether the node can take new connections: it knows a
// configuration, the targets and which of them are evacuated.
func (n *Node) Ready() bool {
	return !n.Leaving() && n.Table() != nil && n.cache.Complete(n.adapter.Kinds.Targets) > 0 && n.knowsEvacuations()
}

// storeTook returns how long the object store takes to answer, 0 while that is
// not known or it does not answer.
func (n *Node) storeTook() time.Duration {
	if !n.adapter.Health.Up() {
		return 0
	}
	took, _ := n.adapter.Health.Latency()
	return took
}

// Clock returns the clock that callers' deadlines are told by.
func (n *Node) Clock() *clock.Clock { return n.clock }

// Metrics returns the scope that counts go to.
func (n *Node) Metrics() tally.Scope { return n.metrics }

// TableFresh reports whether the table is trusted to hold every route.
func (n *Node) TableFresh() bool {
	age, known := n.cache.Age(n.adapter.Kinds.Config)
	return known && age < time.Duration(freshShare*float64(n.settings.ConfigWithin))
}
