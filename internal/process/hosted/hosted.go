// Package hosted assembles a node that runs on the users' platform: it keeps its durable
// state in the platform's object store and reads its targets and routes from there. An
// Adapter translates between the node and the platform.
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
	"github.com/marblepond/marblepond/internal/connection/intake"
	"github.com/marblepond/marblepond/internal/connection/lending"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/connection/origins"
	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/process/callers"
	"github.com/marblepond/marblepond/internal/process/clock"
	"github.com/marblepond/marblepond/internal/process/crashes"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/process/settings"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/request/checkpoint"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/continuation"
	"github.com/marblepond/marblepond/internal/request/fingerprint"
	"github.com/marblepond/marblepond/internal/request/forward"
	"github.com/marblepond/marblepond/internal/request/job"
	"github.com/marblepond/marblepond/internal/version/discovery"
	"github.com/marblepond/marblepond/internal/version/follow"
	"github.com/marblepond/marblepond/internal/version/route"
)

// Store is the interface to the object store.
type Store interface {
	follow.Store
	objects.Store
	// List returns all objects of a kind.
	List(ctx context.Context, class callbudget.Class, kind string) (objects.Page, error)
	SetStatus(ctx context.Context, class callbudget.Class, kind, name string, status []byte) error
}

// Kinds names the kinds of objects that the platform defines.
type Kinds struct {
	Config      string // one object: the routing configuration
	Targets     string // one object for each target
	Retirements string // one object for each VM that is to be emptied
	Evacuations string // one object for each evacuated data centre, whose targets get no work; its name is the data centre's
}

// Adapter translates between the node and its platform.
type Adapter struct {
	Store  Store
	Health *objects.Health
	Sender target.Sender
	Kinds  Kinds
	// ConfigName is the name of the object of Kinds.Config that is in force.
	ConfigName   string
	DecodeConfig func(value []byte) (*route.Table, error)
	DecodeTarget func(id string, value []byte) (discovery.Record, error)
	// RetirementStatus encodes the status of a VM that is to be emptied.
	RetirementStatus func(done bool) []byte
	// Selectors are the headers of a request that are part of its fingerprint, because their
	// values change the response.
	Selectors []string
	// PromptParts returns the names of the shared parts of a request's prompt.
	PromptParts func(values func(name string) []string) []string
	// CallerHandler serves the callers' API; ReadyHandler reports whether the node accepts
	// new connections.
	CallerHandler func(n *Node) http.Handler
	ReadyHandler  func(n *Node) http.Handler
}

// Node is one node process on the users' platform.
type Node struct {
	settings *settings.Settings
	seeds    atomic.Pointer[[]string] // from the newest settings file
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
	origins     *origins.Exchange
	backlogs    *backlogs

	nodeRefresher atomic.Pointer[follow.Refresher] // refreshes the cached list of nodes
	// listMu serializes the handling of changed nodes, targets and evacuations. Changes may
	// arrive out of order, so the handlers read the current objects from the cache.
	listMu      sync.Mutex
	nodes       atomic.Pointer[map[string]nodeRecord]
	view        atomic.Pointer[beacon.View]        // nodes, as package beacon needs them
	lenders     atomic.Pointer[lending.Lenders]    // nodes, as package lending needs them
	originFleet atomic.Pointer[continuation.Fleet] // nodes, as package origins needs them
	table       atomic.Pointer[route.Table]
	tableInUse  atomic.Bool // see tableUsable
	// configRevision is the revision of the newest configuration that was decoded.
	configRevision atomic.Int64
	loadChanged    chan struct{} // signals that the requests or items in flight have changed
	leaving        atomic.Bool
	halted         chan struct{}
	sharedView     atomic.Bool // see SharedView
	mostCallers    int         // most registered nodes that serve callers; guarded by listMu
	callers        *callers.Server
	callerMemory   *intake.Budget
	peerHTTP       *http.Server
	readyHTTP      *http.Server
	metricsHTTP    *http.Server
}

// Dependencies are the components that every node process has.
type Dependencies struct {
	Settings *settings.Settings
	Recorder *timeline.Recorder
	Metrics  tally.Scope
	// Clock measures ages, deadlines and leases; it includes the time for which the VM was
	// suspended.
	Clock *clock.Clock
	// MetricsPage serves the metrics in text format.
	MetricsPage http.Handler
}

