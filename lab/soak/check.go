package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/connection/engine"
	"github.com/marblepond/marblepond/internal/connection/openai"
	"github.com/marblepond/marblepond/internal/connection/peer"
	"github.com/marblepond/marblepond/internal/version/fleet"
	"github.com/marblepond/marblepond/lab/client"
	"github.com/marblepond/marblepond/lab/deployment"
	lab "github.com/marblepond/marblepond/lab/engine"
	"github.com/marblepond/marblepond/lab/procs"
)

// checker checks the history of a run against the requirements of the users' list "What must
// always hold". Violations start with the number of the requirement, 0 if a node stopped:
//
//	1  accepted requests and jobs end with complete results, each item once
//	2  no item starts after its job was shown as ended
//	4  answers are complete and those of their own request
//	5  a refusal states truthfully whether the work ran
//	6  a non-idempotent operation runs at most once
//	7  a leaving target gets no new work
//	8  a node that is not killed or frozen breaks no connection and stops cleanly
//	9  configuration versions only increase, and each comes from one operator
type checker struct {
	fleet    *procs.Fleet
	history  *history
	caller   *client.Caller
	injector *injector
	report   *Report
	log      func(format string, args ...any)
}

func (c *checker) check() {
	c.log("settling")
	c.checkProcesses()
	for _, check := range []func(context.Context){c.checkJobs, c.checkOnline, c.checkConfiguration} {
		ctx, cancel := context.WithTimeout(context.Background(), 2*settleTimeout)
		check(ctx)
		cancel()
	}
	c.checkOperations()
	c.checkLeaving()
	c.checkProcesses()
}

func (c *checker) violate(requirement int, format string, args ...any) {
	c.history.addViolation(fmt.Sprintf("%d: ", requirement) + fmt.Sprintf(format, args...))
}

// checkProcesses reports nodes that have ended, as on an invariant violation, and restarts
// them.
func (c *checker) checkProcesses() {
	for d := range c.fleet.DataCentres {
		for n := range c.fleet.Nodes[d] {
			p := c.fleet.Proc(c.fleet.NodeID(d, n))
			if p.Ended() {
				c.violate(0, "%s ended unexpectedly: %v (see its log)", p.Name, p.Wait(0))
				c.fleet.StartNode(d, n)
			}
		}
	}
}

// checkOnline checks requirements 1, 4, 5 and 8.
func (c *checker) checkOnline(ctx context.Context) {
	for _, o := range c.history.online {
		out := o.outcome
		switch {
		case out.Accepted:
			c.report.Accepted++
			c.checkAccepted(ctx, o)
		case out.Err != nil:
			c.report.Lost++
			c.checkLost(o)
		default:
			c.report.Refused++
			if out.NotRun == "unknown" {
				c.report.Unknown++
			}
			if out.NotRun == "" {
				c.violate(5, "a refusal (%d %s) does not say whether anything ran", out.Status, out.Kind)
			}
		}
	}
}

// checkAccepted checks that the answer of an accepted request was received complete or, if
// its node was killed or frozen, can be read by its ID.
func (c *checker) checkAccepted(ctx context.Context, o online) {
	if o.outcome.Correct {
		c.report.Answered++
		return
	}
	id := o.outcome.RequestID
	broken := o.outcome.Err != nil || c.history.faultDuring(o.start, o.end, c.breaksConnections(o.node))
	if !broken {
		c.violate(4, "%s at %s: the answer is not complete (%s)", id, o.node, o.outcome.Kind)
		return
	}
	if !c.history.faultDuring(o.start, o.end, c.breaksConnections(o.node)) {
		c.violate(8, "%s at %s: the connection broke (%v)", id, o.node, o.outcome.Err)
	}
	if text, err := c.readStored(ctx, id); err != nil {
		c.violate(1, "%s at %s was accepted but cannot be read: %v", id, o.node, err)
	} else if text != lab.Answer(prompt(o.text), o.tokens) {
		c.violate(4, "%s: the stored answer is wrong: %q", id, text)
	} else {
		c.report.Answered++
	}
}

func prompt(text string) string {
	return (&openai.Request{Messages: []openai.Message{{Role: "user", Content: text}}}).Text()
}

// storedTimeout is the time within which the answer of an accepted request must become
// readable by its ID.
const storedTimeout = 40 * time.Second

// readStored polls the answer of a request by its ID until it exists or storedTimeout ends.
func (c *checker) readStored(ctx context.Context, id string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, storedTimeout)
	defer cancel()
	for {
		status, _, body, err := c.caller.Call(ctx, http.MethodGet, c.fleet.CallerAddr(2, 1), "/v1/responses/"+id, nil, nil)
		if err == nil && status == http.StatusOK {
			var answer openai.Chunk
			if err := json.Unmarshal(body, &answer); err != nil || len(answer.Choices) == 0 || answer.Choices[0].Message == nil {
				return "", fmt.Errorf("not an answer: %s", body)
			}
			return answer.Choices[0].Message.Content, nil
		}
		if !sleep(ctx, 300*time.Millisecond) {
			return "", fmt.Errorf("status %d, %s, %v", status, strings.TrimSpace(string(body)), err)
		}
	}
}

