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
	view  *view
	job   record.Job
	n     int     // number of the chunk
	epoch int64   // of this lease
	items []*item // not yet queued
	// state and version are the stored ones; only keep and commit use them.
	state   record.ChunkState
	version int64
	// renewed is taken before the newest confirmed write was sent, so that
	// this node's idea of the lease ends before anyone else's does. It is a time of
	// Worker.clock: a lease runs out while its holder's machine is suspended.
	renewed time.Time
	pending []finished // results not yet committed
	left    int        // items without a result
	worked  time.Time  // when the last item was dispatched, or the lease began
	running int        // items at targets
	stopped bool       // fenced, cancelled or given back: nothing more is dispatched
	kick    chan struct{}
}

// finished is the result of an item.
type finished struct {
	index  int
	line   []byte
	failed bool
}

// errStopped says that a lease ended because its job was cancelled.
var errStopped = errors.New("job was cancelled")

// margin is kept free at the end of a lease for clock rates that differ and
// for the time between a check and its effect.
func (w *Worker) margin() time.Duration { return w.cfg.LeaseTTL / 5 }

// valid reports whether the holder may still dispatch under the lease. While
// the platform can't be reached, idempotent items go on within the grace.
func (w *Worker) valid(l *lease) bool {
	limit := w.cfg.LeaseTTL - w.margin()
	if !l.job.NonIdempotent {
		limit += w.cfg.OutageGrace
	}
	return !l.stopped && w.clock.Since(l.renewed) < limit
}

// expired judges another node's lease by how long its state has not changed.
func (w *Worker) expired(o observed) bool {
	return time.Since(o.since) > w.cfg.LeaseTTL+w.cfg.OutageGrace+w.margin()
}

// takeable also counts holders that are gone: their commits are fenced, so
// that a wrong judgement costs work but no result.
func (w *Worker) takeable(o observed) bool {
	h := o.state.Holder
	if h.Node == w.self.Node {
		return h.Incarnation != w.self.Incarnation
	}
	return w.expired(o) || w.members().Gone(h.Node, h.Incarnation)
}

// acquire leases one chunk of the job; nil when that failed.
func (w *Worker) acquire(ctx context.Context, v *view, n int) *lease {
	job, _ := v.current()
	before := v.chunk(n)
	if before.version == 0 {
		before.state = record.ChunkState{Job: job.ID, N: n}
	}
	sent := w.clock.Now()
	state, err := before.state.Acquire(w.self, rand.Text(), w.takeable(before))
	if err != nil {
		return nil
	}
	version, err := w.put(ctx, state, before.version)
	if err != nil {
		return nil
	}
	v.put(state, version)
	l := &lease{view: v, job: job, n: n, epoch: state.Epoch, state: state, version: version, renewed: sent, worked: time.Now(), kick: make(chan struct{}, 1)}
	// The job is read after the lease was written: a cancellation either is
	// seen here, or sees this lease and waits for it.
	if err := w.checkJob(ctx, l); err != nil {
		if errors.Is(err, errStopped) {
			w.stop(ctx, l)
		}
		return nil
	}
	if err := w.load(ctx, l); err != nil {
		return nil // expires by itself
	}
	if before.state.Phase == record.ChunkLeased {
		w.recorder.Record(timeline.ChunkTakenOver, "", name(l), fmt.Sprintf("from %s epoch %d", before.state.Holder.Node, state.Epoch))
	} else {
		w.recorder.Record(timeline.ChunkLeased, "", name(l), fmt.Sprintf("epoch %d", state.Epoch))
	}
	return l
}

func name(l *lease) string { return fmt.Sprintf("%s/%d", l.job.ID, l.n) }

