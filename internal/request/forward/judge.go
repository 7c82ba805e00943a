package forward

import (
	"context"
	"errors"

	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/quarantine"
)

// expired returns the error of a request whose deadline has passed.
func expired(p *progress) error {
	if p.ran > 0 || p.begun {
		return errkind.DeadlineExceeded.New("the answer was incomplete at the deadline")
	}
	return errkind.DeadlineUnmeetable.New("the deadline passed before the request was sent")
}

func interrupted(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return errkind.Cancelled.New("the caller disconnected")
	}
	return errkind.DeadlineExceeded.New("the answer was incomplete at the deadline")
}

// finalError returns the error with which the request ends after a failed attempt, or nil
// to try again.
func (f *Forwarder) finalError(ctx context.Context, req *Request, t choose.Target, p *progress, err error) error {
	p.lastErr = err
	p.exclude[t.ID] = true
	end := target.FailureOf(err)
	if end.MayHaveRun() {
		p.ran++
	} else {
		p.unresolved--
	}
	if !req.Route.Repeatable() && end != target.NotSent {
		p.refusedBy[t.ID] = true
		p.refusedAt = f.Now()
	}
	p.connectionLost = p.connectionLost || lostConnection(err)
	f.reportFailure(req, t, p, err)
	switch {
	case ctx.Err() != nil && (p.ran > 0 || p.begun):
		return interrupted(ctx)
	case ctx.Err() != nil:
		return errkind.DeadlineUnmeetable.New("no target took the request before its deadline")
	case errors.Is(err, errCallerDisconnected):
		return errkind.Cancelled.New("the caller disconnected")
	case !end.MayHaveRun():
		return nil
	case errors.Is(err, errQuarantined):
		return f.quarantineError(req)
	case !req.Route.Repeatable():
		return errkind.UnknownOutcome.New("the target failed after the request was sent: %v", err)
	case p.ran >= max(1, req.Route.Attempts):
		return errkind.TargetFailed.New("the limit of %d attempts is reached; the last failed with: %v", req.Route.Attempts, err)
	}
	return nil
}

// quarantineError returns the error of a request that was stopped because targets crash
// while they run it.
func (f *Forwarder) quarantineError(req *Request) error {
	if err := f.Quarantine.Refuse(&req.Work); err != nil {
		return err
	}
	return errkind.UnknownOutcome.New("the request was stopped because targets seemed to crash while they ran it")
}

// lostConnection reports whether an attempt ended because its target restarted or the
// connection to it broke.
func lostConnection(err error) bool {
	var failure *target.Error
	return errors.As(err, &failure) && (failure.ConnectionLost || (errors.Is(err, errRestarted) && failure.Failure.MayHaveRun()))
}

// reportFailure reports to the table of targets and to the quarantine what a failed attempt
// shows about its target.
func (f *Forwarder) reportFailure(req *Request, t choose.Target, p *progress, err error) {
	var failure *target.Error
	if !errors.As(err, &failure) {
		return
	}
	switch {
	case errors.Is(err, errRestarted):
		if failure.Failure.MayHaveRun() {
			f.Quarantine.Lost(&req.Work, t, p.answerBegin.Time())
		}
		f.Quarantine.Ended(t, quarantine.Restarted)
	case failure.Failure == target.WrongInstance:
		f.Targets.MarkLeaving(t, string(quarantine.AnotherAtAddress))
		f.Quarantine.Ended(t, quarantine.AnotherAtAddress)
	case failure.ConnectionRefused():
		f.Quarantine.Ended(t, quarantine.RefusesConnections)
	case failure.ConnectionLost:
		f.Quarantine.Lost(&req.Work, t, p.answerBegin.Time())
	case failure.Saturated:
		f.Targets.MarkSaturated(t)
	}
}

// outcomeOf returns how an attempt's result counts for the health of its target.
func outcomeOf(err error) choose.Outcome {
	if err == nil {
		return choose.Success
	}
	if errors.Is(err, errStalled) {
		return choose.Stalled
	}
	if errors.Is(err, errQuarantined) {
		return choose.Withdrawn
	}
	switch target.FailureOf(err) {
	case target.WrongInstance:
		return choose.WrongIdentity
	case target.Cancelled, target.NotRun:
		return choose.Neutral
	}
	return choose.Failure
}

// outcomeOfAnswer returns how a complete answer counts for the health of its target. One
// with status 5xx is passed on to the caller if the request may not be repeated.
func outcomeOfAnswer(p *progress) choose.Outcome {
	if p.errorAnswer {
		return choose.ErrorAnswer
	}
	return choose.Success
}
