// Package config keeps a node on the newest fleet configuration. Versions
// only go up: a node takes a version from the platform or from a peer,
// whichever shows it first, and never one older than it has. A node that
// starts during an outage asks its peers before it serves.
package config

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/connection/peer"
	"github.com/marblepond/marblepond/internal/connection/platform"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/process/member"
	"github.com/marblepond/marblepond/internal/process/rendezvous"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/record"
	"github.com/marblepond/marblepond/internal/version/fleet"
)

// Membership is what the manager needs of the membership.
type Membership interface {
	View() *member.View
	SetConfigVersion(v uint64)
}

// snapshot is one version with all that another node needs to adopt it.
type snapshot struct {
	config *fleet.Config
	head   fleet.Head
	bodies map[string][]byte // sections by hash
}

// Manager holds the configuration in force.
type Manager struct {
	platform   *platform.Client
	pool       *peer.Pool
	membership Membership
	recorder   *timeline.Recorder
	checker    *invariant.Checker
	wait       time.Duration

	mu      sync.Mutex               // serialises adoption
	current atomic.Pointer[snapshot] // in force
	held    atomic.Pointer[snapshot] // newest known: in force or about to be; what peers are told
	loaded  atomic.Bool
	hints   chan hint
	changed []func(*fleet.Config)
}

// hint says that a peer has a newer version.
type hint struct {
	addr    string
	version uint64
}

// New returns a manager with the empty configuration, version 0.
func New(p *platform.Client, pool *peer.Pool, m Membership, r *timeline.Recorder, c *invariant.Checker, wait time.Duration) *Manager {
	mgr := &Manager{platform: p, pool: pool, membership: m, recorder: r, checker: c, wait: wait, hints: make(chan hint, 16)}
	mgr.current.Store(&snapshot{config: fleet.Empty(), bodies: map[string][]byte{}})
	mgr.held.Store(mgr.current.Load())
	return mgr
}

// OnChange adds a function called with each adopted version; call it before Run.
func (m *Manager) OnChange(f func(*fleet.Config)) { m.changed = append(m.changed, f) }

// Current returns the configuration in force.
func (m *Manager) Current() *fleet.Config { return m.current.Load().config }

// Loaded reports whether a version was read from the platform or a peer.
func (m *Manager) Loaded() bool { return m.loaded.Load() }

// Pack implements membership.Payload.
func (m *Manager) Pack(state *v1.HeartbeatRequest, _, _ bool) {
	state.HeadVersion = m.Current().Version
}

// Unpack implements membership.Payload.
func (m *Manager) Unpack(from *v1.NodeInfo, state *v1.HeartbeatRequest) {
	if state.HeadVersion > m.Current().Version {
		select {
		case m.hints <- hint{from.PeerAddr, state.HeadVersion}:
		default: // a fetch is under way; the next heartbeat hints again
		}
	}
}

// Run watches the platform and follows hints until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	m.bootstrap(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { m.followHints(ctx) })
	wg.Go(func() { m.watch(ctx) })
	wg.Wait()
}

func (m *Manager) followHints(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-m.hints:
			if h.version > m.Current().Version {
				m.fetchFromPeer(ctx, h.addr)
			}
		}
	}
}

// watchersPerDC is how many nodes of a data centre watch the platform; the
// others hear of a new version by heartbeat.
const watchersPerDC = 2

// retryWatch is the pause after a failed watch.
const retryWatch = 200 * time.Millisecond

func (m *Manager) watch(ctx context.Context) {
	var since int64
	for ctx.Err() == nil {
		if !m.watches() {
			wait.For(ctx, time.Second)
			continue
		}
		change, err := m.platform.Watch(ctx, record.ConfigHead, since, m.wait)
		if err != nil {
			wait.For(ctx, retryWatch)
			continue
		}
		since = change.Newest
		for _, o := range change.Objects {
			if err := m.adoptHead(ctx, o.Value); err != nil {
				since = 0 // try again from the start
				wait.For(ctx, retryWatch)
			}
		}
	}
}

func (m *Manager) watches() bool {
	view := m.membership.View()
	for _, id := range rendezvous.Rank("config-watch", view.ActiveIDs, watchersPerDC) {
		if id == view.Self.ID {
			return true
		}
	}
	return view.Self.Leaving
}

func (m *Manager) adoptHead(ctx context.Context, data []byte) error {
	head, err := record.Decode[fleet.Head](data)
	if err != nil {
		return err
	}
	if head.Version <= m.Current().Version {
		return nil // stale
	}
	bodies, missing := m.have(head)
	for _, hash := range missing {
		o, err := m.platform.Get(ctx, platform.Commit, record.SectionName(hash))
		if err != nil {
			return err
		}
		bodies[hash] = o.Value
	}
	return m.adopt(head, bodies, "platform")
}

