package choose

import (
	"time"

	"github.com/marblepond/marblepond/internal/request/outlier"
)

// Status describes a target for operators and for the node's own tasks.
type Status struct {
	Target
	Load    Load
	Known   bool   // a load report has arrived
	Online  int    // own online requests in flight
	Leaving bool   // or not listed any more; Reason tells them apart
	Reason  Reason // why it gets no requests; empty: it gets them
	// Outlier is the state of the outlier detection; zero while the shared view is off.
	Outlier outlier.Status
	// Pace is the relative pace, see Table.RelativePace; 0: not known. Estimate is the
	// estimated time to the first event of an online request that is sent there now; 0: not
	// known, or the shared view is off.
	Pace     float64
	Estimate time.Duration
}

// status returns the status of a target.
func (t *Table) status(now time.Time, e *entry) Status {
	s := Status{Target: e.Target, Load: e.load, Known: e.hasLoad, Online: e.online, Leaving: !e.isServing(), Reason: t.reason(now, e, Need{})}
	if t.sharedView {
		s.Outlier = t.judge.Status(now, e.ID)
		s.Estimate = t.estimateFirstEvent(now, e)
		s.Pace = e.relativePace
	}
	return s
}

// List returns all targets sorted by ID.
func (t *Table) List(now time.Time) []Status {
	var out []Status
	for _, id := range t.order {
		out = append(out, t.status(now, t.entries[id]))
	}
	return out
}

// Get returns the status of one target.
func (t *Table) Get(now time.Time, id string) (Status, bool) {
	e := t.entries[id]
	if e == nil {
		return Status{}, false
	}
	return t.status(now, e), true
}

// Counts is what a table counts against the slots of one target.
type Counts struct {
	Online    int      // own online requests
	Items     int      // own batch items, including those that are yielding
	Yielding  int      // own batch items that are yielding their slot
	Elsewhere InFlight // of other nodes
	Free      int      // remaining slots; below 0: how many requests wait
}

// Counts returns what the table counts against the slots of a target.
func (t *Table) Counts(id string) Counts {
	e := t.entries[id]
	if e == nil {
		return Counts{}
	}
	return Counts{Online: e.online, Items: e.batch, Yielding: e.yielding, Elsewhere: e.elsewhere, Free: e.free()}
}
