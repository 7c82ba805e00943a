package job

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/request/backlog"
)

// slowBacklogs grants each job after a time.
type slowBacklogs struct{ takes time.Duration }

func (b slowBacklogs) Reserve(_ context.Context, _ backlog.Key, _, _ int64, granted func()) error {
	time.Sleep(b.takes)
	granted()
	return nil
}

// timedStore makes no write after its caller's time.
type timedStore struct{ *memoryStore }

func (s timedStore) Create(ctx context.Context, class callbudget.Class, kind, name string, value []byte) (objects.Object, error) {
	if ctx.Err() != nil {
		return objects.Object{}, objects.ErrUnavailable
	}
	return s.memoryStore.Create(ctx, class, kind, name, value)
}

// Guards against a job that is refused though its tokens fit and the object store answers: the owner
// of its backlog was new and decided after the response objective, which left no time for the writes.
func TestJobIsWrittenAfterALateReservation(t *testing.T) {
	for _, shared := range []bool{false, true} {
		for name, latency := range map[string]time.Duration{"two writes": 0, "one write": 200 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, sharedView=%v", name, shared), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					store := timedStore{newMemoryStore()}
					nodes, _ := newSharedManagers(store, 1)
					m := nodes[0]
					m.SharedView = func() bool { return shared }
					m.StoreLatency = func() time.Duration { return latency }
					m.Backlogs = slowBacklogs{700 * time.Millisecond}
					s := waitingSubmission("job", 5*time.Second)
					s.Route.TokenCap = 1000
					s.Items[0].Body = []byte(strings.Repeat("x", 4<<10))
					is.NoErr(m.Submit(context.Background(), s))
					is.Equal(store.count(KindHeads), 1)
					is.True(time.Since(s.Arrived) < time.Second)
					close(m.stopped) // ends the loop that commits the job's results
				})
			})
		}
	}
}
