package choose

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func table(n int, policy Policy) *Table {
	t := New(Config{EjectAfter: 3, EjectTime: time.Second, Policy: policy})
	var list []Target
	for i := range n {
		list = append(list, Target{ID: fmt.Sprintf("t%d", i), Incarnation: 1, Service: "s"})
	}
	t.Set(list)
	for _, target := range list {
		t.Report(target.ID, 1, Load{MaxRunning: 8, Healthy: true, Loaded: []string{"m@1"}, At: start})
	}
	return t
}

// TestLeavingIsForGood: once marked, an incarnation gets nothing, whatever
// stale lists say; a new incarnation does.
func TestLeavingIsForGood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := table(2, Affinity)
		left := map[string]uint64{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"t0", "t1"}).Draw(t, "target")
			incarnation := uint64(rapid.IntRange(1, 3).Draw(t, "incarnation"))
			if rapid.Bool().Draw(t, "leave") {
				tab.Leave(id, incarnation)
				left[id] = max(left[id], incarnation)
			} else {
				tab.Set([]Target{{ID: id, Incarnation: incarnation, Service: "s"}, {ID: "t0", Incarnation: 1, Service: "s"}})
				tab.Report(id, incarnation, Load{MaxRunning: 8, Healthy: true, Loaded: []string{"m@1"}, At: start})
			}
			if target, ok := tab.Choose(start, Need{Service: "s", Loaded: "m@1"}); ok && target.Incarnation <= left[target.ID] {
				t.Fatalf("%s incarnation %d chosen, %d is leaving", target.ID, target.Incarnation, left[target.ID])
			}
		}
	})
}

func TestFailingTargetIsTakenOutAndTriedAgain(t *testing.T) {
	is := is.New(t)
	tab := table(1, LeastLoad)
	need := Need{Service: "s", Loaded: "m@1"}
	for i := range 3 {
		_, ok := tab.Choose(start, need)
		is.True(ok)
		tab.Begin("t0")
		ejected, _ := tab.End(start, "t0", Failure)
		is.Equal(ejected, i == 2)
	}
	_, ok := tab.Choose(start, need)
	is.True(!ok) // out
	later := start.Add(time.Second)
	_, ok = tab.Choose(later, need)
	is.True(ok) // one trial
	_, ok = tab.Choose(later, need)
	is.True(!ok) // and no second one beside it
	tab.Begin("t0")
	_, readmitted := tab.End(later, "t0", Success)
	is.True(readmitted)
	_, ok = tab.Choose(later, need)
	is.True(ok)
}

// TestOneTroubleCountsOnce: many requests lost together take a target out for
// the first time, not for the longest.
func TestOneTroubleCountsOnce(t *testing.T) {
	is := is.New(t)
	tab := table(1, LeastLoad)
	for range 30 {
		tab.Begin("t0")
		tab.End(start, "t0", Failure)
	}
	_, ok := tab.Choose(start.Add(time.Second), Need{Service: "s", Loaded: "m@1"})
	is.True(ok) // a trial after the first eject time
}

// TestLoadIsCorrectedForLag: what was sent since the report counts at once.
func TestLoadIsCorrectedForLag(t *testing.T) {
	is := is.New(t)
	tab := table(4, LeastLoad)
	chosen := map[string]int{}
	for range 16 {
		target, _ := tab.Choose(start, Need{Service: "s", Loaded: "m@1"})
		tab.Begin(target.ID)
		chosen[target.ID]++
	}
	for id, n := range chosen {
		is.Equal(n, 4) // spread evenly though no report came meanwhile
		_ = id
	}
}

// TestAffinityIsBounded: requests of one prefix share a target until it has
// more than its bounded share.
func TestAffinityIsBounded(t *testing.T) {
	is := is.New(t)
	tab := table(4, Affinity)
	counts := map[string]int{}
	for range 24 {
		target, _ := tab.Choose(start, Need{Service: "s", Loaded: "m@1", Prefix: "p"})
		tab.Begin(target.ID)
		counts[target.ID]++
	}
	for _, n := range counts {
		is.True(n <= 8) // 1.25 times the mean of 6, plus one
	}
}

func TestWhatIsNotLoadedIsNotChosen(t *testing.T) {
	is := is.New(t)
	_, ok := table(2, Affinity).Choose(start, Need{Service: "s", Loaded: "m@2"})
	is.True(!ok)
}
