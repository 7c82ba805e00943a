package follow

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/objects"
)

// peerOf answers as the gossip of another node, or not at all.
type peerOf struct {
	gossip *Gossip
	asked  atomic.Int32
}

func (p *peerOf) Exchange(ctx context.Context, req *v1.ExchangeRequest) (*v1.ExchangeResponse, error) {
	p.asked.Add(1)
	if p.gossip == nil {
		return nil, errors.New("connection refused")
	}
	return p.gossip.Exchange(ctx, req)
}

// startingNode returns the gossip of a node that knows nothing, before the seeds
// named.
func startingNode(seeds map[string]*peerOf) *Gossip {
	client := func(address string) marblepondv1connect.SyncServiceClient { return seeds[address] }
	return &Gossip{Node: "new", Cache: NewCache(time.Now, kindT), Listener: &heardNews{}, Client: client, SeedClient: client}
}

func seedThatKnows() *Gossip {
	seed := &Gossip{Node: "seed", Cache: NewCache(time.Now, kindT), Listener: &heardNews{}}
	seed.Cache.Replace(kindT, []objects.Object{{Name: "a", Revision: 3}}, 5)
	seed.Cache.MarkVerified(kindT, time.Now().Add(-200*time.Millisecond))
	return seed
}

// TestStartingNodeLearnsFromASeed: 250 nodes that start at once before 153 targets
// would list these in four pages each, and themselves in six. One that is told by a
// seed has no need to: its copy is complete, and as old as the seed's.
func TestStartingNodeLearnsFromASeed(t *testing.T) {
	is := is.New(t)
	seeds := map[string]*peerOf{"dead": {}, "knows": {gossip: seedThatKnows()}}
	node := startingNode(seeds)
	node.FetchFromSeeds(context.Background(), []string{"dead", "knows"}, kindT)
	is.Equal(node.Cache.CompleteRevision(kindT), int64(5))
	_, ok := node.Cache.Get(kindT, "a")
	is.True(ok)
	age, known := node.Cache.Age(kindT)
	is.True(known)
	is.True(age >= 200*time.Millisecond)
	is.Equal(seeds["knows"].asked.Load(), int32(1))
}

// TestGreetingWaitsForSeedsThatStartToo: all nodes of a fleet start at once; a seed
// that answers and knows nothing yet is asked again.
func TestGreetingWaitsForSeedsThatStartToo(t *testing.T) {
	is := is.New(t)
	seed := &Gossip{Node: "seed", Cache: NewCache(time.Now, kindT), Listener: &heardNews{}}
	node := startingNode(map[string]*peerOf{"seed": {gossip: seed}})
	time.AfterFunc(250*time.Millisecond, func() {
		seed.Cache.Replace(kindT, nil, 5)
		seed.Cache.MarkVerified(kindT, time.Now())
	})
	node.FetchFromSeeds(context.Background(), []string{"seed"}, kindT)
	is.True(node.Cache.EverVerified(kindT))
}

// TestGreetingWaitsForSeedsThatStartLater: a seed that starts up to 0.3 s later
// does not answer at first. To list from the store at once instead cost 930 calls
// when 255 nodes started together.
func TestGreetingWaitsForSeedsThatStartLater(t *testing.T) {
	is := is.New(t)
	var seed atomic.Pointer[peerOf]
	seed.Store(&peerOf{})
	node := startingNode(nil)
	node.SeedClient = func(string) marblepondv1connect.SyncServiceClient { return seed.Load() }
	time.AfterFunc(300*time.Millisecond, func() { seed.Store(&peerOf{gossip: seedThatKnows()}) })
	node.FetchFromSeeds(context.Background(), []string{"seed"}, kindT)
	is.True(node.Cache.EverVerified(kindT))
}

// TestGreetingEndsWithoutSeeds: seeds may be down or gone. A node that none answers
// asks the store soon, and one whose seeds know nothing does so after a bounded time.
func TestGreetingEndsWithoutSeeds(t *testing.T) {
	is := is.New(t)
	dead := startingNode(map[string]*peerOf{"a": {}, "b": {}})
	started := time.Now()
	dead.FetchFromSeeds(context.Background(), []string{"a", "b"}, kindT)
	is.True(time.Since(started) < greetStart+2*greetPause)
	blank := startingNode(map[string]*peerOf{"a": {gossip: startingNode(nil)}})
	blank.FetchFromSeeds(context.Background(), []string{"a"}, kindT)
	is.True(time.Since(started) < greetFor+greetTimeout)
	is.True(!blank.Cache.EverVerified(kindT))
}

// TestPullsAreBounded: while all of a large fleet start again each datagram tells of
// a newer registration. A node asks at a bounded rate all the same, and then the one
// that was heard last.
func TestPullsAreBounded(t *testing.T) {
	is := is.New(t)
	peer := &peerOf{gossip: seedThatKnows()}
	node := startingNode(map[string]*peerOf{"old": peer, "new": peer})
	node.PullQueue, node.Interval, node.Peers, node.Isolated = NewPullQueue(), time.Hour, func() []string { return nil }, func() bool { return false }
	ctx, cancel := context.WithTimeout(context.Background(), 10*pullPause)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			node.PullQueue.Put("old")
			time.Sleep(time.Millisecond)
		}
	}()
	node.Run(ctx)
	asked := peer.asked.Load()
	is.True(asked >= 3)
	is.True(asked <= 11)
}

// TestNodeThatHearsNobodyAsksOften: rounds are all that brings news to a node whose
// registration the store has refused.
func TestNodeThatHearsNobodyAsksOften(t *testing.T) {
	is := is.New(t)
	for _, alone := range []bool{true, false} {
		peer := &peerOf{gossip: seedThatKnows()}
		node := startingNode(map[string]*peerOf{"p": peer})
		node.PullQueue, node.Interval, node.Peers, node.Isolated = NewPullQueue(), time.Hour, func() []string { return []string{"p"} }, func() bool { return alone }
		ctx, cancel := context.WithTimeout(context.Background(), 2*aloneInterval)
		node.Run(ctx)
		cancel()
		is.Equal(peer.asked.Load() > 0, alone)
	}
}
