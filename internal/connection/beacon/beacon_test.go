package beacon

import (
	"context"
	"net"
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
	mu      sync.Mutex
	own     map[string]choose.InFlight
	nodes   map[string]map[string]choose.InFlight
	centres map[string]map[string]choose.InFlight
	claims  map[string]choose.Claim // by node or data centre
	health  *objects.Health
	gone    []string // nodes that fell silent
}

func (w *words) silent(node string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = append(w.gone, node)
}

func newWords(own map[string]choose.InFlight) *words {
	return &words{own: own, nodes: map[string]map[string]choose.InFlight{}, centres: map[string]map[string]choose.InFlight{}, claims: map[string]choose.Claim{},
		health: objects.NewHealth(time.Now, func(bool, time.Duration) {})}
}

func (w *words) InFlight() map[string]choose.InFlight { return w.own }

func (w *words) InFlightHere() map[string]choose.InFlight {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := map[string]choose.InFlight{}
	for _, counts := range append([]map[string]choose.InFlight{w.own}, w.nodes["a1"], w.nodes["a2"]) {
		for id, n := range counts {
			sum[id] = choose.InFlight{Online: sum[id].Online + n.Online, Batch: sum[id].Batch + n.Batch}
		}
	}
	return sum
}

func (w *words) SetNode(node string, counts map[string]choose.InFlight) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[node] = counts
}

func (w *words) SetDataCentre(name string, counts map[string]choose.InFlight) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.centres[name] = counts
}

func (w *words) Own() choose.Claim   { return choose.Claim{Demand: 1} }
func (w *words) Here() choose.Claim  { return choose.Claim{Demand: 2, Overflow: 1} }
func (w *words) Announced() []string { return nil }

func (w *words) HeardNode(node string, b choose.Claim) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.claims[node] = b
}

func (w *words) HeardDataCentre(name string, b choose.Claim) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.claims[name] = b
}

func (w *words) HeardJobs(string, []string) {}

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
	start := func(node, centre string, w *words, near, far []string) (address string, stop context.CancelFunc) {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		is.NoErr(err)
		running, stop := context.WithCancel(ctx)
		x := New(Options{Node: node, DataCentre: centre, Boot: 1, Loads: w, Copies: noCopies{}, Batch: w, Store: w.health,
			Peers: func() ([]string, []string) { return near, far }, Behind: func(string) {}, Silent: w.silent})
		exchanges[node] = x
		go x.Run(running, conn)
		return conn.LocalAddr().String(), stop
	}
	b, a1, a2 := newWords(nil), newWords(map[string]choose.InFlight{"t": {Online: 2}}), newWords(map[string]choose.InFlight{"t": {Online: 1, Batch: 3}})
	addressB, _ := start("b1", "b", b, nil, nil)
	address1, stop1 := start("a1", "a", a1, nil, []string{addressB})
	_, stop2 := start("a2", "a", a2, []string{address1}, nil)
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
	is.Equal(b.claims["a"], choose.Claim{Demand: 2, Overflow: 1})
	b.mu.Unlock()
	stop2()
	eventually(t, func() bool { return a1.said("a2") == nil })
	a1.mu.Lock()
	is.Equal(a1.gone, []string{"a2"})
	since, silent := exchanges["a1"].SilentSince("a2")
	is.True(silent && time.Since(since) >= silentAfter)
	a1.mu.Unlock()
	stop1()
	eventually(t, func() bool { return b.said("a") == nil })
}

// TestHoldersHearAtOnce: what cannot wait reaches the holders of items before
// the next round, in the own data centre and elsewhere, and nobody else.
func TestHoldersHearAtOnce(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	start := func(node, centre string, w *words, near, far []string, holders func(choose.Holders) ([]string, []string)) (string, *Exchange) {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		is.NoErr(err)
		x := New(Options{Node: node, DataCentre: centre, Boot: 1, Loads: w, Copies: noCopies{}, Batch: w, Store: w.health,
			Peers: func() ([]string, []string) { return near, far }, Holders: holders, Behind: func(string) {}, Silent: w.silent})
		go x.Run(ctx, conn)
		return conn.LocalAddr().String(), x
	}
	near, far, other := newWords(nil), newWords(nil), newWords(nil)
	nearAddress, _ := start("a2", "a", near, nil, nil, nil)
	farAddress, _ := start("b1", "b", far, nil, nil, nil)
	otherAddress, _ := start("c1", "c", other, nil, nil, nil)
	// So many peers that the pace of rounds alone would take a second.
	crowd := make([]string, 200)
	for i := range crowd {
		crowd[i] = otherAddress
	}
	w := newWords(map[string]choose.InFlight{"t": {Online: 1}})
	_, x := start("a1", "a", w, crowd, nil, func(h choose.Holders) ([]string, []string) {
		is.Equal(h, choose.Holders{Nodes: []string{"a2"}, DataCentres: []string{"b"}})
		return []string{nearAddress}, []string{farAddress}
	})
	x.Touch()
	time.Sleep(20 * time.Millisecond) // the first round is over, the next is a second away
	told := time.Now()
	x.Tell(choose.Holders{Nodes: []string{"a2"}, DataCentres: []string{"b"}})
	eventually(t, func() bool { return near.said("a1") != nil && far.said("a") != nil })
	is.True(time.Since(told) < 500*time.Millisecond)
	is.Equal(near.said("a1")["t"].Online, 1)
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