// have splits a head's sections into those at hand and the hashes missing.
func (m *Manager) have(head fleet.Head) (bodies map[string][]byte, missing []string) {
	bodies = map[string][]byte{}
	known := m.current.Load().bodies
	for _, hash := range head.Sections {
		if body, ok := known[hash]; ok {
			bodies[hash] = body
		} else {
			missing = append(missing, hash)
		}
	}
	return bodies, missing
}

func (m *Manager) fetchFromPeer(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	client := m.pool.Client(addr)
	resp, err := client.FetchConfig(ctx, &v1.FetchConfigRequest{})
	if err != nil || len(resp.Head) == 0 {
		return
	}
	head, err := record.Decode[fleet.Head](resp.Head)
	if err != nil || head.Version <= m.Current().Version {
		return
	}
	bodies, missing := m.have(head)
	if len(missing) > 0 {
		resp, err = client.FetchConfig(ctx, &v1.FetchConfigRequest{Sections: missing})
		if err != nil {
			return
		}
		for _, s := range resp.Sections {
			bodies[s.Hash] = s.Body
		}
	}
	m.adopt(head, bodies, "peer "+addr)
}

// adopt makes a version the one in force, after a peer holds it too.
func (m *Manager) adopt(head fleet.Head, bodies map[string][]byte, source string) error {
	s, err := m.hold(head, bodies)
	if err != nil {
		return err
	}
	if head.Version > m.Current().Version {
		m.offer(head, bodies)
	}
	m.take(s, source)
	return nil
}

// hold keeps a version for peers that ask, before it is in force here.
func (m *Manager) hold(head fleet.Head, bodies map[string][]byte) (*snapshot, error) {
	config, err := fleet.Assemble(head, bodies)
	if err != nil {
		return nil, err
	}
	s := &snapshot{config, head, bodies}
	m.mu.Lock()
	defer m.mu.Unlock()
	if head.Version > m.held.Load().head.Version {
		m.held.Store(s)
	}
	return s, nil
}

// take makes a version the one in force, if it is newer.
func (m *Manager) take(s *snapshot, source string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.Current().Version
	if s.head.Version <= old {
		return
	}
	m.checker.Assert(s.config.Version > old, invariant.ConfigVersionMonotonic, "", "config", "version %d after %d", s.config.Version, old)
	m.current.Store(s)
	m.membership.SetConfigVersion(s.config.Version)
	m.recorder.Record(timeline.ConfigAdopted, "", fmt.Sprintf("version %d", s.config.Version), "from "+source)
	for _, f := range m.changed {
		f(s.config)
	}
}

// FetchConfig answers a peer.
func (m *Manager) FetchConfig(_ context.Context, req *v1.FetchConfigRequest) (*v1.FetchConfigResponse, error) {
	s := m.held.Load()
	if s.head.Version == 0 {
		return &v1.FetchConfigResponse{}, nil
	}
	head, err := json.Marshal(s.head)
	if err != nil {
		return nil, err
	}
	resp := &v1.FetchConfigResponse{Version: s.head.Version, Head: head}
	for _, hash := range req.Sections {
		if body, ok := s.bodies[hash]; ok {
			resp.Sections = append(resp.Sections, &v1.ConfigSection{Hash: hash, Body: body})
		}
	}
	return resp, nil
}

// Plan is what an intent would change, and the version it was compared with.
type Plan struct {
	Base    uint64
	Changes []fleet.Change
}

// Intent returns the configuration that an operator wants, made from the newest one;
// nil: that can't be read whole. Errors are of errkind.
type Intent func(newest *fleet.Config) (*fleet.Config, error)

// TextIntent returns the intent that INI text states whole.
func TextIntent(text string) Intent {
	return func(*fleet.Config) (*fleet.Config, error) {
		want, err := fleet.Parse([]byte(text))
		if err != nil {
			return nil, errkind.Malformed.New("%v", err)
		}
		return want, nil
	}
}

// EvacuationIntent returns the intent that changes only whether a data centre is
// evacuated.
func EvacuationIntent(dataCentre string, evacuated bool) Intent {
	return func(newest *fleet.Config) (*fleet.Config, error) {
		if newest == nil {
			return nil, errkind.PlatformUnavailable.New("the newest configuration can't be read whole; nothing was changed")
		}
		want, err := newest.WithEvacuation(dataCentre, evacuated)
		if err != nil {
			return nil, errkind.Malformed.New("%v", err)
		}
		return want, nil
	}
}

// Plan compares an intent with the newest configuration.
func (m *Manager) Plan(ctx context.Context, intent Intent) (Plan, error) {
	m.refresh(ctx)
	have := m.Current()
	want, err := intent(have)
	if err != nil {
		return Plan{}, err
	}
	return Plan{have.Version, fleet.Diff(have, want)}, nil
}

