package job

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/process/timeline"
)

const (
	// commitDelay is how long a finished result may wait to be committed with others, also
	// once its job is late: long enough that a job of ten items takes a few commits, and
	// short compared with the seconds in which jobs are due. Several waiting results share
	// the delay, see progress.commitDue.
	commitDelay = 2 * time.Second
	// urgentMargin is how long before its job is due a result waits for urgentCommitDelay
	// only: a commit takes some milliseconds, and a second when the object store is slow.
	urgentMargin      = 3 * time.Second
	urgentCommitDelay = 300 * time.Millisecond
	// commitPollInterval is the time between checks for a due commit, besides those when a
	// result arrives: a tenth of the time that a result usually waits.
	commitPollInterval = 200 * time.Millisecond
	// commitTimeout bounds one attempt to commit; the results are kept and the commit is
	// retried.
	commitTimeout = 5 * time.Second
	// headTimeout is the part of it that is left for the write of the head, so that results which
	// take longer to write are listed in several commits.
	headTimeout = 2 * time.Second
)

// commitLoop commits the results of one held job until all are listed or the job is
// released.
func (m *Manager) commitLoop(h *heldJob) {
	ticker := time.NewTicker(commitPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.stopped:
			return
		case <-h.commitNow:
		case <-ticker.C:
		}
		h.commitMu.Lock()
		stop := m.commitStep(h)
		h.commitMu.Unlock()
		if stop {
			return
		}
	}
}

// commitStep commits pending results if they are due. It returns true when nothing is left
// to do. The caller holds h.commitMu.
func (m *Manager) commitStep(h *heldJob) bool {
	m.mu.Lock()
	m.giveUpExpired(h)
	stop := h.released
	now := time.Now()
	due := !stop && !now.Before(h.commitAfter) && (m.commitDue(h, now) || (m.draining && len(h.progress.pending) > 0) || h.keepersChanged())
	h.commitReason = m.reasonOf(h, now)
	m.mu.Unlock()
	if stop || (due && !m.commit(h)) {
		return true
	}
	return m.finishIfComplete(h)
}

// commitDue reports whether to commit the pending results of a job now. The caller holds
// m.mu.
func (m *Manager) commitDue(h *heldJob, now time.Time) bool {
	if m.outputFull && len(h.progress.pending) > 0 {
		return true
	}
	if !m.sharedView() {
		return h.progress.commitDue(now, m.commitDelayOf(h))
	}
	return m.lateCommitReason(h, now) != notDue
}

// lateCommitReason returns why to commit the pending results of a job now, with the shared
// view on. The caller holds m.mu.
func (m *Manager) lateCommitReason(h *heldJob, now time.Time) commitReason {
	due := dueTime(&h.head, m.routeOf(&h.head)).Add(-2 * m.StoreLatency()) // a commit is two writes
	return h.progress.lateCommitDue(now, due, m.cfg.TakeOverAfter, h.checkpoints.hasResult)
}

// reasonOf returns the reason of a commit that is made now, notDue without the shared view.
// The caller holds m.mu.
func (m *Manager) reasonOf(h *heldJob, now time.Time) commitReason {
	if !m.sharedView() {
		return notDue
	}
	if reason := m.lateCommitReason(h, now); reason != notDue {
		return reason
	}
	if m.outputFull {
		return commitOutputFull
	}
	return commitRequested
}

// keepersChanged reports whether the head names other keepers than those that store the
// checkpoint, so that a node that takes the job over would not find it. The caller holds
// m.mu.
func (h *heldJob) keepersChanged() bool {
	return h.checkpoints.anySaved() && !slices.Equal(h.checkpoints.keepers, h.head.Keepers)
}

// commitDelayOf returns how long a result of the job may wait for others. The caller holds
// m.mu.
func (m *Manager) commitDelayOf(h *heldJob) time.Duration {
	return commitWait(time.Until(dueTime(&h.head, m.routeOf(&h.head))))
}

// commitWait returns how long a result waits for others if its job is due in the time left.
func commitWait(left time.Duration) time.Duration {
	if left < 0 || left > urgentMargin+commitDelay {
		return commitDelay
	}
	return max(urgentCommitDelay, left-urgentMargin)
}

// giveUpExpired gives up waiting items whose route was removed or whose time is over. The
// caller holds m.mu.
func (m *Manager) giveUpExpired(h *heldJob) {
	if h.ended || h.released || m.Routes() == nil {
		return
	}
	r := m.routeOf(&h.head)
	why := ""
	switch {
	case r == nil && m.RoutesFresh():
		why = "its route was removed"
	case r != nil && r.AbandonAfter > 0 && time.Since(time.UnixMilli(h.head.Submitted)) > r.AbandonAfter+abandonSlack:
		why = "its time is over"
	default:
		return
	}
	for i := range h.progress.items {
		if h.progress.items[i].phase == waiting {
			m.giveUpItem(h, i, why)
		}
	}
}

// abandonSlack is added to the time after which an item may be given up: the caller always
// sends a job a little before a node receives it.
const abandonSlack = 500 * time.Millisecond

// giveUpItem finishes an item without output. The caller holds m.mu.
func (m *Manager) giveUpItem(h *heldJob, i int, why string) {
	if h.progress.finish(i, Result{Item: h.items[i].ID, Dead: true}, time.Now()) {
		m.Recorder.Record(timeline.ItemDead, h.items[i].ID, h.id, why, timeline.Field{Name: "failures", Value: h.progress.items[i].failures})
		h.wakeCommitter()
	}
}

