package crashes

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/dial"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/fingerprint"
	"github.com/marblepond/marblepond/internal/request/quarantine"
)

// fakeFleet has the states of addresses, the nodes that a watch can call, and the verdict
// store.
type fakeFleet struct {
	mu             sync.Mutex
	now            time.Time
	states         map[string]dial.State
	probes         int
	leaving        map[string]bool
	nodes          map[string]*Watch
	saved          map[fingerprint.ID][]quarantine.Crash
	storeDown      bool
	refusesDeletes bool
	deletes        int           // calls of Delete
	deleter        string        // the node that deletes verdicts of others
	silence        chan struct{} // the verdict store answers once it is closed; nil: at once
}

func newFakeFleet() *fakeFleet {
	return &fakeFleet{now: time.Unix(1_700_000_000, 0), states: map[string]dial.State{}, leaving: map[string]bool{}, nodes: map[string]*Watch{}, saved: map[fingerprint.ID][]quarantine.Crash{}}
}

func (f *fakeFleet) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

func (f *fakeFleet) time() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fakeFleet) probe(_ context.Context, address string) dial.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probes++
	return f.states[address]
}

func (f *fakeFleet) Save(ctx context.Context, work fingerprint.ID, crashes []quarantine.Crash) error {
	if f.silence != nil {
		select {
		case <-f.silence:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeDown {
		return errors.New("the verdict store is unavailable")
	}
	f.saved[work] = crashes
	return nil
}

func (f *fakeFleet) Delete(_ context.Context, work fingerprint.ID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeDown || f.refusesDeletes {
		return errors.New("the verdict store is unavailable")
	}
	f.deletes++
	delete(f.saved, work)
	return nil
}

// start runs the watch of a node until the test ends.
func (f *fakeFleet) start(t *testing.T, node string) *Watch {
	recorder := timeline.NewRecorder(node, 100, &log.Logger{Handler: discard.New()}, tally.NoopScope)
	watch := New(Options{
		Config: quarantine.Config{Limit: 3, Retention: time.Hour}, Probe: f.probe, Store: f, Recorder: recorder, Metrics: tally.NoopScope, OnChange: func() {},
		Now: f.time,
		DeletesEnded: func(fingerprint.ID) bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.deleter == node
		},
		Serving: func(string) int { return 12 },
		Leaving: func(t choose.Target) bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.leaving[t.ID]
		},
		Client: func(node string) (marblepondv1connect.QuarantineServiceClient, bool) {
			other, known := f.nodes[node]
			return other, known
		},
	})
	f.nodes[node] = watch
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		watch.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return watch
}

func targetNo(n int) choose.Target {
	return choose.Target{ID: fmt.Sprint("t", n), Incarnation: 1, Service: "s", Addr: fmt.Sprint("a", n)}
}

func never() bool { return false }

// crash ends a target while work runs there, sent by a node.
func (f *fakeFleet) crash(watch *Watch, n int, work *fingerprint.Work) {
	f.mu.Lock()
	f.states[fmt.Sprint("a", n)] = dial.Refuses
	f.mu.Unlock()
	watch.Lost(work, targetNo(n), time.Time{})
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 300 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("not within 3 s: %s", what)
}

func (w *Watch) crashesKnown() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.table.Hashes(w.Now()))
}

// TestCrashesAtThreeNodes: three nodes detect one crash each. All refuse the work once they
// have exchanged crashes; attempts in flight are stopped, and a node that detected the last
// crash saves the verdict.
func TestCrashesAtThreeNodes(t *testing.T) {
	is := is.New(t)
	fleet := newFakeFleet()
	work := &fingerprint.Work{Path: "/bad"}
	other := &fingerprint.Work{Path: "/good"}
	var watches []*Watch
	for n := range 3 {
		watches = append(watches, fleet.start(t, fmt.Sprint("n", n)))
	}
	stopped := make(chan struct{}, 2)
	defer watches[0].OnRefusal(work, never, func() { stopped <- struct{}{} })()
	defer watches[0].OnRefusal(other, never, func() { t.Error("other work is stopped") })()
	for n, watch := range watches {
		fleet.crash(watch, n, work)
		eventually(t, "the crash is proved", func() bool { return watch.crashesKnown() == 1 })
		fleet.advance(time.Second)
	}
	is.NoErr(watches[0].Refuse(work))
	for range 2 {
		for n, watch := range watches {
			for m, from := range watches {
				if n != m {
					watch.ReceiveDigest(fmt.Sprint("n", m), from.Digest())
				}
			}
		}
		time.Sleep(3 * pullInterval)
	}
	for _, watch := range watches {
		eventually(t, "the node refuses the work", func() bool { return watch.Refuse(work) != nil })
		is.True(errkind.Is(watch.Refuse(work), errkind.CrashesTargets))
		is.NoErr(watch.Refuse(other))
		is.Equal(watch.Digest(), watches[0].Digest())
	}
	<-stopped
	eventually(t, "the verdict is saved", func() bool {
		fleet.mu.Lock()
		defer fleet.mu.Unlock()
		return len(fleet.saved[work.ID()]) == 3
	})
	watches[1].Completed(work, targetNo(5), fleet.time()) // an attempt that was in flight is answered after all
	is.NoErr(watches[1].Refuse(work))
}

