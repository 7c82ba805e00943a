package hostedsoak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/marblepond/marblepond/lab/hosted"
	"github.com/marblepond/marblepond/lab/loopback"
	"github.com/marblepond/marblepond/lab/procs"
)

// Options of a run.
type Options struct {
	Seed   uint64
	Length time.Duration
	Dir    string // of settings and logs; kept if there are violations
	Bin    string // directory of the binaries; empty: built
	Net    int    // second byte of the loopback addresses; 0: one that is free
	Out    io.Writer
	// SharedView turns the shared view on at the nodes and adds its kinds of faults to the plan.
	SharedView bool
	// Versions starts runners of two versions and adds releases of further ones to the plan.
	Versions bool
	// Parts adds parts of prompts that crash runners, and most connections at one node, to the plan.
	Parts bool
	// RunnerFaults adds runners whose entries are missing for a time, and runners that send bytes
	// without end, to the plan. The store then
	// accepts values of up to smallMaxValue only.
	RunnerFaults bool
	// FalseAnswers adds runners that send false answers to the plan.
	FalseAnswers bool
	// AllKilled adds releases to the plan in which all nodes are killed, makes items last longer and
	// has callers return when streams break off.
	AllKilled bool
	// IdleTargets is the number of further listed targets, which nobody uses; their entries
	// change all the time.
	IdleTargets int
}

// Main runs a soak test and prints its result.
func Main(o Options) error {
	dir, err := os.MkdirTemp(o.Dir, "hostedsoak")
	if err != nil {
		return err
	}
	o.Dir = dir
	if o.Bin == "" {
		o.Bin = dir
		if err := procs.Build(dir); err != nil {
			return err
		}
	}
	sum, violations, err := run(o)
	if err != nil {
		return err
	}
	for _, v := range violations {
		fmt.Fprintln(o.Out, "VIOLATION", v)
	}
	fmt.Fprintf(o.Out, "seed %d: online %d: %d complete, %d refused, %d failed, %d cut; %d streams returned: %d complete, %d refused; %d jobs with %d items; %d bad parts with %d crashes, %d late runs, %d others refused for a part; %d false answers; %d checks of open items; %d violations\n",
		o.Seed, sum.Online, sum.Complete, sum.Refused, sum.Failed, sum.Cut, sum.Returned, sum.ReturnedComplete, sum.ReturnedRefused, sum.Jobs, sum.Items, sum.BadParts, sum.PartCrashes, sum.LatePartRuns, sum.RefusedForPart, sum.FalseAnswers, sum.ItemChecks, len(violations))
	if len(violations) > 0 {
		return fmt.Errorf("seed %d: %d violations; logs in %s", o.Seed, len(violations), dir)
	}
	return os.RemoveAll(dir)
}

func run(o Options) (counts, []string, error) {
	x, release, err := loopback.Reserve(o.Net)
	if err != nil {
		return counts{}, nil, err
	}
	defer release()
	o.Net = x
	f, err := startFleet(o)
	defer f.stop()
	if err != nil {
		return counts{}, nil, err
	}
	if o.IdleTargets > 0 {
		go f.changeIdle(o.IdleTargets)
	}
	h := newHistory()
	logf := func(format string, args ...any) {
		fmt.Fprintf(o.Out, time.Now().Format("15:04:05.000 ")+format+"\n", args...)
	}
	l := newLoad(f, h, o.Seed)
	l.returning = o.Versions || o.AllKilled
	in := &injector{fleet: f, load: l, history: h, options: o, log: logf, busy: map[string]bool{}}
	watching, stopWatching := context.WithCancel(context.Background())
	go in.watchVersions(watching)
	if o.AllKilled {
		go l.watchItems(watching)
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.Length)
	defer cancel()
	loaded := make(chan struct{})
	go func() {
		l.run(ctx)
		close(loaded)
	}()
	in.run(o.plan())
	<-ctx.Done()
	<-loaded
	l.finish()
	l.checkTargets()
	l.checkIsolation()
	stopWatching()
	checkRunners(f, h)
	l.checkParts()
	for _, line := range f.loggedViolations() {
		h.violate("%s", line)
	}
	for _, r := range f.runners {
		h.count(func(c *counts) { c.FalseAnswers += r.FalseAnswerCount() })
	}
	sum, violations := h.report()
	return sum, violations, nil
}

