package job

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/timeline"
)

// knownHead is what this node remembers of the head of a job that another node holds or
// that is finished.
type knownHead struct {
	head           Head
	revision       int64
	at             time.Time // when this node received it; it may have been outdated by then
	readAt         time.Time // when its read from the object store began; zero: it came from a list or another node
	holderFailedAt time.Time // when its holder last failed to respond
	fromStore      bool      // head came from the object store, possibly through another node; otherwise only its holder is known
}

// holderRetryDelay is how long a holder that did not respond is not queried again.
const holderRetryDelay = 2 * time.Second

// holderUsable reports whether the holder of a head may be queried.
func (m *Manager) holderUsable(k *knownHead) bool {
	maxAge := maxHolderAge
	if m.sharedView() {
		maxAge = maxHolderAgeShared
	}
	return k.head.Holder != (Holder{}) && time.Since(k.holderFailedAt) > holderRetryDelay && time.Since(k.at) < maxAge
}

// rememberHead remembers a head that was read from the object store, by this node or
// another one. readAt is when this node began to read it, or zero if the head may be older
// than this node can tell.
func (m *Manager) rememberHead(id string, head Head, revision int64, readAt time.Time) {
	head.Inline = nil // large, and only the holder needs it
	m.mu.Lock()
	defer m.mu.Unlock()
	old, ok := m.heads[id]
	if ok && old.fromStore && old.revision > revision {
		return
	}
	known := knownHead{head: head, revision: revision, at: time.Now(), readAt: readAt, fromStore: true}
	if ok && old.revision == revision && old.readAt.After(readAt) {
		known.readAt = old.readAt
	}
	if ok && old.head.Holder == head.Holder {
		known.holderFailedAt = old.holderFailedAt
	}
	m.heads[id] = known
}

// knownHead returns what this node remembers of the head of a job that it does not hold.
func (m *Manager) knownHead(id string) (knownHead, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.heads[id]
	return known, ok
}

// markHolderFailed records that the holder of a job did not respond.
func (m *Manager) markHolderFailed(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known, ok := m.heads[id]; ok {
		known.holderFailedAt = time.Now()
		m.heads[id] = known
	}
}

const (
	// locateTimeout bounds a request to the node that reads heads for this data centre. The
	// object store answers that node within milliseconds, and if the node is unresponsive,
	// there must be time left to read the object store.
	locateTimeout = 400 * time.Millisecond
	// headReuse is how long a head that was just read from the object store answers further
	// requests, so that reads at the same moment cost one call. Together with locateTimeout
	// it stays below one second, within which a result that was read once must be readable
	// at every node.
	headReuse = 500 * time.Millisecond
)

// locate returns the head of a job: through the node that reads heads for this data centre,
// or from the object store. Unless fresh is set, the head may be seconds old: it names the
// holder, and the results that it lists are listed, but more may be listed by now. Errors:
// errkind.NotFound, errkind.PlatformUnavailable if neither source gave an answer.
func (m *Manager) locate(ctx context.Context, id string, fresh bool) (Head, error) {
	address := m.Peers.Locator(id)
	if address == "" {
		return m.findHead(ctx, id, fresh)
	}
	locateCtx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	resp, err := m.Peers.Job(address).Locate(locateCtx, &v1.LocateRequest{Job: id, Fresh: fresh})
	if err != nil || resp.Outcome == v1.LocateResponse_UNSURE {
		return m.readHeadShared(ctx, id) // that node did not respond, or could not read the object store
	}
	if resp.Outcome == v1.LocateResponse_ABSENT {
		return Head{}, errNoJob(id)
	}
	head, err := decode[Head](resp.Head)
	if err != nil {
		return Head{}, errkind.Internal.New("the head of job %s cannot be decoded: %v", id, err)
	}
	m.rememberHead(id, head, resp.Revision, time.Time{})
	return head, nil
}

func errNoJob(id string) error { return errkind.NotFound.New("no job %s", id) }

// findHead returns the head of a job from memory if that is recent enough, otherwise from
// the object store. A node that has just started first lists all heads, which costs less
// than reading them one by one.
func (m *Manager) findHead(ctx context.Context, id string, fresh bool) (Head, error) {
	known, ok := m.knownHead(id)
	if !fresh && !ok && !m.headsListed.Load() {
		m.listHeadsOnce(ctx)
		known, ok = m.knownHead(id)
	}
	if ok && m.canAnswer(&known, fresh) {
		return known.head, nil
	}
	return m.readHeadShared(ctx, id)
}

