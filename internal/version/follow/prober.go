package follow

import (
	"context"
	"time"

	"github.com/marblepond/marblepond/internal/process/wait"
)

// probeTimeout bounds one probe; the store answers in milliseconds.
const probeTimeout = 600 * time.Millisecond

// Prober asks the store for a cheap answer at a fixed rate, so that an outage
// and its end are noticed while every watch is waiting. The client notes the
// outcome in the store's health; followers start their watches again when it
// returns.
type Prober struct {
	// Ping is the cheapest call that the store answers.
	Ping     func(ctx context.Context) error
	Interval time.Duration
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	for wait.For(ctx, p.Interval) {
		probe, cancel := context.WithTimeout(ctx, probeTimeout)
		_ = p.Ping(probe) // the outcome is in the store's health
		cancel()
	}
}
