// Package forward runs one online request until its answer is complete: it chooses
// targets, makes attempts, and resumes a stream at another target after the last
// complete event where the route allows it. Its errors distinguish a request that
// certainly has not run from one that may have run.
//
// It is independent of the protocols of callers and targets, which are behind the
// interfaces Caller and target.Sender.
package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/request/admission"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/continuation"
	"github.com/marblepond/marblepond/internal/request/fingerprint"
	"github.com/marblepond/marblepond/internal/request/quarantine"
	"github.com/marblepond/marblepond/internal/version/route"
)

// Request is one request as a caller sent it; a retry by the caller is another Request.
type Request struct {
	ID      string
	Route   *route.Route
	Service string
	// Workspace is the workspace that the request belongs to; empty if it has none.
	Workspace string
	Version   int64 // of the routing table that chose Route
	Method    string
	Host      string
	Path      string // with the query
	Header    http.Header
	Body      []byte
	// Work is what the request asks for, independent of its ID.
	Work fingerprint.Work
	// ResumeAfter is the ID of the last event that the caller has.
	ResumeAfter int64
	// Resumes is the ID of the request of the same caller that brought the first event, if the
	// caller resumes a stream; empty: the caller did not state it.
	Resumes string
	Arrived time.Time
	// Deadline is the earlier of the caller's deadline and the route's.
	Deadline time.Time
	// Priority is the workspace's, else the route's; 0 is the highest.
	Priority int
	// Exceeding marks a request of a workspace that asks for more than its allowance.
	Exceeding bool
}

// Forwarder runs requests. It is safe for concurrent use.
type Forwarder struct {
	Targets    Targets
	Sender     target.Sender
	Quarantine Quarantine
	Log        Log
	Checker    *invariant.Checker
	Now        func() time.Time
	// Admission decides which requests are sent while the targets are full; nil: all are sent
	// as long as targets take them.
	Admission *Admission
	Origins   Origins
}

const (
	// overflow is how many requests a full target gets beyond its slots once batch
	// items have yielded theirs: a slot that becomes free is taken at once, and what waits
	// longer waits at the node, where another target may take it.
	overflow = 4
	// capacityPollInterval is the interval at which targets are polled for free capacity.
	capacityPollInterval = 10 * time.Millisecond
	// resumePollInterval is the interval at which targets are polled for an answer that
	// has begun and has to be resumed.
	resumePollInterval = 25 * time.Millisecond
)

// Reasons for which the forwarder cancels an attempt whose connection is still open.
var (
	errStalled     = errors.New("the target was silent for too long")
	errRestarted   = errors.New("the target has restarted")
	errQuarantined = errors.New("the request is refused because targets crash while they run it")
)

// progress is the state of a request across its attempts.
type progress struct {
	exclude map[string]bool
	// refusedBy holds the targets that refused a request that may run once. It is sent there again
	// only where batch items make room for it: a second refusal might be a copy of the first.
	refusedBy map[string]bool
	refusedAt time.Time // when the newest of them did
	// roomExpected: batch items that make room for the request ran where it was refused.
	roomExpected   bool
	unresolved     int   // attempts that were begun and did not end with proof that the request was not run
	ran            int   // attempts that may have run
	lastEventID    int64 // ID of the last event that the caller has
	origin         continuation.Origin
	recorded       bool              // the version of the stream was recorded for the caller's return
	recordChecked  time.Time         // when it was last checked whether it has to be
	events         int64             // events forwarded
	lastEventAt    time.Time         // when the last event was forwarded
	firstEvent     time.Duration     // from the arrival of the request to the first event
	longestGap     time.Duration     // longest time between two events
	begun          bool              // the status and headers were sent to the caller
	connectionLost bool              // the connection to a target broke, or the target restarted
	errorAnswer    bool              // the answer that the caller got has status 5xx
	answerBegin    *quarantine.Begin // of the latest attempt
	lastErr        error
	// waitingAt is the full target that refused the request last. The request counts as in
	// flight there while it waits, so that nodes with batch items at the target learn of it:
	// a refused attempt ends in less than a millisecond, and their reports would miss it.
	waitingAt *choose.Target
	admitted  *admission.Request  // nil if Admission does not decide about the request
	refusal   *admission.Decision // with which Admission refused it
}

// Do runs a request to its end. The error is nil if the caller got the complete
// answer, and of a kind of errkind otherwise; begun reports whether part of the answer
// was sent.
func (f *Forwarder) Do(ctx context.Context, req *Request, caller Caller) (begun bool, err error) {
	// The time left, because the deadline is a time of f.Now, and timers use the monotonic
	// clock.
	ctx, cancel := context.WithTimeout(ctx, req.Deadline.Sub(f.Now()))
	defer cancel()
	p := &progress{exclude: map[string]bool{}, refusedBy: map[string]bool{}, lastEventID: req.ResumeAfter}
	defer func() { f.Admission.ended(p.admitted) }()
	if err = f.findOrigin(ctx, req, p); err == nil {
		if !f.bound(req, p) {
			p.admitted = f.Admission.arrive(f.Now(), req)
		}
		err = f.run(ctx, req, caller, p)
	}
	if err != nil {
		// The status of the caller's answer follows from the kind of the error alone.
		notRun := p.ran == 0 && p.unresolved == 0
		f.Checker.Assert(errkind.Of(err).NotRun != errkind.NotRunTrue || notRun, invariant.NotRunIsTrue, req.ID, "",
			"refused as not run after %d attempts that may have run, and %d begun without proof that the request was not run: %v", p.ran, p.unresolved, err)
		if errkind.Of(err).NotRun == errkind.NotRunTrue && !notRun {
			err = errkind.UnknownOutcome.New("the request may have run: %v", errkind.Message(err))
		}
		f.Log.Refused(req, err)
	}
	return p.begun, err
}

func (f *Forwarder) run(ctx context.Context, req *Request, caller Caller, p *progress) error {
	for {
		if err := f.Quarantine.Refuse(&req.Work); err != nil {
			return err
		}
		if !f.Now().Before(req.Deadline) { // the VM was suspended, while timers stood still
			return expired(p)
		}
		t, ok := f.awaitTarget(ctx, req, p)
		if err := f.Quarantine.Refuse(&req.Work); err != nil { // it may be refused since it waits
			if ok {
				f.Targets.End(t, choose.Neutral)
			}
			return err
		}
		if !ok {
			return f.noTargetError(ctx, req, p)
		}
		f.Checker.Assert(p.ran == 0 || req.Route.Repeatable(), invariant.AtMostOnce, req.ID, t.ID, "sent again after %d attempts that may have run", p.ran)
		f.Checker.Assert(p.origin.Allows(t.Version), invariant.AnswerOfOneVersion, req.ID, t.ID, "an answer that another version began is continued at version %q", t.Version)
		f.Log.Sent(req, t, p.lastEventID)
		before := p.events
		t.Sent = f.Now()
		err := f.attempt(ctx, req, t, caller, p)
		if err == nil {
			f.Targets.End(t, outcomeOfAnswer(p))
			return nil
		}
		f.Log.Failed(req, t, p.events-before, err)
		final := f.finalError(ctx, req, t, p, err)
		if final == nil && Saturated(err) && !p.refusedForGood()[t.ID] {
			p.waitingAt = &t
			continue
		}
		f.Targets.End(t, outcomeOf(err))
		if final != nil {
			return final
		}
	}
}
