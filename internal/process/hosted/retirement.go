package hosted

import (
	"context"
	"time"

	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/process/wait"
)

const (
	// retirementGrace is how long a VM has to report its own status before other keepers
	// report it.
	retirementGrace = 2 * time.Second
	// retirementRetryInterval is the time between attempts to write the status.
	retirementRetryInterval = 300 * time.Millisecond
	// retirementTimeout bounds the handling of one retirement.
	retirementTimeout = 30 * time.Second
)

// handleRetirement handles the request to empty a VM. A VM's disk has only copies, so that no
// data has to be moved: the VM hands its jobs over and reports that it is done. Other keepers
// report it for a VM that is down.
func (n *Node) handleRetirement(o objects.Object) {
	if o.Deleted || n.settings.CallerListen != "" {
		return
	}
	n.recorder.Record(timeline.RetirementAsked, "", o.Name, "")
	go n.retire(o.Name)
}

func (n *Node) retire(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), retirementTimeout)
	defer cancel()
	if name == n.settings.NodeID {
		n.jobs.Drain(ctx)
	} else if !wait.For(ctx, retirementGrace) {
		return
	}
	for {
		err := n.adapter.Store.SetStatus(ctx, callbudget.Commit, n.adapter.Kinds.Retirements, name, n.adapter.RetirementStatus(true))
		if err == nil {
			n.recorder.Record(timeline.RetirementDone, "", name, "")
			return
		}
		if !wait.For(ctx, retirementRetryInterval) {
			n.recorder.Record(timeline.RetirementAsked, "", name, "status not written: "+err.Error())
			return
		}
	}
}
