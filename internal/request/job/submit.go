package job

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/backlog"
)

// responseMargin is kept between the last try of a write and the deadline of the
// answer.
const responseMargin = 200 * time.Millisecond

// Submit accepts a job: when it returns nil, the job is in the object store
// and all of it is the system's to keep. A job that was accepted before is
// accepted again. Errors are of errkind; only those that say so promise that
// nothing of the job runs.
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
	release, err := m.reserve(ctx, s)
	if err != nil {
		return err
	}
	defer release()
	if m.fitsInline(s) {
		return m.submitInline(ctx, s)
	}
	parts, err := m.writeItems(ctx, s)
	if err != nil {
		return errkind.PlatformUnavailable.New("the object store does not take the job: %v", err)
	}
	return m.writeHead(ctx, s, newHead(s, parts, nil))
}

const (
	// maxInlineBytes is the most bytes of items that a head carries. Every node reads
	// the heads of all jobs now and then, and a job lets go of its items at the
	// first commit, a few seconds after it was accepted.
	maxInlineBytes = 48 << 10
	// slowWritesShare is the share of the objective of the answer from which on two
	// writes one after the other are taken to miss it.
	slowWritesShare = 0.8
	// inlineTimeoutObjectives is how long, in objectives of the answer, one write may take to
	// be answered before the caller is told that the outcome is not known.
	inlineTimeoutObjectives = 2
)

// fitsInline reports whether a job is to be accepted with one write: it is small,
// and two writes would take too long. Otherwise, and while the store does not
// answer, two are better: the first one, of the items, may be given up with the
// promise that nothing of the job runs.
func (m *Manager) fitsInline(s *Submission) bool {
	took := m.StoreLatency()
	if took == 0 || s.Route.Objective <= 0 || float64(2*took) < slowWritesShare*float64(s.Route.Objective) {
		return false
	}
	size := 0
	for i := range s.Items {
		size += itemSize(s.Items[i]) + encodingOverhead
	}
	return size <= maxInlineBytes
}

// submitInline writes the head with the items in it: half the time of two
// writes one after the other, which decides whether a job is accepted within the
// objective when the store is slow.
func (m *Manager) submitInline(ctx context.Context, s *Submission) error {
	ctx, cancel := context.WithDeadline(ctx, s.Arrived.Add(inlineTimeoutObjectives*s.Route.Objective))
	defer cancel()
	return m.writeHead(ctx, s, newHead(s, 0, s.Items))
}

func newHead(s *Submission, parts int, inline []Item) *Head {
	return &Head{Workspace: s.Workspace, Host: s.Host, Path: s.Path, Submitted: s.Arrived.UnixMilli(), Total: len(s.Items), Parts: parts, Inline: inline, Epoch: 1}
}

// isAccepted reports whether this node knows that a job was accepted.
func (m *Manager) isAccepted(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heads[id].fromStore || m.held[id] != nil
}

// reserve counts the job's tokens against what may wait of its workspace on the route,
// over all nodes.
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
		return func() {}, nil // accepted before; what follows finds the head
	case !errors.Is(headErr, objects.ErrNotFound):
		return nil, errkind.PlatformUnavailable.New("the job does not fit now, and whether it was accepted before is not known")
	}
	return nil, err
}

// addReserved counts tokens of submissions in progress.
func (m *Manager) addReserved(key backlog.Key, tokens int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reserved[key] += tokens
	if m.reserved[key] == 0 {
		delete(m.reserved, key)
	}
}

// writeItems stores the items and returns the number of parts. It gives up
// once the objective of the answer has passed: another node may reach the
// store, and the caller is told to ask again.
func (m *Manager) writeItems(ctx context.Context, s *Submission) (int, error) {
	if s.Route.Objective > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, s.Arrived.Add(s.Route.Objective))
		defer cancel()
	}
	return m.storeItems(ctx, s.ID, s.Items)
}

// storeItems puts the items of a job into objects of their own and returns their
// number. Those that are there already are left: they are the same.
func (m *Manager) storeItems(ctx context.Context, id string, items []Item) (int, error) {
	parts := split(items, m.cfg.MaxValueBytes*valueFillPercent/100, itemSize)
	errs := make([]error, len(parts))
	var wg sync.WaitGroup
	for n, part := range parts {
		wg.Go(func() { _, _, errs[n] = m.create(ctx, KindItems, partName(id, n), encode(part)) })
	}
	wg.Wait()
	return len(parts), errors.Join(errs...)
}

// valueFillPercent is the share in per cent of the store's largest value that an
// object is filled to; the rest is for the object's own fields and for
// characters that need escaping.
const valueFillPercent = 70

// writeHead makes the job accepted.
func (m *Manager) writeHead(ctx context.Context, s *Submission, head *Head) error {
	head.Holder, head.Keepers, head.Writer = m.cfg.Self, m.chooseKeepers(s.ID, nil), newToken()
	o, existed, err := m.create(ctx, KindHeads, s.ID, encode(head))
	switch {
	case errors.Is(err, errOutcomeUnknown):
		return errkind.UnknownOutcome.New("whether the job was accepted is not known; send it again")
	case err != nil:
		return errkind.PlatformUnavailable.New("the object store does not take the job: %v", err)
	case existed:
		return m.acceptExisting(ctx, s, head)
	}
	m.startAccepted(s, *head, o.Revision, "accepted")
	return nil
}

func (m *Manager) startAccepted(s *Submission, head Head, revision int64, why string) {
	m.Recorder.Record(timeline.JobAccepted, s.ID, "", "", timeline.Field{Name: "items", Value: head.Total},
		timeline.Field{Name: "tokens", Value: s.Tokens()}, timeline.Field{Name: "took_ms", Value: time.Since(s.Arrived).Milliseconds()})
	m.startHeldJob(s.ID, head, revision, s.Items, nil, why)
}

// acceptExisting answers a job whose head is there: by another node, or by
// this one when the answer to its write was lost.
func (m *Manager) acceptExisting(ctx context.Context, s *Submission, written *Head) error {
	head, o, err := m.getHead(ctx, callbudget.Commit, s.ID)
	if err == nil && head.Writer == written.Writer {
		m.startAccepted(s, head, o.Revision, "accepted; the answer of the store was lost")
		return nil
	}
	if err == nil {
		m.rememberHead(s.ID, head, o.Revision, time.Time{})
	}
	return nil // the head exists, whoever holds the job
}
