package choose

import (
	"time"

	"github.com/marblepond/marblepond/internal/request/outlier"
)

// Reason is why a target gets no new work; empty: it gets work.
type Reason string

// The reasons, in order of precedence: where several apply, operators are shown the
// one that lasts longest.
const (
	Leaving   Reason = "leaving"
	Unlisted  Reason = "not listed"
	Evacuated Reason = "its data centre is evacuated"
	Unhealthy Reason = "unhealthy"
	Failing   Reason = "failed several times in a row"
	Outlier   Reason = "ejected, because nodes observe that it fails or hangs"
	Probing   Reason = "on trial"
	NotLoaded Reason = "what is asked for is not loaded"
	// OtherVersion concerns only answers that a target of another version began.
	OtherVersion Reason = "another software version"
	WarmingUp    Reason = "warming up"
)

// reason returns why a target cannot get the given kind of work now, apart from
// missing free slots; empty: it can.
func (t *Table) reason(now time.Time, e *entry, need Need) Reason {
	switch {
	case e.leaving:
		return Leaving
	case e.unlisted:
		return Unlisted
	case t.evacuated[e.DataCentre]:
		return Evacuated
	case e.hasLoad && !e.load.Healthy:
		return Unhealthy
	case !e.ejectedUntil.IsZero() && now.Before(e.ejectedUntil):
		return Failing
	case e.state == outlier.Ejected:
		return Outlier
	case e.probing, e.state == outlier.OnTrial && !need.probe:
		return Probing
	case need.Loaded != "" && !e.has(need.Loaded):
		return NotLoaded
	case !need.Origin.Allows(e.Version):
		return OtherVersion
	case !e.warm(now) && !t.hasColdTurn(now, e, need):
		return WarmingUp
	case !t.hasReadmissionTurn(now, e, need):
		return WarmingUp
	}
	return ""
}

func (e *entry) has(name string) bool {
	if !e.hasLoad {
		return false
	}
	for _, l := range e.load.Loaded {
		if l == name {
			return true
		}
	}
	return false
}

// SetEvacuated replaces the list of data centres whose targets get no work. Targets of
// a data centre that is no longer evacuated start to warm up, because they may have
// restarted meanwhile.
func (t *Table) SetEvacuated(now time.Time, dataCentres []string) {
	previous := t.evacuated
	t.evacuated = make(map[string]bool, len(dataCentres))
	for _, name := range dataCentres {
		t.evacuated[name] = true
	}
	for _, e := range t.entries {
		if previous[e.DataCentre] && !t.evacuated[e.DataCentre] {
			t.startWarmUp(now, e, t.warmUpRate(e.Service).Time)
		}
	}
}

// Evacuated reports whether a target's data centre is evacuated.
func (t *Table) Evacuated(target Target) bool { return t.evacuated[target.DataCentre] }

// AllEvacuated reports whether a service has listed targets that are not leaving and all of
// these are in evacuated data centres.
func (t *Table) AllEvacuated(service string) bool {
	evacuated := false
	for _, id := range t.byService[service] {
		e := t.entries[id]
		if !e.isServing() {
			continue
		}
		if !t.evacuated[e.DataCentre] {
			return false
		}
		evacuated = true
	}
	return evacuated
}
