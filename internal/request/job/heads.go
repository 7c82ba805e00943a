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

// knownHead is a head that another node holds, or that needs no more work.
type knownHead struct {
	head           Head
	revision       int64
	at             time.Time // when this node learned it; it may have been older then
	readAt         time.Time // when the store was asked for it; zero: it came from a list or another node
	holderFailedAt time.Time // when its holder was last found not to answer
	fromStore      bool      // head is what the store held; else only its holder is known
}

// holderRetryDelay is how long a holder that did not answer is not asked again.
const holderRetryDelay = 2 * time.Second

// holderUsable reports whether the holder may be asked.
func (k *knownHead) holderUsable() bool {
	return k.head.Holder != (Holder{}) && time.Since(k.holderFailedAt) > holderRetryDelay && time.Since(k.at) < maxHolderAge
}

// rememberHead keeps a head that the store held. readAt is when the store was asked for
// it, zero when the head may be older than this node can tell.
func (m *Manager) rememberHead(id string, head Head, revision int64, readAt time.Time) {
	head.Inline = nil // of no use without its holder, and large
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

// knownHead returns what this node knows of a job that it does not hold.
func (m *Manager) knownHead(id string) (knownHead, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.heads[id]
	return known, ok
}

func (m *Manager) markHolderFailed(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known, ok := m.heads[id]; ok {
		known.holderFailedAt = time.Now()
		m.heads[id] = known
	}
}

const (
	// locateTimeout bounds a question to the node that looks heads up: the store
	// answers it in milliseconds, and a silent node must leave time to ask the
	// store.
	locateTimeout = 400 * time.Millisecond
	// headReuse is how long a head that was just looked up answers further
	// questions: reads that come at the same moment cost one call. Together with
	// locateTimeout it stays below the second within which what was read once has
	// to be readable everywhere.
	headReuse = 500 * time.Millisecond
)

// locate finds the head of a job: through the node of this data centre that
// looks it up for all others, or in the store itself. A head that is not fresh
// may be seconds old: it names the holder, and what it lists is listed, but it
// cannot tell that nothing more is. Errors: errkind.NotFound,
// errkind.PlatformUnavailable when this node cannot be sure.
func (m *Manager) locate(ctx context.Context, id string, fresh bool) (Head, error) {
	address := m.Peers.Locator(id)
	if address == "" {
		return m.findHead(ctx, id, fresh)
	}
	asked, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	resp, err := m.Peers.Job(address).Locate(asked, &v1.LocateRequest{Job: id, Fresh: fresh})
	if err != nil || resp.Outcome == v1.LocateResponse_UNSURE {
		return m.readHeadShared(ctx, id) // that node is away, or the store turns it away
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

// findHead returns the head of a job from memory where that serves, or from the
// store. A node that has just started lists all heads first: that costs less
// than the questions for each of them.
func (m *Manager) findHead(ctx context.Context, id string, fresh bool) (Head, error) {
	known, ok := m.knownHead(id)
	if !fresh && !ok && !m.headsListed.Load() {
		m.listHeadsOnce(ctx)
		known, ok = m.knownHead(id)
	}
	if ok && known.canAnswer(fresh) {
		return known.head, nil
	}
	return m.readHeadShared(ctx, id)
}

// listHeadsOnce lists the heads of all jobs once; questions that come together
// share the list.
func (m *Manager) listHeadsOnce(ctx context.Context) {
	result := m.headReads.DoChan(listKey, func() (any, error) {
		limited, cancel := context.WithTimeout(context.Background(), headReadTimeout)
		defer cancel()
		_, err := m.listHeads(limited)
		return nil, err
	})
	select {
	case <-ctx.Done():
	case <-result: // without the list the job's own head is asked for
	}
}

// listKey names the list among the shared questions; no job has an empty ID.
const listKey = ""

// listHeads lists the heads of all jobs, as they were some seconds ago at most,
// and keeps what this node did not know.
func (m *Manager) listHeads(ctx context.Context) (map[string]Head, error) {
	page, err := m.Store.ListStale(ctx, KindHeads)
	if err != nil {
		return nil, err
	}
	heads := make(map[string]Head, len(page.Objects))
	for _, o := range page.Objects {
		head, err := decode[Head](o.Value)
		if err != nil {
			m.Recorder.Record(timeline.ObjectRejected, o.Name, KindHeads, err.Error())
			continue
		}
		m.rememberListedHead(o.Name, head, o.Revision)
		heads[o.Name] = head
	}
	m.headsListed.Store(true)
	return heads, nil
}

// readHeadShared reads the head of a job from the store. Questions that come together
// share one answer, except that a job is absent: it may have been accepted
// since the shared question was sent.
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

// readHead returns a head that was read just now, here or for another question.
func (m *Manager) readHead(id string) (Head, error) {
	if known, ok := m.knownHead(id); ok && known.recentlyRead() {
		return known.head, nil
	}
	asked := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), headReadTimeout)
	defer cancel()
	head, o, err := m.getHead(ctx, callbudget.Commit, id)
	if err == nil {
		m.rememberHead(id, head, o.Revision, asked)
	}
	return head, err
}

// headReadTimeout bounds one shared question to the store, with its way through
// other nodes.
const headReadTimeout = 1500 * time.Millisecond

// Locate implements the peers' service.
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
		return &v1.LocateResponse{}, nil // forgotten meanwhile
	}
	return foundResponse(&known.head, known.revision), nil
}

func foundResponse(head *Head, revision int64) *v1.LocateResponse {
	return &v1.LocateResponse{Outcome: v1.LocateResponse_FOUND, Head: encode(head), Revision: revision}
}

// recentlyRead reports whether the store was asked for the head so lately that it
// decides what the job has listed.
func (k *knownHead) recentlyRead() bool { return time.Since(k.readAt) < headReuse }

// canAnswer reports whether a head answers a question without another look into
// the store.
func (k *knownHead) canAnswer(fresh bool) bool {
	switch {
	case !k.fromStore:
		return false
	case k.head.Complete(), k.recentlyRead():
		return true
	}
	return !fresh && k.holderUsable()
}
