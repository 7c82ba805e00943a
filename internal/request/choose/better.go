package choose

import (
	"maps"
	"time"
)

// RecordEvent notes an event of a target.
func (t *Table) RecordEvent(now time.Time, id string) {
	if e := t.entries[id]; e != nil {
		e.heardAt = now
	}
}

// BetterElsewhere reports whether an online request that waits for an event of a target
// would come sooner to it at another. A target that was heard within the time
// given lives: what waits there has its turn coming, and only a free slot
// elsewhere is better. One that was not heard may be dead, and any that takes the
// request is better.
func (t *Table) BetterElsewhere(now time.Time, id string, need Need, heard time.Duration) bool {
	need.Exclude = maps.Clone(need.Exclude)
	if need.Exclude == nil {
		need.Exclude = map[string]bool{}
	}
	need.Exclude[id] = true
	others := t.usable(now, need)
	e := t.entries[id]
	if e == nil || now.Sub(e.heardAt) > heard {
		return len(others) > 0
	}
	return len(keep(others, func(other *entry) bool { return other.freeOnline(now) > 0 })) > 0
}
