package choose

import "github.com/marblepond/marblepond/internal/request/continuation"

// overflow returns how many requests may be queued at a target beyond its slots. While
// targets of several versions serve, an answer that has begun can use only some of them, and
// may be queued twice as deep as new ones, which can go elsewhere.
func (t *Table) overflow(need Need) int {
	if need.Origin.Begun() && t.severalVersions[need.Service] {
		return 2 * need.Overflow
	}
	return need.Overflow
}

// versionCounts holds how many targets of each version may get work, now or later.
type versionCounts map[continuation.Version]int

// versionsForNewStreams returns the versions at which resumable streams are begun: those in
// use, or all if no target of a version in use is left.
func (t *Table) versionsForNewStreams(service string) versionCounts {
	all, inUse := versionCounts{}, versionCounts{}
	for _, id := range t.byService[service] {
		if e := t.entries[id]; t.mayContinueAt(e) {
			all[e.Version]++
		}
	}
	for v, n := range all {
		if t.cfg.VersionInUse == nil || t.cfg.VersionInUse(service, v) {
			inUse[v] = n
		}
	}
	if len(inUse) == 0 {
		return all
	}
	return inUse
}

func (c versionCounts) allowed(entries []*entry) []*entry {
	return filter(entries, func(e *entry) bool { return c[e.Version] > 0 })
}

// preferred leaves out targets that are the last ones of their version, if there are others:
// if such a target is lost, its streams cannot continue anywhere.
func (c versionCounts) preferred(entries []*entry) []*entry {
	return filterOrAll(c.allowed(entries), func(e *entry) bool { return c[e.Version] > 1 })
}

// mayContinueAt reports whether a target may get work, now or later.
func (t *Table) mayContinueAt(e *entry) bool { return !e.leaving && !t.evacuated[e.DataCentre] }

// Supply returns whether a target is left at which an answer that has begun may continue. A
// version is gone once targets of other versions alone are left: while there is no target at
// all, those that crashed may return.
func (t *Table) Supply(service string, o continuation.Origin) continuation.Supply {
	others := false
	for _, id := range t.byService[service] {
		e := t.entries[id]
		if !e.leaving && o.Allows(e.Version) {
			return continuation.Busy
		}
		others = others || !e.leaving
	}
	if others {
		return continuation.Gone
	}
	return continuation.Busy
}

// SeveralVersions reports whether targets of several versions of a service are listed.
func (t *Table) SeveralVersions(service string) bool { return t.severalVersions[service] }
