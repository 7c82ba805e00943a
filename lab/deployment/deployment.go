// Package deployment describes a small fleet on loopback addresses and runs it inside one
// process: nodes of the product, and stand-ins for the platform, engines and plain services.
package deployment

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/connection/peer"
	client "github.com/marblepond/marblepond/internal/connection/platform"
	"github.com/marblepond/marblepond/internal/process/node"
	"github.com/marblepond/marblepond/internal/process/settings"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/lab/engine"
	"github.com/marblepond/marblepond/lab/loopback"
	"github.com/marblepond/marblepond/lab/platform"
	"github.com/marblepond/marblepond/lab/service"
)

// Keys of a deployment.
const (
	PeerKey     = "peer-secret"
	OperatorKey = "operator-secret"
)

// Layout describes a deployment.
type Layout struct {
	Net           int // second byte of the addresses 127.Net.x.y; 0: one that is free
	DataCentres   []string
	Nodes         []int  // number of nodes by data centre
	Engines       int    // per data centre
	Services      int    // plain targets per data centre
	EngineName    string // service that the engines run
	PlainName     string // service that the plain targets run
	Model         engine.Model
	Loaded        []string // models that the engines have loaded from the start
	ExtraSettings string   // further settings of every node, INI text of complete sections
	Intent        string   // the first intent, INI text
	Variant       node.Variant
}

// Ports of all addresses, and the last bytes of the targets' addresses.
const (
	callerPort   = 7070
	peerPort     = 7071
	targetPort   = 8000
	platformPort = 9000
	firstEngine  = 100 // last byte of the first engine's address
	firstPlain   = 200
)

// nodeIP returns the IP address of a node.
func (l Layout) nodeIP(dc, n int) string { return fmt.Sprintf("127.%d.%d.%d", l.Net, dc+1, n+1) }

// CallerAddr returns the address at which a node serves callers.
func (l Layout) CallerAddr(dc, n int) string {
	return fmt.Sprintf("%s:%d", l.nodeIP(dc, n), callerPort)
}

// PeerAddr returns the address at which a node serves its peers and operators.
func (l Layout) PeerAddr(dc, n int) string { return fmt.Sprintf("%s:%d", l.nodeIP(dc, n), peerPort) }

// EngineAddr returns the address of an engine.
func (l Layout) EngineAddr(dc, n int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", l.Net, dc+1, firstEngine+n, targetPort)
}

// PlainAddr returns the address of a plain target.
func (l Layout) PlainAddr(dc, n int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", l.Net, dc+1, firstPlain+n, targetPort)
}

// PlatformAddr returns the address of the platform.
func (l Layout) PlatformAddr() string { return fmt.Sprintf("127.%d.0.1:%d", l.Net, platformPort) }

// NodeID returns the ID of a node.
func (l Layout) NodeID(dc, n int) string { return fmt.Sprintf("%s-n%d", l.DataCentres[dc], n) }

// Settings returns the INI text of a node's settings.
func (l Layout) Settings(dc, n int) string {
	var seeds []string
	for d := range l.DataCentres {
		seeds = append(seeds, l.PeerAddr(d, 0))
	}
	return fmt.Sprintf(`[node]
id = %s
data_centre = %s
caller_listen = %s
peer_listen = %s
seeds = %s

[platform]
url = http://%s

[security]
peer_key = %s
operator_key = %s

%s`, l.NodeID(dc, n), l.DataCentres[dc], l.CallerAddr(dc, n), l.PeerAddr(dc, n), strings.Join(seeds, ","), l.PlatformAddr(), PeerKey, OperatorKey, l.ExtraSettings)
}

// VMs returns the VM list of the layout.
func (l Layout) VMs() []client.VM {
	var vms []client.VM
	for d, dc := range l.DataCentres {
		for n := range l.Nodes[d] {
			vms = append(vms, client.VM{ID: l.NodeID(d, n), DataCentre: dc, Role: client.RoleEntry, Addr: l.PeerAddr(d, n)})
		}
		for n := range l.Engines {
			vms = append(vms, client.VM{ID: fmt.Sprintf("%s-e%d", dc, n), Incarnation: 1, DataCentre: dc, Role: client.RoleTarget, Service: l.EngineName, Addr: l.EngineAddr(d, n)})
		}
		for n := range l.Services {
			vms = append(vms, client.VM{ID: fmt.Sprintf("%s-s%d", dc, n), Incarnation: 1, DataCentre: dc, Role: client.RoleTarget, Service: l.PlainName, Addr: l.PlainAddr(d, n)})
		}
	}
	return vms
}

// Embedded is a deployment inside this process.
type Embedded struct {
	Layout
	Platform *platform.Server
	Engines  [][]*engine.Engine // by data centre
	Services [][]*service.Service
	Nodes    [][]*node.Node

	release   func() // of the network
	servers   []*http.Server
	stopFuncs map[string]func() // by node ID: drains a node and waits until it has ended
	done      chan struct{}
	wg        sync.WaitGroup
	mu        sync.Mutex
	errs      []error
}

