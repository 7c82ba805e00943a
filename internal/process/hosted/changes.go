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

// ownLoadChanged tells the duties that depend on what this node has in flight.
func (n *Node) ownLoadChanged() {
	n.beacon.NotifyChange()
	n.othersLoadChanged()
}

// othersLoadChanged tells those that depend on what others have.
func (n *Node) othersLoadChanged() {
	select {
	case n.makeRoom <- struct{}{}:
	default:
	}
}

// MakeRoom implements discovery.Displacer.
func (n *Node) MakeRoom(target string) { n.jobs.PreemptItemAt(target) }

// TellHolders implements discovery.Displacer.
func (n *Node) TellHolders(target string) { n.beacon.NotifyHolders(target) }

// yield stops batch items where online requests need the room.
func (n *Node) yield(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.makeRoom:
			n.jobs.PreemptItems()
		}
	}
}

// Changed implements follow.Listener.
func (n *Node) Changed(kind string, news []objects.Object, from follow.Source) {
	switch kind {
	case n.adapter.Kinds.Targets:
		n.targetsChanged(news)
		return
	case kindNodes:
		n.nodesChanged(news)
		return
	case n.adapter.Kinds.Evacuations:
		n.evacuationsChanged(news, from)
		return
	}
	for _, o := range news {
		switch kind {
		case n.adapter.Kinds.Config:
			n.configChanged(o, from)
		case job.KindEnds:
			if !o.Deleted { // deleted with the rest of an expired job
				n.jobs.MarkEnded(o.Name)
			}
		case n.adapter.Kinds.Retirements:
			n.retirementSeen(o)
		}
	}
}

// Failed implements follow.Listener.
func (n *Node) Failed(kind string, revision int64, cause error) {
	age, _ := n.cache.Age(kind)
	n.recorder.Record(timeline.CopyNotRefreshed, "", kind, cause.Error(), field("revision", revision), field("age_ms", age.Milliseconds()))
}

// behind asks a node that was heard to know more.
func (n *Node) behind(node string) {
	if r, ok := n.registered()[node]; ok {
		n.gossip.Pulls.Put(r.Address)
		return
	}
	if list := n.nodeList.Load(); list != nil {
		list.Kick() // it has registered since the list was read
	}
	n.gossip.Pulls.Put(n.anySeed())
}

func (n *Node) configChanged(o objects.Object, from follow.Source) {
	if o.Name != n.adapter.ConfigName || o.Deleted {
		return
	}
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
			if old == nil {
				close(n.configured)
			}
			break
		}
	}
	for _, fault := range table.Faults {
		n.recorder.Record(timeline.ObjectRejected, "", o.Name, fault, field("version", table.Version))
		n.metrics.Counter("objects_rejected").Inc(1)
	}
	n.checker.Assert(n.table.Load().Version >= table.Version, invariant.ConfigVersionMonotonic, "", o.Name, "version %d is in force after %d", n.table.Load().Version, table.Version)
	n.callers.setIdleTimeout(table.Limits.IdleTimeout)
	n.recorder.Record(timeline.ConfigAdopted, "", fmt.Sprintf("version %d", table.Version), "from "+from.String(),
		timeline.Field{Name: "revision", Value: o.Revision})
	n.metrics.Gauge("config_version").Update(float64(table.Version))
}

// targetsChanged hands what the store says of targets to the pool, all of it at
// once: the table is made anew for each list.
func (n *Node) targetsChanged(news []objects.Object) {
	n.listing.Lock()
	defer n.listing.Unlock()
	var listed []discovery.Record
	var gone, refused []string
	for _, changed := range news {
		o, exists := n.cache.Get(n.adapter.Kinds.Targets, changed.Name)
		if !exists {
			gone = append(gone, changed.Name)
			continue
		}
		record, err := n.adapter.DecodeTarget(o.Name, o.Value)
		if err != nil {
			// It names no target to use, also where it did before: whoever wrote it may
			// have given the name to something else.
			n.recorder.Record(timeline.ObjectRejected, "", o.Name, err.Error())
			n.metrics.Counter("objects_rejected").Inc(1)
			refused = append(refused, o.Name)
			continue
		}
		listed = append(listed, record)
	}
	n.pool.Update(listed, gone, refused)
}

func (n *Node) targetChanged(id, what string) {
	n.recorder.Record(timeline.TargetChanged, "", id, what)
}

// ended reports whether the end of a job is known here.
func (n *Node) ended(id string) bool {
	_, ok := n.cache.Get(job.KindEnds, id)
	return ok
}

// StoreChanged records that the store was lost or regained.
func StoreChanged(r *timeline.Recorder) func(up bool, after time.Duration) {
	return func(up bool, after time.Duration) {
		code := timeline.StoreLost
		if up {
			code = timeline.StoreRegained
		}
		r.Record(code, "", "store", "", timeline.Field{Name: "state_before_ms", Value: after.Milliseconds()})
	}
}
