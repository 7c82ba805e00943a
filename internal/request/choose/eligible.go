package choose

import "time"

// Reason tells why a target gets no new work; empty: it gets it.
type Reason string

// The reasons, in the order in which they are given: where several apply, an
// operator is told the one that lasts longest.
const (
	Leaving   Reason = "leaving"
	Evacuated Reason = "its data centre is evacuated"
	Unhealthy Reason = "unhealthy"
	Failing   Reason = "failed several times in a row"
	Probing   Reason = "on trial"
	NotLoaded Reason = "what is asked for is not loaded"
	WarmingUp Reason = "warming up"
)

// reason returns why a target gets no work of a kind now; empty: it gets it while it has
// room.
func (t *Table) reason(now time.Time, e *entry, need Need) Reason {
	switch {
	case e.leaving:
		return Leaving
	case t.evacuated[e.DataCentre]:
		return Evacuated
	case e.known && !e.load.Healthy:
		return Unhealthy
	case !e.ejectedUntil.IsZero() && now.Before(e.ejectedUntil):
		return Failing
	case e.trial:
		return Probing
	case need.Loaded != "" && !e.has(need.Loaded):
		return NotLoaded
	case !e.warm(now) && !t.takesCold(now, e, need):
		return WarmingUp
	}
	return ""
}

func (e *entry) has(name string) bool {
	if !e.known {
		return false
	}
	for _, l := range e.load.Loaded {
		if l == name {
			return true
		}
	}
	return false
}

// SetEvacuated replaces the data centres whose targets get no work. Targets of one that is
// evacuated no more are taken to warm up: they may have started again meanwhile.
func (t *Table) SetEvacuated(now time.Time, dataCentres []string) {
	before := t.evacuated
	t.evacuated = make(map[string]bool, len(dataCentres))
	for _, name := range dataCentres {
		t.evacuated[name] = true
	}
	for _, e := range t.entries {
		if before[e.DataCentre] && !t.evacuated[e.DataCentre] {
			t.warmUp(now, e, t.warmUpOf(e.Service).Time)
		}
	}
}

// Evacuated reports whether a target stands in a data centre that is evacuated.
func (t *Table) Evacuated(target Target) bool { return t.evacuated[target.DataCentre] }

// AllEvacuated reports whether a service has targets that are not leaving, and all of
// these stand in data centres that are evacuated.
func (t *Table) AllEvacuated(service string) bool {
	evacuated := false
	for _, id := range t.rank[service] {
		e := t.entries[id]
		if e.leaving {
			continue
		}
		if !t.evacuated[e.DataCentre] {
			return false
		}
		evacuated = true
	}
	return evacuated
}
