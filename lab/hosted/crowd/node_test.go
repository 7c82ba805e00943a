//go:build crowd

package crowd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/marblepond/marblepond/lab/hosted"
	"github.com/marblepond/marblepond/lab/loopback"
)

// Limits of the node under test.
const (
	memoryMiB      = 96
	maxDescriptors = 700
	// reservedDescriptors may not be taken by sockets.
	reservedDescriptors = 200
	maxBodyBytes        = 1 << 20
	maxHeaderBytes      = 8 << 10
)

const (
	startTimeout    = 10 * time.Second
	ordinaryTimeout = 20 * time.Second
	sampleInterval  = 20 * time.Millisecond
	// clientReadBuffer is small, so that unread answers stay at the node.
	clientReadBuffer = 4 << 10
	// The node has taken in what a crowd sent once its memory has not grown for settleTime.
	settleTime    = time.Second
	settleTimeout = 20 * time.Second
)

// program is the path of the compiled node.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err == nil {
		program = filepath.Join(dir, "marblepond")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", program, "github.com/marblepond/marblepond/cmd/marblepond").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "build the node:", err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// node is a node's process before a store and runners of the test's own process.
type node struct {
	t           *testing.T
	address     string // for callers
	pid         int
	ordinary    func(ctx context.Context, attempt int) bool // sends one ordinary request
	exited      chan struct{}
	stopped     chan struct{}
	descriptors chan int // the most that were open at once
}

const settingsTemplate = `[node]
id = edge-%[4]d
front = hosted
data_centre = hall-a
caller_listen = %[1]s:7070
ready_listen = %[1]s:7071
peer_listen = %[1]s:7072
beacon_listen = %[1]s:7073
metrics_listen = %[1]s:7074
lending_listen = %[1]s:7075
[store]
address = %[2]s
[limits]
memory = %[3]d
`

// startNode starts a node and its surroundings and waits until it is ready.
func startNode(t *testing.T) *node {
	t.Helper()
	return startNodeWithAnswers(t, 3)
}

// startNodeWithAnswers does so with answers of a number of events.
func startNodeWithAnswers(t *testing.T, events int) *node {
	t.Helper()
	return startNodes(t, 1, events)[0]
}

// startNodes starts several nodes of one fleet.
func startNodes(t *testing.T, count, events int) []*node {
	t.Helper()
	store := hosted.NewStore()
	t.Cleanup(store.Close)
	store.Put("config", "main", hosted.Config(1, func(c map[string]any) {
		c["limits"] = map[string]any{"max_header_bytes": maxHeaderBytes, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
		for _, r := range c["routes"].([]any) {
			if r.(map[string]any)["kind"] == "batch" {
				r.(map[string]any)["cap"] = 0 // so that no job is refused for its tokens
			}
		}
	}))
	for i := range 2 {
		runner := hosted.NewRunner(fmt.Sprint("i-", i), hosted.Service, 8, events, time.Millisecond)
		t.Cleanup(runner.Close)
		store.Put("servers", runner.ID, runner.Entry("hall-a", "ready"))
	}
	net, release, err := loopback.Reserve(0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	nodes := make([]*node, count)
	for i := range nodes {
		nodes[i] = startProcess(t, i, fmt.Sprintf("127.%d.9.%d", net, i+1), store.Address())
	}
	return nodes
}

// startProcess starts one node and waits until it is ready.
func startProcess(t *testing.T, number int, host, store string) *node {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "node.ini")
	if err := os.WriteFile(path, fmt.Appendf(nil, settingsTemplate, host, store, memoryMiB, number), 0o600); err != nil {
		t.Fatal(err)
	}
	n := newNode(t, host+":7070")
	n.ordinary = n.ordinaryHosted
	log, err := os.Create(filepath.Join(dir, "node.log"))
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, maxDescriptors), program, "agent", "--settings", path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	n.pid = cmd.Process.Pid
	go func() {
		cmd.Wait()
		log.Close()
		close(n.exited)
	}()
	t.Cleanup(func() {
		cmd.Process.Kill()
		<-n.exited
	})
	n.waitReady(host + ":7071")
	go n.sampleDescriptors()
	return n
}

