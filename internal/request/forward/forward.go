// Package forward carries one online request to its whole answer: it chooses
// targets, makes attempts, goes on at another target after the last whole
// event where the route allows it, and tells a refusal that is proved not to
// have run from an end that may have run.
//
// It knows neither the callers' protocol nor the targets': both stand behind
// the interfaces Caller and target.Sender.
package forward

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/fingerprint"
	"github.com/marblepond/marblepond/internal/request/quarantine"
	"github.com/marblepond/marblepond/internal/version/route"
)

// Request is one attempt of a caller.
type Request struct {
	ID      string
	Route   *route.Route
	Service string
	// Workspace is whose request it is; empty: nobody's in particular.
	Workspace string
	Version   int64 // of the routing table that chose Route
	Method    string
	Host      string
	Path      string // with the query
	Header    http.Header
	Body      []byte
	// Work is what the request asks for, whatever its ID.
	Work fingerprint.Work
	// ResumeAfter is the ID of the last event that the caller holds.
	ResumeAfter int64
	Arrived     time.Time
	// Deadline is when the caller or the route gives up, whichever is sooner.
	Deadline time.Time
}

// Caller takes the answer. An error means that the caller is gone.
type Caller interface {
	// Whole sends an answer that is complete.
	Whole(answer *target.Answer) error
	// Begin sends the head of a streamed answer.
	Begin(answer *target.Answer) error
	// Event sends one event at once.
	Event(e target.Event) error
	// End sends the end of a streamed answer that is complete.
	End() error
}

// Targets is what the forwarder needs of the table of targets.
type Targets interface {
	Choose(need choose.Need) (choose.Target, bool)
	// Better reports whether a request that waits for an event of a target would
	// come sooner to it at another. A target that was heard within the time given
	// lives, and what waits there has its turn coming.
	Better(id string, need choose.Need, heard time.Duration) bool
	// Heard notes an event of a target.
	Heard(t choose.Target)
	End(t choose.Target, outcome choose.Outcome)
	FirstEvent(t choose.Target, took time.Duration)
	// WhenGone has a function called when a target has started again, and what ran
	// there is lost; stop takes it back.
	WhenGone(t choose.Target, ended func()) (stop func())
	// Occupied takes how long a request that was answered whole held a slot.
	Occupied(service string, took time.Duration)
	Saturated(t choose.Target)
	Leave(t choose.Target, why string)
}

// Quarantine knows the work under which targets crash. Its calls cost next to nothing
// while there is none.
type Quarantine interface {
	// Refuse returns the error that refuses such work, nil for all other work.
	Refuse(work *fingerprint.Work) error
	// Suspected reports whether work was in flight at a crash that nothing else explains
	// and was not answered whole since.
	Suspected(work *fingerprint.Work) bool
	// Lost takes work whose connection to a target broke, and Whole work that was
	// answered whole.
	Lost(work *fingerprint.Work, t choose.Target)
	Whole(work *fingerprint.Work)
	// Ended takes proof that an incarnation of a target has ended.
	Ended(t choose.Target, proof quarantine.Proof)
	// Running has a function called when work is refused that is under way; done
	// takes it back.
	Running(work *fingerprint.Work, stop func()) (done func())
}

// Log receives the decisions that touch a request.
type Log interface {
	Sent(req *Request, t choose.Target, resumeAfter int64)
	// Failed takes an attempt that ended without a whole answer; events is how many
	// it had brought.
	Failed(req *Request, t choose.Target, events int64, err error)
	Answered(req *Request, t choose.Target, answer Answer)
	Refused(req *Request, err error)
}

// Answer sums up an answer that the caller got whole.
type Answer struct {
	Status int
	Events int64
	// First is the time from the arrival of the request to its first event, and
	// Pause the longest time between two events; 0 for an answer without events.
	First, Pause time.Duration
}

// Forwarder carries requests. It is safe for concurrent use.
type Forwarder struct {
	Targets    Targets
	Sender     target.Sender
	Quarantine Quarantine
	Log        Log
	Checker    *invariant.Checker
	Now        func() time.Time
}

const (
	// overflow is how many requests a full target is given beyond its slots once
	// batch items have made room. A stream of 40 events takes about 0.7 s, so that
	// one of eight slots becomes free about every 90 ms and the first few still
	// begin within or soon after the usual objective of 300 ms.
	overflow = 4
	// roomPause is the time between looks for a target with room.
	roomPause = 10 * time.Millisecond
	// roomShare is the share of the objective that a request may wait for room
	// before it is refused: a refusal that comes sooner leaves the caller the
	// time to be served elsewhere within its objective.
	roomShare = 0.2
	// continuePause is the time between looks for a target when an answer that
	// has begun has none to go on at.
	continuePause = 25 * time.Millisecond
)

