// Package run runs one request until its answer is complete: it chooses targets, makes
// attempts, resumes streams whose connection broke, and continues at another target
// after the tokens already received.
package run

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/connection/engine"
	"github.com/marblepond/marblepond/internal/connection/openai"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/request/budget"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/fingerprint"
	"github.com/marblepond/marblepond/internal/version/targets"
)

// Request is one online request or batch item to be run.
type Request struct {
	ID            string
	Workspace     string
	Service       string
	Loaded        string // model name that the target must have loaded; empty for plain services
	Path          string
	Method        string // plain services
	Header        http.Header
	Body          []byte
	Prefix        string
	Deadline      time.Time
	NonIdempotent bool
	Work          *fingerprint.Work // what is asked for, independent of the ID
	Hops          int               // times it was forwarded between data centres
	PreferRemote  bool              // the local data centre has no target or is full, so another is tried first
}

// WorkOf returns what a request asks for. A new version of the model makes it different
// work, and its messages different parts, because the new version may not crash where the old
// one did.
func WorkOf(req *Request) *fingerprint.Work {
	path, body := req.Path, req.Body
	return &fingerprint.Work{Service: req.Service + " " + req.Loaded, PromptParts: func() []string { return openai.SharedParts(path, body) }, Method: http.MethodPost, Host: req.Service, Path: req.Path, Workspace: req.Workspace, Selectors: []string{req.Loaded, req.Method}, Body: req.Body}
}

// Remote gives access to the targets of other data centres.
type Remote interface {
	// Reachable reports whether a node of another data centre can be reached.
	Reachable() bool
	// Next returns a node of another data centre that is not excluded, and the headers
	// that admit the workspace's request there; ok is false if no node is left.
	Next(workspace string, exclude map[string]bool) (target choose.Target, header http.Header, ok bool)
}

// Quarantine refuses work that crashes the targets that run it.
type Quarantine interface {
	// Refuse returns the error with which work is refused, nil if it is not.
	Refuse(work *fingerprint.Work) error
	// Lost records that the connection to a target broke while it ran the work.
	Lost(work *fingerprint.Work, t choose.Target, began time.Time)
	// Completed records that work was answered completely.
	Completed(work *fingerprint.Work, t choose.Target, began time.Time)
}

// Runner runs requests.
type Runner struct {
	quarantine     Quarantine
	targets        *targets.Manager
	engines        *engine.Client
	remote         Remote
	recorder       *timeline.Recorder
	checker        *invariant.Checker
	reportInterval time.Duration // between load reports of a target
	now            func() time.Time

	mu     sync.Mutex
	budget *budget.Budget
}

// New returns a runner whose retries are limited to a share of its requests.
// reportInterval is the time between load reports of a target. now is the clock of the
// quarantine.
func New(t *targets.Manager, e *engine.Client, remote Remote, q Quarantine, r *timeline.Recorder, c *invariant.Checker, retryShare float64, reportInterval time.Duration, now func() time.Time) *Runner {
	return &Runner{quarantine: q, targets: t, engines: e, remote: remote, recorder: r, checker: c, budget: budget.New(retryShare), reportInterval: reportInterval, now: now}
}

// RemoteReachable reports whether another data centre can be reached.
func (r *Runner) RemoteReachable() bool { return r.remote.Reachable() }

// searchInterval is the interval at which targets are polled for an answer that has
// begun and has no target to continue at.
const searchInterval = 100 * time.Millisecond

// Online runs a model request until its answer is complete or the request has failed.
// The error is nil or of a kind of errkind; a.finish is called with it.
func (r *Runner) Online(ctx context.Context, req Request, a *Answer) error {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	r.mu.Lock()
	r.budget.RecordAccepted()
	r.mu.Unlock()
	err := r.runAttempts(ctx, req, a)
	r.checker.Assert(err != nil || a.complete(), invariant.CompleteAnswerOnce, req.ID, "", "success without a complete answer")
	a.finish(err)
	return err
}

// progress is the state of a request across its attempts.
type progress struct {
	exclude          map[string]bool
	sent             bool // the request was sent to a target
	connectionLosses int  // consecutive attempts that lost the connection while the answer had no token
	lastErr          error
}

const (
	// waitAfterLosses is the number of consecutive connection losses after which a request
	// waits before it is retried. After a single loss it is retried at once, since it may
	// have lost its target together with many other requests.
	waitAfterLosses = 2
	// awaitedReports is how many report intervals it waits then: after half an interval on
	// average a load report shows that the target has crashed, and the other nodes learn of
	// it with the next.
	awaitedReports = 2
)

func (r *Runner) runAttempts(ctx context.Context, req Request, a *Answer) error {
	p := &progress{exclude: map[string]bool{}}
	for {
		if err := r.quarantine.Refuse(req.Work); err != nil {
			return err
		}
		target, header, ok := r.choose(req, p)
		if !ok {
			if err := r.waitOrRefuse(ctx, req, a, p); err != nil {
				return err
			}
			continue
		}
		target.Sent = r.now()
		err := r.attempt(ctx, req, target, header, a)
		r.reportOutcome(req, target, err)
		r.endAttempt(target, err)
		if err == nil {
			return nil
		}
		if final := r.finalError(ctx, req, target, a, p, err); final != nil {
			return final
		}
	}
}

