package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/marblepond/marblepond/internal/connection/openai"
	"github.com/marblepond/marblepond/lab/client"
	"github.com/marblepond/marblepond/lab/procs"
)

const (
	callerKey = "soak-key"
	modelName = "signdesk-llm"
	plainName = "orders"
)

// loadGenerator sends the load of simulated callers.
type loadGenerator struct {
	fleet   *procs.Fleet
	history *history
	caller  *client.Caller
	rng     *lockedRand

	mu      sync.Mutex
	healthy map[string]bool // by caller address of the node, as a load balancer sees it
}

// lockedRand is a seeded random source that is safe for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (l *lockedRand) intN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.IntN(n)
}

const (
	onlineInterval    = 25 * time.Millisecond
	operationInterval = 150 * time.Millisecond
	batchInterval     = 5 * time.Second
	healthInterval    = 100 * time.Millisecond
	batchItems        = 150
)

// run generates load until ctx ends, then waits for the requests in progress.
func (l *loadGenerator) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { l.checkHealth(ctx) })
	wg.Go(func() { l.runEvery(ctx, onlineInterval, l.online) })
	wg.Go(func() { l.runEvery(ctx, operationInterval, l.operation) })
	wg.Go(func() { l.runEvery(ctx, batchInterval, l.batch) })
	wg.Wait()
}

// runEvery calls f after each pause until ctx ends, each call in its own goroutine, and waits
// for the calls.
func (l *loadGenerator) runEvery(ctx context.Context, pause time.Duration, f func(n int)) {
	var wg sync.WaitGroup
	for n := 0; sleep(ctx, pause); n++ {
		wg.Go(func() { f(n) })
	}
	wg.Wait()
}

// checkHealth simulates the health checks of the platform's load balancer: it records which
// nodes respond that they are ready.
func (l *loadGenerator) checkHealth(ctx context.Context) {
	prober := &http.Client{Timeout: 500 * time.Millisecond}
	for sleep(ctx, healthInterval) {
		for d := range l.fleet.DataCentres {
			for n := range l.fleet.Nodes[d] {
				go func() {
					addr := l.fleet.CallerAddr(d, n)
					resp, err := prober.Get("http://" + addr + "/readyz")
					ok := err == nil && resp.StatusCode == http.StatusOK
					if err == nil {
						resp.Body.Close()
					}
					l.mu.Lock()
					l.healthy[addr] = ok
					l.mu.Unlock()
				}()
			}
		}
	}
}

// pickNode returns the address of a random healthy node of a data centre, or of any if dc is
// negative.
func (l *loadGenerator) pickNode(dc int) string {
	var addrs []string
	l.mu.Lock()
	for d := range l.fleet.DataCentres {
		for n := range l.fleet.Nodes[d] {
			if addr := l.fleet.CallerAddr(d, n); l.healthy[addr] && (dc < 0 || dc == d) {
				addrs = append(addrs, addr)
			}
		}
	}
	l.mu.Unlock()
	if len(addrs) == 0 {
		return l.fleet.CallerAddr(max(dc, 0), 0)
	}
	return addrs[l.rng.intN(len(addrs))]
}

// callTimeout is the timeout of an online request with its resends, of one send of an
// operation, and of the submission of a job.
const callTimeout = 40 * time.Second

// maxSends is how often a caller sends a request with a key in total.
const maxSends = 4

