package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/job"
	"github.com/marblepond/marblepond/internal/version/follow"
)

const (
	// configAge is how old a node's copy of the configuration may become before
	// the store is asked: a change has to be in force within 2 s, and the answer
	// takes up to half a second to reach every node.
	configAge = 700 * time.Millisecond
	// targetsAge is the same for the list of targets: one that is leaving gets
	// no new request later than 2 s after that was acknowledged.
	targetsAge = 700 * time.Millisecond
	// endsAge is the same for ends of jobs: their items stop within 3 s.
	endsAge = time.Second
	// nodesAge is the same for the list of nodes, which changes rarely and only
	// makes the work be shared better.
	nodesAge = 4 * time.Second
	// retirementsAge is the same for VMs that are to be emptied, within 10 s or
	// so.
	retirementsAge = 2 * time.Second
	// freshWithin is how old the copy of the configuration may be for the node to
	// deny that a route exists: within the 2 s in which changes come into force.
	freshWithin = 1900 * time.Millisecond
)

// followed returns the kinds that this node follows, each with the age at
// which its copy is refreshed.
func (n *Node) followed() map[string]time.Duration {
	kinds := map[string]time.Duration{
		n.adapter.Kinds.Config: configAge, n.adapter.Kinds.Targets: targetsAge, kindNodes: nodesAge, job.KindEnds: endsAge,
	}
	if n.keeper() {
		kinds[n.adapter.Kinds.Retirements] = retirementsAge
	}
	return kinds
}

// keeper reports whether this node serves no callers; it then answers for VMs
// that are to be emptied.
func (n *Node) keeper() bool { return n.settings.CallerListen == "" }

// keepSnapshot starts from what the disk holds of the followed kinds, and keeps
// it there from then on.
func (n *Node) keepSnapshot(ctx context.Context, wg *sync.WaitGroup) {
	failed := func(err error) { n.recorder.Record(timeline.SnapshotFailed, "", n.settings.DataDir, err.Error()) }
	s := &follow.Snapshot{Dir: n.settings.DataDir, Cache: n.cache, Failed: failed,
		Kinds: []string{n.adapter.Kinds.Config, n.adapter.Kinds.Targets, kindNodes}}
	if err := s.Load(n); err != nil {
		failed(err)
	}
	wg.Go(func() { s.Run(ctx) })
}

// followers returns the function that lists the other nodes of this data centre
// that are heard and follow a kind.
func (n *Node) followers(kind string) func() []string {
	keepersOnly := kind == n.adapter.Kinds.Retirements
	return func() []string {
		heard := n.beacon.HeardNear()
		if !keepersOnly {
			return heard
		}
		var out []string
		nodes := n.registered()
		for _, name := range heard {
			if r, ok := nodes[name]; ok && !r.Callers {
				out = append(out, name)
			}
		}
		return out
	}
}

// anySeed returns the address of a seed other than this node, "" when there is
// none.
func (n *Node) anySeed() string {
	for _, seed := range *n.seeds.Load() {
		if seed != n.settings.PeerAdvertise {
			return seed
		}
	}
	return ""
}
