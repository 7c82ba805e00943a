package batch

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/marblepond/marblepond/internal/connection/platform"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/record"
)

// lease is a chunk this node holds.
type lease struct {
	view  *jobView
	job   record.Job
	chunk int     // number of the chunk
	epoch int64   // of this lease
	items []*item // not yet queued
	// state and version are those of the stored chunk state. Only the goroutine
	// that leased the chunk and renewLoop use them.
	state   record.ChunkState
	version int64
	// renewed is the time just before the newest confirmed write was sent, so that
	// the lease expires for this node before it does for any other. It is read from
	// Worker.clock, because a lease also expires while its holder is suspended.
	renewed       time.Time
	pending       []itemResult // results not yet committed, oldest first
	remaining     int          // items without a result
	lastDispatch  time.Time    // time of the last dispatch, initially the start of the lease
	running       int          // items at targets
	stopped       bool         // fenced, cancelled or being given back: no more items are dispatched
	commitRequest chan struct{}
}

// itemResult is the encoded result of an item.
type itemResult struct {
	index  int
	line   []byte
	failed bool
}

// errStopped is returned when the job of a lease is no longer open.
var errStopped = errors.New("job was cancelled")

// margin is the safety margin at the end of a lease. It allows for different
// clock rates and for the time between a check of the lease and its effect.
func (w *Worker) margin() time.Duration { return w.cfg.LeaseTTL / 5 }

// valid reports whether the holder may still dispatch under the lease. Idempotent
// items may also be dispatched during OutageGrace after its expiry, so that they
// go on while the platform is unreachable.
func (w *Worker) valid(l *lease) bool {
	limit := w.cfg.LeaseTTL - w.margin()
	if !l.job.NonIdempotent {
		limit += w.cfg.OutageGrace
	}
	return !l.stopped && w.clock.Since(l.renewed) < limit
}

// expired reports whether another node's lease has expired: its state has not
// changed for the TTL, the grace and the margin.
func (w *Worker) expired(o observedChunk) bool {
	return time.Since(o.unchangedSince) > w.cfg.LeaseTTL+w.cfg.OutageGrace+w.margin()
}

// canTakeOver reports whether this node may lease a chunk that another incarnation
// holds: the lease has expired, or membership considers the holder departed. If
// that is wrong, the former holder's commits are fenced: work is wasted, but no
// result is lost.
func (w *Worker) canTakeOver(o observedChunk) bool {
	h := o.state.Holder
	if h.Node == w.self.Node {
		return h.Incarnation != w.self.Incarnation
	}
	return w.expired(o) || w.members().Departed(h.Node, h.Incarnation)
}

// acquire leases one chunk of the job. It returns nil if that failed.
func (w *Worker) acquire(ctx context.Context, v *jobView, n int) *lease {
	job, _ := v.current()
	before := v.chunk(n)
	if before.version == 0 {
		before.state = record.ChunkState{Job: job.ID, N: n}
	}
	sent := w.clock.Now()
	state, err := before.state.Acquire(w.self, rand.Text(), w.canTakeOver(before))
	if err != nil {
		return nil
	}
	version, err := w.putState(ctx, state, before.version)
	if err != nil {
		return nil
	}
	v.update(state, version)
	l := &lease{view: v, job: job, chunk: n, epoch: state.Epoch, state: state, version: version, renewed: sent, lastDispatch: time.Now(), commitRequest: make(chan struct{}, 1)}
	// The job is read after the lease is written, so that either this read sees a
	// cancellation, or the node that completes it sees this lease and waits for it.
	if err := w.checkJob(ctx, l); err != nil {
		if errors.Is(err, errStopped) {
			w.writeStopped(ctx, l)
		}
		return nil
	}
	if err := w.loadItems(ctx, l); err != nil {
		return nil // the lease expires
	}
	if before.state.Phase == record.ChunkLeased {
		w.recorder.Record(timeline.ChunkTakenOver, "", leaseName(l), fmt.Sprintf("from %s epoch %d", before.state.Holder.Node, state.Epoch))
	} else {
		w.recorder.Record(timeline.ChunkLeased, "", leaseName(l), fmt.Sprintf("epoch %d", state.Epoch))
	}
	return l
}