// Start runs the deployment, applies its first intent and waits until every node can use as
// many targets as a data centre has.
func Start(l Layout) (*Embedded, error) {
	x, release, err := loopback.Reserve(l.Net)
	if err != nil {
		return nil, err
	}
	l.Net = x
	e := &Embedded{Layout: l, release: release, Platform: platform.New(), stopFuncs: map[string]func(){}, done: make(chan struct{})}
	if err := e.serve(l.PlatformAddr(), e.Platform); err != nil {
		return nil, err
	}
	e.Platform.SetVMs(l.VMs())
	if err := e.startTargets(); err != nil {
		return nil, err
	}
	for d := range l.DataCentres {
		e.Nodes = append(e.Nodes, make([]*node.Node, l.Nodes[d]))
		for n := range l.Nodes[d] {
			if err := e.StartNode(d, n); err != nil {
				return nil, err
			}
		}
	}
	if err := e.apply(l.Intent); err != nil {
		return nil, err
	}
	return e, e.waitReady(targetsTimeout)
}

// targetsTimeout is how long a node may take to use all targets of its data centre.
const targetsTimeout = 20 * time.Second

func (e *Embedded) startTargets() error {
	for d := range e.DataCentres {
		e.Engines = append(e.Engines, nil)
		e.Services = append(e.Services, nil)
		for n := range e.Layout.Engines {
			en := engine.New(e.Model, e.Loaded...)
			e.Engines[d] = append(e.Engines[d], en)
			go en.Run(e.done)
			if err := e.serve(e.EngineAddr(d, n), en.Handler()); err != nil {
				return err
			}
		}
		for n := range e.Layout.Services {
			s := &service.Service{Delay: 5 * time.Millisecond}
			e.Services[d] = append(e.Services[d], s)
			if err := e.serve(e.PlainAddr(d, n), s.Handler()); err != nil {
				return err
			}
		}
	}
	return nil
}

func (e *Embedded) serve(addr string, h http.Handler) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h}
	e.servers = append(e.servers, server)
	go server.Serve(listener)
	return nil
}

// StartNode starts a node. It also restarts one after StopNode.
func (e *Embedded) StartNode(dc, n int) error {
	s, err := settings.Parse(e.NodeID(dc, n), []byte(e.Settings(dc, n)))
	if err != nil {
		return err
	}
	nd := node.NewVariant(s, os.Stderr, e.Variant)
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	e.mu.Lock()
	e.Nodes[dc][n] = nd
	e.stopFuncs[s.NodeID] = func() { stop(); <-stopped }
	e.mu.Unlock()
	e.wg.Go(func() {
		defer close(stopped)
		if err := nd.Run(ctx); err != nil {
			e.mu.Lock()
			e.errs = append(e.errs, fmt.Errorf("%s: %w", s.NodeID, err))
			e.mu.Unlock()
		}
	})
	return nil
}

// StopNode drains a node and waits until it has ended.
func (e *Embedded) StopNode(dc, n int) { e.stopFuncs[e.NodeID(dc, n)]() }

// Stop ends the deployment and returns the errors of its nodes.
func (e *Embedded) Stop() error {
	var stopping sync.WaitGroup
	for _, stop := range e.stopFuncs {
		stopping.Go(stop)
	}
	stopping.Wait()
	e.wg.Wait()
	close(e.done)
	for _, s := range e.servers {
		s.Close()
	}
	e.release()
	return errors.Join(e.errs...)
}

// Violations returns the number of invariant violations of all nodes.
func (e *Embedded) Violations() int64 {
	var total int64
	for _, row := range e.Nodes {
		for _, n := range row {
			total += n.Violations()
		}
	}
	return total
}

// apply applies an intent at the first node, with retries while that starts.
func (e *Embedded) apply(intent string) error {
	var last error
	for range 100 {
		if _, last = Apply(e.PeerAddr(0, 0), intent); last == nil {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return last
}

// ErrStale is returned if another change was applied since the plan was made.
var ErrStale = errors.New("stale plan")

// Apply plans and applies an intent at a node and returns the new configuration version.
func Apply(addr, intent string) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	operator := peer.NewOperatorClient(http.DefaultClient, addr, OperatorKey)
	plan, err := operator.Plan(ctx, &v1.PlanRequest{Intent: intent})
	if err != nil {
		return 0, err
	}
	resp, err := operator.Apply(ctx, &v1.ApplyRequest{Intent: intent, BaseVersion: plan.BaseVersion})
	if err != nil {
		return 0, err
	}
	if resp.Stale {
		return 0, ErrStale
	}
	return resp.Version, nil
}

// waitReady waits until every node can use as many targets as a data centre has.
func (e *Embedded) waitReady(limit time.Duration) error {
	for d := range e.DataCentres {
		for n := range e.Layout.Nodes[d] {
			if err := WaitTargets(e.PeerAddr(d, n), e.Layout.Engines+e.Layout.Services, limit); err != nil {
				return fmt.Errorf("%s: %w", e.NodeID(d, n), err)
			}
		}
	}
	return nil
}

// WaitTargets waits until the node at addr has at least want usable targets.
func WaitTargets(addr string, want int, limit time.Duration) error {
	operator := peer.NewOperatorClient(http.DefaultClient, addr, OperatorKey)
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		resp, err := operator.Targets(ctx, &v1.TargetsRequest{})
		cancel()
		usable := 0
		if err == nil {
			for _, t := range resp.Targets {
				if t.Ejected == "" && t.Load.MaxRunning > 0 {
					usable++
				}
			}
		}
		if usable >= want {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("fewer than %d usable targets after %v", want, limit)
}
