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

func newTable(n int, policy Policy) *Table {
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

// TestLeavingIsForGood: an incarnation marked as leaving gets no requests even if
// stale lists still contain it; a new incarnation does.
func TestLeavingIsForGood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := newTable(2, Affinity)
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

func TestFailingTargetIsEjectedAndReadmitted(t *testing.T) {
	is := is.New(t)
	tab := newTable(1, LeastLoad)
	need := Need{Service: "s", Loaded: "m@1"}
	for i := range 3 {
		_, ok := tab.Choose(start, need)
		is.True(ok)
		tab.Begin("t0")
		ejected, _ := tab.End(start, "t0", Failure)
		is.Equal(ejected, i == 2)
	}
	_, ok := tab.Choose(start, need)
	is.True(!ok) // ejected
	later := start.Add(time.Second)
	_, ok = tab.Choose(later, need)
	is.True(ok) // one probe request
	_, ok = tab.Choose(later, need)
	is.True(!ok) // no second one at the same time
	tab.Begin("t0")
	_, readmitted := tab.End(later, "t0", Success)
	is.True(readmitted)
	_, ok = tab.Choose(later, need)
	is.True(ok)
}

// TestOneIncidentEjectsOnce: many requests that fail together eject a target for the
// first ejection time, not for the longest.
func TestOneIncidentEjectsOnce(t *testing.T) {
	is := is.New(t)
	tab := newTable(1, LeastLoad)
	for range 30 {
		tab.Begin("t0")
		tab.End(start, "t0", Failure)
	}
	_, ok := tab.Choose(start.Add(time.Second), Need{Service: "s", Loaded: "m@1"})
	is.True(ok) // a probe request after the first ejection time
}

// TestLoadIsCorrectedForLag: requests sent since the last load report count at once.
func TestLoadIsCorrectedForLag(t *testing.T) {
	is := is.New(t)
	tab := newTable(4, LeastLoad)
	chosen := map[string]int{}
	for range 16 {
		target, _ := tab.Choose(start, Need{Service: "s", Loaded: "m@1"})
		tab.Begin(target.ID)
		chosen[target.ID]++
	}
	for id, n := range chosen {
		is.Equal(n, 4) // spread evenly without a new load report
		_ = id
	}
}

// TestAffinityIsBounded: requests with one prefix go to one target until its load
// exceeds loadBound times the mean.
func TestAffinityIsBounded(t *testing.T) {
	is := is.New(t)
	tab := newTable(4, Affinity)
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
	_, ok := newTable(2, Affinity).Choose(start, Need{Service: "s", Loaded: "m@2"})
	is.True(!ok)
}

func twoCentreTable(now time.Time) *Table {
	t := New(Config{EjectAfter: 2, EjectTime: time.Second, Policy: LeastLoad, LocalDataCentre: "here"})
	t.SetTargets([]Target{{ID: "a", Incarnation: 1, Service: "s", DataCentre: "here", Slots: 4}, {ID: "b", Incarnation: 1, Service: "s", DataCentre: "there", Slots: 4}})
	return t
}

// TestLocalDataCentreFirst: requests go to the own data centre while it has at least
// localMinFree free slots, then to another one with at least remoteMinFree, then to any
// free slot, then beyond the slots up to the overflow, and then nowhere.
func TestLocalDataCentreFirst(t *testing.T) {
	for _, policy := range []Policy{LeastLoad, LeastOfFew} {
		t.Run(string(policy), func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(0, 0)
			table := twoCentreTable(now)
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
			is.Equal(len(got), 12) // two beyond the slots at each target
			_, ok := table.Choose(now, Need{Service: "s", Overflow: 2})
			is.True(!ok)
		})
	}
}

