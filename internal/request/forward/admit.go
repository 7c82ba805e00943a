package forward

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/request/admission"
	"github.com/marblepond/marblepond/internal/request/choose"
)

// Occupancies tells what admission has to know about the targets.
type Occupancies interface {
	// SharedView reports whether requests are admitted by what all nodes observe.
	SharedView() bool
	// Occupancy returns what is in flight at the targets of a service.
	Occupancy(service string) choose.Occupancy
}

// AdmissionLog receives the decisions of admission. Its methods must not block.
type AdmissionLog interface {
	// Queued records how long a request was queued at this node until it was sent or refused.
	Queued(took time.Duration)
	// NotAdmitted records the refusal of a request.
	NotAdmitted(priority int, reason admission.Reason)
	// OverloadChanged records the begin or the end of an overload.
	OverloadChanged(change admission.Change, counted admission.Overload)
}

// Admission decides which requests are sent while the targets are full, see package
// admission. It is safe for concurrent use. A nil Admission admits every request.
type Admission struct {
	targets Occupancies
	log     AdmissionLog

	mu         sync.Mutex
	controller *admission.Controller
}

// NewAdmission returns the admission of a node.
func NewAdmission(targets Occupancies, log AdmissionLog, random *rand.Rand) *Admission {
	return &Admission{targets: targets, log: log, controller: admission.New(random)}
}

// arrive records the arrival of a request. It returns nil for a request that is admitted
// without a decision, because the shared view is off.
func (a *Admission) arrive(now time.Time, req *Request) *admission.Request {
	if a == nil || !a.targets.SharedView() {
		return nil
	}
	r := &admission.Request{Service: req.Service, Arrived: req.Arrived, Deadline: req.Deadline, Silence: req.Route.Silence, Priority: req.Priority,
		Exceeding: req.Exceeding}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Arrive(now, r)
	return r
}

// terms returns the limits on the target of a request; ok is false if it is not sent now.
// apart, restricted and awaitsItems are the fields of admission.Request that may change while it
// is queued.
func (a *Admission) terms(now time.Time, r *admission.Request, apart, restricted, awaitsItems bool) (terms admission.Terms, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r.Apart, r.Restricted, r.AwaitsItems = apart, restricted, awaitsItems
	if a.controller.Stale(now, r.Service) {
		a.controller.Observe(now, r.Service, admission.Occupancy(a.targets.Occupancy(r.Service)))
	}
	return a.controller.Terms(now, r)
}

// sent records that a request was sent to a target.
func (a *Admission) sent(now time.Time, r *admission.Request, t choose.Target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if again := a.controller.Sent(now, r, t.Estimate); !again {
		a.log.Queued(now.Sub(r.Arrived))
	}
	a.logChange(now)
}

// noTarget decides about a request that is not sent now.
func (a *Admission) noTarget(now time.Time, r *admission.Request) admission.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.controller.NoTarget(now, r)
	if d.Refuse {
		a.logRefusal(now, r, d.Reason)
	}
	a.logChange(now)
	return d
}

// noneLeft refuses a request that all targets have refused.
func (a *Admission) noneLeft(now time.Time, r *admission.Request) admission.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.controller.NoneLeft(now, r)
	a.logRefusal(now, r, d.Reason)
	a.logChange(now)
	return d
}

// logRefusal logs the refusal of a request. The caller holds a.mu.
func (a *Admission) logRefusal(now time.Time, r *admission.Request, reason admission.Reason) {
	a.log.NotAdmitted(r.Priority, reason)
	a.log.Queued(now.Sub(r.Arrived))
}

func (a *Admission) logChange(now time.Time) {
	if change, counted := a.controller.OverloadChange(now); change != admission.None {
		a.log.OverloadChanged(change, counted)
	}
}

// firstEvent records the first event of a request; r may be nil.
func (a *Admission) firstEvent(now time.Time, r *admission.Request) {
	if r == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.FirstEvent(now, r)
}

// ended records the end of a request; r may be nil.
func (a *Admission) ended(r *admission.Request) {
	if r == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Ended(r)
}

// admit chooses a target for a request that has not run yet, with the shared view on. It
// queues the request, or sets p.refusal, as package admission decides.
func (f *Forwarder) admit(ctx context.Context, req *Request, p *progress) (choose.Target, bool) {
	for {
		need := f.need(req, p)
		restricted := len(p.refusedForGood()) > 0
		awaitsItems := Saturated(p.lastErr) && f.Targets.MayHaveItems(req.Service)
		if terms, ok := f.Admission.terms(f.Now(), p.admitted, need.Apart, restricted, awaitsItems); ok {
			need.Within, need.FreeSlot = terms.Within, terms.FreeSlot
			if t, ok := f.Targets.Choose(need); ok {
				f.Admission.sent(f.Now(), p.admitted, t)
				return t, true
			}
		}
		if f.versionGone(req, p) || f.evacuated(req, p) || f.Quarantine.Refuse(&req.Work) != nil {
			return choose.Target{}, false
		}
		if f.refusedByAll(req, p) {
			d := f.Admission.noneLeft(f.Now(), p.admitted)
			p.refusal = &d
			return choose.Target{}, false
		}
		if d := f.Admission.noTarget(f.Now(), p.admitted); d.Refuse {
			p.refusal = &d
			return choose.Target{}, false
		}
		if !wait.For(ctx, capacityPollInterval) {
			return choose.Target{}, false
		}
		p.clearExcluded()
	}
}

// notAdmitted returns the error of a request that admission refused.
func notAdmitted(req *Request, p *progress) error {
	return errkind.WithRetryAfter(errkind.Overloaded.New("no target of service %s is expected to begin the answer in the time that its caller has (%s); last refusal: %v",
		req.Service, p.refusal.Reason, p.lastErr), p.refusal.RetryAfter)
}
