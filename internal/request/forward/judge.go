package forward

import (
	"context"
	"errors"

	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/quarantine"
)

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
		f.Quarantine.Ended(t, quarantine.Restarted)
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
