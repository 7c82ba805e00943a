// Package node assembles the process: it connects the parts, starts a
// goroutine for each duty, and takes the node down again without cutting
// anything in progress.
package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/uber-go/tally/v4"

	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/dial"
	"github.com/marblepond/marblepond/internal/connection/engine"
	"github.com/marblepond/marblepond/internal/connection/lending"
	"github.com/marblepond/marblepond/internal/connection/peer"
	"github.com/marblepond/marblepond/internal/connection/platform"
	"github.com/marblepond/marblepond/internal/errkind"
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

// Node is one agent.
type Node struct {
	settings *settings.Settings
	variant  Variant
	self     member.Info

	recorder   *timeline.Recorder
	checker    *invariant.Checker
	metrics    *metrics
	pool       *peer.Pool
	peerClient *http.Client // behind pool
	crashes    *crashes.Watch
	lending    *lending.Exchange
	clock      *clock.Clock
	platform   *platform.Client
	membership *membership.Manager
	config     *config.Manager
	targets    *targets.Manager
	keeper     *homes.Replicator
	claims     *claim.Claims
	store      *batch.Store
	worker     *batch.Worker
	runner     *run.Runner
	server     *serve.Server

	callerHTTP *http.Server
	peerHTTP   *http.Server
}

// stallTimeout is how long a target's stream may stay silent.
const stallTimeout = 10 * time.Second

// Variant replaces decisions by baselines, for measurements only; no setting
// leads to it.
type Variant struct {
	Policy      choose.Policy // empty: choose.Affinity
	Unthrottled bool          // batch fills targets whatever online does
}

// New connects the parts of a node, which writes its log to out.
func New(s *settings.Settings, out io.Writer) *Node { return NewVariant(s, out, Variant{}) }

// Parts returns what a hosted node is assembled from.
func Parts(s *settings.Settings, out io.Writer) hosted.Parts {
	m := newMetrics()
	return hosted.Parts{Settings: s, Metrics: m.scope, MetricsPage: m, Clock: clock.New(),
		Recorder: timeline.NewRecorder(s.NodeID, s.TimelineEvents, newLogger(s, out), m.scope)}
}

// NewVariant connects the parts of a node with baselines in place.
func NewVariant(s *settings.Settings, out io.Writer, v Variant) *Node {
	n := &Node{settings: s, variant: v, metrics: newMetrics(), clock: clock.New()}
	if n.variant.Policy == "" {
		n.variant.Policy = choose.Affinity
	}
	n.self = member.Info{ID: s.NodeID, Incarnation: uint64(time.Now().UnixNano()), DataCentre: s.DataCentre,
		PeerAddr: s.PeerAdvertise, CallerAddr: s.CallerAdvertise}
	n.recorder = timeline.NewRecorder(s.NodeID, s.TimelineEvents, newLogger(s, out), n.metrics.scope)
	n.checker = invariant.New(n.recorder, s.StopOnViolated)
	n.connect()
	n.assemble()
	return n
}

func newLogger(s *settings.Settings, out io.Writer) log.Interface {
	logger := &log.Logger{Handler: json.New(out), Level: log.MustParseLevel(s.LogLevel)}
	return logger.WithField("node", s.NodeID)
}

// connect makes the clients towards peers, platform and targets.
func (n *Node) connect() {
	s := n.settings
	host, _, _ := net.SplitHostPort(s.PeerListen)
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	n.peerClient = peer.NewHTTPClient(&http.Transport{DialContext: dialer.DialContext})
	n.pool = peer.NewPool(n.peerClient, s.PeerKey)
	n.platform = platform.New(platform.Options{
		URL: s.PlatformURL, Caller: s.NodeID, Timeout: s.PlatformTimeout, WriteRate: s.PlatformWriteRate, ReadRate: s.PlatformReadRate,
		Metrics: n.metrics.scope, HTTP: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: platformConns}},
		OnChange: n.platformChanged,
	})
}

const (
	platformConns = 32
	targetConns   = 256
)

