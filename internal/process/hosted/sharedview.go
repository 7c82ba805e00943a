package hosted

import "github.com/marblepond/marblepond/internal/process/timeline"

// SharedView reports whether nodes judge targets by what all of them observe, and admit
// online requests, lend tokens and place batch items by that. It is on once the number of
// registered nodes that serve callers has reached a setting, and then stays on after a loss of
// nodes: the others still see too little each. It is off while more targets are listed than
// another setting allows.
func (n *Node) SharedView() bool { return n.sharedView.Load() }

// updateSharedView turns the shared view on or off after a change of the nodes or targets.
// The caller holds n.listMu.
func (n *Node) updateSharedView() {
	from, most := n.settings.SharedViewNodes, n.settings.SharedViewTargets
	if from == 0 {
		return
	}
	n.mostCallers = max(n.mostCallers, n.callerCount())
	targets := n.pool.Size()
	on := n.mostCallers >= from && (most == 0 || targets <= most)
	if on == n.sharedView.Load() {
		return
	}
	n.sharedView.Store(on)
	n.pool.SetSharedView(on)
	n.adapter.Health.SetServedOnly(on)
	code := timeline.SharedViewOff
	if on {
		code = timeline.SharedViewOn
	}
	n.recorder.Record(code, "", n.settings.NodeID, "", field("nodes", n.mostCallers), field("targets", targets))
}

// callerCount returns how many registered nodes serve callers.
func (n *Node) callerCount() int {
	callers := 0
	for _, r := range n.registered() {
		if r.Callers {
			callers++
		}
	}
	return callers
}
