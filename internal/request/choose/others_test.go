package choose

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSumsOfOthersFollowTheirWords: whatever words of others come, go and are
// repeated, and however the list of targets changes meanwhile, the sums are those
// of the words that count now.
func TestSumsOfOthersFollowTheirWords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(Config{LocalDataCentre: "here", Node: "self"})
		ids := []string{"a", "b", "c"}
		words := map[string]map[string]InFlight{}
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
				delete(words, name)
				table.SetNode(name, nil)
				table.SetDataCentre(name, nil)
			default:
				counts := map[string]InFlight{}
				for _, id := range ids {
					if n := rapid.IntRange(0, 2).Draw(t, "count"); n > 0 {
						counts[id] = InFlight{Online: n, Batch: n - 1}
					}
				}
				words[name] = counts
				table.SetNode(name, counts)
				table.SetDataCentre(name, nil)
			}
			for id, e := range table.entries {
				want := InFlight{}
				for _, counts := range words {
					want.Online += counts[id].Online
					want.Batch += counts[id].Batch
				}
				if e.elsewhere != want {
					t.Fatalf("%s: %+v counted, %+v told", id, e.elsewhere, want)
				}
			}
		}
	})
}

// BenchmarkHearNode is the cost of one word of another node among so many of its
// data centre. It has to grow with what the word counts, and not with the nodes.
func BenchmarkHearNode(b *testing.B) {
	for _, nodes := range []int{3, 16, 58, 72} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			table := New(Config{LocalDataCentre: "here", Node: "self"})
			var list []Target
			for i := range 153 {
				list = append(list, Target{ID: fmt.Sprint("t", i), Incarnation: 1, Service: "s", Slots: 7})
			}
			table.SetTargets(list)
			word := func(i int) map[string]InFlight {
				return map[string]InFlight{fmt.Sprint("t", i%153): {Online: 1}, fmt.Sprint("t", (i+7)%153): {Online: 1, Batch: 1}, fmt.Sprint("t", (i+31)%153): {Batch: 1}}
			}
			for i := range nodes {
				table.SetNode(fmt.Sprint("n", i), word(i))
			}
			words := []map[string]InFlight{word(1), word(2)}
			b.ResetTimer()
			for i := range b.N {
				table.SetNode("n0", words[i%2])
			}
		})
	}
}

// TestRepeatedWordIsNoNews: most words of a quiet node repeat the one before;
// nothing that depends on what is in flight has to look again for them.
func TestRepeatedWordIsNoNews(t *testing.T) {
	table := slotTable(time.Unix(0, 0))
	word := func() map[string]InFlight { return map[string]InFlight{"a": {Online: 1}} }
	for i, want := range []bool{true, false} {
		if got := table.SetNode("other", word()); got != want {
			t.Fatalf("word %d: news is %v", i, got)
		}
	}
	if !table.SetNode("other", nil) || table.SetNode("other", nil) {
		t.Fatal("only the first silence is news")
	}
}
