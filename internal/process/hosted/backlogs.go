package hosted

import (
	"context"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/singleflight"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/lending"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/request/backlog"
	"github.com/marblepond/marblepond/internal/request/job"
)

// backlogs limits the waiting tokens of batch items over all nodes: it reports this node's
// waiting tokens to the owners of the backlogs, requests reservations for jobs from them, and
// decides on reservations of the backlogs that this node owns. It implements job.Backlogs.
type backlogs struct {
	node *Node

	mu       sync.Mutex
	tracker  *backlog.Tracker
	sequence uint64
	reported map[backlog.Key]bool // backlogs for which the last report of this node was not 0
	// reserveLocks has a lock (a channel of capacity 1) for each backlog, held during a
	// reservation. Meanwhile no other reservation or report of the backlog is sent, so that
	// the owner never receives a report that includes a job before it has decided on it, nor
	// one with fewer tokens than it has accepted.
	reserveLocks map[backlog.Key]chan struct{}
	storedLists  singleflight.Group
}

func newBacklogs(n *Node) *backlogs {
	return &backlogs{node: n, tracker: backlog.New(n.clock.Now(), n.settings.AllowanceTolerance*newOwnerShare), reported: map[backlog.Key]bool{}, reserveLocks: map[backlog.Key]chan struct{}{}}
}

const (
	// newOwnerShare is the share of the tolerance that an owner may use before all holders
	// have reported to it; the rest is for a second change of owner.
	newOwnerShare = 0.5
	// reserveTimeout bounds one call to an owner, which takes some milliseconds.
	reserveTimeout = 200 * time.Millisecond
	// reserveDuration bounds a reservation with its retries: a new owner of a backlog decides
	// after 0.45 s, and before that the failure of the previous owner may have to be detected.
	reserveDuration = time.Second
	// reserveRetryInterval is the time between calls to an owner that cannot decide yet.
	reserveRetryInterval = 120 * time.Millisecond
	// storedListWait is how long a decision waits for the list of the stored jobs, which usually
	// takes some milliseconds, and storedListTimeout bounds the list.
	storedListWait    = 100 * time.Millisecond
	storedListTimeout = time.Second
	// maxUndecidedOwners is how many owners that cannot list the stored jobs are asked one after the
	// other: during an outage of the object store none can.
	maxUndecidedOwners = 4
)

// Reserve reserves a job's tokens at the owner of a backlog. If the job fits, it calls
// granted, which has to count the tokens on this node. The error is of errkind and means that
// the job does not run.
func (b *backlogs) Reserve(ctx context.Context, key backlog.Key, job, limit int64, granted func()) error {
	ctx, cancel := context.WithTimeout(ctx, reserveDuration)
	defer cancel()
	lock := b.reserveLock(key)
	select {
	case lock <- struct{}{}:
		defer func() { <-lock }()
	case <-ctx.Done():
		return errUnknownBacklog(key)
	}
	failed := map[string]bool{} // owners that did not respond, or cannot list the stored jobs
	undecided := 0              // of them, those that cannot list the stored jobs
	for ctx.Err() == nil {
		owner, answer, err := b.reserveOnce(ctx, key, job, limit, failed)
		if errors.Is(err, errNotListed) {
			undecided++
		}
		switch {
		case undecided >= maxUndecidedOwners && !b.node.SharedView() && !b.node.adapter.Health.Up():
			// With the shared view on, submissions wait for the store.
			return errUnknownBacklog(key) // the job could not be stored either
		case undecided >= maxUndecidedOwners:
			clear(failed)
			undecided = 0
		case err != nil:
			failed[owner] = true
			continue
		case answer.Verdict == v1.ReserveResponse_FITS:
			granted()
			return nil
		case answer.Verdict == v1.ReserveResponse_FULL:
			return errkind.RateLimited.New("%d tokens would wait on route %s; the limit is %d", answer.Waiting, key.Route, limit)
		}
		wait.For(ctx, reserveRetryInterval) // the loop checks ctx
	}
	return errUnknownBacklog(key)
}

func errUnknownBacklog(key backlog.Key) error {
	return errkind.PlatformUnavailable.New("the number of waiting tokens on route %s is not known now", key.Route)
}

