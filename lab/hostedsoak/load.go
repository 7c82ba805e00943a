package hostedsoak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marblepond/marblepond/lab/hosted"
)

// load simulates the callers: online requests over persistent connections, and
// jobs whose results are read while they run.
type load struct {
	fleet   *fleet
	history *history
	seed    uint64
	client  *http.Client
	// returning has the callers of streams that may be resumed return when these break off.
	returning bool
	// overloaded is set while callers send overloadFactor times as many online requests.
	overloaded atomic.Bool
	// preferred is the number of the node that most new connections go to, less 1; 0: none.
	preferred atomic.Int32

	mu    sync.Mutex
	parts []string        // parts of prompts that crashed runners
	ready map[string]bool // by node, as the load balancer sees it
	jobs  []*callerJob
}

func newLoad(f *fleet, h *history, seed uint64) *load {
	return &load{fleet: f, history: h, seed: seed, ready: map[string]bool{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}}}
}

const (
	onlineInterval    = 25 * time.Millisecond
	jobInterval       = 1200 * time.Millisecond
	jobItems          = 12
	readinessInterval = 300 * time.Millisecond
	onlineTimeout     = 5 * time.Second
	// overloadFactor times the usual online requests (40 per second) are more than the runners
	// can serve (48 slots, 0.45 s for each request).
	overloadFactor = 5
	// overloadIDStep is the distance between the numbers of the requests of one tick. It is
	// more than the ticks of a run, and no multiple of 3, so that all routes are used.
	overloadIDStep = 1_000_000
)

// run generates load until ctx ends, then waits for requests in progress.
func (l *load) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { l.pollReadiness(ctx) })
	wg.Go(func() { l.runEvery(ctx, onlineInterval, l.sendOnlineTick) })
	wg.Go(func() { l.runEvery(ctx, l.jobInterval(), l.runJob) })
	wg.Go(func() { l.runEvery(ctx, tightInterval, l.sendTight) })
	wg.Go(func() { l.runEvery(ctx, rotatingKeyInterval, l.sendRotatingKey) })
	wg.Wait()
}

func (l *load) runEvery(ctx context.Context, pause time.Duration, f func(n int)) {
	var wg sync.WaitGroup
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			wg.Wait()
			return
		case <-ticker.C:
			wg.Go(func() { f(n) })
		}
	}
}

// pollReadiness checks the nodes' readiness, as the platform's load balancer does.
func (l *load) pollReadiness(ctx context.Context) {
	l.runEvery(ctx, readinessInterval, func(int) {
		for _, n := range l.fleet.nodes {
			ready := n.ready()
			l.mu.Lock()
			l.ready[n.name] = ready
			l.mu.Unlock()
		}
	})
}

// pickNode returns a random ready node, or any node if none is ready.
func (l *load) pickNode() *node {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := rand.IntN(len(l.fleet.nodes))
	if n := int(l.preferred.Load()); n > 0 && rand.Float64() < preferredShare {
		first = n - 1
	}
	for i := range l.fleet.nodes {
		if n := l.fleet.nodes[(first+i)%len(l.fleet.nodes)]; l.ready[n.name] {
			return n
		}
	}
	return l.fleet.nodes[first]
}

// sendOnlineTick sends the online requests of one tick: one, or overloadFactor in an overload.
func (l *load) sendOnlineTick(n int) {
	if l.overloaded.Load() {
		var wg sync.WaitGroup
		defer wg.Wait()
		for k := 1; k < overloadFactor; k++ {
			wg.Go(func() { l.sendOnline(n + k*overloadIDStep) })
		}
	}
	l.sendOnline(n)
}

// sendOnline sends one online request and checks its answer.
func (l *load) sendOnline(n int) {
	path := []string{hosted.StreamPath, hosted.ResumePath, hosted.RepeatPath}[n%3]
	if l.returning && path == hosted.ResumePath {
		l.sendReturning(n)
		return
	}
	id := fmt.Sprintf("s%d-r%d", l.seed, n)
	at := l.pickNode()
	l.history.count(func(c *counts) { c.Online++ })
	started := time.Now()
	status, body, err := l.send(at, path, id, steadyKey)
	if isPartRefusal(status, body) {
		l.history.count(func(c *counts) { c.RefusedForPart++ })
	}
	switch {
	case err != nil && status == 0:
		l.history.count(func(c *counts) { c.Cut++ })
		l.checkCut(at, id, started, err)
	case err != nil:
		l.history.count(func(c *counts) { c.Cut++ })
		l.checkCut(at, id, started, err)
	case status == http.StatusOK:
		l.history.count(func(c *counts) { c.Complete++ })
		l.history.recordCompleted(id)
		if !hosted.IsWholeText(hosted.StreamText(body), id, answerEvents) {
			l.history.violate("request %s at %s: the answer is not complete: %q", id, at.name, body)
		}
	case saysNotRun(status):
		l.history.count(func(c *counts) { c.Refused++ })
		l.history.recordRefusal(id, fmt.Sprintf("status %d from %s", status, at.name))
	case status == http.StatusNotFound:
		l.history.violate("request %s at %s: answered 404 for an existing route", id, at.name)
	default:
		l.history.count(func(c *counts) { c.Failed++ })
	}
}

// saysNotRun reports whether a status promises that the request has not run and never will.
func saysNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

func (l *load) send(at *node, path, id, key string) (status int, body string, err error) {
	return l.sendPrompt(at, path, id, key, harmlessPrompt(id))
}

