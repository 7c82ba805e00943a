package forward

import (
	"context"
	"errors"
	"time"

	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/request/choose"
)

// Saturated reports whether a target refused an attempt because it was full.
func Saturated(err error) bool {
	var failure *target.Error
	return errors.As(err, &failure) && failure.Saturated
}

// place finds a target with room, for as long as mayWait allows.
func (f *Forwarder) place(ctx context.Context, req *Request, c *course) (choose.Target, bool) {
	defer f.leaveLine(c)
	pause := roomPause
	if c.begun {
		pause = continuePause
	}
	for {
		if t, ok := f.Targets.Choose(f.need(req, c)); ok {
			return t, true
		}
		if f.evacuated(req, c) || !f.mayWait(req, c) || !wait.For(ctx, pause) {
			return choose.Target{}, false
		}
		if c.begun || c.ran == 0 {
			clear(c.exclude) // those that refused may have room by now
		}
	}
}

// mayWait reports whether a request may go on waiting for room: one whose caller already
// has part of the answer until its deadline, any other for a short part of its objective,
// and where batch items are to make room for it for as long as it can begin in time. To
// refuse it sooner would have the caller pay for the items.
func (f *Forwarder) mayWait(req *Request, c *course) bool {
	now := f.Now()
	waited := now.Sub(req.Arrived)
	switch {
	case c.begun:
		return now.Before(req.Deadline)
	case waited < time.Duration(roomShare*float64(req.Route.Objective)):
		return true
	}
	return c.ran == 0 && waited < req.Route.Objective && f.Targets.RoomExpected(req.Service)
}

// evacuated reports whether a request is refused at once because no target is left that it
// may be sent to. One whose caller has part of the answer waits, until its deadline.
func (f *Forwarder) evacuated(req *Request, c *course) bool {
	return !c.begun && f.Targets.AllEvacuated(req.Service)
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
	// of them must not meet: apart, the proper ones are answered and clear of it.
	need := choose.Need{Service: req.Service, Exclude: c.exclude, Overflow: overflow, Apart: f.Quarantine.Suspected(&req.Work)}
	if c.lost {
		need.ScatterKey = req.Work.ID().Key()
	}
	return need
}

// unplaced returns the error of a request that no target can take.
func (f *Forwarder) unplaced(ctx context.Context, req *Request, c *course) error {
	switch {
	case c.ran > 0 && ctx.Err() != nil:
		return givenUp(ctx)
	case c.ran > 0:
		return errkind.TargetFailed.New("every target tried failed, the last with: %v", c.last)
	case errors.Is(ctx.Err(), context.Canceled):
		return errkind.Cancelled.New("the caller went away before the request was sent")
	}
	if f.evacuated(req, c) {
		return errkind.NoTarget.New("every data centre with targets of service %s is evacuated", req.Service)
	}
	return errkind.NoTarget.New("no target has room; last refusal: %v", c.last)
}