// Causes for which an attempt is ended while its connection is open.
var (
	errStalled  = errors.New("the target was silent for too long")
	errReplaced = errors.New("the target has started again")
	errRefused  = errors.New("targets crash under the request")
)

// course is what the attempts of one request have come to.
type course struct {
	exclude map[string]bool
	ran     int           // attempts that may have run
	held    int64         // ID of the last event passed on
	events  int64         // events passed on
	newest  time.Time     // when the last event was passed on
	first   time.Duration // from the arrival of the request to the first event
	pause   time.Duration // longest time between two events
	begun   bool          // the caller has the head of the answer
	lost    bool          // the connection to a target broke
	last    error
	// inLine is the full target that refused the request last. It counts there while it
	// waits, so that nodes with batch items at the target hear of it: an attempt that is
	// refused is over in less than a millisecond, and they would miss it. Without that,
	// 3 of 20 plays of TestOnlineGoesFirst beside five busy processes had a request refused.
	inLine *choose.Target
}

// Do carries a request to its end. The error is nil when the caller has its
// whole answer, and otherwise of errkind; begun tells whether part of the answer
// was sent.
func (f *Forwarder) Do(ctx context.Context, req *Request, caller Caller) (begun bool, err error) {
	// By time left: the deadline is told by f.Now, and timers by the steady clock.
	ctx, cancel := context.WithTimeout(ctx, req.Deadline.Sub(f.Now()))
	defer cancel()
	c := &course{exclude: map[string]bool{}, held: req.ResumeAfter}
	err = f.run(ctx, req, caller, c)
	if err != nil {
		f.Checker.Assert(errkind.Of(err).NotRun != errkind.NotRunTrue || c.ran == 0, invariant.NotRunTrue, req.ID, "", "refused as not run after %d attempts that may have run: %v", c.ran, err)
		f.Log.Refused(req, err)
	}
	return c.begun, err
}

func (f *Forwarder) run(ctx context.Context, req *Request, caller Caller, c *course) error {
	for {
		if err := f.Quarantine.Refuse(&req.Work); err != nil {
			return err
		}
		if !f.Now().Before(req.Deadline) { // the machine was suspended: no timer has told it
			return expired(c)
		}
		t, ok := f.place(ctx, req, c)
		if !ok {
			return f.unplaced(ctx, c)
		}
		f.Checker.Assert(c.ran == 0 || req.Route.Repeatable(), invariant.AtMostOnce, req.ID, t.ID, "sent again after %d attempts that may have run", c.ran)
		f.Log.Sent(req, t, c.held)
		before := c.events
		err := f.attempt(ctx, req, t, caller, c)
		if err == nil {
			f.Targets.End(t, choose.Success)
			return nil
		}
		f.Log.Failed(req, t, c.events-before, err)
		final := f.judge(ctx, req, t, c, err)
		if final == nil && saturated(err) {
			c.inLine = &t
			continue
		}
		f.Targets.End(t, outcomeOf(err))
		if final != nil {
			return final
		}
	}
}

// saturated reports whether a target refused an attempt because it was full.
func saturated(err error) bool {
	var failure *target.Error
	return errors.As(err, &failure) && failure.Saturated
}

// place finds a target with room; it waits for a short part of the objective,
// or until the deadline when the caller already has part of the answer.
func (f *Forwarder) place(ctx context.Context, req *Request, c *course) (choose.Target, bool) {
	defer f.leaveLine(c)
	until := req.Arrived.Add(time.Duration(roomShare * float64(req.Route.Objective)))
	pause := roomPause
	if c.begun {
		until, pause = req.Deadline, continuePause
	}
	for {
		if t, ok := f.Targets.Choose(f.need(req, c)); ok {
			return t, true
		}
		if !f.Now().Before(until) || !wait.For(ctx, pause) {
			return choose.Target{}, false
		}
		if c.begun || c.ran == 0 {
			clear(c.exclude) // those that refused may have room by now
		}
	}
}

// leaveLine ends the wait of a request at the target that refused it.
func (f *Forwarder) leaveLine(c *course) {
	if c.inLine != nil {
		f.Targets.End(*c.inLine, choose.Neutral)
		c.inLine = nil
	}
}

