package follow

import (
	"context"
	"math/rand/v2"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/process/ring"
	"github.com/marblepond/marblepond/internal/process/wait"
)

// Gossip exchanges the cache with one random peer at a time (push and pull
// anti-entropy, Demers et al., 1987). What one node knows reaches n nodes in
// about log2(n) rounds, at a cost for each node that does not grow with n.
type Gossip struct {
	Node     string
	Cache    *Cache
	Listener Listener
	// Peers returns the addresses of the other nodes known.
	Peers func() []string
	// Client returns the client of a peer.
	Client func(address string) marblepondv1connect.SyncServiceClient
	// SeedClient returns the client of a seed that is asked at the start. It connects for
	// a short time only: a seed whose machine starts at the same time may be dark.
	SeedClient func(address string) marblepondv1connect.SyncServiceClient
	// Interval is the time between rounds.
	Interval time.Duration
	// Isolated reports whether no other node's datagrams are heard.
	Isolated func() bool
	// PullQueue holds the addresses of peers that were heard to know more.
	PullQueue *ring.Ring[string]
}

// pulls is how many peers may wait to be asked; one that finds no room is heard
// again within a fraction of a second.
const pulls = 8

// NewPullQueue returns the ring for Gossip.PullQueue.
func NewPullQueue() *ring.Ring[string] { return ring.New[string](pulls, ring.Refuse) }

// exchangeTimeout bounds one exchange. A peer that does not answer must not
// hold up the next round's peer for long.
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

// aloneInterval is the time between rounds of a node that no datagram reaches, as
// one that the store refuses, so that the others do not know it: rounds are all
// that brings it news, and a change has to be in force within 2 s.
const aloneInterval = 500 * time.Millisecond

// nextRound returns the time until the next round.
func (g *Gossip) nextRound() time.Duration {
	interval := g.Interval
	if g.Isolated() {
		interval = min(interval, aloneInterval)
	}
	return interval*3/4 + rand.N(interval/2)
}

// pullPause is the least time between two pulls. While many changes are made, as
// when all nodes start again and register, each datagram tells of a newer one; a
// pull brings all that there are.
const pullPause = 50 * time.Millisecond

// pull asks a node that was heard to know more, and drops what was asked for
// meanwhile except the newest.
func (g *Gossip) pull(ctx context.Context, address string) {
	for last := false; !last; {
		select {
		case newer := <-g.PullQueue.Out():
			address = newer
		default:
			last = true
		}
	}
	if address != "" {
		g.round(ctx, address)
		wait.For(ctx, pullPause)
	}
}

// round is one exchange with a peer that need not be there.
func (g *Gossip) round(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	_ = g.exchange(ctx, g.Client(address)) // the peer is away; the next round asks another
}

// exchange takes what a peer has and this node lacks; a second message follows
// when it is the other way round too.
func (g *Gossip) exchange(ctx context.Context, client marblepondv1connect.SyncServiceClient) error {
	asked := g.Cache.Now()
	resp, err := client.Exchange(ctx, &v1.ExchangeRequest{Node: g.Node, Complete: g.Cache.CompleteRevisions()})
	if err != nil {
		return err
	}
	g.take(resp.Missing)
	for kind, mark := range UnpackMarks(resp.Marks) {
		mark.Age += g.Cache.Now().Sub(asked) // the answer was composed in this time
		g.Cache.ReceiveMark(kind, mark)
	}
	if offer := g.lacking(resp.Complete); len(offer) > 0 {
		_, err = client.Exchange(ctx, &v1.ExchangeRequest{Node: g.Node, Complete: g.Cache.CompleteRevisions(), Offered: offer})
	}
	return err
}

// Exchange answers another node's round.
func (g *Gossip) Exchange(_ context.Context, req *v1.ExchangeRequest) (*v1.ExchangeResponse, error) {
	g.take(req.Offered)
	return &v1.ExchangeResponse{Complete: g.Cache.CompleteRevisions(), Missing: g.lacking(req.Complete), Marks: PackMarks(g.Cache.FreshnessMarks())}, nil
}

// lacking returns what a node lacks that is complete up to the marks given.
func (g *Gossip) lacking(marks map[string]int64) []*v1.KindChanges {
	var out []*v1.KindChanges
	for kind, complete := range g.Cache.CompleteRevisions() {
		theirs, follows := marks[kind]
		if !follows || theirs >= complete {
			continue
		}
		changes := changesOf(g.Cache, kind, theirs)
		if len(changes.Changes) > 0 || changes.Whole {
			out = append(out, changes)
		}
	}
	return out
}

// changesOf returns the changes of a kind after a revision, as they are sent.
func changesOf(c *Cache, kind string, since int64) *v1.KindChanges {
	complete := c.CompleteRevision(kind)
	changes, whole := c.ChangesSince(kind, since)
	out := &v1.KindChanges{Kind: kind, Since: since, Complete: complete, Whole: whole}
	for _, o := range changes {
		out.Changes = append(out.Changes, &v1.ObjectChange{Name: o.Name, Revision: o.Revision, Value: o.Value, Deleted: o.Deleted})
	}
	return out
}

// adopt takes changes that were sent and returns what was news.
func adopt(c *Cache, m *v1.KindChanges) []objects.Object {
	if m.Whole {
		return c.Replace(m.Kind, received(m.Changes), m.Complete)
	}
	return c.Apply(m.Kind, received(m.Changes), m.Since, m.Complete)
}

func received(changes []*v1.ObjectChange) []objects.Object {
	out := make([]objects.Object, 0, len(changes))
	for _, c := range changes {
		out = append(out, objects.Object{Name: c.Name, Revision: c.Revision, Value: c.Value, Deleted: c.Deleted})
	}
	return out
}

func (g *Gossip) take(missing []*v1.KindChanges) {
	for _, m := range missing {
		if news := adopt(g.Cache, m); len(news) > 0 {
			g.Listener.Changed(m.Kind, news, FromPeer)
		}
	}
}
