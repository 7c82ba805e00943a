package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/process/ring"
	"github.com/marblepond/marblepond/internal/process/wait"
)

// Gossip exchanges changes of the cache with one random peer at a time (push-pull
// anti-entropy, Demers et al., 1987). A change reaches n nodes in about log2(n)
// rounds, at a cost for each node that does not grow with n.
type Gossip struct {
	Node     string
	Cache    *Cache
	Listener Listener
	// Peers returns the addresses of the other nodes.
	Peers func() []string
	// Client returns the client of a peer.
	Client func(address string) marblepondv1connect.SyncServiceClient
	// SeedClient returns the client of a seed that is queried at the start. Its connect
	// timeout is short: a seed whose VM starts at the same time may be unreachable.
	SeedClient func(address string) marblepondv1connect.SyncServiceClient
	// Versions exchanges which versions targets have had; nil: it does not.
	Versions VersionHistory
	// Interval is the time between rounds.
	Interval time.Duration
	// Isolated reports whether no datagrams of other nodes are received.
	Isolated func() bool
	// PullQueue holds the addresses of peers whose marks showed a change that this node
	// lacks.
	PullQueue *ring.Ring[string]
	Log       UpdateLog

	sent         byteBudget    // of large parts
	pullInterval time.Duration // between pulls that bring nothing; only Run uses it
}

// VersionHistory holds which software versions the targets of services have had.
type VersionHistory interface {
	// WantsHistory reports whether this node's history is too short.
	WantsHistory() bool
	// History returns the history, nil if it is not up to date, and AddHistory adds that of
	// another node.
	History() *v1.VersionHistory
	AddHistory(h *v1.VersionHistory)
}

// pullQueueSize is how many peers may wait for a pull. The mark of a peer that finds the
// queue full arrives again within a fraction of a second.
const pullQueueSize = 8

// NewPullQueue returns a queue for Gossip.PullQueue.
func NewPullQueue() *ring.Ring[string] { return ring.New[string](pullQueueSize, ring.Refuse) }

// exchangeTimeout bounds one exchange: a peer that does not answer must not delay the
// next exchange for long.
const exchangeTimeout = 400 * time.Millisecond

// Run exchanges until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case address := <-g.PullQueue.Out():
			g.pull(ctx, address)
		case <-time.After(g.nextRound()):
			if peers := g.Peers(); len(peers) > 0 {
				go g.round(ctx, peers[rand.IntN(len(peers))])
			}
		}
	}
}

// isolatedInterval is the time between rounds of a node that receives no datagrams, for
// instance because the store refuses its registration, so that other nodes do not know
// it. Such a node gets changes in rounds only, and a change has to be in force within 2 s.
const isolatedInterval = 500 * time.Millisecond

// nextRound returns the time until the next round.
func (g *Gossip) nextRound() time.Duration {
	interval := g.Interval
	if g.Isolated() {
		interval = min(interval, isolatedInterval)
	}
	return interval*3/4 + rand.N(interval/2)
}

// minPullInterval is the least time between two pulls. While many changes are made, for
// instance when all nodes restart and register, each datagram announces a newer change;
// one pull fetches all of them.
const minPullInterval = 50 * time.Millisecond

// maxPullInterval is the longest time between two pulls of a node that gets nothing, because
// those that have the changes send as much as they may to others already.
const maxPullInterval = 800 * time.Millisecond

// pull exchanges with the peer that was queued last until it has no more changes, and drops the
// others that wait in the queue.
func (g *Gossip) pull(ctx context.Context, address string) {
	for last := false; !last; {
		select {
		case newer := <-g.PullQueue.Out():
			address = newer
		default:
			last = true
		}
	}
	if address == "" {
		return
	}
	result := partReceived
	for result == partReceived && ctx.Err() == nil {
		result = g.round(ctx, address)
	}
	if result != refused {
		g.pullInterval = 0
		wait.For(ctx, minPullInterval)
		return
	}
	g.pullInterval = min(2*max(g.pullInterval, minPullInterval), maxPullInterval)
	wait.For(ctx, g.pullInterval/2+rand.N(g.pullInterval))
}

// exchangeResult is what an exchange with a peer has brought.
type exchangeResult int

const (
	completed    exchangeResult = iota // the peer has nothing more, or the exchange failed
	partReceived                       // a part; the peer has more
	refused                            // nothing, though the peer has more
)

