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
	// offerTimeout bounds how long a new version waits for a peer to confirm that it
	// holds the version too.
	offerTimeout = 300 * time.Millisecond
	// bootstrapPause is the pause between rounds of queries.
	bootstrapPause = 200 * time.Millisecond
	// bootstrapRounds is how many rounds of queries come before the one in which a
	// version from peers suffices: until then the node may not know all reachable peers.
	bootstrapRounds = 5
)

// bootstrap gets the first version before the node serves: from the platform, or during
// an outage of the platform the newest that any reachable peer has.
func (m *Manager) bootstrap(ctx context.Context) {
	for round := 0; ctx.Err() == nil && !m.Loaded(); round++ {
		if m.loadFromPlatform(ctx) || (m.loadFromPeers(ctx) && round >= bootstrapRounds) {
			m.loaded.Store(true)
			return
		}
		wait.For(ctx, bootstrapPause)
	}
}

func (m *Manager) loadFromPlatform(ctx context.Context) bool {
	o, err := m.platform.Get(ctx, platform.Commit, record.ConfigHead)
	if errors.Is(err, platform.ErrNotFound) {
		return true // a new fleet, without a configuration yet
	}
	return err == nil && m.adoptHead(ctx, o.Value) == nil
}

// loadFromPeers adopts the newest version of the reachable peers, and reports whether
// there is any.
func (m *Manager) loadFromPeers(ctx context.Context) bool {
	view := m.membership.View()
	var wg sync.WaitGroup
	for _, p := range slices.Concat(view.Members, view.Contacts) {
		wg.Go(func() { m.fetchFromPeer(ctx, p.PeerAddr) })
	}
	wg.Wait()
	return m.Current().Version > 0
}

// offerToPeer sends a version to one peer before this node serves with it, so that the
// version survives a restart of either node during an outage of the platform. If no peer
// is reachable, the version comes into force all the same.
func (m *Manager) offerToPeer(head fleet.Head, bodies map[string][]byte) {
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

// OfferConfig adopts a version that a peer offers. The peer serves with the version as soon
// as this node holds it.
func (m *Manager) OfferConfig(_ context.Context, req *v1.OfferConfigRequest) (*v1.OfferConfigResponse, error) {
	head, err := record.Decode[fleet.Head](req.Head)
	if err != nil {
		return nil, err
	}
	bodies, missing := m.splitSections(head)
	for _, s := range req.Sections {
		bodies[s.Hash] = s.Body
	}
	for _, hash := range missing {
		if bodies[hash] == nil {
			return &v1.OfferConfigResponse{}, nil
		}
	}
	s, err := m.publish(head, bodies)
	if err != nil {
		return nil, err
	}
	m.activate(s, "an offer")
	return &v1.OfferConfigResponse{Held: true}, nil
}
