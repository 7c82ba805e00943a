// Package procs runs a fleet of separate processes on loopback addresses, with functions to
// kill and suspend them and to cut the connections between them.
package procs

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	client "github.com/marblepond/marblepond/internal/connection/platform"
	"github.com/marblepond/marblepond/lab/deployment"
	"github.com/marblepond/marblepond/lab/loopback"
	"github.com/marblepond/marblepond/lab/platform"
)

// Fleet is a running fleet of processes.
type Fleet struct {
	deployment.Layout
	Dir   string // folder of settings, logs and ledgers
	Bin   string // folder of the binaries
	Links *Links

	release func() // of the network
	mu      sync.Mutex
	procs   map[string]*Proc
	closers []interface{ Close() error }
}

// Proc is a process of the fleet.
type Proc struct {
	Name string
	args []string
	log  string

	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Build compiles both binaries into dir.
func Build(dir string) error {
	for _, pkg := range []string{"github.com/marblepond/marblepond/cmd/marblepond", "github.com/marblepond/marblepond/lab/cmd/marblelab"} {
		cmd := exec.Command("go", "build", "-o", dir+string(os.PathSeparator), pkg)
		if out, err := cmd.CombinedOutput(); err != nil {
			return fmt.Errorf("build %s: %w\n%s", pkg, err, out)
		}
	}
	return nil
}

// relayPortOffset is added to the port of a process to get that of its relay.
const relayPortOffset = 1000

// Start starts every process of the layout and applies its intent.
func Start(l deployment.Layout, dir, bin string) (*Fleet, error) {
	x, release, err := loopback.Reserve(l.Net)
	if err != nil {
		return nil, err
	}
	l.Net = x
	f := &Fleet{Layout: l, release: release, Dir: dir, Bin: bin, Links: NewLinks(), procs: map[string]*Proc{}}
	if err := f.startAll(); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startAll() error {
	if err := f.run("platform", "marblelab", "platform", "--listen", f.PlatformAddr()); err != nil {
		return err
	}
	for d := range f.DataCentres {
		for n := range f.Engines {
			if err := f.StartEngine(d, n); err != nil {
				return err
			}
			if err := f.startRelay(f.EngineAddr(d, n)); err != nil {
				return err
			}
		}
		for n := range f.Services {
			if err := f.StartService(d, n); err != nil {
				return err
			}
			if err := f.startRelay(f.PlainAddr(d, n)); err != nil {
				return err
			}
		}
	}
	if err := retryWithPauses(func() error { return f.SetVMs(f.VMs()) }); err != nil {
		return err
	}
	for d := range f.DataCentres {
		for n := range f.Nodes[d] {
			if err := errors.Join(f.startRelay(f.Layout.PeerAddr(d, n)), f.startRelay(f.Layout.CallerAddr(d, n)), f.StartNode(d, n)); err != nil {
				return err
			}
		}
	}
	if err := retryWithPauses(f.applyIntent); err != nil {
		return err
	}
	return f.WaitReady()
}

func (f *Fleet) applyIntent() error {
	_, err := deployment.Apply(f.Layout.PeerAddr(0, 0), f.Layout.Intent)
	return err
}

// retryWithPauses calls try until it succeeds, up to 100 times, and returns its last error.
func retryWithPauses(try func() error) (err error) {
	for range 100 {
		if err = try(); err == nil {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return err
}

// WaitReady waits until every node can use as many targets as a data centre has.
func (f *Fleet) WaitReady() error {
	for d := range f.DataCentres {
		for n := range f.Nodes[d] {
			if err := deployment.WaitTargets(f.Layout.PeerAddr(d, n), f.Engines+f.Services, targetsTimeout); err != nil {
				return fmt.Errorf("%s: %w", f.NodeID(d, n), err)
			}
		}
	}
	return nil
}

// targetsTimeout is how long a node may take to use all targets of its data centre.
const targetsTimeout = 20 * time.Second

// relayAddr returns the address of the relay of addr.
func relayAddr(addr string) string {
	a, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		panic(err)
	}
	a.Port += relayPortOffset
	return a.String()
}

// startRelay starts the relay of an address.
func (f *Fleet) startRelay(addr string) error {
	c, err := f.Links.Relay(relayAddr(addr), addr)
	if err == nil {
		f.closers = append(f.closers, c)
	}
	return err
}

// VMs returns the VM list with the addresses of the relays.
func (f *Fleet) VMs() []client.VM {
	vms := f.Layout.VMs()
	for i := range vms {
		vms[i].Addr = relayAddr(vms[i].Addr)
	}
	return vms
}

// SetVMs replaces the platform's VM list.
func (f *Fleet) SetVMs(vms []client.VM) error { return f.sendControl("vms", vms) }

// SetFaults replaces the platform's faults.
func (f *Fleet) SetFaults(faults platform.Faults) error { return f.sendControl("faults", faults) }

func (f *Fleet) sendControl(what string, v any) error { return SendControl(f.PlatformAddr(), what, v) }

// SendControl sends a control message to the stand-in at addr.
func SendControl(addr, what string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+addr+"/control/"+what, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("control %s: status %d", what, resp.StatusCode)
	}
	return nil
}

// StartNode starts a node's process. It also restarts one that has ended.
func (f *Fleet) StartNode(dc, n int) error {
	id := f.NodeID(dc, n)
	path := filepath.Join(f.Dir, id+".ini")
	advertise := fmt.Sprintf("[node]\npeer_advertise = %s\ncaller_advertise = %s\n", relayAddr(f.Layout.PeerAddr(dc, n)), relayAddr(f.Layout.CallerAddr(dc, n)))
	if err := os.WriteFile(path, []byte(f.Settings(dc, n)+"\n"+advertise), 0o600); err != nil {
		return err
	}
	return f.run(id, "marblepond", "agent", "--settings", path)
}

// EngineProc returns the name of an engine's process.
func (f *Fleet) EngineProc(dc, n int) string { return fmt.Sprintf("%s-e%d", f.DataCentres[dc], n) }

// StartEngine starts an engine's process. It also restarts one that has ended.
func (f *Fleet) StartEngine(dc, n int) error {
	name := f.EngineProc(dc, n)
	args := []string{"engine", "--listen", f.EngineAddr(dc, n), "--ledger", f.LedgerPath(name),
		"--max-running", fmt.Sprint(f.Model.MaxRunning), "--step", f.Model.StepBase.String()}
	for _, loaded := range f.Loaded {
		args = append(args, "--loaded", loaded)
	}
	if !f.Model.ChecksFence {
		args = append(args, "--ignore-fence")
	}
	if f.Model.Instant {
		args = append(args, "--instant")
	}
	return f.run(name, "marblelab", args...)
}

// StartService starts a plain target's process.
func (f *Fleet) StartService(dc, n int) error {
	name := fmt.Sprintf("%s-s%d", f.DataCentres[dc], n)
	return f.run(name, "marblelab", "service", "--listen", f.PlainAddr(dc, n), "--ledger", f.LedgerPath(name))
}

// LedgerPath returns the path of a target's ledger, the file to which the target appends a
// line at each start of a request or operation.
func (f *Fleet) LedgerPath(name string) string { return filepath.Join(f.Dir, name+".ledger") }

func (f *Fleet) run(name, binary string, args ...string) error {
	p := &Proc{Name: name, args: append([]string{filepath.Join(f.Bin, binary)}, args...), log: filepath.Join(f.Dir, name+".log")}
	if err := p.start(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.procs[name] = p
	return nil
}

func (p *Proc) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// The process must not outlive a test driver that is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return errors.Join(err, out.Close())
	}
	p.done = make(chan struct{})
	go func() {
		p.err = p.cmd.Wait()
		out.Close()
		close(p.done)
	}()
	return nil
}

// Proc returns a process by name.
func (f *Fleet) Proc(name string) *Proc {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.procs[name]
}

// Signal sends a signal to the process.
func (p *Proc) Signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// Kill kills the process and waits until it has ended.
func (p *Proc) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Wait waits until the process has ended and returns the error of its exit.
func (p *Proc) Wait(limit time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		return fmt.Errorf("%s did not end within %v", p.Name, limit)
	}
}

// Ended reports whether the process has ended.
func (p *Proc) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// PID returns the process ID.
func (p *Proc) PID() int { return p.cmd.Process.Pid }

// Stop kills every process.
func (f *Fleet) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.procs {
		p.Kill()
	}
	for _, c := range f.closers {
		c.Close()
	}
	f.release()
}
