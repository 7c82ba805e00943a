package job

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/errkind"
)

// waitingSubmission returns a job whose caller waits for 5 s and whose objective is 300 ms.
func waitingSubmission(id string, limit time.Duration) *Submission {
	s := bodySubmission(id, 2)
	s.Route.Objective = 300 * time.Millisecond
	s.Deadline = s.Arrived.Add(limit)
	return s
}

// TestJobWaitsForTheStore: a job that is submitted while the object store is away is accepted
// when it answers within the objective, with one write or with two. Time is virtual: beside other
// work on the processors the objective may pass before the store is asked again.
func TestJobWaitsForTheStore(t *testing.T) {
	for name, latency := range map[string]time.Duration{"one write": time.Millisecond, "two writes": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newCallCounter()
				nodes, _ := newSharedManagers(store, 1)
				nodes[0].StoreLatency = func() time.Duration { return latency }
				store.away.Store(true)
				time.AfterFunc(150*time.Millisecond, func() { store.away.Store(false) })
				s := waitingSubmission("job", 5*time.Second)
				is.NoErr(nodes[0].Submit(context.Background(), s))
				is.True(time.Since(s.Arrived) < s.Route.Objective+maxSubmitBackoff)
				close(nodes[0].stopped) // ends the loop that commits the job's results
			})
		})
	}
}

// TestJobIsTriedAtOnce: a submission that waits for the object store is tried as soon as the
// store has answered another node, without the rest of the delay between two tries.
func TestJobIsTriedAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	nodes, _ := newSharedManagers(newCallCounter(), 1)
	m := nodes[0]
	var resumed time.Time
	m.StoreResumed = func(since time.Time) bool { return resumed.After(since) }
	started := time.Now()
	is.True(m.awaitStore(context.Background(), started, 100*time.Millisecond))
	is.True(time.Since(started) >= 100*time.Millisecond)
	resumed = time.Now()
	started = time.Now()
	is.True(m.awaitStore(context.Background(), resumed.Add(-time.Second), time.Minute))
	is.True(time.Since(started) < time.Second)
}

// TestJobIsRefusedWhileTheStoreIsAway: after the objective a job is refused as not run, with a
// Retry-After that its caller honours, and nothing of it is stored. When its caller returns,
// with less time left, the job waits until that is over, and is accepted if the object store
// answers by then.
func TestJobIsRefusedWhileTheStoreIsAway(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store := newCallCounter()
	nodes, _ := newSharedManagers(store, 2)
	store.away.Store(true)
	s := waitingSubmission("job", 5*time.Second)
	err := nodes[0].Submit(context.Background(), s)
	took := time.Since(s.Arrived)
	is.True(took >= s.Route.Objective && took < 2*s.Route.Objective)
	answer := errkind.Of(err)
	is.Equal(answer.NotRun, errkind.NotRunTrue)
	is.True(answer.RetryAfter > time.Second)
	is.True(answer.RetryAfter <= time.Until(s.Deadline)/3+10*time.Millisecond)
	is.Equal(store.memoryStore.count(KindHeads)+store.memoryStore.count(KindItems), 0)

	is.True(!nodes[1].observeTimeLimit(waitingSubmission("of another caller", 5*time.Second)))
	time.AfterFunc(time.Second, func() { store.away.Store(false) }) // beyond the objective
	is.NoErr(nodes[1].Submit(context.Background(), waitingSubmission("job", 3*time.Second)))
}

// TestRefusalIsTrue: once a write of the head was sent and not answered, the job may run, so
// that no refusal follows. The write is recognised when the object store answers again, also
// after the objective.
func TestRefusalIsTrue(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	store := newCallCounter()
	nodes, _ := newSharedManagers(store, 1)
	m := nodes[0]
	store.loseCreates.Store(1)
	m.Store = awayAfterCreate{store}
	time.AfterFunc(600*time.Millisecond, func() { store.away.Store(false) })
	s := waitingSubmission("job", 5*time.Second)
	is.NoErr(m.Submit(context.Background(), s))
	is.True(time.Since(s.Arrived) > s.Route.Objective)
	is.Equal(len(m.held["job"].items), 2)
	is.Equal(store.memoryStore.count(KindHeads), 1)

	store.loseCreates.Store(1)
	unknown := waitingSubmission("unknown", time.Second) // the store stays away
	err := m.Submit(context.Background(), unknown)
	is.Equal(errkind.Of(err).NotRun, errkind.NotRunUnknown)
}

// awayAfterCreate is a store that is away after each create whose answer is lost.
type awayAfterCreate struct{ *callCounter }

func (s awayAfterCreate) Create(ctx context.Context, class callbudget.Class, kind, name string, value []byte) (objects.Object, error) {
	lost := s.loseCreates.Load() > 0
	o, err := s.callCounter.Create(ctx, class, kind, name, value)
	if lost {
		s.away.Store(true)
	}
	return o, err
}

// TestReturningSubmissionIsRecognised: a submission follows a refusal if its time limit is
// clearly shorter than that of others of its route. One limit that was long once does not
// count for ever.
func TestReturningSubmissionIsRecognised(t *testing.T) {
	is := is.New(t)
	limits, now := timeLimits{}, time.Unix(1000, 0)
	const none, routeLimit = time.Duration(0), 5 * time.Second
	is.True(limits.observe("r", 3*time.Second, routeLimit, now)) // no other is known
	is.True(!limits.observe("r", 4*time.Second, routeLimit, now))
	is.True(!limits.observe("r", 5*time.Second, routeLimit, now))
	is.True(!limits.observe("r", 5*time.Second-returningMargin/2, routeLimit, now)) // on the way for longer
	is.True(limits.observe("r", 4*time.Second, routeLimit, now))
	is.True(!limits.observe("without a limit", 3*time.Second, none, now))
	is.True(limits.observe("without a limit", 2*time.Second, none, now))
	now = now.Add(timeLimitValidFor + time.Second)
	is.True(!limits.observe("r", 4*time.Second, routeLimit, now))
	is.True(!limits.observe("r", 4*time.Second, routeLimit, now))
}

// TestRetryAfterOutage: the Retry-After is in the last part of what callers honour, and spread.
func TestRetryAfterOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left := time.Duration(rapid.IntRange(-1000, 10000).Draw(t, "left")) * time.Millisecond
		after := retryAfterOutage(left, rapid.Float64Range(0, 1).Draw(t, "spread"))
		longest := max(0, left/3)
		if after > longest+time.Microsecond || after < time.Duration(minRetryAfterShare*float64(longest))-time.Microsecond {
			t.Fatal(fmt.Sprint(left, after))
		}
	})
}

// Guards against an end of a job that is refused as not done, and takes effect: its caller would take
// the job for open, and its items are not run any more.
func TestRefusedEndIsNotDone(t *testing.T) {
	t.Parallel()
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprint("lost=", lost), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			store := newCallCounter()
			nodes, _ := newSharedManagers(store, 1)
			m := nodes[0]
			is.NoErr(m.Submit(context.Background(), waitingSubmission("job", 5*time.Second)))
			if lost {
				store.loseCreates.Store(1)
				m.Store = awayAfterCreate{store}
			} else {
				store.away.Store(true)
			}
			answer := errkind.Of(m.EndJob(context.Background(), "job"))
			is.Equal(store.memoryStore.count(KindEnds) > 0, lost)
			is.Equal(errkind.PromisesNotRun(answer.HTTPStatus), !lost)
			is.Equal(answer.NotRun == errkind.NotRunTrue, !lost)
		})
	}
}