// put writes a chunk state conditionally and settles lost answers by the
// token. version 0 creates.
func (w *Worker) put(ctx context.Context, state record.ChunkState, version int64) (int64, error) {
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

// load reads the chunk's items and leaves out those with a result. Items of a
// former holder that may have run and may not be repeated end as unknown.
func (w *Worker) load(ctx context.Context, l *lease) error {
	lines, err := w.store.chunk(ctx, &l.job, l.state.N)
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
		l.left++
		switch {
		case started[i]:
			w.finish(it, unknownResult(it))
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

// keep commits and renews the lease until its chunk has ended or it is lost.
func (w *Worker) keep(ctx context.Context, l *lease) {
	ticker := time.NewTicker(w.cfg.CommitEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-l.kick:
		case <-ctx.Done():
			return
		}
		if w.renew(ctx, l) {
			return
		}
	}
}

// renew does one commit; it returns true when the lease is over.
func (w *Worker) renew(ctx context.Context, l *lease) (over bool) {
	err := w.checkJob(ctx, l)
	if err == nil {
		err = w.commit(ctx, l)
	}
	switch {
	case errors.Is(err, errStopped):
		w.halt(l)
		w.waitIdle(ctx, l)
		w.commit(ctx, l) // gives the chunk back with what was finished
		w.forget(l)
		return true
	case errors.Is(err, platform.ErrConflict), errors.Is(err, record.ErrFenced), errors.Is(err, record.ErrFinal):
		w.recorder.Record(timeline.ChunkFenced, "", name(l), err.Error())
		w.halt(l)
		w.forget(l)
		return true
	case err != nil:
		return false // the platform is away; tried again at the next tick
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return l.state.Phase != record.ChunkLeased
}

// commit writes the pending results as a segment, then the chunk state that
// names it. Only the state makes results visible.
func (w *Worker) commit(ctx context.Context, l *lease) error {
	w.mu.Lock()
	w.releaseIdle(l, time.Now())
	batch := upTo(l.pending, segmentBytes)
	more := len(batch) < len(l.pending)
	ending := l.left == 0 && l.running == 0 && !more
	giveBack := l.stopped && !ending && l.running == 0 && !more
	claim, returned := w.claims(l, giveBack)
	w.mu.Unlock()

	sent := w.clock.Now()
	progress := record.Progress{Items: l.state.Items, Phase: record.ChunkLeased, Started: claim, Returned: returned}
	if len(batch) > 0 {
		segment, err := w.writeSegment(ctx, l, batch)
		if err != nil {
			return err
		}
		progress.Segment = segment
		progress.Completed, progress.Failed = countResults(batch)
	}
	switch {
	case ending:
		progress.Phase = record.ChunkDone
	case giveBack:
		progress.Phase = record.ChunkOpen
	}
	next, err := l.state.Commit(w.self, l.epoch, rand.Text(), progress)
	if !w.checker.Assert(err == nil, invariant.CommitFenced, "", name(l), "commit not possible: %v", err) {
		return err
	}
	version, err := w.put(ctx, next, l.version)
	if err != nil {
		return err
	}
	w.committed(l, next, version, sent, len(batch), claim)
	return nil
}

// releaseIdle marks a lease to be given back when this node can't work on it:
// it has no usable target for the chunk, or none had room for a lease's time.
// The caller holds w.mu.
func (w *Worker) releaseIdle(l *lease, now time.Time) {
	if l.running > 0 || l.left == 0 || l.stopped {
		return
	}
	if !w.serves(l.job.ChunkService(l.n)) || now.Sub(l.worked) > w.cfg.LeaseTTL {
		l.stopped = true
	}
}

func (w *Worker) committed(l *lease, state record.ChunkState, version int64, sent time.Time, results int, claim []int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l.state, l.version, l.renewed = state, version, sent
	l.pending = l.pending[results:]
	if len(l.pending) > 0 && l.running == 0 {
		l.wake() // the rest of what one segment could not hold
	}
	l.view.put(state, version)
	w.metrics.Counter("batch_items_committed").Inc(int64(results))
	w.release(l, claim)
	if state.Phase != record.ChunkLeased {
		w.recorder.Record(timeline.ChunkCommitted, "", name(l), fmt.Sprintf("%s, %d completed, %d failed", state.Phase, state.Completed, state.Failed))
		w.dropQueued(l)
		delete(w.leases, name(l))
	}
	w.signal()
}

func (w *Worker) writeSegment(ctx context.Context, l *lease, batch []finished) (*record.Segment, error) {
	var body bytes.Buffer
	segment := &record.Segment{Object: record.SegmentName(l.job.ID, l.n, l.epoch, rand.Text())}
	for _, f := range batch {
		body.Write(f.line)
		segment.Items = append(segment.Items, f.index)
	}
	_, err := w.platform.Create(ctx, platform.Commit, segment.Object, body.Bytes())
	return segment, err // after a lost answer the next try writes another object
}

// segmentBytes bounds a segment, below the platform's limit.
const segmentBytes = 900 << 10

// upTo returns the first results that fit into one segment, at least one.
func upTo(results []finished, limit int) []finished {
	size := 0
	for i, f := range results {
		size += len(f.line)
		if i > 0 && size > limit {
			return results[:i]
		}
	}
	return results
}

func countResults(batch []finished) (completed, failed int) {
	for _, f := range batch {
		if f.failed {
			failed++
		} else {
			completed++
		}
	}
	return completed, failed
}

// stop writes the chunk's end by cancellation. Failing is harmless: the lease
// then runs out.
func (w *Worker) stop(ctx context.Context, l *lease) {
	state, err := l.state.Stop(rand.Text())
	if err != nil {
		return
	}
	if version, err := w.put(ctx, state, l.version); err == nil {
		l.view.put(state, version)
	}
}
