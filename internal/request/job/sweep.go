package job

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/process/timeline"
)

const (
	// suspectSweepInterval is the time between sweeps while a holder does not answer or
	// lost jobs are left.
	suspectSweepInterval = 600 * time.Millisecond
	// adoptStagger is how much longer each further node in the order of a job
	// waits before it takes the job over: the one before it has done so by then,
	// or is not there.
	adoptStagger = suspectSweepInterval
	// restartGrace is how long a node that answers and does not hold a job is left
	// the time to take it up again: it has just started.
	restartGrace = 1500 * time.Millisecond
	// probeTimeout bounds the question to a holder whether it still holds.
	probeTimeout = 400 * time.Millisecond
	// adoptTimeout bounds one take-over.
	adoptTimeout = 5 * time.Second
	// removalMargin is added to the time that a job stays readable before it is
	// removed from the store.
	removalMargin = 30 * time.Second
	// firstSweepDelay is when a starting node first looks: soon, because all nodes may
	// have been lost at once, and after the first configuration is usually known.
	firstSweepDelay = 300 * time.Millisecond
)

// sweep looks for jobs without a holder until ctx ends: those of an earlier
// boot of this node, those whose holder says that it does not hold them, and
// those whose holder does not answer for long. A starting node looks for the first
// of these; for the others a few nodes of each data centre look.
func (m *Manager) sweep(ctx context.Context) {
	pause, ownRemain := firstSweepDelay, true
	for m.waitForSweep(ctx, pause*3/4+rand.N(pause/2)) {
		m.pruneOld()
		pause = m.cfg.SweepInterval
		if !ownRemain && !m.Peers.IsSweeper() {
			continue
		}
		var suspected bool
		if suspected, ownRemain = m.sweepOnce(ctx); suspected {
			pause = suspectSweepInterval
		}
	}
}

// TriggerSweep makes the next sweep come at once, because a node is heard no
// more.
func (m *Manager) TriggerSweep() {
	select {
	case m.sweepNow <- struct{}{}:
	default: // asked for already
	}
}

// waitForSweep waits for the next sweep; false: ctx has ended.
func (m *Manager) waitForSweep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-m.sweepNow:
	}
	return true
}

// sweepOnce returns whether a holder is suspected, and whether jobs of an earlier
// boot of this node may be left.
func (m *Manager) sweepOnce(ctx context.Context) (suspected, ownLeft bool) {
	heads, err := m.listHeads(ctx)
	if err != nil {
		return true, true // the store is away; look again soon after it is back
	}
	byHolder := map[Holder][]string{}
	for id, head := range heads {
		switch {
		case m.expired(&head):
			m.remove(ctx, id, &head)
		case head.Complete(), m.isExcluded(id):
		default:
			byHolder[head.Holder] = append(byHolder[head.Holder], id)
		}
	}
	orphans := map[string]bool{}
	for holder, jobs := range byHolder {
		ownLeft = ownLeft || holder.Node == m.cfg.Self.Node
		lost, maybe := m.lostJobs(ctx, holder, jobs)
		suspected = suspected || maybe
		for _, id := range lost {
			orphans[id] = true
		}
		for _, id := range lost {
			if m.shouldAdopt(id, holder) {
				m.adopt(ctx, id, holder)
			} else {
				suspected = true
			}
		}
	}
	m.mu.Lock()
	maps.DeleteFunc(m.orphanedSince, func(id string, _ time.Time) bool { return !orphans[id] })
	m.mu.Unlock()
	return suspected, ownLeft
}

// shouldAdopt reports whether this node is to take a lost job over now. Nodes do so in
// an order of their own for each job, one after the other, so that not all of them
// ask the store for it and the jobs of a lost node are spread.
func (m *Manager) shouldAdopt(id string, holder Holder) bool {
	if holder.Node == m.cfg.Self.Node {
		return true // of an earlier start of this node
	}
	rank := m.Peers.AdoptRank(id)
	m.mu.Lock()
	defer m.mu.Unlock()
	since, known := m.orphanedSince[id]
	if !known {
		since = time.Now()
		m.orphanedSince[id] = since
	}
	pause := time.Duration(rank) * adoptStagger
	if holder != (Holder{}) && m.unreachableSince[holder.String()].IsZero() {
		pause += restartGrace // its node answers
	}
	return time.Since(since) >= pause
}

// rememberListedHead keeps a head from a list that may be seconds old. It names the
// holder to nodes that get a read, and a complete head never changes again.
func (m *Manager) rememberListedHead(id string, head Head, revision int64) {
	m.fence(id, &head)
	m.mu.Lock()
	old, ok := m.heads[id]
	held := m.held[id] != nil
	m.mu.Unlock()
	if held || (ok && old.revision >= revision) || (ok && !old.fromStore && !head.Complete()) {
		return // known as well or, from the holder itself, better
	}
	m.rememberHead(id, head, revision, time.Time{})
}

