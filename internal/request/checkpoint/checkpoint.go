// Package checkpoint keeps how far the items of batch jobs have come, for the
// nodes that hold the jobs. A node that takes a job over asks for it and lets
// items go on from there in place of from their start.
//
// Nothing depends on what is kept: it may be old, or lost with its keeper. An
// item's text up to an event is the same whichever run made it, so that old text
// only means that some events are made again.
package checkpoint

import (
	"slices"
	"sync"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
)

// Limits of a store.
type Limits struct {
	MaxBytes  int           // of text kept; the jobs saved longest ago are dropped first
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
	epoch uint32
	saved time.Time
	items map[uint32]*itemState
}

type itemState struct {
	text  []byte
	held  int64
	whole bool
}

// NewStore returns an empty store.
func NewStore(limits Limits, now func() time.Time) *Store {
	return &Store{limits: limits, now: now, jobs: map[string]*jobState{}}
}

// Save takes what the holder of jobs sends, and returns the jobs of which text
// before the parts sent is missing here: their holder has to send them whole.
func (s *Store) Save(jobs []*v1.JobCheckpoint, forget []string) (lacking []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed = s.changed || len(jobs)+len(forget) > 0
	for _, id := range forget {
		s.drop(id)
	}
	for _, saved := range jobs {
		if !s.saveJob(saved) {
			lacking = append(lacking, saved.Job)
		}
	}
	s.evict()
	return lacking
}

// saveJob returns false when text is missing.
func (s *Store) saveJob(saved *v1.JobCheckpoint) bool {
	state := s.jobs[saved.Job]
	if state != nil && saved.Epoch < state.epoch {
		return true // of a former holder, which will find out
	}
	if state == nil || saved.Epoch > state.epoch {
		s.drop(saved.Job)
		state = &jobState{epoch: saved.Epoch, items: map[uint32]*itemState{}}
		s.jobs[saved.Job] = state
	}
	state.saved = s.now()
	whole := true
	for _, item := range saved.Items {
		whole = s.saveItem(state, item) && whole
	}
	for i, item := range state.items {
		if !slices.Contains(saved.Open, i) {
			s.bytes -= len(item.text)
			delete(state.items, i)
		}
	}
	return whole
}

func (s *Store) saveItem(state *jobState, saved *v1.ItemCheckpoint) bool {
	item := state.items[saved.Item]
	if item == nil {
		item = &itemState{}
		state.items[saved.Item] = item
	}
	if int(saved.Offset) > len(item.text) {
		return false
	}
	s.bytes += int(saved.Offset) + len(saved.Text) - len(item.text)
	item.text = append(item.text[:saved.Offset:saved.Offset], saved.Text...)
	item.held = saved.Held
	item.whole = saved.Whole
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

// evict drops jobs that were not saved for long, and the oldest ones while there
// is too much text.
func (s *Store) evict() {
	for id, state := range s.jobs {
		if s.now().Sub(state.saved) > s.limits.Retention {
			s.drop(id)
		}
	}
	for s.bytes > s.limits.MaxBytes {
		oldest := ""
		for id, state := range s.jobs {
			if oldest == "" || state.saved.Before(s.jobs[oldest].saved) {
				oldest = id
			}
		}
		s.drop(oldest)
	}
}

// Load returns what is kept of a job, nil when nothing is.
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
		out.Items = append(out.Items, &v1.ItemCheckpoint{Item: i, Text: slices.Clone(item.text), Held: item.held, Whole: item.whole})
	}
	return out
}

// Dump returns all that is kept; changed tells whether it differs from the last
// dump.
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
