package choose

import (
	"fmt"
	"math/rand/v2"
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
	t.SetTargets(list)
	for _, target := range list {
		t.RecordLoad(target.ID, 1, Load{MaxRunning: 8, Healthy: true, Loaded: []string{"m@1"}, At: start})
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
				tab.MarkLeaving(id, incarnation)
				left[id] = max(left[id], incarnation)
			} else {
				tab.SetTargets([]Target{{ID: id, Incarnation: incarnation, Service: "s"}, {ID: "t0", Incarnation: 1, Service: "s"}})
				tab.RecordLoad(id, incarnation, Load{MaxRunning: 8, Healthy: true, Loaded: []string{"m@1"}, At: start})
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

func slotTable(now time.Time) *Table {
	t := New(Config{EjectAfter: 2, EjectTime: time.Second, Policy: LeastLoad, LocalDataCentre: "here"})
	t.SetTargets([]Target{{ID: "a", Incarnation: 1, Service: "s", DataCentre: "here", Slots: 4}, {ID: "b", Incarnation: 1, Service: "s", DataCentre: "there", Slots: 4}})
	return t
}

// TestHomeFirstThenElsewhere: requests go to the own data centre while it has
// room, leave its last slot while another has plenty, take whatever is free, then
// go over the slots up to the overflow, then nowhere.
func TestHomeFirstThenElsewhere(t *testing.T) {
	for _, policy := range []Policy{LeastLoad, LeastOfFew} {
		t.Run(string(policy), func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(0, 0)
			table := slotTable(now)
			table.cfg.Policy = policy
			var got string
			for range 12 {
				target, ok := table.Choose(now, Need{Service: "s", Overflow: 2})
				if !ok {
					break
				}
				table.Begin(target.ID)
				got += target.ID
			}
			is.Equal(got[:8], "aaabbabb")
			is.Equal(len(got), 12) // two more each
			_, ok := table.Choose(now, Need{Service: "s", Overflow: 2})
			is.True(!ok)
		})
	}
}

// TestOtherDataCentresCount: what other data centres have in flight counts like
// what other nodes have, and is told apart from it in what this one tells.
func TestOtherDataCentresCount(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	table := slotTable(now)
	table.Begin("a")
	table.SetNode("near", map[string]InFlight{"a": {Online: 1}, "b": {Batch: 1}})
	table.SetDataCentre("there", map[string]InFlight{"b": {Online: 2}, "a": {Batch: 1}})
	is.Equal(table.entries["a"].free(), 1)
	is.Equal(table.entries["b"].free(), 1)
	is.Equal(table.DataCentreInFlight(), map[string]InFlight{"a": {Online: 2}, "b": {Batch: 1}})
	is.Equal(table.BatchCapacity(now, "there"), 2) // four slots, two taken by online requests
	table.SetDataCentre("there", nil)
	is.Equal(table.entries["b"].free(), 3)
}

// TestSlowTargetIsAvoided: a target whose first events come late gets requests
// only when others are full, and is tried again after a while.
func TestSlowTargetIsAvoided(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	table := New(Config{EjectAfter: 2, EjectTime: time.Second, Policy: LeastLoad})
	table.SetTargets([]Target{{ID: "a", Incarnation: 1, Service: "s", Slots: 4}, {ID: "b", Incarnation: 1, Service: "s", Slots: 4}, {ID: "c", Incarnation: 1, Service: "s", Slots: 4}})
	for range 5 {
		table.RecordFirstEvent(now, "a", 50*time.Millisecond)
		table.RecordFirstEvent(now, "b", 50*time.Millisecond)
		table.RecordFirstEvent(now, "c", 400*time.Millisecond)
	}
	for range 8 {
		target, ok := table.Choose(now, Need{Service: "s"})
		is.True(ok && target.ID != "c")
		table.Begin(target.ID)
	}
	target, _ := table.Choose(now, Need{Service: "s"})
	is.Equal(target.ID, "c") // the others are full
	later := now.Add(slowFor)
	is.True(!table.entries["c"].slow(later, 50*time.Millisecond))
}

// play is a simulation of nodes that send at random to targets and hear of each
// other only now and then. A target serves as many requests as it has slots, and
// the others in order of arrival.
type play struct {
	policy         Policy
	nodes, targets int
	news           int // ms between news of other nodes
	perSec         int // requests
}

const (
	playSlots                 = 8
	playRounds                = 12000    // ms
	playShortest, playLongest = 280, 840 // ms a request is served
)

// playTarget is when each slot of a target becomes free.
type playTarget [playSlots]int

// take returns how long a request waits that comes at a time, in ms.
func (t *playTarget) take(at, service int) int {
	first := 0
	for i := range t {
		if t[i] < t[first] {
			first = i
		}
	}
	wait := max(0, t[first]-at)
	t[first] = at + wait + service
	return wait
}

// run returns how many requests there were, how many met a full target, and how
// many waited there for longer than usual objectives allow.
func (p play) run() (requests, met, late int) {
	draw := rand.New(rand.NewPCG(1, 1))
	list := make([]Target, p.targets)
	states := map[string]*playTarget{}
	for i := range list {
		list[i] = Target{ID: fmt.Sprint("t", i), Incarnation: 1, Service: "s", DataCentre: "here", Slots: playSlots}
		states[list[i].ID] = &playTarget{}
	}
	tables := make([]*Table, p.nodes)
	for n := range tables {
		tables[n] = New(Config{EjectAfter: 3, EjectTime: time.Second, Policy: p.policy, LocalDataCentre: "here", Seed: uint64(n)})
		tables[n].SetTargets(list)
	}
	now := time.Unix(0, 0)
	ends := map[int][]func(){}
	owed := 0
	for ms := range playRounds {
		for _, end := range ends[ms] {
			end()
		}
		for owed += p.perSec; owed >= 1000; owed -= 1000 {
			table := tables[draw.IntN(p.nodes)]
			target, _ := table.Choose(now, Need{Service: "s"})
			table.Begin(target.ID)
			service := playShortest + draw.IntN(playLongest-playShortest)
			wait := states[target.ID].take(ms, service)
			requests++
			if wait > 0 {
				met++
			}
			if wait > playLate {
				late++
			}
			at := ms + wait + service
			ends[at] = append(ends[at], func() { table.End(now, target.ID, Success) })
		}
		if ms%p.news == 0 {
			tellAll(tables)
		}
	}
	return requests, met, late
}

// playLate is the wait in ms after which a first event misses an objective of
// 300 ms.
const playLate = 250

func tellAll(tables []*Table) {
	for a := range tables {
		for b := range tables {
			if a != b {
				tables[a].SetNode(fmt.Sprint("n", b), tables[b].OwnInFlight())
			}
		}
	}
}

// TestFewChoicesSpreadOldNews: with news that is some 10 ms old, comparing a few
// targets meets full ones less often than sending to the one that looks emptiest,
// and keeps queues even when all are full; between few nodes, whose news is
// fresh, more are compared.
func TestFewChoicesSpreadOldNews(t *testing.T) {
	is := is.New(t)
	large := play{LeastOfFew, 12, 24, 90, 0}
	small := play{LeastOfFew, 3, 5, 20, 0}
	for _, c := range []struct {
		name   string
		play   play
		perSec int
		late   float64 // most of the requests, as a share
	}{
		{"large, three quarters", large, 250, 0.003}, {"large, nine tenths", large, 310, 0.03}, {"large, full", large, 340, 0.15},
		{"small, three quarters", small, 52, 0.003}, {"small, nine tenths", small, 64, 0.04}, {"small, full", small, 71, 0.3},
	} {
		c.play.perSec = c.perSec
		requests, met, late := c.play.run()
		c.play.policy = LeastLoad
		_, metLeast, lateLeast := c.play.run()
		t.Logf("%s: of %d requests %d met a full target and %d were late; with the least of all %d and %d", c.name, requests, met, late, metLeast, lateLeast)
		if float64(late) > c.late*float64(requests) {
			t.Errorf("%s: %d of %d requests are late", c.name, late, requests)
		}
	}
	large.perSec = 250
	_, met, _ := large.run()
	large.policy = LeastLoad
	_, metLeast, _ := large.run()
	is.True(met < metLeast)
}
