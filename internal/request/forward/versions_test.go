package forward

import (
	"context"
	"errors"
	"testing"
	"time"

	apex "github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/continuation"
	"github.com/marblepond/marblepond/internal/version/route"
)

// versionedTargets chooses among targets with versions, in their order.
type versionedTargets struct {
	fakeTargets
	list  []choose.Target
	onEnd func() // called after each attempt; nil: nothing is
}

func (f *versionedTargets) End(t choose.Target, outcome choose.Outcome) {
	f.fakeTargets.End(t, outcome)
	if f.onEnd != nil {
		f.onEnd()
	}
}

// newForwarder returns a forwarder, and resumableRequest a request for a stream that it may
// resume.
func newForwarder(targets Targets, sender target.Sender) *Forwarder {
	recorder := timeline.NewRecorder("n", 10, &apex.Logger{Handler: discard.New()}, tally.NoopScope)
	return &Forwarder{Targets: targets, Sender: sender, Quarantine: noQuarantine{}, Log: &fakeLog{}, Checker: invariant.New(recorder, false), Now: time.Now}
}

func resumableRequest(id string) *Request {
	now := time.Now()
	return &Request{ID: id, Service: "s", Arrived: now, Deadline: now.Add(5 * time.Second),
		Route: &route.Route{Kind: route.Stream, Resumable: true, Attempts: 2, Timeout: 5 * time.Second, Objective: 200 * time.Millisecond, GapObjective: 200 * time.Millisecond}}
}

func (f *versionedTargets) Choose(need choose.Need) (choose.Target, bool) {
	for _, t := range f.list {
		if !need.Exclude[t.ID] && need.Origin.Allows(t.Version) {
			f.chosen = append(f.chosen, t.ID)
			if f.inFlight == nil {
				f.inFlight = map[string]int{}
			}
			f.inFlight[t.ID]++
			return t, true
		}
	}
	return choose.Target{}, false
}

func (f *versionedTargets) Supply(_ string, o continuation.Origin) continuation.Supply {
	for _, t := range f.list {
		if o.Allows(t.Version) {
			return continuation.Busy
		}
	}
	return continuation.Gone
}

// BetterElsewhere reports whether a target other than that of the wait may take the request.
func (f *versionedTargets) BetterElsewhere(w choose.Wait, need choose.Need) bool {
	for _, t := range f.list {
		if t.ID != w.Target.ID && need.Origin.Allows(t.Version) {
			return true
		}
	}
	return false
}

// brokenSender breaks off every stream of some targets after its first event.
type brokenSender struct {
	slowSender
	broken map[string]bool
}

func (s brokenSender) Send(ctx context.Context, call target.Call) (*target.Answer, error) {
	answer, err := s.slowSender.Send(ctx, call)
	if err == nil && s.broken[call.Address] {
		answer.Stream = &brokenStream{Stream: answer.Stream}
	}
	return answer, err
}

type brokenStream struct {
	target.Stream
	events int
}

func (s *brokenStream) Next() (target.Event, error) {
	if s.events++; s.events > 1 {
		return target.Event{}, &target.Error{Failure: target.Broken, Cause: errors.New("reset"), ConnectionLost: true}
	}
	return s.Stream.Next()
}

// TestBrokenStreamSkipsOtherVersions guards against a broken stream that is continued at the
// next free target, which has another version.
func TestBrokenStreamSkipsOtherVersions(t *testing.T) {
	is := is.New(t)
	targets := &versionedTargets{list: []choose.Target{{ID: "a", Addr: "a", Version: "v1"}, {ID: "b", Addr: "b", Version: "v2"}, {ID: "c", Addr: "c", Version: "v1"}}}
	f := newForwarder(targets, brokenSender{slowSender{}, map[string]bool{"a": true}})
	_, err := f.Do(context.Background(), resumableRequest("r"), &fakeCaller{})
	is.NoErr(err)
	is.Equal(targets.chosen, []string{"a", "c"})
}

// TestStreamOfReplacedVersionEndsAtOnce guards against a broken stream that waits until its
// deadline although no target of its version is left.
func TestStreamOfReplacedVersionEndsAtOnce(t *testing.T) {
	is := is.New(t)
	targets := &versionedTargets{list: []choose.Target{{ID: "a", Addr: "a", Version: "v1"}, {ID: "b", Addr: "b", Version: "v2"}}}
	f := newForwarder(targets, brokenSender{slowSender{}, map[string]bool{"a": true}})
	targets.onEnd = func() { targets.list = targets.list[1:] }
	asked := time.Now()
	begun, err := f.Do(context.Background(), resumableRequest("r"), &fakeCaller{})
	is.True(begun)
	is.True(errkind.Is(err, errkind.TargetFailed))
	is.Equal(errkind.Of(err).RetryAfter, time.Duration(0)) // coming back does not help
	is.True(time.Since(asked) < 500*time.Millisecond)
	is.Equal(targets.chosen, []string{"a"})
}

// TestPauseAtTheOnlyTargetOfAVersion guards against a stream that is given up in a pause after
// its first event because a target of another version would be sooner.
func TestPauseAtTheOnlyTargetOfAVersion(t *testing.T) {
	is := is.New(t)
	targets := &versionedTargets{list: []choose.Target{{ID: "a", Addr: "a", Version: "v1"}, {ID: "b", Addr: "b", Version: "v2"}}}
	f := newForwarder(targets, pausingSender{})
	_, err := f.Do(context.Background(), resumableRequest("r"), &fakeCaller{})
	is.NoErr(err)
	is.Equal(targets.chosen, []string{"a"})
}

// pausingSender answers with streams that pause after their first event.
type pausingSender struct{}

func (pausingSender) Send(ctx context.Context, call target.Call) (*target.Answer, error) {
	answer, err := slowSender{}.Send(ctx, call)
	answer.Stream = &pausingStream{Stream: answer.Stream, ctx: ctx}
	return answer, err
}

type pausingStream struct {
	target.Stream
	ctx    context.Context
	events int
}

func (s *pausingStream) Next() (target.Event, error) {
	if s.events++; s.events == 2 {
		select {
		case <-time.After(300 * time.Millisecond):
		case <-s.ctx.Done():
			return target.Event{}, &target.Error{Failure: target.Cancelled, Cause: s.ctx.Err()}
		}
	}
	return s.Stream.Next()
}
