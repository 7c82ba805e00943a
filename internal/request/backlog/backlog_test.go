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
	limit = 1000
	over  = 0.05
)

// settled returns the ledger of a node that has run for long.
func settled() *Tracker { return New(start.Add(-time.Hour), over) }

// says returns a word of a node.
func says(node string, sequence uint64, tokens int64) Report {
	return Report{Node: node, Boot: 1, Sequence: sequence, Tokens: tokens}
}

// TestWaitingTokensOfAllCount: what waits at all nodes counts, by the newest word of each,
// and by route and workspace; a word that comes late changes nothing, and a node that is
// silent for long counts no more, because its jobs have been taken over.
func TestWaitingTokensOfAllCount(t *testing.T) {
	is := is.New(t)
	l := settled()
	waiting := func(now time.Time) int64 {
		_, n := l.Reserve(now, key, says("asks", uint64(now.UnixNano()), 0), 0, limit, true)
		return n
	}
	l.Record(start, key, says("n1", 1, 100))
	l.Record(start, key, says("n1", 3, 10))
	l.Record(start, key, says("n1", 2, 500))
	l.Record(start, key, says("n2", 1, 20))
	l.Record(start, Key{Route: "r", Workspace: "other"}, says("n1", 4, 1))
	l.Record(start, Key{Route: "other", Workspace: "w"}, says("n1", 4, 1))
	is.Equal(waiting(start), int64(30))
	l.Record(start, key, Report{Node: "n1", Boot: 2, Sequence: 1, Tokens: 7}) // started again
	l.Record(start, key, says("n1", 9, 500))
	is.Equal(waiting(start), int64(27))
	l.Record(start.Add(20*time.Second), key, says("n2", 2, 300))
	is.Equal(waiting(start.Add(goneAfter)), int64(300))
	l.DropExpired(start.Add(2 * goneAfter))
	is.Equal(len(l.backlogs), 0)
}

// TestOneOfTwoTakesTheLastRoom: two jobs at two nodes, for which there is room one at a
// time, whichever is asked for first; what ends makes room at once.
func TestOneOfTwoTakesTheLastRoom(t *testing.T) {
	is := is.New(t)
	l := settled()
	verdict := func(w Report) Decision {
		v, _ := l.Reserve(start, key, w, w.Tokens, limit, true)
		return v
	}
	is.Equal(verdict(says("n1", 1, 600)), Fits)
	is.Equal(verdict(says("n2", 1, 600)), Full) // and counts no more
	is.Equal(verdict(says("n1", 2, 1000)), Fits)
	is.Equal(verdict(says("n2", 3, 1)), Full)
	l.Record(start, key, says("n1", 3, 400)) // items are finished
	is.Equal(verdict(says("n2", 4, 600)), Fits)
}

// TestNewOwnerLearnsFirst: an owner that others told nothing yet can't say that a job fits,
// until every holder had the time to tell; that it doesn't fit it can. The natural owner,
// which would have been told, decides at once, unless it has just started.
func TestNewOwnerLearnsFirst(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		name    string
		ledger  *Tracker
		natural bool
		first   Decision
	}{{"natural", settled(), true, Fits}, {"substitute", settled(), false, Unsure}, {"just started", New(start, over), true, Unsure}} {
		v, _ := c.ledger.Reserve(start, key, says("n1", 1, 100), 100, limit, c.natural)
		is.Equal(v, c.first) // name
		v, _ = c.ledger.Reserve(start, key, says("n1", 2, limit+1), 1, limit, c.natural)
		is.Equal(v, Full)
		v, _ = c.ledger.Reserve(start.Add(learnTime), key, says("n1", 3, 100), 100, limit, c.natural)
		is.Equal(v, Fits)
	}
}

// TestSmallJobsNeedNotWaitForANewOwner: it lets a twentieth of the limit in before it has
// heard from the holders, and no more, however many ask.
func TestSmallJobsNeedNotWaitForANewOwner(t *testing.T) {
	is := is.New(t)
	l := New(start, over)
	in := int64(0)
	for i := range 20 {
		if v, _ := l.Reserve(start, key, says(fmt.Sprint("n", i), 1, 10), 10, limit, true); v == Fits {
			in += 10
		}
	}
	is.Equal(in, int64(over*limit))
}

// TestAcceptedNeverExceedsTheLimit: whatever nodes submit, refuse and finish, with words
// that arrive late or not at all, what one owner has let in stays within the limit.
func TestAcceptedNeverExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := settled(), start
		accepted := map[string]int64{}
		sequence := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			node := rapid.SampledFrom([]string{"n1", "n2", "n3"}).Draw(t, "node")
			sequence++
			if rapid.Bool().Draw(t, "finish") {
				accepted[node] -= min(accepted[node], rapid.Int64Range(0, 300).Draw(t, "finished"))
				if rapid.Bool().Draw(t, "told") {
					l.Record(now, key, says(node, sequence, accepted[node]))
				}
				continue
			}
			job := rapid.Int64Range(1, 400).Draw(t, "job")
			if v, _ := l.Reserve(now, key, says(node, sequence, accepted[node]+job), job, limit, true); v == Fits {
				accepted[node] += job
			} else {
				sequence++
				l.Record(now, key, says(node, sequence, accepted[node]))
			}
			if sum := accepted["n1"] + accepted["n2"] + accepted["n3"]; sum > limit {
				t.Fatalf("%d tokens wait", sum)
			}
		}
	})
}
