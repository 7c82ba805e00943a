package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/connection/openai"
	"github.com/marblepond/marblepond/internal/connection/peer"
	"github.com/marblepond/marblepond/internal/version/workspace"
	"github.com/marblepond/marblepond/lab/client"
	"github.com/marblepond/marblepond/lab/deployment"
	"github.com/marblepond/marblepond/lab/engine"
	"github.com/marblepond/marblepond/lab/platform"
)

// shortTimes are settings with short intervals and timeouts, so that leases expire and
// unresponsive nodes are detected within a test.
const shortTimes = `[log]
level = error
[membership]
heartbeat = 100ms
suspect_after = 400ms
dead_after = 800ms
[platform]
timeout = 500ms
write_rate = 500
read_rate = 500
vm_list_interval = 200ms
[batch]
lease_ttl = 2s
outage_grace = 1s
commit_every = 300ms
`

// startEmbedded starts two data centres of two nodes each in this process. The cleanup fails
// the test on an invariant violation.
func startEmbedded(t *testing.T) (*deployment.Embedded, *client.Caller) {
	t.Helper()
	f, err := deployment.Start(deployment.Layout{
		DataCentres: []string{"saldus-hall", "kuldiga-hall"}, Nodes: []int{2, 2}, Engines: 2, Services: 1,
		EngineName: "akmens-llm", PlainName: "orders", Model: engine.DefaultModel(), Loaded: []string{"akmens-llm@1"},
		ExtraSettings: shortTimes, Intent: intent + workspace.HashKey("clerk-key").String() + "\n",
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Stop(); err != nil {
			t.Error(err)
		}
		if n := f.Violations(); n != 0 {
			t.Errorf("%d invariant violations", n)
		}
	})
	return f, client.New("clerk-key")
}

// callOrders sends a call to the plain service, which is not idempotent.
func callOrders(c *client.Caller, addr, operation string) (status int, notRun string) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	status, header, _, err := c.Call(ctx, http.MethodPost, addr, "/services/orders/cut", []byte(fmt.Sprintf(`{"operation":%q}`, operation)),
		map[string]string{openai.HeaderIdempotencyKey: operation, openai.HeaderTimeoutMS: "4000"})
	if err != nil {
		return 0, err.Error()
	}
	return status, header.Get(openai.HeaderNotRun)
}

// runCount returns how often the plain services have run an operation.
func runCount(f *deployment.Embedded, operation string) int {
	n := 0
	for _, row := range f.Services {
		for _, s := range row {
			for _, r := range s.Calls() {
				if r.Operation == operation {
					n++
				}
			}
		}
	}
	return n
}

// TestLostTargetAfterTheCall checks requirement 6 (non-idempotent calls run at most once): a
// call whose connection breaks after it ran is not repeated.
func TestLostTargetAfterTheCall(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t)
	f.Services[0][0].AbortAfterCall.Store(true)
	status, notRun := callOrders(c, f.CallerAddr(0, 0), "granite-1")
	is.Equal(status, 500)
	is.Equal(notRun, "unknown")
	f.Services[0][0].AbortAfterCall.Store(false)
	status, notRun = callOrders(c, f.CallerAddr(1, 0), "granite-1") // a resend at another data centre
	is.Equal(status, 500)
	is.Equal(notRun, "unknown")
	is.Equal(runCount(f, "granite-1"), 1)
}

// TestResendsToAllNodesAtOnce checks requirement 6: a call sent to all nodes at the same time
// with one key runs once, and every sender gets its answer.
func TestResendsToAllNodesAtOnce(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t)
	for n := range 10 {
		operation := fmt.Sprint("slab-", n)
		var wg sync.WaitGroup
		statuses := make([]int, 4)
		for i := range statuses {
			wg.Go(func() { statuses[i], _ = callOrders(c, f.CallerAddr(i/2, i%2), operation) })
		}
		wg.Wait()
		t.Log(operation, statuses)
		is.Equal(runCount(f, operation), 1)
		is.Equal(statuses, []int{200, 200, 200, 200})
	}
}

