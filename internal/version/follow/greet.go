package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/marblepond/marblepond/internal/process/wait"
)

const (
	// greetFor is how long a starting node waits for what its seeds know: all nodes
	// may start at once, and the seeds ask the store first.
	greetFor = 1500 * time.Millisecond
	// greetTimeout bounds one answer of a seed, which is all that it knows: 50 KB for
	// 150 targets, to 85 nodes at once over its link in the largest deployment.
	greetTimeout = time.Second
	// greetStart is how long seeds that do not answer are asked again: nodes that
	// start together do so within 0.3 s.
	greetStart = 600 * time.Millisecond
	// greetPause is the time between questions to seeds that know nothing yet.
	greetPause = 100 * time.Millisecond
)

// FetchFromSeeds asks seeds for the copies that a starting node lacks, so that it need not
// list them from the object store, which takes a call a page: it returns once it
// has the kinds given, or when the seeds do not answer or know nothing in time.
func (g *Gossip) FetchFromSeeds(ctx context.Context, seeds []string, kinds ...string) {
	started := g.Cache.Now()
	limit := greetStart // until one has answered
	for len(seeds) > 0 {
		for _, i := range rand.Perm(len(seeds)) {
			if g.greet(ctx, seeds[i]) != nil {
				continue
			}
			limit = greetFor
			if g.Cache.EverVerified(kinds...) {
				return
			}
		}
		if g.Cache.Now().Sub(started) >= limit || !wait.For(ctx, greetPause/2+rand.N(greetPause)) {
			return
		}
	}
}

func (g *Gossip) greet(ctx context.Context, seed string) error {
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	return g.exchange(ctx, g.SeedClient(seed))
}
