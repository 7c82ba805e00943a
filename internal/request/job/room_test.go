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

// slowPool is a pool of one target that is slow to count yielding and ended items, as a
// pool on a busy VM may be.
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

func (p *slowPool) MarkYielding(t choose.Target) {
	time.Sleep(p.yielding)
	p.Pool.MarkYielding(t)
}

func (p *slowPool) EndBatch(t choose.Target, outcome choose.Outcome, yielded bool) {
	time.Sleep(p.ending)
	p.Pool.EndBatch(t, outcome, yielded)
	p.ends.Done()
}

// delaySender ends attempts after a delay, or as soon as they are cancelled.
type delaySender struct{ after time.Duration }

func (s delaySender) Send(ctx context.Context, _ target.Call) (*target.Answer, error) {
	select {
	case <-ctx.Done():
	case <-time.After(s.after):
	}
	return nil, &target.Error{Failure: target.NotSent, Cause: errors.New("it has ended")}
}

// TestEndedItemsAreNotCountedAsYielding: whenever an item ends while it is being stopped
// for an online request, no item counts as yielding once all have ended.
//
// It guards against items being cancelled first and counted as yielding afterwards: an
// attempt that was still connecting ended before it was counted. The count then stayed one
// too high, so that for each online request an item seemed to be yielding already. No
// further item was stopped, and online requests were refused after 60 ms while items
// occupied the target. TestRequestsWaitForCapacity failed in this way: in its refused attempts
// "yielding" was 1 and "items" 6 throughout.
func TestEndedItemsAreNotCountedAsYielding(t *testing.T) {
	for name, c := range map[string]struct {
		pool  *slowPool
		sends delaySender
	}{
		"it ends before it is counted":                {&slowPool{yielding: 30 * time.Millisecond}, delaySender{time.Minute}},
		"it ends by itself while it is stopped":       {&slowPool{ending: 30 * time.Millisecond}, delaySender{20 * time.Millisecond}},
		"it has ended but its end is not counted yet": {&slowPool{ending: 60 * time.Millisecond}, delaySender{0}},
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
			m.draining = true // no item is sent again
			m.mu.Unlock()
			pool.ends.Wait()
			is.Equal(pool.Counts("t"), choose.Counts{Free: 2})
		})
	}
}
