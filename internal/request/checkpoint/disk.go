package checkpoint

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
	fileName = "checkpoints"
	// writeInterval is the time between looks whether there is something to
	// write. A loss of power of the whole deployment loses what was made in this
	// time and in the interval of the holders.
	writeInterval = 500 * time.Millisecond
)

// Disk keeps a store on a disk, so that items go on after all nodes lost power.
type Disk struct {
	Dir   string
	Store *Store
	// OnError is told what could not be written.
	OnError func(error)
}

// Load puts what the disk holds into the store.
func (d *Disk) Load() error {
	data, err := os.ReadFile(filepath.Join(d.Dir, fileName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("checkpoints: %w", err)
	}
	var file v1.CheckpointFile
	if err := proto.Unmarshal(data, &file); err != nil {
		return fmt.Errorf("checkpoints: %w", err)
	}
	d.Store.Save(file.Jobs, nil)
	return nil
}

// Run writes the store whenever it has changed, until ctx ends.
func (d *Disk) Run(ctx context.Context) {
	for wait.For(ctx, writeInterval) {
		if err := d.Write(); err != nil {
			d.OnError(err)
		}
	}
}

// Write writes the store if it has changed.
func (d *Disk) Write() error {
	all, changed := d.Store.Dump()
	if !changed {
		return nil
	}
	data, err := proto.Marshal(all)
	if err != nil {
		return fmt.Errorf("checkpoints: %w", err)
	}
	if err := durable.Replace(d.Dir, fileName, data); err != nil {
		return fmt.Errorf("checkpoints: %w", err)
	}
	return nil
}
