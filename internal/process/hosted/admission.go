package hosted

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/admission"
	"github.com/marblepond/marblepond/internal/request/forward"
)

// queuedBuckets cover the time that a request is queued at the node.
var queuedBuckets = tally.DurationBuckets{
	time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond, 60 * time.Millisecond,
	80 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second,
}

// admissionLog implements forward.AdmissionLog: events for overloads, and metrics.
type admissionLog struct{ n *Node }

func (n *Node) newAdmission() *forward.Admission {
	seed := uint64(n.boot)
	return forward.NewAdmission(n.pool, admissionLog{n}, rand.New(rand.NewPCG(seed, seed)))
}

// Exceeding reports whether a workspace asks for more than its allowance; false for none.
func (n *Node) Exceeding(workspace string) bool {
	return workspace != "" && n.lending.Exceeding(workspace)
}

func (l admissionLog) Queued(took time.Duration) {
	l.n.metrics.Histogram("admission_queued", queuedBuckets).RecordDuration(took)
}

// maxPriorityLabel bounds the number of counters; lower priorities share the last one.
const maxPriorityLabel = 9

func (l admissionLog) NotAdmitted(priority int, reason admission.Reason) {
	tags := map[string]string{"reason": string(reason), "priority": strconv.Itoa(max(0, min(priority, maxPriorityLabel)))}
	l.n.metrics.Tagged(tags).Counter("admission_refused").Inc(1)
}

func (l admissionLog) OverloadChanged(change admission.Change, counted admission.Overload) {
	code := timeline.OverloadBegan
	if change == admission.Ended {
		code = timeline.OverloadEnded
	}
	l.n.recorder.Record(code, "", l.n.settings.NodeID, "", field("offered", counted.Offered), field("sent", counted.Sent), field("refused", counted.Refused),
		field("estimate_ms", counted.Estimate.Milliseconds()))
}