// TestWhatProvesNoCrash: a target that accepts connections, one that is unresponsive, and
// one that was known to be leaving make no work suspect.
func TestWhatProvesNoCrash(t *testing.T) {
	for name, c := range map[string]struct {
		state   dial.State
		leaving bool
		ends    time.Duration // until its end is proved after all
	}{"lives": {dial.Accepts, false, time.Second}, "silent": {dial.NoResponse, false, time.Minute}, "leaves": {dial.Refuses, true, 0}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fleet := newFakeFleet()
			watch := fleet.start(t, "n")
			work := &fingerprint.Work{Path: "/x"}
			for n := range 5 {
				fleet.mu.Lock()
				fleet.states[targetNo(n).Addr] = c.state
				fleet.leaving[targetNo(n).ID] = c.leaving
				fleet.mu.Unlock()
				watch.Lost(work, targetNo(n), time.Time{})
			}
			time.Sleep(4 * reprobeDelay)
			fleet.advance(c.ends)
			for n := range 5 {
				watch.Ended(targetNo(n), quarantine.AnotherAtAddress)
			}
			is.Equal(watch.crashesKnown(), 0)
			is.NoErr(watch.Refuse(work))
		})
	}
}

// TestLaterAttemptIsNotSuspected: a target crashes and restarts at its address, and a node
// sends to it before it knows the new incarnation. What is then lost there was not in
// flight at the crash, also where the node learned of the crash from another node.
//
// The failure: a stream that lost two of seven targets killed together was resumed at a
// third, which had been killed with them and had restarted. The earlier end of that target
// was attributed to the stream too. With its three "crashes", only two of the five ends of
// that moment were left as a sign of targets killed together, so that all nodes refused it.
// Its sign in the log of a failing TestTargetsKilledTogetherRefuseNoRequest (lab/hosted):
// target_crashed of a target, here 0.42 s, before the request_dispatched to it that the
// verdict counts against the work.
func TestLaterAttemptIsNotSuspected(t *testing.T) {
	is := is.New(t)
	fleet := newFakeFleet()
	here, there := fleet.start(t, "here"), fleet.start(t, "there")
	work, concurrent := &fingerprint.Work{Path: "/good"}, &fingerprint.Work{Path: "/beside"}
	for n := range 3 {
		fleet.crash(there, n, concurrent)
		eventually(t, "the crash is proved", func() bool { return there.crashesKnown() == n+1 })
		is.NoErr(here.pullFrom(context.Background(), "there", there))
		fleet.advance(time.Second)
		for _, watch := range []*Watch{here, there} {
			later := targetNo(n)
			later.Sent = fleet.time()
			watch.Lost(work, later, time.Time{})
		}
	}
	for _, watch := range []*Watch{here, there} {
		is.True(!watch.Suspected(work))
		is.NoErr(watch.Refuse(work))
	}
	sent := fleet.time()
	fleet.advance(time.Millisecond)
	fleet.crash(there, 3, &fingerprint.Work{Path: "/other"})
	eventually(t, "the crash is proved", func() bool { return there.crashesKnown() == 4 })
	before := targetNo(3)
	before.Sent = sent
	there.Lost(work, before, time.Time{}) // it was in flight there, and its loss is noticed late
	fleet.advance(time.Second)
	is.True(there.Suspected(work))
}