// need returns what the request asks of its next target.
func (f *Forwarder) need(req *Request, c *course) choose.Need {
	// What was in flight at a crash may cause the next one, or was beside what did. Two
	// of them must not meet: apart, the proper ones are answered and clear of it. Beside
	// three requests that end targets, 6,200 of 72,000 proper ones go unanswered in place
	// of 19,400, and 1,060 targets end in place of 1,440; where they may meet if there is
	// no other room it is 18,700, and at the emptiest target more than without (100 seeds
	// of 12 s of the storm in package quarantine).
	need := choose.Need{Service: req.Service, Exclude: c.exclude, Overflow: overflow, Apart: f.Quarantine.Suspected(&req.Work)}
	if c.lost {
		need.Scatter = req.Work.ID().Key()
	}
	return need
}

// unplaced returns the error of a request that no target can take.
func (f *Forwarder) unplaced(ctx context.Context, c *course) error {
	switch {
	case c.ran > 0 && ctx.Err() != nil:
		return givenUp(ctx)
	case c.ran > 0:
		return errkind.TargetFailed.New("every target tried failed, the last with: %v", c.last)
	case errors.Is(ctx.Err(), context.Canceled):
		return errkind.Cancelled.New("the caller went away before the request was sent")
	}
	return errkind.NoTarget.New("no target has room; last refusal: %v", c.last)
}

// expired returns the error of a request whose deadline is over.
func expired(c *course) error {
	if c.ran > 0 || c.begun {
		return errkind.DeadlineExceeded.New("the answer was not whole at the deadline")
	}
	return errkind.DeadlineUnmeetable.New("the deadline was over before the request was sent")
}

func givenUp(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return errkind.Cancelled.New("the caller went away")
	}
	return errkind.DeadlineExceeded.New("the answer was not whole at the deadline")
}

// judge returns the final error of the request, or nil to try again.
func (f *Forwarder) judge(ctx context.Context, req *Request, t choose.Target, c *course, err error) error {
	c.last = err
	c.exclude[t.ID] = true
	end := target.EndOf(err)
	if end.Ran() {
		c.ran++
	}
	c.lost = c.lost || lostTarget(err)
	f.note(req, t, err)
	switch {
	case ctx.Err() != nil && (c.ran > 0 || c.begun):
		return givenUp(ctx)
	case ctx.Err() != nil:
		return errkind.DeadlineUnmeetable.New("no target took the request before its deadline")
	case errors.Is(err, errCallerGone):
		return errkind.Cancelled.New("the caller went away")
	case errors.Is(err, errRefused):
		return f.refusal(req)
	case !end.Ran():
		return nil
	case !req.Route.Repeatable():
		return errkind.UnknownOutcome.New("the target failed after the request was sent: %v", err)
	case c.ran >= max(1, req.Route.Attempts):
		return errkind.TargetFailed.New("the request may run on %d targets; the last failed with: %v", req.Route.Attempts, err)
	}
	return nil
}

// refusal returns the error of a request that was stopped because targets crash under
// it.
func (f *Forwarder) refusal(req *Request) error {
	if err := f.Quarantine.Refuse(&req.Work); err != nil {
		return err
	}
	return errkind.UnknownOutcome.New("it was stopped while targets seemed to crash under it")
}

// lostTarget reports whether a target was lost with the request, for all that is known.
func lostTarget(err error) bool {
	var failure *target.Error
	return errors.Is(err, errReplaced) || (errors.As(err, &failure) && failure.ConnectionLost)
}

// note tells the table of targets and the quarantine what a failure says about the
// target.
func (f *Forwarder) note(req *Request, t choose.Target, err error) {
	var failure *target.Error
	if !errors.As(err, &failure) {
		return
	}
	switch {
	case errors.Is(err, errReplaced):
		f.Quarantine.Lost(&req.Work, t)
		f.Quarantine.Ended(t, quarantine.StartedAgain)
	case failure.End == target.WrongInstance:
		f.Targets.Leave(t, string(quarantine.AnotherAtAddress))
		f.Quarantine.Ended(t, quarantine.AnotherAtAddress)
	case failure.Refused():
		f.Quarantine.Ended(t, quarantine.RefusesConnections)
	case failure.ConnectionLost:
		f.Quarantine.Lost(&req.Work, t)
	case failure.Saturated:
		f.Targets.Saturated(t)
	}
}

// outcomeOf tells what an attempt's error says of its target.
func outcomeOf(err error) choose.Outcome {
	if err == nil {
		return choose.Success
	}
	if errors.Is(err, errStalled) {
		return choose.Failure
	}
	if errors.Is(err, errRefused) {
		return choose.Neutral
	}
	switch target.EndOf(err) {
	case target.GivenUp, target.NotRun, target.WrongInstance:
		return choose.Neutral
	}
	return choose.Failure
}