// checkLost checks that a request failed without a response only because its connection was
// refused, or because its node was killed or frozen.
func (c *checker) checkLost(o online) {
	if errors.Is(o.outcome.Err, syscall.ECONNREFUSED) || c.history.faultDuring(o.start, o.end, c.breaksConnections(o.node)) {
		return
	}
	c.violate(8, "a request at %s lost its connection although its node was not killed or frozen: %v", o.node, o.outcome.Err)
}

// breaksConnections returns a function that matches the faults that break connections to the
// node at addr.
func (c *checker) breaksConnections(addr string) func(Fault) bool {
	return func(f Fault) bool {
		return (f.Kind == KillNode || f.Kind == FreezeNode) && c.fleet.CallerAddr(f.DC, f.N) == addr
	}
}

// checkJobs checks requirements 1, 2 and 4: every accepted job ends, with one correct result
// for each item.
func (c *checker) checkJobs(ctx context.Context) {
	starts := c.batchStarts()
	for _, j := range c.history.jobs {
		c.report.Jobs++
		b, err := c.caller.WaitBatch(ctx, c.fleet.CallerAddr(0, 0), j.id)
		if err != nil {
			c.violate(1, "job %s did not end: %v", j.id, err)
			continue
		}
		if j.cancelled {
			c.checkCancelled(j, starts[j.id])
		}
		results, err := c.caller.Results(ctx, c.fleet.CallerAddr(1, 1), j.output)
		if err != nil {
			c.violate(1, "results of %s: %v", j.id, err)
			continue
		}
		if b.Status == "completed" && len(results) != len(j.items) {
			c.violate(1, "job %s has %d results for %d items", j.id, len(results), len(j.items))
		}
		for id, r := range results {
			c.report.Items++
			switch {
			case r.Error != nil:
				if j.plain || r.Error.Code == "target_failed" {
					continue // a non-idempotent item of unknown outcome, or an item given up after failures of targets
				}
				c.violate(1, "item %s of %s ended with %s: %s", id, j.id, r.Error.Code, r.Error.Message)
			case !j.plain && !client.ItemCorrect(r, j.items[id], itemTokens):
				c.violate(4, "item %s of %s has the wrong answer", id, j.id)
			}
		}
	}
}

// checkCancelled checks that no item of a cancelled job started after the job was shown as
// ended. starts are the start times of its items.
func (c *checker) checkCancelled(j *job, starts []time.Time) {
	if j.shownAt.IsZero() {
		c.violate(2, "job %s was cancelled but never shown as ended", j.id)
		return
	}
	for _, at := range starts {
		if at.After(j.shownAt) {
			c.violate(2, "an item of job %s started %v after the job was shown as %s", j.id, at.Sub(j.shownAt), j.finalStatus)
		}
	}
}

// startRecord is a line of a target's ledger file: the start of a request or operation.
type startRecord struct {
	at time.Time
	id string
}

// readLedger returns the starts of a target's process, none if it has no ledger file.
func (c *checker) readLedger(name string) []startRecord {
	file, err := os.Open(c.fleet.LedgerPath(name))
	if err != nil {
		return nil
	}
	defer file.Close()
	var lines []startRecord
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		ms, id, _ := strings.Cut(scanner.Text(), " ")
		if n, err := strconv.ParseInt(ms, 10, 64); err == nil {
			lines = append(lines, startRecord{time.UnixMilli(n), id})
		}
	}
	return lines
}

// batchStarts returns the start times of items at the engines, by job.
func (c *checker) batchStarts() map[string][]time.Time {
	starts := map[string][]time.Time{}
	for d := range c.fleet.DataCentres {
		for n := range c.fleet.Engines {
			for _, line := range c.readLedger(c.fleet.EngineProc(d, n)) {
				if job, _, ok := strings.Cut(line.id, "."); ok {
					starts[job] = append(starts[job], line.at)
				}
			}
		}
	}
	return starts
}

// checkOperations checks requirements 5 and 6 against the ledgers of the plain services.
func (c *checker) checkOperations() {
	ran := map[string]int{}
	for _, dc := range c.fleet.DataCentres {
		for n := range c.fleet.Services {
			for _, line := range c.readLedger(fmt.Sprintf("%s-s%d", dc, n)) {
				ran[line.id]++
			}
		}
	}
	for id, n := range ran {
		if n > 1 {
			c.violate(6, "operation %s ran %d times", id, n)
		}
	}
	for _, op := range c.history.operations {
		c.report.Operations++
		switch {
		case op.answered > 0 && ran[op.id] != 1:
			c.violate(6, "operation %s was answered but ran %d times", op.id, ran[op.id])
		case op.answered == 0 && op.unknown == 0 && ran[op.id] != 0:
			c.violate(5, "operation %s was refused as not run (%v) but ran", op.id, op.results)
		}
	}
}

// leaveTimeout is how long a target may still get new work after the VM list shows it as
// leaving.
const leaveTimeout = 3 * time.Second