// TestNoClaimNoCall checks requirements 5 (refusals state truthfully whether the work ran)
// and 6: while the platform is down no call is sent and the refusal says not run; the same
// key runs once the platform is back.
func TestNoClaimNoCall(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t)
	f.Platform.SetFaults(platform.Faults{Down: true})
	status, notRun := callOrders(c, f.CallerAddr(0, 0), "gravel")
	is.Equal(status, 503)
	is.Equal(notRun, "true")
	is.Equal(runCount(f, "gravel"), 0)
	f.Platform.SetFaults(platform.Faults{})
	is.True(eventually(5*time.Second, func() bool {
		status, _ = callOrders(c, f.CallerAddr(1, 1), "gravel")
		return status == 200
	}))
	is.Equal(runCount(f, "gravel"), 1)
}

// TestLostClaimAnswers checks requirements 5 and 6 while the platform's answers to writes of
// claims are lost after the writes took effect.
func TestLostClaimAnswers(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t)
	f.Platform.SetFaults(platform.Faults{LostShare: 0.5})
	answered := 0
	for n := range 30 {
		operation := fmt.Sprint("kerb-", n)
		status, notRun := callOrders(c, f.CallerAddr(n%2, 0), operation)
		if status == 200 {
			answered++
			is.Equal(runCount(f, operation), 1)
		}
		if notRun == "true" {
			is.Equal(runCount(f, operation), 0)
		}
	}
	is.True(answered > 25)
}

// eventually polls a condition and reports whether it held within the limit.
func eventually(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func orderNote(n int, stream bool) client.Prompt {
	return client.Prompt{Model: "akmens-llm", Text: fmt.Sprint("order note ", n), MaxTokens: 40, Stream: stream}
}

// TestBadStreams checks requirement 4 (answers are complete and consist of their own request's
// tokens): stream events arrive repeated and out of order, connections break in mid-stream,
// and an engine crashes in mid-stream.
func TestBadStreams(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t)
	for _, row := range f.Engines {
		for _, e := range row {
			e.SetFaults(engine.Faults{CutShare: 0.02, RepeatShare: 0.3, ReorderShare: 0.3})
		}
	}
	crash := time.AfterFunc(400*time.Millisecond, f.Engines[0][0].Crash)
	defer crash.Stop()
	var wg sync.WaitGroup
	outcomes := make([]client.Outcome, 60)
	for n := range outcomes {
		wg.Go(func() { outcomes[n] = c.Complete(context.Background(), f.CallerAddr(n%2, n%2), orderNote(n, true)) })
	}
	wg.Wait()
	for _, o := range outcomes {
		if !o.Correct {
			t.Logf("%+v", o)
		}
		is.True(o.Correct) // each caller has the complete answer to its own request
	}
}

// TestRollingDrain checks requirement 8 (a draining node completes its requests): under load
// the nodes are drained and restarted one after the other.
func TestRollingDrain(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t)
	ctx, stopLoad := context.WithCancel(context.Background())
	var mu sync.Mutex
	unhealthy := map[string]bool{}
	var incomplete []string
	var wg, drivers sync.WaitGroup
	drivers.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			addr := f.CallerAddr(0, n%2)
			mu.Lock()
			skip := unhealthy[addr] // as a load balancer whose health check failed
			mu.Unlock()
			if !skip {
				wg.Go(func() {
					if o := c.Complete(context.Background(), addr, orderNote(n, n%2 == 0)); !o.Correct {
						mu.Lock()
						incomplete = append(incomplete, fmt.Sprintf("%s: %+v", addr, o))
						mu.Unlock()
					}
				})
			}
			time.Sleep(25 * time.Millisecond)
		}
	})
	for n := range 2 {
		time.Sleep(500 * time.Millisecond)
		stopped := make(chan struct{})
		go func() {
			f.StopNode(0, n)
			close(stopped)
		}()
		is.True(eventually(time.Second, func() bool { return healthStatus(f.CallerAddr(0, n)) != http.StatusOK }))
		mu.Lock()
		unhealthy[f.CallerAddr(0, n)] = true
		mu.Unlock()
		<-stopped
		is.NoErr(f.StartNode(0, n))
		is.NoErr(deployment.WaitTargets(f.PeerAddr(0, n), 3, 10*time.Second))
		mu.Lock()
		unhealthy[f.CallerAddr(0, n)] = false
		mu.Unlock()
	}
	stopLoad()
	drivers.Wait()
	wg.Wait()
	is.Equal(len(incomplete), 0)
}

