package job

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestItemsAreMovedOverTime: items at evacuated targets keep running at first, are then
// stopped a few at a time, and all are stopped by moveEndShare.
func TestItemsAreMovedOverTime(t *testing.T) {
	is := is.New(t)
	const within = 5 * time.Second
	tick := scheduleInterval.Seconds() / within.Seconds()
	left, most := 300, 0
	for passed := 0.0; left > 0; passed += tick {
		is.True(passed <= moveEndShare+tick)
		due := movesDue(left, passed, tick)
		is.True(passed >= moveStartShare || due == 0)
		left -= due
		most = max(most, due)
	}
	is.True(most <= 7) // of 300 in 50 runs of the scheduler
}