func (l *load) sendPrompt(at *node, path, id, key, prompt string) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), onlineTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.callers.Address()+path+"q", bytes.NewReader([]byte(id)))
	if err != nil {
		return 0, "", err
	}
	req.Host = hosted.Host
	req.Header.Set("X-Marblepond-Request-Id", id)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Marblepond-Deadline-Ms", fmt.Sprint(onlineTimeout.Milliseconds()))
	req.Header.Set(hosted.PromptHeader, prompt)
	resp, err := l.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// checkCut reports a missing or incomplete response as a violation unless a fault explains
// it. A graceful stop, a reload of settings, a change of the configuration and an overload
// do not.
func (l *load) checkCut(at *node, id string, started time.Time, err error) {
	if l.history.faultFree(started, time.Now(), StopNode, HangupNode, ConfigChange, Overload, MostAtOne) {
		l.history.violate("request %s at %s was cut without a fault: %v", id, at.name, err)
	}
}

// callerJob is a caller's record of a job.
type callerJob struct {
	id      string
	results []hosted.Result // by position, as first read
	ended   bool
	// acceptedAt is when the job was accepted.
	acceptedAt time.Time
}

const (
	jobTries    = 25
	jobPause    = 400 * time.Millisecond
	endOneIn    = 5                      // one in this many jobs is ended by its caller
	endDelay    = 800 * time.Millisecond // after acceptance
	endTries    = 40
	jobsTimeout = 60 * time.Second // after the last fault, for every result
)

// runJob submits a job until it is accepted, and reads or ends it.
func (l *load) runJob(n int) {
	j := &callerJob{id: fmt.Sprintf("s%d-j%d", l.seed, n)}
	if !l.submitJob(j.id) {
		return
	}
	j.acceptedAt = time.Now()
	l.history.count(func(c *counts) { c.Jobs++; c.Items += jobItems })
	if n%endOneIn == endOneIn-1 {
		time.Sleep(endDelay)
		j.ended = l.endJob(j.id)
	}
	l.mu.Lock()
	l.jobs = append(l.jobs, j)
	l.mu.Unlock()
	if !j.ended {
		l.read(j, time.Now().Add(jobPause*4))
	}
}

// submitJob submits a job until a node accepts it. A job that was refused as not
// run at every attempt must never run.
func (l *load) submitJob(id string) bool {
	allRefused := true
	for range jobTries {
		reply := hosted.SubmitJobWithKey(l.pickNode().callers.Address(), id, steadyKey, hosted.Items(id, jobItems))
		switch {
		case reply.Err == nil && reply.Status == http.StatusAccepted:
			return true
		case reply.Err == nil && (reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests):
		default:
			allRefused = false
		}
		time.Sleep(jobPause)
	}
	if allRefused {
		for _, item := range hosted.Items(id, jobItems) {
			l.history.recordRefusal(item.ID, "its job was refused at every attempt")
		}
	}
	return false
}

func (l *load) endJob(id string) bool {
	for range endTries {
		if reply := hosted.EndJobWithKey(l.pickNode().callers.Address(), id, steadyKey); reply.Err == nil && reply.Status == http.StatusOK {
			l.history.recordJobEnd(id)
			return true
		}
		time.Sleep(jobPause)
	}
	return false
}

// read reads the results of a job until a time or until all are read, from any
// nodes and sometimes again from an earlier position.
func (l *load) read(j *callerJob, until time.Time) bool {
	for time.Now().Before(until) {
		after := len(j.results)
		if after > 0 && rand.IntN(4) == 0 {
			after = rand.IntN(after)
		}
		at := l.pickNode()
		page, status := hosted.ReadResultsWithKey(at.callers.Address(), j.id, steadyKey, after)
		l.checkPage(j, at, after, page, status)
		if len(j.results) == jobItems {
			return true
		}
		time.Sleep(jobPause / 4)
	}
	return len(j.results) == jobItems
}

// checkPage checks a page of results against those read before.
func (l *load) checkPage(j *callerJob, at *node, after int, page hosted.Results, status int) {
	switch {
	case status == http.StatusNotFound || status == http.StatusGone:
		l.history.violate("job %s is not found at %s", j.id, at.name)
	case status != http.StatusOK:
		return
	case page.Total != jobItems:
		l.history.violate("job %s has %d items at %s", j.id, page.Total, at.name)
	case after < len(j.results) && len(page.Results) == 0 && l.history.faultFree(time.Now().Add(-settleTime), time.Now()):
		l.history.violate("job %s at %s has nothing at position %d, which was read before", j.id, at.name, after)
	}
	for i, r := range page.Results {
		switch position := after + i; {
		case position < len(j.results):
			if j.results[position] != r {
				l.history.violate("job %s at %s: position %d holds another result than before", j.id, at.name, position)
			}
		default:
			l.checkResult(j, r)
			if r.State == "completed" {
				l.history.recordCompleted(r.ID)
			} else {
				l.history.recordGivenUp(r.ID)
			}
			j.results = append(j.results, r)
		}
	}
}

func (l *load) checkResult(j *callerJob, r hosted.Result) {
	for _, known := range j.results {
		if known.ID == r.ID {
			l.history.violate("item %s has two results in job %s", r.ID, j.id)
		}
	}
	if r.State == "completed" && !hosted.IsWholeText(r.Text, r.ID, answerEvents) {
		l.history.violate("item %s of job %s has an incomplete text: %q", r.ID, j.id, r.Text)
	}
}
