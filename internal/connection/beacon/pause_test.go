package beacon

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// pauseFor pauses nodes of a data centre after a second, and returns which of them
// each node took for unreachable by two seconds after.
func (c *localCentre) pauseFor(d time.Duration, nodes ...int) map[string][]string {
	time.Sleep(time.Second)
	for _, i := range nodes {
		c.conns[i].pause(d)
	}
	time.Sleep(d + 2*time.Second)
	out := map[string][]string{}
	for i, state := range c.states {
		if unreachable := state.reportedUnreachable(); len(unreachable) > 0 {
			out[c.all[i].Node] = unreachable
		}
	}
	return out
}

// TestPausedNodeJudgesNobody guards against a node that did not get a processor for more than
// a second and takes its own silence for that of living nodes: it drops what they have in
// flight and takes their jobs over.
func TestPausedNodeJudgesNobody(t *testing.T) {
	for _, size := range []int{2, 20} {
		for _, d := range []time.Duration{900 * time.Millisecond, 1100 * time.Millisecond, 1500 * time.Millisecond, 10 * time.Second} {
			t.Run(fmt.Sprint(size, " nodes, ", d), func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T, n *memoryNetwork) {
					is := is.New(t)
					c := startLocalCentre(t, n, size)
					got := c.pauseFor(d, 0)
					is.Equal(got["n0"], []string(nil))
					is.Equal(len(c.all[0].ReachableInDataCentre()), size-1)
					is.Equal(c.onlineSeenBy([]int{0}), []int{size})
				})
			})
		}
	}
}

// TestPausedMachineKeepsItsNodes guards against the same when all nodes pause at once.
func TestPausedMachineKeepsItsNodes(t *testing.T) {
	for _, size := range []int{2, 20} {
		inVirtualTime(t, func(t *testing.T, n *memoryNetwork) {
			is := is.New(t)
			c := startLocalCentre(t, n, size)
			all := make([]int, size)
			for i := range all {
				all[i] = i
			}
			is.Equal(c.pauseFor(1500*time.Millisecond, all...), map[string][]string{})
		})
	}
}

// TestPausedRepresentativeHidesNobody guards against a report that a node sends on its group
// right after a pause, without the members that it has not received meanwhile: nodes of other
// groups take those for unreachable.
func TestPausedRepresentativeHidesNobody(t *testing.T) {
	for _, ms := range []int{950, 1100} {
		for paused := range 2 {
			inVirtualTime(t, func(t *testing.T, n *memoryNetwork) {
				c := startLocalCentre(t, n, 20)
				for node, unreachable := range c.pauseFor(time.Duration(ms)*time.Millisecond, paused) {
					if !slices.Equal(unreachable, []string{fmt.Sprint("n", paused)}) {
						t.Errorf("%d ms: %s took %v for unreachable, n%d was", ms, node, unreachable, paused)
					}
				}
			})
		}
	}
}

// TestPausedNodeNoticesALoss guards against a node that never judges others again: one that is
// lost during a pause, or between many, is unreachable once the process has run for a second.
func TestPausedNodeNoticesALoss(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, n *memoryNetwork) {
		is := is.New(t)
		c := startLocalCentre(t, n, 2)
		time.Sleep(time.Second)
		c.conns[0].pause(3 * time.Second)
		c.stops[1]()
		time.Sleep(3500 * time.Millisecond)
		is.Equal(len(c.states[0].reportedUnreachable()), 0)
		for range 10 { // paused for 0.4 s in each 0.5 s
			c.conns[0].pause(400 * time.Millisecond)
			time.Sleep(500 * time.Millisecond)
		}
		is.Equal(c.states[0].reportedUnreachable(), []string{"n1"})
		is.Equal(len(c.states[0].received("n1")), 0)
	})
}

// TestPausesAreLeftOut: the time for which a process ran is the sum of what each interval
// between two ticks has within the limit.
func TestPausesAreLeftOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const allowed = 200 * time.Millisecond
		start := time.Unix(1000, 0)
		now, s := start, pauses{allowed: allowed}
		s.tick(now)
		type interval struct{ from, until time.Time }
		var intervals []interval
		for _, ms := range rapid.SliceOfN(rapid.IntRange(1, 3000), 1, 30).Draw(t, "intervals") {
			next := now.Add(time.Duration(ms) * time.Millisecond)
			intervals = append(intervals, interval{now, next})
			now = next
			t0 := intervals[rapid.IntRange(0, len(intervals)-1).Draw(t, "since")].from
			var want time.Duration
			for _, i := range intervals {
				if !i.from.Before(t0) {
					want += min(allowed, i.until.Sub(i.from))
				}
			}
			for _, got := range []time.Duration{s.ranSince(t0, now), func() time.Duration { s.tick(now); return s.ranSince(t0, now) }()} {
				if got != want && (want <= 2*unreachableAfter || got <= 2*unreachableAfter) {
					t.Fatalf("ran for %v, not %v", got, want)
				}
			}
			if len(s.past) > int(2*unreachableAfter/allowed)+1 {
				t.Fatalf("%d pauses are kept", len(s.past))
			}
		}
	})
}

// TestLossReachesOtherGroupsInTime guards against nodes that learn of a loss in another group
// only after twice the time, which is meant for the loss of a whole group.
func TestLossReachesOtherGroupsInTime(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, n *memoryNetwork) {
		is := is.New(t)
		c := startLocalCentre(t, n, 20)
		time.Sleep(time.Second)
		c.stops[7]()
		time.Sleep(unreachableAfter + 4*nearInterval)
		for i, state := range c.states {
			if i != 7 {
				is.Equal(state.reportedUnreachable(), []string{"n7"})
			}
		}
	})
}
