package job

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/continuation"
	"github.com/marblepond/marblepond/internal/version/route"
)

// runAt adds events to an item at a target of a version.
func runAt(p *progress, item int, version continuation.Version, events ...string) {
	p.markSent(item, choose.Target{ID: "t", Service: "s", Version: version}, time.Now())
	for _, e := range events {
		p.addEvent(item, p.items[item].lastEvent+1, []byte(e))
	}
	p.requeue(item, time.Now(), 0)
}

// TestBegunItemKeepsItsVersion guards against an item that is resumed at any target: its first
// event binds it until it begins anew, which drops its text.
func TestBegunItemKeepsItsVersion(t *testing.T) {
	is := is.New(t)
	p := newProgress(&Head{Total: 1})
	is.Equal(p.items[0].origin, continuation.Origin{})
	runAt(p, 0, "v1", "a", "b")
	is.Equal(p.items[0].origin, continuation.BegunAt("v1"))
	is.Equal(string(p.items[0].text), "a\nb")
	p.beginAnew(0)
	is.Equal(p.items[0].origin, continuation.Origin{})
	is.Equal(p.items[0].lastEvent, int64(0))
	runAt(p, 0, "v2", "c")
	is.Equal(p.items[0].origin, continuation.BegunAt("v2"))
	is.Equal(string(p.items[0].text), "c")
}

// TestKeeperDropsTextOfAnotherVersion guards against a checkpoint in which the text of an item
// that began anew is appended to the text that it dropped, also when a late save of that one
// arrives afterwards.
func TestKeeperDropsTextOfAnotherVersion(t *testing.T) {
	is := is.New(t)
	store, peers := newMemoryStore(), newKeeperPeers()
	first, second := newTestManager("n1", store), newTestManager("n2", store)
	first.Peers, second.Peers = peers, peers
	is.NoErr(first.Submit(context.Background(), submission("j")))
	p := first.held["j"].progress
	runAt(p, 0, "v1", "one", "two", "three")
	first.saveCheckpoints(context.Background())
	late := proto.Clone(peers.store.Load("j")).(*v1.JobCheckpoint)
	p.beginAnew(0)
	runAt(p, 0, "v2", "uno", "due")
	first.saveCheckpoints(context.Background())
	peers.store.Save([]*v1.JobCheckpoint{late}, nil)

	second.adopt(context.Background(), "j", first.cfg.Self)
	item := itemAt(second, "j", 0)
	is.Equal(string(item.text), "uno\ndue")
	is.Equal(item.lastEvent, int64(2))
	is.Equal(item.origin, continuation.BegunAt("v2"))
}

// TestCheckpointOfUnknownVersionIsNotContinued guards against text that a node of the previous
// release saved, which states no version, and that is continued at any target. A whole text
// needs no continuation.
func TestCheckpointOfUnknownVersionIsNotContinued(t *testing.T) {
	is := is.New(t)
	_, usable := decodeHeld(&v1.ItemCheckpoint{Held: 5, Text: []byte("text")})
	is.True(!usable)
	_, usable = decodeHeld(&v1.ItemCheckpoint{Held: 5, Text: []byte("text"), Whole: true})
	is.True(usable)
	restored, usable := decodeHeld(&v1.ItemCheckpoint{Held: 5, Text: []byte("text"), Version: proto.String("v1"), Service: "s", TookMs: 400})
	is.True(usable)
	is.Equal(restored.origin, continuation.BegunAt("v1"))
	is.Equal(restored.service, "s")
	is.Equal(restored.ran, 400*time.Millisecond)
}

// versionPool has a free slot at targets of one version only.
type versionPool struct {
	noPool
	free   continuation.Version
	supply continuation.Supply
}

func (p versionPool) SeveralVersions(string) bool                            { return true }
func (p versionPool) Supply(string, continuation.Origin) continuation.Supply { return p.supply }
func (p versionPool) ChooseBatch(need choose.Need) (choose.Target, bool) {
	return choose.Target{ID: "t", Service: need.Service, Version: p.free}, need.Origin.Allows(p.free)
}

// cancelledSender waits until the attempt is cancelled.
type cancelledSender struct{}

func (cancelledSender) Send(ctx context.Context, _ target.Call) (*target.Answer, error) {
	<-ctx.Done()
	return nil, &target.Error{Failure: target.Cancelled, Cause: ctx.Err()}
}

// TestItemOfAReplacedVersionBeginsAnew guards against an item that waits for ever for a version
// that is gone, and against one whose text is dropped at once while its version has no free
// slot.
func TestItemOfAReplacedVersionBeginsAnew(t *testing.T) {
	for name, c := range map[string]struct {
		supply continuation.Supply
		anew   bool
	}{"its version is gone": {continuation.Gone, true}, "its version has no free slot": {continuation.Busy, false}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newTestManager("n1", newMemoryStore())
			m.Pool, m.Sender = versionPool{free: "v2", supply: c.supply}, cancelledSender{}
			is.NoErr(m.Submit(context.Background(), submission("j")))
			h := m.held["j"]
			runAt(h.progress, 0, "v1", "a", "b")
			h.progress.items[0].ran, h.progress.items[0].service = time.Minute, ""
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			m.sendWaiting(ctx)
			m.mu.Lock()
			defer m.mu.Unlock()
			is.Equal(h.progress.items[0].begins == 1, c.anew)
			is.Equal(h.progress.items[0].lastEvent == 0, c.anew)
		})
	}
}

// TestItemLeavesAServiceThatItsRouteLeft guards against the text of an item that continues at
// another service, because its route was moved while it waited.
func TestItemLeavesAServiceThatItsRouteLeft(t *testing.T) {
	is := is.New(t)
	m := newTestManager("n1", newMemoryStore())
	is.NoErr(m.Submit(context.Background(), submission("j")))
	h := m.held["j"]
	runAt(h.progress, 0, "v1", "a", "b")
	split := &route.Route{Shares: []route.Share{{Service: "other", Weight: 99}, {Service: "s", Weight: 1}}}
	m.mu.Lock()
	defer m.mu.Unlock()
	for range 20 {
		is.Equal(m.serviceOf(h, 0, split), "s")
	}
	is.Equal(h.progress.items[0].begins, 0)
	is.Equal(m.serviceOf(h, 0, &route.Route{Shares: split.Shares[:1]}), "other")
	is.Equal(h.progress.items[0].begins, 1)
	is.Equal(h.progress.items[0].lastEvent, int64(0))
}
