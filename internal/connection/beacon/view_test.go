package beacon

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// never draws 1, so that no extra reports are sent.
func never() float64 { return 1 }

// viewsOf returns the view of each of n nodes of a data centre.
func viewsOf(n int) []*View {
	var peers []Peer
	for i := range n {
		peers = append(peers, Peer{Node: fmt.Sprint("n", i), DataCentre: "a", Callers: true})
	}
	var views []*View
	for i := range n {
		others := append(append([]Peer{}, peers[:i]...), peers[i+1:]...)
		views = append(views, NewView(peers[i].Node, "a", others))
	}
	return views
}

func names(peers []Peer) []string {
	var out []string
	for _, p := range peers {
		out = append(out, p.Node)
	}
	return out
}

// TestEveryNodeReceivesEveryGroup: whichever members of a group are unreachable, each node
// of another group has exactly one representative among the others.
func TestEveryNodeReceivesEveryGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 90).Draw(t, "nodes")
		views := viewsOf(n)
		unreachable := map[string]bool{}
		for i := range n {
			unreachable[views[i].self] = rapid.IntRange(0, 3).Draw(t, "unreachable") == 0
		}
		receivedFrom := map[string]int{} // by receiver and group
		alive := map[int]bool{}
		for _, v := range views {
			if unreachable[v.self] {
				continue
			}
			alive[v.group] = true
			var reachable []string
			for _, name := range names(v.Members()) {
				if !unreachable[name] {
					reachable = append(reachable, name)
				}
			}
			for _, p := range v.GroupReportReceivers(reachable, never) {
				receivedFrom[fmt.Sprint(p.Node, " ", v.group)]++
			}
		}
		for _, v := range views {
			for g := range v.groups {
				want := 1
				if g == v.group || !alive[g] {
					want = 0
				}
				if got := receivedFrom[fmt.Sprint(v.self, " ", g)]; got != want {
					t.Fatalf("%s of group %d receives the report on group %d from %d nodes, want %d", v.self, v.group, g, got, want)
				}
			}
		}
	})
}

// TestDatagramsDoNotGrowWithTheFleet: the load of a data centre of 3 to 72 nodes, as in
// fleets of 6 to 360, in which something changes at every node all the time, as is usual
// when targets are busy. A node sends and receives no more datagrams a second in the large
// ones. If each reported to each, that would also be 1/roundPerReceiver, but a round would
// take 72 times roundPerReceiver, and reports would be that old.
func TestDatagramsDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{3, 12, 16, 59, 72} {
		var sent, slowest float64
		for _, v := range viewsOf(n) {
			receivers := float64(len(v.Members()) + len(v.GroupReportReceivers(names(v.Members()), never)))
			round := roundBase.Seconds() + receivers*roundPerReceiver.Seconds()
			sent += receivers / round / float64(n)
			slowest = max(slowest, round)
		}
		t.Logf("%d nodes: %.0f datagrams a second and node, slowest round %.0f ms", n, sent, 1000*slowest)
		is.True(sent <= 125)   // as many are received on average
		is.True(slowest < 0.2) // two hops within 400 ms for the worst placed node
	}
}

// TestGroupsSeldomChange: one node more or less moves no other node to another group,
// except where the number of groups doubles.
func TestGroupsSeldomChange(t *testing.T) {
	is := is.New(t)
	changes := 0
	for n := 2; n < 400; n++ {
		if groupCount(n) != groupCount(n-1) {
			changes++
		}
	}
	is.Equal(changes, 3) // one group, then 4, 8 and 16
}

// BenchmarkGroupReportReceivers measures finding the receivers of a round.
func BenchmarkGroupReportReceivers(b *testing.B) {
	for _, n := range []int{3, 16, 59, 72} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := viewsOf(n)[0]
			reachable := names(v.Members())
			for b.Loop() {
				v.GroupReportReceivers(reachable, never)
			}
		})
	}
}
