package choose

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestElsewhereIsTheSumOfReports: whichever reports of other nodes arrive, are removed or
// are repeated, and however the list of targets changes, the sums by target are those of
// the current reports.
func TestElsewhereIsTheSumOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(Config{LocalDataCentre: "here", Node: "self"})
		ids := []string{"a", "b", "c"}
		reports := map[string]map[string]InFlight{}
		for range 30 {
			name := fmt.Sprint("n", rapid.IntRange(0, 3).Draw(t, "node"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				var list []Target
				for _, id := range ids {
					if rapid.Bool().Draw(t, "listed") {
						list = append(list, Target{ID: id, Incarnation: 1, Service: "s", Slots: 4})
					}
				}
				table.SetTargets(list)
			case 1:
				delete(reports, name)
				table.SetNode(name, nil)
				table.SetDataCentre(name, nil)
			default:
				counts := map[string]InFlight{}
				for _, id := range ids {
					if n := rapid.IntRange(0, 2).Draw(t, "count"); n > 0 {
						counts[id] = InFlight{Online: n, Batch: n - 1}
					}
				}
				reports[name] = counts
				table.SetNode(name, counts)
				table.SetDataCentre(name, nil)
			}
			for id, e := range table.entries {
				want := InFlight{}
				for _, counts := range reports {
					want.Online += counts[id].Online
					want.Batch += counts[id].Batch
				}
				if e.elsewhere != want {
					t.Fatalf("%s: %+v counted, %+v reported", id, e.elsewhere, want)
				}
			}
		}
	})
}

// BenchmarkSetNode measures the cost of one report of another node, by the number of
// nodes. It should depend on the size of the report and not on the number of nodes.
func BenchmarkSetNode(b *testing.B) {
	for _, nodes := range []int{3, 16, 58, 72} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			table := New(Config{LocalDataCentre: "here", Node: "self"})
			var list []Target
			for i := range 153 {
				list = append(list, Target{ID: fmt.Sprint("t", i), Incarnation: 1, Service: "s", Slots: 7})
			}
			table.SetTargets(list)
			report := func(i int) map[string]InFlight {
				return map[string]InFlight{fmt.Sprint("t", i%153): {Online: 1}, fmt.Sprint("t", (i+7)%153): {Online: 1, Batch: 1}, fmt.Sprint("t", (i+31)%153): {Batch: 1}}
			}
			for i := range nodes {
				table.SetNode(fmt.Sprint("n", i), report(i))
			}
			reports := []map[string]InFlight{report(1), report(2)}
			b.ResetTimer()
			for i := range b.N {
				table.SetNode("n0", reports[i%2])
			}
		})
	}
}

// TestRepeatedReportChangesNothing: an idle node mostly repeats its report. SetNode then
// returns false, so that nothing that depends on the in-flight counts is computed again.
func TestRepeatedReportChangesNothing(t *testing.T) {
	table := twoCentreTable(time.Unix(0, 0))
	report := func() map[string]InFlight { return map[string]InFlight{"a": {Online: 1}} }
	for i, want := range []bool{true, false} {
		if got := table.SetNode("other", report()); got != want {
			t.Fatalf("report %d: changed is %v", i, got)
		}
	}
	if !table.SetNode("other", nil) || table.SetNode("other", nil) {
		t.Fatal("only the first removal changes the counts")
	}
}
