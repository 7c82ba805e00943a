package origins

import (
	"context"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/request/continuation"
)

type versions = map[string]map[continuation.Version]int

// listStore is the list of targets in the object store.
type listStore struct {
	revision int64
	// changes has the versions that were listed after each change, by its revision; floor is the
	// revision up to which they were dropped.
	changes map[int64]versions
	floor   int64
	silent  bool
}

func newListStore() *listStore { return &listStore{revision: 1, changes: map[int64]versions{}} }

// list replaces the list.
func (s *listStore) list(listed versions) {
	if reflect.DeepEqual(s.changes[s.revision], listed) {
		return
	}
	s.revision++
	s.changes[s.revision] = listed
}

// changesAfter implements Disk.Changes.
func (s *listStore) changesAfter(_ context.Context, revision int64) (versions, error) {
	switch {
	case s.silent:
		return nil, objects.ErrUnavailable
	case revision < s.floor:
		return nil, objects.ErrHistoryExpired
	}
	out := versions{}
	for at, listed := range s.changes {
		for service, of := range listed {
			for v := range of {
				if at > revision && out[service] == nil {
					out[service] = map[continuation.Version]int{}
				}
				if at > revision {
					out[service][v]++
				}
			}
		}
	}
	return out, nil
}

// keeper is an exchange with a disk and a clock of its own, alone in its fleet.
type keeper struct {
	*Exchange
	disk  *Disk
	store *listStore
	now   time.Time
	// unlisted: this node has not seen the list of targets yet.
	unlisted bool
	// unused is why the history of the file is not used.
	unused error
}

func startKeeper(t *testing.T, dir string, now time.Time, store *listStore) *keeper {
	t.Helper()
	k := &keeper{now: now, store: store}
	clock := func() time.Time { return k.now }
	fleet := &continuation.Fleet{Self: "keep", DataCentre: "dc", Nodes: map[string][]string{}}
	k.Exchange = New(Options{Node: "keep", Now: clock, Timing: continuation.TimingOf(2 * time.Second), Network: sender{&network{}, "keep"},
		Fleet: func() *continuation.Fleet { return fleet }, ListVerified: k.listVerified, ListRevision: func() int64 { return store.revision }, Metrics: tally.NoopScope})
	k.disk = &Disk{Dir: dir, Exchange: k.Exchange, Changes: store.changesAfter, OnRestored: func(_ int64, cause error) { k.unused = cause }}
	if err := k.disk.Load(); err != nil {
		t.Fatal(err)
	}
	return k
}

func (k *keeper) listVerified() time.Time {
	if k.unlisted {
		return time.Time{}
	}
	return k.now
}

// watch lists versions for a time, with the writes of that time.
func (k *keeper) watch(t *testing.T, listed versions, d time.Duration) {
	t.Helper()
	k.store.list(listed)
	k.SetListed(listed)
	for end := k.now.Add(d); k.now.Before(end); k.now = k.now.Add(writeInterval) {
		k.tick()
		if err := k.disk.Write(); err != nil {
			t.Fatal(err)
		}
	}
	k.tick()
}

func (k *keeper) tick() {
	k.Tick()
	if stored, due := k.storedIfDue(); stored != nil && due {
		k.disk.restore(context.Background(), stored)
	}
}

func (k *keeper) find(s Stream) string {
	return versionOf(k.Find(context.Background(), s, time.Millisecond))
}

var onlyV2 = versions{"s": {"v2": 2}}

