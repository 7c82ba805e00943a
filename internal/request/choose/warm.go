package choose

import (
	"time"

	"github.com/marblepond/marblepond/internal/request/warmup"
)

// warm reports whether a target takes work at any rate.
func (e *entry) warm(now time.Time) bool { return !now.Before(e.warmAt) }

// warmUp notes that a target is cold and warms up for so long. What is said later may
// only make it longer: a shorter time may have been told before the target became cold.
func (t *Table) warmUp(now time.Time, e *entry, left time.Duration) {
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

// MarkWarmingUp notes that one incarnation of a target is cold and warms up for so long.
func (t *Table) MarkWarmingUp(now time.Time, id string, incarnation uint64, left time.Duration) {
	if e := t.entries[id]; e != nil && e.Incarnation == incarnation {
		t.warmUp(now, e, left)
	}
}

// SetPosition says which of the nodes that send work this one is.
func (t *Table) SetPosition(s warmup.Position) { t.turns = s }

// warmUpOf returns how targets of a service warm up.
func (t *Table) warmUpOf(service string) warmup.Rate {
	if t.cfg.WarmUp == nil {
		return warmup.Rate{}
	}
	return t.cfg.WarmUp(service)
}

// takesCold reports whether a cold target takes work of a kind from this node now. Where
// its rate is bounded, items leave that to online requests, and this node needs a turn
// that it has not used.
func (t *Table) takesCold(now time.Time, e *entry, need Need) bool {
	rate := t.warmUpOf(e.Service)
	if rate.PerSecond <= 0 {
		return true
	}
	if need.Batch {
		return false
	}
	turn := t.turns.Turn(e.ID, now.Sub(e.coldSince), rate.PerSecond)
	return turn != warmup.NoTurn && turn != e.lastTurn
}

// useTurn notes that this node uses its turn at a cold target.
func (t *Table) useTurn(now time.Time, e *entry) {
	if rate := t.warmUpOf(e.Service); !e.warm(now) && rate.PerSecond > 0 {
		e.lastTurn = t.turns.Turn(e.ID, now.Sub(e.coldSince), rate.PerSecond)
	}
}