// healthStatus returns the HTTP status of a node's health check, 0 if it does not respond.
func healthStatus(addr string) int {
	resp, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + addr + "/healthz")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// TestLeavingTarget checks requirement 7 (a leaving target gets no new work), also if a later,
// stale VM list shows the target as not leaving.
func TestLeavingTarget(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t)
	vms := f.VMs()
	for i := range vms {
		vms[i].Leaving = vms[i].ID == "saldus-hall-e0"
	}
	f.Platform.SetVMs(vms)
	time.Sleep(time.Second)
	f.Platform.SetVMs(f.VMs()) // a stale list, without the mark
	time.Sleep(time.Second)
	before := len(f.Engines[0][0].StartCounts())
	for n := range 40 {
		is.True(c.Complete(context.Background(), f.CallerAddr(0, n%2), orderNote(n, false)).Correct)
	}
	is.Equal(len(f.Engines[0][0].StartCounts()), before)
}

// TestEmptyCentre checks that requests to a data centre without usable targets are answered by
// another data centre.
func TestEmptyCentre(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t)
	vms := f.VMs()
	for i := range vms {
		vms[i].Leaving = vms[i].DataCentre == "saldus-hall" && vms[i].Service == "akmens-llm"
	}
	f.Platform.SetVMs(vms)
	time.Sleep(time.Second)
	for n := range 6 {
		is.True(c.Complete(context.Background(), f.CallerAddr(0, n%2), orderNote(n, n%3 == 0)).Correct)
	}
}

// TestForwardedContinuation checks requirement 4 for a request that a data centre continues
// after the tokens that another one has received. Callers cannot send a continuation.
func TestForwardedContinuation(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t)
	complete := engine.Answer("user: x\n", 12)
	received := engine.Answer("user: x\n", 5)
	body := fmt.Sprintf(`{"model":"akmens-llm","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"x"}],"continuation":{"tokens":5,"text":%q}}`, received)
	status, _, out, err := c.Call(context.Background(), http.MethodPost, f.CallerAddr(1, 0), openai.ChatPath, []byte(body),
		map[string]string{openai.HeaderForwarded: deployment.PeerKey, openai.HeaderWorkspace: "kurzeme", openai.HeaderRequestID: "r1"})
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	rest := ""
	for _, line := range strings.Split(string(out), "\n") {
		if chunk, err := openai.DecodeChunk([]byte(strings.TrimPrefix(line, openai.DataPrefix))); err == nil {
			rest += chunk.Text()
		}
	}
	is.Equal(received+rest, complete)
	status, _, _, err = c.Call(context.Background(), http.MethodPost, f.CallerAddr(1, 0), openai.ChatPath, []byte(body), nil)
	is.NoErr(err)
	is.Equal(status, http.StatusBadRequest) // not for callers
}