// commit writes the pending results and lists them in the head. It returns false if the job
// was released.
func (m *Manager) commit(h *heldJob) bool {
	m.mu.Lock()
	batch := slices.Clone(h.progress.pending)
	head := h.head
	head.Segments = slices.Clone(h.head.Segments)
	head.Failed, head.Keepers = h.progress.failureCounts(), h.checkpoints.keepers
	revision := h.revision
	m.mu.Unlock()

	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	writing, stopWriting := context.WithTimeout(ctx, commitTimeout-headTimeout)
	segments, err := m.writeSegments(writing, h, batch)
	stopWriting()
	if err != nil && len(segments) == 0 {
		m.commitFailed(h, err)
		return true // retried when it is due again
	}
	head.Segments = append(head.Segments, segments...)
	batch = batch[:head.Listed()-h.head.Listed()] // what was written is listed even if the rest was not
	head.Waiting = unlistedTokens(&head, h.items)
	m.moveInlineItems(ctx, h.id, &head, m.sharedView())
	next, err := m.updateHead(ctx, h.id, &head, revision)
	switch {
	case errors.Is(err, errFenced):
		m.mu.Lock()
		m.release(h, "another node holds the job")
		m.mu.Unlock()
		return false
	case err != nil:
		m.commitFailed(h, err)
		return m.resolveCommit(h, &head, err)
	}
	m.applyCommit(h, &head, next, batch)
	return true
}

// commitFailed delays the next commit of a job whose content the object store rejects.
func (m *Manager) commitFailed(h *heldJob, cause error) {
	if !errors.Is(cause, objects.ErrRejected) {
		return
	}
	h.rejections++
	h.commitAfter = time.Now().Add(min(rejectedBackoff<<min(h.rejections-1, 10), maxRejectedBackoff))
}

const (
	// rejectedBackoff is the delay after a commit that the object store rejected for its content;
	// it doubles up to maxRejectedBackoff.
	rejectedBackoff    = time.Second
	maxRejectedBackoff = 30 * time.Second
)

// moveInlineItems moves the items in a head to objects of their own, or drops them if the
// job is complete and no node needs them any more. If keep is set, or the object store does
// not accept them, the head of a job that is not complete keeps them.
func (m *Manager) moveInlineItems(ctx context.Context, id string, head *Head, keep bool) {
	switch {
	case len(head.Inline) == 0:
		return
	case head.Complete():
		head.Inline = nil
		return
	case keep && inlineBytes(head.Inline) <= maxKeptInlineBytes:
		return // most jobs are complete with one of their next commits
	}
	parts, err := m.storeItems(ctx, id, head.Inline)
	if err == nil {
		head.Parts, head.Inline = parts, nil
	}
}

// resolveCommit finds out, after a write of the head without a response, which head is
// stored. Until that is known, nothing further is written.
func (m *Manager) resolveCommit(h *heldJob, head *Head, cause error) bool {
	if !errors.Is(cause, errOutcomeUnknown) {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	revision, err := m.readBack(ctx, h.id, head.Writer)
	if err == nil {
		m.mu.Lock()
		batch := slices.Clone(h.progress.pending[:head.Listed()-h.head.Listed()])
		m.mu.Unlock()
		m.applyCommit(h, head, revision, batch)
	}
	return true // if it was not written, the next attempt uses the same revision, so that a late effect of this write shows as a conflict
}

// applyCommit updates the job after a head was written to the object store.
func (m *Manager) applyCommit(h *heldJob, head *Head, revision int64, batch []pendingResult) {
	results := make([]Result, len(batch))
	for i, p := range batch {
		results[i] = p.result
	}
	m.mu.Lock()
	from := h.head.Listed()
	m.Checker.Assert(head.Listed() == from+len(batch), invariant.CommitFenced, h.id, "", "%d results listed, %d expected", head.Listed(), from+len(batch))
	h.head, h.revision = *head, revision
	h.progress.markListed(len(batch))
	h.progress.markFailuresStored(head.Failed, time.Now())
	h.rejections = 0
	m.cacheResults(h.id, from, results)
	m.results.setTotal(h.id, head.Total)
	close(h.changed)
	h.changed = make(chan struct{})
	reason := h.commitReason
	m.mu.Unlock()
	m.Metrics.Counter("results_committed").Inc(int64(len(batch)))
	if reason != notDue {
		m.Metrics.Tagged(map[string]string{"why": string(reason)}).Counter("job_commits").Inc(1)
	}
	m.Recorder.Record(timeline.JobCommitted, h.id, "", string(reason), timeline.Field{Name: "results", Value: len(batch)},
		timeline.Field{Name: "listed", Value: head.Listed()}, timeline.Field{Name: "total", Value: head.Total}, timeline.Field{Name: "revision", Value: revision})
}

// finishIfComplete releases a job that needs no more work.
func (m *Manager) finishIfComplete(h *heldJob) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	done := h.progress.allListed() || (h.ended && h.progress.noneRunning() && len(h.progress.pending) == 0)
	if !done || h.released {
		return h.released
	}
	for keeper := range h.checkpoints.saved {
		m.toForget[keeper] = append(m.toForget[keeper], h.id)
	}
	head := h.head
	head.Inline = nil
	m.heads[h.id] = knownHead{head: head, revision: h.revision, at: time.Now(), fromStore: true}
	why := "every item has its result"
	if !h.progress.allListed() {
		why = "ended by its caller"
	}
	m.release(h, why)
	return true
}
