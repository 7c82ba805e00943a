package job

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/errkind"
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
