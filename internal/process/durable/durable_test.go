package durable

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// memory is a file system that loses what was not synced. It keeps the calls that changed it, so
// that all states can be derived in which a loss of power may leave it.
type memory struct {
	entries map[string]*inode // as the process sees them
	// synced are the entries that are durable, and pending the changes of them that may be.
	synced  map[string]*inode
	pending []func(entries map[string]*inode)
	// calls counts the calls; the call number failAt and later ones fail. Negative: none fails.
	calls, failAt int
}

// inode is the content of a file.
type inode struct {
	content, synced []byte
}

var errFailed = errors.New("the call failed")

func newMemory() *memory {
	return &memory{entries: map[string]*inode{}, synced: map[string]*inode{}, failAt: -1}
}

func (m *memory) call() error {
	m.calls++
	if m.failAt >= 0 && m.calls > m.failAt {
		return errFailed
	}
	return nil
}

func (m *memory) change(f func(entries map[string]*inode)) {
	f(m.entries)
	m.pending = append(m.pending, f)
}

func (m *memory) create(path string) (file, error) {
	if err := m.call(); err != nil {
		return nil, err
	}
	if n := m.entries[path]; n != nil {
		n.content = nil
		return &handle{m, n}, nil
	}
	n := &inode{}
	m.change(func(entries map[string]*inode) { entries[path] = n })
	return &handle{m, n}, nil
}

func (m *memory) rename(from, to string) error {
	if err := m.call(); err != nil {
		return err
	}
	n := m.entries[from]
	m.change(func(entries map[string]*inode) {
		entries[to] = n
		delete(entries, from)
	})
	return nil
}

func (m *memory) remove(path string) error {
	if err := m.call(); err != nil {
		return err
	}
	if m.entries[path] == nil {
		return fs.ErrNotExist
	}
	m.change(func(entries map[string]*inode) { delete(entries, path) })
	return nil
}

func (m *memory) syncDir(string) error {
	if err := m.call(); err != nil {
		return err
	}
	m.synced, m.pending = maps.Clone(m.entries), nil
	return nil
}

// handle is an open file.
type handle struct {
	m *memory
	n *inode
}

func (h *handle) Write(data []byte) (int, error) {
	if err := h.m.call(); err != nil {
		return 0, err
	}
	h.n.content = append(h.n.content, data...)
	return len(data), nil
}

func (h *handle) Sync() error {
	if err := h.m.call(); err != nil {
		return err
	}
	h.n.synced = slices.Clone(h.n.content)
	return nil
}

func (h *handle) Close() error { return h.m.call() }

// afterLoss returns the contents that a file may have after a loss of power now; "none" stands for
// no file. Each pending change of the entries may be durable or not, and of content that was not
// synced any part may be.
func (m *memory) afterLoss(path string) []string {
	var out []string
	for subset := range 1 << len(m.pending) {
		entries := maps.Clone(m.synced)
		for i, change := range m.pending {
			if subset&(1<<i) != 0 {
				change(entries)
			}
		}
		n := entries[path]
		if n == nil {
			out = append(out, "none")
			continue
		}
		out = append(out, string(n.synced))
		if !slices.Equal(n.content, n.synced) {
			for length := range len(n.content) + 1 {
				out = append(out, string(n.content[:length]))
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// TestReplaceSurvivesALossOfPower guards against a file that is empty, cut or missing after a loss of power
// at any step of its replacement, and against one that has its old content after the
// replacement: a sync is missing, or comes too late.
func TestReplaceSurvivesALossOfPower(t *testing.T) {
	const dir, name = "d", "f"
	path := filepath.Join(dir, name)
	for name, before := range map[string]func(m *memory){
		"the first write": func(*memory) {},
		"a replacement": func(m *memory) {
			if err := replace(m, dir, name, []byte("old")); err != nil {
				t.Fatal(err)
			}
		},
		"a replacement after one that was cut": func(m *memory) {
			if err := replace(m, dir, name, []byte("old")); err != nil {
				t.Fatal(err)
			}
			m.calls, m.failAt = 0, 2 // the temporary file is left behind, not synced
			if err := replace(m, dir, name, []byte("left behind")); err == nil {
				t.Fatal("no call failed")
			}
			m.failAt = -1
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for step := 0; ; step++ {
				m := newMemory()
				before(m)
				old := m.afterLoss(path)
				is.Equal(len(old), 1) // durable
				m.calls, m.failAt = 0, step
				err := replace(m, dir, "f", []byte("new"))
				for _, content := range m.afterLoss(path) {
					if content != "new" && (err == nil || content != old[0]) {
						t.Errorf("after a loss of power after %d calls the file may be %q", step, content)
					}
				}
				if err == nil {
					is.True(step > 3)
					return
				}
				m.failAt = -1 // the next one succeeds, whatever is left behind
				is.NoErr(replace(m, dir, "f", []byte("newest")))
				is.Equal(m.afterLoss(path), []string{"newest"})
			}
		})
	}
}

// TestRemovedFileStaysRemoved guards against a file that was removed because it is no longer true, and is there
// again after a loss of power.
func TestRemovedFileStaysRemoved(t *testing.T) {
	is := is.New(t)
	for step := range 3 {
		m := newMemory()
		is.NoErr(replace(m, "d", "f", []byte("old")))
		m.calls, m.failAt = 0, step
		err := remove(m, "d", "f")
		is.Equal(err == nil, step == 2)
		m.failAt = -1
		if err != nil {
			is.NoErr(remove(m, "d", "f")) // also where the file is gone and that is not durable yet
		}
		is.Equal(m.afterLoss("d/f"), []string{"none"})
		is.NoErr(remove(m, "d", "f"))
	}
}

// TestModelLosesWhatIsNotSynced guards against a model that keeps too much, and finds no missing sync.
func TestModelLosesWhatIsNotSynced(t *testing.T) {
	is := is.New(t)
	m := newMemory()
	f, err := m.create("d/f")
	is.NoErr(err)
	_, err = f.Write([]byte("ab"))
	is.NoErr(err)
	is.Equal(m.afterLoss("d/f"), []string{"", "a", "ab", "none"})
	is.NoErr(f.Sync())
	is.Equal(m.afterLoss("d/f"), []string{"ab", "none"})
	is.NoErr(m.syncDir("d"))
	is.Equal(m.afterLoss("d/f"), []string{"ab"})
	is.NoErr(m.rename("d/f", "d/g"))
	is.Equal(m.afterLoss("d/f"), []string{"ab", "none"})
	is.Equal(m.afterLoss("d/g"), []string{"ab", "none"})
	_, err = m.create("d/g")
	is.NoErr(err)
	is.Equal(m.afterLoss("d/g"), []string{"", "ab", "none"})
}

// TestReplaceOnADisk guards against a replacement that differs on the operating system's file system: two
// in a row, and one where a temporary file was left behind.
func TestReplaceOnADisk(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(dir, "f"+tempSuffix), []byte("longer than the new content"), fileMode))
	for n := range 2 {
		want := fmt.Sprint("content ", n)
		is.NoErr(Replace(dir, "f", []byte(want)))
		data, err := os.ReadFile(filepath.Join(dir, "f"))
		is.NoErr(err)
		is.Equal(string(data), want)
	}
	is.True(Replace(filepath.Join(dir, "missing"), "f", nil) != nil)
	is.NoErr(Remove(dir, "f"))
	is.NoErr(Remove(dir, "f"))
	_, err := os.Stat(filepath.Join(dir, "f"))
	is.True(os.IsNotExist(err))
}
