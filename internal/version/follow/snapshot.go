package follow

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/process/durable"
	"github.com/marblepond/marblepond/internal/process/wait"
)

const (
	// snapshotName is the file in the data folder.
	snapshotName = "followed.snapshot"
	// snapshotInterval is the time between looks whether there is news to write:
	// a snapshot only has to be newer than none when all nodes start while the
	// store is away.
	snapshotInterval = 2 * time.Second
)

// Snapshot keeps the copy of some kinds on a disk, for a start while the object
// store is away. A node that reads it serves by it until the store or a peer
// knows better, and never takes it for fresh.
type Snapshot struct {
	Dir   string
	Cache *Cache
	Kinds []string
	// OnError is told what could not be written.
	OnError func(error)

	written map[string]int64 // by kind: revision of the newest change on the disk
}

// Load applies the snapshot, if there is one, and tells the listener.
func (s *Snapshot) Load(listener Listener) error {
	data, err := os.ReadFile(filepath.Join(s.Dir, snapshotName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	var stored v1.Snapshot
	if err := proto.Unmarshal(data, &stored); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	for _, kind := range stored.Kinds {
		if news := adopt(s.Cache, kind); len(news) > 0 {
			listener.Changed(kind.Kind, news, FromDisk)
		}
	}
	return nil
}

// Run writes the copy whenever it has changed, until ctx ends.
func (s *Snapshot) Run(ctx context.Context) {
	for wait.For(ctx, snapshotInterval) {
		if err := s.Save(); err != nil {
			s.OnError(err)
		}
	}
}

// Save writes the copy if it holds a change that the disk lacks.
func (s *Snapshot) Save() error {
	marks := s.Cache.FreshnessMarks()
	news := false
	for _, kind := range s.Kinds {
		news = news || marks[kind].Latest > s.written[kind]
	}
	if !news {
		return nil
	}
	var stored v1.Snapshot
	newest := map[string]int64{}
	for _, kind := range s.Kinds {
		newest[kind] = marks[kind].Latest
		stored.Kinds = append(stored.Kinds, changesOf(s.Cache, kind, 0))
	}
	data, err := proto.Marshal(&stored)
	if err != nil {
		return err
	}
	if err := durable.Replace(s.Dir, snapshotName, data); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	s.written = newest
	return nil
}
