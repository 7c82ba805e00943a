package main

import (
	"context"
	"errors"
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

// Bounds of a small deployment, as SYSTEM.md and DEPLOY.md give them for keystel-queue.
const (
	memoryMB    = 134
	maxFDs      = 4100
	statusS     = 120
	configMS    = 2000
	drainMS     = 2000
	cancelMS    = 3000
	graceS      = 8
	settle      = time.Second
	quotaOver   = 0.1
	heartbeat   = 1200 * time.Millisecond
	startsAfter = 10 * time.Second // traffic, after the machines
	restartPart = 300 * time.Millisecond
)

// node is one process of the project, started with the command of the deploy file.
type node struct {
	name, zone, ip string
	edge           bool
	dir            string

	mu  sync.Mutex
	cmd *exec.Cmd
}

func (n *node) front() string { return n.ip + ":8161" }

type fleet struct {
	bin     string
	dir     string
	net     int // second byte of the addresses
	store   *store
	nodes   []*node
	runners []*runner
	rec     *record
	stop    context.CancelFunc
	ctx     context.Context
	closers []interface{ Close() error }
}

func (f *fleet) ip(zone, n int) string { return fmt.Sprintf("127.%d.%d.%d", f.net, zone+1, n) }

func (f *fleet) storeAddress() string { return fmt.Sprintf("127.%d.200.7:8169", f.net) }

// freeNet returns the second byte of loopback addresses that nobody uses.
func freeNet() (int, error) {
	for range 50 {
		n := 10 + rand.IntN(200)
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.200.7:8169", n))
		if err == nil {
			l.Close()
			return n, nil
		}
	}
	return 0, errors.New("no free addresses")
}

var zoneNames = []string{"a", "b", "c"}

// options are the sizes of a deployment.
type options struct {
	edgesPerZone, runnersPerZone int
	slots, queue, events         int
	gap                          time.Duration
	statusS                      int
	config                       map[string]any
}

const service = "desk-llm"

func startFleet(bin string, rec *record, o options) (*fleet, error) {
	second, err := freeNet()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	f := &fleet{bin: bin, dir: dir, net: second, store: newStore(), rec: rec, ctx: ctx, stop: stop}
	running.Store(f)
	f.store.put("config", "main", o.config)
	server, err := f.store.listen(f.storeAddress())
	if err != nil {
		return f, err
	}
	f.closers = append(f.closers, server)
	for z, zone := range zoneNames {
		for i := range o.runnersPerZone {
			r := &runner{id: fmt.Sprintf("i-%s%d", zone, i+1), address: fmt.Sprintf("%s:9000", f.ip(z, 100+i)), zone: "hall-" + zone, service: service,
				slots: o.slots, queue: o.queue, events: o.events, gap: o.gap, rec: rec}
			server, err := r.listen()
			if err != nil {
				return f, err
			}
			f.closers = append(f.closers, server)
			f.runners = append(f.runners, r)
			f.store.put("servers", r.id, r.entry())
			go f.beat(r)
		}
		for i := range o.edgesPerZone {
			f.nodes = append(f.nodes, &node{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: "hall-" + zone, ip: f.ip(z, 10+i), edge: true, dir: filepath.Join(dir, fmt.Sprintf("edge-%s-%d", zone, i+1))})
		}
		f.nodes = append(f.nodes, &node{name: "storage-" + zone + "-1", zone: "hall-" + zone, ip: f.ip(z, 50), dir: filepath.Join(dir, "storage-"+zone+"-1")})
	}
	for _, n := range f.nodes {
		if err := f.writeSettings(n, o, true); err != nil {
			return f, err
		}
		if err := f.startNode(n); err != nil {
			return f, err
		}
	}
	for _, n := range f.nodes {
		if n.edge {
			if err := f.awaitReady(n, 20*time.Second); err != nil {
				return f, err
			}
		}
		if err := f.writeSettings(n, o, false); err != nil { // for later starts; read only then
			return f, err
		}
	}
	return f, nil
}

func (f *fleet) beat(r *runner) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-ticker.C:
			f.store.put("servers", r.id, r.entry())
		}
	}
}

