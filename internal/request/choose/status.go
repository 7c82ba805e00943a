package choose

import "time"

// Status describes a target for operators and duties.
type Status struct {
	Target
	Load    Load
	Known   bool
	Online  int // own
	Leaving bool
	Reason  Reason // why it gets no requests; empty: it gets them
}

// List returns all targets sorted by ID.
func (t *Table) List(now time.Time) []Status {
	var out []Status
	for _, id := range t.order {
		e := t.entries[id]
		out = append(out, Status{e.Target, e.load, e.known, e.online, e.leaving, t.reason(now, e, Need{})})
	}
	return out
}

// Get returns the status of one target.
func (t *Table) Get(now time.Time, id string) (Status, bool) {
	e := t.entries[id]
	if e == nil {
		return Status{}, false
	}
	return Status{e.Target, e.load, e.known, e.online, e.leaving, t.reason(now, e, Need{})}, true
}

// Counts is what a table holds against the slots of one target.
type Counts struct {
	Online    int // own online requests
	Items     int // own batch items, those that are making room among them
	Yielding  int // items that are making room
	Elsewhere InFlight
	Free      int // slots, by all of that; below 0: so many wait
}

// Counts returns what is held against the slots of a target.
func (t *Table) Counts(id string) Counts {
	e := t.entries[id]
	if e == nil {
		return Counts{}
	}
	return Counts{Online: e.online, Items: e.batch, Yielding: e.yielding, Elsewhere: e.elsewhere, Free: e.free()}
}