func newNode(t *testing.T, address string) *node {
	return &node{t: t, address: address, exited: make(chan struct{}), stopped: make(chan struct{}), descriptors: make(chan int, 1)}
}

func (n *node) waitReady(address string) {
	n.t.Helper()
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(sampleInterval) {
		if resp, err := client.Get("http://" + address + "/v1/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
	}
	n.t.Fatal("the node is not ready")
}

func (n *node) alive() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// peakMiB returns the largest resident memory of the process so far.
func (n *node) peakMiB() float64 {
	n.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.pid))
	if err != nil || !n.alive() {
		n.t.Fatal("the process has ended: ", err)
	}
	for _, line := range strings.Split(string(status), "\n") {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB"))
			if err != nil {
				n.t.Fatal(err)
			}
			return float64(kib) / 1024
		}
	}
	n.t.Fatal("the process states no VmHWM")
	return 0
}

// settle waits until the process has taken in what was sent.
func (n *node) settle() {
	peak, since := 0.0, time.Now()
	for until := time.Now().Add(settleTimeout); time.Now().Before(until) && n.alive(); time.Sleep(sampleInterval) {
		if now := n.peakMiB(); now > peak {
			peak, since = now, time.Now()
		} else if time.Since(since) >= settleTime {
			return
		}
	}
}

// sampleDescriptors counts open descriptors until the check.
func (n *node) sampleDescriptors() {
	most := 0
	for {
		select {
		case <-n.stopped:
			n.descriptors <- most
			return
		case <-time.After(sampleInterval):
		}
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.pid)); err == nil {
			most = max(most, len(open))
		}
	}
}

// ordinaryRequest sends a request as a client inside the limits does, which returns after a
// refusal and after a failure, and reports whether it was answered.
func (n *node) ordinaryRequest() bool {
	ctx, cancel := context.WithTimeout(context.Background(), ordinaryTimeout)
	defer cancel()
	for attempt := 0; ctx.Err() == nil && n.alive(); attempt++ {
		one, done := context.WithTimeout(ctx, ordinaryTimeout/4)
		answered := n.ordinary(one, attempt)
		done()
		if answered {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// ordinaryHosted sends one request of the users' platform.
func (n *node) ordinaryHosted(ctx context.Context, attempt int) bool {
	reply := hosted.Call(ctx, http.MethodPost, n.address, hosted.RepeatPath+"run", fmt.Sprint("ordinary-", attempt), map[string]string{"X-Marblepond-Deadline-Ms": "5000"}, make([]byte, 1500))
	return reply.Err == nil && reply.Status == http.StatusOK
}

// check requires what must hold after any crowd, while its connections are still open: the
// process lives within its memory and descriptors, and an ordinary request is answered.
func (n *node) check() {
	n.t.Helper()
	n.settle()
	answered := n.ordinaryRequest()
	close(n.stopped)
	descriptors := <-n.descriptors
	if !n.alive() {
		n.t.Fatal("the process has ended")
	}
	peak := n.peakMiB()
	n.t.Logf("peak memory %.0f MiB, descriptors %d, ordinary request answered: %v", peak, descriptors, answered)
	if peak > memoryMiB {
		n.t.Errorf("the process took %.0f MiB of %d", peak, memoryMiB)
	}
	if allowed := maxDescriptors - reservedDescriptors; descriptors > allowed {
		n.t.Errorf("%d descriptors were open, %d allowed", descriptors, allowed)
	}
	if !answered {
		n.t.Error("an ordinary request was not answered")
	}
}

// dial opens a connection of a client that misbehaves. It returns nil if the node takes none.
func (n *node) dial() *net.TCPConn {
	conn, err := net.DialTimeout("tcp", n.address, writeTimeout)
	if err != nil {
		return nil
	}
	n.t.Cleanup(func() { conn.Close() })
	tcp := conn.(*net.TCPConn)
	if err := tcp.SetReadBuffer(clientReadBuffer); err != nil {
		n.t.Error(err)
	}
	return tcp
}
