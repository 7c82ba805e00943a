package job

import "time"

// With the shared view on, finished results wait for the rest of their job: they are safe at
// two keepers, and a commit costs two calls to the object store, however many results it has.
// A node that takes the job over restores them from a keeper and commits them. They are
// committed earlier where that could be too late for the time at which the job is due.
const (
	// takeOverDuration is the time from when a holder counts as lost until another node has
	// committed the results that it restored: a sweep, the turns of the nodes before it, the
	// load of the checkpoints, and a commit.
	takeOverDuration = 2 * time.Second
	// midCommitMargin and lastCommitMargin are how long before its job is due a result is
	// committed for sure, beside the commit in time for a takeover. Fewer margins save a commit
	// and make 0.6 to 2 results late, instead of 0.3 to 0.4, if a holder is lost
	// (TestCommitsOfStaggeredItems, docs/design/store-calls.md).
	midCommitMargin  = 4 * time.Second
	lastCommitMargin = 1500 * time.Millisecond
	// maxResultWait is the longest wait of a result for the rest of its job. If the object
	// store is away when the job is due, results that still wait are late; an outage takes
	// several seconds, and most items of a job end within this time of each other.
	maxResultWait = 5 * time.Second
	// overdueCommitDelay is how long the results of a late job wait together.
	overdueCommitDelay = 8 * time.Second
)

// commitReason is why results are committed, as events and metrics name it.
type commitReason string

// The reasons of commits with the shared view on.
const (
	notDue           commitReason = ""
	commitComplete   commitReason = "complete"         // every item has a result
	commitFailures   commitReason = "failed attempts"  // the head lacks failed attempts
	commitUnsaved    commitReason = "not at keepers"   // fewer than two keepers have a result
	commitTakeover   commitReason = "takeover in time" // a node that takes the job over later would commit too late
	commitWaited     commitReason = "waited long"      // the oldest result has waited for maxResultWait
	commitDueTime    commitReason = "due"              // the job is due
	commitOverdue    commitReason = "overdue"          // the job is late
	commitOutputFull commitReason = "output full"      // too much output waits to be stored
	commitRequested  commitReason = "requested"        // the node leaves, or the keepers have changed
)

// lateCommitDue returns why to commit the pending results and failed attempts of a job that is due at a time, or
// notDue. isSaved reports whether two keepers have stored the complete output of an item; results
// that they lack wait for commitDelay only. takeOverAfter is how long a holder has to be
// unresponsive before its jobs are taken over.
func (p *progress) lateCommitDue(now, due time.Time, takeOverAfter time.Duration, isSaved func(item int) bool) commitReason {
	if len(p.pending) > 0 && p.unfinished() == 0 {
		return commitComplete
	}
	if p.failuresDue(now) {
		return commitFailures
	}
	if len(p.pending) == 0 {
		return notDue
	}
	for _, r := range p.pending {
		if now.Sub(r.at) >= commitDelay && !isSaved(r.index) {
			return commitUnsaved
		}
	}
	left := due.Sub(now)
	oldest := due.Sub(p.pending[0].at) // pending results are in order of completion
	passed := func(margin time.Duration) bool { return left <= margin && oldest >= margin }
	switch {
	case left < 0 && p.waited(now) >= overdueCommitDelay:
		return commitOverdue
	case left < 0:
		return notDue
	case left < lastCommitMargin && p.waited(now) >= urgentCommitDelay, passed(lastCommitMargin), passed(midCommitMargin):
		return commitDueTime
	case passed(takeOverAfter + takeOverDuration):
		return commitTakeover
	case now.Sub(p.pending[0].at) >= maxResultWait:
		return commitWaited
	}
	return notDue
}

// waited returns for how long the pending results have waited together.
func (p *progress) waited(now time.Time) time.Duration {
	sum := time.Duration(0)
	for _, r := range p.pending {
		sum += now.Sub(r.at)
	}
	return sum
}

// hasResult reports whether at least two keepers have stored the complete output of an item.
func (c *checkpoints) hasResult(item int) bool {
	n := 0
	for _, saved := range c.saved {
		if saved.items[item].complete {
			n++
		}
	}
	return n >= keepersOfResult
}

// keepersOfResult is how many keepers have to store a result that waits: one may be lost
// with the holder.
const keepersOfResult = 2
