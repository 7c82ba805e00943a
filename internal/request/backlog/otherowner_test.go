package backlog

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestExpiredReportsOfLivingHoldersCount guards against jobs that are accepted beyond the limit by a node
// which decides in place of the preferred owner: holders report to the latter, so that the tokens of a
// living holder were forgotten once its last reservation here was reportExpiry old.
func TestExpiredReportsOfLivingHoldersCount(t *testing.T) {
	for name, dropExpired := range map[string]bool{"reports are dropped": true, "reports are not dropped yet": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now, tracker := start, longRunning()
			stored := Stored{key: {}}
			reserve := func(node string, sequence uint64, tokens, job int64) Decision {
				decision, _ := tracker.Reserve(now, key, report(node, sequence, tokens), job, limit, false)
				if tracker.WantsStored() {
					tracker.SetStored(now, stored)
					decision, _ = tracker.Reserve(now, key, report(node, sequence, tokens), job, limit, false)
				}
				return decision
			}
			is.Equal(reserve("n2", 1, 1, 1), Fits)
			now = now.Add(learnTime)
			is.Equal(reserve("n1", 1, 600, 600), Fits)
			stored = Stored{key: {{Node: "n1", Boot: 1}: 600, {Node: "n2", Boot: 1}: 1}}
			now = now.Add(reportExpiry / 2)
			is.Equal(reserve("n2", 2, 101, 100), Fits)
			stored = Stored{key: {{Node: "n1", Boot: 1}: 600, {Node: "n2", Boot: 1}: 101}}
			now = now.Add(reportExpiry/2 + time.Second)
			if dropExpired {
				tracker.DropExpired(now)
			}
			is.True(reserve("n2", 3, 601, 500) != Fits) // 1201 tokens would wait
		})
	}
}

// TestListCountsNoExpiredReportTwice: jobs that were taken over from a lost holder, or are done, are not
// counted beside the reports of their new holders once the list shows them.
func TestListCountsNoExpiredReportTwice(t *testing.T) {
	is := is.New(t)
	now, tracker := start, longRunning()
	tracker.Record(now, key, report("n1", 1, 600))
	tracker.Record(now, key, report("n2", 1, 100))
	_, _ = tracker.Reserve(now, key, report("n3", 1, 10), 10, limit, true)
	tracker.SetStored(now, Stored{})
	now = now.Add(reportExpiry)
	tracker.Record(now, key, report("n2", 2, 700))
	tracker.DropExpired(now)
	tracker.SetStored(now, Stored{key: {{Node: "n2", Boot: 1}: 700}})
	now = now.Add(learnTime)
	tracker.Record(now, key, report("n2", 3, 700))
	decision, waiting := tracker.Reserve(now, key, report("n3", 2, 200), 200, limit, true)
	is.Equal(decision, Fits)
	is.Equal(waiting, int64(900))
}

// TestJobOfAnotherOwnerCountsAtOnce guards against two owners that both accept up to the limit: one
// cannot list the stored jobs in time, so that a node asks the next one, which accepts; then the first one
// decides on another node's job by a list that began before the first job was stored.
func TestJobOfAnotherOwnerCountsAtOnce(t *testing.T) {
	is := is.New(t)
	now, first, next := start, New(start.Add(-learnTime), overshoot), longRunning()
	first.Record(now, key, report("n3", 1, 10))
	next.Record(now, key, report("n3", 1, 10))
	now = now.Add(learnTime)
	first.Record(now, key, report("n3", 2, 10))
	began := now
	decision, _ := first.Reserve(now, key, report("n1", 1, 900), 900, limit, true)
	is.Equal(decision, Unsure)
	now = now.Add(100 * time.Millisecond)
	next.SetStored(now, Stored{})
	decision, _ = next.Reserve(now, key, report("n1", 2, 900), 900, limit, false)
	is.Equal(decision, Fits)
	first.SetStored(began.Add(time.Millisecond), Stored{})
	now = now.Add(50 * time.Millisecond)
	decision, _ = first.Reserve(now, key, report("n2", 1, 900), 900, limit, true)
	is.Equal(decision, Full)

	// A report replaces what was not decided.
	first.Record(now, key, report("n1", 3, 0))
	decision, _ = first.Reserve(now, key, report("n2", 2, 900), 900, limit, true)
	is.Equal(decision, Fits)
}

// TestUndecidedJobHandsNothingOver guards against a leaving node whose jobs are never decided on: that the
// undecided one is asked for again, or was refused elsewhere, does not mean that it has handed jobs over.
func TestUndecidedJobHandsNothingOver(t *testing.T) {
	is := is.New(t)
	now, tracker := start, New(start.Add(-learnTime), overshoot)
	leaving := func(sequence uint64, tokens int64) Report {
		return Report{Node: "n1", Boot: 1, Sequence: sequence, Tokens: tokens, HandingOver: true}
	}
	decision, _ := tracker.Reserve(now, key, leaving(1, 40), 40, limit, true)
	is.Equal(decision, Unsure)
	now = now.Add(10 * time.Millisecond)
	tracker.SetStored(now, Stored{})
	now = now.Add(10 * time.Millisecond)
	decision, _ = tracker.Reserve(now, key, leaving(1, 40), 40, limit, true)
	is.Equal(decision, Fits)
}
