package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/marblepond/marblepond/internal/connection/engine"
	"github.com/marblepond/marblepond/internal/connection/openai"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/record"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/run"
	"github.com/marblepond/marblepond/internal/version/fleet"
)

// item is one line of a leased chunk.
type item struct {
	lease            *lease
	index            int
	line             Line
	service          *fleet.Service
	loaded           string      // model name that the target must have loaded
	answer           *run.Answer // keeps the tokens received by a preempted attempt
	attempts         int         // failed attempts that count against the item
	claimed          bool        // non-idempotent item: its start is committed
	suspect          bool        // the connection to a target was lost while the item ran there
	startedAsSuspect bool        // suspect was set when the newest attempt started

	// The newest attempt.
	target    string
	started   time.Time
	cancel    context.CancelCauseFunc
	preempted bool
}

// errPreempted cancels an attempt whose slot an online request needs.
var errPreempted = errors.New("preempted by online requests")

// errLeaseEnded cancels an attempt whose lease has ended.
var errLeaseEnded = errors.New("lease has ended")

// id returns the request ID of the item: job, chunk, index and epoch of the lease.
func (it *item) id() string {
	return fmt.Sprintf("%s.%d.%d.%d", it.lease.job.ID, it.lease.chunk, it.index, it.lease.epoch)
}

// attemptTimeout bounds one attempt; the engine client aborts stalled streams
// much earlier.
const attemptTimeout = 10 * time.Minute

// dispatch sends an item to a target. The caller holds w.mu.
func (w *Worker) dispatch(ctx context.Context, it *item, target choose.Target) {
	l := it.lease
	job, _ := l.view.current()
	w.checker.Assert(!job.State.Final(), invariant.NoDispatchAfterCancel, it.id(), l.job.ID, "dispatch in state %s", job.State)
	w.checker.Assert(!l.job.NonIdempotent || it.claimed, invariant.AtMostOnce, it.id(), l.job.ID, "dispatch without a committed start")
	if it.answer == nil {
		it.answer = run.NewAnswer(it.id())
	}
	ctx, it.cancel = context.WithCancelCause(ctx)
	it.target, it.started, it.preempted = target.ID, time.Now(), false
	l.running++
	l.lastDispatch = it.started
	w.suspects.start(it)
	w.running[target.ID] = append(w.running[target.ID], it)
	w.pacer.Begin(target.ID)
	go func() {
		err := w.attempt(ctx, it, target)
		w.attemptEnded(it, err, context.Cause(ctx))
	}()
}

// attempt runs the item once. If it returns nil, the result is pending in the lease.
func (w *Worker) attempt(ctx context.Context, it *item, target choose.Target) error {
	req := run.Request{
		ID: it.id(), Workspace: it.lease.job.Workspace, Service: it.service.Name, Loaded: it.loaded, Path: it.line.URL,
		Method: http.MethodPost, Body: it.line.Body, Deadline: time.Now().Add(attemptTimeout), NonIdempotent: it.lease.job.NonIdempotent,
	}
	req.Work = run.WorkOf(&req)
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	if it.service.Kind == fleet.KindModel {
		if err := w.runner.Item(ctx, req, target, it.answer); err != nil {
			return err
		}
		w.finish(it, w.modelResult(it))
		return nil
	}
	req.Path = strings.TrimPrefix(it.line.URL, servicesPrefix+it.service.Name)
	req.Header = http.Header{"Content-Type": {"application/json"}}
	answer, err := w.runner.PlainItem(ctx, req, target)
	if err != nil {
		return err
	}
	w.finish(it, plainResult(it, answer))
	return nil
}

