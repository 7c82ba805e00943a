package hosted

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/process/settings"
)

// Guards against bounds that leave nothing to other parts of a node, or that ignore the settings.
func TestBoundsOfCallers(t *testing.T) {
	is := is.New(t)
	small := &settings.Settings{Memory: 134}
	is.Equal(callerMemory(small), int64(134<<20/4))
	is.Equal(jobMemory(small), int64(134<<20/8))
	is.Equal(callerConnections(small, 4100), 1072) // by memory
	is.Equal(callerConnections(&settings.Settings{Memory: 1048}, 4200), 2100)
	unlimited := &settings.Settings{}
	is.Equal(callerMemory(unlimited), int64(defaultCallerMemory))
	is.Equal(jobMemory(unlimited), int64(0))
	is.Equal(callerConnections(unlimited, math.MaxUint64), math.MaxInt32)
	is.Equal(callerConnections(unlimited, 1), 1)
	stated := &settings.Settings{Memory: 134, CallerMemory: 5, JobMemory: 6, CallerConnections: 7, Descriptors: 8}
	is.Equal(callerMemory(stated), int64(5))
	is.Equal(jobMemory(stated), int64(6))
	is.Equal(callerConnections(stated, 4100), 7)
	is.Equal(openDescriptors(stated), uint64(8))
}

// Guards against a heap that the collector lets grow until it and the program are over the limit.
func TestMemoryLimitLeavesRoomForTheProgram(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ allowed, limit int }{{96, 72}, {134, 110}, {1048, 1024}, {30, 15}} {
		is.Equal(memoryLimit(c.allowed), int64(c.limit)<<20)
	}
}
