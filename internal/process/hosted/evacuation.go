package hosted

import (
	"slices"

	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/warmup"
	"github.com/marblepond/marblepond/internal/version/follow"
)

// evacuationsChanged takes which data centres are evacuated: each has an object under
// its name for as long as it is.
func (n *Node) evacuationsChanged(news []objects.Object, from follow.Source) {
	n.listing.Lock()
	defer n.listing.Unlock()
	var evacuated []string
	for _, o := range n.cache.List(n.adapter.Kinds.Evacuations) {
		evacuated = append(evacuated, o.Name)
	}
	n.pool.SetEvacuated(evacuated)
	for _, o := range news {
		code := timeline.DataCentreReturned
		if slices.Contains(evacuated, o.Name) {
			code = timeline.DataCentreEvacuated
		}
		n.recorder.Record(code, "", o.Name, "from "+from.String(), field("revision", o.Revision))
	}
	n.metrics.Gauge("data_centres_evacuated").Update(float64(len(evacuated)))
}

// knowsEvacuations reports whether this node knows which data centres are evacuated.
func (n *Node) knowsEvacuations() bool {
	return n.settings.EvacuatedWithin == 0 || n.cache.CompleteRevision(n.adapter.Kinds.Evacuations) > 0
}

// warmUp returns how targets of a service warm up.
func (n *Node) warmUp(service string) warmup.Rate {
	if table := n.Table(); table != nil {
		return table.WarmUps[service]
	}
	return warmup.Rate{}
}

// shareOf returns which of the nodes that send work this one is. Nodes that are down are
// among them until they are registered no more.
func (n *Node) shareOf(nodes map[string]nodeRecord) warmup.Position {
	var names []string
	for name, r := range nodes {
		if r.Callers {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return warmup.PositionOf(n.settings.NodeID, names)
}
