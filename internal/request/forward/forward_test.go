package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	apex "github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/clock"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/fingerprint"
	"github.com/marblepond/marblepond/internal/request/quarantine"
	"github.com/marblepond/marblepond/internal/version/route"
)

// fakeTargets hands out the targets "a", "b" and so on, and says whether another
// one is better than a silent one.
type fakeTargets struct {
	mu     sync.Mutex
	chosen []string
	better bool
	asked  int
	there  map[string]int // attempts that are counted, by target

	restarts  map[string]time.Duration
	items     bool // batch items are at the targets
	evacuated bool // all targets stand in data centres that are
}

func (f *fakeTargets) Choose(need choose.Need) (choose.Target, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range []string{"a", "b"} {
		if !need.Exclude[id] && !f.evacuated {
			f.chosen = append(f.chosen, id)
			if f.there == nil {
				f.there = map[string]int{}
			}
			f.there[id]++
			return choose.Target{ID: id, Addr: id}, true
		}
	}
	return choose.Target{}, false
}

func (f *fakeTargets) Better(string, choose.Need, time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	return f.better
}

func (f *fakeTargets) RoomExpected(string) bool { return f.items }
func (f *fakeTargets) AllEvacuated(string) bool { return f.evacuated }

func (f *fakeTargets) End(t choose.Target, _ choose.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.there[t.ID]--
}

// countAt returns how many attempts are counted at a target.
func (f *fakeTargets) countAt(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.there[id]
}

func (f *fakeTargets) FirstEvent(choose.Target, time.Duration) {}
func (f *fakeTargets) Occupied(string, time.Duration)          {}
func (f *fakeTargets) Heard(choose.Target)                     {}
func (f *fakeTargets) Saturated(choose.Target)                 {}
func (f *fakeTargets) Leave(choose.Target, string)             {}

// WhenGone tells that a target has started again after the time set for it.
func (f *fakeTargets) WhenGone(t choose.Target, ended func()) func() {
	after, set := f.restarts[t.ID]
	if !set {
		return func() {}
	}
	timer := time.AfterFunc(after, ended)
	return func() { timer.Stop() }
}

// noQuarantine knows of no work under which targets crash.
type noQuarantine struct{}

func (noQuarantine) Refuse(*fingerprint.Work) error             { return nil }
func (noQuarantine) Suspected(*fingerprint.Work) bool           { return false }
func (noQuarantine) Lost(*fingerprint.Work, choose.Target)      {}
func (noQuarantine) Completed(*fingerprint.Work)                {}
func (noQuarantine) Ended(choose.Target, quarantine.Proof)      {}
func (noQuarantine) EndedBefore(choose.Target) bool             { return false }
func (noQuarantine) OnRefusal(*fingerprint.Work, func()) func() { return func() {} }

// slowSender answers with three events, the first after a time that depends on
// the target.
type slowSender map[string]time.Duration

func (s slowSender) Send(ctx context.Context, call target.Call) (*target.Answer, error) {
	return &target.Answer{Status: http.StatusOK, Stream: &slowStream{ctx: ctx, first: s[call.Address], next: call.ResumeAfter}}, nil
}

type slowStream struct {
	ctx   context.Context
	first time.Duration
	next  int64
}

func (s *slowStream) Next() (target.Event, error) {
	select {
	case <-s.ctx.Done():
		return target.Event{}, &target.Error{End: target.GivenUp, Cause: s.ctx.Err()}
	case <-time.After(s.first):
	}
	s.first = 0
	if s.next == 3 {
		return target.Event{}, io.EOF
	}
	s.next++
	return target.Event{ID: s.next}, nil
}

func (s *slowStream) Close() error { return nil }

// fakeCaller counts the events that it gets, and log keeps the answer's summary.
type fakeCaller struct{ events int }

func (c *fakeCaller) Respond(*target.Answer) error { return nil }
func (c *fakeCaller) Begin(*target.Answer) error   { return nil }
func (c *fakeCaller) Event(target.Event) error     { c.events++; return nil }
func (c *fakeCaller) End() error                   { return nil }

type fakeLog struct{ answer AnswerSummary }

