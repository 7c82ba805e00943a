package homes

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/process/member"
	"github.com/marblepond/marblepond/internal/process/rendezvous"
	"github.com/marblepond/marblepond/internal/process/wait"
)

// rankedNodes returns the nodes of this data centre that may be a replica of a
// request, in rendezvous order.
func (rp *Replicator) rankedNodes(requestID string) []string {
	id, _ := ParseID(requestID)
	view := rp.membership()
	members := view.ActiveIDs
	if len(members) == 0 { // all nodes are leaving, this node included
		members = []string{view.Self.ID}
	}
	return rendezvous.Rank(id.Placement, members, maxCandidates)
}

// candidate is a node, or a data centre, that may keep a replica of a request.
type candidate struct {
	node  string   // of this data centre; empty: another data centre
	relay bool     // the receiver forwards the call to the first replica of its data centre
	addrs []string // of contacts in the other data centre
}

// candidates returns where a request may be replicated, in order of preference.
func (rp *Replicator) candidates(requestID string) []candidate {
	var list []candidate
	for _, node := range rp.rankedNodes(requestID) {
		list = append(list, candidate{node: node})
	}
	id, _ := ParseID(requestID)
	if addrs := rp.contactAddrs(id.SecondDataCentre); len(addrs) > 0 && id.DataCentre == rp.membership().Self.DataCentre {
		remote := candidate{relay: true, addrs: addrs}
		list = append(list[:1:1], append([]candidate{remote}, list[1:]...)...)
	}
	return list
}

// contactAddrs returns the addresses of a data centre's contacts, without those
// that are dead or did not respond lately.
func (rp *Replicator) contactAddrs(dataCentre string) []string {
	var addrs []string
	for _, c := range rp.membership().Contacts {
		if c.DataCentre == dataCentre && c.State != member.Dead && !rp.avoided(c.PeerAddr) {
			addrs = append(addrs, c.PeerAddr)
		}
	}
	return addrs
}

const (
	// discoveryWait is how long a lookup waits for the first message of a data centre
	// that this node, which has just started, may not have discovered yet. An existing
	// data centre responds within some ten milliseconds.
	discoveryWait = 300 * time.Millisecond
	discoveryPoll = 10 * time.Millisecond
)

// isKnown reports whether a data centre has been discovered, reachable or not. While
// there may be undiscovered ones it waits for up to discoveryWait.
func (rp *Replicator) isKnown(ctx context.Context, dataCentre string) bool {
	ctx, cancel := context.WithTimeout(ctx, discoveryWait)
	defer cancel()
	for {
		view := rp.membership()
		known := slices.ContainsFunc(view.Contacts, func(c member.Member) bool { return c.DataCentre == dataCentre })
		if known || !view.SeedsPending || !wait.For(ctx, discoveryPoll) {
			return known
		}
	}
}

// avoidTime is how long an address that did not respond is not called again.
const avoidTime = 2 * time.Second

func (rp *Replicator) avoid(addr string) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	rp.avoidUntil[addr] = time.Now().Add(avoidTime)
}

func (rp *Replicator) avoided(addr string) bool {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return time.Now().Before(rp.avoidUntil[addr])
}

// SecondDataCentre returns the data centre for the second replica of a new
// request: the first by name with a reachable contact that is not leaving; empty
// if there is none.
func (rp *Replicator) SecondDataCentre() string {
	for _, c := range rp.membership().Contacts {
		if c.State != member.Dead && !c.Leaving && !rp.avoided(c.PeerAddr) {
			return c.DataCentre
		}
	}
	return ""
}

// callEach calls f concurrently at as many candidates as replicas are wanted, and
// then at the following candidates in place of those that failed. It returns the
// number of successful calls.
func (rp *Replicator) callEach(requestID string, replicas int, f func(c peerClient, relay bool) error) (succeeded int) {
	list := rp.candidates(requestID)
	first := list[:min(replicas, len(list))]
	failed := make([]bool, len(first))
	var wg sync.WaitGroup
	for i, s := range first {
		wg.Go(func() { failed[i] = rp.callAt(s, f) != nil })
	}
	wg.Wait()
	for _, isFailed := range failed {
		if !isFailed {
			succeeded++
		}
	}
	for _, s := range list[len(first):] {
		if succeeded < replicas && rp.callAt(s, f) == nil {
			succeeded++
		}
	}
	return succeeded
}

// callAt calls f for one candidate. A nil client means this node itself.
func (rp *Replicator) callAt(s candidate, f func(c peerClient, relay bool) error) error {
	if !s.relay {
		client, local, err := rp.clientFor(s.node)
		if err != nil {
			return err
		}
		if local {
			return f(nil, false)
		}
		return f(client, false)
	}
	err := errNotMember
	for _, addr := range s.addrs {
		if err = f(rp.pool.Client(addr), true); err == nil {
			return nil
		}
		rp.avoid(addr)
	}
	return err
}

// errNotMember means that a node is not in the membership of this data centre, or
// that another data centre has no contact to call.
var errNotMember = errors.New("node is not a member")

func (rp *Replicator) clientFor(node string) (c peerClient, local bool, err error) {
	view := rp.membership()
	if node == view.Self.ID {
		return nil, true, nil
	}
	m, ok := view.Find(node)
	if !ok {
		return nil, false, errNotMember
	}
	return rp.pool.Client(m.PeerAddr), false, nil
}
