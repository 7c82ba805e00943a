package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/marblepond/marblepond/internal/process/wait"
)

const (
	// seedWait is how long a starting node waits for seeds that answer to have a complete
	// cache: all nodes may start at once, and the seeds query the store first. What is then
	// still missing comes with the usual exchanges.
	seedWait = 1500 * time.Millisecond
	// seedTimeout bounds one call to a seed, which answers with a part of its cache, and at the
	// same time to the other nodes that start.
	seedTimeout = time.Second
	// seedStartWait is how long a starting node retries while no seed answers: nodes that
	// start together all answer within 0.3 s.
	seedStartWait = 600 * time.Millisecond
	// seedRetryInterval is the mean time between two rounds of calls to the seeds.
	seedRetryInterval = 100 * time.Millisecond
)

// FetchFromSeeds fetches the cache of a starting node from seeds, so that the node does not
// have to list the object store, which takes a call per page. It returns once the kinds
// given are verified, or when the seeds do not answer or have no verified copies in time. Changes
// may also come from other nodes, once they are known and have them.
func (g *Gossip) FetchFromSeeds(ctx context.Context, seeds []string, kinds ...string) {
	started := g.Cache.Now()
	limit := seedStartWait // until a seed has answered
	for len(seeds) > 0 {
		for _, address := range g.sources(seeds) {
			if g.fetchFromSeed(ctx, address) != nil {
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

// sources returns the seeds in random order, and another node if others are known.
func (g *Gossip) sources(seeds []string) []string {
	out := make([]string, 0, len(seeds)+1)
	for _, i := range rand.Perm(len(seeds)) {
		out = append(out, seeds[i])
	}
	if g.Peers == nil {
		return out
	}
	if peers := g.Peers(); len(peers) > len(seeds) {
		out = append(out, peers[rand.IntN(len(peers))])
	}
	return out
}

// fetchFromSeed fetches what a seed has, in parts.
func (g *Gossip) fetchFromSeed(ctx context.Context, seed string) error {
	for {
		limited, cancel := context.WithTimeout(ctx, seedTimeout)
		result, err := g.exchange(limited, seed, g.SeedClient(seed))
		cancel()
		if err != nil || result != partReceived {
			return err
		}
	}
}
