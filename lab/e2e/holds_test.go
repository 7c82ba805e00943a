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

// Short times, so that leases and silences end within a test.
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

// startEmbedded starts two data centres of two nodes in this process.
func startEmbedded(t *testing.T, net int) (*deployment.Embedded, *client.Caller) {
	t.Helper()
	f, err := deployment.Start(deployment.Layout{
		Net: net, DataCentres: []string{"saldus-hall", "kuldiga-hall"}, Nodes: []int{2, 2}, Engines: 2, Services: 1,
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

// callOrders calls the plain service; its calls may not be repeated.
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

// Point 6: a call whose target is lost after it ran is not repeated.
func TestLostTargetAfterTheCall(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t, 101)
	f.Services[0][0].AbortAfterCall.Store(true)
	status, notRun := callOrders(c, f.CallerAddr(0, 0), "granite-1")
	is.Equal(status, 500)
	is.Equal(notRun, "unknown")
	f.Services[0][0].AbortAfterCall.Store(false)
	status, notRun = callOrders(c, f.CallerAddr(1, 0), "granite-1") // a resend elsewhere
	is.Equal(status, 500)
	is.Equal(notRun, "unknown")
	is.Equal(runCount(f, "granite-1"), 1)
}

// Point 6: resends to all nodes at once run once, and all get its answer.
func TestResendsToAllNodesAtOnce(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t, 102)
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

// Points 5 and 6: without the platform nothing is sent, the refusal says so,
// and the same key runs once the platform is back.
func TestNoClaimNoCall(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t, 103)
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

// Point 6: answers of the platform lost after the claim took effect.
func TestLostClaimAnswers(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t, 104)
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

// Point 4: pieces late, repeated and swapped, links lost in mid-stream, and a
// target lost in mid-stream.
func TestBadStreams(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t, 105)
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
		is.True(o.Correct) // each caller has the whole answer to its own request
	}
}

// Point 8: nodes are asked to stop one after the other under load.
func TestRollingDrain(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t, 106)
	ctx, stopLoad := context.WithCancel(context.Background())
	var mu sync.Mutex
	unhealthy := map[string]bool{}
	var incomplete []string
	var wg, drivers sync.WaitGroup
	drivers.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			addr := f.CallerAddr(0, n%2)
			mu.Lock()
			skip := unhealthy[addr] // the balancer has seen its health answer fail
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

// healthStatus returns the status of a node's healthStatus answer, 0 when there is none.
func healthStatus(addr string) int {
	resp, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + addr + "/healthz")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Point 7: a leaving target gets nothing new on any node, also while the list
// goes stale again after one node has read it.
func TestLeavingTarget(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t, 107)
	vms := f.VMs()
	for i := range vms {
		vms[i].Leaving = vms[i].ID == "saldus-hall-e0"
	}
	f.Platform.SetVMs(vms)
	time.Sleep(time.Second)
	f.Platform.SetVMs(f.VMs()) // a stale list: it does not show the mark
	time.Sleep(time.Second)
	before := len(f.Engines[0][0].StartCounts())
	for n := range 40 {
		is.True(c.Complete(context.Background(), f.CallerAddr(0, n%2), orderNote(n, false)).Correct)
	}
	is.Equal(len(f.Engines[0][0].StartCounts()), before)
}

// A data centre without targets has its requests answered by another one.
func TestEmptyCentre(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t, 111)
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

// Point 4: a request that another data centre goes on with, from the tokens
// that the first one holds.
func TestForwardedContinuation(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t, 114)
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

// Point 9: two operators race from one base many times: one wins each time,
// and every node ends with the last version.
func TestOperatorsRace(t *testing.T) {
	is := is.New(t)
	f, _ := startEmbedded(t, 108)
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

// Point 2: cancelled while the platform is out: shown as cancelled only when
// nothing more is sent.
func TestCancelAcrossAnOutage(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t, 109)
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
	is.Equal(startCount(f), startsWhenShown) // nothing is sent any more
	results, err := c.Results(ctx, f.CallerAddr(1, 0), done.OutputFileID)
	is.NoErr(err)
	is.Equal(len(results), done.Counts.Completed+done.Counts.Failed) // what was done stays readable
}

func startCount(f *deployment.Embedded) int {
	n := 0
	for _, row := range f.Engines {
		for _, e := range row {
			n += len(e.StartCounts())
		}
	}
	return n
}

// Items that can never be done end with an error and do not hold up their job.
func TestItemsThatCanNeverBeDone(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t, 110)
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