// reserveLock returns the lock that is held during a reservation of a backlog.
func (b *backlogs) reserveLock(key backlog.Key) chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reserveLocks[key] == nil {
		b.reserveLocks[key] = make(chan struct{}, 1)
	}
	return b.reserveLocks[key]
}

// reserveOnce requests a reservation from the first reachable owner that has not failed. If
// there is none, this node decides.
func (b *backlogs) reserveOnce(ctx context.Context, key backlog.Key, job, limit int64, failed map[string]bool) (owner string, answer *v1.ReserveResponse, err error) {
	req := b.request(key, job, limit)
	owners := lendingFleet{b.node}.Owners(ownerName(key), func(node string) bool { return failed[node] })
	self := b.node.settings.NodeID
	if len(owners) == 0 || owners[0].Node == self {
		answer, err = b.decide(ctx, req)
		return self, answer, err
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	answer, err = b.node.peers.backlogs.at(b.addressOf(owners[0])).Reserve(ctx, req)
	if connect.IsWireError(err) { // the owner has answered
		err = errNotListed
	}
	return owners[0].Node, answer, err
}

func ownerName(key backlog.Key) string { return "backlog " + key.Route + " " + key.Workspace }

func (b *backlogs) addressOf(l lending.Lender) string { return b.node.registered()[l.Node].Address }

// request returns the request to reserve a job; its report includes the job's tokens.
func (b *backlogs) request(key backlog.Key, job, limit int64) *v1.ReserveRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	b.reported[key] = true
	return &v1.ReserveRequest{Node: b.node.settings.NodeID, Boot: b.node.boot, Sequence: b.sequence, Job: job, Limit: limit,
		Word: &v1.BacklogWord{Route: key.Route, Workspace: key.Workspace, Tokens: b.node.jobs.WaitingTokens()[key] + job, HandingOver: b.node.Leaving()}}
}

// decide decides on a reservation as the owner. If the stored jobs have to be listed first, it
// waits for that for a moment. If they cannot be listed, it returns errNotListed beside UNSURE: the
// object store may serve the next owner.
func (b *backlogs) decide(ctx context.Context, req *v1.ReserveRequest) (*v1.ReserveResponse, error) {
	resp, wantsStored := b.decideOnce(req)
	if !wantsStored {
		return resp, nil
	}
	listed := b.storedLists.DoChan("", func() (any, error) { return nil, b.listStored() })
	if resp.Verdict != v1.ReserveResponse_UNSURE {
		return resp, nil
	}
	if !b.node.adapter.Health.Up() {
		return resp, errNotListed // without a wait: the next owner may decide in time for the caller
	}
	timer := time.NewTimer(storedListWait)
	defer timer.Stop()
	select {
	case r := <-listed:
		if r.Err == nil {
			resp, _ = b.decideOnce(req)
			return resp, nil
		}
	case <-timer.C:
	case <-ctx.Done():
	}
	return resp, errNotListed
}

// decideOnce decides on a reservation from what this node knows, and reports whether the stored jobs
// have to be listed. While some data centres are unreachable, which may have owners of their own
// meanwhile, the limit is reduced to the share of the nodes that are in reachable data centres.
func (b *backlogs) decideOnce(req *v1.ReserveRequest) (resp *v1.ReserveResponse, wantsStored bool) {
	key, report := decodeReport(req.Word, req.Node, req.Boot, req.Sequence)
	fleet := lendingFleet{b.node}
	limit := int64(float64(req.Limit) * fleet.reachableShare())
	preferred := fleet.PreferredOwner(ownerName(key)).Node == b.node.settings.NodeID
	b.mu.Lock()
	defer b.mu.Unlock()
	decision, waiting := b.tracker.Reserve(b.node.clock.Now(), key, report, req.Job, limit, preferred)
	return &v1.ReserveResponse{Verdict: protoVerdicts[decision], Waiting: waiting}, b.tracker.WantsStored()
}

