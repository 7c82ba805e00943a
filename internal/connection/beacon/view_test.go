package beacon

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// never draws nothing that a stray share would let through.
func never() float64 { return 1 }

// centreOf returns the view of each of n nodes of a data centre.
func centreOf(n int) []*View {
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

// TestEveryNodeHearsEveryGroup: whichever members of a group are silent, each node
// of another group has exactly one speaker among those that are left.
func TestEveryNodeHearsEveryGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 90).Draw(t, "nodes")
		views := centreOf(n)
		silent := map[string]bool{}
		for i := range n {
			silent[views[i].self] = rapid.IntRange(0, 3).Draw(t, "silent") == 0
		}
		told := map[string]int{} // by listener and group
		alive := map[int]bool{}
		for _, v := range views {
			if silent[v.self] {
				continue
			}
			alive[v.group] = true
			var heard []string
			for _, name := range names(v.Members()) {
				if !silent[name] {
					heard = append(heard, name)
				}
			}
			for _, p := range v.GroupReportReceivers(heard, never) {
				told[fmt.Sprint(p.Node, " ", v.group)]++
			}
		}
		for _, v := range views {
			for g := range v.groups {
				want := 1
				if g == v.group || !alive[g] {
					want = 0
				}
				if got := told[fmt.Sprint(v.self, " ", g)]; got != want {
					t.Fatalf("%s of group %d is told of group %d by %d nodes, want %d", v.self, v.group, g, got, want)
				}
			}
		}
	})
}

// TestDatagramsDoNotGrowWithTheFleet: the load of a data centre of 3 to 72 nodes,
// those of fleets of 6 to 360, in which something changes at every node all the
// time, which in a fleet before busy targets is the rule. A node sends and takes no
// more datagrams a second in the large ones. All told by all would be 1/nearPace
// as well, but a round would take 72 times nearPace, and what is told be that old.
func TestDatagramsDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{3, 12, 16, 59, 72} {
		var sent, slowest float64
		for _, v := range centreOf(n) {
			told := float64(len(v.Members()) + len(v.GroupReportReceivers(names(v.Members()), never)))
			round := nearLeast.Seconds() + told*nearPace.Seconds()
			sent += told / round / float64(n)
			slowest = max(slowest, round)
		}
		t.Logf("%d nodes: %.0f datagrams a second and node, slowest round %.0f ms", n, sent, 1000*slowest)
		is.True(sent <= 125)   // taken are as many on average
		is.True(slowest < 0.2) // two steps within 400 ms for the worst placed node
	}
}

// TestGroupsSeldomChange: a node more or less moves no other one to another group,
// except where the number of groups doubles.
func TestGroupsSeldomChange(t *testing.T) {
	is := is.New(t)
	changes := 0
	for n := 2; n < 400; n++ {
		if groupsOf(n) != groupsOf(n-1) {
			changes++
		}
	}
	is.Equal(changes, 3) // one group, then 4, 8 and 16
}

// BenchmarkListeners is the cost of finding out whom to tell in a round.
func BenchmarkListeners(b *testing.B) {
	for _, n := range []int{3, 16, 59, 72} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := centreOf(n)[0]
			heard := names(v.Members())
			for b.Loop() {
				v.GroupReportReceivers(heard, never)
			}
		})
	}
}
