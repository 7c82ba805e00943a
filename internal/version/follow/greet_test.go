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

// fakePeer answers with the Gossip of another node, or fails if it is nil.
type fakePeer struct {
	gossip  *Gossip
	queries atomic.Int32
}

func (p *fakePeer) Exchange(ctx context.Context, req *v1.ExchangeRequest) (*v1.ExchangeResponse, error) {
	p.queries.Add(1)
	if p.gossip == nil {
		return nil, errors.New("connection refused")
	}
	return p.gossip.Exchange(ctx, req)
}

// startingNode returns the Gossip of a node with an empty cache and the seeds given, by
// address.
func startingNode(seeds map[string]*fakePeer) *Gossip {
	client := func(address string) marblepondv1connect.SyncServiceClient { return seeds[address] }
	return &Gossip{Node: "new", Cache: NewCache(time.Now, kindT), Listener: &fakeListener{}, Client: client, SeedClient: client}
}

// seedWithCache returns the Gossip of a node with a verified cache of one object.
func seedWithCache() *Gossip {
	seed := &Gossip{Node: "seed", Cache: NewCache(time.Now, kindT), Listener: &fakeListener{}}
	seed.Cache.Replace(kindT, []objects.Object{{Name: "a", Revision: 3}}, 5)
	seed.Cache.MarkVerified(kindT, time.Now().Add(-200*time.Millisecond))
	return seed
}

// TestStartingNodeFetchesFromSeed: 250 nodes that start at once with 153 targets would
// list the targets in four pages each, and the nodes in six. A node that fetches from a
// seed need not list: its copy is complete, and has the age of the seed's.
func TestStartingNodeFetchesFromSeed(t *testing.T) {
	is := is.New(t)
	seeds := map[string]*fakePeer{"dead": {}, "knows": {gossip: seedWithCache()}}
	node := startingNode(seeds)
	node.FetchFromSeeds(context.Background(), []string{"dead", "knows"}, kindT)
	is.Equal(node.Cache.CompleteRevision(kindT), int64(5))
	_, ok := node.Cache.Get(kindT, "a")
	is.True(ok)
	age, known := node.Cache.Age(kindT)
	is.True(known)
	is.True(age >= 200*time.Millisecond)
	is.Equal(seeds["knows"].queries.Load(), int32(1))
}

// TestFetchWaitsForSeedsWithoutCache: all nodes of a fleet may start at once, so a seed
// that answers with an empty cache is queried again.
func TestFetchWaitsForSeedsWithoutCache(t *testing.T) {
	is := is.New(t)
	seed := &Gossip{Node: "seed", Cache: NewCache(time.Now, kindT), Listener: &fakeListener{}}
	node := startingNode(map[string]*fakePeer{"seed": {gossip: seed}})
	time.AfterFunc(250*time.Millisecond, func() {
		seed.Cache.Replace(kindT, nil, 5)
		seed.Cache.MarkVerified(kindT, time.Now())
	})
	node.FetchFromSeeds(context.Background(), []string{"seed"}, kindT)
	is.True(node.Cache.EverVerified(kindT))
}

// TestFetchWaitsForSeedsThatStartLater: a seed that starts up to 0.3 s later does not
// answer at first. Listing the store at once instead cost 930 calls when 255 nodes
// started together.
func TestFetchWaitsForSeedsThatStartLater(t *testing.T) {
	is := is.New(t)
	var seed atomic.Pointer[fakePeer]
	seed.Store(&fakePeer{})
	node := startingNode(nil)
	node.SeedClient = func(string) marblepondv1connect.SyncServiceClient { return seed.Load() }
	time.AfterFunc(300*time.Millisecond, func() { seed.Store(&fakePeer{gossip: seedWithCache()}) })
	node.FetchFromSeeds(context.Background(), []string{"seed"}, kindT)
	is.True(node.Cache.EverVerified(kindT))
}

// TestFetchEndsWithoutSeeds: seeds may be down or removed. A node queries the store soon
// if no seed answers, and after a bounded time if the seeds' caches stay empty.
func TestFetchEndsWithoutSeeds(t *testing.T) {
	is := is.New(t)
	dead := startingNode(map[string]*fakePeer{"a": {}, "b": {}})
	started := time.Now()
	dead.FetchFromSeeds(context.Background(), []string{"a", "b"}, kindT)
	is.True(time.Since(started) < seedStartWait+2*seedRetryInterval)
	blank := startingNode(map[string]*fakePeer{"a": {gossip: startingNode(nil)}})
	blank.FetchFromSeeds(context.Background(), []string{"a"}, kindT)
	is.True(time.Since(started) < seedWait+seedTimeout)
	is.True(!blank.Cache.EverVerified(kindT))
}

