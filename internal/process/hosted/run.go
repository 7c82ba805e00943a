package hosted

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/peer"
	"github.com/marblepond/marblepond/internal/connection/relay"
	"github.com/marblepond/marblepond/internal/process/callers"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/checkpoint"
	"github.com/marblepond/marblepond/internal/request/job"
	"github.com/marblepond/marblepond/internal/version/follow"
)

// Halt ends Run at once, without handing jobs over, to simulate a crash in tests.
func (n *Node) Halt() { close(n.halted) }

// Run serves until ctx ends, then drains. It returns an error only if it cannot listen on
// an address.
func (n *Node) Run(ctx context.Context) error {
	if n.settings.Memory > 0 {
		debug.SetMemoryLimit(callers.HeapLimit(n.settings.Memory))
	}
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	n.recorder.Record(timeline.NodeStarted, "", n.settings.NodeID, fmt.Sprintf("boot %d", n.boot))
	taskCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var tasks sync.WaitGroup
	n.startTasks(taskCtx, listeners, &tasks)
	n.serve(listeners)
	select {
	case <-ctx.Done():
		n.drain(taskCtx)
	case <-n.halted:
		n.callers.HTTP.Close()
	}
	stop()
	tasks.Wait()
	for _, server := range []*http.Server{n.peerHTTP, n.readyHTTP, n.metricsHTTP} {
		server.Close()
	}
	n.recorder.Record(timeline.NodeStopped, "", n.settings.NodeID, "")
	return nil
}

type listeners struct {
	callers, ready, peers, metrics net.Listener
	beacon, lending                net.PacketConn
}

func (n *Node) listen() (listeners, error) {
	var l listeners
	var errs []error
	if address := n.settings.CallerListen; address != "" {
		listener, err := n.callers.Gate.Listen(address)
		l.callers = listener
		errs = append(errs, err)
	}
	for _, tcp := range []struct {
		address string
		into    *net.Listener
	}{{n.settings.ReadyListen, &l.ready}, {n.settings.PeerListen, &l.peers}, {n.settings.MetricsListen, &l.metrics}} {
		if tcp.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", tcp.address)
		*tcp.into = listener
		errs = append(errs, err)
	}
	for _, udp := range []struct {
		address string
		into    *net.PacketConn
	}{{n.settings.BeaconListen, &l.beacon}, {n.settings.LendingListen, &l.lending}} {
		if udp.address == "" {
			continue
		}
		conn, err := net.ListenPacket("udp", udp.address)
		*udp.into = conn
		errs = append(errs, err)
	}
	return l, errors.Join(errs...)
}

// headerTimeout bounds the time in which a client has to send its request header.
const headerTimeout = 5 * time.Second

func (n *Node) createServers(metricsPage http.Handler) {
	mux := http.NewServeMux()
	mux.Handle(marblepondv1connect.NewSyncServiceHandler(n.gossip, peer.RequireKey(n.settings.PeerKey)...))
	mux.Handle(marblepondv1connect.NewJobServiceHandler(n.jobs.PeerService(), peer.RequireKey(n.settings.PeerKey)...))
	mux.Handle(marblepondv1connect.NewRelayServiceHandler(&relay.Service{Store: n.adapter.Store, StoreReachable: n.adapter.Health.Up, Kinds: job.Kinds}, peer.RequireKey(n.settings.PeerKey)...))
	mux.Handle(marblepondv1connect.NewCheckpointServiceHandler(checkpoint.Service{Store: n.checkpoints}, peer.RequireKey(n.settings.PeerKey)...))
	mux.Handle(marblepondv1connect.NewQuarantineServiceHandler(n.crashes, peer.RequireKey(n.settings.PeerKey)...))
	mux.Handle(marblepondv1connect.NewBacklogServiceHandler(backlogService{n.backlogs}, peer.RequireKey(n.settings.PeerKey)...))
	mux.Handle(marblepondv1connect.NewOperatorServiceHandler(operatorService{node: n, crashes: n.crashes}, peer.RequireKey(n.settings.OperatorKey)...))
	page := http.NewServeMux()
	page.Handle("GET /metrics", metricsPage)
	n.metricsHTTP = &http.Server{Handler: page, ReadHeaderTimeout: headerTimeout}
	n.peerHTTP = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	n.readyHTTP = &http.Server{Handler: n.adapter.ReadyHandler(n), ReadHeaderTimeout: headerTimeout}
	n.callers = n.newCallerServer(n.closeWhenLeaving(n.adapter.CallerHandler(n)))
}

