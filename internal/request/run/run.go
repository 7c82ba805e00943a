// Package run carries one request to its whole answer: it chooses targets,
// makes attempts, resumes streams whose link broke, and continues on another
// target from the tokens held.
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

// Request is one request or item to be run.
type Request struct {
	ID            string
	Workspace     string
	Service       string
	Loaded        string // name a target must have loaded; empty for plain services
	Path          string
	Method        string // plain services
	Header        http.Header
	Body          []byte
	Prefix        string
	Deadline      time.Time
	NonIdempotent bool
	Work          *fingerprint.Work // what is asked for, whatever the ID
	Hops          int               // times it was forwarded between data centres
	PreferRemote  bool              // the own data centre is empty or full: ask another
}

// WorkOf returns what a request asks for. A new version of its model is other work: it
// may bear what the one before did not.
func WorkOf(req *Request) *fingerprint.Work {
	return &fingerprint.Work{Method: http.MethodPost, Host: req.Service, Path: req.Path, Workspace: req.Workspace, Selectors: []string{req.Loaded, req.Method}, Body: req.Body}
}

// Remote stands for the targets of other data centres.
type Remote interface {
	// Reachable reports whether any node of another data centre can be asked.
	Reachable() bool
	// Next returns a node of another data centre and the headers that admit the
	// workspace's request there; ok is false when none is left.
	Next(workspace string, exclude map[string]bool) (target choose.Target, header http.Header, ok bool)
}

// Quarantine knows the work under which targets crash.
type Quarantine interface {
	// Refuse returns the error that refuses such work, nil for all other work.
	Refuse(work *fingerprint.Work) error
	// Lost takes work whose connection to a target broke, and Whole work that was
	// answered whole.
	Lost(work *fingerprint.Work, t choose.Target)
	Completed(work *fingerprint.Work)
}

// Runner runs requests.
type Runner struct {
	quarantine Quarantine
	targets    *targets.Manager
	engines    *engine.Client
	remote     Remote
	recorder   *timeline.Recorder
	checker    *invariant.Checker
	reports    time.Duration // between load reports of a target
	now        func() time.Time

	mu     sync.Mutex
	budget *budget.Budget
}

// New returns a runner whose retries are bounded to a share of its requests; reports is
// the time between load reports of a target. now is the clock of the quarantine.
func New(t *targets.Manager, e *engine.Client, remote Remote, q Quarantine, r *timeline.Recorder, c *invariant.Checker, retryShare float64, reports time.Duration, now func() time.Time) *Runner {
	return &Runner{quarantine: q, targets: t, engines: e, remote: remote, recorder: r, checker: c, budget: budget.New(retryShare), reports: reports, now: now}
}

// RemoteReachable reports whether another data centre can be asked.
func (r *Runner) RemoteReachable() bool { return r.remote.Reachable() }

// searchPause is the pause before targets are looked for again when an
// accepted answer has none to continue on.
const searchPause = 100 * time.Millisecond

// Online runs a model request until its answer is whole or given up. The
// error is nil or of a kind of errkind; a.finish is called with it.
func (r *Runner) Online(ctx context.Context, req Request, a *Answer) error {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	r.mu.Lock()
	r.budget.RecordAccepted()
	r.mu.Unlock()
	err := r.attempts(ctx, req, a)
	r.checker.Assert(err != nil || a.whole(), invariant.AnswerWhole, req.ID, "", "success without a whole answer")
	a.finish(err)
	return err
}

// course is what the attempts of one request have come to.
type course struct {
	exclude map[string]bool
	sent    bool // something was sent to a target
	losses  int  // links lost in a row by attempts that brought nothing
	lastErr error
}

const (
	// promptLosses is how many links may be lost in a row before a request waits: one
	// that lost its target with many others is sent on at once.
	promptLosses = 2
	// reportsToWait is how many times between load reports it waits then: in the mean half
	// of one shows that the target has crashed, and the others are told with the next.
	reportsToWait = 2
)

func (r *Runner) attempts(ctx context.Context, req Request, a *Answer) error {
	c := &course{exclude: map[string]bool{}}
	for {
		if err := r.quarantine.Refuse(req.Work); err != nil {
			return err
		}
		target, header, ok := r.choose(req, c)
		if !ok {
			if err := r.noTarget(ctx, req, a, c); err != nil {
				return err
			}
			continue
		}
		target.Sent = r.now()
		err := r.attempt(ctx, req, target, header, a)
		r.note(req, target, err)
		r.end(target, err)
		if err == nil {
			return nil
		}
		if final := r.judge(ctx, req, target, a, c, err); final != nil {
			return final
		}
	}
}

