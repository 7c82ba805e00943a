package hosted

import (
	"context"
	"time"

	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/process/wait"
)

const (
	// notReadyDuration is how long a leaving node still accepts connections while its
	// readiness check fails: the load balancer checks once a second and removes the node
	// after two failures.
	notReadyDuration = 3 * time.Second
	// drainMargin is the time kept between the end of the drain and the time limit at which
	// the process is killed.
	drainMargin = 500 * time.Millisecond
)

// drain takes the node out of service. First its readiness check fails; then it accepts no
// new connections and completes the requests in progress. The jobs that it holds are drained
// at the same time.
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
		if err := n.callers.HTTP.Shutdown(ctx); err != nil {
			n.recorder.Record(timeline.NodeDraining, "", n.settings.NodeID, "requests still in progress: "+err.Error())
		}
	}
	<-released
}