// TestOneProbeForManyLosses: when many requests are lost at a target at once, it is probed
// once, and all of them become suspects of the crash.
func TestOneProbeForManyLosses(t *testing.T) {
	is := is.New(t)
	fleet := newFakeFleet()
	watch := fleet.start(t, "n")
	for i := range 20 {
		fleet.crash(watch, 1, &fingerprint.Work{Path: fmt.Sprint("/", i)})
	}
	eventually(t, "all are suspects", func() bool {
		watch.mu.Lock()
		defer watch.mu.Unlock()
		all := watch.table.All(fleet.now)
		return len(all) == 1 && len(all[0].Suspects) == 20
	})
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	is.Equal(fleet.probes, 1)
}

// TestNothingIsComputedWhileNothingIsKnown: no fingerprint is computed, and the digest is 0.
func TestNothingIsComputedWhileNothingIsKnown(t *testing.T) {
	is := is.New(t)
	fleet := newFakeFleet()
	watch := fleet.start(t, "n")
	var unread *fingerprint.Work // reading it would panic
	is.NoErr(watch.Refuse(unread))
	is.True(!watch.Suspected(unread))
	watch.Completed(unread, targetNo(1), time.Time{})
	is.Equal(watch.Digest(), uint64(0))
}

// TestSameAnswerIsPulledOnce: a node whose digest differs because it holds other crashes than
// fit into this node's table is not pulled from again until its digest changes.
func TestSameAnswerIsPulledOnce(t *testing.T) {
	is := is.New(t)
	fleet := newFakeFleet()
	a, b := fleet.start(t, "a"), fleet.start(t, "b")
	fleet.crash(b, 1, &fingerprint.Work{Path: "/x"})
	eventually(t, "the crash is proved", func() bool { return b.crashesKnown() == 1 })
	is.True(a.needsPull("b", b.Digest()))
	is.NoErr(a.pullFrom(context.Background(), "b", b))
	a.Completed(&fingerprint.Work{Path: "/x"}, targetNo(2), fleet.time()) // now a knows more than b
	is.True(a.Digest() != b.Digest())
	is.True(!a.needsPull("b", b.Digest()))
	is.True(b.needsPull("a", a.Digest()))
}

// BenchmarkRefuse measures the cost for each request, with an empty and a full table, for
// bodies of 1 KB and 1 MB.
func BenchmarkRefuse(b *testing.B) {
	for _, known := range []int{0, 256} {
		for _, size := range []int{1 << 10, 1 << 20} {
			b.Run(fmt.Sprintf("known=%d/body=%d", known, size), func(b *testing.B) {
				watch := New(Options{Config: quarantine.Config{Limit: 3, Retention: time.Hour}, Now: time.Now, Metrics: tally.NoopScope, OnChange: func() {}})
				var crashes []quarantine.Crash
				for n := range known {
					c := quarantine.Crash{Target: quarantine.Target{ID: fmt.Sprint(n), Incarnation: 1}, Age: time.Duration(n) * time.Second, Targets: 12}
					for i := range 8 {
						c.Suspects = append(c.Suspects, (&fingerprint.Work{Path: fmt.Sprint(n, i)}).ID())
					}
					crashes = append(crashes, c)
				}
				watch.Merge(crashes)
				body := make([]byte, size)
				for range b.N {
					if watch.Refuse(&fingerprint.Work{Path: "/x", Body: body}) != nil {
						b.Fatal("refused")
					}
				}
			})
		}
	}
}

// prompted returns work whose prompt has the given shared parts.
func prompted(path string, parts ...string) *fingerprint.Work {
	return &fingerprint.Work{Service: "s", Path: path, PromptParts: func() []string { return parts }}
}

