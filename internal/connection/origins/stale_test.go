package origins

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// What nodes derive after a loss of all nodes if the file of one of them is old: that node was off,
// or could not write, while others began streams at a version that is no longer listed.

// staleKeepers returns two keepers that have just started after a loss of all nodes: the file of the
// first does not know of v2, at which others began streams. v1 alone is listed.
func staleKeepers(t *testing.T) (stale, fresh *keeper) {
	t.Helper()
	dirs := []string{t.TempDir(), t.TempDir()}
	stale, fresh = startKeeper(t, dirs[0], time.Unix(1000, 0)), startKeeper(t, dirs[1], time.Unix(1000, 0))
	stale.watch(t, onlyV1, 3*time.Minute)
	fresh.watch(t, onlyV1, 3*time.Minute)
	fresh.watch(t, bothV1V2, 5*time.Second) // the other one is off
	fresh.Record(testStream, "v2")
	fresh.watch(t, onlyV1, time.Second)
	return startKeeper(t, dirs[0], time.Unix(2000, 0)), startKeeper(t, dirs[1], time.Unix(2000, 0))
}

// Guards against streams that continue at another version, because a node whose file is old asks no
// other one for its history once it has used the file.
func TestOldFileIsCorrectedByOtherNodes(t *testing.T) {
	is := is.New(t)
	stale, fresh := staleKeepers(t)
	stale.watch(t, onlyV1, 2*diskDelay)
	fresh.watch(t, onlyV1, 2*diskDelay)
	if stale.WantsHistory() {
		stale.AddHistory(fresh.History())
	}
	is.Equal(stale.find(testStream), "unknown")
	stale.watch(t, onlyV1, wantHistoryFor)
	is.True(!stale.WantsHistory())
}