// TestOriginsSurviveTheLossOfAllNodes guards against streams that are refused after a loss of
// power of all nodes, and against a guess where a second version was listed before it or is
// listed after it.
func TestOriginsSurviveTheLossOfAllNodes(t *testing.T) {
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
			store := newListStore()
			k := startKeeper(t, dir, time.Unix(1000, 0), store)
			k.watch(t, c.before, time.Minute)
			k.Record(testStream, "v1")
			k.watch(t, c.lastly, 3*time.Second)

			k = startKeeper(t, dir, time.Unix(5, 0), store) // the clock may be wrong
			k.watch(t, c.after, diskDelay-writeInterval)
			other := testStream
			other.ID = "other"
			is.Equal(k.find(testStream), c.recorded)
			is.Equal(k.find(other), "unknown")
			is.True(k.Find(context.Background(), other, time.Millisecond).Starting)

			k = startKeeper(t, dir, time.Unix(2000, 0), store) // lost again before it has used the file
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
	dir, store := t.TempDir(), newListStore()
	k := startKeeper(t, dir, time.Unix(1000, 0), store)
	k.watch(t, onlyV1, time.Minute)
	k = startKeeper(t, dir, time.Unix(2000, 0), store)
	k.watch(t, onlyV1, time.Second)
	living := startKeeper(t, t.TempDir(), time.Unix(1000, 0), store)
	living.watch(t, onlyV1, 5*time.Second)
	k.AddHistory(living.History())
	k.watch(t, onlyV1, diskDelay)
	is.Equal(k.find(testStream), "unknown")
	k.watch(t, onlyV1, testWindow)
	is.Equal(k.find(testStream), "v1")
}

// TestVersionsListedWhileAKeeperWasAwayCount guards against streams that continue at another version:
// after a loss of power of all nodes the only file left is that of a keeper that was away while
// targets of a second version served.
func TestVersionsListedWhileAKeeperWasAwayCount(t *testing.T) {
	for name, c := range map[string]struct {
		whileAway []versions
		found     string // of a stream that is not recorded
	}{
		"nothing changed":                  {nil, "v1"},
		"a version came and left":          {[]versions{bothV1V2, onlyV1}, "unknown"},
		"a version replaced the other":     {[]versions{onlyV2, onlyV1}, "unknown"},
		"entries were missing for a while": {[]versions{{}, onlyV1}, "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dir, store := t.TempDir(), newListStore()
			k := startKeeper(t, dir, time.Unix(1000, 0), store)
			k.watch(t, onlyV1, time.Minute)
			for _, listed := range c.whileAway {
				store.list(listed)
			}
			k = startKeeper(t, dir, time.Unix(2000, 0), store)
			k.watch(t, onlyV1, 2*diskDelay)
			is.Equal(k.find(testStream), c.found)
			k.watch(t, onlyV1, testWindow)
			is.Equal(k.find(testStream), "v1")
		})
	}
}

// TestHistoryWithoutEvidenceProvesNothing guards against the history of a file that is used although
// nothing tells what was listed after it was written, and against records that are lost then.
func TestHistoryWithoutEvidenceProvesNothing(t *testing.T) {
	for name, change := range map[string]func(store *listStore, file *v1.StreamOriginsFile){
		"the store dropped its changes":          func(store *listStore, _ *v1.StreamOriginsFile) { store.floor = store.revision + 1 },
		"the file is of the version before":      func(_ *listStore, file *v1.StreamOriginsFile) { file.ListRevision = 0 },
		"the store does not answer, then it has": func(store *listStore, _ *v1.StreamOriginsFile) { store.silent = true },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dir, store := t.TempDir(), newListStore()
			k := startKeeper(t, dir, time.Unix(1000, 0), store)
			k.watch(t, onlyV1, time.Minute)
			k.Record(testStream, "v1")
			k.watch(t, onlyV1, 3*time.Second)
			path := filepath.Join(dir, fileName)
			data, err := os.ReadFile(path)
			is.NoErr(err)
			var file v1.StreamOriginsFile
			is.NoErr(proto.Unmarshal(data, &file))
			is.True(file.ListRevision > 0)
			change(store, &file)
			data, err = proto.Marshal(&file)
			is.NoErr(err)
			is.NoErr(os.WriteFile(path, data, 0o600))

			k = startKeeper(t, dir, time.Unix(2000, 0), store)
			k.watch(t, onlyV1, 2*diskDelay)
			other := testStream
			other.ID = "other"
			is.Equal(k.find(testStream), "v1")
			is.Equal(k.find(other), "unknown")
			if !store.silent {
				is.True(k.unused != nil)
				return
			}
			k = startKeeper(t, dir, time.Unix(3000, 0), store) // lost again before the store answers
			store.silent = false
			k.watch(t, onlyV1, 2*diskDelay)
			is.Equal(k.find(other), "v1")
		})
	}
}

