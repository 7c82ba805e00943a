package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/marblepond/marblepond/internal/process/wait"
)

const (
	// seedWait is how long a starting node waits for seeds that answer to have a complete
	// cache: all nodes may start at once, and the seeds query the store first.
	seedWait = 1500 * time.Millisecond
	// seedTimeout bounds one call to a seed, which answers with its whole cache: 50 KB for
	// 150 targets, sent to 85 nodes at once over the seed's link in the largest deployment.
	seedTimeout = time.Second
	// seedStartWait is how long a starting node retries while no seed answers: nodes that
	// start together all answer within 0.3 s.
	seedStartWait = 600 * time.Millisecond
	// seedRetryInterval is the mean time between two rounds of calls to the seeds.
	seedRetryInterval = 100 * time.Millisecond
)

// FetchFromSeeds fetches the cache of a starting node from seeds, so that the node does not
// have to list the object store, which takes a call per page. It returns once the kinds
// given are verified, or when the seeds do not answer or have no verified copies in time.
func (g *Gossip) FetchFromSeeds(ctx context.Context, seeds []string, kinds ...string) {
	started := g.Cache.Now()
	limit := seedStartWait // until a seed has answered
	for len(seeds) > 0 {
		for _, i := range rand.Perm(len(seeds)) {
			if g.fetchFromSeed(ctx, seeds[i]) != nil {
				continue
			}
			limit = seedWait
			if g.Cache.EverVerified(kinds...) {
				return
			}
		}
		if g.Cache.Now().Sub(started) >= limit || !wait.For(ctx, seedRetryInterval/2+rand.N(seedRetryInterval)) {
			return
		}
	}
}

func (g *Gossip) fetchFromSeed(ctx context.Context, seed string) error {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	return g.exchange(ctx, seed, g.SeedClient(seed))
}
