package config

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/connection/platform"
	"github.com/marblepond/marblepond/internal/process/member"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/record"
	"github.com/marblepond/marblepond/internal/version/fleet"
)

const (
	// offerTimeout bounds how long a version waits for a peer to hold it.
	offerTimeout = 300 * time.Millisecond
	// bootstrapPause is the pause between rounds of asking.
	bootstrapPause = 200 * time.Millisecond
	// bootstrapRounds is how many rounds in a row the peers must be asked
	// before a node trusts that it has heard of all it can reach.
	bootstrapRounds = 5
)

// bootstrap gets the first version before the node serves: from the platform,
// or, while it is out, the newest that any peer holds.
func (m *Manager) bootstrap(ctx context.Context) {
	for round := 0; ctx.Err() == nil && !m.Loaded(); round++ {
		if m.fromPlatform(ctx) || (m.fromPeers(ctx) && round >= bootstrapRounds) {
			m.loaded.Store(true)
			return
		}
		wait.For(ctx, bootstrapPause)
	}
}

func (m *Manager) fromPlatform(ctx context.Context) bool {
	o, err := m.platform.Get(ctx, platform.Commit, record.ConfigHead)
	if errors.Is(err, platform.ErrNotFound) {
		return true // a new fleet
	}
	return err == nil && m.adoptHead(ctx, o.Value) == nil
}

// fromPeers takes the newest version of the reachable peers; false when none
// has any.
func (m *Manager) fromPeers(ctx context.Context) bool {
	view := m.membership.View()
	var wg sync.WaitGroup
	for _, p := range slices.Concat(view.Members, view.Contacts) {
		wg.Go(func() { m.fetchFromPeer(ctx, p.PeerAddr) })
	}
	wg.Wait()
	return m.Current().Version > 0
}

// offer gives a version to one peer before this node serves with it, so that
// it outlives a restart of either during an outage of the platform. Without a
// reachable peer the version is taken all the same.
func (m *Manager) offer(head fleet.Head, bodies map[string][]byte) {
	ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
	defer cancel()
	req := &v1.OfferConfigRequest{Version: head.Version, Head: record.Encode(head)}
	known := m.current.Load().bodies
	for hash, body := range bodies {
		if _, ok := known[hash]; !ok {
			req.Sections = append(req.Sections, &v1.ConfigSection{Hash: hash, Body: body})
		}
	}
	for _, p := range m.membership.View().Members {
		if p.State != member.Alive || p.ConfigVersion >= head.Version {
			continue
		}
		if resp, err := m.pool.Client(p.PeerAddr).OfferConfig(ctx, req); err == nil && resp.Held {
			return
		}
	}
}

// OfferConfig takes a version from a peer. The peer serves with it next, so
// this node holds it; it serves with it itself from now on.
func (m *Manager) OfferConfig(_ context.Context, req *v1.OfferConfigRequest) (*v1.OfferConfigResponse, error) {
	head, err := record.Decode[fleet.Head](req.Head)
	if err != nil {
		return nil, err
	}
	bodies, missing := m.have(head)
	for _, s := range req.Sections {
		bodies[s.Hash] = s.Body
	}
	for _, hash := range missing {
		if bodies[hash] == nil {
			return &v1.OfferConfigResponse{}, nil
		}
	}
	s, err := m.hold(head, bodies)
	if err != nil {
		return nil, err
	}
	m.take(s, "an offer")
	return &v1.OfferConfigResponse{Held: true}, nil
}
