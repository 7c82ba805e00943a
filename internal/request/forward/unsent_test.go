package forward

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/fingerprint"
	"github.com/marblepond/marblepond/internal/version/route"
)

// unreachable never connects to target "a", and answers at all others.
type unreachable struct{}

func (unreachable) Send(ctx context.Context, call target.Call) (*target.Answer, error) {
	if call.Address == "a" {
		<-ctx.Done()
		return nil, &target.Error{Failure: target.NotSent, Cause: ctx.Err()}
	}
	return &target.Answer{Status: http.StatusOK}, nil
}

// suspecting stops each attempt once, and counts what is reported as lost.
type suspecting struct {
	noQuarantine
	stops bool
	lost  int
}

func (s *suspecting) OnRefusal(_ *fingerprint.Work, _ func() bool, stop func()) func() {
	if s.stops {
		s.stops = false
		time.AfterFunc(10*time.Millisecond, stop)
	}
	return func() {}
}

func (s *suspecting) Lost(*fingerprint.Work, choose.Target, time.Time) { s.lost++ }

// Guards against a request that is given up as one that may have run, or takes the blame for a crash,
// though nothing of it was sent: its attempt was cancelled while the connection was being made, because
// the target had restarted or the request was refused for a moment.
func TestCancelledAttemptThatWasNotSentIsSentElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		restart map[string]time.Duration
		stops   bool
	}{"restarted": {map[string]time.Duration{"a": 10 * time.Millisecond}, false}, "refused": {nil, true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				targets, q := &fakeTargets{restartAfter: c.restart}, &suspecting{stops: c.stops}
				f := forwarderWith(targets, unreachable{}, &fakeOccupancies{slots: 16}, &fakeAdmissionLog{})
				f.Quarantine = q
				req := newRequest()
				req.Route = &route.Route{Kind: route.NonIdempotent, Attempts: 2, Objective: 300 * time.Millisecond}
				_, err := f.Do(context.Background(), req, &fakeCaller{})
				is.NoErr(err)
				is.Equal(targets.chosen, []string{"a", "b"})
				is.Equal(q.lost, 0)
			})
		})
	}
}
