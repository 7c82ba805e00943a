package hosted

import (
	"context"
	"math"
	"time"

	"github.com/marblepond/marblepond/internal/process/timeline"
)

// pacesInterval is the time between records of the pace of targets, as often as nodes report
// it to each other.
const pacesInterval = time.Second

// recordPaces records which targets are slow, and how long requests take, while the shared
// view is on.
func (n *Node) recordPaces(ctx context.Context) {
	slow := map[string]float64{}
	every(ctx, pacesInterval, func() {
		if n.SharedView() {
			slow = n.recordSlow(slow)
			n.recordServiceTimes()
		}
	})
}

// recordSlow records the targets that became slow, or are no longer, and returns those that
// are slow now with their relative pace.
func (n *Node) recordSlow(before map[string]float64) map[string]float64 {
	slow := n.pool.SlowTargets()
	for id, pace := range slow {
		if _, known := before[id]; !known {
			n.recorder.Record(timeline.TargetSlow, "", id, "", field("pace_percent", math.Round(100*pace)))
		}
	}
	for id := range before {
		if _, still := slow[id]; !still {
			n.recorder.Record(timeline.TargetSlowEnded, "", id, "")
		}
	}
	n.metrics.Gauge("targets_slow_now").Update(float64(len(slow)))
	return slow
}

func (n *Node) recordServiceTimes() {
	for service, times := range n.pool.ServiceTimes() {
		scope := n.metrics.Tagged(map[string]string{"service": service})
		scope.Gauge("first_event_unqueued_ms").Update(float64(times.FirstEvent.Milliseconds()))
		scope.Gauge("slot_time_ms").Update(float64(times.Hold.Milliseconds()))
	}
}
