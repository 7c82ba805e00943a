package follow

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/objects"
)

// snapshotListener records the names of changed objects and their source.
type snapshotListener struct {
	names []string
	from  Source
}

func (l *snapshotListener) Changed(_ string, changed []objects.Object, from Source) {
	for _, o := range changed {
		l.names = append(l.names, o.Name)
	}
	l.from = from
}
func (l *snapshotListener) Failed(string, int64, error) {}

// TestSnapshotSurvivesRestart: a cache that is loaded from the disk contains what was
// written there, does not count as verified, and takes newer objects.
func TestSnapshotSurvivesRestart(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	first, clk := newTestCache()
	s := &Snapshot{Dir: dir, Cache: first, Kinds: []string{kindT}}
	is.NoErr(s.Load(&snapshotListener{})) // there is none yet
	first.Replace(kindT, []objects.Object{{Name: "a", Revision: 3, Value: []byte("x")}, {Name: "b", Revision: 5}}, 7)
	first.MarkVerified(kindT, clk.now)
	is.NoErr(s.Save())
	is.NoErr(os.Remove(filepath.Join(dir, snapshotName)))
	is.NoErr(s.Save()) // nothing new: nothing written
	_, err := os.Stat(filepath.Join(dir, snapshotName))
	is.True(os.IsNotExist(err))
	first.Apply(kindT, []objects.Object{{Name: "b", Revision: 9, Deleted: true}}, 7, 9)
	is.NoErr(s.Save())

	second, _ := newTestCache()
	listener := &snapshotListener{}
	is.NoErr((&Snapshot{Dir: dir, Cache: second, Kinds: []string{kindT}}).Load(listener))
	is.Equal(listener.names, []string{"a"})
	is.Equal(listener.from, FromDisk)
	is.Equal(second.CompleteRevision(kindT), int64(9))
	_, known := second.Age(kindT)
	is.True(!known) // it does not count as verified
	second.Apply(kindT, []objects.Object{{Name: "a", Revision: 12, Value: []byte("y")}}, 9, 12)
	a, _ := second.Get(kindT, "a")
	is.Equal(string(a.Value), "y")
}

// TestTornSnapshotIsNotUsed: a file that a loss of power left incomplete is reported, and
// changes nothing.
func TestTornSnapshotIsNotUsed(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(dir, snapshotName), []byte{0x0a, 0xff, 0x01}, 0o600))
	cache, _ := newTestCache()
	is.True((&Snapshot{Dir: dir, Cache: cache, Kinds: []string{kindT}}).Load(&snapshotListener{}) != nil)
	is.Equal(cache.CompleteRevision(kindT), int64(0))
}
