package job

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/version/discovery"
)

// slowPool is a pool of one target that is slow to count what it is told, as one may be
// on a busy machine.
type slowPool struct {
	*discovery.Pool
	yielding, ending time.Duration
	ends             sync.WaitGroup // of attempts
}

func newSlowPool(slots int) *slowPool {
	p := discovery.New(choose.Config{Policy: choose.LeastOfFew}, time.Now, func() bool { return false }, func(string, string) {})
	p.Update([]discovery.Record{{Target: choose.Target{ID: "t", Incarnation: 1, Service: "s", Addr: "t", Slots: slots}}}, nil, nil)
	return &slowPool{Pool: p}
}

func (p *slowPool) ChooseBatch(need choose.Need) (choose.Target, bool) {
	need.Service = "s"
	t, ok := p.Pool.ChooseBatch(need)
	if ok {
		p.ends.Add(1)
	}
	return t, ok
}

func (p *slowPool) Yielding(t choose.Target) {
	time.Sleep(p.yielding)
	p.Pool.Yielding(t)
}

func (p *slowPool) EndBatch(t choose.Target, outcome choose.Outcome, yielded bool) {
	time.Sleep(p.ending)
	p.Pool.EndBatch(t, outcome, yielded)
	p.ends.Done()
}

// delaySender's attempts end as soon as they are stopped, or at a time of their own.
type delaySender struct{ after time.Duration }

func (s delaySender) Send(ctx context.Context, _ target.Call) (*target.Answer, error) {
	select {
	case <-ctx.Done():
	case <-time.After(s.after):
	}
	return nil, &target.Error{End: target.NotSent, Cause: errors.New("it has ended")}
}

// TestItemsThatHaveLeftAreNotLeaving: whenever an item ends while it is told to make
// room, none counts as making room once all have left.
//
// What happened: online requests were refused after 60 ms while items held the target,
// and no item made room from then on. Why: the item was told first and counted after
// that, so that an attempt which ended at once, being still connecting, had left before;
// the count stayed one too high for good, and for each online request the table took an
// item for leaving already. What showed it: in the refused attempts of failing plays of
// TestRoomIsWaitedFor "yielding" is 1 and "items" 6 from the first to the last.
func TestItemsThatHaveLeftAreNotLeaving(t *testing.T) {
	for name, c := range map[string]struct {
		pool  *slowPool
		sends delaySender
	}{
		"it ends before it is counted":             {&slowPool{yielding: 30 * time.Millisecond}, delaySender{time.Minute}},
		"it ends by itself while it is told to":    {&slowPool{ending: 30 * time.Millisecond}, delaySender{20 * time.Millisecond}},
		"it has ended and its end is not told yet": {&slowPool{ending: 60 * time.Millisecond}, delaySender{0}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pool := newSlowPool(2)
			pool.yielding, pool.ending = c.pool.yielding, c.pool.ending
			m := newTestManager("n", newMemoryStore())
			m.Pool, m.Sender = pool, c.sends
			m.Allotments = func() func(choose.Target) int { return func(choose.Target) int { return 2 } }
			is.NoErr(m.Submit(context.Background(), submission("job")))
			m.sendWaiting(context.Background())
			time.Sleep(35 * time.Millisecond)
			m.PreemptItemAt("t")
			m.PreemptItemAt("t")
			m.mu.Lock()
			m.draining = true // none is sent again
			m.mu.Unlock()
			pool.ends.Wait()
			is.Equal(pool.Counts("t"), choose.Counts{Free: 2})
		})
	}
}
