package job

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/request/choose"

	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/request/checkpoint"
)

// keeperPeers know one node that keeps checkpoints.
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

// runUntil brings an item of a held job to an event, and returns its text.
func runUntil(m *Manager, job string, item int, events int64) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.held[job].progress
	p.sent(item, choose.Target{ID: "t"}, time.Now())
	for id := p.items[item].held + 1; id <= events; id++ {
		p.event(item, id, []byte{byte('a' + id)})
	}
	return string(p.items[item].text)
}

func itemAt(m *Manager, job string, item int) itemState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held[job].progress.items[item]
}

// A node that takes a job over goes on from where the lost holder had brought
// the items, and lists what it had finished and not yet committed.
func TestTakeOverGoesOnFromTheCheckpoint(t *testing.T) {
	is := is.New(t)
	store, peers := newMemoryStore(), newKeeperPeers()
	first, second := newTestManager("n1", store), newTestManager("n2", store)
	first.Peers, second.Peers = peers, peers
	s := submission("j")
	is.NoErr(first.Submit(context.Background(), s))
	runUntil(first, "j", 0, 5)
	first.saveCheckpoints(context.Background())
	text := runUntil(first, "j", 0, 9) // goes as an addition to what was saved
	done := runUntil(first, "j", 1, 3)
	first.mu.Lock()
	first.held["j"].progress.finish(1, Result{Item: s.Items[1].ID, Text: done}, time.Now())
	first.mu.Unlock()
	first.saveCheckpoints(context.Background())

	second.adopt(context.Background(), "j", first.cfg.Self)
	item := itemAt(second, "j", 0)
	is.Equal(item.phase, waiting)
	is.Equal(item.held, int64(9))
	is.Equal(string(item.text), text)
	second.mu.Lock()
	pending := second.held["j"].progress.pending
	is.Equal(len(pending), 1)
	is.Equal(pending[0].result, Result{Item: s.Items[1].ID, Text: done})
	second.mu.Unlock()
}

// A keeper that lost everything gets it whole again.
func TestLostCheckpointIsSavedAgain(t *testing.T) {
	is := is.New(t)
	peers := newKeeperPeers()
	m := newTestManager("n1", newMemoryStore())
	m.Peers = peers
	is.NoErr(m.Submit(context.Background(), submission("j")))
	runUntil(m, "j", 0, 5)
	m.saveCheckpoints(context.Background())
	peers.store.Save(nil, []string{"j"})
	text := runUntil(m, "j", 0, 8)
	m.saveCheckpoints(context.Background()) // learns that the keeper lacks the start
	m.saveCheckpoints(context.Background())
	kept := peers.store.Load("j")
	is.Equal(len(kept.Items), 1)
	is.Equal(string(kept.Items[0].Text), text)
}

// twoKeepers know two nodes that keep checkpoints; the first has lost its disk.
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

// One keeper of two may lose what it had.
func TestOneOfTwoKeepersSuffices(t *testing.T) {
	is := is.New(t)
	store, lost := newMemoryStore(), false
	peers := twoKeepers{newKeeperPeers(), &lost}
	first, second := newTestManager("n1", store), newTestManager("n2", store)
	first.Peers, second.Peers = peers, peers
	is.NoErr(first.Submit(context.Background(), submission("j")))
	text := runUntil(first, "j", 0, 5)
	first.saveCheckpoints(context.Background())
	lost = true
	second.adopt(context.Background(), "j", first.cfg.Self)
	is.Equal(string(itemAt(second, "j", 0).text), text)
}

// Without an answer of the keeper items run from their start, and nothing waits.
func TestTakeOverWithoutTheCheckpoint(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	first, second := newTestManager("n1", store), newTestManager("n2", store)
	first.Peers, second.Peers = newKeeperPeers(), keeperPeers{} // which answers with an error
	is.NoErr(first.Submit(context.Background(), submission("j")))
	runUntil(first, "j", 0, 5)
	first.saveCheckpoints(context.Background())
	second.adopt(context.Background(), "j", first.cfg.Self)
	is.Equal(itemAt(second, "j", 0).held, int64(0))
}

// A finished item is not restored over, an older checkpoint takes nothing away,
// and what is listed stays listed.
func TestRestoreOnlyAdds(t *testing.T) {
	is := is.New(t)
	p := newProgress(&Head{Total: 3, Segments: []Segment{{Items: []int{2}}}})
	is.True(p.restore(0, 5, []byte("five")))
	is.True(!p.restore(0, 4, []byte("four")))
	is.Equal(string(p.items[0].text), "five")
	is.True(!p.restore(2, 9, []byte("listed")))
	p.sent(1, choose.Target{ID: "t"}, time.Now())
	is.True(!p.restore(1, 9, []byte("runs")))
}

// A job that is done is not kept any longer.
func TestDoneJobIsForgotten(t *testing.T) {
	is := is.New(t)
	peers := newKeeperPeers()
	m := newTestManager("n1", newMemoryStore())
	m.Peers = peers
	s := submission("j")
	is.NoErr(m.Submit(context.Background(), s))
	h := m.held["j"]
	for i := range s.Items {
		text := runUntil(m, "j", i, 3)
		m.mu.Lock()
		h.progress.finish(i, Result{Item: s.Items[i].ID, Text: text}, time.Now())
		m.mu.Unlock()
	}
	m.saveCheckpoints(context.Background())
	is.True(peers.store.Load("j") != nil)
	until := time.Now().Add(5 * time.Second)
	for itemsHeld(m) > 0 && time.Now().Before(until) {
		time.Sleep(10 * time.Millisecond)
	}
	m.saveCheckpoints(context.Background())
	is.True(peers.store.Load("j") == nil)
}

func itemsHeld(m *Manager) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.held)
}
