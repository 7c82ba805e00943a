package job

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/process/wait"
)

// Page is a part of a job's results, from a position on.
type Page struct {
	Total   int
	Results []Result
}

const (
	// pageBytes bounds the encoded size of one page; a larger single result is sent alone.
	pageBytes = 900 << 10
	// maxHolderAge is how long a remembered head is trusted to name the holder.
	maxHolderAge = 10 * time.Second
	// maxHolderAgeShared is the same with the shared view on: most jobs end before. A node
	// that takes a job over announces it to all nodes for announceTakeoverDuration.
	maxHolderAgeShared = 30 * time.Second
	// rereadInterval is the minimum time between two reads of a job without a holder while
	// a caller waits: there are no new results until a node takes the job over, and the
	// caller repeats its request anyway.
	rereadInterval = 900 * time.Millisecond
	// holderResponseTimeout is the time for the response of a holder, in addition to the
	// time that it may wait for results.
	holderResponseTimeout = 300 * time.Millisecond
)

// Read returns results from position after on. If there are none yet, it waits for up to
// waitFor. Errors: errkind.NotFound if there is no such job, errkind.PlatformUnavailable if
// this node cannot determine its state.
func (m *Manager) Read(ctx context.Context, id string, after int, waitFor time.Duration) (Page, error) {
	until := time.Now().Add(waitFor)
	for {
		page, changed, err := m.readHeld(ctx, id, after)
		if err == nil || !errors.Is(err, errNotHolder) {
			if err != nil || len(page.Results) > 0 || after >= page.Total || !waitChange(ctx, changed, until) {
				return page, err
			}
			continue
		}
		page, err = m.readRemote(ctx, id, after, time.Until(until))
		if err != nil || len(page.Results) > 0 || after >= page.Total || !time.Now().Before(until) {
			return page, err
		}
		if !wait.For(ctx, min(rereadInterval, time.Until(until))) {
			return page, nil
		}
	}
}

