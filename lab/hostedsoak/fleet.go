package hostedsoak

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/marblepond/marblepond/lab/hosted"
)

// Sizes and times of a fleet of a few dozen processes and servers.
const (
	dataCentreCount      = 2
	nodesPerDataCentre   = 3 // nodes that serve callers
	runnersPerDataCentre = 3
	slotsPerRunner       = 8
	answerEvents         = 30
	eventGap             = 15 * time.Millisecond
	nodeCount            = dataCentreCount * nodesPerDataCentre
	runnerCount          = dataCentreCount * runnersPerDataCentre
	sharedViewNodes      = min(3, nodeCount) // that turn the shared view on, if the run uses it
	nodeTemplate         = "[node]\nid = %s\nfront = hosted\ndata_centre = %s\ncaller_listen = %s:7070\nready_listen = %s:7071\npeer_listen = %s:7072\npeer_advertise = %s\nbeacon_listen = %s:7073\nlending_listen = %s:7075\nmetrics_listen = %s:7074\nseeds = %s\n[store]\naddress = %s\n[jobs]\ntake_over_after = 3s\nsweep_interval = 2s\nkeep_results = 10m\n[limits]\ndrain_timeout = 8s\n[targets]\neject_time = 500ms\n[log]\nstop_on_violation = true\n"
	stopTimeout          = 10 * time.Second
	readyTimeout         = 10 * time.Second
	drainTime            = 2 * time.Second // a runner serves for this time after it has announced that it is draining
	entryExpiry          = 3 * time.Second // after which the entry of a crashed runner is deleted
	readyPollInterval    = 20 * time.Millisecond
	// smallMaxValue is less than the results of a job take, and more than its head.
	smallMaxValue = 8 << 10
)

// node is a node's process with the proxies of its connections.
type node struct {
	name     string
	centre   string
	host     string
	settings string
	log      string
	callers  *Proxy
	peers    *Proxy
	store    *Proxy

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error
	starts  int // number of starts of the process
}

// runnerSlot is an address at which one runner after another runs.
type runnerSlot struct {
	centre string
	proxy  *Proxy

	mu      sync.Mutex
	runner  *hosted.Runner
	state   string // that the runner is registered in
	started int
}

type fleet struct {
	store       *hosted.Store
	nodes       []*node
	runnerSlots []*runnerSlot

	mu       sync.Mutex
	runners  []*hosted.Runner // all runners of the run, also replaced ones, for the final checks
	version  int
	releases int           // runners that were replaced in releases
	release  int           // number of the newest version of runners
	badPart  string        // part of prompts that crashes runners now; empty: none
	itemGap  time.Duration // between events of items; 0: as of others
	stopped  chan struct{}
}

// putIdle writes the entry of a target that nobody uses.
func (f *fleet) putIdle(i int, state string) {
	f.store.Put("servers", fmt.Sprintf("idle-%05d", i), map[string]any{"service": "svc-idle", "address": "127.0.0.1:1", "zone": dataCentreName(0), "version": hosted.DefaultVersion,
		"slots": 8.0, "state": state, "warmup_left_ms": 0.0, "seq": 1, "born": 1})
}

const (
	// idleChangeInterval is the time between changes of the entries of idle targets, and
	// idleChanges is how many change at once: between two refreshes more than an answer of the
	// store has.
	idleChangeInterval = 100 * time.Millisecond
	idleChanges        = 100
)

// changeIdle changes the entries of idle targets until the fleet stops.
func (f *fleet) changeIdle(count int) {
	ticker := time.NewTicker(idleChangeInterval)
	defer ticker.Stop()
	for next := 0; ; {
		select {
		case <-f.stopped:
			return
		case <-ticker.C:
		}
		for range idleChanges {
			state := "ready"
			if next/count%2 == 0 {
				state = "draining"
			}
			f.putIdle(next%count, state)
			next++
		}
	}
}

func dataCentreName(n int) string { return fmt.Sprintf("hall-%c", 'a'+n) }

func startFleet(o Options) (*fleet, error) {
	f := &fleet{store: hosted.NewStore(), version: 1, release: 1, stopped: make(chan struct{})}
	if o.AllKilled {
		f.itemGap = longItemGap
	}
	f.store.Put("config", "main", f.config())
	if o.RunnerFaults {
		f.store.SetMaxValue(smallMaxValue)
	}
	if o.IdleTargets > 0 {
		f.store.SetLimits(hosted.AnswerLimits{List: 500, Watch: 500, Bytes: 1 << 20})
		for i := range o.IdleTargets {
			f.putIdle(i, "ready")
		}
	}
	for i := range runnerCount {
		proxy, err := NewProxy(fmt.Sprintf("127.%d.3.%d:7070", o.Net, i+1), "")
		if err != nil {
			return f, err
		}
		s := &runnerSlot{centre: dataCentreName(i / runnersPerDataCentre), proxy: proxy}
		f.runnerSlots = append(f.runnerSlots, s)
		version := hosted.DefaultVersion
		if o.Versions && i%2 == 1 {
			version = "v2"
			f.release = 2
		}
		f.startRunner(s, i, version)
	}
	for i := range nodeCount {
		n, err := f.newNode(o, i)
		if err != nil {
			return f, err
		}
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		if err := n.start(filepath.Join(o.Bin, "marblepond")); err != nil {
			return f, err
		}
	}
	for _, n := range f.nodes {
		if err := n.waitReady(); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *fleet) config() map[string]any {
	return hosted.Config(f.version, func(c map[string]any) {
		routes := c["routes"].([]any)
		for _, r := range routes { // faults may delay batch jobs for long
			if r.(map[string]any)["kind"] == "batch" {
				r.(map[string]any)["keep_s"], r.(map[string]any)["cap"] = 600.0, 0
			}
		}
	}, workspaces(f.version))
}

// runnersPerVersion is how many runners get one version before a release goes on to the next.
const runnersPerVersion = 3

// nextVersion returns the version of a runner that is released now.
func (f *fleet) nextVersion() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.releases++
	if f.releases%runnersPerVersion == 1 {
		f.release++
	}
	return fmt.Sprint("v", f.release)
}

