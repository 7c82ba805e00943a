package follow

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/objects"
)

// diskNews records what a listener is told.
type diskNews struct {
	names []string
	from  Source
}

func (h *diskNews) Changed(_ string, news []objects.Object, from Source) {
	for _, o := range news {
		h.names = append(h.names, o.Name)
	}
	h.from = from
}
func (h *diskNews) Failed(string, int64, error) {}

// TestSnapshotOutlastsAStart: a copy that starts from the disk holds what was
// written there, counts as old, and gives way to whatever is newer.
func TestSnapshotOutlastsAStart(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	first, now := newTestCache()
	s := &Snapshot{Dir: dir, Cache: first, Kinds: []string{kindT}}
	is.NoErr(s.Load(&diskNews{})) // there is none yet
	first.Replace(kindT, []objects.Object{{Name: "a", Revision: 3, Value: []byte("x")}, {Name: "b", Revision: 5}}, 7)
	first.MarkVerified(kindT, now.now)
	is.NoErr(s.Save())
	is.NoErr(os.Remove(filepath.Join(dir, snapshotName)))
	is.NoErr(s.Save()) // nothing new: nothing written
	_, err := os.Stat(filepath.Join(dir, snapshotName))
	is.True(os.IsNotExist(err))
	first.Apply(kindT, []objects.Object{{Name: "b", Revision: 9, Deleted: true}}, 7, 9)
	is.NoErr(s.Save())

	second, _ := newTestCache()
	news := &diskNews{}
	is.NoErr((&Snapshot{Dir: dir, Cache: second, Kinds: []string{kindT}}).Load(news))
	is.Equal(news.names, []string{"a"})
	is.Equal(news.from, FromDisk)
	is.Equal(second.CompleteRevision(kindT), int64(9))
	_, known := second.Age(kindT)
	is.True(!known) // never taken for fresh
	second.Apply(kindT, []objects.Object{{Name: "a", Revision: 12, Value: []byte("y")}}, 9, 12)
	a, _ := second.Get(kindT, "a")
	is.Equal(string(a.Value), "y")
}

// TestTornSnapshotIsNotUsed: what a loss of power left of a file is reported, and
// changes nothing.
func TestTornSnapshotIsNotUsed(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(dir, snapshotName), []byte{0x0a, 0xff, 0x01}, 0o600))
	cache, _ := newTestCache()
	is.True((&Snapshot{Dir: dir, Cache: cache, Kinds: []string{kindT}}).Load(&diskNews{}) != nil)
	is.Equal(cache.CompleteRevision(kindT), int64(0))
}
