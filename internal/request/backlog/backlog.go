// Package backlog limits the tokens of waiting batch items of each workspace on each route,
// counted over all nodes. It is pure: the caller passes the time.
//
// Each backlog, of one workspace on one route, is owned by one node. Nodes that hold jobs of
// it report their waiting tokens to the owner, and only to it. A job is accepted once the
// owner has counted its tokens, so that of two simultaneous submissions the second one is
// checked against a sum that includes the first.
//
// No node reports a job whose holder was lost, or which a leaving node has handed over, until another
// one takes it over. An owner that may lack such reports counts the jobs that the object store lists.
package backlog

import (
	"maps"
	"time"
)

const (
	// ReportInterval is the time between a node's reports of its waiting tokens.
	ReportInterval = 300 * time.Millisecond
	// learnTime is how long a new owner of a backlog collects reports before it decides:
	// every holder reports within that time.
	learnTime = ReportInterval + 150*time.Millisecond
	// reportExpiry is how long the last report of an unresponsive node counts. After that
	// time its jobs were taken over, and their new holders report them.
	reportExpiry = 30 * time.Second
	// takenUpWithin is the time after which a node that is stored as the holder of a job counts
	// the job in its reports.
	takenUpWithin = 150 * time.Millisecond
	// relistInterval is the time between lists of the stored jobs while some have no holder that
	// reports them.
	relistInterval = time.Second
)

// Key names a backlog.
type Key struct {
	Route     string
	Workspace string // empty: the configuration has no workspaces
}

// Report is a node's report of its waiting tokens of one backlog.
type Report struct {
	Node     string
	Boot     int64  // start time of the node's process
	Sequence uint64 // increases within a boot; older reports are ignored
	Tokens   int64
	// HandingOver: the node is leaving. It no longer counts a job that is stored without a holder.
	HandingOver bool
}

// Incarnation is one process of a node. The zero value stands for none.
type Incarnation struct {
	Node string
	Boot int64
}

// Stored is the number of tokens that wait in the jobs that the object store lists, by their holder.
type Stored map[Key]map[Incarnation]int64

// Decision is the owner's decision on a job.
type Decision int

// The decisions.
const (
	Unsure Decision = iota // not every holder has reported to the owner yet, or jobs of lost holders may be stored
	Fits                   // the job is within the limit
	Full                   // the job would exceed the limit
)

// Tracker sums up the backlogs that one node owns. It is not safe for concurrent use.
type Tracker struct {
	started   time.Time
	overshoot float64 // share of a limit that may be accepted before all holders reported
	backlogs  map[Key]*backlog

	stored      Stored
	storedAt    time.Time // when the list of the stored jobs began; zero: never
	wantsStored bool
}

type backlog struct {
	since         time.Time // since when reports of it arrive at this node
	reports       map[string]receivedReport
	acceptedEarly int64 // tokens accepted before all holders reported
	// doubtedSince is since when jobs may be stored that no node reports; zero: there are none.
	doubtedSince time.Time
}

type receivedReport struct {
	Report
	at        time.Time
	undecided int64 // tokens of a job that another owner may accept
}

// New creates the tracker of a node that starts now. overshoot is the share of a limit that
// a new owner may accept before all holders have reported, by which the limit may be
// exceeded: a job that waited for these reports would miss its latency objective and be
// refused. What the store lists counts by then.
func New(now time.Time, overshoot float64) *Tracker {
	return &Tracker{started: now, overshoot: overshoot, backlogs: map[Key]*backlog{}}
}

// Record records a node's report.
func (t *Tracker) Record(now time.Time, key Key, r Report) { t.record(now, key, r, 0) }

// record records a node's report; added of its tokens are not of jobs that it held before.
func (t *Tracker) record(now time.Time, key Key, r Report, added int64) {
	b := t.backlogs[key]
	if b == nil {
		b = &backlog{since: now, reports: map[string]receivedReport{}, doubtedSince: now}
		t.backlogs[key] = b
	}
	old, known := b.reports[r.Node]
	if known && (r.Boot < old.Boot || (r.Boot == old.Boot && r.Sequence < old.Sequence)) {
		return
	}
	if known && r.Boot > old.Boot && old.Tokens > 0 {
		b.doubtedSince = now // the jobs of the former incarnation are not taken over yet
	}
	if known && r.Boot == old.Boot && r.HandingOver && r.Tokens-added < old.Tokens-old.undecided {
		b.doubtedSince = now // nor are those that were handed over
	}
	b.reports[r.Node] = receivedReport{Report: r, at: now}
}