// writeSettings writes what platform/settings.ini.tmpl gives for the fields of DEPLOY.md.
func (f *fleet) writeSettings(n *node, o options, bootstrap bool) error {
	if err := os.MkdirAll(filepath.Join(n.dir, "data"), 0o700); err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[node]\nid = %s\nfront = hosted\ndata_centre = %s\n", n.name, n.zone)
	if n.edge {
		fmt.Fprintf(&b, "caller_listen = %s\nlending_listen = %s:7720\nready_listen = %s:8167\npeer_listen = %s:8166\n", n.front(), n.ip, n.ip, n.ip)
	} else {
		fmt.Fprintf(&b, "peer_listen = %s:7720\n", n.ip)
	}
	fmt.Fprintf(&b, "beacon_listen = %s:7721\nmetrics_listen = %s:9464\nseeds = %s:8166,%s:8166,%s:8166\n", n.ip, n.ip, f.ip(0, 10), f.ip(1, 10), f.ip(2, 10))
	if bootstrap {
		b.WriteString("first_start = true\n")
	}
	memory := memoryMB
	if !n.edge {
		memory = 164
		fmt.Fprintf(&b, "data_dir = %s\n", filepath.Join(n.dir, "data"))
	}
	fmt.Fprintf(&b, "\n[store]\naddress = %s\nwrite_rate = 400\nread_rate = 2000\nmax_value = %d\n", f.storeAddress(), valueBytes)
	fmt.Fprintf(&b, "\n[follow]\nconfig_within = %dms\ntargets_within = %dms\nends_within = %dms\n", configMS, drainMS, cancelMS)
	fmt.Fprintf(&b, "\n[limits]\nmemory = %d\ndescriptors = %d\ndrain_timeout = %ds\n", memory, maxFDs, graceS)
	b.WriteString("\n[targets]\neject_after = 2\neject_time = 500ms\nshared_view_nodes = 64\nshared_view_targets = 128\n")
	fmt.Fprintf(&b, "\n[jobs]\nkeep_results = %ds\n\n[results]\nmemory = 6291456\n\n[log]\ntimeline_events = 2000\n", o.statusS)
	return os.WriteFile(n.settings(), []byte(b.String()), 0o600)
}

func (n *node) settings() string { return filepath.Join(n.dir, "boot.toml") }

func (f *fleet) startNode(n *node) error {
	log, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(f.bin, "agent", "--settings", n.settings())
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	go func() {
		cmd.Wait()
		log.Close()
		f.rec.add("ended", "node", n.name, "state", strings.ReplaceAll(cmd.ProcessState.String(), " ", "_"))
	}()
	n.mu.Lock()
	n.cmd = cmd
	n.mu.Unlock()
	f.rec.add("started", "node", n.name)
	return nil
}

// signal sends a signal to the process of a node.
func (f *fleet) signal(n *node, s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f.rec.add("signal", "node", n.name, "signal", strings.ReplaceAll(s.String(), " ", "_"))
	n.cmd.Process.Signal(s)
}

func (f *fleet) awaitReady(n *node, limit time.Duration) error {
	until := time.Now().Add(limit)
	client := http.Client{Timeout: time.Second}
	for time.Now().Before(until) {
		resp, err := client.Get("http://" + n.ip + ":8167" + pathReady)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", n.name)
}

func (f *fleet) node(name string) *node {
	for _, n := range f.nodes {
		if n.name == name {
			return n
		}
	}
	panic(name)
}

// close ends all processes that the fleet has started.
func (f *fleet) close() {
	f.stop()
	for _, n := range f.nodes {
		n.mu.Lock()
		if n.cmd != nil {
			n.cmd.Process.Signal(syscall.SIGCONT)
			n.cmd.Process.Kill()
		}
		n.mu.Unlock()
	}
	for _, c := range f.closers {
		c.Close()
	}
	time.Sleep(100 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}
