package hosted

import (
	"context"
	"math"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"github.com/marblepond/marblepond/internal/connection/intake"
	"github.com/marblepond/marblepond/internal/process/settings"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/version/route"
)

const (
	// callerMemoryPart is the part of a node's memory that callers may occupy, unless the settings
	// state it.
	callerMemoryPart = 4
	// defaultCallerMemory in bytes applies to a node without a limit on its memory.
	defaultCallerMemory = 256 << 20
	// maxHeader bounds the header of a request in bytes for all configurations; the gate enforces
	// the configured limit.
	maxHeader = 1 << 20
)

// callerMemory returns the memory in bytes that callers may occupy.
func callerMemory(s *settings.Settings) int64 {
	switch {
	case s.CallerMemory > 0:
		return int64(s.CallerMemory)
	case s.Memory > 0:
		return int64(s.Memory) << 20 / callerMemoryPart
	}
	return defaultCallerMemory
}

// jobMemoryPart is the part of a node's memory for the items of jobs, unless the settings state it.
const jobMemoryPart = 8

// jobMemory returns the memory in bytes for the items of jobs that the node accepts, 0 for no bound.
func jobMemory(s *settings.Settings) int64 {
	if s.JobMemory > 0 {
		return int64(s.JobMemory)
	}
	return int64(s.Memory) << 20 / jobMemoryPart
}

// outputMemoryPart is the part of a node's memory that cached results of jobs take at most, and as much
// again each checkpoints, output that is not stored yet, and what is read from the object store.
const outputMemoryPart = 16

// resultMemory returns the memory in bytes for cached results, and for output that is not stored yet.
func resultMemory(s *settings.Settings) int { return outputMemory(s, s.ResultMemory) }

// checkpointMemory returns the memory in bytes for checkpoints of other nodes.
func checkpointMemory(s *settings.Settings) int { return outputMemory(s, s.CheckpointMemory) }

// readMemory returns the memory in bytes for reads of stored results and items, 0 for the default.
func readMemory(s *settings.Settings) int64 { return int64(s.Memory) << 20 / outputMemoryPart }

// readDescriptorPart is the part of a node's descriptors for reads of stored results and items, and as
// much again for waits for results at other nodes.
const readDescriptorPart = 16

// readConnections returns how many connections such reads may take, with the number of descriptors that
// the process may open.
func readConnections(descriptors uint64) int {
	return int(max(1, min(descriptors/readDescriptorPart, math.MaxInt32)))
}

func outputMemory(s *settings.Settings, set int) int {
	if s.Memory > 0 {
		return min(set, s.Memory<<20/outputMemoryPart)
	}
	return set
}

const (
	// connectionBytes is the memory of a connection whose request is small.
	connectionBytes = 16 << 10
	// connectionMemoryPart is the part of a node's memory for callers' connections.
	connectionMemoryPart = 8
	// descriptorPart is the part of a node's descriptors for callers' connections. The others are for
	// targets, other nodes, the object store and files.
	descriptorPart = 2
)

// callerConnections returns how many connections of callers the node accepts, with the number of
// descriptors that the process may open.
func callerConnections(s *settings.Settings, descriptors uint64) int {
	if s.CallerConnections > 0 {
		return s.CallerConnections
	}
	most := int(min(descriptors/descriptorPart, math.MaxInt32))
	if s.Memory > 0 {
		most = min(most, s.Memory<<20/connectionMemoryPart/connectionBytes)
	}
	return max(1, most)
}

// openDescriptors returns how many descriptors the process may open.
func openDescriptors(s *settings.Settings) uint64 {
	limit := uint64(math.MaxUint64)
	if s.Descriptors > 0 {
		limit = uint64(s.Descriptors)
	}
	var process unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &process) == nil {
		limit = min(limit, process.Cur)
	}
	return limit
}

// callerServer serves callers within the bounds of a gate.
type callerServer struct {
	http *http.Server
	gate *intake.Gate
}

func newCallerServer(handler http.Handler, memory *intake.Budget, s *settings.Settings) *callerServer {
	c := &callerServer{http: &http.Server{Handler: handler, MaxHeaderBytes: maxHeader},
		gate: intake.NewGate(memory, callerConnections(s, openDescriptors(s)), s.WriteTimeout)}
	c.gate.Guard(c.http)
	return c
}

// setLimits applies the limits of the configuration in force.
func (c *callerServer) setLimits(l route.Limits) {
	c.gate.SetLimits(intake.Limits{HeaderBytes: l.HeaderBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout})
}

const (
	// callerStatsInterval is the time between updates of the metrics of callers' bounds.
	callerStatsInterval = time.Second
	// callerLogInterval is the least time between two log lines on bounds that were met.
	callerLogInterval = 10 * time.Second
)

// recordCallerStats updates the metrics of what callers occupy, and logs that their bounds were met,
// once for many refusals.
func (n *Node) recordCallerStats(ctx context.Context) {
	var metered, logged intake.Stats
	var loggedAt time.Time
	every(ctx, callerStatsInterval, func() {
		now := n.callers.gate.Stats()
		n.metrics.Gauge("caller_bytes").Update(float64(now.Bytes))
		n.metrics.Gauge("caller_connections").Update(float64(now.Connections))
		for _, c := range causesSince(metered, now) {
			n.metrics.Tagged(map[string]string{"cause": c.name}).Counter("caller_bounds_met").Inc(c.count)
		}
		metered = now
		since := causesSince(logged, now)
		if len(since) == 0 || time.Since(loggedAt) < callerLogInterval {
			return
		}
		fields := []timeline.Field{field("bytes", now.Bytes), field("connections", now.Connections)}
		for _, c := range since {
			fields = append(fields, field(c.name, c.count))
		}
		n.recorder.Record(timeline.CallersBounded, "", n.settings.NodeID, "callers met the bounds on what they may occupy", fields...)
		logged, loggedAt = now, time.Now()
	})
}

// cause is the name of a bound in metrics and logs, and how often it was met.
type cause struct {
	name  string
	count int64
}

// causesSince returns the bounds that were met between two states of the gate.
func causesSince(before, now intake.Stats) []cause {
	all := []cause{
		{"header_too_large", now.HeaderTooLarge - before.HeaderTooLarge}, {"header_late", now.HeaderLate - before.HeaderLate},
		{"body_too_large", now.BodyTooLarge - before.BodyTooLarge}, {"body_late", now.BodyLate - before.BodyLate}, {"body_broken", now.BodyBroken - before.BodyBroken},
		{"no_memory", now.NoMemory - before.NoMemory}, {"gave_way", now.GaveWay - before.GaveWay},
		{"connections_closed", now.ConnectionsClosed - before.ConnectionsClosed}, {"connections_refused", now.ConnectionsRefused - before.ConnectionsRefused},
	}
	return slices.DeleteFunc(all, func(c cause) bool { return c.count == 0 })
}
