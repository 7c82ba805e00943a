// Package node assembles the process: it creates the components, starts a goroutine for
// each background task, and shuts the node down without interrupting requests in progress.
package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/uber-go/tally/v4"

	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/dial"
	"github.com/marblepond/marblepond/internal/connection/engine"
	"github.com/marblepond/marblepond/internal/connection/intake"
	"github.com/marblepond/marblepond/internal/connection/lending"
	"github.com/marblepond/marblepond/internal/connection/peer"
	"github.com/marblepond/marblepond/internal/connection/platform"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/callers"
	"github.com/marblepond/marblepond/internal/process/clock"
	"github.com/marblepond/marblepond/internal/process/crashes"
	"github.com/marblepond/marblepond/internal/process/hosted"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/process/member"
	"github.com/marblepond/marblepond/internal/process/membership"
	"github.com/marblepond/marblepond/internal/process/settings"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/record"
	"github.com/marblepond/marblepond/internal/request/batch"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/claim"
	"github.com/marblepond/marblepond/internal/request/hold"
	"github.com/marblepond/marblepond/internal/request/homes"
	"github.com/marblepond/marblepond/internal/request/pace"
	"github.com/marblepond/marblepond/internal/request/quarantine"
	"github.com/marblepond/marblepond/internal/request/run"
	"github.com/marblepond/marblepond/internal/request/serve"
	"github.com/marblepond/marblepond/internal/version/config"
	"github.com/marblepond/marblepond/internal/version/fleet"
	"github.com/marblepond/marblepond/internal/version/targets"
)

// Node is a node whose front is settings.FrontOpenAI. Package hosted has the other kind.
type Node struct {
	settings *settings.Settings
	variant  Variant
	self     member.Info

	recorder       *timeline.Recorder
	checker        *invariant.Checker
	metrics        *metrics
	pool           *peer.Pool
	peerHTTPClient *http.Client // used by pool
	crashes        *crashes.Watch
	lending        *lending.Exchange
	clock          *clock.Clock
	platform       *platform.Client
	membership     *membership.Manager
	config         *config.Manager
	targets        *targets.Manager
	replicator     *homes.Replicator
	claims         *claim.Claims
	store          *batch.Store
	worker         *batch.Worker
	runner         *run.Runner
	server         *serve.Server

	callers *callers.Server
	// callerMemory bounds what requests of callers occupy.
	callerMemory *intake.Budget
	peerHTTP     *http.Server
}

// stallTimeout is the longest time without data on a target's stream.
const stallTimeout = 10 * time.Second

// Variant replaces policies by simpler baselines to measure against. No setting selects it.
type Variant struct {
	Policy      choose.Policy // empty: choose.Affinity
	Unthrottled bool          // batch fills targets regardless of online requests
}

// New returns a node that writes its log to out; Run starts it.
func New(s *settings.Settings, out io.Writer) *Node { return NewVariant(s, out, Variant{}) }

// HostedDependencies returns the settings, clock, metrics and recorder of a hosted node.
func HostedDependencies(s *settings.Settings, out io.Writer) hosted.Dependencies {
	m := newMetrics()
	return hosted.Dependencies{Settings: s, Metrics: m.scope, MetricsPage: m, Clock: clock.New(),
		Recorder: timeline.NewRecorder(s.NodeID, s.TimelineEvents, newLogger(s, out), m.scope)}
}

// NewVariant is New with the policies that v selects.
func NewVariant(s *settings.Settings, out io.Writer, v Variant) *Node {
	n := &Node{settings: s, variant: v, metrics: newMetrics(), clock: clock.New()}
	if n.variant.Policy == "" {
		n.variant.Policy = choose.Affinity
	}
	n.self = member.Info{ID: s.NodeID, Incarnation: uint64(time.Now().UnixNano()), DataCentre: s.DataCentre,
		PeerAddr: s.PeerAdvertise, CallerAddr: s.CallerAdvertise}
	n.recorder = timeline.NewRecorder(s.NodeID, s.TimelineEvents, newLogger(s, out), n.metrics.scope)
	n.checker = invariant.New(n.recorder, s.StopOnViolation)
	n.newClients()
	n.newComponents()
	return n
}

