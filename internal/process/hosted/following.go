package hosted

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/connection/origins"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/request/checkpoint"
	"github.com/marblepond/marblepond/internal/request/job"
	"github.com/marblepond/marblepond/internal/version/follow"
)

const (
	// refreshShare is the age at which a cached copy is refreshed, as a share of the time in
	// which a change has to be in force. The rest is for nodes earlier in the refresh order
	// that fail to refresh (each delays the next by a quarter second at most), for a slow
	// response of the object store, and for the half second that the result takes to reach
	// every node.
	refreshShare = 0.35
	// freshShare is the age up to which the cached configuration is fresh enough to answer
	// that a route does not exist, as a share of the same time.
	freshShare = 0.95
	// nodeListMaxAge is the age at which the cached list of nodes is refreshed. It changes
	// rarely and only affects how well nodes divide the work.
	nodeListMaxAge = 4 * time.Second
	// retirementsMaxAge is the same for the list of VMs that are to be emptied. A VM has to be
	// empty within about 10 s.
	retirementsMaxAge = 2 * time.Second
)

// refreshAge returns the age at which a cached copy is refreshed if its changes have to be in
// force within the given time.
func refreshAge(within time.Duration) time.Duration {
	return time.Duration(refreshShare * float64(within))
}

// followedKinds returns the kinds of objects that this node caches, each with the age at
// which the cached copy is refreshed.
func (n *Node) followedKinds() map[string]time.Duration {
	kinds := map[string]time.Duration{
		n.adapter.Kinds.Config:  refreshAge(n.settings.ConfigWithin),
		n.adapter.Kinds.Targets: refreshAge(n.settings.TargetsWithin),
		job.KindEnds:            refreshAge(n.settings.EndsWithin),
		kindNodes:               nodeListMaxAge,
	}
	if n.settings.EvacuatedWithin > 0 {
		kinds[n.adapter.Kinds.Evacuations] = refreshAge(n.settings.EvacuatedWithin)
	}
	if n.isKeeper() {
		kinds[n.adapter.Kinds.Retirements] = retirementsMaxAge
	}
	return kinds
}

// isKeeper reports whether this node is a keeper, which serves no callers. Keepers report the
// status of VMs that are to be emptied.
func (n *Node) isKeeper() bool { return n.settings.CallerListen == "" }

// startSnapshot loads the snapshot of the cache from the disk and then keeps it up to date.
func (n *Node) startSnapshot(ctx context.Context, wg *sync.WaitGroup) {
	failed := func(err error) { n.recorder.Record(timeline.SnapshotFailed, "", n.settings.DataDir, err.Error()) }
	s := &follow.Snapshot{Dir: n.settings.DataDir, Cache: n.cache, OnError: failed,
		Kinds: []string{n.adapter.Kinds.Config, n.adapter.Kinds.Targets, n.adapter.Kinds.Evacuations, kindNodes}}
	if err := s.Load(n); err != nil {
		failed(err)
	}
	wg.Go(func() { s.Run(ctx) })
}

// startCheckpointDisk loads the checkpoints from the disk and then keeps those on the disk up
// to date.
func (n *Node) startCheckpointDisk(ctx context.Context, wg *sync.WaitGroup) {
	failed := func(err error) { n.recorder.Record(timeline.SnapshotFailed, "", n.settings.DataDir, err.Error()) }
	d := &checkpoint.Disk{Dir: n.settings.DataDir, Store: n.checkpoints, OnError: failed}
	if err := d.Load(); err != nil {
		failed(err)
	}
	wg.Go(func() { d.Run(ctx) })
}

// startOriginsDisk loads the origins of streams from the disk and then keeps those on the disk
// up to date.
func (n *Node) startOriginsDisk(ctx context.Context, wg *sync.WaitGroup) {
	failed := func(err error) { n.recorder.Record(timeline.SnapshotFailed, "", n.settings.DataDir, err.Error()) }
	restored := func(revision int64, err error) {
		cause := ""
		if err != nil {
			cause = err.Error()
		}
		n.recorder.Record(timeline.HistoryRestored, "", n.settings.DataDir, cause, field("revision", revision))
	}
	d := &origins.Disk{Dir: n.settings.DataDir, Exchange: n.origins, Changes: n.versionsListedSince, OnError: failed, OnRestored: restored}
	if err := d.Load(); err != nil {
		failed(err)
	}
	wg.Go(func() { d.Run(ctx) })
	wg.Go(func() { d.RestoreHistory(ctx) })
}

// followers returns the function that lists the other reachable nodes of this data centre that
// cache a kind.
func (n *Node) followers(kind string) func() []string {
	keepersOnly := kind == n.adapter.Kinds.Retirements
	return func() []string {
		reachable := n.beacon.ReachableInDataCentre()
		if !keepersOnly {
			return reachable
		}
		var out []string
		nodes := n.registered()
		for _, name := range reachable {
			if r, ok := nodes[name]; ok && !r.Callers {
				out = append(out, name)
			}
		}
		return out
	}
}

const (
	// At the first start of a fleet a seed reads the list of nodes after seedListDelay: all
	// nodes start within 0.3 s and have registered by then. The other nodes query the seed
	// after firstSyncDelay and so learn of all nodes at once.
	seedListDelay  = 700 * time.Millisecond
	firstSyncDelay = time.Second
)

// isSeed reports whether this node is one of the seeds, which starting nodes query first.
func (n *Node) isSeed() bool { return slices.Contains(*n.seeds.Load(), n.settings.PeerAdvertise) }

// syncWithSeeds fetches the cached objects of the seeds before this node reads the object
// store. A seed reads the store at once, on behalf of the nodes that start with it.
func (n *Node) syncWithSeeds(ctx context.Context) {
	if n.isSeed() || (n.settings.FirstStart && !wait.For(ctx, firstSyncDelay)) {
		return
	}
	kinds := []string{n.adapter.Kinds.Config, n.adapter.Kinds.Targets, job.KindEnds, kindNodes}
	if n.settings.EvacuatedWithin > 0 {
		kinds = append(kinds, n.adapter.Kinds.Evacuations)
	}
	n.gossip.FetchFromSeeds(ctx, *n.seeds.Load(), kinds...)
}

// anySeed returns the address of a seed other than this node, "" if there is none.
func (n *Node) anySeed() string {
	for _, seed := range *n.seeds.Load() {
		if seed != n.settings.PeerAdvertise {
			return seed
		}
	}
	return ""
}
