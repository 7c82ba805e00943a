package job

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/request/patience"
)

const (
	// submitPollInterval is the time between checks whether the object store answers again
	// while a submission waits for it.
	submitPollInterval = 20 * time.Millisecond
	// maxSubmitBackoff is the longest delay before a write of a submission is tried again:
	// another node may reach the object store.
	maxSubmitBackoff = 200 * time.Millisecond
)

// storeAway returns the refusal of a job that the object store did not accept, of which nothing
// runs. attempt is the time that another attempt takes. A submission waits for the store wherever it
// arrives, so that a later return covers more of an outage.
func storeAway(s *Submission, attempt time.Duration, cause error) error {
	return errkind.WithRetryAfter(errkind.PlatformUnavailable.New("%s", errkind.Message(cause)), patience.LateReturn(time.Until(s.Deadline), attempt, rand.Float64()))
}

// writeTime returns how long a write to the object store takes, as far as it is known: by its newest
// answer to any node, or else by this node's last write that it answered.
func (m *Manager) writeTime() time.Duration {
	if took := m.StoreLatency(); took > 0 {
		return took
	}
	return time.Duration(m.lastWriteTook.Load())
}

// submissionTime returns how long a submission takes that does not wait for the object store.
func (m *Manager) submissionTime(inline bool) time.Duration {
	if inline {
		return m.writeTime()
	}
	return 2 * m.writeTime() // the items, then the head
}

// createBy is create for a submission: it gives up at the time until if no write can have
// taken effect, and tries again as soon as the object store answers any node again.
func (m *Manager) createBy(ctx context.Context, until time.Time, kind, name string, value []byte) (o objects.Object, existed bool, err error) {
	pause, ambiguous := writeBackoff, false
	for {
		sent := time.Now()
		o, err = m.Store.Create(ctx, callbudget.Commit, kind, name, value)
		switch {
		case err == nil:
			m.lastWriteTook.Store(int64(time.Since(sent)))
			return o, false, nil
		case errors.Is(err, objects.ErrConflict):
			return objects.Object{}, true, nil
		case errors.Is(err, objects.ErrRejected):
			m.recordRejected(kind, name, value, err)
			return objects.Object{}, false, objects.ErrRejected
		case errors.Is(err, objects.ErrUnknownOutcome):
			ambiguous = true
			m.Recorder.Record(timeline.PlatformAmbiguous, name, kind, err.Error())
		}
		if !ambiguous && !time.Now().Before(until) {
			return objects.Object{}, false, objects.ErrUnavailable
		}
		if pause == writeBackoff {
			m.Recorder.Record(timeline.JobWaits, name, "", err.Error(), timeline.Field{Name: "kind", Value: kind}, timeline.Field{Name: "ambiguous", Value: ambiguous},
				timeline.Field{Name: "wait_ms", Value: time.Until(until).Milliseconds()})
			m.Metrics.Counter("jobs_waited_for_store").Inc(1)
		}
		if !m.awaitStore(ctx, sent, pause) {
			if ambiguous {
				return objects.Object{}, false, errOutcomeUnknown
			}
			return objects.Object{}, false, objects.ErrUnavailable
		}
		pause = min(2*pause, maxSubmitBackoff)
	}
}

// awaitStore waits before a write is tried again: for the time pause, or less if the object
// store has answered a node again since the last try. It returns false if ctx ends.
func (m *Manager) awaitStore(ctx context.Context, since time.Time, pause time.Duration) bool {
	for until := time.Now().Add(pause); time.Now().Before(until); {
		if m.StoreResumed != nil && m.StoreResumed(since) {
			return ctx.Err() == nil
		}
		if !wait.For(ctx, min(submitPollInterval, time.Until(until))) {
			return false
		}
	}
	return ctx.Err() == nil
}
