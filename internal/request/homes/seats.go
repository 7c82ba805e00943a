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

func (k *Replicator) ranked(requestID string) []string {
	id, _ := ParseID(requestID)
	view := k.membership()
	members := view.ActiveIDs
	if len(members) == 0 { // everyone is leaving, this node too
		members = []string{view.Self.ID}
	}
	return rendezvous.Rank(id.Placement, members, candidates)
}

// seat is a place that may keep a request.
type seat struct {
	node  string // of this data centre; empty: another data centre
	relay bool   // the receiver passes the call on to its first home
	addrs []string
}

// seats returns where a request may be kept, in order of preference.
func (k *Replicator) seats(requestID string) []seat {
	var seats []seat
	for _, node := range k.ranked(requestID) {
		seats = append(seats, seat{node: node})
	}
	id, _ := ParseID(requestID)
	if addrs := k.contacts(id.SecondDataCentre); len(addrs) > 0 && id.DataCentre == k.membership().Self.DataCentre {
		away := seat{relay: true, addrs: addrs}
		seats = append(seats[:1:1], append([]seat{away}, seats[1:]...)...)
	}
	return seats
}

// contacts returns the addresses of a data centre's reachable contacts.
func (k *Replicator) contacts(dataCentre string) []string {
	var addrs []string
	for _, c := range k.membership().Contacts {
		if c.DataCentre == dataCentre && c.State != member.Dead && !k.avoided(c.PeerAddr) {
			addrs = append(addrs, c.PeerAddr)
		}
	}
	return addrs
}

const (
	// unheardWait is how long a look-up waits for the first word of a data centre that
	// this node, just started, may not know yet: one that is there answers within
	// some ten milliseconds.
	unheardWait = 300 * time.Millisecond
	unheardLook = 10 * time.Millisecond
)

// known reports whether there is such a data centre, silent or not. While there may be
// some that are not known it waits for a short time.
func (k *Replicator) known(ctx context.Context, dataCentre string) bool {
	ctx, cancel := context.WithTimeout(ctx, unheardWait)
	defer cancel()
	for {
		view := k.membership()
		known := slices.ContainsFunc(view.Contacts, func(c member.Member) bool { return c.DataCentre == dataCentre })
		if known || !view.SeedsPending || !wait.For(ctx, unheardLook) {
			return known
		}
	}
}

// avoidTime is how long an address that did not answer is not asked again.
const avoidTime = 2 * time.Second

func (k *Replicator) avoid(addr string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.avoidUntil[addr] = time.Now().Add(avoidTime)
}

func (k *Replicator) avoided(addr string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Now().Before(k.avoidUntil[addr])
}

// SecondDataCentre returns the data centre for the second home of a new request:
// the one with a reachable contact that was named first; empty when there is
// none.
func (k *Replicator) SecondDataCentre() string {
	for _, c := range k.membership().Contacts {
		if c.State != member.Dead && !c.Leaving && !k.avoided(c.PeerAddr) {
			return c.DataCentre
		}
	}
	return ""
}

// each calls f at the first seats at the same time, as many as are wanted, and
// at the following ones in place of those that fail. It returns how many have
// taken the call.
func (k *Replicator) each(requestID string, wanted int, f func(c peerClient, relay bool) error) (taken int) {
	seats := k.seats(requestID)
	first := seats[:min(wanted, len(seats))]
	failed := make([]bool, len(first))
	var wg sync.WaitGroup
	for i, s := range first {
		wg.Go(func() { failed[i] = k.at(s, f) != nil })
	}
	wg.Wait()
	for _, bad := range failed {
		if !bad {
			taken++
		}
	}
	for _, s := range seats[len(first):] {
		if taken < wanted && k.at(s, f) == nil {
			taken++
		}
	}
	return taken
}

// at calls f at one seat. A nil client means this node itself.
func (k *Replicator) at(s seat, f func(c peerClient, relay bool) error) error {
	if !s.relay {
		client, local, err := k.client(s.node)
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
		if err = f(k.pool.Client(addr), true); err == nil {
			return nil
		}
		k.avoid(addr)
	}
	return err
}

var errNotMember = errors.New("node is not a member")

func (k *Replicator) client(node string) (c peerClient, local bool, err error) {
	view := k.membership()
	if node == view.Self.ID {
		return nil, true, nil
	}
	m, ok := view.Find(node)
	if !ok {
		return nil, false, errNotMember
	}
	return k.pool.Client(m.PeerAddr), false, nil
}
