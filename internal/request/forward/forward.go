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
	"net/http"
	"time"

	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/fingerprint"
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
	// refused is over in less than a millisecond, and they would miss it.
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
			return f.unplaced(ctx, req, c)
		}
		f.Checker.Assert(c.ran == 0 || req.Route.Repeatable(), invariant.AtMostOnce, req.ID, t.ID, "sent again after %d attempts that may have run", c.ran)
		f.Log.Sent(req, t, c.held)
		before := c.events
		t.Sent = f.Now()
		err := f.attempt(ctx, req, t, caller, c)
		if err == nil {
			f.Targets.End(t, choose.Success)
			return nil
		}
		f.Log.Failed(req, t, c.events-before, err)
		final := f.judge(ctx, req, t, c, err)
		if final == nil && Saturated(err) {
			c.inLine = &t
			continue
		}
		f.Targets.End(t, outcomeOf(err))
		if final != nil {
			return final
		}
	}
}