// closeWhenLeaving makes callers close their connections after the response while the node
// is leaving.
func (n *Node) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.Leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (n *Node) serve(l listeners) {
	for _, s := range []struct {
		server   *http.Server
		listener net.Listener
	}{{n.peerHTTP, l.peers}, {n.callers.HTTP, l.callers}, {n.readyHTTP, l.ready}, {n.metricsHTTP, l.metrics}} {
		if s.listener == nil {
			continue
		}
		go func() {
			if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
				n.recorder.Record(timeline.NodeStopped, "", s.listener.Addr().String(), "server stopped: "+err.Error())
			}
		}()
	}
}

func (n *Node) startTasks(ctx context.Context, l listeners, wg *sync.WaitGroup) {
	if n.settings.DataDir != "" {
		n.startSnapshot(ctx, wg)
		n.startCheckpointDisk(ctx, wg)
		n.startOriginsDisk(ctx, wg)
	}
	seedsQueried := make(chan struct{})
	wg.Go(func() {
		defer close(seedsQueried)
		n.syncWithSeeds(ctx)
	})
	for kind, age := range n.followedKinds() {
		n.cache.SetMaxAge(kind, age)
		r := follow.NewRefresher(kind)
		r.Store, r.Cache, r.Listener, r.MaxAge = n.adapter.Store, n.cache, n, age
		r.Self, r.DataCentre, r.PeersInDataCentre, r.OtherDataCentres = n.settings.NodeID, n.settings.DataCentre, n.followers(kind), n.beacon.ReachableDataCentres
		r.Log = n.copyUpdated
		if kind == kindNodes {
			n.nodeRefresher.Store(r)
		}
		wg.Go(func() {
			<-seedsQueried
			r.Run(ctx)
		})
	}
	wg.Go(func() { n.gossip.Run(ctx) })
	wg.Go(func() { n.register(ctx) })
	wg.Go(func() { n.removeLapsedTargets(ctx) })
	wg.Go(func() { every(ctx, tickInterval, n.origins.Tick) })
	wg.Go(func() { n.recordReady(ctx) })
	wg.Go(func() { n.recordPaces(ctx) })
	wg.Go(func() { n.recordCopies(ctx) })
	if l.callers != nil {
		wg.Go(func() { n.callers.Gate.Run(ctx) })
		wg.Go(func() { n.callers.RecordStats(ctx, n.metrics, n.recorder, n.settings.NodeID) })
	}
	wg.Go(func() { n.jobs.Run(ctx) })
	wg.Go(func() { n.crashes.Run(ctx) })
	wg.Go(func() { n.loadVerdicts(ctx) })
	wg.Go(func() { n.preemptOnLoadChange(ctx) })
	wg.Go(func() { n.backlogs.Run(ctx) })
	if l.lending != nil {
		wg.Go(func() { n.lending.Run(ctx, l.lending) })
	}
	if l.beacon != nil {
		wg.Go(func() { n.beacon.Run(ctx, l.beacon) })
	}
}

// tickInterval is the time between runs of periodic tasks.
const tickInterval = 200 * time.Millisecond

// removeLapsedTargets removes targets that lapsed during an outage of the object store,
// once the store's list of targets is trusted again.
func (n *Node) removeLapsedTargets(ctx context.Context) {
	every(ctx, tickInterval, func() {
		if n.pool.RemoveLapsed() {
			n.origins.SetListed(n.pool.Versions())
		}
	})
}

// every calls f each d until ctx ends.
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

// recordReady records once that the node knows its first configuration.
func (n *Node) recordReady(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	every(ctx, tickInterval, func() {
		if table := n.Table(); table != nil {
			n.recorder.Record(timeline.NodeReady, "", n.settings.NodeID, fmt.Sprintf("configuration version %d", table.Version))
			cancel()
		}
	})
}
