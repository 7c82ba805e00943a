package checkpoint

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
)

func newTestStore(bytes int) (*Store, *time.Time) {
	now := time.Unix(1000, 0)
	return NewStore(Limits{MaxBytes: bytes, Retention: time.Minute}, func() time.Time { return now }), &now
}

func job(id string, epoch uint32, open []uint32, items ...*v1.ItemCheckpoint) []*v1.JobCheckpoint {
	return []*v1.JobCheckpoint{{Job: id, Epoch: epoch, Open: open, Items: items}}
}

func itemText(item uint32, offset int, text string, lastEvent int64) *v1.ItemCheckpoint {
	return &v1.ItemCheckpoint{Item: item, Offset: uint32(offset), Text: []byte(text), Held: lastEvent}
}

func TestPartsAreJoined(t *testing.T) {
	is := is.New(t)
	s, _ := newTestStore(1000)
	is.Equal(len(s.Save(job("j", 1, []uint32{0, 1}, itemText(0, 0, "one", 1), itemText(1, 0, "uno", 1)), nil)), 0)
	is.Equal(len(s.Save(job("j", 1, []uint32{0}, itemText(0, 3, "\ntwo", 2)), nil)), 0)
	kept := s.Load("j")
	is.Equal(len(kept.Items), 1) // item 1 is no longer open: its result is listed
	is.Equal(string(kept.Items[0].Text), "one\ntwo")
	is.Equal(kept.Items[0].Held, int64(2))
	is.True(s.Load("k") == nil)
	s.Save(nil, []string{"j"})
	is.True(s.Load("j") == nil)
	is.Equal(s.bytes, 0)
}

// A keeper that has lost the earlier text requests the whole text.
func TestMissingTextIsAskedFor(t *testing.T) {
	is := is.New(t)
	s, _ := newTestStore(1000)
	is.Equal(s.Save(job("j", 1, []uint32{0}, itemText(0, 3, "\ntwo", 2)), nil), []string{"j"})
	is.Equal(len(s.Save(job("j", 1, []uint32{0}, itemText(0, 0, "one\ntwo", 2)), nil)), 0)
	is.Equal(string(s.Load("j").Items[0].Text), "one\ntwo")
}

// A former holder that is still running does not change its successor's checkpoint.
func TestFormerHolderIsIgnored(t *testing.T) {
	is := is.New(t)
	s, _ := newTestStore(1000)
	s.Save(job("j", 2, []uint32{0}, itemText(0, 0, "new", 7)), nil)
	is.Equal(len(s.Save(job("j", 1, []uint32{0}, itemText(0, 0, "old", 3)), nil)), 0)
	is.Equal(s.Load("j").Items[0].Held, int64(7))
	s.Save(job("j", 3, []uint32{0}, itemText(0, 0, "newer", 8)), nil)
	is.Equal(string(s.Load("j").Items[0].Text), "newer")
}

func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	s, now := newTestStore(10)
	s.Save(job("a", 1, []uint32{0}, itemText(0, 0, "aaaaaa", 1)), nil)
	*now = now.Add(time.Second)
	s.Save(job("b", 1, []uint32{0}, itemText(0, 0, "bbbbbb", 1)), nil)
	is.True(s.Load("a") == nil) // the less recently saved one is dropped
	is.True(s.Load("b") != nil)
	*now = now.Add(2 * time.Minute)
	s.Save(job("c", 1, []uint32{0}, itemText(0, 0, "c", 1)), nil)
	is.True(s.Load("b") == nil) // its retention has ended
	is.Equal(s.bytes, 1)
}

// Checkpoints survive a restart of the process; a corrupt file gives an error and is
// ignored.
func TestDiskKeepsCheckpoints(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	s, _ := newTestStore(1000)
	d := &Disk{Dir: dir, Store: s}
	is.NoErr(d.Load()) // no file yet
	s.Save(job("j", 3, []uint32{0, 4}, itemText(0, 0, "one", 1), itemText(4, 0, "four", 9)), nil)
	is.NoErr(d.Write())
	again, _ := newTestStore(1000)
	is.NoErr((&Disk{Dir: dir, Store: again}).Load())
	kept := again.Load("j")
	is.Equal(kept.Epoch, uint32(3))
	is.Equal(len(kept.Items), 2)

	is.NoErr(os.WriteFile(filepath.Join(dir, fileName), []byte("not a checkpoint"), 0o600))
	broken, _ := newTestStore(1000)
	is.True((&Disk{Dir: dir, Store: broken}).Load() != nil)
	is.True(broken.Load("j") == nil)
}

// After saves in any order, including late and repeated ones, the stored text of an
// item is its text up to the stored event.
func TestKeptTextIsAlwaysAPrefix(t *testing.T) {
	const text = "0123456789"
	rapid.Check(t, func(t *rapid.T) {
		s, _ := newTestStore(1000)
		for range rapid.IntRange(1, 20).Draw(t, "saves") {
			from := rapid.IntRange(0, len(text)).Draw(t, "from")
			to := rapid.IntRange(from, len(text)).Draw(t, "to")
			s.Save(job("j", 1, []uint32{0}, itemText(0, from, text[from:to], int64(to))), nil)
			if kept := s.Load("j"); len(kept.Items) > 0 && string(kept.Items[0].Text) != text[:kept.Items[0].Held] {
				t.Fatalf("kept %q as the text up to event %d", kept.Items[0].Text, kept.Items[0].Held)
			}
		}
		if s.bytes != len(s.Load("j").Items[0].Text) {
			t.Fatalf("%d bytes counted", s.bytes)
		}
	})
}