// Reserve decides whether a job of jobTokens tokens is accepted. The node's report already
// includes these tokens; if the job is not accepted, they are subtracted from it again. If the stored
// jobs have to be listed first, the node may ask another owner, so that they count until its next
// report.
// preferred says that this node is the preferred owner, the first in rendezvous order, so
// that holders have reported to no other node. waiting is the sum over all nodes.
func (t *Tracker) Reserve(now time.Time, key Key, r Report, jobTokens, limit int64, preferred bool) (decision Decision, waiting int64) {
	known := t.backlogs[key] != nil
	t.record(now, key, r, jobTokens)
	b := t.backlogs[key]
	b.dropExpired(now)
	sure := true
	defer func() {
		switch {
		case !sure && preferred: // the node reports here
			b.markUndecided(r, jobTokens)
		case decision != Fits:
			r.Tokens -= jobTokens
			t.record(now, key, r, -jobTokens)
		}
	}()
	if !known && preferred && now.Sub(t.started) >= learnTime {
		b.since = t.started // no node holds jobs of it, or it would have reported them
		if now.Sub(t.started) >= reportExpiry {
			b.doubtedSince = time.Time{} // the jobs of lost holders have been taken over
		}
	}
	waiting = b.sum()
	if waiting > limit {
		return Full, waiting
	}
	var unheld int64
	unheld, sure = t.unheld(now, key, b)
	waiting += unheld
	switch {
	case !sure:
		return Unsure, waiting
	case waiting > limit && t.listSettled(now):
		return Full, waiting
	case waiting > limit:
		return Unsure, waiting
	case now.Sub(b.since) >= learnTime:
		return Fits, waiting
	case float64(b.acceptedEarly+jobTokens) > t.overshoot*float64(limit):
		return Unsure, waiting
	}
	b.acceptedEarly += jobTokens
	return Fits, waiting
}

// markUndecided records that a node's report includes a job on which this owner has not decided.
func (b *backlog) markUndecided(r Report, jobTokens int64) {
	if newest := b.reports[r.Node]; newest.Report == r {
		newest.undecided = jobTokens
		b.reports[r.Node] = newest
	}
}

// unheld returns the tokens of the stored jobs of a backlog that no node has reported; sure is false
// if the stored jobs have to be listed first.
func (t *Tracker) unheld(now time.Time, key Key, b *backlog) (tokens int64, sure bool) {
	if b.doubtedSince.IsZero() {
		return 0, true
	}
	if t.storedAt.Before(b.doubtedSince) {
		t.wantsStored = true
		return 0, false
	}
	for holder, n := range t.stored[key] {
		r := b.reports[holder.Node]
		if r.Boot != holder.Boot || r.at.Sub(t.storedAt) < takenUpWithin {
			tokens += n
		}
	}
	if tokens == 0 && now.Sub(b.since) >= learnTime {
		b.doubtedSince = time.Time{}
	}
	t.wantsStored = t.wantsStored || (tokens > 0 && now.Sub(t.storedAt) >= relistInterval)
	return tokens, true
}

// listSettled reports whether the list of the stored jobs is recent, but old enough for the reports of
// living holders to have arrived since, so that no job counts twice.
func (t *Tracker) listSettled(now time.Time) bool {
	age := now.Sub(t.storedAt)
	return age >= learnTime && age < relistInterval
}

// WantsStored reports whether the stored jobs have to be listed for a decision.
func (t *Tracker) WantsStored() bool { return t.wantsStored }

// SetStored records the stored jobs as a list that began at a time shows them.
func (t *Tracker) SetStored(began time.Time, stored Stored) {
	if began.After(t.storedAt) {
		t.stored, t.storedAt, t.wantsStored = stored, began, false
	}
}

// sum returns the waiting tokens of all nodes.
func (b *backlog) sum() int64 {
	total := int64(0)
	for _, r := range b.reports {
		total += r.Tokens
	}
	return total
}

// dropExpired drops reports that no longer count. A holder may have lived on and reported to
// another owner, so that its jobs are stored and nobody reports them here.
func (b *backlog) dropExpired(now time.Time) {
	maps.DeleteFunc(b.reports, func(_ string, r receivedReport) bool {
		expired := now.Sub(r.at) >= reportExpiry
		if expired && r.Tokens > 0 {
			b.doubtedSince = now
		}
		return expired
	})
}

// DropExpired drops reports that no longer count, and backlogs without any.
func (t *Tracker) DropExpired(now time.Time) {
	for key, b := range t.backlogs {
		b.dropExpired(now)
		if len(b.reports) == 0 {
			delete(t.backlogs, key)
		}
	}
}