func (l *fakeLog) Sent(*Request, choose.Target, int64)                        {}
func (l *fakeLog) Failed(*Request, choose.Target, int64, error)               {}
func (l *fakeLog) Refused(*Request, error)                                    {}
func (l *fakeLog) Answered(_ *Request, _ choose.Target, answer AnswerSummary) { l.answer = answer }

// carry carries a stream that may be resumed, carryOnce one that may run once.
func carry(targets *fakeTargets, sender target.Sender, log Log, caller Caller) error {
	return carryStream(targets, sender, log, caller, true)
}

func carryOnce(targets *fakeTargets, sender target.Sender, log Log, caller Caller) error {
	return carryStream(targets, sender, log, caller, false)
}

func carryStream(targets *fakeTargets, sender target.Sender, log Log, caller Caller, resumable bool) error {
	return carryBy(time.Now, targets, sender, log, caller, resumable)
}

// carryBy tells deadlines by a clock.
func carryBy(clock func() time.Time, targets *fakeTargets, sender target.Sender, log Log, caller Caller, resumable bool) error {
	recorder := timeline.NewRecorder("n", 10, &apex.Logger{Handler: discard.New()}, tally.NoopScope)
	f := Forwarder{Targets: targets, Sender: sender, Quarantine: noQuarantine{}, Log: log, Checker: invariant.New(recorder, false), Now: clock}
	now := clock()
	req := &Request{ID: "r", Service: "s", Arrived: now, Deadline: now.Add(5 * time.Second),
		Route: &route.Route{Kind: route.Stream, Resumable: resumable, Attempts: 2, Objective: 200 * time.Millisecond, GapObjective: 200 * time.Millisecond}}
	_, err := f.Do(context.Background(), req, caller)
	return err
}

// TestQueuedRequestKeepsItsPlace: a request whose first event is late because it
// waits its turn at a target stays there while no other is better. Given up after
// half of the objective, it would lose its place, be last elsewhere, and end as
// failed where no target is left.
func TestQueuedRequestKeepsItsPlace(t *testing.T) {
	is := is.New(t)
	targets := &fakeTargets{}
	log, caller := &fakeLog{}, &fakeCaller{}
	is.NoErr(carry(targets, slowSender{"a": 300 * time.Millisecond}, log, caller))
	is.Equal(targets.chosen, []string{"a"})
	is.Equal(caller.events, 3)
	is.True(targets.asked > 1) // it looked for a better place again and again
	is.True(log.answer.FirstEvent >= 300*time.Millisecond)
	is.Equal(log.answer.Events, int64(3))
}

// TestSilentTargetIsLeftForABetterOne: when another target would be sooner, a
// silent one is given up after half of the objective.
func TestSilentTargetIsLeftForABetterOne(t *testing.T) {
	is := is.New(t)
	targets := &fakeTargets{better: true}
	log, caller := &fakeLog{}, &fakeCaller{}
	began := time.Now()
	is.NoErr(carry(targets, slowSender{"a": time.Minute}, log, caller))
	is.Equal(targets.chosen, []string{"a", "b"})
	is.Equal(caller.events, 3)
	is.True(time.Since(began) < time.Second)
}

// TestRestartedTargetIsLeftAtOnce: a target that is known to have started again has
// lost what ran there, though the connection shows nothing. A stream that may be
// resumed goes on elsewhere; one that may run once ends as of unknown outcome, and
// neither waits for its silence to be noticed.
func TestRestartedTargetIsLeftAtOnce(t *testing.T) {
	is := is.New(t)
	targets := &fakeTargets{restarts: map[string]time.Duration{"a": 20 * time.Millisecond}}
	log, caller := &fakeLog{}, &fakeCaller{}
	began := time.Now()
	is.NoErr(carry(targets, slowSender{"a": time.Minute}, log, caller))
	is.Equal(targets.chosen, []string{"a", "b"})
	is.Equal(caller.events, 3)
	is.True(time.Since(began) < 100*time.Millisecond) // half of the objective

	targets = &fakeTargets{restarts: map[string]time.Duration{"a": 20 * time.Millisecond}}
	err := carryOnce(targets, slowSender{"a": time.Minute}, log, caller)
	is.Equal(errkind.Of(err).NotRun, errkind.NotRunUnknown)
	is.Equal(targets.chosen, []string{"a"})
}

// fullSender refuses at every target, as full ones do, until a time.
type fullSender struct {
	until time.Time
	then  target.Sender
}