// plan returns the faults of the run.
func (o Options) plan() []Fault {
	var extra []Kind
	if o.SharedView {
		extra = append(extra, sharedViewKinds...)
	}
	if o.Versions {
		extra = append(extra, versionKinds...)
	}
	if o.Parts {
		extra = append(extra, partKinds...)
	}
	if o.RunnerFaults {
		extra = append(extra, runnerKinds...)
	}
	if o.FalseAnswers {
		extra = append(extra, FalseRunner)
	}
	if o.AllKilled {
		extra = append(extra, ReleaseAll)
	}
	return NewPlan(o.Seed, o.Length, nodeCount, runnerCount, extra...)
}

// unsureFor is how long after the last fault a node may still answer that it cannot read a job:
// a read may join one that was sent to the object store during the fault and is given up after
// 1.5 s.
const unsureFor = 2 * time.Second

// finish reads the remaining results of every job, and then all of them again from
// every node.
func (l *load) finish() {
	for _, n := range l.fleet.nodes {
		if err := n.waitReady(); err != nil { // the last fault may have stopped it
			l.history.violate("%v", err)
		}
	}
	until := time.Now().Add(jobsTimeout)
	for _, j := range l.jobs {
		if !j.ended && !l.read(j, until) {
			l.history.violate("job %s has %d of %d results, %v after the last fault", j.id, len(j.results), jobItems, jobsTimeout)
		}
	}
	for _, j := range l.jobs {
		for _, n := range l.fleet.nodes {
			page, status := hosted.ReadResultsWithKey(n.callers.Address(), j.id, steadyKey, 0)
			for tried := time.Now(); status == http.StatusServiceUnavailable && time.Since(tried) < unsureFor; {
				page, status = hosted.ReadResultsWithKey(n.callers.Address(), j.id, steadyKey, 0)
			}
			l.checkPage(j, n, 0, page, status)
			if status != http.StatusOK {
				l.history.violate("job %s cannot be read at %s at the end: status %d", j.id, n.name, status)
			}
		}
	}
}

// itemStopTimeout is how long items may still start to run after the end of their
// job was acknowledged.
const itemStopTimeout = 3 * time.Second

// unrelatedToDraining are the faults that do not excuse a request to a draining runner,
// since every node still learns that it is draining.
var unrelatedToDraining = []Kind{DrainRunner, SlowRunner, CutRunner, ResetRunner, CrashRunner, BadRunner, ResetCallers, HangupNode, ConfigChange, StoreForgets, HangRunner, Overload, Release, BadPart, MostAtOne, UnlistRunner, EndlessRunner, FalseRunner}

// jobOf returns the job of an item.
func jobOf(item string) string { return item[:max(0, strings.LastIndexByte(item, '-'))] }

// checkRunners checks the requests that the runners received.
func checkRunners(f *fleet, h *history) {
	h.mu.Lock()
	defer h.mu.Unlock()
	violate := func(format string, args ...any) { h.violations = append(h.violations, fmt.Sprintf(format, args...)) }
	runs := map[string]int{}
	for _, r := range f.runners {
		drainStart, drains := h.draining[r]
		for _, s := range r.RunStarts() {
			runs[s.RequestID]++
			if drains && s.At.After(drainStart.Add(drainInForceWithin)) && h.faultFreeLocked(drainStart, s.At, unrelatedToDraining...) {
				violate("%s started at %s, %v after it announced that it is draining", s.RequestID, r.ID, s.At.Sub(drainStart))
			}
			if end, ended := h.endedJobs[jobOf(s.RequestID)]; ended && s.At.After(end.Add(itemStopTimeout)) && h.faultFreeLocked(end, s.At, ConfigChange, HangupNode) {
				violate("item %s started %v after the end of its job", s.RequestID, s.At.Sub(end))
			}
			if strings.HasSuffix(s.Path, "q") && strings.HasPrefix(s.Path, "/ask/") && runs[s.RequestID] == 2 {
				violate("request %s ran twice", s.RequestID)
			}
		}
	}
	checkWorkspaces(f, h, violate)
	checkAnswered(h, runs, violate)
	for id, how := range h.refused {
		if runs[id] > 0 {
			violate("%s was refused as not run (%s) and ran %d times", id, how, runs[id])
		}
	}
}

var errNoVersion = errors.New("the metrics have no configuration version")

// version returns the configuration version that the node has in force.
func (n *node) version() (int, bool) {
	resp, err := probeClient.Get("http://" + n.host + ":7074/metrics")
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	v, err := parseVersion(resp.Body)
	return v, err == nil
}

func parseVersion(r io.Reader) (int, error) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if name, value, ok := strings.Cut(lines.Text(), " "); ok && strings.Contains(name, "config_version") {
			v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			return int(v), err
		}
	}
	return 0, errNoVersion
}
