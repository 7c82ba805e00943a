package forward

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/continuation"
	"github.com/marblepond/marblepond/internal/request/patience"
)

// Saturated reports whether a target refused an attempt because it was full.
func Saturated(err error) bool {
	var failure *target.Error
	return errors.As(err, &failure) && failure.Saturated
}

// awaitTarget chooses a target with free capacity. It waits for one as long as mayWait
// allows.
func (f *Forwarder) awaitTarget(ctx context.Context, req *Request, p *progress) (choose.Target, bool) {
	defer f.stopWaiting(p)
	if p.admitted != nil && p.ran == 0 && !p.begun {
		return f.admit(ctx, req, p)
	}
	pause := capacityPollInterval
	if p.begun {
		pause = resumePollInterval
	}
	for {
		if t, ok := f.Targets.Choose(f.need(req, p)); ok {
			return t, true
		}
		if f.versionGone(req, p) || f.evacuated(req, p) || f.refusedByAll(req, p) || f.Quarantine.Refuse(&req.Work) != nil || !f.mayWait(req, p) || !wait.For(ctx, pause) {
			return choose.Target{}, false
		}
		if p.begun || p.ran == 0 {
			p.clearExcluded()
		}
	}
}

// mayWait reports whether a request may go on waiting for free capacity. A request whose
// caller has part of the answer may wait until its deadline, any other for as long as another attempt
// fits into the time in which its caller needs the first event (package patience), and no longer than
// an answer takes: a longer queue would delay everyone. Where batch items are expected to yield their
// slots it may wait for the whole of that; an earlier refusal would let batch items displace
// online requests. So may one that continues a stream: only targets of one version
// can take it, and a refused caller would return to the same targets.
func (f *Forwarder) mayWait(req *Request, p *progress) bool {
	now := f.Now()
	waited := now.Sub(req.Arrived)
	slotTime := f.Targets.SlotTime(req.Service)
	toFirst := req.Deadline.Sub(req.Arrived) - slotTime
	if req.Route.Silence > 0 {
		toFirst = min(toFirst, req.Route.Silence)
	}
	longest := patience.Wait(toFirst, 0)
	switch {
	case p.begun:
		return now.Before(req.Deadline)
	case p.origin.Begun() && f.bound(req, p), p.ran == 0 && f.Targets.MayHaveItems(req.Service), slotTime <= 0:
		return waited < longest
	}
	return waited < min(longest, slotTime)
}

// versionGone reports whether the answer has begun and no target of the version that began it
// is left.
func (f *Forwarder) versionGone(req *Request, p *progress) bool {
	return p.origin.Begun() && continuation.Next(p.origin, f.Targets.Supply(req.Service, p.origin)) == continuation.GiveUp
}

// evacuated reports whether a request is refused at once because all data centres with
// targets of its service are evacuated. A request whose caller has part of the answer waits
// until its deadline instead.
func (f *Forwarder) evacuated(req *Request, p *progress) bool {
	return !p.begun && f.Targets.AllEvacuated(req.Service)
}

// refusedForGood returns the targets to which a request that may run once is not sent again.
func (p *progress) refusedForGood() map[string]bool {
	if p.roomExpected {
		return nil
	}
	return p.refusedBy
}

// itemsReportedWithin is the time in which a node learns of batch items that other nodes have at a
// target.
const itemsReportedWithin = 50 * time.Millisecond

// refusedByAll reports whether a request is not sent to any target any more. Other nodes may have
// batch items at the targets that make room for it.
func (f *Forwarder) refusedByAll(req *Request, p *progress) bool {
	if len(p.refusedBy) == 0 {
		return false
	}
	p.roomExpected = p.roomExpected || f.Targets.MayHaveItems(req.Service)
	refused := p.refusedForGood()
	return len(refused) > 0 && !f.Targets.HasOther(req.Service, refused) && f.Now().Sub(p.refusedAt) >= itemsReportedWithin
}

// clearExcluded allows targets again that failed or refused the request and may take it by now.
func (p *progress) clearExcluded() {
	clear(p.exclude)
	maps.Copy(p.exclude, p.refusedForGood())
}

// stopWaiting stops counting a request as in flight at the full target that refused it.
func (f *Forwarder) stopWaiting(p *progress) {
	if p.waitingAt != nil {
		f.Targets.End(*p.waitingAt, choose.Neutral)
		p.waitingAt = nil
	}
}

// need returns the requirements on the next target of the request.
func (f *Forwarder) need(req *Request, p *progress) choose.Need {
	// A suspect was in flight at a crash and either caused it or ran there by chance. Two
	// suspects must not run at one target: run separately, the harmless ones are answered,
	// which clears them.
	need := choose.Need{Service: req.Service, Exclude: p.exclude, Origin: p.origin, Resumable: req.Route.Resumable && !p.origin.Begun(), Overflow: overflow, Apart: f.Quarantine.Suspected(&req.Work),
		Repeatable: req.Route.Repeatable() && p.ran+1 < req.Route.Attempts, NoProbe: p.ran > 0 || p.begun}
	if p.connectionLost {
		need.ScatterKey = req.Work.ID().Key()
	}
	return need
}

// noTargetError returns the error of a request for which no target was found.
func (f *Forwarder) noTargetError(ctx context.Context, req *Request, p *progress) error {
	switch {
	case p.ran > 0 && ctx.Err() != nil:
		return interrupted(ctx)
	case p.ran > 0 && f.versionGone(req, p):
		return errkind.WithRetryAfter(errkind.TargetFailed.New("no target is left with the version that began the answer"), 0)
	case p.ran > 0:
		return errkind.TargetFailed.New("every target tried failed, the last with: %v", p.lastErr)
	case errors.Is(ctx.Err(), context.Canceled):
		return errkind.Cancelled.New("the caller disconnected before the request was sent")
	case f.versionGone(req, p):
		return errkind.VersionGone.New("no target is left with the version that began the stream")
	}
	if f.evacuated(req, p) {
		return errkind.NoTarget.New("every data centre with targets of service %s is evacuated", req.Service)
	}
	if p.refusal != nil {
		return notAdmitted(req, p)
	}
	after := patience.LateReturn(req.Deadline.Sub(f.Now()), 0, rand.Float64())
	return errkind.WithRetryAfter(errkind.NoTarget.New("no target has free capacity; last refusal: %v", p.lastErr), after)
}