// New assembles a node; Run starts it.
func New(deps Dependencies, adapter Adapter) *Node {
	s := deps.Settings
	n := &Node{settings: s, adapter: adapter, boot: time.Now().UnixMicro(), started: time.Now(), recorder: deps.Recorder, metrics: deps.Metrics, clock: deps.Clock,
		loadChanged: make(chan struct{}, 1), halted: make(chan struct{})}
	n.callerMemory = intake.NewBudget(callers.Memory(s), time.Now)
	n.batch = newBatchWork(n)
	n.view.Store(beacon.NewView(s.NodeID, s.DataCentre, nil))
	n.seeds.Store(&s.Seeds)
	n.checker = invariant.New(n.recorder, s.StopOnViolation)
	n.peers = newPeers(s)
	n.cache = follow.NewCache(n.clock.Now, adapter.Kinds.Config, adapter.Kinds.Targets, adapter.Kinds.Retirements, adapter.Kinds.Evacuations, kindNodes, job.KindEnds)
	n.pool = discovery.New(choose.Config{EjectAfter: s.EjectAfter, EjectTime: s.EjectTime, Policy: choose.LeastOfFew, Node: s.NodeID, LocalDataCentre: s.DataCentre, Seed: uint64(n.boot) ^ xxhash.Sum64String(s.NodeID), WarmUp: n.warmUp, VersionInUse: n.versionInUse},
		time.Now, func() bool { return n.cache.DeletionsUncertain(adapter.Kinds.Targets) }, n.targetChanged)
	n.origins = n.newOrigins()
	n.crashes = n.newCrashWatch()
	n.lending = n.newLending()
	n.backlogs = newBacklogs(n)
	n.forwarder = &forward.Forwarder{Targets: n.pool, Sender: adapter.Sender, Quarantine: n.crashes, Log: &requestLog{n}, Checker: n.checker, Now: n.clock.Now, Admission: n.newAdmission(), Origins: n.origins}
	n.jobs = job.NewManager(job.Config{
		Self: job.Holder{Node: s.NodeID, Boot: n.boot, Address: s.PeerAdvertise}, MaxValueBytes: s.StoreMaxValue,
		KeepResults: s.KeepResults, Selectors: adapter.Selectors, PromptParts: adapter.PromptParts, TakeOverAfter: s.TakeOverAfter, SweepInterval: s.SweepInterval, EvacuatedWithin: s.EvacuatedWithin,
		HoldsJobs: s.CallerListen != "", ResultCacheBytes: resultMemory(s), MaxHeldBytes: jobMemory(s), MaxParsedHeaderBytes: jobMemory(s), MaxReadBytes: readMemory(s), MaxReads: readConnections(callers.Descriptors(s)), CheckpointInterval: s.CheckpointInterval,
	}, job.Dependencies{Store: n.relay(), StoreLatency: n.storeLatency, StoreResumed: n.storeResumed, SharedView: n.SharedView, Pool: n.pool, Quarantine: n.crashes, Sender: adapter.Sender, Routes: n.Table, RoutesFresh: n.TableFresh, Peers: n,
		Backlogs: n.backlogs, Ended: n.jobEnded, EndsKnown: n.endsKnown, Clock: n.clock, Allotments: n.batch.allotments, Recorder: n.recorder, Checker: n.checker, Metrics: n.metrics})
	n.checkpoints = checkpoint.NewStore(checkpoint.Limits{MaxBytes: checkpointMemory(s), Retention: s.KeepResults}, n.clock.Now)
	n.beacon = beacon.New(beacon.Options{Node: s.NodeID, DataCentre: s.DataCentre, Boot: n.boot, Loads: n.pool, Evidence: n.pool, Paces: n.pool, Cache: n.cache, Batch: n.batch, Store: adapter.Health, Crashes: n.crashes, Suspended: n.clock.Suspended,
		View: n.view.Load, OnBehind: n.pullFrom, OnUnreachable: func(string) { n.jobs.TriggerSweep() },
		OnStreamMessage: n.origins.Receive,
		OnOversize:      func(int) { n.metrics.Counter("reports_oversize").Inc(1) },
		OnReachable:     func(node string) { n.recorder.Record(timeline.NodeHeard, "", node, "") }})
	n.cache.OnVerified(n.beacon.NotifyChange)
	n.pool.OnInFlightChange(n.ownLoadChanged, n.othersLoadChanged)
	n.pool.SetPreemptor(n)
	n.pool.OnVerdict(n.verdictChanged, n.probers)
	n.pool.SetJoined(n.joined)
	n.gossip = &follow.Gossip{Node: s.NodeID, Cache: n.cache, Listener: n, Peers: n.peerAddresses,
		Client: n.peers.sync.at, SeedClient: n.peers.seedSync.at, Interval: s.GossipInterval, Isolated: func() bool { return len(n.beacon.ReachableNodes()) == 0 }, PullQueue: follow.NewPullQueue(), Versions: n.origins, Log: n.copyUpdated}
	n.createServers(deps.MetricsPage)
	return n
}