// TestOtherDataCentresCount: requests in flight from other data centres use slots like
// those from other nodes, but are not part of this data centre's own counts.
func TestOtherDataCentresCount(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	table := twoCentreTable(now)
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
// only when the others are full, and no longer counts as slow after slowFor.
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

// simulation simulates nodes that send requests to targets and receive each other's
// reports at an interval. Requests arrive at random nodes. A target serves as many
// requests at once as it has slots, in order of arrival.
type simulation struct {
	policy         Policy
	nodes, targets int
	reportMs       int // interval of the nodes' reports to each other
	perSec         int // requests per second, at all nodes
}

const (
	simSlots                    = 8
	simMs                       = 12000
	simShortestMs, simLongestMs = 280, 840 // time in which a request is served
)

// simTarget holds, for each slot of a target, when it becomes free, in ms.
type simTarget [simSlots]int

// take adds a request that arrives at the given time and returns how long it waits for
// a slot, in ms.
func (t *simTarget) take(at, service int) int {
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

// run returns the number of requests, how many of them met a full target, and how many
// waited there for more than simLateMs.
func (p simulation) run() (requests, metFull, late int) {
	draw := rand.New(rand.NewPCG(1, 1))
	list := make([]Target, p.targets)
	states := map[string]*simTarget{}
	for i := range list {
		list[i] = Target{ID: fmt.Sprint("t", i), Incarnation: 1, Service: "s", DataCentre: "here", Slots: simSlots}
		states[list[i].ID] = &simTarget{}
	}
	tables := make([]*Table, p.nodes)
	for n := range tables {
		tables[n] = New(Config{EjectAfter: 3, EjectTime: time.Second, Policy: p.policy, LocalDataCentre: "here", Seed: uint64(n)})
		tables[n].SetTargets(list)
	}
	now := time.Unix(0, 0)
	ends := map[int][]func(){}
	due := 0
	for ms := range simMs {
		for _, end := range ends[ms] {
			end()
		}
		for due += p.perSec; due >= 1000; due -= 1000 {
			table := tables[draw.IntN(p.nodes)]
			target, _ := table.Choose(now, Need{Service: "s"})
			table.Begin(target.ID)
			service := simShortestMs + draw.IntN(simLongestMs-simShortestMs)
			wait := states[target.ID].take(ms, service)
			requests++
			if wait > 0 {
				metFull++
			}
			if wait > simLateMs {
				late++
			}
			at := ms + wait + service
			ends[at] = append(ends[at], func() { table.End(now, target.ID, Success) })
		}
		if ms%p.reportMs == 0 {
			exchangeReports(tables)
		}
	}
	return requests, metFull, late
}

// simLateMs is the wait after which a first event misses a latency objective of
// 300 ms.
const simLateMs = 250

func exchangeReports(tables []*Table) {
	for a := range tables {
		for b := range tables {
			if a != b {
				tables[a].SetNode(fmt.Sprint("n", b), tables[b].OwnInFlight())
			}
		}
	}
}

// TestFewChoicesSpreadLoadOnStaleReports: with reports that are some 10 ms old, requests
// meet full targets less often if each node compares a few random targets than if it
// takes the least loaded of all, and queues stay equally long when all targets are full.
// Few nodes, whose reports are fresh, compare more targets each.
func TestFewChoicesSpreadLoadOnStaleReports(t *testing.T) {
	is := is.New(t)
	large := simulation{LeastOfFew, 12, 24, 90, 0}
	small := simulation{LeastOfFew, 3, 5, 20, 0}
	for _, c := range []struct {
		name   string
		sim    simulation
		perSec int
		late   float64 // largest allowed share of late requests
	}{
		{"large, three quarters", large, 250, 0.003}, {"large, nine tenths", large, 310, 0.03}, {"large, full", large, 340, 0.15},
		{"small, three quarters", small, 52, 0.003}, {"small, nine tenths", small, 64, 0.04}, {"small, full", small, 71, 0.3},
	} {
		c.sim.perSec = c.perSec
		requests, metFull, late := c.sim.run()
		c.sim.policy = LeastLoad
		_, metLeast, lateLeast := c.sim.run()
		t.Logf("%s: of %d requests %d met a full target and %d were late; with the least of all %d and %d", c.name, requests, metFull, late, metLeast, lateLeast)
		if float64(late) > c.late*float64(requests) {
			t.Errorf("%s: %d of %d requests are late", c.name, late, requests)
		}
	}
	large.perSec = 250
	_, metFull, _ := large.run()
	large.policy = LeastLoad
	_, metLeast, _ := large.run()
	is.True(metFull < metLeast)
}
