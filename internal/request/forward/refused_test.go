package forward

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/request/admission"
	"github.com/marblepond/marblepond/internal/request/choose"
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

// ejectedTargets chooses target "a" only: "b" is listed and ejected.
type ejectedTargets struct{ fakeTargets }

func (f *ejectedTargets) Choose(need choose.Need) (choose.Target, bool) {
	return choose.Target{ID: "a", Addr: "a"}, !need.Exclude["a"]
}

func (f *ejectedTargets) End(choose.Target, choose.Outcome) {}

// firstRefuses refuses the request "first" once, and answers all others.
type firstRefuses struct {
	mu     sync.Mutex
	sentAt map[string][]time.Time
}

func (s *firstRefuses) Send(_ context.Context, call target.Call) (*target.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentAt[call.RequestID] = append(s.sentAt[call.RequestID], time.Now())
	if call.RequestID == "first" && len(s.sentAt["first"]) == 1 {
		return nil, &target.Error{Failure: target.NotRun, Saturated: true, Cause: fmt.Errorf("status 503")}
	}
	return &target.Answer{Status: http.StatusOK}, nil
}

// Guards against a refused request that may not return to its target and keeps the requests behind
// it from that target while it is queued for others.
func TestRefusedRequestKeepsNoOtherWaiting(t *testing.T) {
	is := is.New(t)
	sender := &firstRefuses{sentAt: map[string][]time.Time{}}
	f := forwarderWith(&ejectedTargets{}, sender, &fakeOccupancies{on: true, slots: 16}, &fakeAdmissionLog{})
	const objective = time.Second
	var wait sync.WaitGroup
	began := time.Now()
	for i, id := range []string{"first", "second"} {
		r := newRequest()
		r.ID, r.Priority = id, i
		r.Route = &route.Route{Kind: route.NonIdempotent, Attempts: 2, Objective: objective}
		wait.Go(func() { _, _ = f.Do(context.Background(), r, &fakeCaller{}) })
		time.Sleep(objective / 50)
	}
	wait.Wait()
	is.Equal(len(sender.sentAt["second"]), 1)
	is.True(sender.sentAt["second"][0].Sub(began) < objective/10)
}

// fullTargets has a target that refuses requests, and one that is full.
type fullTargets struct{ fakeTargets }

func (f *fullTargets) Choose(need choose.Need) (choose.Target, bool) {
	need.Exclude = map[string]bool{"a": need.Exclude["a"], "b": true}
	return f.fakeTargets.Choose(need)
}

// Guards against batch items that yield at a target to a request that is not sent there again.
func TestRefusedRequestWaitsAtNoTargetThatRefusedIt(t *testing.T) {
	is := is.New(t)
	targets := &fullTargets{}
	f := forwarderWith(targets, &refusingSender{}, &fakeOccupancies{on: true, slots: 16}, &fakeAdmissionLog{})
	req := newRequest()
	req.Route = &route.Route{Kind: route.NonIdempotent, Attempts: 2, Objective: time.Second}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = f.Do(context.Background(), req, &fakeCaller{})
	}()
	time.Sleep(50 * time.Millisecond)
	is.Equal(targets.countAt("a"), 0)
	<-done
	is.Equal(targets.chosen, []string{"a"})
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

// refusesOnce refuses the first call at each target and answers all others.
type refusesOnce struct{ refusingSender }

func (s *refusesOnce) Send(ctx context.Context, call target.Call) (*target.Answer, error) {
	again := slices.ContainsFunc(s.calls, func(c target.Call) bool { return c.Address == call.Address })
	_, err := s.refusingSender.Send(ctx, call)
	if again {
		return &target.Answer{Status: http.StatusOK}, nil
	}
	return nil, err
}

// Guards against a request that may run once and is refused while batch items make room for it.
func TestRefusedRequestWaitsForTheRoomOfItems(t *testing.T) {
	for _, sharedView := range []bool{false, true} {
		t.Run(fmt.Sprint("sharedView=", sharedView), func(t *testing.T) {
			is := is.New(t)
			sender := &refusesOnce{}
			f := forwarderWith(&fakeTargets{hasItems: true}, sender, &fakeOccupancies{on: sharedView, slots: 16}, &fakeAdmissionLog{})
			req := newRequest()
			req.Route = &route.Route{Kind: route.Stream, Attempts: 2, Objective: 300 * time.Millisecond}
			_, err := f.Do(context.Background(), req, &fakeCaller{})
			is.NoErr(err)
			last := len(sender.calls) - 1
			for i, call := range sender.calls {
				is.Equal(call.AwaitsRoom, i == last) // the first send to a target proves by itself
			}
		})
	}
}
