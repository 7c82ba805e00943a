package hosted

import (
	"context"
	"sync"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/connection/lending"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/request/backlog"
)

// backlogs keeps the tokens that wait over all nodes: it tells the owners of backlogs how
// much waits here, asks them whether a job fits, and answers for those that this node
// owns. It implements job.Backlogs.
type backlogs struct {
	node *Node

	mu       sync.Mutex
	tracker  *backlog.Tracker
	sequence uint64
	reported map[backlog.Key]bool // of which something waited here when it was last told
	// reserveLocks has a token for each backlog of which a job is asked for: one at a time, and
	// nothing else is told meanwhile, so that the owner never hears of a job before it
	// decides on it, nor of less than it let in.
	reserveLocks map[backlog.Key]chan struct{}
}

func newBacklogs(n *Node) *backlogs {
	return &backlogs{node: n, tracker: backlog.New(n.clock.Now(), n.settings.AllowanceTolerance*newOwnerShare), reported: map[backlog.Key]bool{}, reserveLocks: map[backlog.Key]chan struct{}{}}
}

const (
	// newOwnerShare is the share of the tolerance that an owner may use which has not heard
	// from all holders yet; the rest is for a second change of owner.
	newOwnerShare = 0.5
	// reserveTimeout bounds one question to an owner, which takes some milliseconds.
	reserveTimeout = 200 * time.Millisecond
	// reserveDuration is how long owners are asked: one that is new to a backlog decides
	// after 0.45 s, and before that its predecessor may have to be found lost.
	reserveDuration = time.Second
	// reserveRetryInterval is the time between two questions to an owner that is not sure.
	reserveRetryInterval = 120 * time.Millisecond
)

// Reserve has a job counted at the owner, and by granted here if it fits. The error is of
// errkind, and promises that the job does not run.
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
	failed := map[string]bool{} // owners that did not answer
	for ctx.Err() == nil {
		owner, answer, err := b.reserveOnce(ctx, key, job, limit, failed)
		switch {
		case err != nil:
			failed[owner] = true
			continue
		case answer.Verdict == v1.ReserveResponse_FITS:
			granted()
			return nil
		case answer.Verdict == v1.ReserveResponse_FULL:
			return errkind.RateLimited.New("%d tokens would wait on route %s and %d may", answer.Waiting, key.Route, limit)
		}
		wait.For(ctx, reserveRetryInterval) // ctx tells when it is enough
	}
	return errUnknownBacklog(key)
}

func errUnknownBacklog(key backlog.Key) error {
	return errkind.PlatformUnavailable.New("how much waits on route %s is not known now", key.Route)
}

// reserveLock returns what a question for a backlog holds while it is asked.
func (b *backlogs) reserveLock(key backlog.Key) chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reserveLocks[key] == nil {
		b.reserveLocks[key] = make(chan struct{}, 1)
	}
	return b.reserveLocks[key]
}

func (b *backlogs) reserveOnce(ctx context.Context, key backlog.Key, job, limit int64, failed map[string]bool) (owner string, answer *v1.ReserveResponse, err error) {
	req := b.request(key, job, limit)
	owners := lendingFleet{b.node}.Owners(ownerName(key), func(node string) bool { return failed[node] })
	if len(owners) == 0 || owners[0].Node == b.node.settings.NodeID {
		return b.node.settings.NodeID, b.decide(req), nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	answer, err = b.node.peers.backlogs.at(b.addressOf(owners[0])).Reserve(ctx, req)
	return owners[0].Node, answer, err
}

func ownerName(key backlog.Key) string { return "backlog " + key.Route + " " + key.Workspace }

func (b *backlogs) addressOf(l lending.Lender) string { return b.node.registered()[l.Node].Address }

// request says what waits here with the job.
func (b *backlogs) request(key backlog.Key, job, limit int64) *v1.ReserveRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	b.reported[key] = true
	return &v1.ReserveRequest{Node: b.node.settings.NodeID, Boot: b.node.boot, Sequence: b.sequence, Job: job, Limit: limit,
		Word: &v1.BacklogWord{Route: key.Route, Workspace: key.Workspace, Tokens: b.node.jobs.WaitingTokens()[key] + job}}
}

// decide answers a question as the owner. While data centres are not heard the limit is
// shared with them by the number of nodes.
func (b *backlogs) decide(req *v1.ReserveRequest) *v1.ReserveResponse {
	key, report := decodeReport(req.Word, req.Node, req.Boot, req.Sequence)
	fleet := lendingFleet{b.node}
	limit := int64(float64(req.Limit) * fleet.reachableShare())
	preferred := fleet.PreferredOwner(ownerName(key)).Node == b.node.settings.NodeID
	b.mu.Lock()
	defer b.mu.Unlock()
	decision, waiting := b.tracker.Reserve(b.node.clock.Now(), key, report, req.Job, limit, preferred)
	return &v1.ReserveResponse{Verdict: protoVerdicts[decision], Waiting: waiting}
}

var protoVerdicts = map[backlog.Decision]v1.ReserveResponse_Verdict{
	backlog.Unsure: v1.ReserveResponse_UNSURE, backlog.Fits: v1.ReserveResponse_FITS, backlog.Full: v1.ReserveResponse_FULL,
}

func decodeReport(w *v1.BacklogWord, node string, boot int64, sequence uint64) (backlog.Key, backlog.Report) {
	return backlog.Key{Route: w.GetRoute(), Workspace: w.GetWorkspace()}, backlog.Report{Node: node, Boot: boot, Sequence: sequence, Tokens: w.GetTokens()}
}

// Run tells owners what waits here until ctx ends.
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
				b.node.metrics.Counter("backlog_words_lost").Inc(1) // the next word says the same
			}
		})
	}
	calls.Wait()
}

// reportsByOwner returns what waits here, by the address of the owner that is to be told. Of a
// backlog of which nothing waits here any more that is said once.
func (b *backlogs) reportsByOwner() map[string]*v1.TellRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.node.clock.Now()
	b.tracker.DropExpired(now)
	waiting := b.node.jobs.WaitingTokens()
	for key := range b.reported {
		waiting[key] += 0
	}
	for key, lock := range b.reserveLocks {
		if len(lock) > 0 {
			delete(waiting, key) // the question tells it
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
			b.tracker.Record(now, key, backlog.Report{Node: self, Boot: b.node.boot, Sequence: b.sequence, Tokens: tokens})
			continue
		}
		address := b.addressOf(owners[0])
		if requests[address] == nil {
			requests[address] = &v1.TellRequest{Node: self, Boot: b.node.boot, Sequence: b.sequence}
		}
		requests[address].Words = append(requests[address].Words, &v1.BacklogWord{Route: key.Route, Workspace: key.Workspace, Tokens: tokens})
	}
	return requests
}

// backlogService serves the other nodes.
type backlogService struct{ *backlogs }

// Reserve implements the peers' service.
func (s backlogService) Reserve(_ context.Context, req *v1.ReserveRequest) (*v1.ReserveResponse, error) {
	return s.decide(req), nil
}

// Tell implements the peers' service.
func (s backlogService) Tell(_ context.Context, req *v1.TellRequest) (*v1.TellResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range req.Words {
		key, report := decodeReport(w, req.Node, req.Boot, req.Sequence)
		s.tracker.Record(s.node.clock.Now(), key, report)
	}
	return &v1.TellResponse{}, nil
}
