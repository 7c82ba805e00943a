package job

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/continuation"
)

const (
	// saveTimeout bounds one save; what it did not store is part of the next one.
	saveTimeout = 400 * time.Millisecond
	// loadTimeout bounds the load of a lost job's checkpoints. Waiting longer for a keeper
	// costs more than its checkpoint saves.
	loadTimeout = 300 * time.Millisecond
	// keeperFailureLimit is how many saves in a row may fail before another keeper is
	// chosen, and keeperAvoidance how long the failing one is not chosen again: far longer
	// than a network partition between data centres usually lasts.
	keeperFailureLimit = 3
	keeperAvoidance    = 10 * time.Second
)

// keeperState records the failures of a keeper, a node that stores checkpoints.
type keeperState struct {
	failures   int       // failed saves in a row
	avoidUntil time.Time // not chosen as a keeper before
}

// savedItem is how much of an item a keeper has stored.
type savedItem struct {
	bytes    int  // of its text
	begins   int  // how often the item had begun anew
	complete bool // the text is the item's complete output
}

// savedJob is how much of a job one keeper has stored.
type savedJob struct {
	items map[int]savedItem
	open  int // items without a listed result at the last save
}

// checkpoints records what the keepers of a held job have stored.
type checkpoints struct {
	keepers []string // addresses, in order of preference
	saved   map[string]*savedJob
}

// setKeepers sets the keepers and drops the records of all others.
func (c *checkpoints) setKeepers(keepers []string) {
	saved := make(map[string]*savedJob, len(keepers))
	for _, keeper := range keepers {
		saved[keeper] = c.saved[keeper]
		if saved[keeper] == nil {
			saved[keeper] = &savedJob{}
		}
	}
	c.keepers, c.saved = keepers, saved
}

// anySaved reports whether a keeper has stored text of the job.
func (c *checkpoints) anySaved() bool {
	for _, saved := range c.saved {
		if len(saved.items) > 0 {
			return true
		}
	}
	return false
}

// saveLoop saves checkpoints until ctx ends.
func (m *Manager) saveLoop(ctx context.Context) {
	if m.cfg.CheckpointInterval <= 0 {
		return
	}
	ticker := time.NewTicker(m.cfg.CheckpointInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.saveCheckpoints(ctx)
		}
	}
}

// saveCheckpoints sends the progress of each held job since the last save to its keepers.
func (m *Manager) saveCheckpoints(ctx context.Context) {
	m.saveMu.Lock()
	defer m.saveMu.Unlock()
	var wg sync.WaitGroup
	for keeper, req := range m.unsaved() {
		wg.Go(func() { m.save(ctx, keeper, req) })
	}
	wg.Wait()
}

// unsaved returns what keepers have not stored yet, by their address.
func (m *Manager) unsaved() map[string]*v1.SaveCheckpointsRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]*v1.SaveCheckpointsRequest{}
	requestTo := func(keeper string) *v1.SaveCheckpointsRequest {
		if out[keeper] == nil {
			out[keeper] = &v1.SaveCheckpointsRequest{}
		}
		return out[keeper]
	}
	for id, h := range m.held {
		if h.ended {
			continue
		}
		h.checkpoints.setKeepers(m.Peers.Keepers(id, h.checkpoints.keepers, m.keeperUsable))
		for keeper, saved := range h.checkpoints.saved {
			if part := h.unsaved(saved); part != nil {
				req := requestTo(keeper)
				req.Jobs = append(req.Jobs, part)
			}
		}
	}
	for keeper, jobs := range m.toForget {
		requestTo(keeper).Forget = jobs
	}
	clear(m.toForget)
	return out
}

// unsaved returns what a keeper has not stored yet, nil if it has all. The caller holds
// m.mu.
func (h *heldJob) unsaved(saved *savedJob) *v1.JobCheckpoint {
	part := &v1.JobCheckpoint{Job: h.id, Epoch: uint32(h.head.Epoch)}
	for i := range h.progress.items {
		s := &h.progress.items[i]
		if s.phase == listed {
			continue
		}
		part.Open = append(part.Open, uint32(i))
		item := saved.items[i]
		complete := s.phase == finished && !s.givenUp
		from := item.bytes
		if s.begins != item.begins {
			from = 0 // the keeper has a text that was dropped
		}
		if len(s.text) > from || complete != item.complete || s.begins != item.begins {
			part.Items = append(part.Items, s.encode(i, from, complete))
		}
	}
	if len(part.Items) == 0 && len(part.Open) == saved.open {
		return nil
	}
	return part
}

// encode returns the checkpoint of an item with its text from an offset on.
func (s *itemState) encode(i, offset int, complete bool) *v1.ItemCheckpoint {
	out := &v1.ItemCheckpoint{Item: uint32(i), Offset: uint32(offset), Text: append([]byte(nil), s.text[offset:]...), Held: s.lastEvent, Whole: complete,
		Run: uint32(s.begins), Service: s.service, TookMs: uint32(s.ran.Milliseconds())}
	if v, known := s.origin.Version(); known {
		out.Version = proto.String(string(v))
	}
	return out
}

