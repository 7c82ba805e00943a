package hosted

import (
	"math"

	"github.com/marblepond/marblepond/internal/process/settings"
)

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
