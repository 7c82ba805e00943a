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