func (l *loadGenerator) online(n int) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	p := client.Prompt{Model: modelName, Text: fmt.Sprintf("explanation %d of %d", n, l.rng.intN(1000)), MaxTokens: 4 + l.rng.intN(30), Stream: n%3 != 0,
		Header: map[string]string{openai.HeaderTimeoutMS: "20000"}}
	dc := l.rng.intN(len(l.fleet.DataCentres))
	if n%4 == 0 {
		p.Header[openai.HeaderIdempotencyKey] = fmt.Sprintf("key-%d", n)
	}
	for range maxSends {
		o := online{start: time.Now(), node: l.pickNode(dc), text: p.Text, tokens: p.MaxTokens, stream: p.Stream}
		o.outcome = l.caller.Complete(ctx, o.node, p)
		o.end = time.Now()
		l.history.addOnline(o)
		if o.outcome.Correct || n%4 != 0 || ctx.Err() != nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// operation sends a call that must run at most once. Every fifth is sent to three nodes at
// once. A call that was refused as not run is sent again.
func (l *loadGenerator) operation(n int) {
	op := &operation{id: fmt.Sprintf("cut-%d", n)}
	defer l.history.addOperation(op)
	for range maxSends {
		senders := 1
		if n%5 == 0 {
			senders = 3
		}
		outcomes := make([]string, senders)
		var wg sync.WaitGroup
		for i := range senders {
			wg.Go(func() { outcomes[i] = l.sendOperation(op.id) })
		}
		wg.Wait()
		op.results = append(op.results, outcomes...)
		again := true
		for _, o := range outcomes {
			switch o {
			case "answered":
				op.answered++
				again = false
			case "not_run":
				op.notRun++
			default:
				op.unknown++
				again = false
			}
		}
		if !again {
			return
		}
		time.Sleep(time.Second)
	}
}

// sendOperation sends the call of an operation and returns its result: "answered", "not_run",
// "unknown" or, if the connection broke, "lost".
func (l *loadGenerator) sendOperation(id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	status, header, _, err := l.caller.Call(ctx, http.MethodPost, l.pickNode(-1), "/services/"+plainName+"/cut",
		[]byte(fmt.Sprintf(`{"operation":%q}`, id)),
		map[string]string{openai.HeaderIdempotencyKey: id, openai.HeaderTimeoutMS: "15000"})
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "not_run"
	case err != nil:
		return "lost"
	case status == http.StatusOK:
		return "answered"
	case header.Get(openai.HeaderNotRun) == "true":
		return "not_run"
	}
	return "unknown"
}

// batch submits a job. Every third is cancelled; the items of every fourth are operations of
// the plain service.
func (l *loadGenerator) batch(n int) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	j := &job{items: map[string]string{}, plain: n%4 == 3}
	var lines strings.Builder
	for i := range batchItems {
		id, text := fmt.Sprintf("item-%d", i), fmt.Sprintf("sheet %d line %d", n, i)
		if j.plain {
			text = fmt.Sprintf("batch-%d-%d", n, i)
			fmt.Fprintf(&lines, `{"custom_id":%q,"method":"POST","url":"/services/%s/cut","body":{"operation":%q}}`+"\n", id, plainName, text)
		} else {
			lines.WriteString(client.Item(id, modelName, text, itemTokens))
		}
		j.items[id] = text
	}
	options := ""
	if j.plain {
		options = `,"non_idempotent":true`
	}
	b, ok := l.submit(ctx, []byte(lines.String()), fmt.Sprintf("job-%d", n), options)
	if !ok {
		return
	}
	j.id, j.output = b.ID, b.OutputFileID
	l.history.addJob(j)
	if n%3 == 1 {
		l.cancel(j)
	}
}

// itemTokens is the number of tokens that an item asks for.
const itemTokens = 12

// submit uploads a file and creates a batch of it, and retries with the same file and key
// until the batch is accepted.
func (l *loadGenerator) submit(ctx context.Context, lines []byte, key, options string) (client.Batch, bool) {
	fileID := ""
	for ctx.Err() == nil {
		if fileID == "" {
			fileID = l.upload(ctx, lines)
		}
		if fileID != "" {
			if b, err := l.caller.Create(ctx, l.pickNode(-1), fileID, key, options); err == nil {
				return b, true
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return client.Batch{}, false
}

// upload returns the ID of the uploaded file, empty if the upload failed.
func (l *loadGenerator) upload(ctx context.Context, lines []byte) string {
	id, err := l.caller.Upload(ctx, l.pickNode(-1), lines)
	if err != nil {
		return ""
	}
	return id
}

// cancelAfter is the time between the creation of a job and its cancellation.
const cancelAfter = 700 * time.Millisecond

// cancel cancels a job and records when it is first shown as ended.
func (l *loadGenerator) cancel(j *job) {
	time.Sleep(cancelAfter)
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := l.caller.Cancel(ctx, l.pickNode(-1), j.id); err == nil {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	l.history.mu.Lock()
	j.cancelled = true
	l.history.mu.Unlock()
	for ctx.Err() == nil {
		b, err := l.caller.Batch(ctx, l.pickNode(-1), j.id)
		if err == nil && (b.Status == "cancelled" || b.Status == "completed") {
			l.history.mu.Lock()
			j.shownAt, j.finalStatus = time.Now(), b.Status
			l.history.mu.Unlock()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}
