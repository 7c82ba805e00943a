package job

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/request/choose"
)

// Guards against accepted jobs that take memory without a bound, a bound that refuses a job for which
// there is room, and memory that is not returned when a job ends.
func TestHeldJobsAreBounded(t *testing.T) {
	is := is.New(t)
	items := func(bytes int) []Item { return []Item{{ID: "a", Path: "/sheet/a", Body: make([]byte, bytes)}} }
	one := heldBytes(items(10_000))
	m := newTestManager("a", newMemoryStore())
	m.cfg.MaxHeldBytes = 3 * one
	for i := range 3 {
		release, err := m.reserveMemory(items(10_000))
		is.NoErr(err)
		m.startHeldJob(fmt.Sprint("job-", i), Head{Total: 1, Epoch: 1}, 1, items(10_000), nil, "accepted")
		release()
	}
	_, err := m.reserveMemory(items(1))
	is.True(errkind.Is(err, errkind.Overloaded))
	is.Equal(errkind.Of(err).NotRun, errkind.NotRunTrue)
	m.mu.Lock()
	m.release(m.held["job-0"], "test")
	m.mu.Unlock()
	release, err := m.reserveMemory(items(10_000))
	is.NoErr(err)
	release()
	m.mu.Lock()
	for _, h := range m.held {
		m.release(h, "test")
	}
	m.mu.Unlock()
	is.Equal(m.heldBytes, int64(0))
	_, err = m.reserveMemory(items(int(10 * one))) // the only one
	is.NoErr(err)
}

// Guards against output that waits to be stored without a bound: no further item is sent, and results
// are committed at once. And against items that wait for ever because only they have output.
func TestOutputIsBounded(t *testing.T) {
	for _, shared := range []bool{false, true} {
		is := is.New(t)
		m := newTestManager("a", newMemoryStore())
		m.SharedView = func() bool { return shared }
		m.cfg.ResultCacheBytes = 1000
		s := submission("job")
		head := newHead(s, 0, s.Items)
		head.Total = 2
		m.startHeldJob("job", *head, 1, s.Items, nil, "accepted")
		h, now := m.held["job"], time.Now()
		h.commitMu.Lock() // nothing is committed meanwhile
		update := func() (sends, commits bool) {
			m.updateOutputFull()
			m.mu.Lock()
			defer m.mu.Unlock()
			return !m.outputFull, m.commitDue(h, now)
		}
		set := func(change func(p *progress)) {
			m.mu.Lock()
			defer m.mu.Unlock()
			change(h.progress)
		}
		set(func(p *progress) {
			p.markSent(0, choose.Target{}, now)
			p.addEvent(0, 1, make([]byte, 500))
		})
		sends, _ := update()
		is.True(sends) // exactly half of the bound
		set(func(p *progress) { p.addEvent(0, 2, []byte("x")) })
		sends, commits := update()
		is.True(!sends && !commits) // no result is there
		is.True(!m.anyWaiting(now))
		set(func(p *progress) { p.attemptBroke(0, now) })
		sends, _ = update()
		is.True(sends) // only the interrupted item has output
		set(func(p *progress) { p.finish(0, Result{Item: "i0", Text: string(p.items[0].text)}, now) })
		sends, commits = update()
		is.True(!sends && commits)
		set(func(p *progress) { p.markListed(1) })
		sends, commits = update()
		is.True(sends && !commits)
		h.commitMu.Unlock()
	}
}

// Guards against a node that takes over all jobs of lost nodes whatever memory they take, and against
// jobs that are left when there is room again.
func TestLostJobsAreTakenOverWithinMemory(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	lost := newTestManager("lost", store)
	const jobs = 4
	for i := range jobs {
		s := submission(fmt.Sprint("job-", i))
		s.Items = []Item{{ID: "a", Path: "/j/a", Body: make([]byte, 10_000)}}
		is.NoErr(lost.Submit(context.Background(), s))
	}
	next := newTestManager("next", store)
	next.cfg.MaxHeldBytes = 15_000
	next.cfg.TakeOverAfter = 0
	sweep := func(want int) {
		t.Helper()
		next.mu.Lock()
		clear(next.orphanedSince)
		next.mu.Unlock()
		_, _ = next.sweepOnce(context.Background())
		time.Sleep(2 * time.Millisecond)
		_, _ = next.sweepOnce(context.Background())
		next.mu.Lock()
		defer next.mu.Unlock()
		is.Equal(len(next.held), want)
	}
	sweep(2) // the second one is over the bound
	sweep(2)
	next.mu.Lock()
	next.heldBytes -= 10_000 // other jobs have ended
	next.mu.Unlock()
	sweep(3)
	next.cfg.MaxHeldBytes = 0
	sweep(jobs)
}
