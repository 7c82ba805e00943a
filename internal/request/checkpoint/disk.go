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
	// writeInterval is the time between two checks for changes to write. A power
	// failure of the whole deployment loses the progress of this interval and of
	// the interval at which holders send checkpoints.
	writeInterval = 500 * time.Millisecond
)

// Disk persists a store in a file, so that items can resume after a power failure
// of all nodes.
type Disk struct {
	Dir   string
	Store *Store
	// OnError is called with the error of a failed write.
	OnError func(error)
}

// Load reads the file into the store.
func (d *Disk) Load() error {
	data, err := os.ReadFile(filepath.Join(d.Dir, fileName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read the checkpoint file: %w", err)
	}
	var file v1.CheckpointFile
	if err := proto.Unmarshal(data, &file); err != nil {
		return fmt.Errorf("decode the checkpoint file: %w", err)
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
		return fmt.Errorf("encode the checkpoints: %w", err)
	}
	if err := durable.Replace(d.Dir, fileName, data); err != nil {
		return fmt.Errorf("write the checkpoint file: %w", err)
	}
	return nil
}