func (r *Runner) choose(req Request, c *course) (choose.Target, http.Header, bool) {
	if req.PreferRemote && !c.sent {
		if target, header, ok := r.remote.Next(req.Workspace, c.exclude); ok {
			return target, header, true
		}
	}
	need := choose.Need{Service: req.Service, Loaded: req.Loaded, Prefix: req.Prefix, Exclude: c.exclude}
	if target, ok := r.targets.Choose(need); ok {
		return target, nil, true
	}
	if req.Hops > 0 || (req.NonIdempotent && c.sent) {
		return choose.Target{}, nil, false
	}
	return r.remote.Next(req.Workspace, c.exclude)
}

// noTarget decides what happens when nobody can take the request: an answer
// that has begun waits for a target, another is refused.
func (r *Runner) noTarget(ctx context.Context, req Request, a *Answer, c *course) error {
	switch {
	case a.Held() > 0:
		clear(c.exclude)
		select {
		case <-ctx.Done():
			return deadlineError(ctx)
		case <-time.After(searchPause):
			return nil
		}
	case !c.sent:
		return errkind.NoTarget.New("no target of service %s can take the request", req.Service)
	}
	return errkind.TargetFailed.New("every target tried failed, the last with: %v", c.lastErr)
}

// judge returns the final error of the request, or nil to try again.
func (r *Runner) judge(ctx context.Context, req Request, target choose.Target, a *Answer, c *course, err error) error {
	c.lastErr = err
	c.exclude[target.ID] = true
	c.losses = lossesAfter(c.losses, err, a.Held())
	notSent := errors.Is(err, engine.ErrNotSent) || (errors.Is(err, engine.ErrBusy) && req.Loaded != "")
	c.sent = c.sent || !notSent
	switch {
	case errors.Is(err, engine.ErrRejected):
		return errkind.Malformed.New("the engine rejects the request: %v", err)
	case req.NonIdempotent && !notSent:
		return errkind.UnknownOutcome.New("the target was lost after the request was sent; it is not repeated")
	case ctx.Err() != nil && c.sent:
		return deadlineError(ctx)
	case ctx.Err() != nil:
		return errkind.DeadlineUnmeetable.New("no target took the request before its deadline")
	}
	if a.Held() == 0 && !r.takeRetry() {
		if !c.sent {
			return errkind.Overloaded.New("targets refuse new work and the retry budget is spent")
		}
		return errkind.TargetFailed.New("the retry budget is spent; the target failed with: %v", err)
	}
	if !r.awaitReports(ctx, c) {
		return deadlineError(ctx)
	}
	r.recorder.Record(timeline.RequestRetried, req.ID, target.ID, err.Error())
	return nil
}

// lossesAfter returns how many links were lost in a row after one more attempt.
func lossesAfter(losses int, err error, held int) int {
	if held > 0 || !errors.Is(err, engine.ErrLinkLost) {
		return 0
	}
	return losses + 1
}

// awaitReports gives load reports the time to show whether targets crash under the
// request, twice as long after each further loss; false: its time is over.
func (r *Runner) awaitReports(ctx context.Context, c *course) bool {
	if c.losses < promptLosses {
		return true
	}
	return wait.For(ctx, reportsToWait*r.reports<<(c.losses-promptLosses))
}

func (r *Runner) takeRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Take()
}

func deadlineError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return errkind.Cancelled.New("the request was given up")
	}
	return errkind.DeadlineExceeded.New("the answer was not whole at the deadline")
}

// note tells the quarantine what the end of an attempt says about the target.
func (r *Runner) note(req Request, target choose.Target, err error) {
	if target.Remote {
		return // the node that stands for it tells
	}
	switch {
	case err == nil:
		r.quarantine.Completed(req.Work)
	case errors.Is(err, engine.ErrLinkLost):
		if process, known := r.targets.Process(target); known {
			process.Sent = target.Sent
			r.quarantine.Lost(req.Work, process)
		}
	}
}

