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
	"github.com/marblepond/marblepond/internal/connection/objects"
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
	// revisionInterval is the time after which the file states a newer revision of the list,
	// although nothing else has changed. The store keeps its history for some 20 s, and after a
	// loss of power the nodes take a part of that to start.
	revisionInterval = 5 * time.Second
	// revisionDelay is the time after which all changes up to a revision are in the history: the
	// list has them a little earlier.
	revisionDelay = time.Second
	// restoreInterval is the time between two checks whether the history of the file can be used,
	// and storeRetryDelay that after a query of the store that failed.
	restoreInterval = 200 * time.Millisecond
	storeRetryDelay = time.Second
)

// Disk keeps the records and the history of an exchange in a file, for a loss of power of all
// nodes. While one version alone is listed, the file is written until it states maxAge, and
// then only when that changes or the store has a newer revision.
type Disk struct {
	Dir      string
	Exchange *Exchange
	// Changes returns how many changes of targets of each version every service has had after a
	// revision, those of targets that are gone included. It fails with objects.ErrHistoryExpired
	// when the store no longer has them all.
	Changes func(ctx context.Context, revision int64) (map[string]map[continuation.Version]int, error)
	// OnError is called with the error of a failed write.
	OnError func(error)
	// OnRestored is called once it is known whether the history of the file is used, with the
	// revision that the file states and the reason why the history is not used; nil: it is.
	OnRestored func(revision int64, cause error)

	written   []byte // history in the file
	changes   uint64 // of the records in the file
	revision  int64  // in the file
	writtenAt time.Time
}

// storedHistory is the history of a file.
type storedHistory struct {
	*v1.VersionHistory
	revision int64 // up to which it has all changes of the list; 0: not known
}

// errRevisionUnknown: nothing tells which changes of the list a file lacks.
var errRevisionUnknown = errors.New("the file states no revision of the list of targets")

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
	if d.written != nil && !d.isDue(now, bytes.Equal(history, d.written) && changes == d.changes, file.ListRevision) {
		return nil
	}
	data, err := proto.Marshal(file)
	if err != nil {
		return fmt.Errorf("encode the origins of streams: %w", err)
	}
	if err := durable.Replace(d.Dir, fileName, data); err != nil {
		return errors.Join(fmt.Errorf("write the origins of streams: %w", err), d.removeOld(history))
	}
	d.written, d.changes, d.revision, d.writtenAt = history, changes, file.ListRevision, now
	return nil
}

// isDue reports whether the file is written again. At the first revision it is at once: without one
// its history proves nothing.
func (d *Disk) isDue(now time.Time, unchanged bool, revision int64) bool {
	switch age := now.Sub(d.writtenAt); {
	case d.revision == 0 && revision != 0:
		return true
	case unchanged:
		return revision != d.revision && age >= revisionInterval
	default:
		return d.Exchange.severalListed() || age >= slowWriteInterval
	}
}

// removeOld removes a file whose history is no longer true: after a loss of all nodes a version
// would be derived from it that did not begin all streams. Another write follows.
func (d *Disk) removeOld(history []byte) error {
	if bytes.Equal(history, d.written) {
		return nil // only records are missing in it
	}
	if err := durable.Remove(d.Dir, fileName); err != nil {
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
	x.mu.Lock()
	defer x.mu.Unlock()
	history, revision := x.historyToProto(), x.revision
	switch {
	case x.stored != nil:
		history, revision = x.stored.VersionHistory, x.stored.revision
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
	file := &v1.StreamOriginsFile{History: history, ListRevision: revision}
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

// load adds the content of a file. Its ages are counted from now: what was listed since is added
// before they are used.
func (x *Exchange) load(file *v1.StreamOriginsFile) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, r := range file.Records {
		x.records.Put(x.Now(), continuation.Key(r.Key), continuation.Version(r.Version), time.Duration(r.KeepMs)*time.Millisecond)
	}
	if file.History != nil {
		x.stored = &storedHistory{file.History, file.ListRevision}
	}
}

// RestoreHistory adds the history of the file, and what the store says was listed since, unless a
// node that went on meanwhile is met. It returns when that is done or impossible, or ctx ends.
func (d *Disk) RestoreHistory(ctx context.Context) {
	for delay := restoreInterval; wait.For(ctx, delay); {
		stored, due := d.Exchange.storedIfDue()
		if stored == nil {
			return
		}
		delay = restoreInterval
		if due && !d.restore(ctx, stored) {
			delay = storeRetryDelay
		}
	}
}

// restore adds a stored history, or drops it if nothing tells what was listed since. It reports
// false if the store did not answer.
func (d *Disk) restore(ctx context.Context, stored *storedHistory) (answered bool) {
	if stored.revision == 0 {
		d.Exchange.dropStored()
		d.OnRestored(0, errRevisionUnknown)
		return true
	}
	changed, err := d.Changes(ctx, stored.revision)
	switch {
	case errors.Is(err, objects.ErrHistoryExpired):
		d.Exchange.dropStored()
	case err != nil:
		return false
	case !d.Exchange.useStored(changed):
		return true
	}
	d.OnRestored(stored.revision, err)
	return true
}

// storedIfDue returns the history of the file if it was neither used nor dropped. It is due once
// no living node was met and this node has seen the list: what is listed later is noticed here.
func (x *Exchange) storedIfDue() (stored *storedHistory, due bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.stored, x.Now().Sub(x.started) >= diskDelay && !x.ListVerified().IsZero()
}

// useStored adds the history of the file and the versions that were listed since, unless a node
// that went on meanwhile was met. It reports whether it did.
func (x *Exchange) useStored(listedSince map[string]map[continuation.Version]int) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.stored == nil {
		return false
	}
	x.history.Merge(x.Now(), reportFromProto(x.stored.VersionHistory).Extend(listedSince))
	x.stored, x.usedStored = nil, true
	return true
}

// dropStored drops the history of the file.
func (x *Exchange) dropStored() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stored = nil
}

// noteRevision notes up to which revision the history has all changes. The caller holds x.mu.
func (x *Exchange) noteRevision() {
	now := x.Now()
	if x.ListRevision == nil || x.ListVerified().IsZero() || (x.seenRevision != 0 && now.Sub(x.seenAt) < revisionDelay) {
		return
	}
	x.revision, x.seenRevision, x.seenAt = x.seenRevision, x.ListRevision(), now
}