func (r *Runner) choose(req Request, p *progress) (choose.Target, http.Header, bool) {
	if req.PreferRemote && !p.sent {
		if target, header, ok := r.remote.Next(req.Workspace, p.exclude); ok {
			return target, header, true
		}
	}
	need := choose.Need{Service: req.Service, Loaded: req.Loaded, Prefix: req.Prefix, Exclude: p.exclude}
	if target, ok := r.targets.Choose(need); ok {
		return target, nil, true
	}
	if req.Hops > 0 || (req.NonIdempotent && p.sent) {
		return choose.Target{}, nil, false
	}
	return r.remote.Next(req.Workspace, p.exclude)
}

// waitOrRefuse handles a request that no target can take: it waits if its answer has
// begun, and returns its error otherwise.
func (r *Runner) waitOrRefuse(ctx context.Context, req Request, a *Answer, p *progress) error {
	switch {
	case a.Held() > 0:
		clear(p.exclude)
		select {
		case <-ctx.Done():
			return deadlineError(ctx)
		case <-time.After(searchInterval):
			return nil
		}
	case !p.sent:
		return errkind.NoTarget.New("no target of service %s can take the request", req.Service)
	}
	return errkind.TargetFailed.New("every target tried failed, the last with: %v", p.lastErr)
}

// finalError returns the error with which the request ends after a failed attempt, or nil
// to try again.
func (r *Runner) finalError(ctx context.Context, req Request, target choose.Target, a *Answer, p *progress, err error) error {
	p.lastErr = err
	p.exclude[target.ID] = true
	p.connectionLosses = lossesAfter(p.connectionLosses, err, a.Held())
	notSent := errors.Is(err, engine.ErrNotSent) || errors.Is(err, engine.ErrNotRun)
	sentBefore := p.sent
	p.sent = p.sent || !notSent
	switch {
	case errors.Is(err, engine.ErrRejected) && sentBefore:
		return errkind.TargetFailed.New("an engine rejected the request after another attempt may have run: %v", err)
	case errors.Is(err, engine.ErrRejected):
		return errkind.Malformed.New("the engine rejected the request: %v", err)
	case req.NonIdempotent && !notSent:
		return errkind.UnknownOutcome.New("the attempt failed after the request was sent; a non-idempotent request is not repeated")
	case ctx.Err() != nil && p.sent:
		return deadlineError(ctx)
	case ctx.Err() != nil:
		return errkind.DeadlineUnmeetable.New("no target took the request before its deadline")
	}
	if a.Held() == 0 && !r.takeRetry() {
		if !p.sent {
			return errkind.Overloaded.New("targets refuse new work and the retry budget is spent")
		}
		return errkind.TargetFailed.New("the retry budget is spent; the target failed with: %v", err)
	}
	if !r.awaitReports(ctx, p) {
		return deadlineError(ctx)
	}
	r.recorder.Record(timeline.RequestRetried, req.ID, target.ID, err.Error())
	return nil
}

// lossesAfter returns the number of consecutive connection losses after one more attempt.
func lossesAfter(losses int, err error, held int) int {
	if held > 0 || !errors.Is(err, engine.ErrConnectionLost) {
		return 0
	}
	return losses + 1
}

// awaitReports waits until load reports can show whether targets crash while they run the
// request, twice as long after each further loss. It returns false if ctx ends first.
func (r *Runner) awaitReports(ctx context.Context, p *progress) bool {
	if p.connectionLosses < waitAfterLosses {
		return true
	}
	return wait.For(ctx, awaitedReports*r.reportInterval<<(p.connectionLosses-waitAfterLosses))
}

func (r *Runner) takeRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Take()
}

func deadlineError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return errkind.Cancelled.New("the request was cancelled")
	}
	return errkind.DeadlineExceeded.New("the answer was incomplete at the deadline")
}

// reportOutcome reports to the quarantine what the end of an attempt shows about the target.
func (r *Runner) reportOutcome(req Request, target choose.Target, err error) {
	if target.Remote {
		return // the node that it was forwarded to reports
	}
	switch {
	case err == nil:
		r.quarantine.Completed(req.Work, target, r.now())
	case errors.Is(err, engine.ErrConnectionLost):
		if process, known := r.targets.WithProcessStart(target); known {
			process.Sent = target.Sent
			r.quarantine.Lost(req.Work, process, time.Time{})
		}
	}
}

func (r *Runner) endAttempt(target choose.Target, err error) {
	if target.Remote {
		return
	}
	r.targets.End(target.ID, OutcomeOf(err))
}

// OutcomeOf returns how an attempt's result counts for the health of its target.
func OutcomeOf(err error) choose.Outcome {
	switch {
	case err == nil:
		return choose.Success
	case errors.Is(err, context.Canceled), errors.Is(err, engine.ErrRejected), errors.Is(err, engine.ErrBusy):
		return choose.Neutral
	}
	return choose.Failure
}