func newLogger(s *settings.Settings, out io.Writer) log.Interface {
	logger := &log.Logger{Handler: json.New(out), Level: log.MustParseLevel(s.LogLevel)}
	return logger.WithField("node", s.NodeID)
}

// newClients creates the clients of the peers and of the platform.
func (n *Node) newClients() {
	s := n.settings
	host, _, _ := net.SplitHostPort(s.PeerListen)
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	n.peerHTTPClient = peer.NewHTTPClient(&http.Transport{DialContext: dialer.DialContext})
	n.pool = peer.NewPool(n.peerHTTPClient, s.PeerKey)
	n.platform = platform.New(platform.Options{
		URL: s.PlatformURL, Caller: s.NodeID, Timeout: s.PlatformTimeout, WriteRate: s.PlatformWriteRate, ReadRate: s.PlatformReadRate,
		Metrics: n.metrics.scope, HTTP: &http.Client{Transport: &http.Transport{DialContext: dial.DetectClosed(dialer.DialContext), MaxIdleConnsPerHost: platformIdleConns}},
		OnChange: n.recordPlatformState,
	})
}

// Idle connections kept to the platform, and to each target.
const (
	platformIdleConns = 32
	targetIdleConns   = 256
)

func (n *Node) recordPlatformState(up bool) {
	code := timeline.PlatformDown
	if up {
		code = timeline.PlatformUp
	}
	n.recorder.Record(code, "", "platform", "")
}

func (n *Node) newEngineClient() *engine.Client {
	host, _, _ := net.SplitHostPort(n.settings.PeerListen)
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	transport := &http.Transport{DialContext: dial.DetectClosed(dialer.DialContext), MaxIdleConnsPerHost: targetIdleConns, IdleConnTimeout: time.Minute, DisableCompression: true}
	return engine.New(&http.Client{Transport: transport}, stallTimeout)
}

// newComponents creates the components and connects them.
func (n *Node) newComponents() {
	s := n.settings
	n.callerMemory = intake.NewBudget(callers.Memory(s), time.Now)
	engines := n.newEngineClient()
	n.membership = membership.New(n.self, member.Timing{Heartbeat: s.Heartbeat, SuspectAfter: s.SuspectAfter, DeadAfter: s.DeadAfter}, s.Seeds, n.pool, n.recorder)
	n.config = config.New(n.platform, n.pool, n.membership, n.recorder, n.checker, s.WatchTimeout)
	n.targets = targets.New(targets.Config{VMListInterval: s.VMListInterval, LoadInterval: s.LoadInterval,
		Choose: choose.Config{EjectAfter: s.EjectAfter, EjectTime: s.EjectTime, Policy: n.variant.Policy}},
		n.platform, engines, n.membership, n.recorder, n.checker, n.config.Current)
	n.crashes = n.newCrashWatch(n.peerHTTPClient)
	n.runner = run.New(n.targets, engines, &remotes{n}, n.crashes, n.recorder, n.checker, s.RetryShare, s.LoadInterval, n.clock.Now)
	n.replicator = homes.New(s.ResultMemory, n.membership.View, n.pool, n.platform, n.recorder, func(r hold.Request) { n.server.Rerun(r) })
	n.claims = claim.New(n.platform, n.recorder)
	n.store = batch.NewStore(n.platform, n.recorder, s.ChunkItems)
	n.worker = batch.NewWorker(batch.Config{LeaseTTL: s.LeaseTTL, OutageGrace: s.OutageGrace, CommitEvery: s.CommitEvery,
		ItemAttempts: s.ItemAttempts, WatchTimeout: s.WatchTimeout, Pace: pace.Config{FillShare: s.BatchFill, Reserve: s.BatchReserve, QuietTime: quietTime, Unthrottled: n.variant.Unthrottled}},
		record.Holder{Node: n.self.ID, Incarnation: n.self.Incarnation},
		batch.Dependencies{Store: n.store, Platform: n.platform, Runner: n.runner, Targets: n.targets, Members: n.membership.View,
			Config: n.config.Current, Recorder: n.recorder, Checker: n.checker, Metrics: n.metrics.scope, Clock: n.clock})
	n.lending = n.newLending()
	n.server = serve.New(serve.Limits{MaxBody: s.MaxBody, MaxInFlight: s.MaxInFlight, RequestTimeout: s.RequestTimeout},
		serve.Dependencies{Config: n.config.Current, Ready: n.ready, Members: n.membership.View, Targets: n.targets, Runner: n.runner,
			Allowances: n.lending, Replicas: n.replicator, Claims: n.claims, Store: n.store, Recorder: n.recorder, Checker: n.checker, Metrics: n.metrics.scope, PeerKey: s.PeerKey, CallerMemory: n.callerMemory})
	n.server.Handle("GET /metrics", n.metrics)
	n.targets.SetBatch(n.worker.InFlight, n.worker.HandleLoadReport, n.worker.SetOwnedTargets)
	n.membership.AddPayload(n.config)
	n.membership.AddPayload(n.targets)
	n.membership.AddPayload(crashDigest{n.crashes})
	n.config.OnChange(func(c *fleet.Config) { n.targets.SetEvacuated(c.Evacuated) })
	n.targets.OnProcessEnd(func(t choose.Target) { n.crashes.Ended(t, quarantine.Restarted) })
	n.membership.OnChange(n.targets.UpdateOwners)
	n.membership.OnChange(n.replicator.TakeOverOrphans)
	n.membership.OnChange(n.worker.DropDeadNodes)
	n.newHTTPServers()
}

