package lending

import (
	"context"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/request/allowance"
)

// maxDatagram is the largest datagram read, in bytes; names are short.
const maxDatagram = 4 << 10

// grantFrom is an answer to an ask.
type grantFrom struct {
	allowance.Grant
	unsure bool // the node can't tell
}

// Run exchanges over conn until ctx ends.
func (x *Exchange) Run(ctx context.Context, conn net.PacketConn) {
	x.conn.Store(&conn)
	go func() {
		<-ctx.Done()
		conn.Close()
	}()
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if err != nil {
			return // the socket is closed
		}
		var message v1.Lending
		if proto.Unmarshal(buffer[:n], &message) == nil {
			x.take(from, &message)
		}
	}
}

func (x *Exchange) take(from net.Addr, m *v1.Lending) {
	switch {
	case m.GetAsk() != nil:
		x.takeAsk(from, m.GetAsk())
	case m.GetGrant() != nil:
		x.takeGrant(m.GetGrant())
	}
}

// takeAsk answers another node's ask. One without a need only asks whether this node
// lives.
func (x *Exchange) takeAsk(from net.Addr, m *v1.LendingAsk) {
	if m.ForCentre && x.passOn(from, m) {
		return
	}
	grant := &v1.LendingGrant{Node: x.Node, Workspace: m.Workspace, Sequence: m.Sequence}
	x.mu.Lock()
	x.lived[m.Node] = x.Now()
	if _, known := x.Limit(m.Workspace); known && m.Need > 0 {
		g := x.lend(allowance.BorrowRequest{Workspace: m.Workspace, Borrower: m.Node, Boot: m.Boot, Sequence: m.Sequence, DataCentre: m.DataCentre,
			Need: int(m.Need), Prefetch: int(m.Ahead), Returned: int(m.Back), Share: float64(m.Share)}, false)
		grant.Lent, grant.WaitMs, grant.Share = uint32(g.Lent), uint32(g.Wait.Milliseconds()), float32(g.Share)
	} else {
		grant.Unsure = true
	}
	x.mu.Unlock()
	if m.ReplyTo != "" {
		asker, err := net.ResolveUDPAddr("udp", m.ReplyTo)
		if err != nil {
			return // not from a node of ours
		}
		from = asker
	}
	x.write(from, &v1.Lending{Kind: &v1.Lending_Grant{Grant: grant}})
}

// passOn passes an ask for this data centre on to the owner here; false: this node is to
// answer it.
func (x *Exchange) passOn(from net.Addr, m *v1.LendingAsk) bool {
	x.mu.Lock()
	owners := x.Fleet.Owners(m.Workspace, x.suspected)
	x.mu.Unlock()
	m.ForCentre = false
	if len(owners) == 0 || owners[0].Node == x.Node || owners[0].ForCentre || owners[0].Address == nil {
		return false
	}
	m.ReplyTo = from.String()
	x.write(owners[0].Address, &v1.Lending{Kind: &v1.Lending_Ask{Ask: m}})
	return true
}

// takeGrant hands an answer to the ask that waits for it.
func (x *Exchange) takeGrant(m *v1.LendingGrant) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lived[m.Node] = x.Now()
	p := x.pending[m.Workspace]
	if p == nil || p.sequence != m.Sequence {
		return // answered already
	}
	got := grantFrom{allowance.Grant{Lent: int(m.Lent), Wait: time.Duration(m.WaitMs) * time.Millisecond, Share: float64(m.Share)}, m.Unsure}
	select {
	case p.grants <- got:
	default: // a second answer to an ask that was sent again
	}
}

// sendAsk asks a node.
func (x *Exchange) sendAsk(lender Lender, ask allowance.BorrowRequest) {
	if lender.Address == nil {
		return
	}
	x.write(lender.Address, &v1.Lending{Kind: &v1.Lending_Ask{Ask: &v1.LendingAsk{Workspace: ask.Workspace, Node: ask.Borrower, Boot: ask.Boot, Sequence: ask.Sequence,
		DataCentre: ask.DataCentre, Need: uint32(ask.Need), Ahead: uint32(ask.Prefetch), Back: uint32(ask.Returned), Share: float32(ask.Share), ForCentre: lender.ForCentre}}})
}

func (x *Exchange) write(to net.Addr, m *v1.Lending) {
	data, err := proto.Marshal(m)
	conn := x.conn.Load()
	if err != nil || conn == nil {
		return // plain fields always encode; without a socket nobody is asked
	}
	_, _ = (*conn).WriteTo(data, to) // a lost datagram is sent again
}
