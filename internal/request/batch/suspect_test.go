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

// attempts that an item has before it ends with an error, as in the default
// settings.
const testAttempts = 3

// crashRun plays one item that crashes every target and many that do not.
type crashRun struct {
	suspects *suspects
	targets  []string
	at       map[string][]*item
	items    []*item
	queue    []*item
	killer   *item
	now      time.Time
}

func newCrashRun(targets, items int) *crashRun {
	r := &crashRun{suspects: newSuspects(), at: map[string][]*item{}, now: time.Unix(1, 0)}
	for n := range targets {
		r.targets = append(r.targets, fmt.Sprint("t", n))
	}
	for n := range items {
		r.items = append(r.items, &item{index: n})
	}
	r.queue = slices.Clone(r.items)
	return r
}

// start sends an item to a target unless that would bring two suspects together.
func (r *crashRun) start(it *item, target string) bool {
	if it.suspect && r.suspects.at(target) {
		return false
	}
	it.target = target
	r.suspects.start(it)
	r.at[target] = append(r.at[target], it)
	return true
}

// crash loses what runs at a target, noticed in the order given.
func (r *crashRun) crash(target string, order []*item) {
	delete(r.at, target)
	for _, it := range order {
		if r.suspects.lose(it, r.now) {
			it.attempts++
		}
		r.suspects.end(it)
		if it.attempts < testAttempts {
			r.queue = append(r.queue, it)
		}
	}
}

func TestOrderOfLossesDoesNotMatter(t *testing.T) {
	for _, killerFirst := range []bool{true, false} {
		is := is.New(t)
		s := newSuspects()
		now := time.Unix(1, 0)
		killer, other := &item{target: "t"}, &item{target: "t"}
		s.start(killer)
		s.start(other)
		order := []*item{other, killer}
		if killerFirst {
			order = []*item{killer, other}
		}
		for _, it := range order {
			is.True(s.lose(it, now))
		}
		is.True(killer.suspect) // also when the other one became a suspect first
		is.True(other.suspect)
	}
}

// What is excused beside a suspect may be the cause: beside the next suspect it
// must not be excused again.
func TestExcusedItemIsASuspect(t *testing.T) {
	is := is.New(t)
	s := newSuspects()
	killer, suspect := &item{target: "t"}, &item{target: "t", suspect: true}
	s.start(killer)
	s.start(suspect)
	is.True(!s.lose(killer, time.Unix(1, 0)))
	is.True(s.lose(suspect, time.Unix(1, 0)))
	is.True(killer.suspect)
}

// Whatever the order in which losses are noticed, and whoever shares a target
// with whom, the item that crashes targets ends and no other one does.
func TestOnlyTheItemThatCrashesTargetsEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newCrashRun(rapid.IntRange(2, 4).Draw(t, "targets"), rapid.IntRange(2, 30).Draw(t, "items"))
		r.killer = r.queue[rapid.IntRange(0, len(r.queue)-1).Draw(t, "killer")]
		for _, it := range r.queue {
			// some were lost before, when a target went away for its own reasons
			it.suspect = rapid.IntRange(0, 3).Draw(t, "lost before") == 0
			if it.suspect {
				it.attempts = 1
			}
		}
		for round := 0; r.killer.attempts < testAttempts; round++ {
			if round > 1000 {
				t.Fatal("the item that crashes targets never ends")
			}
			r.now = r.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			r.fill(rapid.Permutation(r.queue).Draw(t, "queue"), t)
			target := r.killer.target
			if !slices.Contains(r.at[target], r.killer) {
				r.finishOne()
				continue
			}
			r.crash(target, rapid.Permutation(r.at[target]).Draw(t, "noticed"))
		}
		for _, it := range r.items {
			if it != r.killer && it.attempts >= testAttempts {
				t.Fatalf("item %d is blamed for the crashes", it.index)
			}
		}
	})
}

func (r *crashRun) fill(order []*item, t *rapid.T) {
	r.queue = nil
	for _, it := range order {
		if !r.start(it, rapid.SampledFrom(r.targets).Draw(t, "target")) {
			r.queue = append(r.queue, it)
		}
	}
}

// finishOne ends one item that is no killer, which makes room for a suspect.
func (r *crashRun) finishOne() {
	for _, target := range r.targets {
		for n, it := range r.at[target] {
			if it != r.killer {
				r.suspects.end(it)
				r.at[target] = append(r.at[target][:n:n], r.at[target][n+1:]...)
				return
			}
		}
	}
}

// An attempt that no target took is none: the item is queued again, however often
// that happens.
func TestWhatWasNotSentIsNoAttempt(t *testing.T) {
	is := is.New(t)
	w := &Worker{cfg: Config{ItemAttempts: 1}, queues: map[string][]*item{}, suspects: newSuspects()}
	it := &item{lease: &lease{job: record.Job{}}, service: &fleet.Service{Name: "m", Kind: fleet.KindModel}}
	for range 3 {
		w.afterFailure(it, fmt.Errorf("%w: refused", engine.ErrNotSent), nil)
	}
	is.Equal(it.attempts, 0)
	is.Equal(len(w.queues["m"]), 3)
}
