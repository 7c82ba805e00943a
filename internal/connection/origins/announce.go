package origins

import (
	"context"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/request/continuation"
)

// announceWait is how long the first event of a stream waits for the reply of a node that was told at
// which version streams begin: for as long as a message can be sent three times. A node that does not
// reply until then is taken for down.
const announceWait = 3 * resendInterval

// use is a version at which streams of a service begin.
type use struct {
	service string
	version continuation.Version
}

// announcement holds which other nodes were told that this one begins streams at a version.
type announcement struct {
	sequence uint32
	sentAt   time.Time
	first    map[string]time.Time // when each node was told first
	replied  map[string]bool
	awaited  int                 // nodes whose replies are awaited
	reached  *continuation.Fleet // whose nodes have all replied
	complete chan struct{}       // closed once the awaited nodes have replied
}

// AnnounceUse tells the other nodes that this one is about to begin a stream at a version, unless all
// of them know the version or were told. It does not block.
func (x *Exchange) AnnounceUse(service string, v continuation.Version) { x.announce(use{service, v}) }

// AwaitAnnounced returns once no other node can take another version for the only one at which streams
// of the service have begun: each knows this one or was told, or does not reply. Before that no caller
// may get an event of a stream that this node begins there.
func (x *Exchange) AwaitAnnounced(ctx context.Context, service string, v continuation.Version) {
	for {
		complete := x.announce(use{service, v})
		if complete == nil {
			return
		}
		resend := time.NewTimer(resendInterval)
		select {
		case <-complete:
		case <-resend.C:
		case <-ctx.Done():
			resend.Stop()
			return
		}
		resend.Stop()
	}
}

// announce tells the nodes that have not replied. It returns nil if none is waited for, and otherwise a
// channel that is closed once those that are have replied, not at each reply: a fleet has many.
func (x *Exchange) announce(u use) <-chan struct{} {
	x.mu.Lock()
	now := x.Now()
	if x.history.Settled(now, u.service, u.version) {
		x.mu.Unlock()
		return nil
	}
	a := x.announced[u]
	if a == nil {
		x.sequence++
		a = &announcement{sequence: x.sequence, first: map[string]time.Time{}, replied: map[string]bool{}, complete: make(chan struct{})}
		x.announced[u] = a
		x.history.Used(now, u.service, u.version) // this node derives no other one either
		x.Metrics.Counter("version_uses_announced").Inc(1)
	}
	known, fleet := x.FleetKnown(), x.Fleet() // in this order: the list of nodes may become known meanwhile
	if known && a.reached == fleet {
		x.mu.Unlock()
		return nil
	}
	receivers, resend, reached := map[string]bool{}, now.Sub(a.sentAt) >= resendInterval, true
	a.awaited = 0
	for _, nodes := range fleet.Nodes {
		for _, node := range nodes {
			if a.replied[node] {
				continue
			}
			reached = false
			first, told := a.first[node]
			if !told {
				a.first[node], first = now, now
			}
			if !told || resend {
				receivers[node] = true
			}
			if now.Sub(first) < announceWait {
				a.awaited++
			}
		}
	}
	if len(receivers) > 0 && resend {
		a.sentAt = now
	}
	if reached {
		a.reached = fleet
	}
	// A node that has just started and does not know the others yet waits for that.
	await, complete := a.awaited > 0 || !known, a.complete
	m := &v1.StreamMessage{Kind: &v1.StreamMessage_Use{Use: &v1.VersionUse{Sequence: a.sequence, Service: u.service, Version: string(u.version)}}}
	x.mu.Unlock()
	x.sendAll(receivers, m)
	if !await {
		return nil
	}
	return complete
}

// receiveUse notes that another node begins streams at a version.
func (x *Exchange) receiveUse(m *v1.VersionUse) *v1.StreamReply {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.history.Used(x.Now(), m.Service, continuation.Version(m.Version))
	return &v1.StreamReply{Sequence: m.Sequence, Node: x.Node}
}

// receiveAnnounceReply notes that a node has replied to an announcement; it reports whether the
// sequence is that of one. The caller holds x.mu.
func (x *Exchange) receiveAnnounceReply(r *v1.StreamReply) bool {
	for _, a := range x.announced {
		if a.sequence != r.Sequence {
			continue
		}
		if _, told := a.first[r.Node]; told && !a.replied[r.Node] {
			a.replied[r.Node] = true
			a.awaited--
			if a.awaited == 0 {
				close(a.complete)
				a.complete = make(chan struct{})
			}
		}
		return true
	}
	return false
}

// forgetAnnounced forgets announcements of versions that all nodes know by now. The caller holds x.mu.
func (x *Exchange) forgetAnnounced() {
	for u := range x.announced {
		if x.history.Settled(x.Now(), u.service, u.version) {
			delete(x.announced, u)
		}
	}
}
