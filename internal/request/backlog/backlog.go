// Package backlog holds the tokens of batch items that wait, of each workspace on each
// route, to the limit that counts over all nodes together. It is pure: time comes from
// outside.
//
// Each backlog has an owner among the nodes, as an allowance has. Nodes that hold jobs
// tell it how much waits with them, and a job is accepted once the owner has counted it:
// of two submissions at once the second one is held against the first. Only nodes that
// hold jobs of a backlog tell of it, and only its owner hears of it.
package backlog

import (
	"maps"
	"time"
)

const (
	// ReportInterval is the time between a node's words on what waits with it.
	ReportInterval = 300 * time.Millisecond
	// learnTime is how long an owner that is new to a backlog learns before it decides:
	// every holder tells it in that time.
	learnTime = ReportInterval + 150*time.Millisecond
	// goneAfter is how long what a silent node held counts. Its jobs were taken over by
	// then, and their new holders tell of them.
	goneAfter = 30 * time.Second
)

// Key names a backlog.
type Key struct {
	Route     string
	Workspace string // empty: the configuration has no workspaces
}

// Report is what a node says waits with it.
type Report struct {
	Node     string
	Boot     int64  // of the node
	Sequence uint64 // of the word in that boot; an older one than is known counts nothing
	Tokens   int64
}

// Decision is the owner's decision on a job.
type Decision int

// The verdicts.
const (
	Unsure Decision = iota // the owner has not heard from every holder yet
	Fits
	Full
)

// Tracker is what one node knows of the backlogs that it owns. It is not safe for
// concurrent use.
type Tracker struct {
	began    time.Time
	over     float64 // share of a limit that may be let in before holders were heard
	backlogs map[Key]*backlog
}

type backlog struct {
	since time.Time // when this node first heard of it
	words map[string]heard
	early int64 // tokens let in before holders were heard
}

type heard struct {
	Report
	at time.Time
}

// New returns the empty ledger of a node that starts now. over is the share of a limit by
// which it may be exceeded by what an owner lets in that has not heard all holders yet: a
// job that waits for that misses the objective of its answer and is refused.
func New(now time.Time, over float64) *Tracker {
	return &Tracker{began: now, over: over, backlogs: map[Key]*backlog{}}
}

// Record takes a node's word.
func (l *Tracker) Record(now time.Time, key Key, w Report) {
	b := l.backlogs[key]
	if b == nil {
		b = &backlog{since: now, words: map[string]heard{}}
		l.backlogs[key] = b
	}
	if old, known := b.words[w.Node]; known && (w.Boot < old.Boot || (w.Boot == old.Boot && w.Sequence < old.Sequence)) {
		return
	}
	b.words[w.Node] = heard{w, now}
}

// Reserve decides on a job of so many tokens, which the node's word counts already.
// natural: this node is the first choice among all nodes, so that holders have told nobody
// else. The word counts from then on if the job fits, and else the node's earlier one.
func (l *Tracker) Reserve(now time.Time, key Key, w Report, job, limit int64, natural bool) (v Decision, waiting int64) {
	known := l.backlogs[key] != nil
	l.Record(now, key, w)
	b := l.backlogs[key]
	defer func() {
		if v != Fits {
			l.Record(now, key, Report{Node: w.Node, Boot: w.Boot, Sequence: w.Sequence, Tokens: w.Tokens - job})
		}
	}()
	if !known && natural && now.Sub(l.began) >= learnTime {
		b.since = l.began // nobody holds any of it, or this node would have heard
	}
	waiting = b.sum(now)
	switch {
	case waiting > limit:
		return Full, waiting
	case now.Sub(b.since) >= learnTime:
		return Fits, waiting
	case float64(b.early+job) > l.over*float64(limit):
		return Unsure, waiting
	}
	b.early += job
	return Fits, waiting
}

// sum returns what waits at all nodes.
func (b *backlog) sum(now time.Time) int64 {
	total := int64(0)
	for _, w := range b.words {
		if now.Sub(w.at) < goneAfter {
			total += w.Tokens
		}
	}
	return total
}

// DropExpired drops what is too old to count.
func (l *Tracker) DropExpired(now time.Time) {
	for key, b := range l.backlogs {
		maps.DeleteFunc(b.words, func(_ string, w heard) bool { return now.Sub(w.at) >= goneAfter })
		if len(b.words) == 0 {
			delete(l.backlogs, key)
		}
	}
}