// TestOperatorsRace checks requirement 9 (configuration versions only increase): two operators
// repeatedly apply different intents to the same base version; at most one succeeds each time,
// and the newest version comes into force at every node.
func TestOperatorsRace(t *testing.T) {
	is := is.New(t)
	f, _ := startEmbedded(t)
	f.Platform.SetFaults(platform.Faults{LostShare: 0.3})
	for round := range 8 {
		versions := make([]uint64, 2)
		var wg sync.WaitGroup
		for i := range versions {
			wg.Go(func() {
				text := strings.Replace(f.Intent, "version = 1", fmt.Sprintf("version = %d%d", round, i), 1)
				versions[i], _ = deployment.Apply(f.PeerAddr(i, 0), text)
			})
		}
		wg.Wait()
		is.True(versions[0] != versions[1] || versions[0] == 0) // no version has two winners
	}
	f.Platform.SetFaults(platform.Faults{})
	operator := peer.NewOperatorClient(http.DefaultClient, f.PeerAddr(1, 1), deployment.OperatorKey)
	start := time.Now()
	is.True(eventually(5*time.Second, func() bool {
		status, err := operator.Status(context.Background(), &v1.StatusRequest{})
		return err == nil && status.InForceEverywhere
	}))
	t.Logf("in force everywhere %v after the race", time.Since(start))
}

// TestCancelAcrossAnOutage checks requirement 2 (no item starts after its job was shown as
// cancelled) for a job that is cancelled right before an outage of the platform.
func TestCancelAcrossAnOutage(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var items strings.Builder
	for n := range 3000 {
		items.WriteString(client.Item(fmt.Sprint("i", n), "akmens-llm", fmt.Sprint("sheet ", n), 20))
	}
	job, err := c.Submit(ctx, f.CallerAddr(0, 0), []byte(items.String()), "", "")
	is.NoErr(err)
	time.Sleep(time.Second)
	_, err = c.Cancel(ctx, f.CallerAddr(0, 0), job.ID)
	is.NoErr(err)
	f.Platform.SetFaults(platform.Faults{Down: true})
	time.Sleep(1500 * time.Millisecond)
	f.Platform.SetFaults(platform.Faults{})
	outageEnd := time.Now()
	done, err := c.WaitBatch(ctx, f.CallerAddr(1, 0), job.ID)
	is.NoErr(err)
	is.Equal(done.Status, "cancelled")
	t.Logf("cancelled %v after the outage with %d of %d items done", time.Since(outageEnd), done.Counts.Completed, done.Counts.Total)
	startsWhenShown := startCount(f)
	time.Sleep(time.Second)
	is.Equal(startCount(f), startsWhenShown) // no item starts any more
	results, err := c.Results(ctx, f.CallerAddr(1, 0), done.OutputFileID)
	is.NoErr(err)
	is.Equal(len(results), done.Counts.Completed+done.Counts.Failed) // results of finished items stay readable
}

// startCount returns how many different requests the engines have started, summed over the
// engines.
func startCount(f *deployment.Embedded) int {
	n := 0
	for _, row := range f.Engines {
		for _, e := range row {
			n += len(e.StartCounts())
		}
	}
	return n
}

// TestItemsThatCanNeverBeDone checks that an item that crashes every engine ends with an error
// while the other items of its job are completed.
func TestItemsThatCanNeverBeDone(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t)
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	var items strings.Builder
	for n := range 100 {
		text := fmt.Sprint("sheet ", n)
		if n == 50 {
			text = engine.CrashMarker
		}
		items.WriteString(client.Item(fmt.Sprint("i", n), "akmens-llm", text, 10))
	}
	job, err := c.Submit(ctx, f.CallerAddr(0, 0), []byte(items.String()), "", "")
	is.NoErr(err)
	done, err := c.WaitBatch(ctx, f.CallerAddr(1, 0), job.ID)
	is.NoErr(err)
	results, err := c.Results(ctx, f.CallerAddr(0, 1), done.OutputFileID)
	is.NoErr(err)
	is.Equal(len(results), 100)
	is.Equal(results["i50"].Error.Code, "target_failed")
	for n := range 100 {
		if n != 50 {
			is.True(client.ItemCorrect(results[fmt.Sprint("i", n)], fmt.Sprint("sheet ", n), 10))
		}
	}
}
