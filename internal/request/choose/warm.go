package choose

import (
	"time"

	"github.com/marblepond/marblepond/internal/request/warmup"
)

// warm reports whether a target is past its slow start and takes work at any rate.
func (e *entry) warm(now time.Time) bool { return !now.Before(e.warmAt) }

// startWarmUp marks a target as cold for the time left. A later call can only prolong
// that: a report with a shorter time may date from before the target became cold.
func (t *Table) startWarmUp(now time.Time, e *entry, left time.Duration) {
	if left <= 0 {
		return
	}
	if e.warm(now) {
		e.coldSince, e.lastTurn = now, warmup.NoTurn
	}
	if until := now.Add(left); until.After(e.warmAt) {
		e.warmAt = until
	}
}

// MarkWarmingUp marks one incarnation of a target as cold for the time left.
func (t *Table) MarkWarmingUp(now time.Time, id string, incarnation uint64, left time.Duration) {
	if e := t.entries[id]; e != nil && e.Incarnation == incarnation {
		t.startWarmUp(now, e, left)
	}
}

// SetPosition sets this node's position among the nodes that take turns at cold targets.
func (t *Table) SetPosition(p warmup.Position) { t.position = p }

// warmUpRate returns how targets of a service warm up; zero: they need not.
func (t *Table) warmUpRate(service string) warmup.Rate {
	if t.cfg.WarmUp == nil {
		return warmup.Rate{}
	}
	return t.cfg.WarmUp(service)
}

// hasColdTurn reports whether this node may send the given kind of work to a cold target
// now. If the rate of cold targets is limited, batch items get none of it, and an online
// request needs a turn of this node that is not used yet.
func (t *Table) hasColdTurn(now time.Time, e *entry, need Need) bool {
	rate := t.warmUpRate(e.Service)
	if rate.PerSecond <= 0 {
		return true
	}
	if need.Batch {
		return false
	}
	turn := t.position.Turn(e.ID, now.Sub(e.coldSince), rate.PerSecond)
	return turn != warmup.NoTurn && turn != e.lastTurn
}

// useTurn records that this node uses its current turn at a cold target.
func (t *Table) useTurn(now time.Time, e *entry) {
	if rate := t.warmUpRate(e.Service); !e.warm(now) && rate.PerSecond > 0 {
		e.lastTurn = t.position.Turn(e.ID, now.Sub(e.coldSince), rate.PerSecond)
	}
}
