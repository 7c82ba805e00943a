// Package claim gives a node the right to dispatch a non-idempotent request
// once. A claim is an object in the platform, created if absent with a writer
// token; without a claim nothing is dispatched, so that a refusal for want of
// one is a true "not run".
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

// Claims writes claims.
type Claims struct {
	platform *platform.Client
	recorder *timeline.Recorder
	// abandoned holds claims to be given up once the platform answers. When it
	// is full the oldest waits no longer: its key then stays "unknown", which
	// is safe.
	abandoned *ring.Ring[record.Claim]

	mu      sync.Mutex
	pending int
}

// abandonedSize bounds the claims waiting to be given up.
const abandonedSize = 4096

// retryPause is the pause between tries at the platform.
const retryPause = 50 * time.Millisecond

// New returns an empty set of claims.
func New(p *platform.Client, r *timeline.Recorder) *Claims {
	return &Claims{platform: p, recorder: r, abandoned: ring.New[record.Claim](abandonedSize, ring.DropOldest)}
}

// ObjectName returns the object name of the claim on a workspace's key.
func ObjectName(workspace, key string) string {
	sum := sha256.Sum256([]byte(workspace + "\x00" + key))
	return record.ClaimName(hex.EncodeToString(sum[:16]))
}

// Acquire claims the request described by c. won is true when this call has
// the claim; otherwise other is the claim in force. Errors:
// PlatformUnavailable (no claim, nothing dispatched; the claim is given up in
// the background), KeyConflict (same key, other body).
func (s *Claims) Acquire(ctx context.Context, c record.Claim) (claim record.Claim, won bool, err error) {
	c.Token, c.State = rand.Text(), record.Claimed
	name := ObjectName(c.Workspace, c.Key)
	for ctx.Err() == nil {
		_, err := s.platform.Create(ctx, platform.Lease, name, record.Encode(c))
		if err == nil {
			return s.won(c)
		}
		if errors.Is(err, platform.ErrConflict) {
			other, won, settled, err := s.settle(ctx, name, c)
			if settled {
				return other, won, err
			}
		}
		wait.For(ctx, retryPause) // unavailable or ambiguous: the create is conditional, so it may be repeated
	}
	s.Abandon(c)
	return c, false, errkind.PlatformUnavailable.New("the claim on this non-idempotent request can't be written; nothing was sent")
}

func (s *Claims) won(c record.Claim) (record.Claim, bool, error) {
	s.recorder.Record(timeline.ClaimWritten, c.RequestID, ObjectName(c.Workspace, c.Key), "")
	return c, true, nil
}

// settle reads the claim in force. settled is false when that could not be
// told and the create is to be tried again.
func (s *Claims) settle(ctx context.Context, name string, c record.Claim) (claim record.Claim, won, settled bool, err error) {
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
		c, won, err := s.won(c)
		return c, won, true, err
	case string(existing.Digest) != string(c.Digest):
		return existing, false, true, errkind.KeyConflict.New("the key was used with another body")
	case existing.State == record.Abandoned:
		if _, err := s.platform.Update(ctx, platform.Lease, name, o.Version, record.Encode(c)); err == nil {
			c, won, err := s.won(c)
			return c, won, true, err
		}
		return c, false, false, nil
	}
	return existing, false, true, nil
}

// Abandon gives up a claim that was not dispatched and never will be, so that
// the caller's next try with the key can run. It returns at once.
func (s *Claims) Abandon(c record.Claim) {
	s.mu.Lock()
	s.pending++
	s.mu.Unlock()
	s.abandoned.Put(c)
}

// Pending returns how many claims wait to be given up.
func (s *Claims) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending
}

// Run gives up abandoned claims until ctx ends.
func (s *Claims) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-s.abandoned.Out():
			s.giveUp(ctx, c)
			s.mu.Lock()
			s.pending--
			s.mu.Unlock()
		}
	}
}

// giveUp turns the claim into a tombstone. When the claim is absent a
// tombstone is created in its place: a create still on its way then fails.
func (s *Claims) giveUp(ctx context.Context, c record.Claim) {
	name := ObjectName(c.Workspace, c.Key)
	tombstone := c
	tombstone.State = record.Abandoned
	for ctx.Err() == nil {
		o, err := s.platform.Get(ctx, platform.Commit, name)
		switch {
		case err == nil:
			existing, _ := record.Decode[record.Claim](o.Value)
			if existing.Token != c.Token || existing.State == record.Abandoned {
				return // someone else's by now, or done
			}
			_, err = s.platform.Update(ctx, platform.Commit, name, o.Version, record.Encode(tombstone))
		case errors.Is(err, platform.ErrNotFound):
			_, err = s.platform.Create(ctx, platform.Commit, name, record.Encode(tombstone))
		}
		if err == nil {
			s.recorder.Record(timeline.ClaimAbandoned, c.RequestID, name, "nothing was sent")
			return
		}
		wait.For(ctx, retryPause)
	}
}
