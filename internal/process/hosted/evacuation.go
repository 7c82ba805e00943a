package hosted

import (
	"slices"

	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/warmup"
	"github.com/marblepond/marblepond/internal/version/follow"
)

// evacuationsChanged updates which data centres are evacuated: those for which an object of
// that name exists.
func (n *Node) evacuationsChanged(changes []objects.Object, from follow.Source) {
	n.listMu.Lock()
	defer n.listMu.Unlock()
	var evacuated []string
	for _, o := range n.cache.List(n.adapter.Kinds.Evacuations) {
		evacuated = append(evacuated, o.Name)
	}
	n.pool.SetEvacuated(evacuated)
	for _, o := range changes {
		code := timeline.DataCentreReturned
		if slices.Contains(evacuated, o.Name) {
			code = timeline.DataCentreEvacuated
		}
		n.recorder.Record(code, "", o.Name, "from "+from.String(), field("revision", o.Revision))
	}
	n.metrics.Gauge("data_centres_evacuated").Update(float64(len(evacuated)))
}

// knowsEvacuations reports whether this node knows which data centres are evacuated. It is
// true if evacuations are not followed.
func (n *Node) knowsEvacuations() bool {
	return n.settings.EvacuatedWithin == 0 || n.cache.CompleteRevision(n.adapter.Kinds.Evacuations) > 0
}

// warmUp returns the slow-start rate of the targets of a service.
func (n *Node) warmUp(service string) warmup.Rate {
	if table := n.Table(); table != nil {
		return table.WarmUps[service]
	}
	return warmup.Rate{}
}

// warmUpPosition returns this node's position among the nodes that send work to targets.
// Nodes that are down count until their registration is removed.
func (n *Node) warmUpPosition(nodes map[string]nodeRecord) warmup.Position {
	var names []string
	for name, r := range nodes {
		if r.Callers {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return warmup.PositionOf(n.settings.NodeID, names)
}
