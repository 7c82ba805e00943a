package hosted

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/request/checkpoint"
	"github.com/marblepond/marblepond/internal/request/job"
	"github.com/marblepond/marblepond/internal/version/follow"
)

const (
	// refreshShare is the share of the time in which a change has to be in force
	// after which a copy is refreshed. The rest is for nodes that are to ask first
	// and do not (each delays the next by a quarter second at the most), for the
	// answer of a slow store, and for the half second in which it reaches every
	// node.
	refreshShare = 0.35
	// freshShare is the share of that time for which a copy of the configuration
	// lets the node deny that a route exists.
	freshShare = 0.95
	// nodesAge is how old the copy of the list of nodes may become. It changes
	// rarely and only makes the work be shared better.
	nodesAge = 4 * time.Second
	// retirementsAge is the same for VMs that are to be emptied, within 10 s or
	// so.
	retirementsAge = 2 * time.Second
)

// refreshAge returns the age at which a copy is refreshed whose changes have to
// be in force within a time.
func refreshAge(within time.Duration) time.Duration {
	return time.Duration(refreshShare * float64(within))
}

// followed returns the kinds that this node follows, each with the age at
// which its copy is refreshed.
func (n *Node) followed() map[string]time.Duration {
	kinds := map[string]time.Duration{
		n.adapter.Kinds.Config:  refreshAge(n.settings.ConfigWithin),
		n.adapter.Kinds.Targets: refreshAge(n.settings.TargetsWithin),
		job.KindEnds:            refreshAge(n.settings.EndsWithin),
		kindNodes:               nodesAge,
	}
	if n.settings.EvacuatedWithin > 0 {
		kinds[n.adapter.Kinds.Evacuations] = refreshAge(n.settings.EvacuatedWithin)
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
	s := &follow.Snapshot{Dir: n.settings.DataDir, Cache: n.cache, OnError: failed,
		Kinds: []string{n.adapter.Kinds.Config, n.adapter.Kinds.Targets, n.adapter.Kinds.Evacuations, kindNodes}}
	if err := s.Load(n); err != nil {
		failed(err)
	}
	wg.Go(func() { s.Run(ctx) })
}

// keepCheckpoints starts from the checkpoints on the disk, and keeps them there
// from then on.
func (n *Node) keepCheckpoints(ctx context.Context, wg *sync.WaitGroup) {
	failed := func(err error) { n.recorder.Record(timeline.SnapshotFailed, "", n.settings.DataDir, err.Error()) }
	d := &checkpoint.Disk{Dir: n.settings.DataDir, Store: n.checkpoints, OnError: failed}
	if err := d.Load(); err != nil {
		failed(err)
	}
	wg.Go(func() { d.Run(ctx) })
}

// followers returns the function that lists the other nodes of this data centre
// that are heard and follow a kind.
func (n *Node) followers(kind string) func() []string {
	keepersOnly := kind == n.adapter.Kinds.Retirements
	return func() []string {
		heard := n.beacon.ReachableInDataCentre()
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

const (
	// firstShown is when a seed reads the list of nodes at the first start of a
	// fleet: all nodes start within 0.3 s and have registered by then. firstGreeting
	// is when the others ask it, and learn of all nodes at once.
	firstShown    = 700 * time.Millisecond
	firstGreeting = time.Second
)

// isSeed reports whether other nodes ask this one first.
func (n *Node) isSeed() bool { return slices.Contains(*n.seeds.Load(), n.settings.PeerAdvertise) }

// greet asks the seeds for what they know before this node asks the object store.
// A seed asks the store at once, for all that start with it.
func (n *Node) greet(ctx context.Context) {
	if n.isSeed() || (n.settings.FirstStart && !wait.For(ctx, firstGreeting)) {
		return
	}
	kinds := []string{n.adapter.Kinds.Config, n.adapter.Kinds.Targets, job.KindEnds, kindNodes}
	if n.settings.EvacuatedWithin > 0 {
		kinds = append(kinds, n.adapter.Kinds.Evacuations)
	}
	n.gossip.FetchFromSeeds(ctx, *n.seeds.Load(), kinds...)
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
