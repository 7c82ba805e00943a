// Package homes replicates each online request and its result on two nodes.
// The first replica is the first live member of the request's data centre in
// the rendezvous order of the request's placement, so that all resends of one
// idempotency key reach the same node. The second replica is a node of the
// first other data centre (by name) that is reachable, or the next member of
// the same data centre if there is none. Both keep the result until the first
// replica has written it to the platform in a batch with others, so that an
// accepted request survives the loss of any one node or data centre.
package homes

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/connection/peer"
	"github.com/marblepond/marblepond/internal/connection/platform"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/member"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/hold"
)

const (
	// replicaCount is the number of nodes that keep a request.
	replicaCount = 2
	// maxCandidates is the number of nodes that may be tried as replicas, so
	// that a node that died a moment ago does not delay a request.
	maxCandidates = 4
	// callTimeout bounds one call to a replica.
	callTimeout = 500 * time.Millisecond
)

// Replicator keeps the requests that have a replica on this node and calls the
// replicas on other nodes. A method whose name ends in Local uses this node's
// table only; one that ends in InDataCentre serves a relayed call from another
// data centre by calling the replicas of this one.
type Replicator struct {
	membership func() *member.View
	pool       *peer.Pool
	platform   *platform.Client
	recorder   *timeline.Recorder
	rerun      func(hold.Request)
	instance   string // node ID and a random part, for unique names of result objects

	mu         sync.Mutex
	table      *hold.Table
	objectSeq  int
	avoidUntil map[string]time.Time // by address of a node of another data centre that did not respond
}

// New returns a replicator whose table is bounded to limit bytes. rerun is
// called, once per request, with requests whose owner died and that this node
// must now run.
func New(limit int, view func() *member.View, pool *peer.Pool, p *platform.Client, r *timeline.Recorder, rerun func(hold.Request)) *Replicator {
	return &Replicator{membership: view, pool: pool, platform: p, recorder: r, rerun: rerun,
		instance: view().Self.ID + "-" + rand.Text()[:8], table: hold.New(limit), avoidUntil: map[string]time.Time{}}
}

// Register stores a request at its replicas. The answer's state is Registered
// if the caller is to run the request. Errors: Overloaded if no replica accepts
// it.
func (rp *Replicator) Register(ctx context.Context, r hold.Request) (hold.Answer, error) {
	if r.Key == "" {
		return rp.registerUnkeyed(ctx, r)
	}
	registered := 0
	for _, s := range rp.candidates(r.ID) { // in order, so that resends of a key are detected at the first
		var answer hold.Answer
		err := rp.callAt(s, func(c peerClient, relay bool) (err error) {
			answer, err = rp.holdAt(ctx, c, relay, r)
			return err
		})
		switch {
		case err != nil || answer.State == hold.Full:
			continue // the next candidate replaces it
		case answer.State == hold.Registered:
			registered++
		default:
			if registered > 0 {
				rp.Drop(ctx, r.ID) // an earlier replica had lost the request that this one knows
			}
			return answer, nil
		}
		if registered == replicaCount {
			break
		}
	}
	return registeredAnswer(r, registered)
}

// errTableFull means that a replica's table has reached its limit.
var errTableFull = errors.New("the replica's table of requests is full")

func (rp *Replicator) registerUnkeyed(ctx context.Context, r hold.Request) (hold.Answer, error) {
	registered := rp.callEach(r.ID, replicaCount, func(c peerClient, relay bool) error {
		answer, err := rp.holdAt(ctx, c, relay, r)
		if err == nil && answer.State == hold.Full {
			return errTableFull
		}
		return err
	})
	return registeredAnswer(r, registered)
}

func registeredAnswer(r hold.Request, replicas int) (hold.Answer, error) {
	if replicas == 0 {
		return hold.Answer{}, errkind.Overloaded.New("no node can keep the request")
	}
	return hold.Answer{State: hold.Registered, RequestID: r.ID}, nil
}

