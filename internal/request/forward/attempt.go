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
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/quarantine"
)

// errCallerDisconnected ends an attempt whose answer can't be written to the caller.
var errCallerDisconnected = errors.New("the caller disconnected")

// attempt sends the request to one target and forwards the answer to the caller.
// The error is a *target.Error or errCallerDisconnected.
func (f *Forwarder) attempt(ctx context.Context, req *Request, t choose.Target, caller Caller, p *progress) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	need := f.need(req, p)
	need.Exclude = maps.Clone(need.Exclude) // the watchdog reads it from a timer's goroutine
	begunNeed := need
	begunNeed.Origin = need.Origin.After(t.Version)
	better := func(waited time.Duration, begun bool) bool {
		needElsewhere := need
		if begun {
			needElsewhere = begunNeed
		}
		return f.Targets.BetterElsewhere(choose.Wait{Target: t, For: waited, Begun: begun, AliveWithin: gapTimeout(req.Route)}, needElsewhere)
	}
	watch := newWatchdog(req.Route, p.ran, better, cancel)
	defer watch.stop()
	liveness := &target.Liveness{}
	defer liveness.Stop()
	defer f.Targets.OnRestart(t, func() {
		if !f.Quarantine.EndedBefore(t) {
			liveness.TargetRestarted(gapTimeout(req.Route), func() { cancel(errRestarted) })
		}
	})()
	began := &quarantine.Begin{}
	p.answerBegin = began
	defer f.Quarantine.OnRefusal(&req.Work, func() bool { return began.Answering(f.Now()) }, func() { cancel(errQuarantined) })()
	if need.Resumable {
		f.Origins.AnnounceUse(req.Service, t.Version)
	}
	sent := f.Now()
	p.unresolved++
	answer, err := f.Sender.Send(ctx, target.Call{
		Address: t.Addr, InstanceID: t.ID, Incarnation: t.Incarnation, RequestID: req.ID, Workspace: req.Workspace, Method: req.Method, Host: req.Host, Path: req.Path,
		Header: req.Header, Body: req.Body, ResumeAfter: p.lastEventID, Repeatable: req.Route.Repeatable(), AwaitsRoom: p.refusedBy[t.ID], Deadline: req.Deadline,
	})
	if err != nil {
		return f.cancelCause(ctx, err)
	}
	if answer.Stream == nil {
		return f.respond(req, t, answer, caller, p)
	}
	defer answer.Stream.Close()
	if need.Resumable {
		watch.hold(func() { f.Origins.AwaitAnnounced(ctx, req.Service, t.Version) })
	}
	if !p.begun {
		p.begun = true
		if err := caller.Begin(answer); err != nil {
			return errCallerDisconnected
		}
	}
	var firstAt, lastAt time.Time // when events arrived; zero: none has
	for {
		event, err := answer.Stream.Next()
		if errors.Is(err, io.EOF) {
			f.Quarantine.Completed(&req.Work, t, began.Time())
			f.Targets.RecordSlotTime(req.Service, f.Now().Sub(sent))
			if !firstAt.IsZero() {
				f.Targets.RecordStreamTime(t, lastAt.Sub(firstAt))
			}
			f.Log.Answered(req, t, AnswerSummary{Status: answer.Status, Events: p.events, FirstEvent: p.firstEvent, LongestGap: p.longestGap})
			return f.endStream(caller)
		}
		if err != nil {
			return f.cancelCause(ctx, err)
		}
		liveness.EventReceived()
		watch.eventReceived()
		f.Targets.RecordEvent(t)
		now := f.Now()
		if began.EventReceived(now) {
			f.Quarantine.Answering(&req.Work, t, began.Time())
		}
		if firstAt.IsZero() {
			f.Targets.RecordFirstEvent(t, now.Sub(sent))
			f.Admission.firstEvent(now, p.admitted)
			firstAt = now
		} else {
			f.Targets.RecordInterval(t, now.Sub(lastAt))
		}
		lastAt = now
		if err := f.forwardEvent(req, t, event, caller, p); err != nil {
			return err
		}
	}
}

// forwardEvent sends one event to the caller, unless the caller has it already.
func (f *Forwarder) forwardEvent(req *Request, t choose.Target, event target.Event, caller Caller, p *progress) error {
	if event.ID > 0 {
		if event.ID <= p.lastEventID {
			return nil
		}
		p.lastEventID = event.ID
	}
	p.origin = p.origin.After(t.Version)
	f.recordOrigin(req, p)
	p.recordEvent(f.Now(), req.Arrived)
	if err := caller.Event(event); err != nil {
		return errCallerDisconnected
	}
	return nil
}

// recordEvent records that an event is forwarded now.
func (p *progress) recordEvent(now, arrived time.Time) {
	p.events++
	if p.lastEventAt.IsZero() {
		p.firstEvent = now.Sub(arrived)
	} else {
		p.longestGap = max(p.longestGap, now.Sub(p.lastEventAt))
	}
	p.lastEventAt = now
}

func (f *Forwarder) endStream(caller Caller) error {
	if err := caller.End(); err != nil {
		return errCallerDisconnected
	}
	return nil
}

// respond forwards an answer that is not streamed. A server error is returned as a
// failed attempt if the request may be repeated and attempts are left, and so is any such
// answer in place of a resumed stream.
func (f *Forwarder) respond(req *Request, t choose.Target, answer *target.Answer, caller Caller, p *progress) error {
	if answer.Status >= http.StatusInternalServerError && (p.begun || (req.Route.Repeatable() && p.ran+1 < req.Route.Attempts)) {
		return &target.Error{Failure: target.Broken, Cause: errors.New("the target answered " + http.StatusText(answer.Status))}
	}
	if p.begun {
		return &target.Error{Failure: target.Broken, Cause: errors.New("the target answered a resumed stream with " + http.StatusText(answer.Status))}
	}
	f.Checker.Assert(!errkind.PromisesNotRun(answer.Status), invariant.NotRunIsTrue, req.ID, t.ID, "an answer with status %d is passed on", answer.Status)
	f.Quarantine.Completed(&req.Work, t, f.Now())
	p.errorAnswer = answer.Status >= http.StatusInternalServerError
	if !p.errorAnswer {
		f.Admission.firstEvent(f.Now(), p.admitted)
	}
	f.Log.Answered(req, t, AnswerSummary{Status: answer.Status})
	if err := caller.Respond(answer); err != nil {
		return errCallerDisconnected
	}
	return nil
}

// cancelCause replaces the error of an attempt that the forwarder cancelled with the
// reason for the cancellation. A request that certainly has not run stays one.
func (f *Forwarder) cancelCause(ctx context.Context, err error) error {
	failure := target.Broken
	switch end := target.FailureOf(err); {
	case end == target.NotSent:
		failure = end
	case !end.MayHaveRun():
		return err
	}
	for _, cause := range []error{errStalled, errRestarted, errQuarantined} {
		if errors.Is(context.Cause(ctx), cause) {
			return &target.Error{Failure: failure, Cause: cause}
		}
	}
	return err
}
