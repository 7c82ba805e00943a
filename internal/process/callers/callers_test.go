package callers

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/intake"
	"github.com/marblepond/marblepond/internal/process/settings"
)

// Guards against bounds that leave nothing to other parts of a node, or that ignore the settings.
func TestBoundsOfCallers(t *testing.T) {
	is := is.New(t)
	small := &settings.Settings{Memory: 134}
	is.Equal(Memory(small), int64(134<<20/4))
	is.Equal(Connections(small, 4100), 1072) // by memory
	is.Equal(Connections(&settings.Settings{Memory: 1048}, 4200), 2100)
	unlimited := &settings.Settings{}
	is.Equal(Memory(unlimited), int64(defaultMemory))
	is.Equal(Connections(unlimited, math.MaxUint64), math.MaxInt32)
	is.Equal(Connections(unlimited, 1), 1)
	stated := &settings.Settings{Memory: 134, CallerMemory: 5, CallerConnections: 7, Descriptors: 8}
	is.Equal(Memory(stated), int64(5))
	is.Equal(Connections(stated, 4100), 7)
	is.Equal(Descriptors(stated), uint64(8))
}

// Guards against a heap that the collector lets grow until it and the program are over the limit.
func TestMemoryLimitLeavesRoomForTheProgram(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ allowed, limit int }{{96, 64}, {134, 102}, {1048, 1016}, {30, 15}} {
		is.Equal(HeapLimit(c.allowed), int64(c.limit)<<20)
	}
}

// Guards against a bound whose metric or log field is missing, or shows another one.
func TestCausesOfRefusals(t *testing.T) {
	is := is.New(t)
	before := intake.Stats{HeaderTooLarge: 1, GaveWay: 5}
	now := intake.Stats{Bytes: 7, Connections: 8, HeaderTooLarge: 2, HeaderLate: 2, BodyTooLarge: 3, BodyLate: 4, BodyBroken: 9, NoMemory: 5, GaveWay: 5, ConnectionsClosed: 6, ConnectionsRefused: 7}
	is.Equal(causesSince(before, now), []cause{{"header_too_large", 1}, {"header_late", 2}, {"body_too_large", 3}, {"body_late", 4}, {"body_broken", 9}, {"no_memory", 5}, {"connections_closed", 6}, {"connections_refused", 7}})
	is.Equal(len(causesSince(now, now)), 0)
}