// quietTime is how long sequences freed for a rise of online requests stay free of batch items.
const quietTime = 100 * time.Millisecond

func (n *Node) newHTTPServers() {
	peerMux := http.NewServeMux()
	peerMux.Handle(marblepondv1connect.NewPeerServiceHandler(&peerService{n}, peer.RequireKey(n.settings.PeerKey)...))
	peerMux.Handle(marblepondv1connect.NewOperatorServiceHandler(&operatorService{n}, peer.RequireKey(n.settings.OperatorKey)...))
	peerMux.Handle(marblepondv1connect.NewQuarantineServiceHandler(n.crashes, peer.RequireKey(n.settings.PeerKey)...))
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	n.peerHTTP = &http.Server{Addr: n.settings.PeerListen, Handler: peerMux, Protocols: protocols, ReadHeaderTimeout: headerTimeout}
	n.callers = callers.NewServer(&http.Server{Handler: n.server, Protocols: protocols, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: n.settings.MaxHeader,
		HTTP2: &http.HTTP2Config{MaxReceiveBufferPerConnection: streamBuffer, MaxReceiveBufferPerStream: streamBuffer}}, n.callerMemory, n.settings)
	n.callers.Gate.SetLimits(intake.Limits{HeaderBytes: n.settings.MaxHeader, HeaderTimeout: headerTimeout})
}

// streamBuffer in bytes is what is received of the bodies on an HTTP/2 connection before they are read.
const streamBuffer = 64 << 10

// headerTimeout bounds how long a client may take to send its request header.
const headerTimeout = 5 * time.Second

func (n *Node) ready() error {
	if !n.config.Loaded() {
		return errkind.PlatformUnavailable.New("no configuration yet: neither the platform nor a peer has answered")
	}
	return nil
}

