package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/continuation"
	"github.com/marblepond/marblepond/internal/request/fingerprint"
	"github.com/marblepond/marblepond/internal/version/route"
)

// lockedSource is a source for several goroutines: the forwarder asks from timers, too.
type lockedSource struct {
	mu  sync.Mutex
	src rand.Source
}

func (s *lockedSource) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.src.Uint64()
}

// course draws how targets, calls and the caller of one request behave. It counts the calls that a
// target may have run.
type course struct {
	*fakeTargets
	noQuarantine
	random *rand.Rand
	skew   time.Duration // by which the clock has jumped
	ran    int
}

func (c *course) is(share float64) bool { return c.random.Float64() < share }

func (c *course) now() time.Time { return time.Now().Add(c.skew) }

// Choose implements Targets.
func (c *course) Choose(need choose.Need) (choose.Target, bool) {
	if c.is(0.02) {
		c.skew += 3 * time.Second // the VM was suspended
	}
	if c.is(0.3) {
		return choose.Target{}, false
	}
	t, ok := c.fakeTargets.Choose(need)
	t.Version = "v1"
	return t, ok
}

// Supply implements Targets.
func (c *course) Supply(string, continuation.Origin) continuation.Supply {
	if c.is(0.05) {
		return continuation.Gone
	}
	return continuation.Busy
}

// AllEvacuated implements Targets.
func (c *course) AllEvacuated(string) bool { return c.is(0.02) }

// MayHaveItems implements Targets.
func (c *course) MayHaveItems(string) bool { return c.is(0.5) }

// BetterElsewhere implements Targets.
func (c *course) BetterElsewhere(choose.Wait, choose.Need) bool { return c.is(0.3) }

// Refuse implements Quarantine.
func (c *course) Refuse(*fingerprint.Work) error {
	if c.is(0.01) {
		return errkind.CrashesTargets.New("targets crash under it")
	}
	return nil
}

// later calls f after a while in a share of the cases.
func (c *course) later(share float64, f func()) (stop func()) {
	if !c.is(share) {
		return func() {}
	}
	timer := time.AfterFunc(time.Duration(c.random.Int64N(int64(200*time.Millisecond))), f)
	return func() { timer.Stop() }
}

// OnRestart implements Targets.
func (c *course) OnRestart(_ choose.Target, ended func()) func() { return c.later(0.1, ended) }

// OnRefusal implements Quarantine.
func (c *course) OnRefusal(_ *fingerprint.Work, _ func() bool, stop func()) func() {
	return c.later(0.05, stop)
}

// Send implements target.Sender.
func (c *course) Send(ctx context.Context, call target.Call) (*target.Answer, error) {
	time.Sleep(time.Duration(c.random.Int64N(int64(100 * time.Millisecond))))
	failure := func(f target.Failure) (*target.Answer, error) {
		return nil, &target.Error{Failure: f, Cause: errors.New("drawn"), Saturated: f == target.NotRun && c.is(0.8), ConnectionLost: f == target.Broken}
	}
	switch n := c.random.IntN(20); {
	case n < 4:
		return failure(target.NotSent)
	case n < 10:
		return failure(target.NotRun)
	case n < 11:
		return failure(target.WrongInstance)
	case n < 13:
		c.ran++
		return failure(target.Broken)
	case n < 14:
		c.ran++
		<-ctx.Done()
		return failure(target.Cancelled)
	case n < 16:
		c.ran++
		return &target.Answer{Status: []int{http.StatusOK, http.StatusBadRequest, http.StatusInternalServerError, http.StatusGatewayTimeout}[c.random.IntN(4)]}, nil
	}
	c.ran++
	return &target.Answer{Status: http.StatusOK, Stream: &courseStream{course: c, ctx: ctx, next: call.ResumeAfter}}, nil
}

type courseStream struct {
	*course
	ctx  context.Context
	next int64
}

// Next implements target.Stream.
func (s *courseStream) Next() (target.Event, error) {
	pause := 20 * time.Millisecond
	if s.is(0.1) {
		pause = time.Minute
	}
	select {
	case <-s.ctx.Done():
		return target.Event{}, &target.Error{Failure: target.Cancelled, Cause: s.ctx.Err()}
	case <-time.After(pause):
	}
	switch {
	case s.next >= 5:
		return target.Event{}, io.EOF
	case s.is(0.2):
		return target.Event{}, &target.Error{Failure: target.Broken, Cause: errors.New("drawn"), ConnectionLost: s.is(0.5)}
	}
	s.next++
	return target.Event{ID: s.next}, nil
}

// Close implements target.Stream.
func (s *courseStream) Close() error { return nil }

// courseCaller is the caller of a course. It may disconnect.
type courseCaller struct{ course *course }

func (c courseCaller) Respond(*target.Answer) error { return c.write() }
func (c courseCaller) Begin(*target.Answer) error   { return c.write() }
func (c courseCaller) Event(target.Event) error     { return c.write() }
func (c courseCaller) End() error                   { return c.write() }

func (c courseCaller) write() error {
	if c.course.is(0.02) {
		return io.ErrClosedPipe
	}
	return nil
}

// Guards against requests that may run once and run twice, and against requests that are refused as
// not run and have run: after any course of refusals, failures, waits, jumps of the clock, restarts of
// targets, attempts that are stopped and disconnections.
func TestRefusedRequestsHaveNotRun(t *testing.T) {
	is := is.New(t)
	kinds := map[string]int{}
	for seed := range uint64(4000) {
		synctest.Test(t, func(t *testing.T) {
			c := &course{fakeTargets: &fakeTargets{}, random: rand.New(&lockedSource{src: rand.NewPCG(seed, 61)})}
			f := forwarderWith(c, c, &fakeOccupancies{on: c.is(0.5), slots: 16, others: c.random.IntN(24)}, &fakeAdmissionLog{})
			f.Quarantine, f.Now = c, c.now
			req := newRequest()
			req.Route = &route.Route{Kind: route.Stream, Resumable: c.is(0.5), Attempts: 1 + c.random.IntN(3), Objective: 300 * time.Millisecond, GapObjective: 300 * time.Millisecond}
			req.Deadline = req.Arrived.Add(time.Duration(1 + c.random.Int64N(int64(2*time.Second))))
			if c.is(0.2) {
				req.ResumeAfter, req.Resumes = 2, "first"
				if c.is(0.5) {
					f.Origins = &fakeOrigins{known: map[string]continuation.Version{"first": "v1"}}
				}
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+c.random.Int64N(int64(6*time.Second))))
			defer cancel()
			_, err := f.Do(ctx, req, courseCaller{c})
			answer := errkind.Response{Name: "answered"}
			if err != nil {
				answer = errkind.Of(err)
			}
			kinds[answer.Name]++
			if errkind.Is(err, errkind.UnknownOutcome) && c.ran == 0 {
				t.Errorf("seed %d: the request may have run by its status, and was not sent: %v", seed, err)
			}
			if errkind.PromisesNotRun(answer.HTTPStatus) && c.ran > 0 {
				t.Errorf("seed %d: status %d after %d runs: %v", seed, answer.HTTPStatus, c.ran, err)
			}
			if !req.Route.Repeatable() && c.ran > 1 {
				t.Errorf("seed %d: %d runs", seed, c.ran)
			}
			if f.Checker.Violations() > 0 {
				t.Errorf("seed %d: an invariant is violated", seed)
			}
		})
	}
	t.Log(kinds)
	for _, name := range []string{"answered", "overloaded", "no_target", "deadline_unmeetable", "version_gone", "origin_unknown"} {
		is.True(kinds[name] > 0) // each way to refuse is taken
	}
}