// TestPullsAreBounded: while all nodes of a large fleet restart, each datagram announces a
// newer registration. A node pulls at a bounded rate nevertheless, and then from the peer
// whose datagram arrived last.
func TestPullsAreBounded(t *testing.T) {
	is := is.New(t)
	peer := &fakePeer{gossip: seedWithCache()}
	node := startingNode(map[string]*fakePeer{"old": peer, "new": peer})
	node.PullQueue, node.Interval, node.Peers, node.Isolated = NewPullQueue(), time.Hour, func() []string { return nil }, func() bool { return false }
	ctx, cancel := context.WithTimeout(context.Background(), 10*minPullInterval)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			node.PullQueue.Put("old")
			time.Sleep(time.Millisecond)
		}
	}()
	node.Run(ctx)
	queries := peer.queries.Load()
	is.True(queries >= 3)
	is.True(queries <= 11)
}

// TestIsolatedNodeExchangesOften: a node whose registration the store has refused gets
// changes in rounds only, so it makes them more often.
func TestIsolatedNodeExchangesOften(t *testing.T) {
	is := is.New(t)
	for _, alone := range []bool{true, false} {
		peer := &fakePeer{gossip: seedWithCache()}
		node := startingNode(map[string]*fakePeer{"p": peer})
		node.PullQueue, node.Interval, node.Peers, node.Isolated = NewPullQueue(), time.Hour, func() []string { return []string{"p"} }, func() bool { return alone }
		ctx, cancel := context.WithTimeout(context.Background(), 2*isolatedInterval)
		node.Run(ctx)
		cancel()
		is.Equal(peer.queries.Load() > 0, alone)
	}
}

// fakeVersions is the history of versions of a node.
type fakeVersions struct {
	wants bool
	own   *v1.VersionHistory
	added []*v1.VersionHistory
}

func (f *fakeVersions) WantsHistory() bool              { return f.wants }
func (f *fakeVersions) History() *v1.VersionHistory     { return f.own }
func (f *fakeVersions) AddHistory(h *v1.VersionHistory) { f.added = append(f.added, h) }

// TestStartingNodeTakesTheHistoryOfVersions guards against a node that refuses to resume
// streams after its start because it does not know which versions there were before. A node
// that knows asks nobody.
func TestStartingNodeTakesTheHistoryOfVersions(t *testing.T) {
	is := is.New(t)
	seed := seedWithCache()
	seed.Versions = &fakeVersions{own: &v1.VersionHistory{CompleteMs: 7000}}
	node := startingNode(map[string]*fakePeer{"knows": {gossip: seed}})
	versions := &fakeVersions{wants: true}
	node.Versions = versions
	node.FetchFromSeeds(context.Background(), []string{"knows"}, kindT)
	is.Equal(len(versions.added), 1)
	is.Equal(versions.added[0].CompleteMs, uint64(7000))
	versions.wants = false
	is.NoErr(node.fetchFromSeed(context.Background(), "knows"))
	is.Equal(len(versions.added), 1)
}

// uncertainListener records whether deletions were uncertain when the listener was notified.
type uncertainListener struct {
	fakeListener
	cache     *Cache
	uncertain bool
}

func (l *uncertainListener) Changed(string, []objects.Object, Source) {
	l.uncertain = l.uncertain || l.cache.DeletionsUncertain(kindT)
}

// TestLateNodeBelievesDeletions guards against removed targets that stay in use at a node that
// hears of the refreshes of others late, for instance because it is short of processor time: the
// store has had no outage.
func TestLateNodeBelievesDeletions(t *testing.T) {
	is := is.New(t)
	peer, node := startingNode(nil), startingNode(nil)
	node.Cache.Apply(kindT, []objects.Object{{Name: "a", Revision: 3}}, 0, 5)
	node.Cache.MarkVerified(kindT, time.Now().Add(-2*minOutageAge+100*time.Millisecond)) // its refresh is not heard of yet
	listener := &uncertainListener{cache: node.Cache}
	node.Listener = listener
	peer.Cache.Apply(kindT, []objects.Object{{Name: "a", Revision: 6, Deleted: true}}, 0, 6)
	peer.Cache.MarkVerified(kindT, time.Now().Add(-minOutageAge+50*time.Millisecond))
	_, err := node.exchange(context.Background(), "p", &fakePeer{gossip: peer})
	is.NoErr(err)
	_, exists := node.Cache.Get(kindT, "a")
	is.True(!exists)
	is.True(!listener.uncertain)
}