// startRunner starts a new runner in a slot and registers it.
func (f *fleet) startRunner(s *runnerSlot, index int, version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started++
	s.runner = hosted.NewRunner(fmt.Sprintf("i-%d-%d", index, s.started), hosted.Service, f.slots(), answerEvents, eventGap)
	s.runner.SetVersion(version)
	if f.itemGap > 0 {
		s.runner.SetGap(hosted.BatchPath, f.itemGap)
	}
	f.followProcess(s, s.runner)
	s.proxy.Retarget(s.runner.Address())
	if err := s.proxy.Accept(); err != nil { // the runner before may have ended
		panic(err) // as NewRunner does when it cannot listen
	}
	f.mu.Lock()
	f.runners = append(f.runners, s.runner)
	s.runner.SetCrashingParts(f.badPart)
	f.mu.Unlock()
	f.register(s, "ready")
}

// register writes the entry of a slot's runner with the address of its proxy.
// The caller holds s.mu.
func (f *fleet) register(s *runnerSlot, state string) {
	s.state = state
	entry := s.runner.Entry(s.centre, state)
	entry["address"] = s.proxy.Address()
	f.store.Put("servers", s.runner.ID, entry)
}

func (f *fleet) newNode(o Options, i int) (*node, error) {
	centre := dataCentreName(i / nodesPerDataCentre)
	n := &node{name: fmt.Sprintf("edge-%s-%d", centre, i%nodesPerDataCentre), centre: centre, host: fmt.Sprintf("127.%d.1.%d", o.Net, i+1)}
	var errs [3]error
	n.callers, errs[0] = NewProxy(fmt.Sprintf("127.%d.2.%d:7070", o.Net, i+1), n.host+":7070")
	n.peers, errs[1] = NewProxy(fmt.Sprintf("127.%d.2.%d:7072", o.Net, i+1), n.host+":7072")
	n.store, errs[2] = NewProxy(fmt.Sprintf("127.%d.2.%d:7075", o.Net, i+1), f.store.Address())
	if err := errors.Join(errs[:]...); err != nil {
		return nil, err
	}
	seed := fmt.Sprintf("127.%d.2.1:7072", o.Net)
	n.settings, n.log = filepath.Join(o.Dir, n.name+".ini"), filepath.Join(o.Dir, n.name+".log")
	text := fmt.Sprintf(nodeTemplate, n.name, centre, n.host, n.host, n.host, n.peers.Address(), n.host, n.host, n.host, seed, n.store.Address())
	if o.SharedView {
		text += fmt.Sprintf("[targets]\nshared_view_nodes = %d\n", sharedViewNodes)
	}
	if o.RunnerFaults {
		text += fmt.Sprintf("[store]\nmax_value = %d\n", smallMaxValue)
	}
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

func (n *node) start(program string) error {
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command(program, "agent", "--settings", n.settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends the node if this process is killed
	if err := cmd.Start(); err != nil {
		return errors.Join(err, out.Close())
	}
	n.cmd = cmd
	n.starts++
	done := make(chan struct{})
	n.exited = done
	go func() {
		err := cmd.Wait()
		out.Close()
		n.mu.Lock()
		n.exitErr = err
		n.mu.Unlock()
		close(done)
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(s) // fails only if the process has ended
}

// exitChannel returns the channel that is closed when the current process ends.
func (n *node) exitChannel() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exited
}

// running reports whether the process runs, and how often it has been started.
func (n *node) running() (bool, int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.exited:
		return false, n.starts
	default:
		return true, n.starts
	}
}

// exitError returns the error of the last process that ended.
func (n *node) exitError() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exitErr
}

// probeClient has a short timeout, since a frozen node does not respond.
var probeClient = &http.Client{Timeout: 300 * time.Millisecond}

func (n *node) ready() bool {
	resp, err := probeClient.Get("http://" + n.host + ":7071/v1/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (n *node) waitReady() error {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(readyPollInterval) {
		if n.ready() {
			return nil
		}
	}
	return fmt.Errorf("node %s is not ready after %v; its log is %s", n.name, readyTimeout, n.log)
}

// loggedViolations returns the lines of the nodes' logs that report a broken invariant.
func (f *fleet) loggedViolations() []string {
	var out []string
	for _, n := range f.nodes {
		data, err := os.ReadFile(n.log)
		if err != nil {
			out = append(out, "no log: "+err.Error())
			continue
		}
		for _, line := range strings.Split(string(data), "\n") {
			if strings.Contains(line, "invariant_violated") || strings.Contains(line, "panic:") || strings.Contains(line, "DATA RACE") {
				out = append(out, n.name+": "+line)
			}
		}
	}
	return out
}

func (f *fleet) stop() {
	close(f.stopped)
	for _, n := range f.nodes {
		if n.cmd != nil {
			n.signal(syscall.SIGKILL)
			<-n.exitChannel()
		}
		for _, p := range []*Proxy{n.callers, n.peers, n.store} {
			p.Close()
		}
	}
	for _, s := range f.runnerSlots {
		s.proxy.Close()
	}
	for _, r := range f.runners {
		r.Close()
	}
	f.store.Close()
}
