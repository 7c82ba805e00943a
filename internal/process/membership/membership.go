// Package membership runs the membership machine of a node: it sends the
// heartbeats, takes those of others, and publishes the view.
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

// Payload is state that travels with heartbeats.
type Payload interface {
	// Pack adds the node's state for a receiver of the given data centre: what
	// is new, or all of it when full.
	Pack(state *v1.HeartbeatRequest, sameDataCentre, full bool)
	// Unpack takes what another node sent.
	Unpack(from *v1.NodeInfo, state *v1.HeartbeatRequest)
}

// Manager owns the membership machine.
type Manager struct {
	pool       *peer.Pool
	recorder   *timeline.Recorder
	timing     member.Timing
	seeds      []string
	answered   atomic.Int32 // seeds that have answered once
	listed     atomic.Bool  // the nodes of the data centre were listed once
	passengers []Payload
	onChange   []func(*member.View)

	mu      sync.Mutex
	machine *member.StateMachine
	view    atomic.Pointer[member.View]
	ticks   atomic.Uint64
	changed atomic.Int64 // Unix nanoseconds of the last change of a member
}

const (
	// fullEvery is how many heartbeats apart all state is sent; in between only
	// what is new, so that a node's control traffic stays small.
	fullEvery = 16
	// newFor is how many intervals something counts as new.
	newFor = 4
)

// full reports whether the next message carries all state.
func (m *Manager) full() bool {
	quiet := time.Since(time.Unix(0, m.changed.Load()))
	return m.ticks.Load()%fullEvery == 0 || quiet < newFor*m.timing.Heartbeat
}

// DisseminationTime is how long a passenger's change is to be sent along.
func (m *Manager) DisseminationTime() time.Duration { return newFor * m.timing.Heartbeat }

// New returns a manager; Run starts it.
func New(self member.Info, timing member.Timing, seeds []string, pool *peer.Pool, recorder *timeline.Recorder) *Manager {
	m := &Manager{pool: pool, recorder: recorder, timing: timing, seeds: seeds, machine: member.New(self, timing)}
	m.publish()
	return m
}

// AddPayload adds a passenger; call it before Run.
func (m *Manager) AddPayload(p Payload) { m.passengers = append(m.passengers, p) }

// OnChange adds a function called when a member's state changed; call it
// before Run.
func (m *Manager) OnChange(f func(*member.View)) { m.onChange = append(m.onChange, f) }

// View returns the present picture.
func (m *Manager) View() *member.View { return m.view.Load() }

// SetLeaving tells the others, from the next heartbeat on, that this node leaves.
func (m *Manager) SetLeaving() {
	m.change(func(time.Time) []member.Transition { m.machine.SetLeaving(); return nil })
	m.notify()
}

// SetConfigVersion sets the version the node has in force.
func (m *Manager) SetConfigVersion(v uint64) {
	m.change(func(time.Time) []member.Transition { m.machine.SetConfigVersion(v); return nil })
}

// AddListed adds the nodes of the own data centre as the VM list has them.
func (m *Manager) AddListed(infos []member.Info) {
	m.listed.Store(true)
	m.change(func(now time.Time) []member.Transition {
		var changes []member.Transition
		for _, info := range infos {
			changes = append(changes, m.machine.ObserveIndirect(now, info)...)
		}
		return changes
	})
}

func (m *Manager) change(f func(now time.Time) []member.Transition) {
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

// publish makes the present picture known. The caller holds m.mu, but for New.
func (m *Manager) publish() {
	view := m.machine.View()
	view.MemberListPending = !m.listed.Load()
	view.SeedsPending = int(m.answered.Load()) < len(m.seeds)
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
		m.recorder.Record(timeline.MemberDead, "", c.Member.ID, "silence")
	case c.From != "":
		m.recorder.Record(timeline.MemberSuspect, "", c.Member.ID, "silence")
	}
}

// Run sends heartbeats until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	for _, seed := range m.seeds {
		go m.greet(ctx, seed)
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
	m.change(func(now time.Time) []member.Transition {
		targets, changes := m.machine.Tick(now)
		send = targets
		return changes
	})
	for _, to := range send {
		go m.beat(ctx, to.PeerAddr, to.DataCentre)
	}
	if len(m.View().Members) == 0 || len(m.View().Contacts) == 0 {
		for _, seed := range m.seeds {
			go m.beat(ctx, seed, "")
		}
	}
}

