package allowance

import (
	"math"
	"time"

	"github.com/marblepond/marblepond/internal/version/workspace"
)

// Cause is the reason why tokens were refused.
type Cause string

// The causes.
const (
	UsedUp       Cause = "the allowance is used up"
	Partitioned  Cause = "data centres are unreachable, and their share of the allowance is reserved for them"
	NotPreferred Cause = "the preferred owner is reachable, and another node lends only a small part in its place"
)

// refusalCause returns why an owner with such a view of the fleet has too few tokens.
func refusalCause(view FleetView) Cause {
	switch {
	case view.PreferredReachable:
		return NotPreferred
	case view.Isolated, view.partitioned():
		return Partitioned
	}
	return UsedUp
}

// usageTimeConstant is the time over which the usage shown to operators is averaged.
const usageTimeConstant = 5 * time.Second

// Use is the state of a workspace's bucket, for operators.
type Use struct {
	Workspace string
	Limit     workspace.Allowance
	Portion   float64 // of the allowance that this node lends
	Level     float64 // tokens in the bucket
	Lent      float64 // tokens per second, averaged over usageTimeConstant
	Refused   float64 // tokens per second, averaged over usageTimeConstant
	// RefusedAt is when tokens were last refused, zero if never, and Cause the reason.
	RefusedAt time.Time
	Cause     Cause
}

// Uses returns the state of all buckets, in no order.
func (bs *Buckets) Uses(now time.Time) []Use {
	out := make([]Use, 0, len(bs.byWorkspace))
	for name, b := range bs.byWorkspace {
		out = append(out, Use{Workspace: name, Limit: b.limit, Portion: b.portion, Level: b.tokens,
			Lent: b.lent.value(now, usageTimeConstant) / usageTimeConstant.Seconds(), Refused: b.refused.value(now, usageTimeConstant) / usageTimeConstant.Seconds(), RefusedAt: b.refusedAt, Cause: b.refusalCause})
	}
	return out
}

// decayingSum is an exponentially decaying sum.
type decayingSum struct {
	sum       float64
	updatedAt time.Time
}

func (d *decayingSum) add(now time.Time, n float64, over time.Duration) {
	d.sum = d.value(now, over) + n
	d.updatedAt = now
}

// value returns the sum now. Divided by over, the time constant of the decay, it is a rate.
func (d *decayingSum) value(now time.Time, over time.Duration) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp(-now.Sub(d.updatedAt).Seconds()/over.Seconds())
}
