package job

import (
	"context"
	"errors"
	"maps"
	"math"
	"math/rand/v2"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/process/timeline"
)

const (
	// suspectSweepInterval is the time between sweeps while a holder is unresponsive or
	// lost jobs remain.
	suspectSweepInterval = 600 * time.Millisecond
	// adoptStagger is how much longer each further node in the order of a job waits before
	// it takes the job over: by then the node before it has done so, or is not running.
	adoptStagger = suspectSweepInterval
	// restartGrace is how long a node that responds but does not hold its job is given to
	// resume it: it has just restarted.
	restartGrace = 1500 * time.Millisecond
	// probeTimeout bounds the request that asks a holder which jobs it still holds.
	probeTimeout = 400 * time.Millisecond
	// adoptTimeout bounds one takeover.
	adoptTimeout = 5 * time.Second
	// removalMargin is added to the time for which a job is readable before its objects are
	// removed from the object store.
	removalMargin = 30 * time.Second
	// firstSweepDelay is the time from the start of a node to its first sweep: short,
	// because all nodes may have stopped at once, but usually long enough for the first
	// configuration and the ends of jobs to be known.
	firstSweepDelay = 300 * time.Millisecond
)

// sweep scans for lost jobs until ctx ends: those of an earlier incarnation of this node,
// those whose holder responds that it does not hold them, and those whose holder is
// unresponsive for too long. Every node scans after its start until none of its own earlier
// jobs remain. After that, only a few nodes of each data centre scan.
func (m *Manager) sweep(ctx context.Context) {
	pause, ownRemain := firstSweepDelay, true
	for m.waitForSweep(ctx, pause*3/4+rand.N(pause/2)) {
		m.pruneOld()
		pause = m.cfg.SweepInterval
		if !ownRemain && !m.Peers.IsSweeper() {
			continue
		}
		pause, ownRemain = m.sweepOnce(ctx)
	}
}

