package choose

import "time"

// Status describes a target for operators and for the node's own tasks.
type Status struct {
	Target
	Load    Load
	Known   bool // a load report has arrived
	Online  int  // own online requests in flight
	Leaving bool
	Reason  Reason // why it gets no requests; empty: it gets them
}

// List returns all targets sorted by ID.
func (t *Table) List(now time.Time) []Status {
	var out []Status
	for _, id := range t.order {
		e := t.entries[id]
		out = append(out, Status{e.Target, e.load, e.hasLoad, e.online, e.leaving, t.reason(now, e, Need{})})
	}
	return out
}

// Get returns the status of one target.
func (t *Table) Get(now time.Time, id string) (Status, bool) {
	e := t.entries[id]
	if e == nil {
		return Status{}, false
	}
	return Status{e.Target, e.load, e.hasLoad, e.online, e.leaving, t.reason(now, e, Need{})}, true
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
