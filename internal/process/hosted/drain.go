package hosted

import (
	"context"
	"time"

	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/process/wait"
)

const (
	// notReadyDuration is how long a leaving node still takes connections after it
	// answers not ready: the balancer asks once a second and takes it out after
	// two misses.
	notReadyDuration = 3 * time.Second
	// drainMargin is kept between the end of the drain and the kill.
	drainMargin = 500 * time.Millisecond
)

// drain takes the node out of service: the ready answer first, then no new
// connections, then everything in progress to its end, then the jobs it holds.
func (n *Node) drain(ctx context.Context) {
	n.recorder.Record(timeline.NodeDraining, "", n.settings.NodeID, "asked to stop")
	ctx, cancel := context.WithTimeout(ctx, n.settings.DrainTimeout-drainMargin)
	defer cancel()
	n.leaving.Store(true)
	released := make(chan struct{})
	go func() {
		n.jobs.Drain(ctx)
		close(released)
	}()
	if n.settings.CallerListen != "" {
		wait.For(ctx, min(notReadyDuration, n.settings.DrainTimeout/2))
		if err := n.callers.http.Shutdown(ctx); err != nil {
			n.recorder.Record(timeline.NodeDraining, "", n.settings.NodeID, "requests still in progress: "+err.Error())
		}
	}
	<-released
}