// round makes one exchange with a peer, which may be unreachable.
func (g *Gossip) round(ctx context.Context, address string) exchangeResult {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	result, err := g.exchange(ctx, address, g.Client(address))
	if err != nil {
		return completed // the next round takes another peer
	}
	return result
}

// exchange fetches a part of the changes of a peer that this node lacks, and sends a small part of
// those that the peer lacks in a second call: the peer fetches larger ones itself.
func (g *Gossip) exchange(ctx context.Context, address string, client marblepondv1connect.SyncServiceClient) (exchangeResult, error) {
	started := g.Cache.Now()
	resp, err := client.Exchange(ctx, &v1.ExchangeRequest{Node: g.Node, Complete: g.Cache.CompleteRevisions(), Copies: g.copies(), WantsVersions: g.Versions != nil && g.Versions.WantsHistory()})
	if err != nil {
		return completed, err
	}
	result := completed
	more, notify := g.applyMissing(resp.Missing, address, g.Cache.Now().Sub(started))
	switch {
	case more:
		result = partReceived
	case len(resp.Missing) == 0 && g.isBehind(resp.Copies):
		result = refused
	}
	for kind, mark := range UnpackMarks(resp.Marks) {
		mark.Age += g.Cache.Now().Sub(started) // the peer stated the age at some time since started
		g.Cache.ReceiveMark(kind, mark)
	}
	notify() // once the copy is known to be fresh: the listener asks whether deletions are certain
	for kind, progress := range UnpackRefreshes(resp.Refreshes) {
		g.Cache.NoteRefresh(kind, progress)
	}
	if g.Versions != nil && resp.Versions != nil {
		g.Versions.AddHistory(resp.Versions)
	}
	if offer := g.missingFor(resp.Copies, resp.Complete, smallPart); len(offer) > 0 {
		_, err = client.Exchange(ctx, &v1.ExchangeRequest{Node: g.Node, Complete: g.Cache.CompleteRevisions(), Offered: offer})
	}
	return result, err
}

// isBehind reports whether another node's copies have changes that this node's lack.
func (g *Gossip) isBehind(copies map[string]*v1.CopyState) bool {
	for kind, own := range g.copies() {
		if other := copies[kind]; other != nil && other.Complete > own.Complete {
			return true
		}
	}
	return false
}

// Exchange answers another node's exchange call.
func (g *Gossip) Exchange(_ context.Context, req *v1.ExchangeRequest) (*v1.ExchangeResponse, error) {
	_, notify := g.applyMissing(req.Offered, req.Node, 0)
	notify()
	resp := &v1.ExchangeResponse{Complete: g.Cache.CompleteRevisions(), Copies: g.copies(), Marks: PackMarks(g.Cache.FreshnessMarks()), Refreshes: PackRefreshes(g.Cache.RefreshesUnderWay())}
	if len(req.Offered) == 0 {
		resp.Missing = g.missingFor(req.Copies, req.Complete, partBytes)
	}
	if g.Versions != nil && req.WantsVersions {
		resp.Versions = g.Versions.History()
	}
	return resp, nil
}

// copies returns what this node's copies have, by kind.
func (g *Gossip) copies() map[string]*v1.CopyState {
	out := map[string]*v1.CopyState{}
	for _, kind := range g.Cache.Kinds() {
		state := g.Cache.State(kind)
		out[kind] = &v1.CopyState{Complete: state.Complete, Deletions: state.Deletions, Empty: state.Empty}
	}
	return out
}

const (
	// partBytes bounds the changes in one message: they pass a line of 30 Mbit/s in 35 ms, so
	// that several parts at once arrive within exchangeTimeout.
	partBytes = 128 << 10
	// smallPart is the size up to which changes are sent whatever was sent before, and up to which
	// they are offered: the cost of taking changes over hardly depends on their number.
	smallPart = 16 << 10
	// sendRate and sendBurst bound what a node sends to others in larger parts, in bytes per
	// second and bytes. Beyond that others fetch from nodes that have the changes by then. It
	// is less than the slowest lines of VMs carry, so that the parts that are sent arrive.
	sendRate  = 3 << 20
	sendBurst = 2 << 20
)