// waitChange waits for changed to be closed, and reports whether it was before the time
// until.
func waitChange(ctx context.Context, changed <-chan struct{}, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// errNotHolder means that this node does not hold the job.
var errNotHolder = errors.New("this node does not hold the job")

// readHeld reads from a job that this node holds.
func (m *Manager) readHeld(ctx context.Context, id string, after int) (Page, <-chan struct{}, error) {
	m.mu.Lock()
	h := m.held[id]
	if h == nil {
		m.mu.Unlock()
		return Page{}, nil, errNotHolder
	}
	head, changed := h.head, h.changed
	m.mu.Unlock()
	page, err := m.page(ctx, id, &head, after)
	return page, changed, err
}

// readRemote reads from a job that this node does not hold: from memory, from the holder,
// or from the object store.
func (m *Manager) readRemote(ctx context.Context, id string, after int, waitFor time.Duration) (Page, error) {
	known, ok := m.knownHead(id)
	if ok && known.fromStore && (known.head.Listed() > after || known.head.Complete()) {
		return m.remotePage(ctx, id, &known.head, after)
	}
	if results, total := m.results.from(id, after); len(results) > 0 {
		return Page{Total: total, Results: limitToPage(results)}, nil
	}
	if ok && m.holderUsable(&known) {
		page, err := m.pollHolder(ctx, id, &known.head, after, waitFor)
		if err == nil || errkind.Is(err, errkind.Overloaded) {
			return page, err
		}
		m.markHolderFailed(id)
	}
	return m.readLocated(ctx, id, after, waitFor, known.head.Holder)
}

// readLocated reads from a job whose last known holder, if any, did not respond: from the
// current holder, or the results that the object store lists now.
func (m *Manager) readLocated(ctx context.Context, id string, after int, waitFor time.Duration, lastKnown Holder) (Page, error) {
	if lastKnown == (Holder{}) {
		head, err := m.locate(ctx, id, false)
		if err != nil {
			return Page{}, err
		}
		if head.Listed() > after || head.Complete() {
			return m.remotePage(ctx, id, &head, after)
		}
		page, err := m.pollHolder(ctx, id, &head, after, waitFor)
		if err == nil || errkind.Is(err, errkind.Overloaded) {
			return page, err
		}
		m.markHolderFailed(id)
	}
	head, err := m.locate(ctx, id, true)
	if err != nil {
		return Page{}, err
	}
	return m.remotePage(ctx, id, &head, after)
}

// remotePage returns results that the head of another node's job lists. Results that are
// not cached here are requested from the holder first, which usually still caches them.
func (m *Manager) remotePage(ctx context.Context, id string, head *Head, after int) (Page, error) {
	if after >= head.Listed() || m.results.has(id, after) {
		return m.page(ctx, id, head, after)
	}
	if page, err := m.queryListed(ctx, id, head, after); err == nil && len(page.Results) > 0 {
		return page, nil
	}
	return m.page(ctx, id, head, after)
}

// queryListed requests results that are listed from the holder of a job.
func (m *Manager) queryListed(ctx context.Context, id string, head *Head, after int) (Page, error) {
	end, err := m.reads.begin(ctx, min(pageBytes, m.segmentSize(head, after)))
	if err != nil {
		return Page{}, err
	}
	defer end()
	return m.queryHolder(ctx, m.Peers.Job, id, head, after, 0)
}

// pollHolder asks the holder of a job to wait for results. Large ones are requested again, within the
// memory for reads; if many callers wait already, the holder is asked for what it has now.
func (m *Manager) pollHolder(ctx context.Context, id string, head *Head, after int, waitFor time.Duration) (Page, error) {
	if m.reads.polls.TryAcquire(1) {
		page, err := m.queryHolder(ctx, m.Peers.Poll, id, head, after, waitFor)
		m.reads.polls.Release(1)
		if connect.CodeOf(err) != connect.CodeResourceExhausted {
			return page, err
		}
	}
	return m.queryListed(ctx, id, head, after)
}

// queryHolder requests results from the holder of a job.
func (m *Manager) queryHolder(ctx context.Context, client func(address string) marblepondv1connect.JobServiceClient, id string, head *Head, after int, waitFor time.Duration) (Page, error) {
	if head.Holder == (Holder{}) || head.Holder.Node == m.cfg.Self.Node {
		return Page{}, errNotHolder
	}
	waitFor = max(0, waitFor)
	ctx, cancel := context.WithTimeout(ctx, waitFor+holderResponseTimeout)
	defer cancel()
	resp, err := client(head.Holder.Address).Results(ctx, &v1.ResultsRequest{Job: id, After: uint32(after), WaitMs: uint32(waitFor.Milliseconds())})
	if err != nil {
		return Page{}, err
	}
	if !resp.Known {
		return Page{}, errNotHolder
	}
	page := Page{Total: int(resp.Total)}
	for _, r := range resp.Results {
		page.Results = append(page.Results, Result{Item: r.Item, Dead: r.Dead, Text: string(r.Text)})
	}
	m.cacheResults(id, after, page.Results)
	m.results.setTotal(id, page.Total)
	return page, nil
}

// Results returns results of a job that this node holds, or held until it was complete.
func (s PeerService) Results(ctx context.Context, req *v1.ResultsRequest) (*v1.ResultsResponse, error) {
	m := s.m
	until := time.Now().Add(time.Duration(req.WaitMs) * time.Millisecond)
	for {
		page, changed, err := m.readHeld(ctx, req.Job, int(req.After))
		if errors.Is(err, errNotHolder) {
			page, err = m.readFinished(ctx, req.Job, int(req.After))
			changed = nil
		}
		if errors.Is(err, errNotHolder) {
			return &v1.ResultsResponse{}, nil
		}
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		if len(page.Results) > 0 || int(req.After) >= page.Total || changed == nil || !waitChange(ctx, changed, until) {
			resp := &v1.ResultsResponse{Known: true, Total: uint32(page.Total)}
			for _, r := range page.Results {
				resp.Results = append(resp.Results, &v1.JobResult{Item: r.Item, Dead: r.Dead, Text: []byte(r.Text)})
			}
			return resp, nil
		}
	}
}

// readFinished reads from a job that this node held until it was complete.
func (m *Manager) readFinished(ctx context.Context, id string, after int) (Page, error) {
	known, ok := m.knownHead(id)
	if !ok || !known.fromStore || !known.head.Complete() {
		return Page{}, errNotHolder
	}
	return m.page(ctx, id, &known.head, after)
}

// page returns the results that a head lists from a position on. Results that are not
// cached are read from the object store.
func (m *Manager) page(ctx context.Context, id string, head *Head, after int) (Page, error) {
	page := Page{Total: head.Total}
	if after >= head.Listed() {
		return page, nil
	}
	if results, _ := m.results.from(id, after); len(results) > 0 {
		page.Results = limitToPage(results[:min(len(results), head.Listed()-after)])
		return page, nil
	}
	first := 0
	for _, s := range head.Segments {
		if after < first+len(s.Items) {
			end, err := m.reads.begin(ctx, m.segmentSize(head, after))
			if err != nil {
				return Page{}, err
			}
			defer end()
			stored, err := m.readSegment(ctx, s)
			if err != nil {
				return Page{}, err
			}
			results := make([]Result, len(stored))
			for i := range stored {
				results[i] = stored[i].result()
			}
			m.cacheResults(id, first, results)
			m.results.setTotal(id, head.Total)
			page.Results = limitToPage(results[after-first:])
			return page, nil
		}
		first += len(s.Items)
	}
	return page, nil
}

// cacheResults caches listed results.
func (m *Manager) cacheResults(id string, first int, results []Result) {
	conflict := m.results.put(id, first, results)
	m.Checker.Assert(conflict < 0, invariant.ResultPositionUnchanged, id, "", "position %d had another result", conflict)
}

// limitToPage cuts a list of results to the size of a page, but keeps at least one.
func limitToPage(results []Result) []Result {
	sum := 0
	for i, r := range results {
		sum += r.encodedSize()
		if i > 0 && sum > pageBytes {
			return results[:i]
		}
	}
	return results
}

// Body returns the body of an item. Errors: errkind.NotFound, errkind.PlatformUnavailable
// if this node cannot determine the state of the job.
func (m *Manager) Body(ctx context.Context, id, item string) ([]byte, error) {
	m.mu.Lock()
	h := m.held[id]
	m.mu.Unlock()
	known, isKnown := m.knownHead(id)
	if h != nil {
		return findBody(h.items, id, item)
	}
	end, err := m.reads.begin(ctx, m.itemsSize(&known.head))
	if err != nil {
		return nil, err
	}
	defer end()
	if isKnown && m.holderUsable(&known) {
		body, found, err := m.queryBody(ctx, &known.head, id, item)
		if err == nil && found {
			return body, nil
		}
		if err == nil {
			return nil, errkind.NotFound.New("job %s has no item %s", id, item)
		}
	}
	head := known.head
	if !known.fromStore {
		if head, err = m.locate(ctx, id, false); err != nil {
			return nil, err
		}
	}
	if m.sharedView() && head.Parts == 0 && head.Complete() {
		return m.storedBody(ctx, id, &head, item)
	}
	if head.Parts == 0 {
		// The items are in the stored head; remembered heads do not contain them.
		head, _, err = m.getHead(ctx, callbudget.Commit, id)
		switch {
		case errors.Is(err, objects.ErrNotFound):
			return nil, errNoJob(id)
		case err != nil:
			return nil, errkind.PlatformUnavailable.New("the head of the job could not be read from the object store: %v", err)
		}
	}
	if m.sharedView() && head.Parts == 0 && head.Complete() { // completed since it was remembered
		return m.storedBody(ctx, id, &head, item)
	}
	items, err := m.getItems(ctx, id, &head)
	if err != nil {
		return nil, errkind.PlatformUnavailable.New("items could not be read from the object store: %v", err)
	}
	return findBody(items, id, item)
}

// storedBody returns the body of an item that is stored with its result.
func (m *Manager) storedBody(ctx context.Context, id string, head *Head, item string) ([]byte, error) {
	for _, s := range head.Segments {
		stored, err := m.readSegment(ctx, s)
		if err != nil {
			return nil, err
		}
		for i := range stored {
			if stored[i].Item == item && stored[i].Body != nil {
				return stored[i].Body, nil
			}
		}
	}
	return nil, errkind.NotFound.New("job %s has no item %s", id, item)
}

// queryBody requests the body of an item from the holder of its job.
func (m *Manager) queryBody(ctx context.Context, head *Head, id, item string) (body []byte, found bool, err error) {
	if head.Holder.Node == m.cfg.Self.Node {
		return nil, false, errNotHolder
	}
	ctx, cancel := context.WithTimeout(ctx, holderResponseTimeout)
	defer cancel()
	resp, err := m.Peers.Job(head.Holder.Address).Body(ctx, &v1.BodyRequest{Job: id, Item: item})
	if err != nil {
		return nil, false, err
	}
	if !resp.Held {
		return nil, false, errNotHolder
	}
	return resp.Body, resp.Found, nil
}

// Body returns the body of an item of a job that this node holds.
func (s PeerService) Body(_ context.Context, req *v1.BodyRequest) (*v1.BodyResponse, error) {
	s.m.mu.Lock()
	h := s.m.held[req.Job]
	s.m.mu.Unlock()
	if h == nil {
		return &v1.BodyResponse{}, nil
	}
	body, err := findBody(h.items, req.Job, req.Item)
	return &v1.BodyResponse{Held: true, Found: err == nil, Body: body}, nil
}

func findBody(items []Item, id, item string) ([]byte, error) {
	for i := range items {
		if items[i].ID == item {
			return items[i].Body, nil
		}
	}
	return nil, errkind.NotFound.New("job %s has no item %s", id, item)
}