// listStored lists the stored jobs. A list that may be old would lack those that were accepted last.
func (b *backlogs) listStored() error {
	ctx, cancel := context.WithTimeout(context.Background(), storedListTimeout)
	defer cancel()
	began := b.node.clock.Now()
	page, err := b.node.adapter.Store.List(ctx, callbudget.Commit, job.KindHeads)
	if err != nil {
		return err
	}
	stored, ok := b.node.jobs.WaitingStored(page.Objects)
	if !ok {
		return errNoRoutes
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tracker.SetStored(began, stored)
	return nil
}

var (
	errNoRoutes  = errors.New("the routes of the stored jobs are not known")
	errNotListed = errkind.PlatformUnavailable.New("the stored jobs cannot be listed")
)

var protoVerdicts = map[backlog.Decision]v1.ReserveResponse_Verdict{
	backlog.Unsure: v1.ReserveResponse_UNSURE, backlog.Fits: v1.ReserveResponse_FITS, backlog.Full: v1.ReserveResponse_FULL,
}

func decodeReport(w *v1.BacklogWord, node string, boot int64, sequence uint64) (backlog.Key, backlog.Report) {
	return backlog.Key{Route: w.GetRoute(), Workspace: w.GetWorkspace()}, backlog.Report{Node: node, Boot: boot, Sequence: sequence, Tokens: w.GetTokens(), HandingOver: w.GetHandingOver()}
}

// Run reports this node's waiting tokens to the owners until ctx ends.
func (b *backlogs) Run(ctx context.Context) {
	every(ctx, backlog.ReportInterval, func() { b.reportAll(ctx) })
}

func (b *backlogs) reportAll(ctx context.Context) {
	requests := b.reportsByOwner()
	var calls sync.WaitGroup
	for address, req := range requests {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
			defer cancel()
			if _, err := b.node.peers.backlogs.at(address).Tell(ctx, req); err != nil {
				b.node.metrics.Counter("backlog_words_lost").Inc(1) // the next report has the current count
			}
		})
	}
	calls.Wait()
}

// reportsByOwner returns the reports of this node's waiting tokens, by the address of the
// owner. A backlog in which no more tokens wait is reported once with 0.
func (b *backlogs) reportsByOwner() map[string]*v1.TellRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.node.clock.Now()
	b.tracker.DropExpired(now)
	waiting := b.node.jobs.WaitingTokens()
	leaving := b.node.Leaving() // after the count: a node hands nothing over before it leaves
	for key := range b.reported {
		waiting[key] += 0
	}
	for key, lock := range b.reserveLocks {
		if len(lock) > 0 {
			delete(waiting, key) // the reservation in progress reports it
		}
	}
	if len(waiting) == 0 {
		return nil
	}
	b.sequence++
	self, fleet := b.node.settings.NodeID, lendingFleet{b.node}
	requests := map[string]*v1.TellRequest{}
	for key, tokens := range waiting {
		if tokens > 0 {
			b.reported[key] = true
		} else {
			delete(b.reported, key)
		}
		owners := fleet.Owners(ownerName(key), func(string) bool { return false })
		if len(owners) == 0 || owners[0].Node == self {
			b.tracker.Record(now, key, backlog.Report{Node: self, Boot: b.node.boot, Sequence: b.sequence, Tokens: tokens, HandingOver: leaving})
			continue
		}
		address := b.addressOf(owners[0])
		if requests[address] == nil {
			requests[address] = &v1.TellRequest{Node: self, Boot: b.node.boot, Sequence: b.sequence}
		}
		requests[address].Words = append(requests[address].Words, &v1.BacklogWord{Route: key.Route, Workspace: key.Workspace, Tokens: tokens, HandingOver: leaving})
	}
	return requests
}

// backlogService implements the backlog service for other nodes.
type backlogService struct{ *backlogs }

// Reserve implements marblepondv1connect.BacklogServiceHandler.
func (s backlogService) Reserve(ctx context.Context, req *v1.ReserveRequest) (*v1.ReserveResponse, error) {
	resp, err := s.decide(ctx, req)
	if err != nil {
		return nil, errkind.ConnectError(err)
	}
	return resp, nil
}

// Tell implements marblepondv1connect.BacklogServiceHandler.
func (s backlogService) Tell(_ context.Context, req *v1.TellRequest) (*v1.TellResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range req.Words {
		key, report := decodeReport(w, req.Node, req.Boot, req.Sequence)
		s.tracker.Record(s.node.clock.Now(), key, report)
	}
	return &v1.TellResponse{}, nil
}