// listHeadsOnce lists the heads of all jobs. Concurrent callers share one list call.
func (m *Manager) listHeadsOnce(ctx context.Context) {
	result := m.headReads.DoChan(listKey, func() (any, error) {
		limited, cancel := context.WithTimeout(context.Background(), headReadTimeout)
		defer cancel()
		_, err := m.listHeads(limited)
		return nil, err
	})
	select {
	case <-ctx.Done():
	case <-result: // if the list failed, the caller reads the head of its job
	}
}

// listKey is the key of the list call in headReads; no job has an empty ID.
const listKey = ""

// listedHead is a head from a list, with its revision.
type listedHead struct {
	Head
	revision int64
}

// listHeads returns the heads of all jobs, which may be some seconds old, and remembers
// those that are newer than what this node knew.
func (m *Manager) listHeads(ctx context.Context) (map[string]listedHead, error) {
	page, err := m.Store.ListStale(ctx, KindHeads)
	if err != nil {
		return nil, err
	}
	heads := make(map[string]listedHead, len(page.Objects))
	for _, o := range page.Objects {
		head, err := decode[Head](o.Value)
		if err != nil {
			m.Recorder.Record(timeline.ObjectRejected, o.Name, KindHeads, err.Error())
			continue
		}
		m.rememberListedHead(o.Name, head, o.Revision)
		heads[o.Name] = listedHead{head, o.Revision}
	}
	m.headsListed.Store(true)
	return heads, nil
}

// readHeadShared reads the head of a job from the object store. Concurrent calls share one
// read, unless it finds no job: that may have been accepted after the shared read was sent.
func (m *Manager) readHeadShared(ctx context.Context, id string) (Head, error) {
	result := m.headReads.DoChan(id, func() (any, error) { return m.readHead(id) })
	select {
	case <-ctx.Done():
		return Head{}, errkind.PlatformUnavailable.New("the object store has not answered in time")
	case r := <-result:
		if r.Shared && errors.Is(r.Err, objects.ErrNotFound) {
			r.Val, r.Err = m.readHead(id)
		}
		switch {
		case errors.Is(r.Err, objects.ErrNotFound):
			return Head{}, errNoJob(id)
		case r.Err != nil:
			return Head{}, errkind.PlatformUnavailable.New("the object store does not answer: %v", r.Err)
		}
		return r.Val.(Head), nil
	}
}

// readHead returns the head of a job that was read from the object store just now, by this
// call or by another one.
func (m *Manager) readHead(id string) (Head, error) {
	if known, ok := m.knownHead(id); ok && known.recentlyRead() {
		return known.head, nil
	}
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), headReadTimeout)
	defer cancel()
	head, o, err := m.getHead(ctx, callbudget.Commit, id)
	if err == nil {
		m.rememberHead(id, head, o.Revision, started)
	}
	return head, err
}

// headReadTimeout bounds one shared read of a head, including its relay through other
// nodes.
const headReadTimeout = 1500 * time.Millisecond

// Locate returns the head of a job.
func (s PeerService) Locate(ctx context.Context, req *v1.LocateRequest) (*v1.LocateResponse, error) {
	m := s.m
	_, err := m.findHead(ctx, req.Job, req.Fresh)
	switch {
	case err == nil:
	case errorx.IsOfType(err, errkind.NotFound):
		return &v1.LocateResponse{Outcome: v1.LocateResponse_ABSENT}, nil
	default:
		return &v1.LocateResponse{}, nil
	}
	known, ok := m.knownHead(req.Job)
	if !ok || !known.fromStore {
		return &v1.LocateResponse{}, nil // pruned meanwhile
	}
	return foundResponse(&known.head, known.revision), nil
}

func foundResponse(head *Head, revision int64) *v1.LocateResponse {
	return &v1.LocateResponse{Outcome: v1.LocateResponse_FOUND, Head: encode(head), Revision: revision}
}

// recentlyRead reports whether this node read the head from the object store so recently
// that it counts as current.
func (k *knownHead) recentlyRead() bool { return time.Since(k.readAt) < headReuse }

// canAnswer reports whether the head is recent enough that the object store need not be
// read again.
func (m *Manager) canAnswer(k *knownHead, fresh bool) bool {
	switch {
	case !k.fromStore:
		return false
	case k.head.Complete(), k.recentlyRead():
		return true
	}
	return !fresh && m.holderUsable(k)
}