// checkLeaving checks requirement 7. If a fault delays or hides the VM list, the time counts
// from the end of the fault.
func (c *checker) checkLeaving() {
	for name, s := range c.history.leaving {
		shown := s.from
		for _, o := range c.history.spans {
			hides := o.fault.Kind == StaleVMs || o.fault.Kind == PlatformDown || o.fault.Kind == PlatformSlow ||
				(o.fault.Kind == CutPlatform && o.fault.DC == s.fault.DC)
			if hides && o.from.Before(shown.Add(leaveTimeout)) && o.to.After(shown) {
				shown = o.to
			}
		}
		for _, line := range c.readLedger(name) {
			if late := line.at.Sub(shown); late > leaveTimeout {
				c.violate(7, "%s got new work (%s) %v after the VM list showed it as leaving", name, line.id, late)
				break
			}
		}
	}
}

// checkConfiguration checks that the newest accepted intent, or a later one of unknown
// outcome, comes into force at all nodes and engines.
func (c *checker) checkConfiguration(ctx context.Context) {
	in := c.injector
	var newest uint64
	for v := range in.accepted {
		newest = max(newest, v)
	}
	candidates := append([]string{in.accepted[newest]}, in.uncertain...)
	var mismatch string
	for {
		if mismatch = c.configurationMismatch(ctx, candidates, newest); mismatch == "" {
			return
		}
		if !sleep(ctx, 300*time.Millisecond) {
			c.violate(9, "the last accepted configuration is not in force: %s", mismatch)
			return
		}
	}
}

// configurationMismatch returns why none of the candidates is in force everywhere, empty if
// one is.
func (c *checker) configurationMismatch(ctx context.Context, candidates []string, newest uint64) string {
	operator := peer.NewOperatorClient(http.DefaultClient, c.fleet.PeerAddr(1, 0), deployment.OperatorKey)
	status, err := operator.Status(ctx, &v1.StatusRequest{})
	if err != nil {
		return err.Error()
	}
	if !status.InForceEverywhere || status.HeadVersion < newest {
		return fmt.Sprintf("version %d of %d is not in force everywhere", status.HeadVersion, newest)
	}
	inForce := ""
	for _, intent := range candidates {
		if plan, err := operator.Plan(ctx, &v1.PlanRequest{Intent: intent}); err == nil && len(plan.Changes) == 0 {
			inForce = intent
		}
	}
	if inForce == "" {
		return "the configuration in force is not the one that was accepted last"
	}
	return c.loadedMismatch(inForce)
}

// loadedMismatch returns which engine has not loaded exactly the models that the intent
// wants, empty if all have.
func (c *checker) loadedMismatch(intent string) string {
	config, err := fleet.Parse([]byte(intent))
	if err != nil {
		return err.Error()
	}
	want := config.Services[modelName].Wanted()
	slices.Sort(want)
	for d := range c.fleet.DataCentres {
		for n := range c.fleet.Engines {
			report, err := engine.New(http.DefaultClient, time.Second).Load(context.Background(), c.fleet.EngineAddr(d, n))
			if err != nil {
				return err.Error()
			}
			slices.Sort(report.Loaded)
			if !slices.Equal(report.Loaded, want) {
				return fmt.Sprintf("%s has loaded %v, want %v", c.fleet.EngineProc(d, n), report.Loaded, want)
			}
		}
	}
	return ""
}

// versionMonitor checks that no node's configuration version decreases, also over restarts.
type versionMonitor struct {
	fleet   *procs.Fleet
	history *history
	mu      sync.Mutex
	seen    map[string]uint64 // highest version by node
}

func (v *versionMonitor) run(ctx context.Context) {
	for sleep(ctx, 200*time.Millisecond) {
		for d := range v.fleet.DataCentres {
			for n := range v.fleet.Nodes[d] {
				go v.probe(ctx, d, n)
			}
		}
	}
}

func (v *versionMonitor) probe(ctx context.Context, d, n int) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	id := v.fleet.NodeID(d, n)
	v.mu.Lock()
	before := v.seen[id]
	v.mu.Unlock()
	if !v.ready(ctx, d, n) {
		return
	}
	operator := peer.NewOperatorClient(http.DefaultClient, v.fleet.PeerAddr(d, n), deployment.OperatorKey)
	resp, err := operator.Status(ctx, &v1.StatusRequest{})
	if err != nil {
		return
	}
	for _, s := range resp.Nodes {
		if s.Node.Id != id {
			continue
		}
		v.mu.Lock()
		if s.Node.ConfigVersion < before {
			v.history.addViolation(fmt.Sprintf("9: the configuration of %s went back from version %d to %d", id, before, s.Node.ConfigVersion))
		}
		v.seen[id] = max(v.seen[id], s.Node.ConfigVersion)
		v.mu.Unlock()
	}
}

// ready reports whether a node is ready. A node that is not may have no version yet.
func (v *versionMonitor) ready(ctx context.Context, d, n int) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.fleet.CallerAddr(d, n)+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
