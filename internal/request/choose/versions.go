package choose

import (
	"maps"
	"time"

	"github.com/marblepond/marblepond/internal/request/continuation"
)

// overflow returns how many requests may be queued at a target beyond its slots. While
// targets of several versions serve, an answer that has begun can use only some of them, and
// may be queued twice as deep as new ones, which can go elsewhere.
func (t *Table) overflow(need Need) int {
	if need.Origin.Begun() && t.severalVersions[need.Service] {
		return 2 * need.Overflow
	}
	return need.Overflow
}

// roomShare is one in how many targets of each version keeps a slot for answers that have begun.
const roomShare = 8

// keptSlots holds how many slots of a target new requests leave free.
type keptSlots map[string]int

// keptSlots returns the slots that a request has to leave free. An answer that has begun can
// use the targets of one version only; in an overload new requests, which can use them all,
// would take each slot that becomes free. None are kept while targets of one version alone
// are usable, or for items, which yield their slots.
func (t *Table) keptSlots(now time.Time, need Need) keptSlots {
	if need.Batch || need.Origin.Begun() || !t.severalVersions[need.Service] {
		return nil
	}
	kept, usable := keptSlots{}, versionCounts{}
	for _, id := range t.byService[need.Service] {
		e := t.entries[id]
		if !t.mayContinueAt(e) || t.reason(now, e, Need{Service: need.Service}) != "" {
			continue
		}
		if usable[e.Version]%roomShare == 0 {
			kept[id] = min(1, e.slots()-1)
		}
		usable[e.Version]++
	}
	if len(usable) < 2 {
		return nil
	}
	return kept
}

// allow reports whether a request may use a target with this many free slots. It is not queued
// at a target that keeps slots.
func (k keptSlots) allow(id string, free int) bool {
	n, ok := k[id]
	return !ok || free > n
}

// versionCounts holds how many targets of each version may get work, now or later.
type versionCounts map[continuation.Version]int

// versionsForNewStreams returns the versions at which resumable streams are begun: those in
// use, or those with the most targets if none with a target left is known to be in use. A node that
// has just started does not know since when a version is listed; other nodes are most likely to know
// that of most targets.
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
	if len(inUse) > 0 {
		return inUse
	}
	most := 0
	for _, n := range all {
		most = max(most, n)
	}
	maps.DeleteFunc(all, func(_ continuation.Version, n int) bool { return n < most })
	return all
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
func (t *Table) mayContinueAt(e *entry) bool { return e.isServing() && !t.evacuated[e.DataCentre] }

// Supply returns whether a target is left at which an answer that has begun may continue. A
// version is gone once targets of other versions alone are left: while there is no target at
// all, those that crashed may return.
func (t *Table) Supply(now time.Time, service string, o continuation.Origin) continuation.Supply {
	left, others := false, false
	for _, id := range t.byService[service] {
		e := t.entries[id]
		switch {
		case !e.isServing():
		case !o.Allows(e.Version):
			others = true
		case t.getsWork(now, e):
			return continuation.Busy
		default:
			left = true
		}
	}
	switch {
	case left:
		return continuation.Unusable
	case others:
		return continuation.Gone
	}
	return continuation.Busy
}

// getsWork reports whether a target gets work now or within moments, once it has a free slot.
func (t *Table) getsWork(now time.Time, e *entry) bool {
	switch t.reason(now, e, Need{Service: e.Service}) {
	case Evacuated, Unhealthy, Failing, Outlier:
		return false
	}
	return true
}

// SeveralVersions reports whether targets of several versions of a service are listed.
func (t *Table) SeveralVersions(service string) bool { return t.severalVersions[service] }
