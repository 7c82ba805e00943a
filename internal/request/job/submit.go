package job

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/backlog"
	"github.com/marblepond/marblepond/internal/request/patience"
)

// responseMargin is the most time between the last retry of a write whose outcome is not known and
// the deadline of the response, for the response's way to the caller; responseMarginPart is the part
// of the caller's time that it takes at most.
const (
	responseMargin     = 200 * time.Millisecond
	responseMarginPart = 4
)

// Submit accepts a job: when it returns nil, the job is in the object store and this system
// is responsible for all of it. A job that was accepted before is accepted again. Errors
// are of errkind; only those that say so guarantee that nothing of the job runs.
func (m *Manager) Submit(ctx context.Context, s *Submission) error {
	err := m.submit(ctx, s)
	if err != nil {
		answer := errkind.Of(err)
		m.Recorder.Record(timeline.JobRefused, s.ID, "", errkind.Message(err), timeline.Field{Name: "kind", Value: answer.Name},
			timeline.Field{Name: "not_run", Value: string(answer.NotRun)}, timeline.Field{Name: "tokens", Value: s.Tokens()})
	}
	return err
}

func (m *Manager) submit(ctx context.Context, s *Submission) error {
	if err := s.Check(); err != nil {
		return errkind.Malformed.New("%v", err)
	}
	if m.isAccepted(s.ID) {
		return nil
	}
	if err := m.checkHeaders(s.Items); err != nil {
		return err
	}
	freeMemory, err := m.reserveMemory(s.Items)
	if err != nil {
		return err
	}
	defer freeMemory() // the held job counts by itself
	inline := m.fitsInline(s)
	left, attempt := time.Until(s.Deadline), m.submissionTime(inline)
	if !patience.Fits(left, attempt) {
		return storeAway(s, attempt, fmt.Errorf("storing it takes %v, and its caller waits for %v", attempt, left))
	}
	ctx, cancel := context.WithDeadline(ctx, s.Deadline.Add(-min(responseMargin, left/responseMarginPart)))
	defer cancel()
	reserving, stop := context.WithTimeout(ctx, patience.Wait(left, 0))
	release, err := m.reserve(reserving, s)
	stop()
	switch {
	case errkind.Is(err, errkind.PlatformUnavailable):
		return storeAway(s, attempt, err)
	case err != nil:
		return err
	}
	defer release()
	waitUntil := time.Now().Add(patience.Wait(time.Until(s.Deadline), attempt)) // a new owner of the backlog may take long
	if inline {
		return m.writeHead(ctx, s, newHead(s, 0, s.Items), waitUntil)
	}
	parts, err := m.writeItems(ctx, s, waitUntil, attempt)
	switch {
	case errors.Is(err, objects.ErrRejected):
		return errJobTooLarge()
	case err != nil:
		return storeAway(s, attempt, errItemsNotStored(err))
	}
	return m.writeHead(ctx, s, newHead(s, parts, nil), waitUntil)
}

// errItemsNotStored is the refusal of a job whose items may be stored in part. Nothing of it runs, as
// its head is not written.
func errItemsNotStored(cause error) error {
	return fmt.Errorf("the job is not accepted and not run: storing its items: %w", cause)
}

const (
	// maxInlineBytes is the maximum size of the items in a head. Every node reads the heads
	// of all jobs from time to time, and a job moves its items out of its head with the
	// first commit, a few seconds after it was accepted.
	maxInlineBytes = 48 << 10
	// maxKeptInlineBytes is the maximum size of the items that stay in a head until the job
	// is complete, with the shared view on: the sweepers read the heads of all jobs.
	maxKeptInlineBytes = 16 << 10
)

// fitsInline reports whether to accept a job with one write: it is small, and two writes, one after
// the other, would miss the route's objective for the response, or the shared view is on and the
// object store answers. Otherwise, and while the object store does not answer, two writes are better:
// if the first one, of the items, fails, the caller can be assured that nothing of the job runs.
func (m *Manager) fitsInline(s *Submission) bool {
	took := m.StoreLatency()
	if took > 0 && m.sharedView() && inlineBytes(s.Items) <= min(maxKeptInlineBytes, m.cfg.MaxValueBytes*valueFillPercent/100) {
		return true
	}
	if took == 0 || s.Route.Objective <= 0 || 2*took < s.Route.Objective {
		return false
	}
	return inlineBytes(s.Items) <= maxInlineBytes
}

// inlineBytes estimates the encoded size of items.
func inlineBytes(items []Item) int {
	size := 0
	for i := range items {
		size += itemSize(items[i]) + encodingOverhead
	}
	return size
}

func newHead(s *Submission, parts int, inline []Item) *Head {
	return &Head{Workspace: s.Workspace, Host: s.Host, Path: s.Path, Submitted: s.Arrived.UnixMilli(), Total: len(s.Items), Parts: parts, Waiting: s.Tokens(), Inline: inline, Epoch: 1}
}

// isAccepted reports whether this node knows that a job was accepted.
func (m *Manager) isAccepted(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heads[id].fromStore || m.held[id] != nil
}

