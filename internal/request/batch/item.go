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
	lease    *lease
	index    int
	line     Line
	service  *fleet.Service
	loaded   string
	answer   *run.Answer // keeps what a parked attempt held
	attempts int         // that failed by the target's fault
	claimed  bool        // non-idempotent: its start is committed
	suspect  bool        // a target was lost while it ran there
	watched  bool        // the running attempt started as a suspect's

	target  string
	started time.Time
	cancel  context.CancelCauseFunc
	parking bool
}

// errParked ends an attempt whose place an online request needs.
var errParked = errors.New("parked for online requests")

// errHalted ends an attempt whose lease is over.
var errHalted = errors.New("lease is over")

func (it *item) id() string {
	return fmt.Sprintf("%s.%d.%d.%d", it.lease.job.ID, it.lease.n, it.index, it.lease.epoch)
}

// itemTimeout bounds one attempt; stalled streams end much earlier.
const itemTimeout = 10 * time.Minute

// start sends an item to a target. The caller holds w.mu.
func (w *Worker) start(ctx context.Context, it *item, target choose.Target) {
	l := it.lease
	job, _ := l.view.current()
	w.checker.Assert(!job.State.Final(), invariant.NoWorkCancelled, it.id(), l.job.ID, "dispatch in state %s", job.State)
	w.checker.Assert(!l.job.NonIdempotent || it.claimed, invariant.AtMostOnce, it.id(), l.job.ID, "dispatch without a committed start")
	if it.answer == nil {
		it.answer = run.NewAnswer(it.id())
	}
	ctx, it.cancel = context.WithCancelCause(ctx)
	it.target, it.started, it.parking = target.ID, time.Now(), false
	l.running++
	l.worked = it.started
	w.suspects.start(it)
	w.running[target.ID] = append(w.running[target.ID], it)
	w.pacer.Begin(target.ID)
	go func() {
		err := w.attempt(ctx, it, target)
		w.ended(it, err, context.Cause(ctx))
	}()
}

// attempt runs the item once; a nil error leaves its result in the lease.
func (w *Worker) attempt(ctx context.Context, it *item, target choose.Target) error {
	req := run.Request{
		ID: it.id(), Workspace: it.lease.job.Workspace, Service: it.service.Name, Loaded: it.loaded, Path: it.line.URL,
		Method: http.MethodPost, Body: it.line.Body, Deadline: time.Now().Add(itemTimeout), NonIdempotent: it.lease.job.NonIdempotent,
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

// ended counts the item off its target and decides what becomes of it.
func (w *Worker) ended(it *item, err, cause error) {
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
	if l.running == 0 && (l.left == 0 || l.stopped) || w.wantsClaims(l) {
		l.wake()
	}
	w.signal()
}

func (w *Worker) afterFailure(it *item, err, cause error) {
	notSent := errors.Is(err, engine.ErrNotSent) || (errors.Is(err, engine.ErrBusy) && it.service.Kind == fleet.KindModel)
	switch {
	case errkind.Is(err, errkind.CrashesTargets):
		w.recorder.Record(timeline.ItemIsolated, it.id(), it.target, errkind.Message(err))
		w.finish(it, targetFailed(it, errkind.Message(err)))
	case errors.Is(err, engine.ErrRejected):
		w.finish(it, failedResult(it, errkind.Malformed.New("the engine rejects the item: %v", err)))
	case it.lease.job.NonIdempotent && !notSent:
		w.finish(it, unknownResult(it))
	case errors.Is(cause, errHalted):
		// the next holder runs it
	case errors.Is(cause, errParked):
		w.requeue(it, true)
	case notSent, errors.Is(err, engine.ErrBusy):
		w.requeue(it, false)
	case errors.Is(err, engine.ErrLinkLost) && !w.countsLoss(it):
		w.requeue(it, false)
	default:
		it.attempts++
		if it.attempts >= w.cfg.ItemAttempts {
			w.recorder.Record(timeline.ItemIsolated, it.id(), it.target, err.Error())
			w.finish(it, targetFailed(it, fmt.Sprintf("%d attempts failed, the last with: %v", it.attempts, err)))
			return
		}
		w.requeue(it, false)
	}
}

// countsLoss reports whether the loss of its target counts against the item.
func (w *Worker) countsLoss(it *item) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.suspects.lose(it, time.Now())
}

// finish records the item's result, once.
func (w *Worker) finish(it *item, f finished) {
	w.mu.Lock()
	defer w.mu.Unlock()
	it.lease.pending = append(it.lease.pending, f)
	it.lease.left--
}

func (w *Worker) modelResult(it *item) finished {
	text, tokens, finish := it.answer.Text()
	w.checker.Assert(finish != "", invariant.AnswerWhole, it.id(), it.lease.job.ID, "item finished without its end")
	answer := openai.Answer{ID: it.id(), Path: it.line.URL, Model: it.loaded, Created: it.lease.job.Created}
	return it.result(&Response{http.StatusOK, it.id(), answer.Whole(text, finish, tokens)}, nil)
}

func plainResult(it *item, answer engine.PlainAnswer) finished {
	body := json.RawMessage(answer.Body)
	if !json.Valid(body) {
		body, _ = json.Marshal(string(answer.Body))
	}
	f := it.result(&Response{answer.Status, it.id(), body}, nil)
	f.failed = f.failed || answer.Status >= http.StatusBadRequest
	return f
}

func failedResult(it *item, err error) finished {
	row := errkind.Of(err)
	return errorResult(it, row.Name, errkind.Message(err), string(row.NotRun))
}

// targetFailed is the result of an item that is not tried any more.
func targetFailed(it *item, message string) finished {
	return failedResult(it, errkind.TargetFailed.New("%s", message))
}

func unknownResult(it *item) finished {
	return failedResult(it, errkind.UnknownOutcome.New("the item may have run; it is not repeated"))
}

func errorResult(it *item, code, message, notRun string) finished {
	return it.result(nil, &ResultError{code, message, notRun})
}

func (it *item) result(response *Response, failure *ResultError) finished {
	line := encodeResult(Result{ID: it.id(), CustomID: it.line.CustomID, Response: response, Error: failure})
	if len(line) > segmentBytes {
		return errorResult(it, "too_large", fmt.Sprintf("the answer has %d bytes, more than can be kept", len(line)), string(errkind.NotRunFalse))
	}
	return finished{it.index, line, failure != nil}
}

// wake asks for a commit soon.
func (l *lease) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// open reports whether the lease's job still takes dispatches.
func (l *lease) open() bool {
	job, _ := l.view.current()
	return job.State == record.JobOpen
}
