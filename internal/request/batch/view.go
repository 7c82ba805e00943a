package batch

import (
	"context"
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/connection/platform"
	"github.com/marblepond/marblepond/internal/record"
)

// view is one node's picture of a job's chunks, read in increments. Chunks
// without an entry have no stored state.
type view struct {
	mu      sync.Mutex
	job     record.Job
	version int64 // of the job object
	since   int64 // platform version the chunks were read at
	read    time.Time
	chunks  map[int]observed
}

// observed is a chunk's state and since when it has not changed, by this
// node's monotonic clock.
type observed struct {
	state   record.ChunkState
	version int64
	since   time.Time
}

// refreshPause is the least time between two readings of a job's chunks.
const refreshPause = 300 * time.Millisecond

func newView(job record.Job, version int64) *view {
	return &view{job: job, version: version, chunks: map[int]observed{}}
}

// refresh reads the chunk states that changed since the last time.
func (v *view) refresh(ctx context.Context, p *platform.Client) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if time.Since(v.read) < refreshPause {
		return nil
	}
	change, err := p.Watch(ctx, record.JobStatePrefix(v.job.ID), v.since, time.Millisecond)
	if err != nil {
		return err
	}
	v.read, v.since = time.Now(), change.Newest
	for _, o := range change.Objects {
		if state, err := record.Decode[record.ChunkState](o.Value); err == nil {
			v.note(state, o.Version)
		}
	}
	return nil
}

// note takes a newer state of a chunk. Segments of ended chunks are dropped to
// bound memory.
func (v *view) note(state record.ChunkState, version int64) {
	if v.chunks[state.N].version >= version {
		return
	}
	if state.Phase == record.ChunkDone || state.Phase == record.ChunkStopped {
		state.Segments, state.Started = nil, nil
	}
	v.chunks[state.N] = observed{state, version, time.Now()}
}

// put is note for callers that do not hold the lock.
func (v *view) put(state record.ChunkState, version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.note(state, version)
}

func (v *view) setJob(job record.Job, version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version > v.version {
		v.job, v.version = job, version
	}
}

// current returns the job and its object version.
func (v *view) current() (record.Job, int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.job, v.version
}

// free returns the chunks that may be leased, given how to judge a lease.
func (v *view) free(expired func(observed) bool) []int {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []int
	for n := range v.job.Chunks() {
		o, known := v.chunks[n]
		if !known || o.state.Phase == record.ChunkOpen || (o.state.Phase == record.ChunkLeased && expired(o)) {
			out = append(out, n)
		}
	}
	return out
}

// leased returns the chunks under lease.
func (v *view) leased() []observed {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []observed
	for _, o := range v.chunks {
		if o.state.Phase == record.ChunkLeased {
			out = append(out, o)
		}
	}
	return out
}

func (v *view) chunk(n int) observed {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.chunks[n]
}

// progress counts the ended chunks and the items finished in all.
func (v *view) progress() (ended, completed, failed int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, o := range v.chunks {
		if o.state.Phase == record.ChunkDone {
			ended++
		}
		completed += o.state.Completed
		failed += o.state.Failed
	}
	return ended, completed, failed
}