// leaseName returns the name of a lease: job and chunk number.
func leaseName(l *lease) string { return fmt.Sprintf("%s/%d", l.job.ID, l.chunk) }

// putState writes a chunk state if the stored version is still the given one; 0
// creates the object. If the outcome is not known, it reads the state back and
// recognises its own write by the token.
func (w *Worker) putState(ctx context.Context, state record.ChunkState, version int64) (int64, error) {
	object := record.StateName(state.Job, state.N)
	var newest int64
	var err error
	if version == 0 {
		newest, err = w.platform.Create(ctx, platform.Lease, object, record.Encode(state))
	} else {
		newest, err = w.platform.Update(ctx, platform.Lease, object, version, record.Encode(state))
	}
	if errors.Is(err, platform.ErrAmbiguous) || errors.Is(err, platform.ErrConflict) {
		o, readErr := w.platform.Get(ctx, platform.Lease, object)
		if readErr != nil {
			return 0, err
		}
		stored, decodeErr := record.Decode[record.ChunkState](o.Value)
		if decodeErr == nil && stored.Token == state.Token {
			return o.Version, nil
		}
		if o.Version != version {
			return 0, platform.ErrConflict
		}
	}
	return newest, err
}

// checkJob reads the job again. It returns errStopped if the job is not open.
func (w *Worker) checkJob(ctx context.Context, l *lease) error {
	o, err := w.platform.Get(ctx, platform.Lease, record.JobName(l.job.ID))
	if err != nil {
		return err
	}
	job, err := record.Decode[record.Job](o.Value)
	if err != nil {
		return err
	}
	l.view.setJob(job, o.Version)
	if job.State != record.JobOpen {
		return errStopped
	}
	return nil
}

// loadItems reads the items of the chunk that have no result yet. Non-idempotent
// items that a former holder may have dispatched get an unknown outcome instead
// of being run again.
func (w *Worker) loadItems(ctx context.Context, l *lease) error {
	lines, err := w.store.readChunk(ctx, &l.job, l.state.N)
	if err != nil {
		return err
	}
	done := l.state.CommittedItems()
	started := map[int]bool{}
	for _, i := range l.state.Started {
		started[i] = true
	}
	l.state.Items = len(lines)
	config := w.config()
	workspace := config.Workspaces.ByName(l.job.Workspace)
	for i, line := range lines {
		if done[i] {
			continue
		}
		it := &item{lease: l, index: i, line: line}
		l.remaining++
		switch {
		case started[i]:
			w.finish(it, unknownOutcomeResult(it))
		case workspace == nil:
			w.finish(it, errorResult(it, "not_found", "the workspace is no longer configured", "true"))
		default:
			it.service, it.loaded, err = line.resolve(config, workspace)
			if err != nil {
				w.finish(it, failedResult(it, err))
				continue
			}
			l.items = append(l.items, it)
		}
	}
	return nil
}

// renewLoop commits results and renews the lease until the chunk has ended or the
// lease is lost.
func (w *Worker) renewLoop(ctx context.Context, l *lease) {
	ticker := time.NewTicker(w.cfg.CommitEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-l.commitRequest:
		case <-ctx.Done():
			return
		}
		if w.renew(ctx, l) {
			return
		}
	}
}

