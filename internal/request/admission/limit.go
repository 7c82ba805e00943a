package admission

import (
	"math"
	"time"
)

const (
	// toleratedLate is the share of the requests sent while no slot is free that may be overdue: the
	// limit is a quantile, which needs some beyond it.
	toleratedLate = 0.15
	// limitStep is the change of the used share by one request, and fullStepAfter the time
	// since the one before from which on it is made in full. Lateness shows only 0.3 s after
	// a request was sent; a node with 800 requests a second that made full steps swung
	// between both ends of the range and served 93 % of what the targets could.
	limitStep     = 0.1
	fullStepAfter = 100 * time.Millisecond
	// initialUse is the share of reportAge that requests may be queued at targets on average.
	// Targets differ in their queues, so that an average near the whole time makes half of the
	// requests overdue.
	initialUse = 0.5
	// The range of the used share. Below 0 the limit is below the number of slots: targets
	// may be slower, or other nodes may have more in flight there, than is known.
	minUse, maxUse = -1.0, 1.0
	// relaxTime is the time constant with which the used share returns to initialUse without
	// evidence.
	relaxTime = 3 * time.Second
)

// limit is the share of reportAge that requests may be queued at targets, as adapted to
// the lateness of the requests sent. It falls with each that is late and rises with each that
// is in time, so that toleratedLate of them are late (stochastic approximation of a quantile).
type limit struct {
	use        float64
	recordedAt time.Time
}

// at returns the used share at a time.
func (l *limit) at(now time.Time) float64 {
	if l.recordedAt.IsZero() {
		return initialUse
	}
	return initialUse + (l.use-initialUse)*math.Exp(-now.Sub(l.recordedAt).Seconds()/relaxTime.Seconds())
}

func (l *limit) record(now time.Time, late bool) {
	use := l.at(now)
	step := limitStep
	if !l.recordedAt.IsZero() {
		step *= min(1, now.Sub(l.recordedAt).Seconds()/fullStepAfter.Seconds())
	}
	if late {
		use -= step * (1 - toleratedLate)
	} else {
		use += step * toleratedLate
	}
	l.use, l.recordedAt = min(maxUse, max(minUse, use)), now
}