// TestHistoryOfAFileWaitsForTheList guards against a version that is missing in a history because it was listed
// after the store was asked for changes and before this node saw the list.
func TestHistoryOfAFileWaitsForTheList(t *testing.T) {
	is := is.New(t)
	dir, store := t.TempDir(), newListStore()
	k := startKeeper(t, dir, time.Unix(1000, 0), store)
	k.watch(t, onlyV1, time.Minute)
	k = startKeeper(t, dir, time.Unix(2000, 0), store)
	k.unlisted = true
	k.watch(t, versions{}, 2*diskDelay)
	store.list(bothV1V2)
	k.unlisted = false
	k.watch(t, onlyV1, diskDelay)
	is.Equal(k.find(testStream), "unknown")
}

// TestFileStatesNoRevisionBeforeItsChanges guards against a version that nobody counts: the copy of the
// list has it already, the history does not, and the file states the revision of the copy.
func TestFileStatesNoRevisionBeforeItsChanges(t *testing.T) {
	is := is.New(t)
	dir, store := t.TempDir(), newListStore()
	k := startKeeper(t, dir, time.Unix(1000, 0), store)
	k.watch(t, onlyV1, time.Minute)
	store.list(bothV1V2)
	for range 3 { // the listener is late
		k.tick()
		k.Record(testStream, "v1")
		k.disk.writtenAt = time.Time{} // a write is due
		is.NoErr(k.disk.Write())
		k.now = k.now.Add(revisionDelay / 4)
	}
	k = startKeeper(t, dir, time.Unix(2000, 0), store)
	k.watch(t, onlyV1, 2*diskDelay)
	other := testStream
	other.ID = "other"
	is.Equal(k.find(other), "unknown")
}

// TestFirstRevisionIsWrittenAtOnce guards against a loss of power of all nodes soon after their start that
// finds a file which states no revision.
func TestFirstRevisionIsWrittenAtOnce(t *testing.T) {
	is := is.New(t)
	dir, store := t.TempDir(), newListStore()
	k := startKeeper(t, dir, time.Unix(1000, 0), store)
	k.BeginsNow()
	k.watch(t, onlyV1, revisionDelay+2*writeInterval)
	k = startKeeper(t, dir, time.Unix(2000, 0), store)
	k.watch(t, onlyV1, 2*diskDelay)
	is.Equal(k.find(testStream), "v1")
}

// TestFileFollowsTheRevisionOfTheList guards against a file whose revision is older than the changes
// that the store keeps, and against writes that delay those of checkpoints.
func TestFileFollowsTheRevisionOfTheList(t *testing.T) {
	is := is.New(t)
	dir, store := t.TempDir(), newListStore()
	k := startKeeper(t, dir, time.Unix(1000, 0), store)
	k.watch(t, onlyV1, maxAge+ageStep)
	writes := 0
	const steps = 400
	revisions := make([]int64, steps) // by step
	for i := range steps {
		store.revision++ // objects of other kinds change
		revisions[i] = store.revision
		k.tick()
		before, err := os.ReadFile(filepath.Join(dir, fileName))
		is.NoErr(err)
		is.NoErr(k.disk.Write())
		after, err := os.ReadFile(filepath.Join(dir, fileName))
		is.NoErr(err)
		if string(before) != string(after) {
			writes++
		}
		var file v1.StreamOriginsFile
		is.NoErr(proto.Unmarshal(after, &file))
		const oldest = int((revisionInterval + 2*revisionDelay + writeInterval) / writeInterval)
		if i > oldest {
			is.True(file.ListRevision >= revisions[i-oldest])
		}
		k.now = k.now.Add(writeInterval)
	}
	is.True(writes <= int(steps*writeInterval/revisionInterval)+1)
}

// TestOneVersionIsWrittenOnce guards against writes in a fleet whose targets have one version.
func TestOneVersionIsWrittenOnce(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	k := startKeeper(t, dir, time.Unix(1000, 0), newListStore())
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
			k := startKeeper(t, dir, time.Unix(1000, 0), newListStore())
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