// isExcluded reports whether a job is not to be taken over here: it is held or ended,
// or this node leaves.
func (m *Manager) isExcluded(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held[id] != nil || m.draining || m.endKnown(id)
}

// pruneOld drops what is remembered of jobs and holders that are long gone:
// the store has had the ends, and can be asked for the heads again.
func (m *Manager) pruneOld() {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := func(at time.Time) bool { return time.Since(at) > m.cfg.KeepResults }
	maps.DeleteFunc(m.endedAt, func(_ string, at time.Time) bool { return old(at) })
	maps.DeleteFunc(m.heads, func(_ string, known knownHead) bool { return old(known.at) })
	maps.DeleteFunc(m.unreachableSince, func(_ string, since time.Time) bool { return old(since) })
}

// lostJobs returns which of a holder's jobs nobody works on; suspected tells
// that the holder does not answer but may.
func (m *Manager) lostJobs(ctx context.Context, holder Holder, jobs []string) (lost []string, suspected bool) {
	if holder == (Holder{}) || holder.Node == m.cfg.Self.Node {
		return jobs, false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resp, err := m.Peers.Job(holder.Address).Held(ctx, &v1.HeldRequest{Jobs: jobs})
	if err != nil {
		return m.unreachableHolder(holder, jobs)
	}
	m.mu.Lock()
	delete(m.unreachableSince, holder.String())
	m.mu.Unlock()
	held := map[string]bool{}
	for _, id := range resp.Held {
		held[id] = true
	}
	for _, id := range jobs {
		if !held[id] {
			lost = append(lost, id)
		}
	}
	return lost, len(lost) > 0
}

func (m *Manager) unreachableHolder(holder Holder, jobs []string) (lost []string, suspected bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	since, known := m.unreachableSince[holder.String()]
	if !known {
		since = time.Now()
		if at, unreachable := m.Peers.UnreachableSince(holder.Node); unreachable {
			since = at // before the store could be asked what the node holds
		}
		m.unreachableSince[holder.String()] = since
	}
	if time.Since(since) < m.cfg.TakeOverAfter {
		return nil, true
	}
	return jobs, false
}

// adopt takes a job over, unless its head shows another holder by now.
func (m *Manager) adopt(ctx context.Context, id string, from Holder) {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	head, o, err := m.getHead(ctx, callbudget.Commit, id)
	if err != nil || head.Holder != from || head.Complete() || m.isExcluded(id) {
		return
	}
	items, err := m.getItems(ctx, id, &head)
	if err != nil {
		return // the next sweep tries again
	}
	if len(items) != head.Total {
		m.Recorder.Record(timeline.ObjectRejected, id, KindItems, "items are missing")
		return
	}
	loaded := m.loadCheckpoints(ctx, id, &head)
	head.Holder = m.cfg.Self
	head.Epoch++
	head.Keepers = m.chooseKeepers(id, head.Keepers)
	revision, err := m.updateHead(ctx, id, &head, o.Revision)
	if err != nil {
		return // another node was first, or the next sweep finds this node's write
	}
	m.startHeldJob(id, head, revision, items, loaded, "taken over from "+from.String())
}

// expired reports whether a job need not be readable any more.
func (m *Manager) expired(head *Head) bool {
	return time.Since(time.UnixMilli(head.Submitted)) > m.cfg.KeepResults+removalMargin
}

// remove deletes all objects of an expired job; the head last, so that an
// interrupted removal is found again.
func (m *Manager) remove(ctx context.Context, id string, head *Head) {
	m.mu.Lock()
	if h := m.held[id]; h != nil {
		m.release(h, "expired")
	}
	delete(m.heads, id)
	m.mu.Unlock()
	m.results.forget(id)
	type object struct{ kind, name string }
	var all []object
	for _, s := range head.Segments {
		all = append(all, object{KindResults, s.Object})
	}
	for n := range head.Parts {
		all = append(all, object{KindItems, partName(id, n)})
	}
	if m.Ended(id) { // as the store has it
		all = append(all, object{KindEnds, id})
	}
	all = append(all, object{KindHeads, id})
	for _, o := range all {
		if err := m.Store.Delete(ctx, callbudget.Status, o.kind, o.name); err != nil && !errors.Is(err, objects.ErrNotFound) {
			return // the next sweep goes on
		}
	}
	m.Recorder.Record(timeline.JobDropped, id, "", "")
}
