// Package membership runs the membership state machine of a node: it sends and receives
// heartbeats, and publishes the view.
package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/connection/peer"
	"github.com/marblepond/marblepond/internal/process/member"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/process/wait"
)

// Payload is state of another component that is piggybacked on heartbeats.
type Payload interface {
	// Pack adds the node's state to a heartbeat: what has changed, or all of it if full.
	// sameDataCentre: the receiver is in the data centre of this node.
	Pack(state *v1.HeartbeatRequest, sameDataCentre, full bool)
	// Unpack handles the state in a heartbeat of another node.
	Unpack(from *v1.NodeInfo, state *v1.HeartbeatRequest)
}

// Manager owns the membership state machine. It is safe for concurrent use.
type Manager struct {
	pool           *peer.Pool
	recorder       *timeline.Recorder
	timing         member.Timing
	seeds          []string
	seedsResponded atomic.Int32 // number of seeds that have responded once
	listed         atomic.Bool  // the VM list was read once
	payloads       []Payload
	onChange       []func(*member.View)

	mu      sync.Mutex
	state   *member.StateMachine
	view    atomic.Pointer[member.View]
	ticks   atomic.Uint64
	changed atomic.Int64 // time of the last transition of a member, in Unix nanoseconds
}

const (
	// fullStateTicks is the number of heartbeat intervals between messages with all state.
	// Those in between carry only changes, which keeps a node's control traffic small.
	fullStateTicks = 16
	// newStateTicks is the number of heartbeat intervals for which a change is sent.
	newStateTicks = 4
)

// sendsFullState reports whether the next heartbeat carries all state: every
// fullStateTicks, and for newStateTicks after a transition of a member.
func (m *Manager) sendsFullState() bool {
	sinceChange := time.Since(time.Unix(0, m.changed.Load()))
	return m.ticks.Load()%fullStateTicks == 0 || sinceChange < newStateTicks*m.timing.Heartbeat
}

// DisseminationTime returns how long a payload sends a change along with heartbeats.
func (m *Manager) DisseminationTime() time.Duration { return newStateTicks * m.timing.Heartbeat }

// New returns a manager; Run starts it.
func New(self member.Info, timing member.Timing, seeds []string, pool *peer.Pool, recorder *timeline.Recorder) *Manager {
	m := &Manager{pool: pool, recorder: recorder, timing: timing, seeds: seeds, state: member.New(self, timing)}
	m.publish()
	return m
}

// AddPayload adds a payload to heartbeats. It must be called before Run.
func (m *Manager) AddPayload(p Payload) { m.payloads = append(m.payloads, p) }

// OnChange adds a function that is called when a member has changed. It must be called
// before Run.
func (m *Manager) OnChange(f func(*member.View)) { m.onChange = append(m.onChange, f) }

// View returns the present view.
func (m *Manager) View() *member.View { return m.view.Load() }

// SetLeaving announces, from the next heartbeat on, that this node is leaving.
func (m *Manager) SetLeaving() {
	m.update(func(time.Time) []member.Transition { m.state.SetLeaving(); return nil })
	m.notify()
}

// SetConfigVersion sets the configuration version that the node has in force.
func (m *Manager) SetConfigVersion(v uint64) {
	m.update(func(time.Time) []member.Transition { m.state.SetConfigVersion(v); return nil })
}

// AddListed adds the nodes of the own data centre that are in the VM list.
func (m *Manager) AddListed(infos []member.Info) {
	m.listed.Store(true)
	m.update(func(now time.Time) []member.Transition {
		var changes []member.Transition
		for _, info := range infos {
			changes = append(changes, m.state.ObserveIndirect(now, info)...)
		}
		return changes
	})
}

func (m *Manager) update(f func(now time.Time) []member.Transition) {
	m.mu.Lock()
	changes := f(time.Now())
	m.publish()
	m.mu.Unlock()
	for _, c := range changes {
		m.record(c)
	}
	if len(changes) > 0 {
		m.changed.Store(time.Now().UnixNano())
		m.notify()
	}
}

// publish stores a view of the present state. The caller, except New, holds m.mu.
func (m *Manager) publish() {
	view := m.state.View()
	view.MemberListPending = !m.listed.Load()
	view.SeedsPending = int(m.seedsResponded.Load()) < len(m.seeds)
	m.view.Store(view)
}

func (m *Manager) notify() {
	view := m.View()
	for _, f := range m.onChange {
		f(view)
	}
}

func (m *Manager) record(c member.Transition) {
	switch {
	case c.Member.Leaving && c.Member.State == member.Alive:
		m.recorder.Record(timeline.MemberLeaving, "", c.Member.ID, "")
	case c.Member.State == member.Alive:
		m.recorder.Record(timeline.MemberJoined, "", c.Member.ID, "from "+string(c.From))
	case c.Member.State == member.Dead:
		m.recorder.Record(timeline.MemberDead, "", c.Member.ID, "no message received")
	case c.From != "":
		m.recorder.Record(timeline.MemberSuspect, "", c.Member.ID, "no message received")
	}
}