func (n *Node) platformChanged(up bool) {
	code := timeline.PlatformDown
	if up {
		code = timeline.PlatformUp
	}
	n.recorder.Record(code, "", "platform", "")
}

func (n *Node) engineClient() *engine.Client {
	host, _, _ := net.SplitHostPort(n.settings.PeerListen)
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	transport := &http.Transport{DialContext: dial.DetectClosed(dialer.DialContext), MaxIdleConnsPerHost: targetConns, IdleConnTimeout: time.Minute, DisableCompression: true}
	return engine.New(&http.Client{Transport: transport}, stallTimeout)
}

// assemble makes the parts and joins them.
func (n *Node) assemble() {
	s := n.settings
	engines := n.engineClient()
	n.membership = membership.New(n.self, member.Timing{Heartbeat: s.Heartbeat, SuspectAfter: s.SuspectAfter, DeadAfter: s.DeadAfter}, s.Seeds, n.pool, n.recorder)
	n.config = config.New(n.platform, n.pool, n.membership, n.recorder, n.checker, s.WatchTimeout)
	n.targets = targets.New(targets.Config{VMListInterval: s.VMListInterval, LoadInterval: s.LoadInterval,
		Choose: choose.Config{EjectAfter: s.EjectAfter, EjectTime: s.EjectTime, Policy: n.variant.Policy}},
		n.platform, engines, n.membership, n.recorder, n.checker, n.config.Current)
	n.crashes = n.newCrashWatch(n.peerClient)
	n.runner = run.New(n.targets, engines, &remotes{n}, n.crashes, n.recorder, n.checker, s.RetryShare, s.LoadInterval, n.clock.Now)
	n.keeper = homes.New(s.ResultMemory, n.membership.View, n.pool, n.platform, n.recorder, func(r hold.Request) { n.server.Rerun(r) })
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
			Allowances: n.lending, Replicas: n.keeper, Claims: n.claims, Store: n.store, Recorder: n.recorder, Checker: n.checker, Metrics: n.metrics.scope, PeerKey: s.PeerKey})
	n.server.Handle("GET /metrics", n.metrics)
	n.targets.SetBatch(n.worker.InFlight, n.worker.HandleLoadReport, n.worker.SetOwnedTargets)
	n.membership.Carry(n.config)
	n.membership.Carry(n.targets)
	n.membership.Carry(crashNews{n.crashes})
	n.config.OnChange(func(c *fleet.Config) { n.targets.Evacuate(c.Evacuated) })
	n.targets.OnEnded(func(t choose.Target) { n.crashes.Ended(t, quarantine.Restarted) })
	n.membership.OnChange(n.targets.Reown)
	n.membership.OnChange(n.keeper.TakeOverOrphans)
	n.membership.OnChange(n.worker.DropDeadNodes)
	n.listenHandlers()
}

// quietTime is how long room freed for an online rise stays free.
const quietTime = 100 * time.Millisecond

func (n *Node) listenHandlers() {
	peerMux := http.NewServeMux()
	peerMux.Handle(marblepondv1connect.NewPeerServiceHandler(&peerService{n}, peer.RequireKey(n.settings.PeerKey)...))
	peerMux.Handle(marblepondv1connect.NewOperatorServiceHandler(&operatorService{n}, peer.RequireKey(n.settings.OperatorKey)...))
	peerMux.Handle(marblepondv1connect.NewQuarantineServiceHandler(n.crashes, peer.RequireKey(n.settings.PeerKey)...))
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	n.peerHTTP = &http.Server{Addr: n.settings.PeerListen, Handler: peerMux, Protocols: protocols, ReadHeaderTimeout: headerTimeout}
	n.callerHTTP = &http.Server{Addr: n.settings.CallerListen, Handler: n.server, Protocols: protocols,
		ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: n.settings.MaxHeader}
}

// headerTimeout bounds how long a caller may take to send its header.
const headerTimeout = 5 * time.Second

func (n *Node) ready() error {
	if !n.config.Loaded() {
		return errkind.PlatformUnavailable.New("no configuration yet: neither the platform nor a peer has answered")
	}
	return nil
}

