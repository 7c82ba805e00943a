// Package homes keeps requests and results at their two home nodes. The first
// home is the first live member of the request's data centre by rendezvous
// hashing of its placement: there resends of one key meet. The second home is
// a node of the first other data centre (by name) that can be reached, else the next
// member of the same one. Both keep the answer until the first home has
// written it to the platform in a group with others, so that an accepted
// request outlives any node and any data centre.
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
	// homeCount is how many nodes keep a request.
	homeCount = 2
	// candidates is how many nodes are tried for that, so that a node that
	// just died does not hold a request up.
	candidates = 4
	// callTimeout bounds one call to a home.
	callTimeout = 500 * time.Millisecond
)

// Replicator holds this node's part and talks to the other homes.
type Replicator struct {
	membership func() *member.View
	pool       *peer.Pool
	platform   *platform.Client
	recorder   *timeline.Recorder
	rerun      func(hold.Request)
	name       string // makes names of result objects unique

	mu         sync.Mutex
	table      *hold.Table
	seq        int
	avoidUntil map[string]time.Time // peers of other data centres that did not answer
}

// New returns a keeper bounded to limit bytes. rerun is called, once per
// request, with requests whose owner died and that this node must now run.
func New(limit int, view func() *member.View, pool *peer.Pool, p *platform.Client, r *timeline.Recorder, rerun func(hold.Request)) *Replicator {
	return &Replicator{membership: view, pool: pool, platform: p, recorder: r, rerun: rerun,
		name: view().Self.ID + "-" + rand.Text()[:8], table: hold.New(limit), avoidUntil: map[string]time.Time{}}
}

// Register holds a request at its homes. The answer's state is Fresh when the
// sender is to run it. Errors: Overloaded when no home takes it.
func (k *Replicator) Register(ctx context.Context, r hold.Request) (hold.Answer, error) {
	if r.Key == "" {
		return k.registerUnkeyed(ctx, r)
	}
	held := 0
	for _, s := range k.seats(r.ID) { // in order: resends meet at the first
		var answer hold.Answer
		err := k.at(s, func(c peerClient, relay bool) (err error) {
			answer, err = k.holdAt(ctx, c, relay, r)
			return err
		})
		switch {
		case err != nil || answer.State == hold.Full:
			continue // the next seat stands in
		case answer.State == hold.Registered:
			held++
		default:
			if held > 0 {
				k.Drop(ctx, r.ID) // an earlier home had lost what this one knows
			}
			return answer, nil
		}
		if held == homeCount {
			break
		}
	}
	return fresh(r, held)
}

// errFull says that a home has no room.
var errFull = errors.New("home holds as much as it may")

func (k *Replicator) registerUnkeyed(ctx context.Context, r hold.Request) (hold.Answer, error) {
	held := k.each(r.ID, homeCount, func(c peerClient, relay bool) error {
		answer, err := k.holdAt(ctx, c, relay, r)
		if err == nil && answer.State == hold.Full {
			return errFull
		}
		return err
	})
	return fresh(r, held)
}

func fresh(r hold.Request, held int) (hold.Answer, error) {
	if held == 0 {
		return hold.Answer{}, errkind.Overloaded.New("no node can keep the request")
	}
	return hold.Answer{State: hold.Registered, RequestID: r.ID}, nil
}

func (k *Replicator) holdAt(ctx context.Context, c peerClient, relay bool, r hold.Request) (hold.Answer, error) {
	if c == nil {
		return k.HoldLocal(r), nil
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

// HoldInDataCentre takes a request from another data centre to this one's first home.
func (k *Replicator) HoldInDataCentre(ctx context.Context, r hold.Request) (hold.Answer, error) {
	client, local, err := k.client(k.ranked(r.ID)[0])
	if err != nil || local {
		return k.HoldLocal(r), nil
	}
	return k.holdAt(ctx, client, false, r)
}

// HoldLocal registers a request in this node's own table.
func (k *Replicator) HoldLocal(r hold.Request) hold.Answer {
	k.recorder.Record(timeline.RequestHeld, r.ID, r.Owner, "")
	id, _ := ParseID(r.ID)
	r.DataCentre = id.DataCentre
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Hold(r)
}

// Finish stores a final answer at the homes; it returns how many have it.
func (k *Replicator) Finish(ctx context.Context, r hold.Result) int {
	stored := k.each(r.RequestID, homeCount, func(c peerClient, relay bool) error { return k.finishAt(ctx, c, relay, r) })
	if stored == 0 {
		k.FinishLocal(r, false)
		stored = 1
	}
	return stored
}

func (k *Replicator) finishAt(ctx context.Context, c peerClient, relay bool, r hold.Result) error {
	if c == nil {
		k.FinishLocal(r, false)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.Finish(ctx, &v1.FinishRequest{Result: ResultToProto(r), Relay: relay})
	return err
}

// FinishInDataCentre takes a final answer from another data centre to this one's
// first home.
func (k *Replicator) FinishInDataCentre(ctx context.Context, r hold.Result) error {
	client, local, err := k.client(k.ranked(r.RequestID)[0])
	if err != nil || local {
		k.FinishLocal(r, false)
		return nil
	}
	return k.finishAt(ctx, client, false, r)
}

// FinishLocal stores a final answer in this node's own table. The first
// answer of a request stands.
func (k *Replicator) FinishLocal(r hold.Result, durable bool) bool {
	k.recorder.Record(timeline.ResultHeld, r.RequestID, r.ErrorKind, "")
	id, _ := ParseID(r.RequestID)
	r.Centre = id.DataCentre
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Finish(r, durable)
}

// Drop forgets a request at its homes: it was refused before anything was
// sent, and a resend is to start anew.
func (k *Replicator) Drop(ctx context.Context, requestID string) {
	k.each(requestID, candidates, func(c peerClient, relay bool) error { return k.dropAt(ctx, c, relay, requestID) })
}

func (k *Replicator) dropAt(ctx context.Context, c peerClient, relay bool, requestID string) error {
	if c == nil {
		k.DropLocal(requestID)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.Drop(ctx, &v1.DropRequest{RequestId: requestID, Relay: relay})
	return err
}

// DropInDataCentre forgets a request of another data centre at this one's first home.
func (k *Replicator) DropInDataCentre(ctx context.Context, requestID string) error {
	client, local, err := k.client(k.ranked(requestID)[0])
	if err != nil || local {
		k.DropLocal(requestID)
		return nil
	}
	return k.dropAt(ctx, client, false, requestID)
}

// DropLocal forgets a request in this node's own table.
func (k *Replicator) DropLocal(requestID string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Drop(requestID)
}

// MarkFlushedLocal marks results as durable in this node's own table.
func (k *Replicator) MarkFlushedLocal(requestIDs []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.MarkFlushed(requestIDs)
}

// LookupLocal reads this node's own table, waiting up to wait for an answer.
func (k *Replicator) LookupLocal(ctx context.Context, requestID string, wait time.Duration) hold.Answer {
	k.mu.Lock()
	answer := k.table.Lookup(requestID)
	var done <-chan struct{}
	if answer.State == hold.Running && wait > 0 {
		done = k.table.Wait(requestID)
	}
	k.mu.Unlock()
	if done == nil {
		return answer
	}
	select {
	case <-done:
	case <-time.After(wait):
	case <-ctx.Done():
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Lookup(requestID)
}

// Workspace returns the workspace of a request in this node's own table.
func (k *Replicator) Workspace(requestID string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Workspace(requestID)
}
