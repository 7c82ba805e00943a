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
	// snapshotName is the name of the file in Snapshot.Dir.
	snapshotName = "followed.snapshot"
	// snapshotInterval is the time between two checks for changes to write. The snapshot
	// need not be recent: it serves only when all nodes start while the store is
	// unreachable.
	snapshotInterval = 2 * time.Second
)

// Snapshot keeps the cached copies of some kinds on a disk, for a start while the object
// store is unreachable. A node that loads it uses it until the store or a peer delivers
// newer objects, and never counts it as verified.
type Snapshot struct {
	Dir   string
	Cache *Cache
	Kinds []string
	// OnError is called with the error of a failed write.
	OnError func(error)

	written map[string]int64 // revision of the newest change on the disk, by kind
}

// Load applies the snapshot, if there is one, and notifies the listener of its objects.
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
		if changed := adopt(s.Cache, kind); len(changed) > 0 {
			listener.Changed(kind.Kind, changed, FromDisk)
		}
	}
	return nil
}

// Run writes the snapshot whenever the cache has changed, until ctx ends.
func (s *Snapshot) Run(ctx context.Context) {
	for wait.For(ctx, snapshotInterval) {
		if err := s.Save(); err != nil {
			s.OnError(err)
		}
	}
}

// Save writes the snapshot if the cache has a change that the disk lacks.
func (s *Snapshot) Save() error {
	marks := s.Cache.FreshnessMarks()
	changed := false
	for _, kind := range s.Kinds {
		changed = changed || marks[kind].Latest > s.written[kind]
	}
	if !changed || s.Cache.anyFilling(s.Kinds) {
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
