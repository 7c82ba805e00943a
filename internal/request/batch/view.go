package batch

import (
	"context"
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/connection/platform"
	"github.com/marblepond/marblepond/internal/record"
)

// jobView is this node's cached copy of a job and its chunk states, which refresh
// updates incrementally. Chunks without an entry have no stored state.
type jobView struct {
	mu            sync.Mutex
	job           record.Job
	version       int64 // of the job object
	chunksVersion int64 // platform version at which the chunks were last read
	lastRefresh   time.Time
	chunks        map[int]observedChunk
}

// observedChunk is a chunk's state and the time, by this node's monotonic clock,
// since which this node has seen no change of it.
type observedChunk struct {
	state          record.ChunkState
	version        int64
	unchangedSince time.Time
}

// minRefreshInterval is the shortest interval between two reads of a job's chunks.
const minRefreshInterval = 300 * time.Millisecond

func newJobView(job record.Job, version int64) *jobView {
	return &jobView{job: job, version: version, chunks: map[int]observedChunk{}}
}

// refresh reads the chunk states that changed since the last refresh.
func (v *jobView) refresh(ctx context.Context, p *platform.Client) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if time.Since(v.lastRefresh) < minRefreshInterval {
		return nil
	}
	change, err := p.Watch(ctx, record.JobStatePrefix(v.job.ID), v.chunksVersion, time.Millisecond)
	if err != nil {
		return err
	}
	v.lastRefresh, v.chunksVersion = time.Now(), change.Newest
	for _, o := range change.Objects {
		if state, err := record.Decode[record.ChunkState](o.Value); err == nil {
			v.updateLocked(state, o.Version)
		}
	}
	return nil
}

// updateLocked caches a state of a chunk if it is newer. The segments of ended
// chunks are dropped to bound memory. The caller holds v.mu.
func (v *jobView) updateLocked(state record.ChunkState, version int64) {
	if v.chunks[state.N].version >= version {
		return
	}
	if state.Phase == record.ChunkDone || state.Phase == record.ChunkStopped {
		state.Segments, state.Started = nil, nil
	}
	v.chunks[state.N] = observedChunk{state, version, time.Now()}
}

// update is updateLocked for callers that do not hold v.mu.
func (v *jobView) update(state record.ChunkState, version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.updateLocked(state, version)
}

// setJob caches a version of the job if it is newer.
func (v *jobView) setJob(job record.Job, version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version > v.version {
		v.job, v.version = job, version
	}
}

// current returns the job and its object version.
func (v *jobView) current() (record.Job, int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.job, v.version
}

// leasable returns the chunks that may be leased: open ones, and leased ones for
// which canTakeOver returns true.
func (v *jobView) leasable(canTakeOver func(observedChunk) bool) []int {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []int
	for n := range v.job.Chunks() {
		o, known := v.chunks[n]
		if !known || o.state.Phase == record.ChunkOpen || (o.state.Phase == record.ChunkLeased && canTakeOver(o)) {
			out = append(out, n)
		}
	}
	return out
}

// leased returns the chunks under lease.
func (v *jobView) leased() []observedChunk {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []observedChunk
	for _, o := range v.chunks {
		if o.state.Phase == record.ChunkLeased {
			out = append(out, o)
		}
	}
	return out
}

func (v *jobView) chunk(n int) observedChunk {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.chunks[n]
}

// progress returns the number of chunks done and of items completed and failed in
// all chunks.
func (v *jobView) progress() (chunksDone, completed, failed int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, o := range v.chunks {
		if o.state.Phase == record.ChunkDone {
			chunksDone++
		}
		completed += o.state.Completed
		failed += o.state.Failed
	}
	return chunksDone, completed, failed
}