// Run serves until ctx ends, then drains. It returns an error if a listener can't be
// opened or work is unfinished at the drain timeout.
func (n *Node) Run(ctx context.Context) error {
	if n.settings.Memory > 0 {
		debug.SetMemoryLimit(callers.HeapLimit(n.settings.Memory))
	}
	peerListener, err := net.Listen("tcp", n.settings.PeerListen)
	if err != nil {
		return err
	}
	callerListener, err := n.callers.Gate.Listen(n.settings.CallerListen)
	if err != nil {
		return errors.Join(err, peerListener.Close())
	}
	lendingConn, err := net.ListenPacket("udp", n.settings.PeerListen)
	if err != nil {
		return errors.Join(err, peerListener.Close(), callerListener.Close())
	}
	n.recorder.Record(timeline.NodeStarted, "", n.self.ID, fmt.Sprintf("incarnation %d", n.self.Incarnation))
	tasksCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var tasks sync.WaitGroup
	n.startTasks(tasksCtx, &tasks)
	tasks.Go(func() { n.callers.Gate.Run(tasksCtx) })
	tasks.Go(func() { n.callers.RecordStats(tasksCtx, n.metrics.scope, n.recorder, n.self.ID) })
	tasks.Go(func() { n.lending.Run(tasksCtx, lendingConn) })
	go n.peerHTTP.Serve(peerListener)
	go n.callers.HTTP.Serve(callerListener)
	<-ctx.Done()
	err = n.drain(tasksCtx)
	stop()
	tasks.Wait()
	n.peerHTTP.Close()
	n.recorder.Record(timeline.NodeStopped, "", n.self.ID, "")
	return err
}

func (n *Node) startTasks(ctx context.Context, wg *sync.WaitGroup) {
	wg.Go(func() { n.membership.Run(ctx) })
	wg.Go(func() { n.config.Run(ctx) })
	wg.Go(func() { n.recordReady(ctx) })
	wg.Go(func() { n.targets.Run(ctx) })
	wg.Go(func() { n.targets.SendPressure(ctx, n.pool, n.worker.HandlePressure) })
	wg.Go(func() { n.replicator.Flush(ctx, n.settings.FlushInterval) })
	wg.Go(func() { n.replicator.Watch(ctx) })
	wg.Go(func() { n.claims.Run(ctx) })
	wg.Go(func() { n.worker.Run(ctx) })
	wg.Go(func() { n.crashes.Run(ctx) })
}

// readyPollInterval is the time between readiness checks of a starting node.
const readyPollInterval = 20 * time.Millisecond

func (n *Node) recordReady(ctx context.Context) {
	for n.ready() != nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(readyPollInterval):
		}
	}
	n.recorder.Record(timeline.NodeReady, "", n.self.ID, fmt.Sprintf("configuration version %d", n.config.Current().Version))
}

// deregistrationDelay is how long a leaving node still accepts requests after its health
// check fails, so that the load balancer has noticed.
const deregistrationDelay = 500 * time.Millisecond

// drain takes the node out of service: it fails the health check, stops accepting
// requests, waits for those in progress, and writes the results it still holds.
func (n *Node) drain(ctx context.Context) error {
	n.recorder.Record(timeline.NodeDraining, "", n.self.ID, "asked to stop")
	ctx, cancel := context.WithTimeout(ctx, n.settings.DrainTimeout)
	defer cancel()
	n.server.AnnounceLeaving()
	n.membership.SetLeaving()
	n.membership.Broadcast(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { n.worker.Drain(ctx) })
	time.Sleep(deregistrationDelay)
	n.server.Close()
	err := n.callers.HTTP.Shutdown(ctx)
	err = errors.Join(err, n.server.Drain(ctx))
	wg.Wait()
	n.checker.Assert(err == nil, invariant.DrainCompletesWork, "", n.self.ID, "drain: %v", err)
	if left := n.replicator.FlushAll(ctx); left > 0 {
		n.recorder.Record(timeline.ResultsFlushed, "", n.self.ID, fmt.Sprintf("%d results not written", left))
	}
	return err
}

// Current returns the configuration in force.
func (n *Node) Current() *fleet.Config { return n.config.Current() }

// Violations returns how many invariants were violated.
func (n *Node) Violations() int64 { return n.checker.Violations() }

// Metrics returns the root scope of the node's metrics.
func (n *Node) Metrics() tally.Scope { return n.metrics.scope }