// missingFor returns the next part, of at most maxBytes, of what a node lacks whose copies have
// the states given. A node of an earlier version states only the revisions up to which its copies
// are complete; it gets all changes at once.
func (g *Gossip) missingFor(copies map[string]*v1.CopyState, revisions map[string]int64, maxBytes int) []*v1.KindChanges {
	if len(copies) == 0 {
		return g.allMissingFor(revisions)
	}
	var out []*v1.KindChanges
	left := maxBytes
	for _, kind := range g.Cache.Kinds() {
		state, follows := copies[kind]
		if !follows || left <= 0 {
			continue
		}
		limit := left
		if limit > smallPart && !g.sent.has(g.Cache.Now(), limit) {
			limit = smallPart
		}
		p, ok := g.Cache.Missing(kind, CopyState{Complete: state.Complete, Deletions: state.Deletions, Empty: state.Empty}, limit)
		if !ok || (p.More && limit < partBytes) {
			continue
		}
		size := p.size()
		if size > smallPart {
			g.sent.take(size)
		}
		left -= size
		out = append(out, p.pack(kind))
	}
	return out
}

// allMissingFor returns the changes that a node lacks whose kinds are complete up to the
// revisions given.
func (g *Gossip) allMissingFor(revisions map[string]int64) []*v1.KindChanges {
	var out []*v1.KindChanges
	for kind, complete := range g.Cache.CompleteRevisions() {
		peerComplete, follows := revisions[kind]
		if !follows || peerComplete >= complete {
			continue
		}
		changes := changesOf(g.Cache, kind, peerComplete)
		if len(changes.Changes) > 0 || changes.Whole {
			out = append(out, changes)
		}
	}
	return out
}

// changesOf returns the changes of a kind after a revision as a message.
func changesOf(c *Cache, kind string, since int64) *v1.KindChanges {
	changes, complete, full := c.ChangesSince(kind, since)
	out := &v1.KindChanges{Kind: kind, Since: since, Complete: complete, Whole: full}
	for _, o := range changes {
		out.Changes = append(out.Changes, changeToProto(o))
	}
	return out
}

// adopt adds received changes to the cache and returns those that were new to it.
func adopt(c *Cache, m *v1.KindChanges) []objects.Object {
	switch {
	case m.Existed > 0:
		return c.Merge(m.Kind, unpackPart(m))
	case m.Whole:
		return c.Replace(m.Kind, objectsFromProto(m.Changes), m.Complete)
	}
	return c.Apply(m.Kind, objectsFromProto(m.Changes), m.Since, m.Complete)
}

func changeToProto(o objects.Object) *v1.ObjectChange {
	return &v1.ObjectChange{Name: o.Name, Revision: o.Revision, Value: o.Value, Deleted: o.Deleted}
}

func objectsFromProto(changes []*v1.ObjectChange) []objects.Object {
	out := make([]objects.Object, 0, len(changes))
	for _, c := range changes {
		out = append(out, objects.Object{Name: c.Name, Revision: c.Revision, Value: c.Value, Deleted: c.Deleted})
	}
	return out
}

// applyMissing adds changes that a peer sent, in answer to a call that took the time given. It
// reports whether the peer has more and the copy has advanced; notify notifies the listener.
func (g *Gossip) applyMissing(missing []*v1.KindChanges, peer string, took time.Duration) (more bool, notify func()) {
	changed := make([][]objects.Object, len(missing))
	for i, m := range missing {
		age, _ := g.Cache.Age(m.Kind)
		before := g.Cache.State(m.Kind)
		changed[i] = adopt(g.Cache, m)
		more = more || (m.More && g.Cache.State(m.Kind) != before)
		g.Log.report(Update{Kind: m.Kind, Source: FromPeer, Peer: peer, Changes: len(m.Changes), New: len(changed[i]), Since: m.Since, Revision: m.Complete, Listing: m.Whole || m.HasNames, More: m.More, Took: took, Age: age})
	}
	return more, func() {
		for i, m := range missing {
			if len(changed[i]) > 0 {
				g.Listener.Changed(m.Kind, changed[i], FromPeer)
			}
			g.Cache.delivered(m.Kind, m.Complete)
		}
	}
}

// byteBudget is a token bucket of bytes. It is safe for concurrent use.
type byteBudget struct {
	mu    sync.Mutex
	spent float64 // bytes that sendRate has not made up for, at the time at
	at    time.Time
}

// has reports whether the budget has a number of bytes, and take takes them.
func (b *byteBudget) has(now time.Time, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-sendRate*now.Sub(b.at).Seconds())
	b.at = now
	return b.spent+float64(bytes) <= sendBurst
}

func (b *byteBudget) take(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent += float64(bytes)
}
