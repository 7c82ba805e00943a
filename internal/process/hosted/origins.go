package hosted

import (
	"context"
	"fmt"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/connection/beacon"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/connection/origins"
	"github.com/marblepond/marblepond/internal/request/continuation"
)

// newOrigins returns the records of the versions at which streams began.
func (n *Node) newOrigins() *origins.Exchange {
	x := origins.New(origins.Options{Node: n.settings.NodeID, Now: n.clock.Now, Timing: continuation.TimingOf(n.settings.TargetsWithin), Network: streamNetwork{n},
		Fleet: n.originFleet.Load, FleetKnown: n.nodesKnown, ListVerified: n.targetsVerified, ListRevision: n.targetsRevision, Metrics: n.metrics})
	n.originFleet.Store(n.originFleetOf(n.view.Load()))
	if n.settings.FirstStart {
		x.BeginsNow()
	}
	return x
}

// streamNetwork implements origins.Network; the exchange of datagrams is created later.
type streamNetwork struct{ n *Node }

func (s streamNetwork) SendStreamMessage(node string, m *v1.StreamMessage) {
	s.n.beacon.SendStreamMessage(node, m)
}

// originFleetOf returns the nodes that may keep records.
func (n *Node) originFleetOf(view *beacon.View) *continuation.Fleet {
	return &continuation.Fleet{Self: n.settings.NodeID, DataCentre: n.settings.DataCentre, Nodes: view.Nodes(), Keepers: n.keepers(),
		Reachable: func(node string) bool { return n.beacon.Reachable(node) }}
}

// keepers returns the other nodes that serve no callers and have a disk.
func (n *Node) keepers() []string {
	var out []string
	for name, r := range n.registered() {
		if !r.Callers && name != n.settings.NodeID {
			out = append(out, name)
		}
	}
	return out
}

// nodesKnown reports whether the list of nodes is known.
func (n *Node) nodesKnown() bool {
	_, known := n.cache.Age(kindNodes)
	return known
}

// targetsVerified returns up to which time the list of targets is known.
func (n *Node) targetsVerified() time.Time {
	age, known := n.cache.Age(n.adapter.Kinds.Targets)
	if !known {
		return time.Time{}
	}
	return n.clock.Now().Add(-age)
}

// targetsRevision returns the revision of the store up to which the list of targets is known.
func (n *Node) targetsRevision() int64 { return n.cache.CompleteRevision(n.adapter.Kinds.Targets) }

// versionsListedSince returns how many changes of targets of each version every service has had
// after a revision of the store. Entries that are not valid are left out, since no node uses them.
func (n *Node) versionsListedSince(ctx context.Context, revision int64) (map[string]map[continuation.Version]int, error) {
	out := map[string]map[continuation.Version]int{}
	for more := true; more; {
		page, err := n.adapter.Store.Changes(ctx, n.adapter.Kinds.Targets, revision)
		if err != nil {
			return nil, err
		}
		if page.More && page.Revision <= revision {
			return nil, fmt.Errorf("%w: it was cut before the first change", objects.ErrUnavailable)
		}
		for _, o := range page.Objects {
			record, err := n.adapter.DecodeTarget(o.Name, o.Value)
			if err != nil {
				continue
			}
			if out[record.Service] == nil {
				out[record.Service] = map[continuation.Version]int{}
			}
			out[record.Service][record.Version]++
		}
		more, revision = page.More, page.Revision
	}
	return out, nil
}

// versionInUse reports whether resumable streams are begun at a version of a service.
func (n *Node) versionInUse(service string, v continuation.Version) bool {
	return n.origins.InUse(service, v)
}
