package beacon

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/version/follow"
)

// words records what one node has in flight and hears.
type words struct {
	mu        sync.Mutex
	own       map[string]choose.InFlight
	holders   choose.Holders
	announced []string
	jobs      map[string]string // holders that were heard, by job

	nodes   map[string]map[string]choose.InFlight
	groups  map[string]map[string]choose.InFlight
	centres map[string]map[string]choose.InFlight
	claims  map[string]BatchReport // by node or data centre
	health  *objects.Health
	gone    []string // nodes that fell silent
}

func (w *words) silent(node string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = append(w.gone, node)
}

func newWords(own map[string]choose.InFlight) *words {
	return &words{own: own, jobs: map[string]string{}, nodes: map[string]map[string]choose.InFlight{}, groups: map[string]map[string]choose.InFlight{}, centres: map[string]map[string]choose.InFlight{}, claims: map[string]BatchReport{},
		health: objects.NewHealth(time.Now, func(bool, time.Duration) {})}
}

func (w *words) InFlight() map[string]choose.InFlight {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.own)
}

func (w *words) InFlightInGroup() map[string]choose.InFlight {
	w.mu.Lock()
	defer w.mu.Unlock()
	return sumOf(append(slices.Collect(maps.Values(w.nodes)), w.own)...)
}

func (w *words) InFlightHere() map[string]choose.InFlight {
	here := w.InFlightInGroup()
	w.mu.Lock()
	defer w.mu.Unlock()
	return sumOf(append(slices.Collect(maps.Values(w.groups)), here)...)
}

// sumOf adds up words.
func sumOf(words ...map[string]choose.InFlight) map[string]choose.InFlight {
	out := map[string]choose.InFlight{}
	for _, counts := range words {
		for id, n := range counts {
			out[id] = choose.InFlight{Online: out[id].Online + n.Online, Batch: out[id].Batch + n.Batch}
		}
	}
	return out
}

func (w *words) Holders(string) choose.Holders {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holders
}

// batchOf is the batch side of words, whose JoinGroup has nothing to forget.
type batchOf struct{ *words }

func (batchOf) JoinGroup() {}

func (w *words) JoinGroup(string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.nodes)
	clear(w.groups)
}

func (w *words) SetNode(node string, counts map[string]choose.InFlight) bool {
	return w.set(w.nodes, node, counts)
}

func (w *words) SetGroup(group string, _ int, counts map[string]choose.InFlight) bool {
	return w.set(w.groups, group, counts)
}

func (w *words) SetDataCentre(name string, counts map[string]choose.InFlight) bool {
	return w.set(w.centres, name, counts)
}

func (w *words) set(words map[string]map[string]choose.InFlight, name string, counts map[string]choose.InFlight) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	news := !maps.Equal(words[name], counts)
	words[name] = counts
	return news
}

func (w *words) OfNode() BatchReport  { return BatchReport{Claim: choose.Claim{Demand: 1}} }
func (w *words) OfGroup() BatchReport { return BatchReport{Claim: choose.Claim{Demand: 1}} }
func (w *words) OfDataCentre() BatchReport {
	return BatchReport{Claim: choose.Claim{Demand: 2, Overflow: 1}}
}

func (w *words) Announced() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.announced
}

func (w *words) ReceiveGroup(string, BatchReport) {}

func (w *words) ReceiveNode(node string, b BatchReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.claims[node] = b
}

func (w *words) ReceiveDataCentre(name string, b BatchReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.claims[name] = b
}

func (w *words) ReceiveJobs(node string, jobs []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range jobs {
		w.jobs[id] = node
	}
}

// noCrashes knows of no crashed target.
type noCrashes struct{}

func (noCrashes) Digest() uint64               { return 0 }
func (noCrashes) ReceiveDigest(string, uint64) {}

type noCopies struct{}

func (noCopies) AgeMarks() map[string]follow.Mark   { return nil }
func (noCopies) HeardMark(string, follow.Mark) bool { return false }

func (w *words) said(name string) map[string]choose.InFlight {
	w.mu.Lock()
	defer w.mu.Unlock()
	if counts := w.centres[name]; counts != nil {
		return counts
	}
	return w.nodes[name]
}

