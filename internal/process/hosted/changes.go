package hosted

import (
	"context"
	"fmt"
	"time"

	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/job"
	"github.com/marblepond/marblepond/internal/version/discovery"
	"github.com/marblepond/marblepond/internal/version/follow"
)

// ownLoadChanged is called when the requests or items that this node has in flight change.
func (n *Node) ownLoadChanged() {
	n.beacon.NotifyChange()
	n.othersLoadChanged()
}

// othersLoadChanged is called when those of other nodes change. It never blocks.
func (n *Node) othersLoadChanged() {
	select {
	case n.loadChanged <- struct{}{}:
	default:
	}
}

// PreemptItem implements discovery.Preemptor.
func (n *Node) PreemptItem(target string) { n.jobs.PreemptItemAt(target) }

// NotifyHolders implements discovery.Preemptor.
func (n *Node) NotifyHolders(target string) { n.beacon.NotifyHolders(target) }

// preemptOnLoadChange stops batch items where online requests need their slots, after each
// change of the load until ctx ends.
func (n *Node) preemptOnLoadChange(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.loadChanged:
			n.jobs.PreemptItems()
		}
	}
}

// Changed implements follow.Listener.
func (n *Node) Changed(kind string, changes []objects.Object, from follow.Source) {
	switch kind {
	case n.adapter.Kinds.Targets:
		n.targetsChanged(changes)
		return
	case kindNodes:
		n.nodesChanged(changes)
		return
	case n.adapter.Kinds.Evacuations:
		n.evacuationsChanged(changes, from)
		return
	}
	for _, o := range changes {
		switch kind {
		case n.adapter.Kinds.Config:
			n.configChanged(o, from)
		case job.KindEnds:
			if !o.Deleted { // the object is deleted only with the rest of an expired job
				n.jobs.MarkEnded(o.Name)
			}
		case n.adapter.Kinds.Retirements:
			n.handleRetirement(o)
		}
	}
}

// Failed implements follow.Listener.
func (n *Node) Failed(kind string, revision int64, cause error) {
	age, _ := n.cache.Age(kind)
	n.recorder.Record(timeline.CopyNotRefreshed, "", kind, cause.Error(), field("revision", revision), field("age_ms", age.Milliseconds()))
}

// pullFrom requests the newer cached objects of a node, or of a seed if the node is not in the
// list of nodes yet.
func (n *Node) pullFrom(node string) {
	if r, ok := n.registered()[node]; ok {
		n.gossip.PullQueue.Put(r.Address)
		return
	}
	if refresher := n.nodeRefresher.Load(); refresher != nil {
		refresher.Trigger() // the node has registered since the list was read
	}
	n.gossip.PullQueue.Put(n.anySeed())
}

func (n *Node) configChanged(o objects.Object, from follow.Source) {
	if o.Name != n.adapter.ConfigName || o.Deleted {
		return
	}
	defer n.noteConfig(o.Revision)
	table, err := n.adapter.DecodeConfig(o.Value)
	if err != nil {
		n.recorder.Record(timeline.ObjectRejected, "", o.Name, err.Error())
		n.metrics.Counter("objects_rejected").Inc(1)
		return
	}
	for {
		old := n.table.Load()
		if old != nil && old.Version >= table.Version {
			return
		}
		if n.table.CompareAndSwap(old, table) {
			break
		}
	}
	for _, fault := range table.Faults {
		n.recorder.Record(timeline.ObjectRejected, "", o.Name, fault, field("version", table.Version))
		n.metrics.Counter("objects_rejected").Inc(1)
	}
	n.checker.Assert(n.table.Load().Version >= table.Version, invariant.ConfigVersionMonotonic, "", o.Name, "version %d is in force after %d", n.table.Load().Version, table.Version)
	n.setCallerLimits(table.Limits)
	n.recorder.Record(timeline.ConfigAdopted, "", fmt.Sprintf("version %d", table.Version), "from "+from.String(),
		timeline.Field{Name: "revision", Value: o.Revision})
	n.metrics.Gauge("config_version").Update(float64(table.Version))
}

// noteConfig notes that the configuration of a revision was decoded. Several may be at once.
func (n *Node) noteConfig(revision int64) {
	for {
		old := n.configRevision.Load()
		if old >= revision || n.configRevision.CompareAndSwap(old, revision) {
			return
		}
	}
}

// targetsChanged updates the pool with all changed targets in one call, because the pool
// rebuilds its table with each call.
func (n *Node) targetsChanged(changes []objects.Object) {
	n.listMu.Lock()
	defer n.listMu.Unlock()
	var listed []discovery.Record
	var removed, refused []string
	for _, changed := range changes {
		o, exists := n.cache.Get(n.adapter.Kinds.Targets, changed.Name)
		if !exists {
			removed = append(removed, changed.Name)
			continue
		}
		record, err := n.adapter.DecodeTarget(o.Name, o.Value)
		if err != nil {
			// A target that an earlier version of the object described is not used either:
			// the name may have been reused for something else.
			n.recorder.Record(timeline.ObjectRejected, "", o.Name, err.Error())
			n.metrics.Counter("objects_rejected").Inc(1)
			refused = append(refused, o.Name)
			continue
		}
		listed = append(listed, record)
	}
	n.pool.Update(listed, removed, refused)
	n.origins.SetListed(n.pool.Versions())
	n.updateSharedView()
}

func (n *Node) targetChanged(id, what string) {
	n.recorder.Record(timeline.TargetChanged, "", id, what)
}

// jobEnded reports whether the cache has the end of a job.
func (n *Node) jobEnded(id string) bool {
	_, ok := n.cache.Get(job.KindEnds, id)
	return ok
}

// endsKnown reports whether the cache has had all ends of jobs since this node started.
func (n *Node) endsKnown() bool { return n.cache.EverVerified(job.KindEnds) }

// StoreChangeRecorder returns a function that records that the object store stopped or
// resumed serving this node.
func StoreChangeRecorder(r *timeline.Recorder) func(up bool, after time.Duration) {
	return func(up bool, after time.Duration) {
		code := timeline.StoreLost
		if up {
			code = timeline.StoreRegained
		}
		r.Record(code, "", "store", "", timeline.Field{Name: "state_before_ms", Value: after.Milliseconds()})
	}
}