// attempt makes one attempt, and resumes it once if the connection broke in mid-stream.
func (r *Runner) attempt(ctx context.Context, req Request, target choose.Target, header http.Header, a *Answer) error {
	call, err := r.engineCall(req, target, header, a)
	if err != nil {
		return err
	}
	r.recorder.Record(timeline.RequestDispatched, req.ID, target.ID, "attempt "+call.StreamID())
	r.checker.Assert(call.RequestID == req.ID, invariant.PieceOfOwnAttempt, req.ID, target.ID, "call for %s", call.RequestID)
	err = r.engines.Stream(ctx, call, a.add)
	if errors.Is(err, engine.ErrConnectionLost) && a.Held() > call.TokensReceived {
		call.TokensReceived = a.Held()
		r.recorder.Record(timeline.RequestResumed, req.ID, target.ID, "connection lost")
		err = r.engines.Resume(ctx, call, a.add)
		if errors.Is(err, engine.ErrRejected) || errors.Is(err, engine.ErrBusy) || errors.Is(err, engine.ErrNotSent) {
			err = engine.ErrConnectionLost // these are about the call that resumes the stream; the request has begun to run
		}
	}
	if a.complete() {
		return nil
	}
	if err == nil {
		err = engine.ErrConnectionLost // the engine ended the stream with a gap
	}
	if ctx.Err() != nil || errors.Is(err, engine.ErrStalled) {
		go r.cancel(call)
	}
	return err
}

// cancelTimeout is the timeout of the call that frees an engine's sequence.
const cancelTimeout = 2 * time.Second

func (r *Runner) cancel(call engine.Call) {
	ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
	defer done()
	r.engines.Cancel(ctx, call)
}

func (r *Runner) engineCall(req Request, target choose.Target, header http.Header, a *Answer) (engine.Call, error) {
	attempt, held, text := a.begin()
	loaded := req.Loaded
	if target.Remote {
		loaded = "" // the other data centre resolves the caller's name itself
		header.Set(openai.HeaderTimeoutMS, strconv.FormatInt(max(1, time.Until(req.Deadline).Milliseconds()), 10))
		if req.NonIdempotent {
			header.Set(openai.HeaderNonIdempotent, "true") // the node that forwards it has the claim
		}
	} else {
		loaded = r.targets.LoadedName(target.ID, loaded)
	}
	body, err := openai.Forward(req.Body, loaded, held, text)
	if err != nil {
		return engine.Call{}, err
	}
	return engine.Call{Addr: target.Addr, Path: req.Path, RequestID: req.ID, Attempt: attempt, Body: body, TokensReceived: held, Header: header}, nil
}

// Item makes one attempt at a batch item on the target given. The answer keeps the tokens
// received, so that the next attempt continues after them.
func (r *Runner) Item(ctx context.Context, req Request, target choose.Target, a *Answer) error {
	if err := r.quarantine.Refuse(req.Work); err != nil {
		return err
	}
	err := r.attempt(ctx, req, target, nil, a)
	r.reportOutcome(req, target, err)
	r.targets.RecordOutcome(target.ID, OutcomeOf(err))
	return err
}

// Plain runs a call to a plain service. A non-idempotent call is sent once.
func (r *Runner) Plain(ctx context.Context, req Request) (engine.PlainAnswer, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	r.mu.Lock()
	r.budget.RecordAccepted()
	r.mu.Unlock()
	p := &progress{exclude: map[string]bool{}}
	empty := NewAnswer(req.ID)
	for {
		if err := r.quarantine.Refuse(req.Work); err != nil {
			return engine.PlainAnswer{}, err
		}
		target, ok := r.targets.Choose(choose.Need{Service: req.Service, Exclude: p.exclude})
		if !ok {
			return engine.PlainAnswer{}, r.waitOrRefuse(ctx, req, empty, p)
		}
		answer, err := r.plainAttempt(ctx, req, target)
		r.reportOutcome(req, target, err)
		r.endAttempt(target, err)
		if err == nil {
			return answer, nil
		}
		if final := r.finalError(ctx, req, target, empty, p, err); final != nil {
			return engine.PlainAnswer{}, final
		}
	}
}

func (r *Runner) plainAttempt(ctx context.Context, req Request, target choose.Target) (engine.PlainAnswer, error) {
	r.recorder.Record(timeline.RequestDispatched, req.ID, target.ID, "plain call")
	return r.engines.Plain(ctx, engine.PlainCall{Addr: target.Addr, Method: req.Method, Path: req.Path,
		RequestID: req.ID, Header: req.Header, Body: req.Body, NonIdempotent: req.NonIdempotent})
}

// PlainItem makes one attempt at a plain batch item on the target given.
func (r *Runner) PlainItem(ctx context.Context, req Request, target choose.Target) (engine.PlainAnswer, error) {
	if err := r.quarantine.Refuse(req.Work); err != nil {
		return engine.PlainAnswer{}, err
	}
	answer, err := r.plainAttempt(ctx, req, target)
	r.reportOutcome(req, target, err)
	r.targets.RecordOutcome(target.ID, OutcomeOf(err))
	return answer, err
}
