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
)

// responseMargin is the time between the last retry of a write and the deadline of the
// response.
const responseMargin = 200 * time.Millisecond

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
	ctx, cancel := context.WithDeadline(ctx, s.Deadline.Add(-responseMargin))
	defer cancel()
	returning := m.observeTimeLimit(s)
	release, err := m.reserve(ctx, s)
	if err != nil {
		return err
	}
	defer release()
	reserved := time.Now() // a new owner of the backlog may take longer than the response objective
	if m.sharedView() {
		return m.submitWaiting(ctx, s, waitLimit(s, reserved, returning))
	}
	if m.fitsInline(s) {
		return m.submitInline(ctx, s, reserved)
	}
	parts, err := m.writeItems(ctx, s, reserved)
	switch {
	case errors.Is(err, objects.ErrRejected):
		return errJobTooLarge()
	case err != nil:
		return errItemsNotStored(err)
	}
	return m.writeHead(ctx, s, newHead(s, parts, nil))
}

// errItemsNotStored is the refusal of a job whose items may be stored in part. Nothing of it runs, as
// its head is not written.
func errItemsNotStored(cause error) error {
	return errkind.PlatformUnavailable.New("the job is not accepted and not run: storing its items: %v", cause)
}

const (
	// maxInlineBytes is the maximum size of the items in a head. Every node reads the heads
	// of all jobs from time to time, and a job moves its items out of its head with the
	// first commit, a few seconds after it was accepted.
	maxInlineBytes = 48 << 10
	// maxKeptInlineBytes is the maximum size of the items that stay in a head until the job
	// is complete, with the shared view on: the sweepers read the heads of all jobs.
	maxKeptInlineBytes = 16 << 10
	// slowWritesShare is the share of the response objective from which on two writes, one
	// after the other, are expected to miss it.
	slowWritesShare = 0.8
	// inlineTimeoutObjectives is the timeout of a single write, as a multiple of the
	// response objective, after which the caller is told that the outcome is unknown.
	inlineTimeoutObjectives = 2
)

// fitsInline reports whether to accept a job with one write: it is small, and two writes
// would take too long, or the shared view is on and the object store answers. Otherwise, and
// while the object store does not answer, two writes are better: if the first one, of the
// items, fails, the caller can be assured that nothing of the job runs.
func (m *Manager) fitsInline(s *Submission) bool {
	took := m.StoreLatency()
	if took > 0 && m.sharedView() && inlineBytes(s.Items) <= min(maxKeptInlineBytes, m.cfg.MaxValueBytes*valueFillPercent/100) {
		return true
	}
	if took == 0 || s.Route.Objective <= 0 || float64(2*took) < slowWritesShare*float64(s.Route.Objective) {
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

// submitInline writes the head with the items in it. This takes half the time of two
// writes, which decides whether a job is accepted within the objective when the object
// store is slow. reserved is when the job's tokens were reserved.
func (m *Manager) submitInline(ctx context.Context, s *Submission, reserved time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, reserved.Add(inlineTimeoutObjectives*s.Route.Objective))
	defer cancel()
	return m.writeHead(ctx, s, newHead(s, 0, s.Items))
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

// writeItems stores the items and returns the number of their objects. It gives up once the
// response objective has passed since the job's tokens were reserved: another node may reach the
// object store, and the caller is told to retry.
func (m *Manager) writeItems(ctx context.Context, s *Submission, reserved time.Time) (int, error) {
	if s.Route.Objective > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, reserved.Add(s.Route.Objective))
		defer cancel()
	}
	return m.storeItems(ctx, s.ID, s.Items)
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

// writeHead accepts the job by writing its head.
func (m *Manager) writeHead(ctx context.Context, s *Submission, head *Head) error {
	return m.writeHeadBy(ctx, s, head, func(value []byte) (objects.Object, bool, error) {
		return m.create(ctx, KindHeads, s.ID, value)
	})
}

// writeHeadBy accepts the job by writing its head with a function that returns what create
// returns.
func (m *Manager) writeHeadBy(ctx context.Context, s *Submission, head *Head, create func(value []byte) (objects.Object, bool, error)) error {
	head.Holder, head.Keepers, head.Writer = m.cfg.Self, m.chooseKeepers(s.ID, nil), newToken()
	o, existed, err := create(encode(head))
	switch {
	case errors.Is(err, errOutcomeUnknown):
		return errkind.UnknownOutcome.New("whether the job was accepted is not known; send it again")
	case errors.Is(err, objects.ErrRejected):
		return errJobTooLarge()
	case err != nil:
		return errkind.PlatformUnavailable.New("the object store did not accept the job: %v", err)
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
