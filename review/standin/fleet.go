package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "desk-llm"
	host        = "desk.example"
)

// record writes what was sent, answered and run.
type record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// errCannotRun ends the case with exit status 2.
type errCannotRun struct{ cause string }

func check(err error) {
	if err != nil {
		panic(errCannotRun{err.Error()})
	}
}

// fleet is a small deployment: in each of three zones an entry node, a keeper and some runners.
type fleet struct {
	log     *record
	dir     string
	program string
	network string // first three bytes of its loopback addresses
	store   *store
	runners []*runner
	nodes   []*node
	stopped chan struct{}
	mu      sync.Mutex // guards runners and their states
}

type node struct {
	id, ip  string
	keeper  bool
	path    string
	cmd     *exec.Cmd
	exited  chan struct{}
	address string // for clients
}

// heartbeat is the time between two entries of a runner; after three without one the platform
// removes its entry.
const heartbeat = 1200 * time.Millisecond

var zones = []string{"hall-a", "hall-b", "hall-c"}

// Ports of a node; it has a loopback address of its own.
const (
	portFront = 8161 + iota
	portReady
	portControl
	portLending
	portBeacon
	portMetrics = 9464
	portRunner  = 8660
	portStore   = 8169
)

// freeNetwork returns a loopback network of which the ports that are needed are free.
func freeNetwork() string {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		free := true
		for ip := 1; ip <= 80 && free; ip++ {
			for _, port := range []int{portFront, portReady, portControl, portLending, portBeacon, portMetrics, portRunner, portStore} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", network, ip, port))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			return network
		}
	}
	panic(errCannotRun{"no free ports"})
}

func startFleet(log *record, program, dir string, config map[string]any, runners []*runner) *fleet {
	f := &fleet{log: log, dir: dir, program: program, network: freeNetwork(), stopped: make(chan struct{})}
	f.store = startStore(log, fmt.Sprintf("%s40:%d", f.network, portStore))
	f.store.put("config", "main", config)
	for i, r := range runners {
		r.id, r.zone, r.address = fmt.Sprintf("i-%04x", 0x7a10+i), zones[i%len(zones)], fmt.Sprintf("%s%d:%d", f.network, 20+i, portRunner)
		f.runners = append(f.runners, startRunner(log, r))
		f.store.put("servers", r.id, r.entry(1))
	}
	go f.beat()
	var seeds []string
	for i := range 2 * len(zones) {
		n := &node{ip: fmt.Sprintf("%s%d", f.network, i+1), keeper: i >= len(zones)}
		n.id = fmt.Sprintf("%s-%s", map[bool]string{false: "edge", true: "keeper"}[n.keeper], zones[i%len(zones)])
		n.address = fmt.Sprintf("%s:%d", n.ip, portFront)
		f.nodes = append(f.nodes, n)
		if !n.keeper {
			seeds = append(seeds, fmt.Sprintf("%s:%d", n.ip, portControl))
		}
	}
	for i, n := range f.nodes {
		f.writeSettings(n, zones[i%len(zones)], strings.Join(seeds, ","))
		f.startNode(n)
	}
	for _, n := range f.edges() {
		f.waitReady(n)
	}
	return f
}

func (f *fleet) edges() []*node { return f.nodes[:len(zones)] }

// beat lets the runners write their entries anew from time to time, as they do on the platform.
func (f *fleet) beat() {
	for seq := 2; ; seq++ {
		select {
		case <-f.stopped:
			return
		case <-time.After(heartbeat):
		}
		f.mu.Lock()
		for _, r := range f.runners {
			if !r.cut {
				f.store.put("servers", r.id, r.entry(seq))
			}
		}
		f.mu.Unlock()
	}
}

// writeSettings fills in platform/settings.ini.tmpl as the platform does.
func (f *fleet) writeSettings(n *node, zone, seeds string) {
	var b strings.Builder
	fmt.Fprintf(&b, "[node]\nid = %s\nfront = hosted\ndata_centre = %s\n", n.id, zone)
	if n.keeper {
		data := filepath.Join(f.dir, n.id+".data")
		check(os.MkdirAll(data, 0o755))
		fmt.Fprintf(&b, "peer_listen = %s:%d\ndata_dir = %s\n", n.ip, portLending, data)
	} else {
		fmt.Fprintf(&b, "caller_listen = %s:%d\nlending_listen = %s:%d\nready_listen = %s:%d\npeer_listen = %s:%d\n", n.ip, portFront, n.ip, portLending, n.ip, portReady, n.ip, portControl)
	}
	fmt.Fprintf(&b, "beacon_listen = %s:%d\nmetrics_listen = %s:%d\nseeds = %s\nfirst_start = true\n", n.ip, portBeacon, n.ip, portMetrics, seeds)
	fmt.Fprintf(&b, "[store]\naddress = %s\nwrite_rate = %d\nread_rate = %d\nmax_value = %d\n", f.store.address, writesPerS, readsPerS, valueBytes)
	b.WriteString("[follow]\nconfig_within = 2000ms\ntargets_within = 2000ms\nends_within = 3000ms\n[limits]\nmemory = 284\ndrain_timeout = 8s\n")
	b.WriteString("[targets]\neject_after = 2\neject_time = 500ms\nshared_view_nodes = 64\nshared_view_targets = 128\n[jobs]\nkeep_results = 120s\n[results]\nmemory = 6291456\n[log]\ntimeline_events = 2000\n")
	n.path = filepath.Join(f.dir, n.id+".ini")
	check(os.WriteFile(n.path, []byte(b.String()), 0o600))
}

// startNode starts a node's process with the command of the deploy file.
func (f *fleet) startNode(n *node) {
	out, err := os.OpenFile(filepath.Join(f.dir, n.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	n.cmd = exec.Command(f.program, "agent", "--settings", n.path)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(n.cmd.Start())
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		out.Close()
		close(exited)
	}(n.cmd, n.exited)
	f.log.line("node %s started", n.id)
}

func (f *fleet) waitReady(n *node) {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for range 200 {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", n.ip, portReady, pathReady))
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				f.log.line("node %s is ready", n.id)
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	panic(errCannotRun{"node " + n.id + " is not ready"})
}

func (f *fleet) stop() {
	close(f.stopped)
	for _, n := range f.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
	}
	f.log.line("all nodes ended")
}
