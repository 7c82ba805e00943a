package job

import (
	"context"
	"errors"
	"time"

	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/process/wait"
)

const (
	// writeBackoff is the delay before a failed write is retried; it doubles up to
	// maxWriteBackoff.
	writeBackoff    = 30 * time.Millisecond
	maxWriteBackoff = 500 * time.Millisecond
)

// errOutcomeUnknown means that a write was sent, was not answered and could not be read
// back.
var errOutcomeUnknown = errors.New("the write may have taken effect or may still do so")

// create writes an object, with retries, until the object store has it or ctx ends. existed
// means that the object was there already; after a write without a response it may be the
// node's own. Errors: objects.ErrUnavailable (it was not written), objects.ErrRejected (and
// will not be), or errOutcomeUnknown.
func (m *Manager) create(ctx context.Context, kind, name string, value []byte) (o objects.Object, existed bool, err error) {
	pause, ambiguous := writeBackoff, false
	for {
		o, err = m.Store.Create(ctx, callbudget.Commit, kind, name, value)
		switch {
		case err == nil:
			return o, false, nil
		case errors.Is(err, objects.ErrConflict):
			return objects.Object{}, true, nil
		case errors.Is(err, objects.ErrRejected):
			m.recordRejected(kind, name, value, err)
			return objects.Object{}, false, objects.ErrRejected
		case errors.Is(err, objects.ErrUnknownOutcome):
			ambiguous = true
			m.Recorder.Record(timeline.PlatformAmbiguous, name, kind, err.Error())
		}
		if !wait.For(ctx, pause) {
			if ambiguous {
				return objects.Object{}, false, errOutcomeUnknown
			}
			return objects.Object{}, false, objects.ErrUnavailable
		}
		pause = min(2*pause, maxWriteBackoff)
	}
}

// recordRejected records that the object store does not accept the content of a write.
func (m *Manager) recordRejected(kind, name string, value []byte, cause error) {
	m.Metrics.Tagged(map[string]string{"kind": kind}).Counter("writes_rejected").Inc(1)
	m.Recorder.Record(timeline.WriteRejected, name, kind, cause.Error(), timeline.Field{Name: "bytes", Value: len(value)})
}

// errFenced means that another node has changed the head.
var errFenced = errors.New("another node holds the job")

// updateHead replaces a head at a revision, with retries, until it is written or ctx ends.
// A write without a response is recognised by its token. Errors: errFenced,
// objects.ErrUnavailable, objects.ErrRejected, errOutcomeUnknown.
func (m *Manager) updateHead(ctx context.Context, id string, head *Head, revision int64) (int64, error) {
	head.Writer = newToken()
	value := encode(head)
	pause, ambiguous := writeBackoff, false
	for {
		o, err := m.Store.Update(ctx, callbudget.Lease, KindHeads, id, revision, value)
		switch {
		case err == nil:
			return o.Revision, nil
		case errors.Is(err, objects.ErrConflict), errors.Is(err, objects.ErrNotFound):
			if !ambiguous {
				return 0, errFenced
			}
			return m.readBack(ctx, id, head.Writer)
		case errors.Is(err, objects.ErrRejected):
			m.recordRejected(KindHeads, id, value, err)
			return 0, objects.ErrRejected
		case errors.Is(err, objects.ErrUnknownOutcome):
			ambiguous = true
			m.Recorder.Record(timeline.PlatformAmbiguous, id, KindHeads, err.Error())
		}
		if !wait.For(ctx, pause) {
			if ambiguous {
				return 0, errOutcomeUnknown
			}
			return 0, objects.ErrUnavailable
		}
		pause = min(2*pause, maxWriteBackoff)
	}
}

// readBack finds out whether the stored head was written with the given token.
func (m *Manager) readBack(ctx context.Context, id, token string) (int64, error) {
	pause := writeBackoff
	for {
		head, o, err := m.getHead(ctx, callbudget.Lease, id)
		switch {
		case err == nil && head.Writer == token:
			return o.Revision, nil
		case err == nil, errors.Is(err, objects.ErrNotFound):
			return 0, errFenced
		}
		if !wait.For(ctx, pause) {
			return 0, errOutcomeUnknown
		}
		pause = min(2*pause, maxWriteBackoff)
	}
}

// getHead reads the head of a job from the object store.
func (m *Manager) getHead(ctx context.Context, class callbudget.Class, id string) (Head, objects.Object, error) {
	o, err := m.Store.Get(ctx, class, KindHeads, id)
	if err != nil {
		return Head{}, objects.Object{}, err
	}
	head, err := decode[Head](o.Value)
	if err != nil {
		m.Recorder.Record(timeline.ObjectRejected, id, KindHeads, err.Error())
		return Head{}, objects.Object{}, objects.ErrUnavailable
	}
	return head, o, nil
}

// getItems returns all items of a job whose head was just read from the object store.
func (m *Manager) getItems(ctx context.Context, id string, head *Head) ([]Item, error) {
	if len(head.Inline) > 0 {
		return head.Inline, nil
	}
	var items []Item
	for n := range head.Parts {
		o, err := m.Store.Get(ctx, callbudget.Commit, KindItems, partName(id, n))
		if err != nil {
			return nil, err
		}
		part, err := decode[[]Item](o.Value)
		if err != nil {
			m.Recorder.Record(timeline.ObjectRejected, id, KindItems, err.Error())
			return nil, objects.ErrUnavailable
		}
		items = append(items, part...)
	}
	return items, nil
}
