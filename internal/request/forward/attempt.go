package forward

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/request/choose"
)

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
	live := &target.Liveness{}
	defer live.Stop()
	defer f.Targets.WhenGone(t, func() {
		if !f.Quarantine.EndedBefore(t) {
			live.Replaced(longestGap(req.Route), func() { cancel(errReplaced) })
		}
	})()
	defer f.Quarantine.OnRefusal(&req.Work, func() { cancel(errRefused) })()
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
			f.Quarantine.Completed(&req.Work)
			f.Targets.Occupied(req.Service, f.Now().Sub(sent))
			f.Log.Answered(req, t, AnswerSummary{Status: answer.Status, Events: c.events, FirstEvent: c.first, LongestGap: c.pause})
			return f.ended(caller)
		}
		if err != nil {
			return f.cause(ctx, err)
		}
		live.Brought()
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
	f.Quarantine.Completed(&req.Work)
	f.Log.Answered(req, t, AnswerSummary{Status: answer.Status})
	if err := caller.Respond(answer); err != nil {
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