// attemptEnded removes the item from its target, and requeues or finishes it if
// the attempt failed. cause is why the attempt's context was cancelled.
func (w *Worker) attemptEnded(it *item, err, cause error) {
	if err != nil {
		w.afterFailure(it, err, cause)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	l := it.lease
	l.running--
	w.pacer.End(it.target)
	w.suspects.end(it)
	list := w.running[it.target]
	for i := range list {
		if list[i] == it {
			w.running[it.target] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if l.running == 0 && (l.remaining == 0 || l.stopped) || w.needsClaims(l) {
		l.requestCommit()
	}
	w.signal()
}

// afterFailure requeues a failed item or ends it with an error. If its lease has
// ended, it leaves an idempotent item to the chunk's next holder.
func (w *Worker) afterFailure(it *item, err, cause error) {
	notSent := errors.Is(err, engine.ErrNotSent) || errors.Is(err, engine.ErrNotRun)
	switch {
	case errkind.Is(err, errkind.CrashesTargets):
		w.recorder.Record(timeline.ItemIsolated, it.id(), it.target, errkind.Message(err))
		w.finish(it, targetFailedResult(it, errkind.Message(err)))
	case errors.Is(err, engine.ErrRejected):
		w.finish(it, failedResult(it, errkind.Malformed.New("the engine rejects the item: %v", err)))
	case it.lease.job.NonIdempotent && !notSent:
		w.finish(it, unknownOutcomeResult(it))
	case errors.Is(cause, errLeaseEnded):
		// the chunk's next holder runs it
	case errors.Is(cause, errPreempted):
		w.requeue(it, true)
	case notSent, errors.Is(err, engine.ErrBusy):
		w.requeue(it, false)
	case errors.Is(err, engine.ErrConnectionLost) && !w.countsLoss(it):
		w.requeue(it, false)
	default:
		it.attempts++
		if it.attempts >= w.cfg.ItemAttempts {
			w.recorder.Record(timeline.ItemIsolated, it.id(), it.target, err.Error())
			w.finish(it, targetFailedResult(it, fmt.Sprintf("%d attempts failed, the last with: %v", it.attempts, err)))
			return
		}
		w.requeue(it, false)
	}
}

// countsLoss records the loss of the item's target and reports whether it counts
// against the item.
func (w *Worker) countsLoss(it *item) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.suspects.recordLoss(it, time.Now())
}

// finish adds the item's result to those to be committed. It is called once for
// each item.
func (w *Worker) finish(it *item, f itemResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	it.lease.pending = append(it.lease.pending, f)
	it.lease.remaining--
}

func (w *Worker) modelResult(it *item) itemResult {
	text, tokens, finish := it.answer.Text()
	w.checker.Assert(finish != "", invariant.CompleteAnswerOnce, it.id(), it.lease.job.ID, "item finished without a finish reason")
	answer := openai.Answer{ID: it.id(), Path: it.line.URL, Model: it.loaded, Created: it.lease.job.Created}
	return it.result(&Response{http.StatusOK, it.id(), answer.Body(text, finish, tokens)}, nil)
}

// plainResult returns the result of an item of a plain service. A body that is
// not JSON is stored as a JSON string.
func plainResult(it *item, answer engine.PlainAnswer) itemResult {
	body := json.RawMessage(answer.Body)
	if !json.Valid(body) {
		body, _ = json.Marshal(string(answer.Body))
	}
	f := it.result(&Response{answer.Status, it.id(), body}, nil)
	f.failed = f.failed || answer.Status >= http.StatusBadRequest
	return f
}

func failedResult(it *item, err error) itemResult {
	row := errkind.Of(err)
	return errorResult(it, row.Name, errkind.Message(err), string(row.NotRun))
}

// targetFailedResult returns the result of an item that is not retried any more.
func targetFailedResult(it *item, message string) itemResult {
	return failedResult(it, errkind.TargetFailed.New("%s", message))
}

// unknownOutcomeResult returns the result of a non-idempotent item that may have
// run.
func unknownOutcomeResult(it *item) itemResult {
	return failedResult(it, errkind.UnknownOutcome.New("the item may have run; it is not repeated"))
}

func errorResult(it *item, code, message, notRun string) itemResult {
	return it.result(nil, &ResultError{code, message, notRun})
}

func (it *item) result(response *Response, failure *ResultError) itemResult {
	line := encodeResult(Result{ID: it.id(), CustomID: it.line.CustomID, Response: response, Error: failure})
	if len(line) > maxSegmentBytes {
		return errorResult(it, "too_large", fmt.Sprintf("the answer has %d bytes, more than can be stored", len(line)), string(errkind.NotRunFalse))
	}
	return itemResult{it.index, line, failure != nil}
}

// requestCommit makes the lease's renewal loop commit without waiting for its
// next tick.
func (l *lease) requestCommit() {
	select {
	case l.commitRequest <- struct{}{}:
	default:
	}
}

// jobOpen reports whether items of the lease's job may still be dispatched.
func (l *lease) jobOpen() bool {
	job, _ := l.view.current()
	return job.State == record.JobOpen
}
