package job

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/continuation"
	"github.com/marblepond/marblepond/internal/version/discovery"
)

// Guards against an item that waits for as long as its attempts ran, without a bound, for a version
// whose targets all get no work, while a target of another version is idle. An item whose version is
// full waits for it, since a slot becomes free when another answer ends.
func TestItemWaitsForAMomentForAVersionThatGetsNoWork(t *testing.T) {
	for name, c := range map[string]struct {
		disturb func(p *discovery.Pool)
		least   time.Duration
		most    time.Duration
	}{
		"evacuated": {func(p *discovery.Pool) { p.SetEvacuated([]string{"dc-v1"}) }, 0, 5 * time.Second},
		"ejected after failures": {func(p *discovery.Pool) {
			for range 3 {
				target, ok := p.Choose(choose.Need{Origin: continuation.BegunAt("v1")})
				if ok {
					p.End(target, choose.Failure)
				}
			}
		}, 0, 5 * time.Second},
		"full": {func(p *discovery.Pool) {
			p.Choose(choose.Need{Origin: continuation.BegunAt("v1")})
		}, time.Minute, time.Minute + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				pool := discovery.New(choose.Config{Policy: choose.LeastOfFew, EjectAfter: 3, EjectTime: time.Hour}, time.Now, func() bool { return false }, func(string, string) {})
				var records []discovery.Record
				for _, v := range []continuation.Version{"v1", "v2"} {
					records = append(records, discovery.Record{Target: choose.Target{ID: string(v), Incarnation: 1, Addr: string(v), Slots: 1, Version: v, DataCentre: fmt.Sprint("dc-", v)}})
				}
				pool.Update(records, nil, nil)
				m := newTestManager("n1", newMemoryStore())
				m.Pool, m.Sender = pool, cancelledSender{}
				m.Allotments = func() func(choose.Target) int { return nil }
				s := submission("j")
				s.Items = []Item{{ID: "i", Path: "/j/p", Tokens: 10}}
				is.NoErr(m.Submit(context.Background(), s))
				defer close(m.stopped)
				p := m.held["j"].progress
				runAt(p, 0, "v1", "a", "b")
				p.items[0].service, p.items[0].ran = "", time.Minute // the route names no service
				c.disturb(pool)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				began := time.Now()
				for sent := false; !sent; time.Sleep(100 * time.Millisecond) {
					m.sendWaiting(ctx)
					m.mu.Lock()
					sent = p.items[0].phase == running
					target := p.items[0].target.ID
					m.mu.Unlock()
					if sent {
						is.Equal(target, "v2")
					}
					if time.Since(began) > 2*time.Minute {
						t.Fatal("not sent")
					}
				}
				waited := time.Since(began)
				is.True(waited >= c.least)
				if waited > c.most {
					t.Errorf("sent after %v", waited)
				}
			})
		})
	}
}