func (r *Runner) end(target choose.Target, err error) {
	if target.Remote {
		return
	}
	r.targets.End(target.ID, OutcomeOf(err))
}

// OutcomeOf tells what an attempt's error says of its target.
func OutcomeOf(err error) choose.Outcome {
	switch {
	case err == nil:
		return choose.Success
	case errors.Is(err, context.Canceled), errors.Is(err, engine.ErrRejected), errors.Is(err, engine.ErrBusy):
		return choose.Neutral
	}
	return choose.Failure
}

// attempt makes one attempt, with one resume when the link broke in mid-stream.
func (r *Runner) attempt(ctx context.Context, req Request, target choose.Target, header http.Header, a *Answer) error {
	call, err := r.call(req, target, header, a)
	if err != nil {
		return err
	}
	r.recorder.Record(timeline.RequestDispatched, req.ID, target.ID, "attempt "+call.StreamID())
	r.checker.Assert(call.RequestID == req.ID, invariant.PieceOwnAttempt, req.ID, target.ID, "call for %s", call.RequestID)
	err = r.engines.Stream(ctx, call, a.add)
	if errors.Is(err, engine.ErrLinkLost) && a.Held() > call.Held {
		call.Held = a.Held()
		r.recorder.Record(timeline.RequestResumed, req.ID, target.ID, "link lost")
		err = r.engines.Resume(ctx, call, a.add)
		if errors.Is(err, engine.ErrRejected) {
			err = engine.ErrLinkLost // the engine no longer has the stream; that is not the caller's fault
		}
	}
	if a.whole() {
		return nil
	}
	if err == nil {
		err = engine.ErrLinkLost // the engine ended the stream with a gap
	}
	if ctx.Err() != nil || errors.Is(err, engine.ErrStalled) {
		go r.cancel(call)
	}
	return err
}

// cancelTimeout bounds the message that frees an engine's sequence.
const cancelTimeout = 2 * time.Second

func (r *Runner) cancel(call engine.Call) {
	ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
	defer done()
	r.engines.Cancel(ctx, call)
}

func (r *Runner) call(req Request, target choose.Target, header http.Header, a *Answer) (engine.Call, error) {
	attempt, held, text := a.begin()
	loaded := req.Loaded
	if target.Remote {
		loaded = "" // the other data centre resolves the caller's name itself
		header.Set(openai.HeaderTimeoutMS, strconv.FormatInt(max(1, time.Until(req.Deadline).Milliseconds()), 10))
	} else {
		loaded = r.targets.LoadedName(target.ID, loaded)
	}
	body, err := openai.Forward(req.Body, loaded, held, text)
	if err != nil {
		return engine.Call{}, err
	}
	return engine.Call{Addr: target.Addr, Path: req.Path, RequestID: req.ID, Attempt: attempt, Body: body, Held: held, Header: header}, nil
}

// Item makes one attempt at a batch item on the target given. The answer
// keeps what it holds, so that the next attempt goes on from there.
func (r *Runner) Item(ctx context.Context, req Request, target choose.Target, a *Answer) error {
	if err := r.quarantine.Refuse(req.Work); err != nil {
		return err
	}
	err := r.attempt(ctx, req, target, nil, a)
	r.note(req, target, err)
	r.targets.Judge(target.ID, OutcomeOf(err))
	return err
}

// Plain runs a call to a plain service. A non-idempotent call is sent once.
func (r *Runner) Plain(ctx context.Context, req Request) (engine.PlainAnswer, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	r.mu.Lock()
	r.budget.RecordAccepted()
	r.mu.Unlock()
	c := &course{exclude: map[string]bool{}}
	none := NewAnswer(req.ID)
	for {
		if err := r.quarantine.Refuse(req.Work); err != nil {
			return engine.PlainAnswer{}, err
		}
		target, ok := r.targets.Choose(choose.Need{Service: req.Service, Exclude: c.exclude})
		if !ok {
			return engine.PlainAnswer{}, r.noTarget(ctx, req, none, c)
		}
		answer, err := r.plainAttempt(ctx, req, target)
		r.note(req, target, err)
		r.end(target, err)
		if err == nil {
			return answer, nil
		}
		if final := r.judge(ctx, req, target, none, c, err); final != nil {
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
	r.note(req, target, err)
	r.targets.Judge(target.ID, OutcomeOf(err))
	return answer, err
}