// Broadcast sends a heartbeat to every member at once, outside the usual rhythm.
func (m *Manager) Broadcast(ctx context.Context) {
	var wg sync.WaitGroup
	for _, to := range m.View().Members {
		if to.State != member.Dead {
			wg.Go(func() { m.beat(ctx, to.PeerAddr, to.DataCentre) })
		}
	}
	wg.Wait()
}

const (
	// firstGreeting is the time from the first question to a seed to the second; it
	// doubles with each further one, up to lastGreeting.
	firstGreeting = 50 * time.Millisecond
	lastGreeting  = 2 * time.Second
)

// greet asks a seed until it has answered once. The others may know nothing of its data
// centre, and where they do, of what exists there this node would say that it does not.
func (m *Manager) greet(ctx context.Context, seed string) {
	for pause := firstGreeting; !m.beat(ctx, seed, ""); pause = min(2*pause, lastGreeting) {
		if !wait.For(ctx, pause) {
			return
		}
	}
	m.answered.Add(1)
	m.change(func(time.Time) []member.Transition { return nil })
}

// beat sends one heartbeat; it reports whether it was answered.
func (m *Manager) beat(ctx context.Context, addr, dataCentre string) bool {
	ctx, cancel := context.WithTimeout(ctx, m.timing.SuspectAfter)
	defer cancel()
	resp, err := m.pool.Client(addr).Heartbeat(ctx, m.compose(dataCentre))
	if err != nil {
		return false // silence is judged by the machine
	}
	m.absorb(&v1.HeartbeatRequest{From: resp.From, Hlc: resp.Hlc, Members: resp.Members,
		Loads: resp.Loads, Leaving: resp.Leaving, HeadVersion: resp.HeadVersion})
	return true
}

func (m *Manager) compose(dataCentre string) *v1.HeartbeatRequest {
	view := m.View()
	same := dataCentre == view.Self.DataCentre
	req := &v1.HeartbeatRequest{From: ToProto(view.Self), Hlc: int64(m.recorder.Clock.Now())}
	full := m.full()
	for _, other := range view.Members {
		if full && other.State == member.Alive {
			req.Members = append(req.Members, ToProto(other.Info))
		}
	}
	for _, p := range m.passengers {
		p.Pack(req, same, full)
	}
	return req
}

func (m *Manager) absorb(req *v1.HeartbeatRequest) {
	m.recorder.Clock.Observe(timeline.HLC(req.Hlc))
	m.change(func(now time.Time) []member.Transition {
		changes := m.machine.ObserveDirect(now, FromProto(req.From))
		for _, other := range req.Members {
			changes = append(changes, m.machine.ObserveIndirect(now, FromProto(other))...)
		}
		return changes
	})
	for _, p := range m.passengers {
		p.Unpack(req.From, req)
	}
}

// Heartbeat answers another node's heartbeat.
func (m *Manager) Heartbeat(_ context.Context, req *v1.HeartbeatRequest) (*v1.HeartbeatResponse, error) {
	m.absorb(req)
	own := m.compose(req.From.DataCentre)
	return &v1.HeartbeatResponse{From: own.From, Hlc: own.Hlc, Members: own.Members,
		Loads: own.Loads, Leaving: own.Leaving, HeadVersion: own.HeadVersion}, nil
}

// ToProto converts a node's info to its wire form.
func ToProto(i member.Info) *v1.NodeInfo {
	return &v1.NodeInfo{Id: i.ID, Incarnation: i.Incarnation, DataCentre: i.DataCentre, PeerAddr: i.PeerAddr,
		CallerAddr: i.CallerAddr, Leaving: i.Leaving, ConfigVersion: i.ConfigVersion}
}

// FromProto converts a node's info from its wire form.
func FromProto(i *v1.NodeInfo) member.Info {
	return member.Info{ID: i.GetId(), Incarnation: i.GetIncarnation(), DataCentre: i.GetDataCentre(), PeerAddr: i.GetPeerAddr(),
		CallerAddr: i.GetCallerAddr(), Leaving: i.GetLeaving(), ConfigVersion: i.GetConfigVersion()}
}
