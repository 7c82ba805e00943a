// Package claim gives a node the right to dispatch a non-idempotent request
// once. A claim is an object in the platform that is created only if absent and
// carries the token of its writer. Without a claim nothing is dispatched, so
// that a request refused for lack of a claim has certainly not run.
package claim

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/connection/platform"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/ring"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/record"
)

// Claims acquires and abandons claims. It is safe for concurrent use.
type Claims struct {
	platform *platform.Client
	recorder *timeline.Recorder
	// abandonQueue holds the claims to be marked as abandoned once the platform
	// responds. If it is full the oldest is dropped: the outcome of its key then
	// stays unknown, which is safe.
	abandonQueue *ring.Ring[record.Claim]

	mu      sync.Mutex
	pending int
}

// abandonQueueSize bounds the number of claims that wait to be abandoned.
const abandonQueueSize = 4096

// retryInterval is the time between two attempts at the platform.
const retryInterval = 50 * time.Millisecond

// New returns a Claims without abandoned claims.
func New(p *platform.Client, r *timeline.Recorder) *Claims {
	return &Claims{platform: p, recorder: r, abandonQueue: ring.New[record.Claim](abandonQueueSize, ring.DropOldest)}
}

// ObjectName returns the object name of the claim on a workspace's key.
func ObjectName(workspace, key string) string {
	sum := sha256.Sum256([]byte(workspace + "\x00" + key))
	return record.ClaimName(hex.EncodeToString(sum[:16]))
}

// Acquire claims the request described by c. If won is true, this call has
// acquired the claim; otherwise the returned claim is the one in force. Errors:
// PlatformUnavailable (no claim, nothing dispatched; the claim is abandoned in
// the background), KeyConflict (same key, other body).
func (s *Claims) Acquire(ctx context.Context, c record.Claim) (claim record.Claim, won bool, err error) {
	c.Token, c.State = rand.Text(), record.Claimed
	name := ObjectName(c.Workspace, c.Key)
	for ctx.Err() == nil {
		_, err := s.platform.Create(ctx, platform.Lease, name, record.Encode(c))
		if err == nil {
			return s.recordAcquired(c)
		}
		if errors.Is(err, platform.ErrConflict) {
			other, won, resolved, err := s.resolveConflict(ctx, name, c)
			if resolved {
				return other, won, err
			}
		}
		wait.For(ctx, retryInterval) // unavailable or ambiguous: the create is conditional, so it may be repeated
	}
	s.Abandon(c)
	return c, false, errkind.PlatformUnavailable.New("the claim on this non-idempotent request can't be written; nothing was sent")
}

// recordAcquired records the event of an acquired claim and returns the results
// of Acquire.
func (s *Claims) recordAcquired(c record.Claim) (record.Claim, bool, error) {
	s.recorder.Record(timeline.ClaimWritten, c.RequestID, ObjectName(c.Workspace, c.Key), "")
	return c, true, nil
}

// resolveConflict reads the claim in force, which may be c itself, and replaces
// it if it was abandoned. resolved is false if the read or the replacement failed,
// so that the create has to be retried.
func (s *Claims) resolveConflict(ctx context.Context, name string, c record.Claim) (claim record.Claim, won, resolved bool, err error) {
	o, err := s.platform.Get(ctx, platform.Lease, name)
	if err != nil {
		return c, false, false, nil
	}
	existing, err := record.Decode[record.Claim](o.Value)
	if err != nil {
		return c, false, true, err
	}
	switch {
	case existing.Token == c.Token:
		c, won, err := s.recordAcquired(c)
		return c, won, true, err
	case string(existing.Digest) != string(c.Digest):
		return existing, false, true, errkind.KeyConflict.New("the key was used with another body")
	case existing.State == record.Abandoned:
		if _, err := s.platform.Update(ctx, platform.Lease, name, o.Version, record.Encode(c)); err == nil {
			c, won, err := s.recordAcquired(c)
			return c, won, true, err
		}
		return c, false, false, nil
	}
	return existing, false, true, nil
}

// Abandon releases a claim whose request was not dispatched and never will be, so
// that the caller's next request with the key can run. It returns at once.
func (s *Claims) Abandon(c record.Claim) {
	s.mu.Lock()
	s.pending++
	s.mu.Unlock()
	s.abandonQueue.Put(c)
}

// Pending returns the number of claims that wait to be abandoned.
func (s *Claims) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending
}

// Run marks abandoned claims in the platform until ctx ends.
func (s *Claims) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-s.abandonQueue.Out():
			s.writeTombstone(ctx, c)
			s.mu.Lock()
			s.pending--
			s.mu.Unlock()
		}
	}
}

// writeTombstone turns the claim into a tombstone. If the claim is absent it
// creates the tombstone in its place, so that a create that is still in flight
// fails.
func (s *Claims) writeTombstone(ctx context.Context, c record.Claim) {
	name := ObjectName(c.Workspace, c.Key)
	tombstone := c
	tombstone.State = record.Abandoned
	for ctx.Err() == nil {
		o, err := s.platform.Get(ctx, platform.Commit, name)
		switch {
		case err == nil:
			existing, _ := record.Decode[record.Claim](o.Value)
			if existing.Token != c.Token || existing.State == record.Abandoned {
				return // another request has claimed the key, or the tombstone is written
			}
			_, err = s.platform.Update(ctx, platform.Commit, name, o.Version, record.Encode(tombstone))
		case errors.Is(err, platform.ErrNotFound):
			_, err = s.platform.Create(ctx, platform.Commit, name, record.Encode(tombstone))
		}
		if err == nil {
			s.recorder.Record(timeline.ClaimAbandoned, c.RequestID, name, "nothing was sent")
			return
		}
		wait.For(ctx, retryInterval)
	}
}
