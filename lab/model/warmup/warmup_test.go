package warmup

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxNodesOfFewSenders is the largest fleet for which FewSenders is simulated: it ranks all
// nodes for each request.
const maxNodesOfFewSenders = 64

// maxPerSecond is how many requests a cold target can take in one second: 1.5 times its rate,
// and five more.
const maxPerSecond = 16

var scenarios = []struct {
	name   string
	change func(*Scenario)
}{
	{"usual", func(*Scenario) {}},
	{"high", func(s *Scenario) { s.Demand *= 5 }},
	{"high, cut", func(s *Scenario) { s.Demand *= 5; s.Partitioned = true }},
	{"high, half killed", func(s *Scenario) { s.Demand *= 5; s.HalfKilled = true }},
	{"high, learned late", func(s *Scenario) { s.Demand *= 5; s.LearnTime = 2 * time.Second }},
}

func scenario(nodes int, change func(*Scenario), seed uint64) Scenario {
	s := Scenario{Nodes: nodes, Targets: max(4, nodes/2), Demand: 4, LearnTime: 700 * time.Millisecond, Seed: seed}
	change(&s)
	return s
}

// TestColdTargetsAreNotOverloaded: all targets of a data centre are cold during a peak of the
// load, in small and large fleets, in a network partition, and while half of the nodes are
// killed.
func TestColdTargetsAreNotOverloaded(t *testing.T) {
	for _, nodes := range []int{9, 64, 295, 985} {
		for _, c := range scenarios {
			t.Run(fmt.Sprint(nodes, " ", c.name), func(t *testing.T) {
				is := is.New(t)
				for seed := range uint64(3) {
					r := Run(scenario(nodes, c.change, seed), Rotation)
					is.True(r.MaxPerSecond <= maxPerSecond)
					is.True(r.ServedShare > 0)
				}
			})
		}
	}
}

// TestWaysCompared prints the table of docs/design if WARMUP_TABLE is set.
func TestWaysCompared(t *testing.T) {
	if os.Getenv("WARMUP_TABLE") == "" {
		t.Skip("prints a table; takes a minute")
	}
	fmt.Println("| nodes | load | turns | lent | few nodes |\n| --- | --- | --- | --- | --- |")
	for _, nodes := range []int{9, 64, 295, 985} {
		for _, c := range scenarios {
			fmt.Printf("| %d | %s |", nodes, c.name)
			for i, strategy := range []Strategy{Rotation, Lending, FewSenders} {
				if i == 2 && nodes > maxNodesOfFewSenders {
					fmt.Print(" - |")
					continue
				}
				worst := Result{ServedShare: 1}
				for seed := range uint64(3) {
					r := Run(scenario(nodes, c.change, seed), strategy)
					worst = Result{max(worst.MaxPerSecond, r.MaxPerSecond), min(worst.ServedShare, r.ServedShare), max(worst.FirstSent, r.FirstSent)}
				}
				fmt.Printf(" %d, %.2f |", worst.MaxPerSecond, worst.ServedShare)
			}
			fmt.Println()
		}
	}
}
