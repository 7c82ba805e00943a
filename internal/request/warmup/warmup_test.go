package warmup

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const step = 10 * time.Millisecond

// maxInOneSecond lets every node send at the start of each of its turns, or at the end if
// late is set, and returns the largest number of requests within any second. learned is
// when each node learned that the target is cold.
func maxInOneSecond(nodes int, perSecond float64, learned []time.Duration, late []bool, length time.Duration) int {
	var sent []time.Duration
	last := make([]int, nodes)
	for i := range last {
		last[i] = NoTurn
	}
	for now := time.Duration(0); now < length; now += step {
		for i := range nodes {
			position := Position{Index: i, Nodes: nodes}
			turn := position.Turn("target", now-learned[i], perSecond)
			ends := late[i] && position.Turn("target", now-learned[i]+step, perSecond) == turn
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

// TestTurnsKeepTheRate: for any number of nodes, and whenever they learn that a target is
// cold, no second has more requests than the bound in the package comment.
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
		most := maxInOneSecond(nodes, perSecond, learned, late, 4*time.Second)
		bound := perSecond*(1+turnLength.Seconds()+step.Seconds()+spread.Seconds()) + 1
		if float64(most) > bound {
			t.Fatalf("%d requests in a second, the bound is %.1f", most, bound)
		}
	})
}

// TestTurnsComeToAllNodes: each node has one turn in a round, so that the rate is used
// fully when every node has something to send.
func TestTurnsComeToAllNodes(t *testing.T) {
	for _, nodes := range []int{1, 3, 9, 64} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			is := is.New(t)
			const perSecond = 8
			round := time.Duration(float64(nodes) / perSecond * float64(time.Second))
			for index := range nodes {
				turns := map[int]bool{}
				for at := time.Duration(0); at < 4*round; at += time.Millisecond {
					if turn := (Position{index, nodes}).Turn("target", at, perSecond); turn != NoTurn {
						turns[turn] = true
					}
				}
				is.True(len(turns) == 4 || len(turns) == 3) // the last turn may start too late to be counted
			}
		})
	}
}

func TestUnknownPositionHasNoTurn(t *testing.T) {
	is := is.New(t)
	is.Equal(Position{}.Turn("target", time.Second, 8), NoTurn)
	is.Equal(PositionOf("n-c", []string{"n-a", "n-b"}), Position{})
	is.Equal(PositionOf("n-b", []string{"n-a", "n-b"}), Position{Index: 1, Nodes: 2})
}