func (s fullSender) Send(ctx context.Context, call target.Call) (*target.Answer, error) {
	if time.Now().Before(s.until) {
		return nil, &target.Error{End: target.NotRun, Saturated: true}
	}
	return s.then.Send(ctx, call)
}

// TestRefusedRequestCountsWhileItWaits: what was seen: with a target full of batch items
// of another node, an online request was refused after 60 ms and no item had made room
// (3 of 20 plays of TestOnlineGoesFirst beside busy processes). How it came about: the
// target refuses within 0.3 ms, and the request waited 10 ms before it was sent again.
// Cause: it counted at the target for those 0.3 ms only, so that the datagrams to the
// other node said that nothing waited there. Proof: 40 of 40 plays pass with the count
// kept until the request is sent again.
func TestRefusedRequestCountsWhileItWaits(t *testing.T) {
	is := is.New(t)
	targets := &fakeTargets{}
	began := time.Now()
	done := make(chan error)
	go func() {
		done <- carry(targets, fullSender{began.Add(25 * time.Millisecond), slowSender{}}, &fakeLog{}, &fakeCaller{})
	}()
	counted, looks := 0, 0
	for time.Since(began) < 25*time.Millisecond {
		time.Sleep(time.Millisecond)
		looks++
		if targets.countAt("a")+targets.countAt("b") > 0 {
			counted++
		}
	}
	is.NoErr(<-done)
	t.Logf("counted in %d of %d looks", counted, looks)
	is.True(counted >= looks/2)
	is.Equal(targets.countAt("a")+targets.countAt("b"), 0) // and no more than once
}

// TestRoomOfItemsIsWaitedFor: a request that full targets refuse is refused after a part of
// its objective, which leaves its caller time to be served elsewhere. Where batch items are
// to make room it waits for that, as long as it can begin in time.
func TestRoomOfItemsIsWaitedFor(t *testing.T) {
	const objective = 200 * time.Millisecond
	for _, c := range []struct {
		name   string
		items  bool
		room   time.Duration // until the targets take it
		served bool
		within time.Duration // it is served or refused
	}{
		{"no items", false, 150 * time.Millisecond, false, 100 * time.Millisecond},
		{"items make room", true, 150 * time.Millisecond, true, objective},
		{"items make no room", true, time.Minute, false, objective + 100*time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			began := time.Now()
			err := carry(&fakeTargets{items: c.items}, fullSender{began.Add(c.room), slowSender{}}, &fakeLog{}, &fakeCaller{})
			is.Equal(err == nil, c.served)
			is.True(time.Since(began) < c.within)
			if err != nil {
				is.Equal(errkind.Of(err).NotRun, errkind.NotRunTrue)
			}
		})
	}
}

// TestNoTargetLeftIsSaidAtOnce: where all targets are evacuated a request waits for
// nothing, though items may still run there.
func TestNoTargetLeftIsSaidAtOnce(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	err := carry(&fakeTargets{evacuated: true, items: true}, slowSender{}, &fakeLog{}, &fakeCaller{})
	is.True(time.Since(began) < roomPause)
	is.True(errkind.Is(err, errkind.NoTarget))
	is.True(strings.Contains(errkind.Message(err), "evacuated"))
	is.Equal(errkind.Of(err).NotRun, errkind.NotRunTrue)
	is.True(errkind.Of(err).RetryAfter > 0)
}

// TestDeadlineCountsSuspensions: a machine that was suspended for longer than a
// request had left sends it to no further target: its caller has given up, and the
// target would be told a time that is over. No timer tells it so; timers stood still.
func TestDeadlineCountsSuspensions(t *testing.T) {
	is := is.New(t)
	var suspended atomic.Int64
	slept := clock.NewShifted(func() time.Duration { return time.Duration(suspended.Load()) })
	targets := &fakeTargets{restarts: map[string]time.Duration{"a": 100 * time.Millisecond}}
	time.AfterFunc(50*time.Millisecond, func() { suspended.Store(int64(10 * time.Second)) })
	err := carryBy(slept.Now, targets, slowSender{"a": time.Minute}, &fakeLog{}, &fakeCaller{}, true)
	is.Equal(targets.chosen, []string{"a"})
	is.True(errkind.Is(err, errkind.DeadlineExceeded))
}
