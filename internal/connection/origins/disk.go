package origins

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/process/durable"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/request/continuation"
)

const (
	fileName = "stream-origins"
	// writeInterval is the time between two checks for changes to write. A loss of power of
	// all nodes loses the records of this interval.
	writeInterval = 500 * time.Millisecond
	// slowWriteInterval is the same while no service has targets of several versions: checkpoints
	// are on the same disk.
	slowWriteInterval = 2 * time.Second
	// ageStep is the step in which ages are stated in the file. An age that grows is rounded
	// down, so that it proves less, and stated up to maxAge: a history that does not change is
	// then written no more.
	ageStep = 5 * time.Second
	maxAge  = 5 * time.Minute
	// diskDelay is how long after a start the history of the file is not used: a node that
	// went on meanwhile knows more, and is met within this time.
	diskDelay = 2 * time.Second
)

// Disk keeps the records and the history of an exchange in a file, for a loss of power of all
// nodes. While one version alone is listed, the file is written until it states maxAge, and
// then only when that changes.
type Disk struct {
	Dir      string
	Exchange *Exchange
	// OnError is called with the error of a failed write.
	OnError func(error)

	written   []byte // history in the file
	changes   uint64 // of the records in the file
	writtenAt time.Time
}

// Load adds the content of the file to the exchange.
func (d *Disk) Load() error {
	data, err := os.ReadFile(filepath.Join(d.Dir, fileName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read the origins of streams: %w", err)
	}
	var file v1.StreamOriginsFile
	if err := proto.Unmarshal(data, &file); err != nil {
		return fmt.Errorf("decode the origins of streams: %w", err)
	}
	d.Exchange.load(&file)
	return nil
}

// Run writes the file whenever its content has changed, until ctx ends.
func (d *Disk) Run(ctx context.Context) {
	for wait.For(ctx, writeInterval) {
		if err := d.Write(); err != nil {
			d.OnError(err)
		}
	}
}

// Write writes the file if its content has changed.
func (d *Disk) Write() error {
	file, changes := d.Exchange.dump()
	history, err := proto.MarshalOptions{Deterministic: true}.Marshal(file.History)
	if err != nil {
		return fmt.Errorf("encode the history of versions: %w", err)
	}
	now := d.Exchange.Now()
	if d.written != nil && bytes.Equal(history, d.written) && changes == d.changes {
		return nil
	}
	if d.written != nil && !d.Exchange.severalListed() && now.Sub(d.writtenAt) < slowWriteInterval {
		return nil
	}
	data, err := proto.Marshal(file)
	if err != nil {
		return fmt.Errorf("encode the origins of streams: %w", err)
	}
	if err := durable.Replace(d.Dir, fileName, data); err != nil {
		return errors.Join(fmt.Errorf("write the origins of streams: %w", err), d.removeOld(history))
	}
	d.written, d.changes, d.writtenAt = history, changes, now
	return nil
}

// removeOld removes a file whose history is no longer true: after a loss of all nodes a version
// would be derived from it that did not begin all streams. Another write follows.
func (d *Disk) removeOld(history []byte) error {
	if bytes.Equal(history, d.written) {
		return nil // only records are missing in it
	}
	if err := os.Remove(filepath.Join(d.Dir, fileName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("remove the old origins of streams: %w", err)
	}
	d.written = nil
	return nil
}

// severalListed reports whether any service has targets of several versions.
func (x *Exchange) severalListed() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.several
}

// dump returns the content of the file, and a number that changes with the records.
func (x *Exchange) dump() (*v1.StreamOriginsFile, uint64) {
	history := x.History()
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.stored != nil:
		history = x.stored
	case history == nil:
		history = &v1.VersionHistory{}
	}
	history.CompleteMs = uint64(steppedAge(int64(history.CompleteMs)))
	for _, s := range history.Sightings {
		s.FirstMs, s.CeasedMs = steppedAge(s.FirstMs), steppedAge(s.CeasedMs)
	}
	slices.SortFunc(history.Sightings, func(a, b *v1.VersionSighting) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Version, b.Version))
	})
	file := &v1.StreamOriginsFile{History: history}
	for key, r := range x.records.All(x.Now()) {
		file.Records = append(file.Records, &v1.StreamRecord{Key: uint64(key), Version: string(r.Version), KeepMs: uint32(r.Keep.Milliseconds())})
	}
	return file, x.records.Changes()
}

// steppedAge rounds an age down to a step; one that is not known stays so.
func steppedAge(ms int64) int64 {
	if ms < 0 {
		return ms
	}
	step := ageStep.Milliseconds()
	return min(ms/step*step, maxAge.Milliseconds())
}

// load adds the content of a file. Its ages are counted from now, since no node that could
// begin a stream ran in the meantime, or one tells of it within diskDelay.
func (x *Exchange) load(file *v1.StreamOriginsFile) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, r := range file.Records {
		x.records.Put(x.Now(), continuation.Key(r.Key), continuation.Version(r.Version), time.Duration(r.KeepMs)*time.Millisecond)
	}
	x.stored = file.History
}

// useStored adds the history of the file, unless a node that went on meanwhile was met. The
// caller holds x.mu.
func (x *Exchange) useStored() {
	if now := x.Now(); x.stored != nil && now.Sub(x.started) >= diskDelay {
		x.history.Merge(now, reportFromProto(x.stored))
		x.stored, x.usedStored = nil, true
	}
}
