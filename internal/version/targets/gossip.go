package targets

import (
	"context"
	"slices"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/connection/peer"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/request/choose"
)

// Pack implements membership.Payload: it adds the loads of owned targets and the
// leaving VMs to heartbeats within the data centre. Loaded names and leaving VMs that
// have not changed lately are added only when full is set.
func (m *Manager) Pack(state *v1.HeartbeatRequest, sameDataCentre, full bool) {
	if !sameDataCentre {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for id, p := range m.polls {
		if s, ok := m.table.Get(now, id); ok && s.Known {
			state.Loads = append(state.Loads, loadToProto(s, full || now.Sub(p.loadedChanged) < m.membership.DisseminationTime()))
		}
	}
	for vm, incarnation := range m.table.LeavingIncarnations() {
		if full || now.Sub(m.leavingSince[vm]) < m.membership.DisseminationTime() {
			state.Leaving = append(state.Leaving, &v1.LeavingVM{Vm: vm, Incarnation: incarnation})
		}
	}
}

func loadToProto(s choose.Status, names bool) *v1.TargetLoad {
	load := &v1.TargetLoad{Target: s.ID, Incarnation: s.Incarnation, Running: uint32(s.Load.Running), Waiting: uint32(s.Load.Waiting),
		MaxRunning: uint32(s.Load.MaxRunning), Batch: uint32(s.Load.Batch), Healthy: s.Load.Healthy, Names: names, StartedMs: s.Load.Started}
	if names {
		load.Loaded = s.Load.Loaded
	}
	return load
}

// Unpack implements membership.Payload.
func (m *Manager) Unpack(from *v1.NodeInfo, state *v1.HeartbeatRequest) {
	if from.DataCentre != m.membership.View().Self.DataCentre {
		return
	}
	var ended []choose.Target
	defer func() { m.notifyProcessEnds(ended) }() // after m.mu is unlocked
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range state.Loads {
		if m.owners[l.Target] == m.membership.View().Self.ID {
			continue // this node owns the target, and its own readings are newer
		}
		ended = append(ended, m.recordLoad(l.Target, l.Incarnation, m.loadFromProto(l))...)
	}
	for _, vm := range state.Leaving {
		m.markLeaving(vm.Vm, vm.Incarnation, "node "+from.Id)
	}
}

// loadFromProto converts a received load. A load that was sent without loaded names keeps
// those received before from the same incarnation.
func (m *Manager) loadFromProto(l *v1.TargetLoad) choose.Load {
	now := time.Now()
	load := choose.Load{Running: int(l.Running), Waiting: int(l.Waiting), MaxRunning: int(l.MaxRunning),
		Batch: int(l.Batch), Healthy: l.Healthy, Loaded: l.Loaded, Started: l.StartedMs, At: now}
	if before, ok := m.table.Get(now, l.Target); ok && !l.Names && before.Incarnation == l.Incarnation {
		load.Loaded = before.Load.Loaded
	}
	return load
}

// minPressureInterval is the least time between two pressure reports to one owner:
// changes in quick succession go out together.
const minPressureInterval = 5 * time.Millisecond

// SendPressure reports to owners how many online requests this node has at their
// targets, soon after a count changes, until ctx ends. local receives the reports on
// targets that this node owns itself.
func (m *Manager) SendPressure(ctx context.Context, pool *peer.Pool, local func(*v1.PressureRequest)) {
	for {
		changed := map[string]bool{}
		select {
		case <-ctx.Done():
			return
		case id := <-m.countChanged.Out():
			changed[id] = true
		}
		for len(changed) > 0 && m.countChanged.Len() > 0 {
			changed[<-m.countChanged.Out()] = true
		}
		for owner, req := range m.pressureReports(changed) {
			m.deliver(ctx, pool, owner, req, local)
		}
		wait.For(ctx, minPressureInterval)
	}
}

// pressureReports returns one report for each owner of the changed targets, by owner.
func (m *Manager) pressureReports(changed map[string]bool) map[string]*v1.PressureRequest {
	self := m.membership.View().Self
	seq := m.seq.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	online := m.table.Online()
	reports := map[string]*v1.PressureRequest{}
	for id := range changed {
		owner := m.owners[id]
		if reports[owner] == nil {
			reports[owner] = &v1.PressureRequest{Node: self.ID, Incarnation: self.Incarnation, Seq: seq}
		}
		reports[owner].Targets = append(reports[owner].Targets, &v1.TargetInFlight{Target: id, Online: uint32(online[id])})
	}
	return reports
}

func (m *Manager) deliver(ctx context.Context, pool *peer.Pool, owner string, req *v1.PressureRequest, local func(*v1.PressureRequest)) {
	if owner == req.Node {
		local(req)
		return
	}
	to, ok := m.membership.View().Find(owner)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		if _, err := pool.Client(to.PeerAddr).Pressure(ctx, req); err != nil {
			m.recorder.Record(timeline.RingOverflow, "", owner, "pressure report not delivered")
			for _, t := range req.Targets {
				m.countChanged.Put(t.Target) // counts are absolute: send again
			}
		}
	}()
}

// OwnedTargets returns the sorted IDs of owned targets.
func (m *Manager) OwnedTargets() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []string
	for id := range m.polls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
