package batch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/marblepond/marblepond/internal/connection/engine"
	"github.com/marblepond/marblepond/internal/record"
	"github.com/marblepond/marblepond/internal/version/fleet"
)

// testAttempts is the number of failed attempts after which an item ends with an
// error; it is the default setting.
const testAttempts = 3

// crashSimulation simulates one item that crashes every target that runs it, and
// many items that do not.
type crashSimulation struct {
	suspects *suspectTracker
	targets  []string
	at       map[string][]*item
	items    []*item
	queue    []*item
	crasher  *item
	now      time.Time
}

func newCrashSimulation(targets, items int) *crashSimulation {
	r := &crashSimulation{suspects: newSuspectTracker(), at: map[string][]*item{}, now: time.Unix(1, 0)}
	for n := range targets {
		r.targets = append(r.targets, fmt.Sprint("t", n))
	}
	for n := range items {
		r.items = append(r.items, &item{index: n})
	}
	r.queue = slices.Clone(r.items)
	return r
}

// start sends an item to a target unless it is a suspect and one runs there already.
func (r *crashSimulation) start(it *item, target string) bool {
	if it.suspect && r.suspects.runningAt(target) {
		return false
	}
	it.target = target
	r.suspects.start(it)
	r.at[target] = append(r.at[target], it)
	return true
}

// crash loses the items that run at a target; the losses are noticed in the given
// order.
func (r *crashSimulation) crash(target string, lost []*item) {
	delete(r.at, target)
	for _, it := range lost {
		if r.suspects.recordLoss(it, r.now) {
			it.attempts++
		}
		r.suspects.end(it)
		if it.attempts < testAttempts {
			r.queue = append(r.queue, it)
		}
	}
}

func TestOrderOfLossesDoesNotMatter(t *testing.T) {
	for _, crasherFirst := range []bool{true, false} {
		is := is.New(t)
		s := newSuspectTracker()
		now := time.Unix(1, 0)
		crasher, other := &item{target: "t"}, &item{target: "t"}
		s.start(crasher)
		s.start(other)
		order := []*item{other, crasher}
		if crasherFirst {
			order = []*item{crasher, other}
		}
		for _, it := range order {
			is.True(s.recordLoss(it, now))
		}
		is.True(crasher.suspect) // also if the other item became a suspect first
		is.True(other.suspect)
	}
}

// TestExcusedItemIsASuspect: an item whose loss did not count, because it ran
// concurrently with a suspect, may be the cause and becomes a suspect itself.
// Otherwise its next loss beside a suspect would not count either.
func TestExcusedItemIsASuspect(t *testing.T) {
	is := is.New(t)
	s := newSuspectTracker()
	crasher, suspect := &item{target: "t"}, &item{target: "t", suspect: true}
	s.start(crasher)
	s.start(suspect)
	is.True(!s.recordLoss(crasher, time.Unix(1, 0)))
	is.True(s.recordLoss(suspect, time.Unix(1, 0)))
	is.True(crasher.suspect)
}

// TestOnlyTheItemThatCrashesTargetsEnds: the item that crashes targets ends with an
// error and no other item does, regardless of the order in which losses are noticed
// and of which items run concurrently at a target.
func TestOnlyTheItemThatCrashesTargetsEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newCrashSimulation(rapid.IntRange(2, 4).Draw(t, "targets"), rapid.IntRange(2, 30).Draw(t, "items"))
		r.crasher = r.queue[rapid.IntRange(0, len(r.queue)-1).Draw(t, "crasher")]
		for _, it := range r.queue {
			// some were lost before, when a target ended for another reason
			it.suspect = rapid.IntRange(0, 3).Draw(t, "lost before") == 0
			if it.suspect {
				it.attempts = 1
			}
		}
		for round := 0; r.crasher.attempts < testAttempts; round++ {
			if round > 1000 {
				t.Fatal("the item that crashes targets is retried without end")
			}
			r.now = r.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			r.startQueued(rapid.Permutation(r.queue).Draw(t, "queue"), t)
			target := r.crasher.target
			if !slices.Contains(r.at[target], r.crasher) {
				r.finishOne()
				continue
			}
			r.crash(target, rapid.Permutation(r.at[target]).Draw(t, "noticed"))
		}
		for _, it := range r.items {
			if it != r.crasher && it.attempts >= testAttempts {
				t.Fatalf("item %d ended, but did not cause the crashes", it.index)
			}
		}
	})
}

// startQueued starts the queued items in the given order at targets drawn at random.
func (r *crashSimulation) startQueued(order []*item, t *rapid.T) {
	r.queue = nil
	for _, it := range order {
		if !r.start(it, rapid.SampledFrom(r.targets).Draw(t, "target")) {
			r.queue = append(r.queue, it)
		}
	}
}

// finishOne ends one item other than the crasher, so that a suspect may start at
// its target.
func (r *crashSimulation) finishOne() {
	for _, target := range r.targets {
		for n, it := range r.at[target] {
			if it != r.crasher {
				r.suspects.end(it)
				r.at[target] = append(r.at[target][:n:n], r.at[target][n+1:]...)
				return
			}
		}
	}
}

// TestWhatWasNotSentIsNoAttempt: an attempt that was not sent to a target does not
// count; the item is requeued each time.
func TestWhatWasNotSentIsNoAttempt(t *testing.T) {
	is := is.New(t)
	w := &Worker{cfg: Config{ItemAttempts: 1}, queues: map[string][]*item{}, suspects: newSuspectTracker()}
	it := &item{lease: &lease{job: record.Job{}}, service: &fleet.Service{Name: "m", Kind: fleet.KindModel}}
	for range 3 {
		w.afterFailure(it, fmt.Errorf("%w: refused", engine.ErrNotSent), nil)
	}
	is.Equal(it.attempts, 0)
	is.Equal(len(w.queues["m"]), 3)
}
