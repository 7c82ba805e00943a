// Package config keeps a node on the newest fleet configuration. A node adopts a
// version from the platform or from a peer, whichever has it first, and never an
// older version than its own. A node that starts during an outage of the platform
// queries its peers before it serves.
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

// Membership is the part of the membership that a Manager uses.
type Membership interface {
	View() *member.View
	SetConfigVersion(v uint64)
}

// snapshot is one version, with all that another node needs to adopt it.
type snapshot struct {
	config *fleet.Config
	head   fleet.Head
	bodies map[string][]byte // sections by hash
}

// Manager holds the configuration in force and adopts newer versions.
type Manager struct {
	platform   *platform.Client
	pool       *peer.Pool
	membership Membership
	recorder   *timeline.Recorder
	checker    *invariant.Checker
	watchWait  time.Duration

	mu            sync.Mutex               // serialises adoption
	current       atomic.Pointer[snapshot] // in force
	newest        atomic.Pointer[snapshot] // newest known: in force or about to be; sent to peers that fetch it
	loaded        atomic.Bool
	newerVersions chan newerVersion
	onChange      []func(*fleet.Config)
}

// newerVersion is the announcement of a newer version by a peer.
type newerVersion struct {
	addr    string
	version uint64
}

// New returns a manager with the empty configuration, version 0.
func New(p *platform.Client, pool *peer.Pool, m Membership, r *timeline.Recorder, c *invariant.Checker, wait time.Duration) *Manager {
	mgr := &Manager{platform: p, pool: pool, membership: m, recorder: r, checker: c, watchWait: wait, newerVersions: make(chan newerVersion, 16)}
	mgr.current.Store(&snapshot{config: fleet.Empty(), bodies: map[string][]byte{}})
	mgr.newest.Store(mgr.current.Load())
	return mgr
}

// OnChange adds a function that is called with each adopted version; call it before Run.
func (m *Manager) OnChange(f func(*fleet.Config)) { m.onChange = append(m.onChange, f) }

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
		case m.newerVersions <- newerVersion{from.PeerAddr, state.HeadVersion}:
		default: // the queue is full; the next heartbeat announces the version again
		}
	}
}

// Run watches the platform, and fetches newer versions that peers announce, until ctx
// ends.
func (m *Manager) Run(ctx context.Context) {
	m.bootstrap(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { m.fetchNewerVersions(ctx) })
	wg.Go(func() { m.watch(ctx) })
	wg.Wait()
}

func (m *Manager) fetchNewerVersions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-m.newerVersions:
			if h.version > m.Current().Version {
				m.fetchFromPeer(ctx, h.addr)
			}
		}
	}
}

// watchersPerDataCentre is how many nodes of a data centre watch the platform; the
// others learn of a new version by heartbeat.
const watchersPerDataCentre = 2

// retryPause is the pause after a failed watch.
const retryPause = 200 * time.Millisecond

func (m *Manager) watch(ctx context.Context) {
	var since int64
	for ctx.Err() == nil {
		if !m.isWatcher() {
			wait.For(ctx, time.Second)
			continue
		}
		change, err := m.platform.Watch(ctx, record.ConfigHead, since, m.watchWait)
		if err != nil {
			wait.For(ctx, retryPause)
			continue
		}
		since = change.Newest
		for _, o := range change.Objects {
			if err := m.adoptHead(ctx, o.Value); err != nil {
				since = 0 // retry from the beginning
				wait.For(ctx, retryPause)
			}
		}
	}
}

func (m *Manager) isWatcher() bool {
	view := m.membership.View()
	for _, id := range rendezvous.Rank("config-watch", view.ActiveIDs, watchersPerDataCentre) {
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
		return nil // not newer
	}
	bodies, missing := m.splitSections(head)
	for _, hash := range missing {
		o, err := m.platform.Get(ctx, platform.Commit, record.SectionName(hash))
		if err != nil {
			return err
		}
		bodies[hash] = o.Value
	}
	return m.adopt(head, bodies, "platform")
}

