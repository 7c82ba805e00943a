package intake

import (
	"sync/atomic"

	"github.com/marblepond/marblepond/internal/errkind"
)

// Stats is what callers occupy now, and how often the bounds were met since the start.
type Stats struct {
	Bytes       int64 // of the budget
	Connections int

	HeaderTooLarge     int64 // headers over the configured size
	HeaderLate         int64 // headers that did not arrive in time
	BodyTooLarge       int64 // bodies over the configured size
	BodyLate           int64 // bodies that did not arrive in time
	BodyBroken         int64 // bodies that broke off or are malformed
	NoMemory           int64 // headers, bodies and jobs for which there was no memory
	GaveWay            int64 // transfers that gave way to others
	ConnectionsClosed  int64 // connections without use that gave way to new ones
	ConnectionsRefused int64 // new connections for which there was no room
}

// counters count refusals by cause.
type counters struct {
	headerTooLarge, headerLate, bodyTooLarge, bodyLate, bodyBroken atomic.Int64
}

func (c *counters) header(err error) {
	switch {
	case errkind.Is(err, errkind.HeaderTooLarge):
		c.headerTooLarge.Add(1)
	case errkind.Is(err, errkind.RequestTimeout):
		c.headerLate.Add(1)
	}
}

func (c *counters) body(err error) {
	switch {
	case errkind.Is(err, errkind.TooLarge):
		c.bodyTooLarge.Add(1)
	case errkind.Is(err, errkind.RequestTimeout):
		c.bodyLate.Add(1)
	case errkind.Is(err, errkind.Malformed):
		c.bodyBroken.Add(1)
	}
}

// Stats returns the use of the gate and of its budget.
func (g *Gate) Stats() Stats {
	used, counts := g.budget.Usage(), &g.budget.counters
	g.mu.Lock()
	defer g.mu.Unlock()
	return Stats{Bytes: used.Bytes, Connections: len(g.conns), HeaderTooLarge: counts.headerTooLarge.Load(), HeaderLate: counts.headerLate.Load(),
		BodyTooLarge: counts.bodyTooLarge.Load(), BodyLate: counts.bodyLate.Load(), BodyBroken: counts.bodyBroken.Load(), NoMemory: used.Refused, GaveWay: used.Revoked,
		ConnectionsClosed: g.closed, ConnectionsRefused: g.refused}
}
