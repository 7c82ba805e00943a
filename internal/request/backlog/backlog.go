// Package backlog limits the tokens of waiting batch items of each workspace on each route,
// counted over all nodes. It is pure: the caller passes the time.
//
// Each backlog, of one workspace on one route, is owned by one node. Nodes that hold jobs of
// it report their waiting tokens to the owner, and only to it. A job is accepted once the
// owner has counted its tokens, so that of two simultaneous submissions the second one is
// checked against a sum that includes the first.
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
}

// Decision is the owner's decision on a job.
type Decision int

// The decisions.
const (
	Unsure Decision = iota // not every holder has reported to the owner yet
	Fits                   // the job is within the limit
	Full                   // the job would exceed the limit
)

// Tracker sums up the backlogs that one node owns. It is not safe for concurrent use.
type Tracker struct {
	started   time.Time
	overshoot float64 // share of a limit that may be accepted before all holders reported
	backlogs  map[Key]*backlog
}

type backlog struct {
	since         time.Time // since when reports of it arrive at this node
	reports       map[string]receivedReport
	acceptedEarly int64 // tokens accepted before all holders reported
}

type receivedReport struct {
	Report
	at time.Time
}

// New creates the tracker of a node that starts now. overshoot is the share of a limit that
// a new owner may accept before all holders have reported, by which the limit may be
// exceeded: a job that waited for these reports would miss its latency objective and be
// refused.
func New(now time.Time, overshoot float64) *Tracker {
	return &Tracker{started: now, overshoot: overshoot, backlogs: map[Key]*backlog{}}
}

// Record records a node's report.
func (t *Tracker) Record(now time.Time, key Key, r Report) {
	b := t.backlogs[key]
	if b == nil {
		b = &backlog{since: now, reports: map[string]receivedReport{}}
		t.backlogs[key] = b
	}
	if old, known := b.reports[r.Node]; known && (r.Boot < old.Boot || (r.Boot == old.Boot && r.Sequence < old.Sequence)) {
		return
	}
	b.reports[r.Node] = receivedReport{r, now}
}

// Reserve decides whether a job of jobTokens tokens is accepted. The node's report already
// includes these tokens; if the job is not accepted, they are subtracted from it again.
// preferred says that this node is the preferred owner, the first in rendezvous order, so
// that holders have reported to no other node. waiting is the sum over all nodes.
func (t *Tracker) Reserve(now time.Time, key Key, r Report, jobTokens, limit int64, preferred bool) (decision Decision, waiting int64) {
	known := t.backlogs[key] != nil
	t.Record(now, key, r)
	b := t.backlogs[key]
	defer func() {
		if decision != Fits {
			t.Record(now, key, Report{Node: r.Node, Boot: r.Boot, Sequence: r.Sequence, Tokens: r.Tokens - jobTokens})
		}
	}()
	if !known && preferred && now.Sub(t.started) >= learnTime {
		b.since = t.started // no node holds jobs of it, or it would have reported them
	}
	waiting = b.sum(now)
	switch {
	case waiting > limit:
		return Full, waiting
	case now.Sub(b.since) >= learnTime:
		return Fits, waiting
	case float64(b.acceptedEarly+jobTokens) > t.overshoot*float64(limit):
		return Unsure, waiting
	}
	b.acceptedEarly += jobTokens
	return Fits, waiting
}

// sum returns the waiting tokens of all nodes.
func (b *backlog) sum(now time.Time) int64 {
	total := int64(0)
	for _, r := range b.reports {
		if now.Sub(r.at) < reportExpiry {
			total += r.Tokens
		}
	}
	return total
}

// DropExpired drops reports that no longer count, and backlogs without any.
func (t *Tracker) DropExpired(now time.Time) {
	for key, b := range t.backlogs {
		maps.DeleteFunc(b.reports, func(_ string, r receivedReport) bool { return now.Sub(r.at) >= reportExpiry })
		if len(b.reports) == 0 {
			delete(t.backlogs, key)
		}
	}
}
