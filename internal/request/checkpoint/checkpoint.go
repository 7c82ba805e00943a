// Package checkpoint stores the progress of the items of batch jobs for the
// nodes that hold the jobs. A node that takes a job over loads the checkpoint and
// resumes the items from there instead of from their start.
//
// Correctness does not depend on checkpoints: one may be old, or lost with its
// keeper (the node that stores it). The text of an item up to a given event is the
// same in every run of the item at targets of one version, so that with an old
// checkpoint only some events are generated again. The checkpoint names the version.
package checkpoint

import (
	"slices"
	"sync"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
)

// Limits of a store.
type Limits struct {
	MaxBytes  int           // of text; the least recently saved jobs are dropped first
	Retention time.Duration // how long a job is kept after it was last saved
}

// Store keeps the checkpoints of jobs in memory. It is safe for concurrent use.
type Store struct {
	limits Limits
	now    func() time.Time

	mu      sync.Mutex
	jobs    map[string]*jobState
	bytes   int  // of text in all jobs
	changed bool // since the last Dump
}

type jobState struct {
	epoch   uint32
	savedAt time.Time
	items   map[uint32]*itemState
}

type itemState struct {
	text      []byte
	lastEvent int64 // ID of the last event in text
	complete  bool  // text is the whole output of the item
	run       uint32
	version   *string // of the targets that wrote text; nil: not known
	service   string
	tookMS    uint32
}

// NewStore returns an empty store.
func NewStore(limits Limits, now func() time.Time) *Store {
	return &Store{limits: limits, now: now, jobs: map[string]*jobState{}}
}

// Save stores the progress that the holder of jobs sends, and removes the jobs that
// need no checkpoint any more. It returns the jobs of which the text before a sent
// offset is missing: their holder has to send the whole text.
func (s *Store) Save(jobs []*v1.JobCheckpoint, toRemove []string) (incomplete []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed = s.changed || len(jobs)+len(toRemove) > 0
	for _, id := range toRemove {
		s.drop(id)
	}
	for _, saved := range jobs {
		if !s.saveJob(saved) {
			incomplete = append(incomplete, saved.Job)
		}
	}
	s.evict()
	return incomplete
}

// saveJob stores the progress of one job. It returns false if text is missing.
func (s *Store) saveJob(saved *v1.JobCheckpoint) bool {
	state := s.jobs[saved.Job]
	if state != nil && saved.Epoch < state.epoch {
		return true // from a former holder, which will notice that it lost the job
	}
	if state == nil || saved.Epoch > state.epoch {
		s.drop(saved.Job)
		state = &jobState{epoch: saved.Epoch, items: map[uint32]*itemState{}}
		s.jobs[saved.Job] = state
	}
	state.savedAt = s.now()
	complete := true
	for _, item := range saved.Items {
		complete = s.saveItem(state, item) && complete
	}
	for i, item := range state.items {
		if !slices.Contains(saved.Open, i) {
			s.bytes -= len(item.text)
			delete(state.items, i)
		}
	}
	return complete
}

// saveItem stores the text of an item from an offset on. It returns false if text
// before the offset is missing.
func (s *Store) saveItem(state *jobState, saved *v1.ItemCheckpoint) bool {
	item := state.items[saved.Item]
	if item == nil {
		item = &itemState{}
		state.items[saved.Item] = item
	}
	if saved.Run < item.run {
		return true // a late save of a text that was dropped since
	}
	if saved.Run > item.run {
		s.bytes -= len(item.text)
		item.text, item.run = nil, saved.Run
	}
	if int(saved.Offset) > len(item.text) {
		return false
	}
	s.bytes += int(saved.Offset) + len(saved.Text) - len(item.text)
	item.text = append(item.text[:saved.Offset:saved.Offset], saved.Text...)
	item.lastEvent = saved.Held
	item.complete = saved.Whole
	item.version, item.service, item.tookMS = saved.Version, saved.Service, saved.TookMs
	return true
}

func (s *Store) drop(id string) {
	state := s.jobs[id]
	if state == nil {
		return
	}
	for _, item := range state.items {
		s.bytes -= len(item.text)
	}
	delete(s.jobs, id)
}

// evict drops the jobs whose retention has ended, and then the least recently
// saved ones while there is too much text.
func (s *Store) evict() {
	for id, state := range s.jobs {
		if s.now().Sub(state.savedAt) > s.limits.Retention {
			s.drop(id)
		}
	}
	for s.bytes > s.limits.MaxBytes {
		oldest := ""
		for id, state := range s.jobs {
			if oldest == "" || state.savedAt.Before(s.jobs[oldest].savedAt) {
				oldest = id
			}
		}
		s.drop(oldest)
	}
}

// Load returns the checkpoint of a job, nil if there is none.
func (s *Store) Load(id string) *v1.JobCheckpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.jobs[id]
	if state == nil {
		return nil
	}
	return state.encode(id)
}

func (j *jobState) encode(id string) *v1.JobCheckpoint {
	out := &v1.JobCheckpoint{Job: id, Epoch: j.epoch}
	for i, item := range j.items {
		out.Open = append(out.Open, i)
		out.Items = append(out.Items, &v1.ItemCheckpoint{Item: i, Text: slices.Clone(item.text), Held: item.lastEvent, Whole: item.complete,
			Run: item.run, Version: item.version, Service: item.service, TookMs: item.tookMS})
	}
	return out
}

// Dump returns all checkpoints if they have changed since the last Dump.
func (s *Store) Dump() (all *v1.CheckpointFile, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.changed {
		return nil, false
	}
	s.changed = false
	all = &v1.CheckpointFile{}
	for id, state := range s.jobs {
		all.Jobs = append(all.Jobs, state.encode(id))
	}
	return all, true
}