// reserve counts the job's tokens against the limit on waiting tokens of its workspace and
// route over all nodes.
func (m *Manager) reserve(ctx context.Context, s *Submission) (release func(), err error) {
	key := backlog.Key{Route: s.Route.Name, Workspace: s.Workspace}
	add := func() { m.addReserved(key, s.Tokens()) }
	release = func() { m.addReserved(key, -s.Tokens()) }
	if s.Route.TokenCap <= 0 {
		add()
		return release, nil
	}
	if err = m.Backlogs.Reserve(ctx, key, s.Tokens(), s.Route.TokenCap, add); err == nil {
		return release, nil
	}
	switch _, _, headErr := m.getHead(ctx, callbudget.Commit, s.ID); {
	case headErr == nil:
		return func() {}, nil // accepted before; the write of the head will find it
	case !errors.Is(headErr, objects.ErrNotFound):
		return nil, errkind.PlatformUnavailable.New("the job cannot be accepted now, and whether it was accepted before is not known")
	}
	return nil, err
}

// addReserved adds to the tokens of submissions in progress.
func (m *Manager) addReserved(key backlog.Key, tokens int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reserved[key] += tokens
	if m.reserved[key] == 0 {
		delete(m.reserved, key)
	}
}

// writeItems stores the items and returns the number of their objects. It gives up at the time
// waitUntil, but not before the time that an attempt usually takes has passed.
func (m *Manager) writeItems(ctx context.Context, s *Submission, waitUntil time.Time, attempt time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, max(time.Until(waitUntil), attempt))
	defer cancel()
	return m.storeItemsBy(s.ID, s.Items, func(name string, value []byte) error {
		_, _, err := m.createBy(ctx, waitUntil, KindItems, name, value)
		return err
	})
}

// storeItems writes the items of a job to objects of their own and returns the number of
// these. Existing ones are left, because their content is the same.
func (m *Manager) storeItems(ctx context.Context, id string, items []Item) (int, error) {
	return m.storeItemsBy(id, items, func(name string, value []byte) error {
		_, _, err := m.create(ctx, KindItems, name, value)
		return err
	})
}

// storeItemsBy writes the items of a job with a function that creates an object.
func (m *Manager) storeItemsBy(id string, items []Item, create func(name string, value []byte) error) (int, error) {
	values := m.encodeItems(items)
	for _, value := range values {
		if len(value) > m.largestValue() {
			return 0, fmt.Errorf("%w: an item of %d bytes", objects.ErrRejected, len(value))
		}
	}
	errs := make([]error, len(values))
	var wg sync.WaitGroup
	for n, value := range values {
		wg.Go(func() { errs[n] = create(partName(id, n), value) })
	}
	wg.Wait()
	return len(values), errors.Join(errs...)
}

// encodeItems returns the values of a job's KindItems objects. They are the same at every node,
// because each of them may write some: nodes agree on the estimate, which is replaced by the
// measured size only if an object would be too large by it.
func (m *Manager) encodeItems(items []Item) [][]byte {
	limit := m.cfg.MaxValueBytes * valueFillPercent / 100
	var values [][]byte
	fits := true
	for _, part := range split(items, limit, itemSize) {
		value := encode(part)
		fits = fits && len(value) <= m.largestValue()
		values = append(values, value)
	}
	if fits {
		return values
	}
	entries := make([][]byte, len(items))
	for i := range items {
		entries[i] = encode(items[i])
	}
	values = values[:0]
	for len(entries) > 0 {
		n, value := pack(entries, limit)
		values, entries = append(values, value), entries[n:]
	}
	return values
}

// largestValue is the size up to which the object store accepts a value.
func (m *Manager) largestValue() int { return m.cfg.MaxValueBytes - objectOverheadBytes }

// writeHead accepts the job by writing its head. It gives up at the time waitUntil if no write can
// have taken effect, and otherwise when ctx ends.
func (m *Manager) writeHead(ctx context.Context, s *Submission, head *Head, waitUntil time.Time) error {
	head.Holder, head.Keepers, head.Writer = m.cfg.Self, m.chooseKeepers(s.ID, nil), newToken()
	o, existed, err := m.createBy(ctx, waitUntil, KindHeads, s.ID, encode(head))
	switch {
	case errors.Is(err, errOutcomeUnknown):
		return errkind.UnknownOutcome.New("whether the job was accepted is not known; send it again")
	case errors.Is(err, objects.ErrRejected):
		return errJobTooLarge()
	case err != nil:
		return storeAway(s, m.writeTime(), fmt.Errorf("the object store did not accept the job: %w", err))
	case existed:
		return m.acceptExisting(ctx, s, head)
	}
	m.startAccepted(s, *head, o.Revision, "accepted")
	return nil
}

// errJobTooLarge is the refusal of a job that the object store will not accept, however often it
// is sent.
func errJobTooLarge() error {
	return errkind.TooLarge.New("the job is not accepted: the object store does not take an object of its size")
}

// startAccepted records that a job was accepted and starts to run it.
func (m *Manager) startAccepted(s *Submission, head Head, revision int64, why string) {
	m.Recorder.Record(timeline.JobAccepted, s.ID, "", "", timeline.Field{Name: "items", Value: head.Total},
		timeline.Field{Name: "tokens", Value: s.Tokens()}, timeline.Field{Name: "took_ms", Value: time.Since(s.Arrived).Milliseconds()})
	m.startHeldJob(s.ID, head, revision, s.Items, nil, why)
}

// acceptExisting handles a submission whose head already exists: written by another node,
// or by this one in a write whose response was lost.
func (m *Manager) acceptExisting(ctx context.Context, s *Submission, written *Head) error {
	head, o, err := m.getHead(ctx, callbudget.Commit, s.ID)
	if err == nil && head.Writer == written.Writer {
		m.startAccepted(s, head, o.Revision, "accepted; the response of the object store was lost")
		return nil
	}
	if err == nil {
		m.rememberHead(s.ID, head, o.Revision, time.Time{})
	}
	return nil // the head exists, whichever node holds the job
}