// errCallerGone marks an attempt that ended because the caller took nothing more.
var errCallerGone = errors.New("the caller is gone")

// attempt sends the request to one target and passes the answer on. The error
// is a *target.Error or errCallerGone.
func (f *Forwarder) attempt(ctx context.Context, req *Request, t choose.Target, caller Caller, c *course) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	need := f.need(req, c)
	need.Exclude = maps.Clone(need.Exclude) // the watchdog looks at it from its timer
	better := func() bool { return f.Targets.Better(t.ID, need, longestGap(req.Route)) }
	watch := newWatchdog(req.Route, c.ran, better, cancel)
	defer watch.stop()
	defer f.Targets.WhenGone(t, func() { cancel(errReplaced) })()
	defer f.Quarantine.Running(&req.Work, func() { cancel(errRefused) })()
	sent := f.Now()
	answer, err := f.Sender.Send(ctx, target.Call{
		Address: t.Addr, InstanceID: t.ID, Incarnation: t.Incarnation, RequestID: req.ID, Workspace: req.Workspace, Method: req.Method, Host: req.Host, Path: req.Path,
		Header: req.Header, Body: req.Body, ResumeAfter: c.held, Deadline: req.Deadline,
	})
	if err != nil {
		return f.cause(ctx, err)
	}
	if answer.Stream == nil {
		return f.whole(req, t, answer, caller, c)
	}
	defer answer.Stream.Close()
	if !c.begun {
		c.begun = true
		if err := caller.Begin(answer); err != nil {
			return errCallerGone
		}
	}
	first := true
	for {
		event, err := answer.Stream.Next()
		if errors.Is(err, io.EOF) {
			f.Quarantine.Whole(&req.Work)
			f.Targets.Occupied(req.Service, f.Now().Sub(sent))
			f.Log.Answered(req, t, Answer{Status: answer.Status, Events: c.events, First: c.first, Pause: c.pause})
			return f.ended(caller)
		}
		if err != nil {
			return f.cause(ctx, err)
		}
		watch.event()
		f.Targets.Heard(t)
		if first {
			f.Targets.FirstEvent(t, f.Now().Sub(sent))
			first = false
		}
		if err := f.pass(req, event, caller, c); err != nil {
			return err
		}
	}
}

// pass hands one event on, unless the caller has it already.
func (f *Forwarder) pass(req *Request, event target.Event, caller Caller, c *course) error {
	if event.ID > 0 {
		if event.ID <= c.held {
			return nil
		}
		c.held = event.ID
	}
	c.passed(f.Now(), req.Arrived)
	if err := caller.Event(event); err != nil {
		return errCallerGone
	}
	return nil
}

// passed notes that an event is passed on now.
func (c *course) passed(now, arrived time.Time) {
	c.events++
	if c.newest.IsZero() {
		c.first = now.Sub(arrived)
	} else {
		c.pause = max(c.pause, now.Sub(c.newest))
	}
	c.newest = now
}

func (f *Forwarder) ended(caller Caller) error {
	if err := caller.End(); err != nil {
		return errCallerGone
	}
	return nil
}

// whole passes on an answer that came in one piece. A failure of a request
// that may be repeated is tried elsewhere while attempts are left.
func (f *Forwarder) whole(req *Request, t choose.Target, answer *target.Answer, caller Caller, c *course) error {
	if answer.Status >= http.StatusInternalServerError && (c.begun || (req.Route.Repeatable() && c.ran+1 < req.Route.Attempts)) {
		return &target.Error{End: target.Broken, Cause: errors.New("the target answered " + http.StatusText(answer.Status))}
	}
	if c.begun {
		return &target.Error{End: target.Broken, Cause: errors.New("the target answered a resumed stream with " + http.StatusText(answer.Status))}
	}
	f.Quarantine.Whole(&req.Work)
	f.Log.Answered(req, t, Answer{Status: answer.Status})
	if err := caller.Whole(answer); err != nil {
		return errCallerGone
	}
	return nil
}

// cause puts the reason in place of a bare cancellation.
func (f *Forwarder) cause(ctx context.Context, err error) error {
	for _, ended := range []error{errStalled, errReplaced, errRefused} {
		if errors.Is(context.Cause(ctx), ended) {
			return &target.Error{End: target.Broken, Cause: ended}
		}
	}
	return err
}
