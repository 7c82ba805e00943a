package job

import (
	"context"
	"sync"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/process/timeline"
)

const (
	// saveTimeout bounds one save; what it was to carry goes with the next.
	saveTimeout = 400 * time.Millisecond
	// loadTimeout bounds the question how far the items of a lost job had come. A
	// keeper that does not answer in that time costs more than it saves.
	loadTimeout = 300 * time.Millisecond
	// keeperTries is how many saves in a row may fail before another keeper is
	// chosen, and keeperAvoided how long the failing one is then left out: far
	// longer than a cut between data centres usually lasts.
	keeperTries   = 3
	keeperAvoided = 10 * time.Second
)

// keeperState is what this node knows of a keeper that did not answer.
type keeperState struct {
	failed  int       // saves in a row
	avoided time.Time // until then
}

// savedItem is what the keeper of a job has of one item.
type savedItem struct {
	bytes int // of its text
	whole bool
}

// savedJob is what the holder knows of its job's checkpoint.
type savedJob struct {
	keeper string // address of the node that keeps it, "" when there is none
	items  map[int]savedItem
	open   int // items without a listed result when it was last saved
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

// saveCheckpoints sends what is new of each held job to its keeper.
func (m *Manager) saveCheckpoints(ctx context.Context) {
	m.saving.Lock()
	defer m.saving.Unlock()
	var wg sync.WaitGroup
	for keeper, req := range m.unsaved() {
		wg.Go(func() { m.save(ctx, keeper, req) })
	}
	wg.Wait()
}

// unsaved returns what keepers lack, by their address.
func (m *Manager) unsaved() map[string]*v1.SaveCheckpointsRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]*v1.SaveCheckpointsRequest{}
	at := func(keeper string) *v1.SaveCheckpointsRequest {
		if out[keeper] == nil {
			out[keeper] = &v1.SaveCheckpointsRequest{}
		}
		return out[keeper]
	}
	for id, h := range m.held {
		if h.ended {
			continue
		}
		if keeper := m.Peers.Keeper(id, h.checkpoint.keeper, m.keeperUsable); keeper != h.checkpoint.keeper {
			h.checkpoint = savedJob{keeper: keeper}
		}
		if part := h.unsaved(); part != nil {
			req := at(h.checkpoint.keeper)
			req.Jobs = append(req.Jobs, part)
		}
	}
	for keeper, jobs := range m.forget {
		at(keeper).Forget = jobs
	}
	clear(m.forget)
	delete(out, "") // nobody keeps checkpoints
	return out
}

// unsaved returns what the job's keeper lacks, nil when it lacks nothing. The
// caller holds m.mu.
func (h *held) unsaved() *v1.JobCheckpoint {
	part := &v1.JobCheckpoint{Job: h.id, Epoch: uint32(h.head.Epoch)}
	for i := range h.progress.items {
		s := &h.progress.items[i]
		if s.phase == listed {
			continue
		}
		part.Open = append(part.Open, uint32(i))
		saved := h.checkpoint.items[i]
		whole := s.phase == finished && !s.dead
		if len(s.text) > saved.bytes || whole != saved.whole {
			part.Items = append(part.Items, &v1.ItemCheckpoint{Item: uint32(i), Offset: uint32(saved.bytes),
				Text: append([]byte(nil), s.text[saved.bytes:]...), Held: s.held, Whole: whole})
		}
	}
	if len(part.Items) == 0 && len(part.Open) == h.checkpoint.open {
		return nil
	}
	return part
}

// save sends one keeper what it lacks.
func (m *Manager) save(ctx context.Context, keeper string, req *v1.SaveCheckpointsRequest) {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	resp, err := m.Peers.Checkpoints(keeper).Save(ctx, req)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.keeperFailed(keeper, err)
		return // sent again with the next
	}
	delete(m.keepers, keeper)
	for _, part := range req.Jobs {
		if h := m.held[part.Job]; h != nil && h.checkpoint.keeper == keeper {
			h.checkpoint.took(part)
		}
	}
	for _, id := range resp.Lacking {
		if h := m.held[id]; h != nil && h.checkpoint.keeper == keeper {
			h.checkpoint = savedJob{keeper: keeper} // it has lost what it had
		}
	}
}

// keeperUsable reports whether a node answered of late, or was not asked. The
// caller holds m.mu.
func (m *Manager) keeperUsable(address string) bool {
	return !time.Now().Before(m.keepers[address].avoided)
}

// keeperFailed notes that a keeper did not take what it was sent. The caller
// holds m.mu.
func (m *Manager) keeperFailed(keeper string, err error) {
	m.Metrics.Counter("checkpoints_not_saved").Inc(1)
	state := m.keepers[keeper]
	state.failed++
	if state.failed >= keeperTries {
		state = keeperState{avoided: time.Now().Add(keeperAvoided)}
		m.Recorder.Record(timeline.KeeperLost, "", keeper, err.Error())
	}
	m.keepers[keeper] = state
}

// chooseKeeper returns the keeper of a job that this node is about to hold.
func (m *Manager) chooseKeeper(id, present string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Peers.Keeper(id, present, m.keeperUsable)
}

func (c *savedJob) took(part *v1.JobCheckpoint) {
	if c.items == nil {
		c.items = map[int]savedItem{}
	}
	for _, item := range part.Items {
		c.items[int(item.Item)] = savedItem{bytes: int(item.Offset) + len(item.Text), whole: item.Whole}
	}
	c.open = len(part.Open)
}

// loadCheckpoint asks the keeper of a lost job how far its items had come. It
// returns nil when that is not known.
func (m *Manager) loadCheckpoint(ctx context.Context, id string, head *Head) *v1.JobCheckpoint {
	if head.Keeper == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	resp, err := m.Peers.Checkpoints(head.Keeper).Load(ctx, &v1.LoadCheckpointRequest{Job: id})
	if err != nil {
		m.Recorder.Record(timeline.CheckpointLost, id, head.Keeper, "its keeper does not answer: "+err.Error())
		return nil
	}
	return resp.Checkpoint
}

// restore lets the items of a job go on from a checkpoint. The caller holds m.mu.
func (m *Manager) restore(h *held, from *v1.JobCheckpoint) {
	if from == nil {
		return
	}
	now := time.Now()
	items, whole := 0, 0
	for _, item := range from.Items {
		i := int(item.Item)
		if i >= len(h.items) || !h.progress.restore(i, item.Held, item.Text) {
			continue
		}
		items++
		if item.Whole {
			whole++
			h.progress.finish(i, Result{Item: h.items[i].ID, Text: string(item.Text)}, now)
		}
	}
	m.Recorder.Record(timeline.CheckpointRestored, h.id, "", "", timeline.Field{Name: "items", Value: items},
		timeline.Field{Name: "whole", Value: whole}, timeline.Field{Name: "epoch", Value: from.Epoch})
}
