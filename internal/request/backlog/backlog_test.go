package backlog

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	start = time.Unix(1000, 0)
	key   = Key{Route: "r", Workspace: "w"}
)

const (
	limit     = 1000
	overshoot = 0.05
)

// longRunning returns the tracker of a node that started long ago.
func longRunning() *Tracker { return New(start.Add(-time.Hour), overshoot) }

// report returns a report of a node.
func report(node string, sequence uint64, tokens int64) Report {
	return Report{Node: node, Boot: 1, Sequence: sequence, Tokens: tokens}
}

// TestWaitingTokensOfAllCount: the waiting tokens of all nodes are summed up by route and
// workspace, from the newest report of each node. Late reports are ignored, and so is a node
// that has not reported for reportExpiry, because its jobs have been taken over.
func TestWaitingTokensOfAllCount(t *testing.T) {
	is := is.New(t)
	tracker := longRunning()
	waiting := func(now time.Time) int64 {
		_, n := tracker.Reserve(now, key, report("asks", uint64(now.UnixNano()), 0), 0, limit, true)
		return n
	}
	tracker.Record(start, key, report("n1", 1, 100))
	tracker.Record(start, key, report("n1", 3, 10))
	tracker.Record(start, key, report("n1", 2, 500))
	tracker.Record(start, key, report("n2", 1, 20))
	tracker.Record(start, Key{Route: "r", Workspace: "other"}, report("n1", 4, 1))
	tracker.Record(start, Key{Route: "other", Workspace: "w"}, report("n1", 4, 1))
	is.Equal(waiting(start), int64(30))
	tracker.Record(start, key, Report{Node: "n1", Boot: 2, Sequence: 1, Tokens: 7}) // the node restarted
	tracker.Record(start, key, report("n1", 9, 500))
	is.Equal(waiting(start), int64(27))
	tracker.Record(start.Add(20*time.Second), key, report("n2", 2, 300))
	is.Equal(waiting(start.Add(reportExpiry)), int64(300))
	tracker.DropExpired(start.Add(2 * reportExpiry))
	is.Equal(len(tracker.backlogs), 0)
}

// TestSecondJobOverTheLimitIsRefused: of two jobs at two nodes that exceed the limit
// together, the first one submitted is accepted. Finished items free their tokens at once.
func TestSecondJobOverTheLimitIsRefused(t *testing.T) {
	is := is.New(t)
	tracker := longRunning()
	decide := func(r Report) Decision {
		v, _ := tracker.Reserve(start, key, r, r.Tokens, limit, true)
		return v
	}
	is.Equal(decide(report("n1", 1, 600)), Fits)
	is.Equal(decide(report("n2", 1, 600)), Full) // its tokens are not counted any more
	is.Equal(decide(report("n1", 2, 1000)), Fits)
	is.Equal(decide(report("n2", 3, 1)), Full)
	tracker.Record(start, key, report("n1", 3, 400)) // items are finished
	is.Equal(decide(report("n2", 4, 600)), Fits)
}

// TestNewOwnerLearnsFirst: a new owner does not decide that a job fits until every holder
// had time to report and the stored jobs are listed; it may decide earlier that the job does not
// fit. The preferred owner, which would have received reports, decides at once, unless it has just
// started.
func TestNewOwnerLearnsFirst(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		name          string
		tracker       *Tracker
		preferred     bool
		firstDecision Decision
	}{{"preferred", longRunning(), true, Fits}, {"fallback", longRunning(), false, Unsure}, {"just started", New(start, overshoot), true, Unsure}} {
		v, _ := c.tracker.Reserve(start, key, report("n1", 1, 100), 100, limit, c.preferred)
		is.Equal(v, c.firstDecision) // before all holders had time to report
		v, _ = c.tracker.Reserve(start, key, report("n1", 2, limit+1), 1, limit, c.preferred)
		is.Equal(v, Full)
		v, _ = c.tracker.Reserve(start.Add(learnTime), key, report("n1", 3, 100), 100, limit, c.preferred)
		is.Equal(v, c.firstDecision) // the stored jobs are not listed
		is.Equal(c.tracker.WantsStored(), c.firstDecision == Unsure)
		c.tracker.SetStored(start, Stored{})
		v, _ = c.tracker.Reserve(start.Add(learnTime), key, report("n1", 4, 100), 100, limit, c.preferred)
		is.Equal(v, Fits)
	}
}

// TestSmallJobsNeedNotWaitForANewOwner: before all holders have reported, a new owner that has
// listed the stored jobs accepts jobs up to a twentieth of the limit in total.
func TestSmallJobsNeedNotWaitForANewOwner(t *testing.T) {
	is := is.New(t)
	tracker := New(start, overshoot)
	v, _ := tracker.Reserve(start, key, report("n0", 0, 10), 10, limit, true)
	is.Equal(v, Unsure) // the stored jobs are not listed
	tracker.SetStored(start, Stored{key: {{Node: "lost", Boot: 1}: limit / 2}})
	in := int64(0)
	for i := range 20 {
		if v, _ := tracker.Reserve(start, key, report(fmt.Sprint("n", i), 1, 10), 10, limit, true); v == Fits {
			in += 10
		}
	}
	is.Equal(in, int64(overshoot*limit))
}

// TestAcceptedNeverExceedsTheLimit: whatever nodes submit and finish, and even if reports
// are lost, the waiting tokens that one owner has accepted stay within the limit.
func TestAcceptedNeverExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, now := longRunning(), start
		accepted := map[string]int64{}
		sequence := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			node := rapid.SampledFrom([]string{"n1", "n2", "n3"}).Draw(t, "node")
			sequence++
			if rapid.Bool().Draw(t, "finish") {
				accepted[node] -= min(accepted[node], rapid.Int64Range(0, 300).Draw(t, "finished"))
				if rapid.Bool().Draw(t, "reported") {
					tracker.Record(now, key, report(node, sequence, accepted[node]))
				}
				continue
			}
			job := rapid.Int64Range(1, 400).Draw(t, "job")
			if v, _ := tracker.Reserve(now, key, report(node, sequence, accepted[node]+job), job, limit, true); v == Fits {
				accepted[node] += job
			} else {
				sequence++
				tracker.Record(now, key, report(node, sequence, accepted[node]))
			}
			if sum := accepted["n1"] + accepted["n2"] + accepted["n3"]; sum > limit {
				t.Fatalf("%d tokens wait", sum)
			}
		}
	})
}