// decodeHeld returns the output of an item in a checkpoint. Text of an unknown version, saved
// by a node that does not know versions, cannot be continued; ok is false unless it is whole.
func decodeHeld(saved *v1.ItemCheckpoint) (out held, ok bool) {
	out = held{lastEvent: saved.Held, text: saved.Text, service: saved.Service, ran: time.Duration(saved.TookMs) * time.Millisecond}
	if saved.Version != nil {
		out.origin = continuation.BegunAt(continuation.Version(*saved.Version))
	}
	return out, saved.Version != nil || saved.Whole
}

// save sends one keeper what it has not stored yet.
func (m *Manager) save(ctx context.Context, keeper string, req *v1.SaveCheckpointsRequest) {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	resp, err := m.Peers.Checkpoints(keeper).Save(ctx, req)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.keeperFailed(keeper, err)
		return // part of the next save
	}
	delete(m.keeperStates, keeper)
	for _, part := range req.Jobs {
		if h := m.held[part.Job]; h != nil && h.checkpoints.saved[keeper] != nil {
			h.checkpoints.saved[keeper].add(part)
		}
	}
	for _, id := range resp.Lacking {
		if h := m.held[id]; h != nil && h.checkpoints.saved[keeper] != nil {
			h.checkpoints.saved[keeper] = &savedJob{} // it has lost what it had stored
		}
	}
}

// keeperUsable reports whether a node may be chosen as a keeper: it is not avoided because
// of failed saves. The caller holds m.mu.
func (m *Manager) keeperUsable(address string) bool {
	return !time.Now().Before(m.keeperStates[address].avoidUntil)
}

// keeperFailed records that a save to a keeper failed. The caller holds m.mu.
func (m *Manager) keeperFailed(keeper string, err error) {
	m.Metrics.Counter("checkpoints_not_saved").Inc(1)
	state := m.keeperStates[keeper]
	state.failures++
	if state.failures >= keeperFailureLimit {
		state = keeperState{avoidUntil: time.Now().Add(keeperAvoidance)}
		m.Recorder.Record(timeline.KeeperLost, "", keeper, err.Error())
	}
	m.keeperStates[keeper] = state
}

// chooseKeepers returns the keepers of a job that this node is about to hold.
func (m *Manager) chooseKeepers(id string, present []string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Peers.Keepers(id, present, m.keeperUsable)
}

// add records that a checkpoint was stored.
func (c *savedJob) add(part *v1.JobCheckpoint) {
	if c.items == nil {
		c.items = map[int]savedItem{}
	}
	for _, item := range part.Items {
		c.items[int(item.Item)] = savedItem{bytes: int(item.Offset) + len(item.Text), begins: int(item.Run), complete: item.Whole}
	}
	c.open = len(part.Open)
}

// loadCheckpoints loads the checkpoints of a lost job from its keepers. One of them may
// have stored less than another, or not respond.
func (m *Manager) loadCheckpoints(ctx context.Context, id string, head *Head) []*v1.JobCheckpoint {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	found := make([]*v1.JobCheckpoint, len(head.Keepers))
	var wg sync.WaitGroup
	for i, keeper := range head.Keepers {
		wg.Go(func() {
			resp, err := m.Peers.Checkpoints(keeper).Load(ctx, &v1.LoadCheckpointRequest{Job: id})
			if err != nil {
				m.Recorder.Record(timeline.CheckpointLost, id, keeper, "its keeper did not respond: "+err.Error())
				return
			}
			found[i] = resp.Checkpoint
		})
	}
	wg.Wait()
	return found
}

// restore sets the items of a job to resume from the furthest of the loaded checkpoints.
// The caller holds m.mu.
func (m *Manager) restore(h *heldJob, loaded []*v1.JobCheckpoint) {
	now := time.Now()
	restored := map[int]bool{}
	completed := 0
	for _, checkpoint := range loaded {
		for _, item := range checkpoint.GetItems() {
			i := int(item.Item)
			output, usable := decodeHeld(item)
			if i >= len(h.items) || !usable || !h.progress.restore(i, output) {
				continue
			}
			restored[i] = true
			if item.Whole {
				completed++
				h.progress.finish(i, Result{Item: h.items[i].ID, Text: string(item.Text)}, now)
			}
		}
	}
	if len(loaded) > 0 {
		m.Recorder.Record(timeline.CheckpointRestored, h.id, "", "", timeline.Field{Name: "items", Value: len(restored)},
			timeline.Field{Name: "whole", Value: completed}, timeline.Field{Name: "keepers", Value: len(loaded)})
	}
}