// renew does one commit; it returns true when the lease has ended.
func (w *Worker) renew(ctx context.Context, l *lease) (over bool) {
	err := w.checkJob(ctx, l)
	if err == nil {
		err = w.commit(ctx, l)
	}
	switch {
	case errors.Is(err, errStopped):
		w.stopItems(l)
		w.waitIdle(ctx, l)
		w.commit(ctx, l) // gives the chunk back with the results so far
		w.dropLease(l)
		return true
	case errors.Is(err, platform.ErrConflict), errors.Is(err, record.ErrFenced), errors.Is(err, record.ErrFinal):
		w.recorder.Record(timeline.ChunkFenced, "", leaseName(l), err.Error())
		w.stopItems(l)
		w.dropLease(l)
		return true
	case err != nil:
		return false // the platform is unavailable; retried at the next tick
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return l.state.Phase != record.ChunkLeased
}

// commit writes pending results as a segment object, then the chunk state that
// refers to it. Results become visible with the chunk state.
func (w *Worker) commit(ctx context.Context, l *lease) error {
	w.mu.Lock()
	w.releaseIdle(l, time.Now())
	results := segmentPrefix(l.pending, maxSegmentBytes)
	more := len(results) < len(l.pending)
	ending := l.remaining == 0 && l.running == 0 && !more
	giveBack := l.stopped && !ending && l.running == 0 && !more
	claim, returned := w.nextClaims(l, giveBack)
	w.mu.Unlock()

	sent := w.clock.Now()
	progress := record.Progress{Items: l.state.Items, Phase: record.ChunkLeased, Started: claim, Returned: returned}
	if len(results) > 0 {
		segment, err := w.writeSegment(ctx, l, results)
		if err != nil {
			return err
		}
		progress.Segment = segment
		progress.Completed, progress.Failed = countResults(results)
	}
	switch {
	case ending:
		progress.Phase = record.ChunkDone
	case giveBack:
		progress.Phase = record.ChunkOpen
	}
	next, err := l.state.Commit(w.self, l.epoch, rand.Text(), progress)
	if !w.checker.Assert(err == nil, invariant.CommitFenced, "", leaseName(l), "commit not possible: %v", err) {
		return err
	}
	version, err := w.putState(ctx, next, l.version)
	if err != nil {
		return err
	}
	w.applyCommit(l, next, version, sent, len(results), claim)
	return nil
}

// releaseIdle marks a lease to be given back if this node can't run its items:
// it owns no usable target of the service, or dispatched no item for LeaseTTL
// because no slot was free. The caller holds w.mu.
func (w *Worker) releaseIdle(l *lease, now time.Time) {
	if l.running > 0 || l.remaining == 0 || l.stopped {
		return
	}
	if !w.ownsTargetOf(l.job.ChunkService(l.chunk)) || now.Sub(l.lastDispatch) > w.cfg.LeaseTTL {
		l.stopped = true
	}
}

// applyCommit updates the lease after a commit was stored.
func (w *Worker) applyCommit(l *lease, state record.ChunkState, version int64, sent time.Time, results int, claim []int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l.state, l.version, l.renewed = state, version, sent
	l.pending = l.pending[results:]
	if len(l.pending) > 0 && l.running == 0 {
		l.requestCommit() // commits the results that did not fit into one segment
	}
	l.view.update(state, version)
	w.metrics.Counter("batch_items_committed").Inc(int64(results))
	w.enqueueClaimed(l, claim)
	if state.Phase != record.ChunkLeased {
		w.recorder.Record(timeline.ChunkCommitted, "", leaseName(l), fmt.Sprintf("%s, %d completed, %d failed", state.Phase, state.Completed, state.Failed))
		w.dropQueued(l)
		delete(w.leases, leaseName(l))
	}
	w.signal()
}

// writeSegment stores results in a new object.
func (w *Worker) writeSegment(ctx context.Context, l *lease, results []itemResult) (*record.Segment, error) {
	var body bytes.Buffer
	segment := &record.Segment{Object: record.SegmentName(l.job.ID, l.chunk, l.epoch, rand.Text())}
	for _, f := range results {
		body.Write(f.line)
		segment.Items = append(segment.Items, f.index)
	}
	_, err := w.platform.Create(ctx, platform.Commit, segment.Object, body.Bytes())
	return segment, err // if the outcome is not known, the next commit writes another object
}

// maxSegmentBytes bounds a segment; it is below platform.MaxValueBytes.
const maxSegmentBytes = 900 << 10

// segmentPrefix returns the first results that fit into a segment of limit bytes,
// but at least one.
func segmentPrefix(results []itemResult, limit int) []itemResult {
	size := 0
	for i, f := range results {
		size += len(f.line)
		if i > 0 && size > limit {
			return results[:i]
		}
	}
	return results
}

func countResults(results []itemResult) (completed, failed int) {
	for _, f := range results {
		if f.failed {
			failed++
		} else {
			completed++
		}
	}
	return completed, failed
}

// writeStopped stores the chunk as stopped because its job was cancelled. If that
// fails, the lease expires and the node that ends the job stops the chunk.
func (w *Worker) writeStopped(ctx context.Context, l *lease) {
	state, err := l.state.Stop(rand.Text())
	if err != nil {
		return
	}
	if version, err := w.putState(ctx, state, l.version); err == nil {
		l.view.update(state, version)
	}
}
