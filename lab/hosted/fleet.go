package hosted

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marblepond/marblepond/internal/process/hosted"
	"github.com/marblepond/marblepond/internal/process/node"
	"github.com/marblepond/marblepond/internal/process/settings"
	"github.com/marblepond/marblepond/lab/loopback"
	"github.com/marblepond/marblepond/platform"
)

// Names in the configuration that Config returns.
const (
	Service    = "svc-llm"
	Host       = "orders.example"
	StreamPath = "/ask/"   // streams that run at most once
	ResumePath = "/note/"  // streams that may be resumed
	RepeatPath = "/look/"  // idempotent requests
	BatchPath  = "/sheet/" // jobs
)

// resumeAttempts is how many attempts the route of ResumePath allows a request.
const resumeAttempts = 2

// Config returns a configuration with one service and a route of each kind.
func Config(version int, change ...func(map[string]any)) map[string]any {
	route := func(name, prefix, kind string, attempts int, resumable bool) map[string]any {
		return map[string]any{"name": name, "host": Host, "path_prefix": prefix, "kind": kind, "service": Service, "attempts": attempts,
			"resumable": resumable, "timeout_ms": 5000, "slo_ms": 300.0, "gap_aim_ms": 200, "priority": 0}
	}
	batch := route("batch", BatchPath, "batch", 3, true)
	batch["slo_ms"], batch["run_aim_ms"], batch["keep_s"], batch["cap"] = 400, 18000, 60.0, 100000
	config := map[string]any{
		"version": version,
		"routes": []any{route("stream", StreamPath, "streaming", 3, false), route("resume", ResumePath, "streaming", resumeAttempts, true),
			route("repeat", RepeatPath, "idempotent", 3, false), batch},
		"services": []any{map[string]any{"name": Service}},
		"limits":   map[string]any{"max_header_bytes": 4096, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	for _, f := range change {
		f(config)
	}
	return config
}

// Fleet is an object store, runners and nodes in one process.
type Fleet struct {
	Store       *Store
	Runners     []*Runner
	Nodes       []*Node
	Log         io.Writer
	dataCentres []string
}

// Node is one node of a fleet.
type Node struct {
	*hosted.Node
	Settings *settings.Settings
	cancel   context.CancelFunc
	done     chan struct{} // closed when the node has ended
	err      error
}

// CallerAddress returns the node's address for clients.
func (n *Node) CallerAddress() string { return n.Settings.CallerListen }

// Options of a fleet.
type Options struct {
	Nodes   int
	Runners int
	Slots   int
	Events  int           // of each answer
	Gap     time.Duration // between events
	// Versions are assigned to runners in rotation. Empty: all have DefaultVersion.
	Versions []string
	// DataCentres are assigned to nodes and to runners in rotation. Empty: one data centre.
	DataCentres []string
	Extra       string    // settings of every node, in INI
	Log         io.Writer // of the nodes; nil: discarded
}

// Start starts a fleet and waits until every node is ready.
func Start(o Options) (*Fleet, error) {
	f := &Fleet{Store: NewStore(), Log: o.Log}
	if f.Log == nil {
		f.Log = io.Discard
	}
	f.dataCentres = o.DataCentres
	f.Store.Put("config", "main", Config(1))
	for i := range o.Runners {
		r := NewRunner(fmt.Sprintf("i-%d", i), Service, o.Slots, o.Events, o.Gap)
		if len(o.Versions) > 0 {
			r.SetVersion(o.Versions[i%len(o.Versions)])
		}
		f.addRunner(r)
	}
	for i := range o.Nodes {
		if _, err := f.StartNode(fmt.Sprintf("edge-%d", i), o.Extra); err != nil {
			f.Stop()
			return nil, err
		}
	}
	for _, n := range f.Nodes {
		if err := f.waitReady(n); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

// dataCentreOf returns the data centre of the nth node or runner.
func (f *Fleet) dataCentreOf(n int) string {
	if len(f.dataCentres) == 0 {
		return "hall-a"
	}
	return f.dataCentres[n%len(f.dataCentres)]
}

// addRunner registers a runner, now and after each of its restarts.
func (f *Fleet) addRunner(r *Runner) {
	dataCentre := f.dataCentreOf(len(f.Runners))
	r.onRestart = func() { f.Store.Put("servers", r.ID, r.Entry(dataCentre, "ready")) }
	f.Runners = append(f.Runners, r)
	r.onRestart()
}

// hostCount is the number of loopback addresses that this process has assigned.
var hostCount atomic.Int32

// newHost returns a loopback address that no other node or runner has. 127.0.0.1
// is not used, because outgoing connections may occupy any of its ports.
func newHost() string {
	n := hostCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", processNet(), n/250, 1+n%250)
}

// processNet reserves a network 127.x for this process and returns x.
var processNet = sync.OnceValue(func() int {
	x, _, err := loopback.Reserve(0)
	if err != nil {
		panic(err)
	}
	return x
})

// StartNode starts a node; extra is added to its settings.
func (f *Fleet) StartNode(id, extra string) (*Node, error) {
	return f.startNode(id, newHost(), "", extra)
}

// StartKeeper starts a node that serves no callers and has a disk.
func (f *Fleet) StartKeeper(id, dir, extra string) (*Node, error) {
	return f.startNode(id, newHost(), dir, extra)
}

// Restart restarts a stopped node with its address and its disk.
func (f *Fleet) Restart(n *Node, extra string) (*Node, error) {
	f.Nodes = slices.DeleteFunc(f.Nodes, func(other *Node) bool { return other == n })
	host, _, err := net.SplitHostPort(n.Settings.PeerListen)
	if err != nil {
		return nil, err
	}
	return f.startNode(n.Settings.NodeID, host, n.Settings.DataDir, extra)
}

func (f *Fleet) startNode(id, host, dir, extra string) (*Node, error) {
	var seeds []string
	for _, n := range f.Nodes {
		seeds = append(seeds, n.Settings.PeerListen)
	}
	role := "caller_listen = " + host + ":7070"
	if dir != "" {
		role = "data_dir = " + dir
	}
	text := fmt.Sprintf(`[node]
id = %s
front = hosted
data_centre = %s
%s
ready_listen = %s:7071
peer_listen = %s:7072
beacon_listen = %s:7073
lending_listen = %s:7075
metrics_listen = %s:7074
seeds = %s
[store]
address = %s
[limits]
drain_timeout = 8s
[log]
level = info
timeline_events = 1000
%s`, id, f.dataCentreOf(len(f.Nodes)), role, host, host, host, host, host, strings.Join(seeds, ","), f.Store.Address(), extra)
	s, err := settings.Parse(id, []byte(text))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{Node: platform.New(node.HostedDependencies(s, f.Log)), Settings: s, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(n.done)
		n.err = n.Run(ctx)
	}()
	f.Nodes = append(f.Nodes, n)
	return n, nil
}

// readyTimeout is how long a node may take to become ready.
const readyTimeout = 5 * time.Second

func (f *Fleet) waitReady(n *Node) error {
	until := time.Now().Add(readyTimeout)
	for time.Now().Before(until) {
		resp, err := http.Get("http://" + n.Settings.ReadyListen + "/v1/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-n.done:
			return fmt.Errorf("node %s has ended: %w", n.Settings.NodeID, n.err)
		case <-time.After(10 * time.Millisecond):
		}
	}
	return fmt.Errorf("node %s is not ready after %v", n.Settings.NodeID, readyTimeout)
}

// Terminate stops a node gracefully and waits for its end.
func (n *Node) Terminate() error {
	n.cancel()
	<-n.done
	return n.err
}

// Kill ends a node as a crash does.
func (n *Node) Kill() {
	n.Halt()
	<-n.done
}

// Stop ends the fleet.
func (f *Fleet) Stop() {
	var wg sync.WaitGroup
	for _, n := range f.Nodes {
		wg.Go(func() {
			select {
			case <-n.done: // stopped by the test
			default:
				n.Kill()
			}
		})
	}
	wg.Wait()
	for _, r := range f.Runners {
		r.Close()
	}
	f.Store.Close()
}
