// Package callers bounds what the callers of a node occupy: memory, connections and descriptors.
package callers

import (
	"context"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"github.com/marblepond/marblepond/internal/connection/intake"
	"github.com/marblepond/marblepond/internal/process/settings"
	"github.com/marblepond/marblepond/internal/process/timeline"
)

const (
	// memoryPart is the part of a node's memory that callers may occupy, unless the settings state it.
	memoryPart = 4
	// defaultMemory in bytes applies to a node without a limit on its memory.
	defaultMemory = 256 << 20
)

// Memory returns the memory in bytes that callers may occupy.
func Memory(s *settings.Settings) int64 {
	switch {
	case s.CallerMemory > 0:
		return int64(s.CallerMemory)
	case s.Memory > 0:
		return int64(s.Memory) << 20 / memoryPart
	}
	return defaultMemory
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

// Connections returns how many connections of callers a node accepts, with the number of descriptors
// that the process may open.
func Connections(s *settings.Settings, descriptors uint64) int {
	if s.CallerConnections > 0 {
		return s.CallerConnections
	}
	most := int(min(descriptors/descriptorPart, math.MaxInt32))
	if s.Memory > 0 {
		most = min(most, s.Memory<<20/connectionMemoryPart/connectionBytes)
	}
	return max(1, most)
}

// Descriptors returns how many descriptors the process may open.
func Descriptors(s *settings.Settings) uint64 {
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

const (
	// uncountedMemory in bytes is left for what the Go runtime does not count, some 18 MiB of the
	// program itself that are resident and kernel buffers, and for what is allocated while a collection
	// runs.
	uncountedMemory = 32 << 20
	// minHeapPart is the least part of the allowed memory for what the runtime counts.
	minHeapPart = 2
)

// HeapLimit returns the soft memory limit in bytes of the Go runtime for a process that may use so
// many MiB.
func HeapLimit(mebibytes int) int64 {
	allowed := int64(mebibytes) << 20
	return max(allowed/minHeapPart, allowed-uncountedMemory)
}

// Server serves callers within the bounds of a gate.
type Server struct {
	HTTP *http.Server
	Gate *intake.Gate
}

// NewServer returns a server whose callers' headers and connections are bounded by the settings and
// take memory of a budget.
func NewServer(server *http.Server, memory *intake.Budget, s *settings.Settings) *Server {
	c := &Server{HTTP: server, Gate: intake.NewGate(memory, Connections(s, Descriptors(s)), s.WriteTimeout)}
	c.Gate.Guard(c.HTTP)
	return c
}

const (
	// statsInterval is the time between updates of the metrics of callers' bounds.
	statsInterval = time.Second
	// logInterval is the least time between two log lines on bounds that were met.
	logInterval = 10 * time.Second
)

// RecordStats updates the metrics of what callers occupy, and logs that their bounds were met, once for
// many refusals, until ctx ends.
func (c *Server) RecordStats(ctx context.Context, metrics tally.Scope, recorder *timeline.Recorder, node string) {
	var metered, logged intake.Stats
	var loggedAt time.Time
	ticker := time.NewTicker(statsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := c.Gate.Stats()
		metrics.Gauge("caller_bytes").Update(float64(now.Bytes))
		metrics.Gauge("caller_connections").Update(float64(now.Connections))
		for _, cause := range causesSince(metered, now) {
			metrics.Tagged(map[string]string{"cause": cause.name}).Counter("caller_bounds_met").Inc(cause.count)
		}
		metered = now
		since := causesSince(logged, now)
		if len(since) == 0 || time.Since(loggedAt) < logInterval {
			continue
		}
		fields := []timeline.Field{{Name: "bytes", Value: now.Bytes}, {Name: "connections", Value: now.Connections}}
		for _, cause := range since {
			fields = append(fields, timeline.Field{Name: cause.name, Value: cause.count})
		}
		recorder.Record(timeline.CallersBounded, "", node, "callers met the bounds on what they may occupy", fields...)
		logged, loggedAt = now, time.Now()
	}
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
