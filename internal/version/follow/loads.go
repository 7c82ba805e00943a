package follow

import (
	"sync"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
)

// loadAge is how long a node's last word on itself counts. A node that was
// silent for longer has been taken over, and its successor says the same.
const loadAge = 30 * time.Second

// Loads holds what each node last said of itself. It travels with the
// exchanges of Gossip. It is safe for concurrent use.
type Loads struct {
	node string
	boot int64
	now  func() time.Time
	own  func() map[string]int64 // by batch route: tokens accepted here and not finished

	mu       sync.Mutex
	sequence uint64
	others   map[string]heardLoad
}

type heardLoad struct {
	load *v1.NodeLoad
	at   time.Time
}

// NewLoads returns the loads as node sees them in one boot.
func NewLoads(node string, boot int64, now func() time.Time, own func() map[string]int64) *Loads {
	return &Loads{node: node, boot: boot, now: now, own: own, others: map[string]heardLoad{}}
}

// Pack returns the node's own load and those heard of others.
func (l *Loads) Pack() []*v1.NodeLoad {
	own := l.own()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	out := []*v1.NodeLoad{{Node: l.node, Boot: l.boot, Sequence: l.sequence, WaitingTokens: own}}
	for _, h := range l.others {
		if l.fresh(h) {
			out = append(out, h.load)
		}
	}
	return out
}

// Unpack takes what a peer sent; the newest word of each node counts.
func (l *Loads) Unpack(loads []*v1.NodeLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range loads {
		old := l.others[n.Node].load
		if n.Node == l.node || (old != nil && !newer(n, old)) {
			continue
		}
		l.others[n.Node] = heardLoad{load: n, at: l.now()}
	}
}

// fresh reports whether a word still counts. Older ones are kept, so that a
// peer that holds them a little longer does not make them new again.
func (l *Loads) fresh(h heardLoad) bool { return l.now().Sub(h.at) <= loadAge }

func newer(a, b *v1.NodeLoad) bool {
	return a.Boot > b.Boot || (a.Boot == b.Boot && a.Sequence > b.Sequence)
}

// Waiting returns the tokens that wait on a batch route at all other nodes.
func (l *Loads) Waiting(route string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := int64(0)
	for _, h := range l.others {
		if l.fresh(h) {
			total += h.load.WaitingTokens[route]
		}
	}
	return total
}
