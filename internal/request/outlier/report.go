package outlier

import "time"

// Report returns the evidence of this node, of its group or of its data centre, by target,
// for the report of that level to others. Outcomes are stated only for targets with a known
// failure or a verdict, and Alive only where this node has attempts in flight, so that the
// report is small while nothing fails.
func (j *Judge) Report(now time.Time, level Level) map[string]Evidence {
	out := map[string]Evidence{}
	for id, t := range j.targets {
		if t.idle() {
			continue
		}
		e := j.own(now, t)
		if t.inFlight == 0 {
			e.Alive = 0
		}
		if !t.outcomesMatter(now, e) {
			e.Succeeded = 0
		}
		if e != (Evidence{}) {
			out[id] = e
		}
	}
	for r, report := range j.reports {
		if r.Level >= level {
			continue
		}
		for id, e := range report {
			out[id] = out[id].Plus(e)
		}
	}
	return out
}

// idle reports whether this node has no evidence about a target.
func (t *target) idle() bool {
	return t.inFlight == 0 && len(t.waiting) == 0 && t.window.empty()
}

// outcomesMatter reports whether other nodes need this node's successes at a target: they
// know of a failure there, or still have it on trial after this node readmitted it.
func (t *target) outcomesMatter(now time.Time, own Evidence) bool {
	return own.Failed+t.reported.Failed > 0 || t.state != Admitted || (!t.readmitted.IsZero() && now.Sub(t.readmitted) < windowLength)
}

// SetReport replaces what a reporter stated; nil drops it.
func (j *Judge) SetReport(r Reporter, report map[string]Evidence) {
	old := j.reports[r]
	if report == nil {
		delete(j.reports, r)
	} else {
		j.reports[r] = report
	}
	for id, e := range old {
		if t := j.targets[id]; t != nil {
			t.reported = t.reported.plus(e, -1)
			if _, stays := report[id]; !stays {
				delete(t.floors, r)
			}
		}
	}
	for id, e := range report {
		if t := j.targets[id]; t != nil {
			t.reported = t.reported.Plus(e)
			t.lowerFloor(r, e)
			if e.Alive > 0 {
				t.dropAllGivenUp() // it served another node meanwhile
			}
		}
	}
}

// DropDataCentre drops what the nodes and groups of this data centre reported, because the
// nodes are divided into new groups.
func (j *Judge) DropDataCentre() {
	for r := range j.reports {
		if r.Level != DataCentre {
			j.SetReport(r, nil)
		}
	}
}

// setFloors leaves all outcomes out that were reported so far.
func (j *Judge) setFloors(t *target) {
	t.floors = map[Reporter]Evidence{}
	for r, report := range j.reports {
		if e := report[t.ID]; e.Failed+e.Succeeded > 0 {
			t.floors[r] = Evidence{Failed: e.Failed, Succeeded: e.Succeeded}
		}
	}
}

// lowerFloor adapts the floor to a newer report: outcomes that the window of the reporter
// has dropped are no longer part of it.
func (t *target) lowerFloor(r Reporter, e Evidence) {
	floor, ok := t.floors[r]
	if !ok {
		return
	}
	floor = Evidence{Failed: min(floor.Failed, e.Failed), Succeeded: min(floor.Succeeded, e.Succeeded)}
	if floor == (Evidence{}) {
		delete(t.floors, r)
		return
	}
	t.floors[r] = floor
}

// raiseFailures leaves all failures out that were reported so far.
func (j *Judge) raiseFailures(t *target) {
	if t.reported.Failed == 0 {
		return
	}
	for r, report := range j.reports {
		if e := report[t.ID]; e.Failed > 0 {
			floor := t.floors[r]
			floor.Failed = e.Failed
			t.floors[r] = floor
		}
	}
}

// part is the evidence of one reporter about a target.
type part struct {
	Reporter
	Evidence
}

// sums are the evidence about a target, in parts and added up.
type sums struct {
	parts             []part
	own, centre, all  Evidence // of this node, of its data centre, of the fleet
	reporters, nearby int      // with failures: of the fleet, of this data centre
}

// sum adds up the evidence about a target.
func (j *Judge) sum(now time.Time, t *target) sums {
	s := sums{own: j.own(now, t)}
	s.add(part{self, s.own})
	for r, report := range j.reports {
		if e, ok := report[t.ID]; ok {
			s.add(part{r, e.plus(t.floors[r], -1)})
		}
	}
	return s
}

func (s *sums) add(p part) {
	s.parts = append(s.parts, p)
	s.all = s.all.Plus(p.Evidence)
	failing := 0
	if p.Failed > 0 {
		failing = 1
	}
	s.reporters += failing
	if p.Level != DataCentre {
		s.centre = s.centre.Plus(p.Evidence)
		s.nearby += failing
	}
}