// refresh reads the newest head; on failure the version at hand stands, and
// Apply will find it stale if it is.
func (m *Manager) refresh(ctx context.Context) {
	if o, err := m.platform.Get(ctx, platform.Commit, record.ConfigHead); err == nil {
		m.adoptHead(ctx, o.Value)
	}
}

// Apply makes the intent the next version if base is still the newest one.
// Errors: Malformed, StalePlan (another operator was first; plan again),
// PlatformUnavailable (nothing was changed), UnknownOutcome (it may have been).
func (m *Manager) Apply(ctx context.Context, intent Intent, base uint64) (uint64, error) {
	newest, err := m.newestHead(ctx, base)
	if err != nil {
		return 0, err
	}
	have := m.Current()
	switch {
	case have.Version > base:
		return 0, m.stale(base, have.Version)
	case have.Version < base:
		have = nil // the sections of the newest can't be read
	}
	want, err := intent(have)
	if err != nil {
		return 0, err
	}
	if err := m.writeSections(ctx, want); err != nil {
		return 0, err
	}
	token := rand.Text()
	head := fleet.NewHead(want, newest.head, token)
	if err := m.swapHead(ctx, head, token, newest); err != nil {
		return 0, err
	}
	m.recorder.Record(timeline.ConfigApplied, "", fmt.Sprintf("version %d", head.Version), "by operator")
	m.refresh(ctx) // on failure it comes into force once the platform can be read
	return head.Version, nil
}

// stored is the head as it stands in the platform; object is its version
// there, 0 when there is none yet.
type stored struct {
	head   fleet.Head
	object int64
}

// newestHead returns the stored head if its configuration version is base.
func (m *Manager) newestHead(ctx context.Context, base uint64) (stored, error) {
	o, err := m.platform.Get(ctx, platform.Commit, record.ConfigHead)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return stored{}, errkind.PlatformUnavailable.New("the configuration can't be read; nothing was changed")
	}
	s := stored{object: o.Version}
	if err == nil {
		if s.head, err = record.Decode[fleet.Head](o.Value); err != nil {
			return stored{}, err
		}
	}
	if s.object > 0 {
		m.adoptHead(ctx, o.Value) // where that fails, an intent that needs it says so
	}
	if s.head.Version != base {
		return stored{}, m.stale(base, s.head.Version)
	}
	return s, nil
}

func (m *Manager) stale(base, newest uint64) error {
	m.recorder.Record(timeline.ConfigStalePlan, "", fmt.Sprintf("version %d", base), fmt.Sprintf("newest is %d", newest))
	return errkind.StalePlan.New("the plan was made from version %d, the newest is %d", base, newest)
}

// writeSections stores the sections that the platform does not have. Writing
// one twice is harmless: its name is the hash of its content.
func (m *Manager) writeSections(ctx context.Context, want *fleet.Config) error {
	known := m.current.Load().bodies
	for _, body := range want.Sections() {
		hash := fleet.HashSection(body)
		if _, ok := known[hash]; ok {
			continue
		}
		if err := m.writeSection(ctx, hash, body); err != nil {
			return errkind.PlatformUnavailable.New("a section can't be stored; nothing was changed")
		}
	}
	return nil
}

const sectionAttempts = 4

func (m *Manager) writeSection(ctx context.Context, hash string, body []byte) (err error) {
	for range sectionAttempts {
		_, err = m.platform.Create(ctx, platform.Commit, record.SectionName(hash), body)
		if err == nil || errors.Is(err, platform.ErrConflict) {
			return nil
		}
		wait.For(ctx, retryWatch)
	}
	return err
}

// swapHead replaces the newest head and settles lost answers by the writer
// token. Repeating the write is safe: it is conditional and takes effect once.
func (m *Manager) swapHead(ctx context.Context, head fleet.Head, token string, newest stored) error {
	for ctx.Err() == nil {
		err := m.writeHead(ctx, head, newest)
		if err == nil {
			return nil
		}
		if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrAmbiguous) {
			m.recorder.Record(timeline.PlatformAmbiguous, "", record.ConfigHead, err.Error())
			o, readErr := m.platform.Get(ctx, platform.Commit, record.ConfigHead)
			now, _ := record.Decode[fleet.Head](o.Value)
			if readErr == nil && now.WrittenBy(head.Version, token) {
				return nil
			}
			if readErr == nil && o.Version != newest.object {
				m.adoptHead(ctx, o.Value)
				return m.stale(newest.head.Version, now.Version)
			}
		}
		wait.For(ctx, retryWatch)
	}
	return errkind.UnknownOutcome.New("the platform did not confirm version %d; see status", head.Version)
}

func (m *Manager) writeHead(ctx context.Context, head fleet.Head, newest stored) error {
	if newest.object == 0 {
		_, err := m.platform.Create(ctx, platform.Commit, record.ConfigHead, record.Encode(head))
		return err
	}
	_, err := m.platform.Update(ctx, platform.Commit, record.ConfigHead, newest.object, record.Encode(head))
	return err
}