// TestOneNodeSpeaksForItsDataCentre: a node hears each node of its own data
// centre, and of another one the sum, whichever node it hears; what falls silent
// counts no more.
func TestOneNodeSpeaksForItsDataCentre(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	exchanges := map[string]*Exchange{}
	start := func(node, centre string, w *words, others ...Peer) (Peer, context.CancelFunc) {
		running, stop := context.WithCancel(ctx)
		x, conn := newExchange(t, node, centre, w, func() []Peer { return others })
		exchanges[node] = x
		go x.Run(running, conn)
		return Peer{Node: node, DataCentre: centre, Address: conn.LocalAddr(), Callers: true}, stop
	}
	b, a1, a2 := newWords(nil), newWords(map[string]choose.InFlight{"t": {Online: 2}}), newWords(map[string]choose.InFlight{"t": {Online: 1, Batch: 3}})
	peerB, _ := start("b1", "b", b)
	peer1, stop1 := start("a1", "a", a1, peerB)
	_, stop2 := start("a2", "a", a2, peer1)
	eventually(t, func() bool {
		n := b.said("a")["t"]
		return n.Online == 3 && n.Batch == 3
	})
	a2.health.Answered(300 * time.Millisecond) // how slow the store is passes on through a1
	eventually(t, func() bool {
		took, _ := b.health.Latency()
		return took == 300*time.Millisecond
	})
	is.Equal(a1.said("a2")["t"], choose.InFlight{Online: 1, Batch: 3})
	b.mu.Lock()
	is.Equal(b.claims["a"], BatchReport{Claim: choose.Claim{Demand: 2, Overflow: 1}})
	b.mu.Unlock()
	stop2()
	eventually(t, func() bool { return a1.said("a2") == nil })
	a1.mu.Lock()
	is.Equal(a1.gone, []string{"a2"})
	since, silent := exchanges["a1"].UnreachableSince("a2")
	is.True(silent && time.Since(since) >= silentAfter)
	a1.mu.Unlock()
	stop1()
	eventually(t, func() bool { return b.said("a") == nil })
}

// newExchange returns an exchange that sees the others given, and where it hears.
func newExchange(t *testing.T, node, centre string, w *words, others func() []Peer) (*Exchange, net.PacketConn) {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return New(Options{Node: node, DataCentre: centre, Boot: time.Now().UnixMicro(), Loads: w, Cache: noCopies{}, Crashes: noCrashes{}, Suspended: func() time.Duration { return 0 }, Batch: batchOf{w}, Store: w.health,
		View: func() *View { return NewView(node, centre, others()) }, OnBehind: func(string) {}, OnUnreachable: w.silent}), conn
}

// TestHoldersHearAtOnce: what cannot wait reaches the holders of items without
// waiting for a round, in the own data centre and elsewhere, and nobody else.
func TestHoldersHearAtOnce(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	near, far, other, holder := newWords(nil), newWords(nil), newWords(nil), newWords(nil)
	start := func(node, centre string, w *words, others ...Peer) (*Exchange, Peer) {
		x, conn := newExchange(t, node, centre, w, func() []Peer { return others })
		x.nearInterval, x.farInterval = time.Hour, time.Hour
		go x.Run(ctx, conn)
		return x, Peer{Node: node, DataCentre: centre, Address: conn.LocalAddr(), Callers: true}
	}
	_, nearPeer := start("a2", "a", near)
	_, holderPeer := start("b2", "b", holder)
	far.holders = choose.Holders{Nodes: []string{"b2"}} // as b1 knows its data centre
	_, farPeer := start("b1", "b", far, holderPeer)
	_, otherPeer := start("c1", "c", other)
	w := newWords(map[string]choose.InFlight{"t": {Online: 1}})
	w.holders = choose.Holders{Nodes: []string{"a2"}, DataCentres: []string{"b"}}
	x, _ := start("a1", "a", w, nearPeer, farPeer, otherPeer)
	x.NotifyHolders("t")
	eventually(t, func() bool { return near.said("a1") != nil && far.said("a") != nil && holder.said("a") != nil })
	is.Equal(near.said("a1")["t"].Online, 1)
	is.Equal(holder.said("a")["t"].Online, 1) // through b1, which knows who holds items there
	is.Equal(len(other.said("a")), 0)
}

func eventually(t *testing.T, f func() bool) {
	t.Helper()
	for range 400 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not within 4 s")
}
