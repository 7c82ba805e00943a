package job

import (
	"time"

	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/request/backlog"
)

// Demand returns how many items of this node's jobs wait for a target or run.
func (m *Manager) Demand() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, h := range m.held {
		if !h.ended {
			n += h.progress.unfinished()
		}
	}
	return n
}

const (
	// announceDuration is how long a node announces to others that it holds a job: each of
	// them receives the announcement several times in that time.
	announceDuration = 2 * time.Second
	// announceTakeoverDuration is the same for a job that the node took over: the former
	// holder may be cut off, usually for a few seconds, and has to receive the announcement
	// soon afterwards.
	announceTakeoverDuration = 12 * time.Second
)

// Announced returns the jobs that this node recently started to hold.
func (m *Manager) Announced() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for id, h := range m.held {
		duration := announceDuration
		if h.head.Epoch > 1 {
			duration = announceTakeoverDuration
		}
		if time.Since(h.heldSince) < duration {
			out = append(out, id)
		}
	}
	return out
}

// ObserveHolder handles the announcement of another node that it holds jobs. If this node
// holds one of them too, it checks the head in the object store.
func (m *Manager) ObserveHolder(holder Holder, jobs []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range jobs {
		if h := m.held[id]; h != nil {
			if time.Since(h.verifiedAt) > verifyInterval {
				h.verifiedAt = time.Now()
				go m.verify(id, "node "+holder.Node+" announced that it holds the job")
			}
			continue
		}
		known := m.heads[id]
		if known.head.Holder != holder && !(known.fromStore && known.head.Complete()) {
			m.heads[id] = knownHead{head: Head{Holder: holder}, at: time.Now()}
		}
	}
}

// WaitingTokens returns the tokens of unfinished items of held jobs and of submissions in
// progress.
func (m *Manager) WaitingTokens() map[backlog.Key]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[backlog.Key]int64{}
	for _, h := range m.held {
		if h.ended {
			continue
		}
		if r := m.routeOf(&h.head); r != nil {
			out[backlog.Key{Route: r.Name, Workspace: h.head.Workspace}] += h.waitingTokens()
		}
	}
	for key, tokens := range m.reserved {
		out[key] += tokens
	}
	return out
}

// WaitingStored returns the tokens that wait in stored jobs, by their holder, from the objects of
// KindHeads. ok is false while this node does not know the routes of the jobs.
func (m *Manager) WaitingStored(heads []objects.Object) (out backlog.Stored, ok bool) {
	if m.Routes() == nil {
		return nil, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	out = backlog.Stored{}
	for _, o := range heads {
		head, err := decode[Head](o.Value)
		if err != nil || head.Waiting == 0 || m.expired(&head) || m.endKnown(o.Name) {
			continue
		}
		r := m.routeOf(&head)
		if r == nil {
			continue
		}
		key := backlog.Key{Route: r.Name, Workspace: head.Workspace}
		if out[key] == nil {
			out[key] = map[backlog.Incarnation]int64{}
		}
		out[key][backlog.Incarnation{Node: head.Holder.Node, Boot: head.Holder.Boot}] += head.Waiting
	}
	return out, true
}

// unlistedTokens returns the tokens of the items that a head does not list.
func unlistedTokens(head *Head, items []Item) int64 {
	total := int64(0)
	for i := range items {
		total += items[i].Tokens
	}
	for _, s := range head.Segments {
		for _, i := range s.Items {
			total -= items[i].Tokens
		}
	}
	return total
}

func (h *heldJob) waitingTokens() int64 {
	total := int64(0)
	for i := range h.items {
		if p := h.progress.items[i].phase; p == waiting || p == running {
			total += h.items[i].Tokens
		}
	}
	return total
}
