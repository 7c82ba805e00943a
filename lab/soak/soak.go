package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"github.com/marblepond/marblepond/internal/version/workspace"
	"github.com/marblepond/marblepond/lab/client"
	"github.com/marblepond/marblepond/lab/deployment"
	"github.com/marblepond/marblepond/lab/engine"
	"github.com/marblepond/marblepond/lab/platform"
	"github.com/marblepond/marblepond/lab/procs"
)

// Options are the parameters of a run.
type Options struct {
	Seed   uint64
	Length time.Duration
	Dir    string // for logs and ledgers; kept if there are violations
	Bin    string // folder of the binaries; empty: Run builds them into Dir
	Net    int    // second byte of the loopback addresses; 0: one that is free
	Out    io.Writer
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Faults     int
	Accepted   int // online requests accepted
	Answered   int // of the accepted ones, those with a correct answer
	Refused    int
	Lost       int // requests whose connection broke before they were accepted
	Unknown    int // refusals with an unknown outcome
	Operations int
	Jobs       int
	Items      int
	Violations []string
}

// String returns the report in one line.
func (r Report) String() string {
	return fmt.Sprintf("seed %d: %d faults, online: %d accepted, %d answered, %d refused (%d unknown), %d lost; %d operations; %d jobs with %d items; %d violations",
		r.Seed, r.Faults, r.Accepted, r.Answered, r.Refused, r.Unknown, r.Lost, r.Operations, r.Jobs, r.Items, len(r.Violations))
}

// nodeSettings are settings with short intervals and timeouts, so that leases expire and
// unresponsive nodes are detected within a run.
const nodeSettings = `[membership]
heartbeat = 200ms
suspect_after = 700ms
dead_after = 1500ms

[platform]
timeout = 1s
write_rate = 100
read_rate = 300
vm_list_interval = 500ms

[batch]
lease_ttl = 4s
outage_grace = 4s
commit_every = 1s

[limits]
drain_timeout = 40s

[log]
stop_on_violation = true
`

func layout(o Options) deployment.Layout {
	model := engine.DefaultModel()
	model.ChecksFence = o.Seed%2 == 1 // engines of some deployments ignore fencing tokens
	return deployment.Layout{
		Net: o.Net, DataCentres: []string{"hall-a", "hall-b", "hall-c"}, Nodes: []int{2, 2, 2}, Engines: 2, Services: 1,
		EngineName: modelName, PlainName: plainName, Model: model, Loaded: []string{modelName + "@1"}, ExtraSettings: nodeSettings,
		Intent: fmt.Sprintf("[service %q]\nversion = 1\n[service %q]\nkind = plain\nnon_idempotent = true\n[workspace \"keystel\"]\nkey_sha256 = %s\n",
			modelName, plainName, workspace.HashKey(callerKey)),
	}
}

// settleTimeout is the time within which a cancelled job should be shown as ended. Each check
// after the last fault waits up to twice as long for accepted work.
const settleTimeout = 90 * time.Second

// Run starts a fleet, puts it under load and faults, and checks what happened.
func Run(o Options) (Report, error) {
	report := Report{Seed: o.Seed}
	if o.Bin == "" {
		o.Bin = o.Dir
		if err := procs.Build(o.Bin); err != nil {
			return report, err
		}
	}
	l := layout(o)
	f, err := procs.Start(l, o.Dir, o.Bin)
	if err != nil {
		return report, err
	}
	defer f.Stop()
	h := &history{leaving: map[string]faultSpan{}}
	logf := func(format string, args ...any) {
		fmt.Fprintf(o.Out, "%s "+format+"\n", append([]any{time.Now().Format("15:04:05.000")}, args...)...)
	}
	in := &injector{fleet: f, history: h, log: logf, leaving: map[string]bool{}, accepted: map[uint64]string{1: l.Intent}}
	callers := &loadGenerator{fleet: f, history: h, caller: client.New(callerKey), healthy: map[string]bool{},
		rng: &lockedRand{rng: rand.New(rand.NewPCG(o.Seed, 1))}}
	plan := NewPlan(o.Seed, o.Length, len(l.DataCentres), l.Nodes[0], l.Engines)
	monitor := &versionMonitor{fleet: f, history: h, seen: map[string]uint64{}}

	ctx, cancel := context.WithTimeout(context.Background(), o.Length)
	monitorCtx, stopMonitor := context.WithCancel(context.Background())
	go monitor.run(monitorCtx)
	loadDone := make(chan struct{})
	go func() {
		callers.run(ctx)
		close(loadDone)
	}()
	in.run(ctx, plan)
	<-ctx.Done()
	cancel()
	in.mu.Lock()
	in.platform = platform.Faults{}
	in.logError(f.SetFaults(in.platform))
	in.mu.Unlock()
	<-loadDone
	c := &checker{fleet: f, history: h, caller: callers.caller, injector: in, report: &report, log: logf}
	c.check()
	stopMonitor()
	report.Faults = len(plan)
	report.Violations = h.violations
	return report, nil
}

// Main runs a soak for the command line and prints its violations and report.
func Main(o Options) error {
	dir, err := os.MkdirTemp(o.Dir, "soak")
	if err != nil {
		return err
	}
	o.Dir = dir
	report, err := Run(o)
	if err != nil {
		return err
	}
	for _, v := range report.Violations {
		fmt.Fprintln(o.Out, "VIOLATION", v)
	}
	fmt.Fprintln(o.Out, report)
	if len(report.Violations) > 0 {
		return fmt.Errorf("seed %d: %d violations; logs in %s", o.Seed, len(report.Violations), dir)
	}
	return os.RemoveAll(dir)
}