// Run serves until ctx ends, then drains and returns. A listen error or work
// left unfinished at the drain timeout is returned.
func (n *Node) Run(ctx context.Context) error {
	peerListener, err := net.Listen("tcp", n.settings.PeerListen)
	if err != nil {
		return err
	}
	callerListener, err := net.Listen("tcp", n.settings.CallerListen)
	if err != nil {
		return errors.Join(err, peerListener.Close())
	}
	lendingConn, err := net.ListenPacket("udp", n.settings.PeerListen)
	if err != nil {
		return errors.Join(err, peerListener.Close(), callerListener.Close())
	}
	n.recorder.Record(timeline.NodeStarted, "", n.self.ID, fmt.Sprintf("incarnation %d", n.self.Incarnation))
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var duties sync.WaitGroup
	n.startDuties(work, &duties)
	duties.Go(func() { n.lending.Run(work, lendingConn) })
	go n.peerHTTP.Serve(peerListener)
	go n.callerHTTP.Serve(callerListener)
	<-ctx.Done()
	err = n.drain(work)
	stop()
	duties.Wait()
	n.peerHTTP.Close()
	n.recorder.Record(timeline.NodeStopped, "", n.self.ID, "")
	return err
}

func (n *Node) startDuties(ctx context.Context, wg *sync.WaitGroup) {
	wg.Go(func() { n.membership.Run(ctx) })
	wg.Go(func() { n.config.Run(ctx) })
	wg.Go(func() { n.announceReady(ctx) })
	wg.Go(func() { n.targets.Run(ctx) })
	wg.Go(func() { n.targets.SendPressure(ctx, n.pool, n.worker.HandlePressure) })
	wg.Go(func() { n.keeper.Flush(ctx, n.settings.FlushInterval) })
	wg.Go(func() { n.keeper.Watch(ctx) })
	wg.Go(func() { n.claims.Run(ctx) })
	wg.Go(func() { n.worker.Run(ctx) })
	wg.Go(func() { n.crashes.Run(ctx) })
}

// readyPoll is the time between looks at whether a starting node is ready.
const readyPoll = 20 * time.Millisecond

func (n *Node) announceReady(ctx context.Context) {
	for n.ready() != nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(readyPoll):
		}
	}
	n.recorder.Record(timeline.NodeReady, "", n.self.ID, fmt.Sprintf("configuration version %d", n.config.Current().Version))
}

// settleTime is how long a leaving node still takes calls after its health
// answer fails, so that the balancer has seen it.
const settleTime = 500 * time.Millisecond

// drain takes the node out of service: health answer first, then no new
// calls, then everything in progress to its end, then what it holds.
func (n *Node) drain(ctx context.Context) error {
	n.recorder.Record(timeline.NodeDraining, "", n.self.ID, "asked to stop")
	ctx, cancel := context.WithTimeout(ctx, n.settings.DrainTimeout)
	defer cancel()
	n.server.AnnounceLeaving()
	n.membership.SetLeaving()
	n.membership.Tell(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { n.worker.Drain(ctx) })
	time.Sleep(settleTime)
	n.server.Close()
	err := n.callerHTTP.Shutdown(ctx)
	err = errors.Join(err, n.server.Drain(ctx))
	wg.Wait()
	n.checker.Assert(err == nil, invariant.DrainCutsNothing, "", n.self.ID, "drain: %v", err)
	if left := n.keeper.FlushAll(ctx); left > 0 {
		n.recorder.Record(timeline.ResultsFlushed, "", n.self.ID, fmt.Sprintf("%d results not written", left))
	}
	return err
}

// Current returns the configuration in force.
func (n *Node) Current() *fleet.Config { return n.config.Current() }

// Violations returns how many invariants were violated.
func (n *Node) Violations() int64 { return n.checker.Violations() }

// Metrics returns the node's root scope.
func (n *Node) Metrics() tally.Scope { return n.metrics.scope }
