package job

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/target"
)

// TestEndedJobStaysEndedAfterTheLossOfAllNodes guards against items of a job that was ended and that run
// after all nodes were lost: a node that starts finds the job before it has read which jobs were
// ended in a sweep or at the request of a node that leaves.
func TestEndedJobStaysEndedAfterTheLossOfAllNodes(t *testing.T) {
	for name, shared := range map[string]bool{"": false, "shared view": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			store := newMemoryStore()
			before := newTestManager("n", store)
			is.NoErr(before.Submit(ctx, submission("ended")))
			is.NoErr(before.Submit(ctx, submission("open")))
			is.NoErr(before.EndJob(ctx, "ended"))

			sender := recordingSender{make(chan target.Call, 8)}
			after := newTestManager("n", store)
			after.cfg.Self.Boot++
			after.Pool, after.Sender, after.SharedView = roomyPool{}, sender, func() bool { return shared }
			var copied atomic.Bool // this node has read the ends
			after.EndsKnown = copied.Load
			after.Ended = func(id string) bool { return copied.Load() && id == "ended" }

			pause, ownRemain := after.sweepOnce(ctx)
			is.True(pause <= suspectSweepInterval) // it looks again soon
			is.True(ownRemain)
			after.adopt(ctx, "ended", before.cfg.Self)
			after.sendWaiting(ctx)
			is.Equal(len(after.held), 0)

			copied.Store(true)
			_, _ = after.sweepOnce(ctx)
			after.sendWaiting(ctx)
			is.Equal(len(after.held), 1)
			for range 2 {
				select {
				case call := <-sender.calls:
					is.True(call.RequestID == "i0" || call.RequestID == "i1")
				case <-time.After(time.Second):
					t.Fatal("the items of the open job are not sent")
				}
			}
			is.True(after.held["open"] != nil)
		})
	}
}
