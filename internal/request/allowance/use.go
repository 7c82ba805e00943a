package allowance

import (
	"math"
	"time"

	"github.com/marblepond/marblepond/internal/version/workspace"
)

// Cause says why tokens were refused.
type Cause string

// The causes.
const (
	UsedUp       Cause = "the allowance is used up"
	Partitioned  Cause = "data centres are not heard, and their part is left to them"
	NotPreferred Cause = "the owner lives, and only a small part is lent in its place"
)

// cause returns why an owner with these surroundings has no more to lend.
func cause(around FleetView) Cause {
	switch {
	case around.PreferredReachable:
		return NotPreferred
	case around.Isolated, around.silent():
		return Partitioned
	}
	return UsedUp
}

// windowTime is the time over which use is averaged for operators.
const windowTime = 5 * time.Second

// Use is what an owner knows of a workspace, for operators.
type Use struct {
	Workspace string
	Limit     workspace.Allowance
	Portion   float64 // of the allowance that this node lends
	Level     float64 // tokens that could be lent
	Lent      float64 // requests a second, mean of some seconds
	Refused   float64 // requests a second, the same
	// RefusedAt is when one was last refused, zero: none was; Why says why.
	RefusedAt time.Time
	Cause     Cause
}

// Uses returns what is lent now, in no order.
func (l *Buckets) Uses(now time.Time) []Use {
	out := make([]Use, 0, len(l.accounts))
	for name, a := range l.accounts {
		out = append(out, Use{Workspace: name, Limit: a.limit, Portion: a.portion, Level: a.level,
			Lent: a.lent.value(now, windowTime) / windowTime.Seconds(), Refused: a.refused.value(now, windowTime) / windowTime.Seconds(), RefusedAt: a.refusedAt, Cause: a.why})
	}
	return out
}

// decaying is a sum of which old parts count ever less.
type decaying struct {
	sum float64
	at  time.Time
}

func (d *decaying) add(now time.Time, n float64, over time.Duration) {
	d.sum = d.value(now, over) + n
	d.at = now
}

// value returns the sum now; divided by the time over which it decays it is a rate.
func (d *decaying) value(now time.Time, over time.Duration) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp(-now.Sub(d.at).Seconds()/over.Seconds())
}