// Table returns the routing table in force, nil before the first is known.
func (n *Node) Table() *route.Table {
	if !n.tableUsable() {
		return nil
	}
	return n.table.Load()
}

// unverifiedTableDelay is how long after its start a node uses no routing table that comes from a disk
// alone: after a loss of power of all nodes it may be older than the one that was in force, and the
// object store usually answers within this time.
const unverifiedTableDelay = 2 * time.Second

// tableUsable reports whether the node has had the newest configuration since it started, or has
// to use what it has because the object store does not answer.
func (n *Node) tableUsable() bool {
	if n.tableInUse.Load() {
		return true
	}
	if n.isTableVerified() || time.Since(n.started) >= unverifiedTableDelay {
		n.tableInUse.Store(true)
		return true
	}
	return false
}

// isTableVerified reports whether the routing table is from a copy of the configuration that has been
// complete since the node started.
func (n *Node) isTableVerified() bool {
	if !n.cache.EverVerified(n.adapter.Kinds.Config) {
		return false
	}
	o, exists := n.cache.Get(n.adapter.Kinds.Config, n.adapter.ConfigName)
	return exists && o.Revision <= n.configRevision.Load() // otherwise it is being decoded
}

// tablePollInterval is the time between checks for the first routing table.
const tablePollInterval = 5 * time.Millisecond

// AwaitTable returns the routing table in force. Until the first is known it waits, for
// maxWait at most, and then returns nil.
func (n *Node) AwaitTable(ctx context.Context, maxWait time.Duration) *route.Table {
	if table := n.Table(); table != nil {
		return table
	}
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	for n.Table() == nil && wait.For(ctx, tablePollInterval) {
	}
	return n.Table()
}

// Forwarder returns the forwarder of online requests.
func (n *Node) Forwarder() *forward.Forwarder { return n.forwarder }

// Refuse returns the error that refuses work under which targets crash, nil for all other work.
func (n *Node) Refuse(work *fingerprint.Work) error { return n.crashes.Refuse(work) }

// CallerMemory returns the budget of what callers send.
func (n *Node) CallerMemory() *intake.Budget { return n.callerMemory }

// Jobs returns the manager of batch jobs.
func (n *Node) Jobs() *job.Manager { return n.jobs }

// Leaving reports whether the node was asked to stop.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Ready reports whether the node can accept new connections: it knows a configuration, the
// targets and which data centres are evacuated, and is not leaving.
func (n *Node) Ready() bool {
	return !n.Leaving() && n.Table() != nil && n.cache.Usable(n.adapter.Kinds.Targets) && n.knowsEvacuations()
}

// TargetCount returns how many targets of a service are listed.
func (n *Node) TargetCount(service string) int { return n.pool.TargetCount(service) }

// storeLatency returns how long the object store takes to answer, 0 while that is
// unknown or the store does not serve this node.
func (n *Node) storeLatency() time.Duration {
	if !n.adapter.Health.Up() {
		return 0
	}
	took, age := n.adapter.Health.Latency()
	if n.SharedView() && age > objects.Silence {
		return 0 // some node queries the store several times a second
	}
	return took
}

// storeResumed reports whether the object store answered a node after a silence, at a time
// after since. It is not known without the shared view.
func (n *Node) storeResumed(since time.Time) bool {
	return n.SharedView() && n.adapter.Health.ResumedSince(since)
}

// Clock returns the clock that measures the deadlines of callers' requests.
func (n *Node) Clock() *clock.Clock { return n.clock }

// Metrics returns the scope of the node's metrics.
func (n *Node) Metrics() tally.Scope { return n.metrics }

// TableFresh reports whether the routing table is fresh enough to answer that a route does
// not exist.
func (n *Node) TableFresh() bool {
	age, known := n.cache.Age(n.adapter.Kinds.Config)
	return known && age < time.Duration(freshShare*float64(n.settings.ConfigWithin))
}