// Run sends heartbeats until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	for _, seed := range m.seeds {
		go m.contactSeed(ctx, seed)
	}
	ticker := time.NewTicker(m.timing.Heartbeat)
	defer ticker.Stop()
	for {
		m.tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Manager) tick(ctx context.Context) {
	m.ticks.Add(1)
	var send []member.Info
	m.update(func(now time.Time) []member.Transition {
		recipients, changes := m.state.Tick(now)
		send = recipients
		return changes
	})
	for _, to := range send {
		go m.sendHeartbeat(ctx, to.PeerAddr, to.DataCentre)
	}
	if len(m.View().Members) == 0 || len(m.View().Contacts) == 0 {
		for _, seed := range m.seeds {
			go m.sendHeartbeat(ctx, seed, "")
		}
	}
}

// Broadcast sends a heartbeat to every member that is not dead, without waiting for the
// next interval, and returns when all have responded or failed.
func (m *Manager) Broadcast(ctx context.Context) {
	var wg sync.WaitGroup
	for _, to := range m.View().Members {
		if to.State != member.Dead {
			wg.Go(func() { m.sendHeartbeat(ctx, to.PeerAddr, to.DataCentre) })
		}
	}
	wg.Wait()
}

const (
	// minSeedRetry is the delay before the first retry of a heartbeat to a seed. It doubles
	// with each further one, up to maxSeedRetry.
	minSeedRetry = 50 * time.Millisecond
	maxSeedRetry = 2 * time.Second
)

// contactSeed sends heartbeats to a seed until it has responded once. The other seeds may not
// know its data centre, and a node that doesn't know a data centre would report requests
// that exist there as unknown.
func (m *Manager) contactSeed(ctx context.Context, seed string) {
	for delay := minSeedRetry; !m.sendHeartbeat(ctx, seed, ""); delay = min(2*delay, maxSeedRetry) {
		if !wait.For(ctx, delay) {
			return
		}
	}
	m.seedsResponded.Add(1)
	m.update(func(time.Time) []member.Transition { return nil })
}

// sendHeartbeat sends one heartbeat and reports whether the receiver responded.
func (m *Manager) sendHeartbeat(ctx context.Context, addr, dataCentre string) bool {
	ctx, cancel := context.WithTimeout(ctx, m.timing.SuspectAfter)
	defer cancel()
	resp, err := m.pool.Client(addr).Heartbeat(ctx, m.newHeartbeat(dataCentre))
	if err != nil {
		return false // the state machine decides when a member is suspect
	}
	m.handleHeartbeat(&v1.HeartbeatRequest{From: resp.From, Hlc: resp.Hlc, Members: resp.Members,
		Loads: resp.Loads, Leaving: resp.Leaving, HeadVersion: resp.HeadVersion})
	return true
}

func (m *Manager) newHeartbeat(dataCentre string) *v1.HeartbeatRequest {
	view := m.View()
	same := dataCentre == view.Self.DataCentre
	req := &v1.HeartbeatRequest{From: ToProto(view.Self), Hlc: int64(m.recorder.Clock.Now())}
	full := m.sendsFullState()
	for _, other := range view.Members {
		if full && other.State == member.Alive {
			req.Members = append(req.Members, ToProto(other.Info))
		}
	}
	for _, p := range m.payloads {
		p.Pack(req, same, full)
	}
	return req
}

func (m *Manager) handleHeartbeat(req *v1.HeartbeatRequest) {
	m.recorder.Clock.Observe(timeline.HLC(req.Hlc))
	m.update(func(now time.Time) []member.Transition {
		changes := m.state.ObserveDirect(now, FromProto(req.From))
		for _, other := range req.Members {
			changes = append(changes, m.state.ObserveIndirect(now, FromProto(other))...)
		}
		return changes
	})
	for _, p := range m.payloads {
		p.Unpack(req.From, req)
	}
}

// Heartbeat handles another node's heartbeat and responds with this node's.
func (m *Manager) Heartbeat(_ context.Context, req *v1.HeartbeatRequest) (*v1.HeartbeatResponse, error) {
	m.handleHeartbeat(req)
	own := m.newHeartbeat(req.From.DataCentre)
	return &v1.HeartbeatResponse{From: own.From, Hlc: own.Hlc, Members: own.Members,
		Loads: own.Loads, Leaving: own.Leaving, HeadVersion: own.HeadVersion}, nil
}

// ToProto converts a node's info to its protobuf message.
func ToProto(i member.Info) *v1.NodeInfo {
	return &v1.NodeInfo{Id: i.ID, Incarnation: i.Incarnation, DataCentre: i.DataCentre, PeerAddr: i.PeerAddr,
		CallerAddr: i.CallerAddr, Leaving: i.Leaving, ConfigVersion: i.ConfigVersion}
}

// FromProto converts a node's info from its protobuf message.
func FromProto(i *v1.NodeInfo) member.Info {
	return member.Info{ID: i.GetId(), Incarnation: i.GetIncarnation(), DataCentre: i.GetDataCentre(), PeerAddr: i.GetPeerAddr(),
		CallerAddr: i.GetCallerAddr(), Leaving: i.GetLeaving(), ConfigVersion: i.GetConfigVersion()}
}