// crashUnderPart ends targets under requests with a part, no two alike, each beside a harmless
// request that is answered afterwards, and has all watches exchange what they know.
func (f *fakeFleet) crashUnderPart(t *testing.T, crashes int, watches ...*Watch) {
	for n := range crashes {
		watch := watches[n%len(watches)]
		f.crash(watch, n, prompted(fmt.Sprint("/bad", n), "common", "bad"))
		f.crash(watch, n, prompted(fmt.Sprint("/lost", n), "common"))
		eventually(t, "the crash is proved", func() bool { return watch.crashesKnown() > 0 && watch.knows(targetNo(n)) })
		f.advance(100 * time.Millisecond)
		watch.Completed(prompted(fmt.Sprint("/good", n), "common"), targetNo(50), f.time())
		f.advance(time.Second)
	}
	for range 2 {
		for _, to := range watches {
			for name, from := range f.nodes {
				if from != to {
					if err := to.pullFrom(context.Background(), name, from); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
	}
}

func (w *Watch) knows(t choose.Target) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.table.All(w.Now()) {
		if c.Target == keyOf(t) {
			return true
		}
	}
	return false
}

// TestPartAtThreeNodes: three nodes see one crash each under requests that share a part of their
// prompts. All nodes then refuse every request with it, and name the part to callers and
// operators. Attempts that have not begun to answer are stopped, others go on.
func TestPartAtThreeNodes(t *testing.T) {
	is := is.New(t)
	fleet := newFakeFleet()
	watches := []*Watch{fleet.start(t, "n0"), fleet.start(t, "n1"), fleet.start(t, "n2")}
	stopped := make(chan struct{}, 1)
	defer watches[0].OnRefusal(prompted("/waits", "common", "bad"), never, func() { stopped <- struct{}{} })()
	defer watches[0].OnRefusal(prompted("/answers", "common", "bad"), func() bool { return true }, func() { t.Error("an answer that arrives is stopped") })()
	defer watches[0].OnRefusal(prompted("/other", "common"), never, func() { t.Error("another request is stopped") })()
	fleet.crashUnderPart(t, 3, watches...)
	for _, watch := range watches {
		err := watch.Refuse(prompted("/new", "common", "third", "bad"))
		is.True(errkind.Is(err, errkind.CrashesTargets))
		is.True(strings.Contains(errkind.Message(err), "part bad;"))
		is.NoErr(watch.Refuse(prompted("/new", "common", "third")))
		answer, err := watch.Quarantine(context.Background(), nil)
		is.NoErr(err)
		is.Equal(len(answer.Refused), 1)
		is.Equal(answer.Refused[0].Parts, []string{"bad"})
	}
	<-stopped
	released, err := watches[0].ReleaseWork(context.Background(), &v1.ReleaseWorkRequest{Work: prompted("/", "bad").PartIDs()[0].String()})
	is.NoErr(err)
	is.True(released.Known)
	is.NoErr(watches[0].Refuse(prompted("/new", "common", "bad")))
}

// TestAnswerThatArrivedIsNotSuspected: the parts of a request whose answer had been arriving for a
// while when its target ended are no suspects of the crash; its work is.
func TestAnswerThatArrivedIsNotSuspected(t *testing.T) {
	is := is.New(t)
	fleet := newFakeFleet()
	watch := fleet.start(t, "n")
	fleet.states[targetNo(1).Addr] = dial.Refuses
	long, young := prompted("/long", "long"), prompted("/young", "young")
	watch.Lost(long, targetNo(1), fleet.time().Add(-quarantine.AnsweringTime))
	watch.Lost(young, targetNo(1), fleet.time().Add(-quarantine.AnsweringTime/2))
	eventually(t, "the crash is proved", func() bool { return watch.crashesKnown() == 1 })
	suspects := watch.table.All(fleet.time())[0].Suspects
	is.True(slices.Contains(suspects, long.ID()))
	is.True(!slices.Contains(suspects, long.PartIDs()[0]))
	is.True(slices.Contains(suspects, young.PartIDs()[0]))
}

// TestNoPartIsRememberedWithoutCrashes: once all crashes have expired, no name of a part is kept.
func TestNoPartIsRememberedWithoutCrashes(t *testing.T) {
	is := is.New(t)
	fleet := newFakeFleet()
	watch := fleet.start(t, "n")
	fleet.crashUnderPart(t, 1, watch)
	names := func() int {
		watch.mu.Lock()
		defer watch.mu.Unlock()
		return len(watch.partNames)
	}
	is.True(names() > 0)
	fleet.advance(2 * time.Hour)
	eventually(t, "no name is kept", func() bool { return watch.idle.Load() && names() == 0 })
}

// TestPartOfAnotherWorkspace: parts are named by callers. A workspace that crashes targets with the
// name of a part of another one has only its own requests refused.
func TestPartOfAnotherWorkspace(t *testing.T) {
	is := is.New(t)
	fleet := newFakeFleet()
	watch := fleet.start(t, "n")
	fleet.crashUnderPart(t, 3, watch)
	is.True(watch.Refuse(prompted("/x", "bad")) != nil)
	other := prompted("/x", "bad")
	other.Workspace = "other"
	is.NoErr(watch.Refuse(other))
	elsewhere := prompted("/x", "bad")
	elsewhere.Service = "another"
	is.NoErr(watch.Refuse(elsewhere))
}
