package origins

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/marblepond/marblepond/internal/request/continuation"
)

// keeper is an exchange with a disk and a clock of its own, alone in its fleet.
type keeper struct {
	*Exchange
	disk *Disk
	now  time.Time
}

func startKeeper(t *testing.T, dir string, now time.Time) *keeper {
	t.Helper()
	k := &keeper{now: now}
	clock := func() time.Time { return k.now }
	fleet := &continuation.Fleet{Self: "keep", DataCentre: "dc", Nodes: map[string][]string{}}
	k.Exchange = New(Options{Node: "keep", Now: clock, Timing: continuation.TimingOf(2 * time.Second), Network: sender{&network{}, "keep"},
		Fleet: func() *continuation.Fleet { return fleet }, ListVerified: clock, Metrics: tally.NoopScope})
	k.disk = &Disk{Dir: dir, Exchange: k.Exchange}
	if err := k.disk.Load(); err != nil {
		t.Fatal(err)
	}
	return k
}

// watch lists versions for a time, with the writes of that time.
func (k *keeper) watch(t *testing.T, listed map[string]map[continuation.Version]int, d time.Duration) {
	t.Helper()
	k.SetListed(listed)
	for end := k.now.Add(d); k.now.Before(end); k.now = k.now.Add(writeInterval) {
		k.Tick()
		if err := k.disk.Write(); err != nil {
			t.Fatal(err)
		}
	}
	k.Tick()
}

func (k *keeper) find(s Stream) string {
	return versionOf(k.Find(context.Background(), s, time.Millisecond))
}

var onlyV2 = map[string]map[continuation.Version]int{"s": {"v2": 2}}

// TestOriginsSurviveTheLossOfAllNodes guards against streams that are refused after a loss of
// power of all nodes, and against a guess where a second version was listed before it or is
// listed after it.
func TestOriginsSurviveTheLossOfAllNodes(t *testing.T) {
	type versions = map[string]map[continuation.Version]int
	for name, c := range map[string]struct {
		before, lastly, after versions
		recorded, other       string // versions found of a recorded stream and of another one
	}{
		"one version":                        {onlyV1, onlyV1, onlyV1, "v1", "v1"},
		"two versions":                       {bothV1V2, bothV1V2, bothV1V2, "v1", "unknown"},
		"a version replaced before the loss": {onlyV1, onlyV2, onlyV2, "v1", "unknown"},
		"a version listed since the loss":    {onlyV1, onlyV1, bothV1V2, "v1", "unknown"},
		"a version replaced since the loss":  {onlyV1, onlyV1, onlyV2, "v1", "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			k := startKeeper(t, dir, time.Unix(1000, 0))
			k.watch(t, c.before, time.Minute)
			k.Record(testStream, "v1")
			k.watch(t, c.lastly, 3*time.Second)

			k = startKeeper(t, dir, time.Unix(5, 0)) // the clock may be wrong
			k.watch(t, c.after, diskDelay-writeInterval)
			other := testStream
			other.ID = "other"
			is.Equal(k.find(testStream), c.recorded)
			is.Equal(k.find(other), "unknown")
			is.True(k.Find(context.Background(), other, time.Millisecond).Starting)

			k = startKeeper(t, dir, time.Unix(2000, 0)) // lost again before it has used the file
			k.watch(t, c.after, 2*diskDelay)
			is.Equal(k.find(testStream), c.recorded)
			is.Equal(k.find(other), c.other)
			is.True(!k.Find(context.Background(), other, time.Millisecond).Starting)
		})
	}
}

// TestLivingNodeKnowsBetterThanTheDisk guards against the history of a disk that is used beside
// a node that ran while this one did not: a version may have come and gone meanwhile, and that
// node says for how long it knows.
func TestLivingNodeKnowsBetterThanTheDisk(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	k := startKeeper(t, dir, time.Unix(1000, 0))
	k.watch(t, onlyV1, time.Minute)
	k = startKeeper(t, dir, time.Unix(2000, 0))
	k.watch(t, onlyV1, time.Second)
	living := startKeeper(t, t.TempDir(), time.Unix(1000, 0))
	living.watch(t, onlyV1, 5*time.Second)
	k.AddHistory(living.History())
	k.watch(t, onlyV1, diskDelay)
	is.Equal(k.find(testStream), "unknown")
	k.watch(t, onlyV1, testWindow)
	is.Equal(k.find(testStream), "v1")
}

// TestOneVersionIsWrittenOnce guards against writes in a fleet whose targets have one version.
func TestOneVersionIsWrittenOnce(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	k := startKeeper(t, dir, time.Unix(1000, 0))
	k.BeginsNow()
	listed := map[string]map[continuation.Version]int{"a": {"v1": 2}, "b": {"v1": 2}, "s": {"v1": 2}}
	k.watch(t, listed, maxAge+ageStep)
	is.NoErr(os.Remove(filepath.Join(dir, fileName)))
	k.watch(t, listed, time.Hour)
	_, err := os.Stat(filepath.Join(dir, fileName))
	is.True(os.IsNotExist(err))
	k.watch(t, bothV1V2, time.Second)
	_, err = os.Stat(filepath.Join(dir, fileName))
	is.NoErr(err)
}

// TestOneVersionIsWrittenSeldom guards against writes that delay those of checkpoints in a fleet
// with one version, whose streams are recorded only for a while after a start, and against
// records of several versions that a loss of power loses because they are written late.
func TestOneVersionIsWrittenSeldom(t *testing.T) {
	for name, c := range map[string]struct {
		listed      map[string]map[continuation.Version]int
		least, most int
	}{"one version": {onlyV1, 4, 6}, "two versions": {bothV1V2, 20, 20}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			k := startKeeper(t, dir, time.Unix(1000, 0))
			k.SetListed(c.listed)
			writes := 0
			for range 20 { // 10 s
				k.Record(testStream, "v1")
				is.NoErr(k.disk.Write())
				if os.Remove(filepath.Join(dir, fileName)) == nil {
					writes++
				}
				k.now = k.now.Add(writeInterval)
			}
			is.True(writes >= c.least)
			is.True(writes <= c.most)
		})
	}
}

// TestCorruptFileIsIgnored guards against a node that does not start because of its disk.
func TestCorruptFileIsIgnored(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(dir, fileName), []byte("not origins"), 0o600))
	x := newNetwork(onlyV1, time.Minute).nodes["n0"]
	is.True((&Disk{Dir: dir, Exchange: x}).Load() != nil)
	is.Equal(versionOf(x.Find(context.Background(), testStream, time.Millisecond)), "v1")
}