// TriggerSweep starts the next sweep at once, because a node has become unreachable.
func (m *Manager) TriggerSweep() {
	select {
	case m.sweepNow <- struct{}{}:
	default: // already triggered
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

// sweepOnce removes expired jobs and takes over lost ones. It returns the time until the next
// sweep, and whether jobs of an earlier incarnation of this node may remain.
func (m *Manager) sweepOnce(ctx context.Context) (pause time.Duration, ownRemain bool) {
	if !m.endsKnown() {
		return firstSweepDelay, true
	}
	heads, err := m.listHeads(ctx)
	if err != nil {
		return suspectSweepInterval, true // the object store is unavailable; retry soon
	}
	const none = time.Duration(math.MaxInt64)
	pause = none
	byHolder := map[Holder][]string{}
	for id, head := range heads {
		switch {
		case m.shouldRemove(id, &head.Head):
			m.remove(ctx, id, &head.Head)
		case m.expired(&head.Head):
		case head.Complete(), m.isExcluded(id):
		default:
			byHolder[head.Holder] = append(byHolder[head.Holder], id)
		}
	}
	orphaned := map[string]bool{}
	for holder, jobs := range byHolder {
		ownRemain = ownRemain || holder.Node == m.cfg.Self.Node
		lost, again := m.lostJobs(ctx, holder, jobs)
		if again {
			pause = min(pause, m.suspectPause(holder, len(lost)))
		}
		for _, id := range lost {
			orphaned[id] = true
		}
		for _, id := range lost {
			if m.shouldAdopt(id, holder) && m.hasMemory() {
				m.adoptListed(ctx, id, heads[id])
			} else {
				pause = suspectSweepInterval
			}
		}
	}
	m.mu.Lock()
	maps.DeleteFunc(m.orphanedSince, func(id string, _ time.Time) bool { return !orphaned[id] })
	m.mu.Unlock()
	if pause == none {
		pause = m.cfg.SweepInterval
	}
	return pause, ownRemain
}

// suspectPause returns the time until the next sweep for a suspected holder of which a number
// of jobs is known to be lost. With the shared view on, the sweepers do not list all heads
// again before its jobs may be taken over.
func (m *Manager) suspectPause(holder Holder, lost int) time.Duration {
	if !m.sharedView() || lost > 0 {
		return suspectSweepInterval
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	left := m.cfg.TakeOverAfter - time.Since(m.unreachableSince[holder.String()])
	return max(suspectSweepInterval, min(m.cfg.SweepInterval, time.Duration(earlySweepShare*float64(left))))
}

// earlySweepShare makes the sweep for a suspected holder come in time: pauses vary by a
// quarter.
const earlySweepShare = 0.8

// shouldAdopt reports whether this node should take a lost job over now. Nodes do so one
// after another, in an order that differs by job, so that not all of them read the head and
// the jobs of a lost node are spread over several nodes.
func (m *Manager) shouldAdopt(id string, holder Holder) bool {
	if holder.Node == m.cfg.Self.Node {
		return true // of an earlier incarnation of this node
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
		pause += restartGrace // its node responds
	}
	return time.Since(since) >= pause
}

// rememberListedHead remembers a head from a list that may be seconds old: it names the
// holder for reads, and a complete head never changes. If it shows a later holder of a job
// that this node holds, the job is released.
func (m *Manager) rememberListedHead(id string, head Head, revision int64) {
	m.fence(id, &head)
	m.mu.Lock()
	old, ok := m.heads[id]
	held := m.held[id] != nil
	if m.sharedView() && ok && old.fromStore && old.revision == revision {
		old.at = time.Now() // the list confirms what is known
		m.heads[id] = old
	}
	m.mu.Unlock()
	if held || (ok && old.revision >= revision) || (ok && !old.fromStore && !head.Complete()) {
		return // what is known is as recent, or came from the holder itself
	}
	m.rememberHead(id, head, revision, time.Time{})
}

// isExcluded reports whether this node must not take a job over: it holds the job, the job
// was ended or may have been, or the node is leaving.
func (m *Manager) isExcluded(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held[id] != nil || m.draining || !m.endsKnown() || m.endKnown(id)
}

// pruneOld forgets jobs and holders of which nothing was received for KeepResults: by then
// the object store contains the ends, and the heads can be read again.
func (m *Manager) pruneOld() {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := func(at time.Time) bool { return time.Since(at) > m.cfg.KeepResults }
	maps.DeleteFunc(m.endedAt, func(_ string, at time.Time) bool { return old(at) })
	maps.DeleteFunc(m.heads, func(_ string, known knownHead) bool { return old(known.at) })
	maps.DeleteFunc(m.unreachableSince, func(_ string, since time.Time) bool { return old(since) })
}

// lostJobs returns which of a holder's jobs no node runs, and whether the next sweep should
// follow soon.
func (m *Manager) lostJobs(ctx context.Context, holder Holder, jobs []string) (lost []string, sweepSoon bool) {
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

// unreachableHolder returns the jobs of a holder that did not respond, once it has been
// unresponsive for TakeOverAfter, and whether the next sweep should follow soon.
func (m *Manager) unreachableHolder(holder Holder, jobs []string) (lost []string, sweepSoon bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	since, known := m.unreachableSince[holder.String()]
	if !known {
		since = time.Now()
		if at, unreachable := m.Peers.UnreachableSince(holder.Node); unreachable {
			since = at // the object store may have been unavailable since, so that no sweep ran
		}
		m.unreachableSince[holder.String()] = since
	}
	if time.Since(since) < m.cfg.TakeOverAfter {
		return nil, true
	}
	return jobs, false
}

// adoptListed takes a job over whose head was listed. With the shared view on it does not
// read the head first: if the list is too old, the write finds another revision.
func (m *Manager) adoptListed(ctx context.Context, id string, listed listedHead) {
	if m.sharedView() && !listed.Complete() && !m.isExcluded(id) {
		limited, cancel := context.WithTimeout(ctx, adoptTimeout)
		err := m.takeOver(limited, id, listed.Head, listed.revision)
		cancel()
		if !errors.Is(err, errFenced) {
			return
		}
	}
	m.adopt(ctx, id, listed.Holder)
}

// adopt takes a job over, unless its head names another holder by now.
func (m *Manager) adopt(ctx context.Context, id string, from Holder) {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	head, o, err := m.getHead(ctx, callbudget.Commit, id)
	if err != nil || head.Holder != from || head.Complete() || m.isExcluded(id) {
		return
	}
	_ = m.takeOver(ctx, id, head, o.Revision) // another node was first, or the next sweep tries again
}

// takeOver takes a job over whose head has a revision. Errors: errFenced if it has another
// one, or those of the object store.
func (m *Manager) takeOver(ctx context.Context, id string, head Head, revision int64) error {
	from := head.Holder
	items, err := m.getItems(ctx, id, &head)
	if err != nil {
		return err
	}
	if len(items) != head.Total {
		m.Recorder.Record(timeline.ObjectRejected, id, KindItems, "items are missing")
		return errItemsMissing
	}
	loaded := m.loadCheckpoints(ctx, id, &head)
	head.Holder = m.cfg.Self
	head.Epoch++
	head.Keepers = m.chooseKeepers(id, head.Keepers)
	written, err := m.updateHead(ctx, id, &head, revision)
	if err != nil {
		return err // after a write with an unknown outcome the next sweep finds the head
	}
	m.startHeldJob(id, head, written, items, loaded, "taken over from "+from.String())
	return nil
}

// errItemsMissing means that the stored items of a job are not all there.
var errItemsMissing = errors.New("items are missing")

// removalStagger is how much longer each further node in the order of a job waits before it
// removes the job, with the shared view on: longer than the usual time between two sweeps, so that the node before
// it has removed the job and a list shows that.
const removalStagger = 10 * time.Second

// shouldRemove reports whether this node removes an expired job now. Where every sweeper did
// so at the same time, most of the calls found nothing to delete.
func (m *Manager) shouldRemove(id string, head *Head) bool {
	if !m.sharedView() {
		return m.expired(head)
	}
	age := time.Since(time.UnixMilli(head.Submitted))
	return age > m.cfg.KeepResults+removalMargin+time.Duration(m.Peers.AdoptRank(id))*removalStagger
}

// expired reports whether a job no longer has to be readable.
func (m *Manager) expired(head *Head) bool {
	return time.Since(time.UnixMilli(head.Submitted)) > m.cfg.KeepResults+removalMargin
}

// remove deletes all objects of an expired job. The head comes last, so that a later sweep
// finds and finishes an interrupted removal.
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
		for n := range max(1, s.Parts) {
			all = append(all, object{KindResults, partOfResult(s.Object, n)})
		}
	}
	for n := range head.Parts {
		all = append(all, object{KindItems, partName(id, n)})
	}
	if m.Ended(id) { // the end is stored
		all = append(all, object{KindEnds, id})
	}
	all = append(all, object{KindHeads, id})
	for _, o := range all {
		if err := m.Store.Delete(ctx, callbudget.Status, o.kind, o.name); err != nil && !errors.Is(err, objects.ErrNotFound) {
			return // the next sweep continues
		}
	}
	m.Recorder.Record(timeline.JobDropped, id, "", "")
}
