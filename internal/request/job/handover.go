package job

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/backlog"
)

const (
	// drainDuration is how long a leaving node lets items run before it hands its jobs
	// over; an item takes about a second.
	drainDuration = 2 * time.Second
	// drainPollInterval is the time between checks whether items still run.
	drainPollInterval = 20 * time.Millisecond
)

// Drain waits a short time for running items to finish, commits their results and hands the
// held jobs over to other nodes.
func (m *Manager) Drain(ctx context.Context) {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	until := time.Now().Add(drainDuration)
	for time.Now().Before(until) && !m.noneRunning() && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	m.mu.Lock()
	jobs := m.heldByDueTime()
	for _, h := range jobs {
		for _, stop := range h.stops {
			stop(errReleased)
		}
		h.wakeCommitter()
	}
	m.mu.Unlock()
	m.saveCheckpoints(ctx)
	m.handOver(ctx, jobs)
}

// noneRunning reports whether no item of any held job runs.
func (m *Manager) noneRunning() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range m.held {
		if !h.progress.noneRunning() {
			return false
		}
	}
	return true
}

// handOver relinquishes the jobs and asks other nodes to adopt them.
func (m *Manager) handOver(ctx context.Context, jobs []*heldJob) {
	var relinquished []string
	for _, h := range jobs {
		if m.relinquish(ctx, h) {
			relinquished = append(relinquished, h.id)
		}
	}
	holders := m.Peers.Holders()
	rand.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	var wg sync.WaitGroup
	for i, address := range holders {
		var part []string // every len(holders)-th job
		for k := i; k < len(relinquished); k += len(holders) {
			part = append(part, relinquished[k])
		}
		if len(part) > 0 {
			wg.Go(func() { m.requestAdoption(ctx, address, part) })
		}
	}
	wg.Wait()
}

// requestAdoption asks a node to adopt jobs. If it does not respond, the next sweep of any
// node finds them.
func (m *Manager) requestAdoption(ctx context.Context, address string, jobs []string) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	if _, err := m.Peers.Job(address).Adopt(ctx, &v1.AdoptRequest{Jobs: jobs}); err != nil {
		for _, id := range jobs {
			m.Recorder.Record(timeline.JobReleased, id, address, "the node asked to adopt the job did not respond: "+err.Error())
		}
	}
}

// relinquish commits the finished results and writes a head without a holder. It reports
// whether that head was written.
func (m *Manager) relinquish(ctx context.Context, h *heldJob) bool {
	h.commitMu.Lock()
	defer h.commitMu.Unlock()
	m.mu.Lock()
	pending := len(h.progress.pending) > 0
	released := h.released
	h.commitReason = m.reasonOf(h, time.Now())
	m.mu.Unlock()
	if released {
		return false
	}
	if pending && !m.commit(h) {
		return false
	}
	m.mu.Lock()
	if h.released {
		m.mu.Unlock()
		return false
	}
	head, revision := h.head, h.revision
	head.Failed, head.Keepers = h.progress.failureCounts(), h.checkpoints.keepers
	counted := m.countReleased(h)
	m.release(h, "this node is leaving")
	m.mu.Unlock()
	if head.Complete() {
		counted()
		return false
	}
	head.Holder = Holder{}
	_, err := m.updateHead(ctx, h.id, &head, revision)
	if err == nil || errors.Is(err, errFenced) {
		counted() // the store shows that this node does not hold it
	}
	return err == nil
}

// countReleased counts the waiting tokens of a job that is about to be released until done is called.
// The caller holds m.mu.
func (m *Manager) countReleased(h *heldJob) (done func()) {
	r := m.routeOf(&h.head)
	if r == nil || h.ended {
		return func() {}
	}
	key, tokens := backlog.Key{Route: r.Name, Workspace: h.head.Workspace}, h.waitingTokens()
	m.reserved[key] += tokens
	return func() { m.addReserved(key, -tokens) }
}