func (rp *Replicator) holdAt(ctx context.Context, c peerClient, relay bool, r hold.Request) (hold.Answer, error) {
	if c == nil {
		return rp.HoldLocal(r), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := requestToProto(r)
	req.Relay = relay
	resp, err := c.Hold(ctx, req)
	if err != nil {
		return hold.Answer{}, err
	}
	return answerFromProto(resp), nil
}

// HoldInDataCentre registers a request of another data centre at the first
// replica of this one.
func (rp *Replicator) HoldInDataCentre(ctx context.Context, r hold.Request) (hold.Answer, error) {
	client, local, err := rp.clientFor(rp.rankedNodes(r.ID)[0])
	if err != nil || local {
		return rp.HoldLocal(r), nil
	}
	return rp.holdAt(ctx, client, false, r)
}

// HoldLocal registers a request in this node's table.
func (rp *Replicator) HoldLocal(r hold.Request) hold.Answer {
	rp.recorder.Record(timeline.RequestHeld, r.ID, r.Owner, "")
	id, _ := ParseID(r.ID)
	r.DataCentre = id.DataCentre
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return rp.table.Hold(r)
}

// Finish stores a result at the replicas and returns how many have it. If none
// accepts it, this node keeps it.
func (rp *Replicator) Finish(ctx context.Context, r hold.Result) int {
	replicas := rp.callEach(r.RequestID, replicaCount, func(c peerClient, relay bool) error { return rp.finishAt(ctx, c, relay, r) })
	if replicas == 0 {
		rp.FinishLocal(r, false)
		replicas = 1
	}
	return replicas
}

func (rp *Replicator) finishAt(ctx context.Context, c peerClient, relay bool, r hold.Result) error {
	if c == nil {
		rp.FinishLocal(r, false)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.Finish(ctx, &v1.FinishRequest{Result: ResultToProto(r), Relay: relay})
	return err
}

// FinishInDataCentre stores a result of another data centre at the first replica
// of this one.
func (rp *Replicator) FinishInDataCentre(ctx context.Context, r hold.Result) error {
	client, local, err := rp.clientFor(rp.rankedNodes(r.RequestID)[0])
	if err != nil || local {
		rp.FinishLocal(r, false)
		return nil
	}
	return rp.finishAt(ctx, client, false, r)
}

// FinishLocal stores a result in this node's table. It returns false if the
// request has a result already, which is kept.
func (rp *Replicator) FinishLocal(r hold.Result, durable bool) bool {
	rp.recorder.Record(timeline.ResultHeld, r.RequestID, r.ErrorKind, "")
	id, _ := ParseID(r.RequestID)
	r.Centre = id.DataCentre
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return rp.table.Finish(r, durable)
}

// Drop removes a request from its replicas that was refused or failed before it
// was accepted, or that another request with its key replaces. A resend of its
// key is then run as a new request.
func (rp *Replicator) Drop(ctx context.Context, requestID string) {
	rp.callEach(requestID, maxCandidates, func(c peerClient, relay bool) error { return rp.dropAt(ctx, c, relay, requestID) })
}

func (rp *Replicator) dropAt(ctx context.Context, c peerClient, relay bool, requestID string) error {
	if c == nil {
		rp.DropLocal(requestID)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.Drop(ctx, &v1.DropRequest{RequestId: requestID, Relay: relay})
	return err
}

// DropInDataCentre removes a request of another data centre from the first
// replica of this one.
func (rp *Replicator) DropInDataCentre(ctx context.Context, requestID string) error {
	client, local, err := rp.clientFor(rp.rankedNodes(requestID)[0])
	if err != nil || local {
		rp.DropLocal(requestID)
		return nil
	}
	return rp.dropAt(ctx, client, false, requestID)
}

// DropLocal removes a request from this node's table.
func (rp *Replicator) DropLocal(requestID string) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.table.Drop(requestID)
}

// MarkFlushedLocal marks results as durable in this node's table.
func (rp *Replicator) MarkFlushedLocal(requestIDs []string) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.table.MarkFlushed(requestIDs)
}

// LookupLocal reads this node's table, waiting up to wait for the result of a
// running request.
func (rp *Replicator) LookupLocal(ctx context.Context, requestID string, wait time.Duration) hold.Answer {
	rp.mu.Lock()
	answer := rp.table.Lookup(requestID)
	var done <-chan struct{}
	if answer.State == hold.Running && wait > 0 {
		done = rp.table.Wait(requestID)
	}
	rp.mu.Unlock()
	if done == nil {
		return answer
	}
	select {
	case <-done:
	case <-time.After(wait):
	case <-ctx.Done():
	}
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return rp.table.Lookup(requestID)
}

// Workspace returns the workspace of a request in this node's table; empty if
// it has no such request.
func (rp *Replicator) Workspace(requestID string) string {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return rp.table.Workspace(requestID)
}
