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
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/checkpoint"
	"github.com/marblepond/marblepond/internal/request/job"
	"github.com/marblepond/marblepond/internal/version/follow"
)

// Halt ends Run at once and hands nothing over, as a crash would; for tests.
func (n *Node) Halt() { close(n.halted) }

// memoryShare is the share of the memory allowed that the garbage collector
// keeps below; the rest is for stacks, buffers of the kernel and the program.
const memoryShare = 0.9

// Run serves until ctx ends, then drains. A listen error is returned.
func (n *Node) Run(ctx context.Context) error {
	if n.settings.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(n.settings.Memory<<20) * memoryShare))
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
	for _, server := range []*http.Server{n.peerHTTP, n.readyHTTP, n.pageHTTP} {
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
	for _, place := range []struct {
		address string
		into    *net.PacketConn
	}{{n.settings.BeaconListen, &l.beacon}, {n.settings.LendingListen, &l.lending}} {
		if place.address == "" {
			continue
		}
		conn, err := net.ListenPacket("udp", place.address)
		*place.into = conn
		errs = append(errs, err)
	}
	return l, errors.Join(errs...)
}

// headerTimeout bounds how long a caller may take to send its header.
const headerTimeout = 5 * time.Second

func (n *Node) listenHandlers(metricsPage http.Handler) {
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
	n.pageHTTP = &http.Server{Handler: page, ReadHeaderTimeout: headerTimeout}
	n.peerHTTP = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	n.readyHTTP = &http.Server{Handler: n.adapter.Ready(n), ReadHeaderTimeout: headerTimeout}
	n.callers = newCallerServer(n.closing(n.adapter.Callers(n)))
}

// closing tells callers of a leaving node to use their connection no more.
func (n *Node) closing(next http.Handler) http.Handler {
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
	}{{n.peerHTTP, l.peers}, {n.callers.http, l.callers}, {n.readyHTTP, l.ready}, {n.pageHTTP, l.metrics}} {
		if s.listener == nil {
			continue
		}
		go func() {
			if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
				n.recorder.Record(timeline.NodeStopped, "", s.listener.Addr().String(), "no longer listens: "+err.Error())
			}
		}()
	}
}

func (n *Node) startDuties(ctx context.Context, l listeners, wg *sync.WaitGroup) {
	if n.settings.DataDir != "" {
		n.keepSnapshot(ctx, wg)
		n.keepCheckpoints(ctx, wg)
	}
	greeted := make(chan struct{})
	wg.Go(func() {
		defer close(greeted)
		n.greet(ctx)
	})
	for kind, age := range n.followed() {
		r := follow.NewRefresher(kind)
		r.Store, r.Cache, r.Listener, r.MaxAge = n.adapter.Store, n.cache, n, age
		r.Self, r.DataCentre, r.Near, r.Centres = n.settings.NodeID, n.settings.DataCentre, n.followers(kind), n.beacon.ReachableDataCentres
		if kind == kindNodes {
			n.nodeList.Store(r)
		}
		wg.Go(func() {
			<-greeted
			r.Run(ctx)
		})
	}
	wg.Go(func() { n.gossip.Run(ctx) })
	wg.Go(func() { n.register(ctx) })
	wg.Go(func() { n.settle(ctx) })
	wg.Go(func() { n.announceReady(ctx) })
	wg.Go(func() { n.callers.reapIdle(ctx) })
	wg.Go(func() { n.jobs.Run(ctx) })
	wg.Go(func() { n.crashes.Run(ctx) })
	wg.Go(func() { n.recallVerdicts(ctx) })
	wg.Go(func() { n.yield(ctx) })
	wg.Go(func() { n.backlogs.Run(ctx) })
	if l.lending != nil {
		wg.Go(func() { n.lending.Run(ctx, l.lending) })
	}
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
