package forward

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/request/admission"
	"github.com/marblepond/marblepond/internal/version/route"
)

// refusingSender refuses each call as its target is full.
type refusingSender struct{ calls []target.Call }

func (s *refusingSender) Send(_ context.Context, call target.Call) (*target.Answer, error) {
	s.calls = append(s.calls, call)
	return nil, &target.Error{Failure: target.NotRun, Saturated: true, Cause: fmt.Errorf("status 503")}
}

// Guards against a second send of a request that may run once to a target that has refused it: a
// copy of that refusal could be taken for the answer, while the target runs the request.
func TestRefusedRequestIsNotSentToItsTargetAgain(t *testing.T) {
	for _, sharedView := range []bool{false, true} {
		t.Run(fmt.Sprint("sharedView=", sharedView), func(t *testing.T) {
			is := is.New(t)
			targets, log, sender := &fakeTargets{}, &fakeAdmissionLog{}, &refusingSender{}
			f := forwarderWith(targets, sender, &fakeOccupancies{on: sharedView, slots: 16}, log)
			req := newRequest()
			req.Route = &route.Route{Kind: route.Stream, Attempts: 2, Objective: 300 * time.Millisecond}
			_, err := f.Do(context.Background(), req, &fakeCaller{})
			is.Equal(targets.chosen, []string{"a", "b"})
			is.Equal(errkind.Of(err).HTTPStatus, 503)
			is.True(errkind.Of(err).RetryAfter > 0)
			if sharedView {
				is.Equal(log.reasons, []admission.Reason{admission.RefusedByAll}) // at once
			}
		})
	}
}

// Guards against requests that may run more than once losing their retries at full targets.
func TestRepeatableRequestIsSentAgainToFullTargets(t *testing.T) {
	is := is.New(t)
	targets, sender := &fakeTargets{}, &refusingSender{}
	f := forwarderWith(targets, sender, &fakeOccupancies{on: true, slots: 16}, &fakeAdmissionLog{})
	_, err := f.Do(context.Background(), newRequest(), &fakeCaller{})
	is.Equal(errkind.Of(err).HTTPStatus, 503)
	is.True(len(sender.calls) > 2)
	for _, call := range sender.calls {
		is.True(call.Repeatable)
	}
}

// Guards against an answer of a target that is passed on though its status promises callers that the
// request was not run: the client of targets has to report it as a failure.
func TestPromisingStatusIsNoAnswer(t *testing.T) {
	is := is.New(t)
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest} {
		f := forwarderWith(&fakeTargets{}, answerSender(status), &fakeOccupancies{slots: 16}, &fakeAdmissionLog{})
		req := newRequest()
		req.Route = &route.Route{Kind: route.Stream, Attempts: 1, Objective: time.Second}
		_, err := f.Do(context.Background(), req, &fakeCaller{})
		is.NoErr(err)
		is.Equal(f.Checker.Violations() > 0, status != http.StatusBadRequest)
	}
}
