package job

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/request/choose"
)

// TestItemThatLosesItsTargetsIsSentLater guards against an item that is held back for good, or sent
// at once again and again, after it lost several targets: each delay is bounded, and grows from the
// third loss on, also where the item goes on in between.
func TestItemThatLosesItsTargetsIsSentLater(t *testing.T) {
	is := is.New(t)
	m, h := jobWithResults(t, newMemoryStore(), 1<<20, "done", "done")
	h.progress = newProgress(&h.head)
	now := time.Now()
	var delays []time.Duration
	for n := range 12 {
		h.progress.markSent(0, choose.Target{ID: "t"}, now)
		h.progress.addEvent(0, int64(n+1), []byte("a"))
		before := now
		delays = append(delays, h.progress.attemptLost(0, now))
		for !h.progress.mayBeSent(0, now) {
			now = now.Add(10 * time.Millisecond)
		}
		is.True(now.Sub(before) <= maxLossBackoff)
		is.Equal(m.needOf(h, 0, "s", nil).Apart, n+1 >= manyLosses)
	}
	is.Equal(delays[:7], []time.Duration{50 * time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second})
	is.Equal(delays[11], maxLossBackoff)
	is.Equal(m.needOf(h, 1, "s", nil).Apart, false) // another item
}
