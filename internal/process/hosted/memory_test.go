package hosted

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/process/settings"
)

// Guards against bounds on jobs that leave nothing to other parts of a node, or that ignore the settings.
func TestMemoryOfJobs(t *testing.T) {
	is := is.New(t)
	small := &settings.Settings{Memory: 134, ResultMemory: 64 << 20, CheckpointMemory: 1 << 20}
	is.Equal(jobMemory(small), int64(134<<20/8))
	is.Equal(resultMemory(small), 134<<20/16)
	is.Equal(checkpointMemory(small), 1<<20)
	is.Equal(readMemory(small), int64(134<<20/16))
	unlimited := &settings.Settings{ResultMemory: 64 << 20}
	is.Equal(jobMemory(unlimited), int64(0))
	is.Equal(resultMemory(unlimited), 64<<20)
	is.Equal(readMemory(unlimited), int64(0))
	is.Equal(jobMemory(&settings.Settings{Memory: 134, JobMemory: 6}), int64(6))
	is.Equal(readConnections(4100), 256)
	is.Equal(readConnections(1), 1)
	is.Equal(readConnections(math.MaxUint64), math.MaxInt32)
}
