package admission

import "time"

// overloadEndsAfter is how long no request was refused when an overload counts as ended. It
// is longer than a trough of the usual traffic between two peaks.
const overloadEndsAfter = 4 * time.Second

// Overload describes an overload at this node, from its first refusal on.
type Overload struct {
	// Offered, Sent and Refused count requests since it began.
	Offered, Sent, Refused int
	// Estimate is the longest estimate with which a request was sent.
	Estimate    time.Duration
	active      bool
	began       time.Time
	lastRefusal time.Time
}

func (o *Overload) send(estimate time.Duration) {
	o.Sent++
	o.Estimate = max(o.Estimate, estimate)
}

func (o *Overload) refuse(now time.Time) {
	o.Refused++
	o.lastRefusal = now
}

// Change is the begin or the end of an overload.
type Change int

// The changes.
const (
	None Change = iota
	Begun
	Ended
)

// OverloadChange returns whether an overload has begun or ended since the last call, with
// what was counted meanwhile: for Begun since the last end, for Ended since the begin.
func (c *Controller) OverloadChange(now time.Time) (Change, Overload) {
	o := &c.overload
	counted := *o
	switch {
	case !o.active && o.Refused > 0:
		*o = Overload{active: true, began: now, lastRefusal: now}
		return Begun, counted
	case o.active && now.Sub(o.lastRefusal) >= overloadEndsAfter:
		*o = Overload{}
		return Ended, counted
	case o.began.IsZero():
		o.began = now
	case !o.active && now.Sub(o.began) >= overloadEndsAfter:
		*o = Overload{began: now} // the counts before an overload cover the last seconds
	}
	return None, counted
}

// Duration returns how long the overload has lasted.
func (o *Overload) Duration(now time.Time) time.Duration { return now.Sub(o.began) }
