package job

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/continuation"

	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/request/checkpoint"
)

// keeperPeers has one node that keeps checkpoints.
type keeperPeers struct {
	noPeers
	store *checkpoint.Store
}

func newKeeperPeers() keeperPeers {
	return keeperPeers{store: checkpoint.NewStore(checkpoint.Limits{MaxBytes: 1 << 20, Retention: time.Hour}, time.Now)}
}

func (keeperPeers) Keepers(string, []string, func(string) bool) []string { return []string{"keeper"} }
func (p keeperPeers) Checkpoints(string) marblepondv1connect.CheckpointServiceClient {
	if p.store == nil {
		return marblepondv1connect.UnimplementedCheckpointServiceHandler{}
	}
	return checkpoint.Service{Store: p.store}
}

// runItemTo runs an item of a held job up to an event, and returns its text.
func runItemTo(m *Manager, job string, item int, events int64) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.held[job].progress
	p.markSent(item, choose.Target{ID: "t"}, time.Now())
	for id := p.items[item].lastEvent + 1; id <= events; id++ {
		p.addEvent(item, id, []byte{byte('a' + id)})
	}
	return string(p.items[item].text)
}

func itemAt(m *Manager, job string, item int) itemState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held[job].progress.items[item]
}

// A node that takes a job over resumes the items where the lost holder had brought them,
// and lists the results that were finished but not committed.
func TestTakeOverGoesOnFromTheCheckpoint(t *testing.T) {
	is := is.New(t)
	store, peers := newMemoryStore(), newKeeperPeers()
	first, second := newTestManager("n1", store), newTestManager("n2", store)
	first.Peers, second.Peers = peers, peers
	s := submission("j")
	is.NoErr(first.Submit(context.Background(), s))
	runItemTo(first, "j", 0, 5)
	first.saveCheckpoints(context.Background())
	text := runItemTo(first, "j", 0, 9) // sent as an addition to what was saved
	done := runItemTo(first, "j", 1, 3)
	first.mu.Lock()
	first.held["j"].progress.finish(1, Result{Item: s.Items[1].ID, Text: done}, time.Now())
	first.mu.Unlock()
	first.saveCheckpoints(context.Background())

	second.adopt(context.Background(), "j", first.cfg.Self)
	item := itemAt(second, "j", 0)
	is.Equal(item.phase, waiting)
	is.Equal(item.lastEvent, int64(9))
	is.Equal(string(item.text), text)
	second.mu.Lock()
	pending := second.held["j"].progress.pending
	is.Equal(len(pending), 1)
	is.Equal(pending[0].result, Result{Item: s.Items[1].ID, Text: done})
	second.mu.Unlock()
}

// A keeper that lost its data receives the complete checkpoint again.
func TestLostCheckpointIsSavedAgain(t *testing.T) {
	is := is.New(t)
	peers := newKeeperPeers()
	m := newTestManager("n1", newMemoryStore())
	m.Peers = peers
	is.NoErr(m.Submit(context.Background(), submission("j")))
	runItemTo(m, "j", 0, 5)
	m.saveCheckpoints(context.Background())
	peers.store.Save(nil, []string{"j"})
	text := runItemTo(m, "j", 0, 8)
	m.saveCheckpoints(context.Background()) // the response says that the keeper lacks the start
	m.saveCheckpoints(context.Background())
	kept := peers.store.Load("j")
	is.Equal(len(kept.Items), 1)
	is.Equal(string(kept.Items[0].Text), text)
}

// twoKeepers has two nodes that keep checkpoints; once lost is set, the first one has lost
// its data.
type twoKeepers struct {
	keeperPeers
	lost *bool
}

func (twoKeepers) Keepers(string, []string, func(string) bool) []string {
	return []string{"first", "second"}
}

func (p twoKeepers) Checkpoints(address string) marblepondv1connect.CheckpointServiceClient {
	if address == "first" && *p.lost {
		return checkpoint.Service{Store: checkpoint.NewStore(checkpoint.Limits{}, time.Now)}
	}
	return p.keeperPeers.Checkpoints(address)
}

// The checkpoint is restored if one of two keepers lost its data.
func TestOneOfTwoKeepersSuffices(t *testing.T) {
	is := is.New(t)
	store, lost := newMemoryStore(), false
	peers := twoKeepers{newKeeperPeers(), &lost}
	first, second := newTestManager("n1", store), newTestManager("n2", store)
	first.Peers, second.Peers = peers, peers
	is.NoErr(first.Submit(context.Background(), submission("j")))
	text := runItemTo(first, "j", 0, 5)
	first.saveCheckpoints(context.Background())
	lost = true
	second.adopt(context.Background(), "j", first.cfg.Self)
	is.Equal(string(itemAt(second, "j", 0).text), text)
}

// If the keeper does not respond, the items run from their start, and the takeover does not
// wait.
func TestTakeOverWithoutTheCheckpoint(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	first, second := newTestManager("n1", store), newTestManager("n2", store)
	first.Peers, second.Peers = newKeeperPeers(), keeperPeers{} // responds with an error
	is.NoErr(first.Submit(context.Background(), submission("j")))
	runItemTo(first, "j", 0, 5)
	first.saveCheckpoints(context.Background())
	second.adopt(context.Background(), "j", first.cfg.Self)
	is.Equal(itemAt(second, "j", 0).lastEvent, int64(0))
}

// An older checkpoint does not replace newer progress, and items that run or are listed are
// not restored.
func TestRestoreOnlyAdds(t *testing.T) {
	is := is.New(t)
	p := newProgress(&Head{Total: 3, Segments: []Segment{{Items: []int{2}}}})
	v1 := continuation.BegunAt("v1")
	is.True(p.restore(0, held{lastEvent: 5, text: []byte("five"), origin: v1}))
	is.True(!p.restore(0, held{lastEvent: 4, text: []byte("four"), origin: v1}))
	is.Equal(string(p.items[0].text), "five")
	is.True(!p.restore(2, held{lastEvent: 9, text: []byte("listed"), origin: v1}))
	p.markSent(1, choose.Target{ID: "t"}, time.Now())
	is.True(!p.restore(1, held{lastEvent: 9, text: []byte("runs"), origin: v1}))
}

// The keeper drops the checkpoint of a finished job.
func TestDoneJobIsForgotten(t *testing.T) {
	is := is.New(t)
	peers := newKeeperPeers()
	m := newTestManager("n1", newMemoryStore())
	m.Peers = peers
	s := submission("j")
	is.NoErr(m.Submit(context.Background(), s))
	h := m.held["j"]
	for i := range s.Items {
		text := runItemTo(m, "j", i, 3)
		m.mu.Lock()
		h.progress.finish(i, Result{Item: s.Items[i].ID, Text: text}, time.Now())
		m.mu.Unlock()
	}
	m.saveCheckpoints(context.Background())
	is.True(peers.store.Load("j") != nil)
	until := time.Now().Add(5 * time.Second)
	for jobsHeld(m) > 0 && time.Now().Before(until) {
		time.Sleep(10 * time.Millisecond)
	}
	m.saveCheckpoints(context.Background())
	is.True(peers.store.Load("j") == nil)
}

func jobsHeld(m *Manager) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.held)
}
