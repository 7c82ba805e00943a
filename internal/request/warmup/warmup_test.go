package warmup

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const step = 10 * time.Millisecond

// busiest lets every node send as soon as its turn comes, or as late as it lasts, and
// returns the most requests within any second. learned is how much later than the first
// each node learned that the target is cold.
func busiest(nodes int, perSecond float64, learned []time.Duration, late []bool, length time.Duration) int {
	var sent []time.Duration
	last := make([]int, nodes)
	for i := range last {
		last[i] = NoTurn
	}
	for now := time.Duration(0); now < length; now += step {
		for i := range nodes {
			share := Position{Index: i, Nodes: nodes}
			turn := share.Turn("target", now-learned[i], perSecond)
			ends := late[i] && share.Turn("target", now-learned[i]+step, perSecond) == turn
			if now < learned[i] || turn == NoTurn || turn == last[i] || ends {
				continue
			}
			last[i] = turn
			sent = append(sent, now)
		}
	}
	most, from := 0, 0
	for i, at := range sent {
		for sent[from] <= at-time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// TestTurnsKeepTheRate: whatever nodes there are, and whenever they learned that a target
// is cold, no second holds more requests than the bound of the package.
func TestTurnsKeepTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SampledFrom([]int{1, 2, 3, 9, 64, 295}).Draw(t, "nodes")
		perSecond := rapid.Float64Range(0.5, 30).Draw(t, "per second")
		spread := time.Duration(rapid.IntRange(0, 1000).Draw(t, "spread ms")) * time.Millisecond
		learned, late := make([]time.Duration, nodes), make([]bool, nodes)
		for i := range nodes {
			learned[i] = time.Duration(rapid.Float64Range(0, 1).Draw(t, "learned") * float64(spread))
			late[i] = rapid.Bool().Draw(t, "late")
		}
		most := busiest(nodes, perSecond, learned, late, 4*time.Second)
		bound := perSecond*(1+openFor.Seconds()+step.Seconds()+spread.Seconds()) + 1
		if float64(most) > bound {
			t.Fatalf("%d requests in a second, the bound is %.1f", most, bound)
		}
	})
}

// TestTurnsComeToAllNodes: each node has its turn once in a round, and a rate is used
// whole when every node has something to send.
func TestTurnsComeToAllNodes(t *testing.T) {
	for _, nodes := range []int{1, 3, 9, 64} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			is := is.New(t)
			const perSecond = 8
			round := time.Duration(float64(nodes) / perSecond * float64(time.Second))
			for place := range nodes {
				turns := map[int]bool{}
				for at := time.Duration(0); at < 4*round; at += time.Millisecond {
					if turn := (Position{place, nodes}).Turn("target", at, perSecond); turn != NoTurn {
						turns[turn] = true
					}
				}
				is.True(len(turns) == 4 || len(turns) == 3) // a turn may begin at the end of the time
			}
		})
	}
}

func TestUnknownShareHasNoTurn(t *testing.T) {
	is := is.New(t)
	is.Equal(Position{}.Turn("target", time.Second, 8), NoTurn)
	is.Equal(PositionOf("n-c", []string{"n-a", "n-b"}), Position{})
	is.Equal(PositionOf("n-b", []string{"n-a", "n-b"}), Position{Index: 1, Nodes: 2})
}