// splitSections returns the sections of a head that this node has, by hash, and the hashes
// of the others.
func (m *Manager) splitSections(head fleet.Head) (bodies map[string][]byte, missing []string) {
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
	bodies, missing := m.splitSections(head)
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

// adopt puts a version in force, after offering it to a reachable peer.
func (m *Manager) adopt(head fleet.Head, bodies map[string][]byte, source string) error {
	s, err := m.publish(head, bodies)
	if err != nil {
		return err
	}
	if head.Version > m.Current().Version {
		m.offerToPeer(head, bodies)
	}
	m.activate(s, source)
	return nil
}

// publish makes a version available to peers that fetch it, before it is in force here.
func (m *Manager) publish(head fleet.Head, bodies map[string][]byte) (*snapshot, error) {
	config, err := fleet.Assemble(head, bodies)
	if err != nil {
		return nil, err
	}
	s := &snapshot{config, head, bodies}
	m.mu.Lock()
	defer m.mu.Unlock()
	if head.Version > m.newest.Load().head.Version {
		m.newest.Store(s)
	}
	return s, nil
}

// activate puts a version in force, if it is newer than the one in force.
func (m *Manager) activate(s *snapshot, source string) {
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
	for _, f := range m.onChange {
		f(s.config)
	}
}

// FetchConfig returns the newest version to a peer: its head, and the sections requested.
func (m *Manager) FetchConfig(_ context.Context, req *v1.FetchConfigRequest) (*v1.FetchConfigResponse, error) {
	s := m.newest.Load()
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

// Plan is the changes that an intent would make, and the version it was compared with.
type Plan struct {
	Base    uint64
	Changes []fleet.Change
}

// Intent returns the configuration that an operator wants, made from the newest one, which
// is nil if it can't be read completely. Its errors have a kind of package errkind.
type Intent func(newest *fleet.Config) (*fleet.Config, error)

// TextIntent returns the intent of a complete configuration in INI text.
func TextIntent(text string) Intent {
	return func(*fleet.Config) (*fleet.Config, error) {
		want, err := fleet.Parse([]byte(text))
		if err != nil {
			return nil, errkind.Malformed.New("%v", err)
		}
		return want, nil
	}
}

// EvacuationIntent returns the intent to change only whether a data centre is evacuated.
func EvacuationIntent(dataCentre string, evacuated bool) Intent {
	return func(newest *fleet.Config) (*fleet.Config, error) {
		if newest == nil {
			return nil, errkind.PlatformUnavailable.New("the newest configuration can't be read completely; nothing was changed")
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
	current := m.Current()
	want, err := intent(current)
	if err != nil {
		return Plan{}, err
	}
	return Plan{current.Version, fleet.Diff(current, want)}, nil
}

// refresh reads the newest head and adopts it. On failure the version in force stays, and
// Apply finds out if it is stale.
func (m *Manager) refresh(ctx context.Context) {
	if o, err := m.platform.Get(ctx, platform.Commit, record.ConfigHead); err == nil {
		m.adoptHead(ctx, o.Value)
	}
}

// Apply makes the intent the next version if base is still the newest one.
// Errors: Malformed, StalePlan (another operator applied a version first; plan again),
// PlatformUnavailable (nothing was changed), UnknownOutcome (the version may have been
// applied).
func (m *Manager) Apply(ctx context.Context, intent Intent, base uint64) (uint64, error) {
	newest, err := m.newestHead(ctx, base)
	if err != nil {
		return 0, err
	}
	current := m.Current()
	switch {
	case current.Version > base:
		return 0, m.stalePlan(base, current.Version)
	case current.Version < base:
		current = nil // the sections of the newest can't be read
	}
	want, err := intent(current)
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
	m.refresh(ctx) // on failure the version comes into force once the platform can be read
	return head.Version, nil
}

// storedHead is the head that the platform has. objectVersion is the version of its object
// there, 0 if there is no head yet.
type storedHead struct {
	head          fleet.Head
	objectVersion int64
}

// newestHead returns the stored head if its configuration version is base.
func (m *Manager) newestHead(ctx context.Context, base uint64) (storedHead, error) {
	o, err := m.platform.Get(ctx, platform.Commit, record.ConfigHead)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return storedHead{}, errkind.PlatformUnavailable.New("the configuration can't be read; nothing was changed")
	}
	s := storedHead{objectVersion: o.Version}
	if err == nil {
		if s.head, err = record.Decode[fleet.Head](o.Value); err != nil {
			return storedHead{}, err
		}
	}
	if s.objectVersion > 0 {
		m.adoptHead(ctx, o.Value) // if that fails, an intent that needs the configuration returns an error
	}
	if s.head.Version != base {
		return storedHead{}, m.stalePlan(base, s.head.Version)
	}
	return s, nil
}

func (m *Manager) stalePlan(base, newest uint64) error {
	m.recorder.Record(timeline.ConfigStalePlan, "", fmt.Sprintf("version %d", base), fmt.Sprintf("newest is %d", newest))
	return errkind.StalePlan.New("the plan was made from version %d, the newest is %d", base, newest)
}

// writeSections stores the sections that the platform may not have. Writing one twice is
// harmless: its name is the hash of its content.
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

const sectionWriteAttempts = 4

func (m *Manager) writeSection(ctx context.Context, hash string, body []byte) (err error) {
	for range sectionWriteAttempts {
		_, err = m.platform.Create(ctx, platform.Commit, record.SectionName(hash), body)
		if err == nil || errors.Is(err, platform.ErrConflict) {
			return nil
		}
		wait.For(ctx, retryPause)
	}
	return err
}

// swapHead replaces the newest head. If a response is lost, the writer token shows whether
// the write took effect. Repeating the write is safe: it is conditional and takes effect
// at most once.
func (m *Manager) swapHead(ctx context.Context, head fleet.Head, token string, newest storedHead) error {
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
			if readErr == nil && o.Version != newest.objectVersion {
				m.adoptHead(ctx, o.Value)
				return m.stalePlan(newest.head.Version, now.Version)
			}
		}
		wait.For(ctx, retryPause)
	}
	return errkind.UnknownOutcome.New("the platform did not confirm version %d; see status", head.Version)
}

func (m *Manager) writeHead(ctx context.Context, head fleet.Head, newest storedHead) error {
	if newest.objectVersion == 0 {
		_, err := m.platform.Create(ctx, platform.Commit, record.ConfigHead, record.Encode(head))
		return err
	}
	_, err := m.platform.Update(ctx, platform.Commit, record.ConfigHead, newest.objectVersion, record.Encode(head))
	return err
}
