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

// grantReply is the answer to a borrow request.
type grantReply struct {
	allowance.Grant
	unsure bool // the node did not decide: it does not know the workspace, or was only probed
}

// Run sends and receives datagrams over conn until ctx ends.
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
			x.handle(from, &message)
		}
	}
}

func (x *Exchange) handle(from net.Addr, m *v1.Lending) {
	switch {
	case m.GetAsk() != nil:
		x.handleRequest(from, m.GetAsk())
	case m.GetGrant() != nil:
		x.handleGrant(m.GetGrant())
	}
}

// handleRequest answers the borrow request of another node. One that needs no tokens is a
// probe: any answer shows that this node is alive.
func (x *Exchange) handleRequest(from net.Addr, m *v1.LendingAsk) {
	if m.ForCentre && x.forwardToOwner(from, m) {
		return
	}
	grant := &v1.LendingGrant{Node: x.Node, Workspace: m.Workspace, Sequence: m.Sequence}
	x.mu.Lock()
	x.lastReceived[m.Node] = x.Now()
	if _, known := x.Limit(m.Workspace); known && m.Need > 0 {
		g := x.lend(allowance.BorrowRequest{Workspace: m.Workspace, Borrower: m.Node, Boot: m.Boot, Sequence: m.Sequence, DataCentre: m.DataCentre,
			Need: int(m.Need), Prefetch: int(m.Ahead), Returned: int(m.Back), Share: float64(m.Share)}, false)
		grant.StepMs, grant.Exceeding, grant.Used = uint32(g.Step.Milliseconds()), g.Exceeding, uint32(g.Used)
		grant.Lent, grant.WaitMs, grant.Share = uint32(g.Lent), uint32(g.Wait.Milliseconds()), float32(g.Share)
	} else {
		grant.Unsure = true
	}
	x.mu.Unlock()
	if m.ReplyTo != "" {
		borrower, err := net.ResolveUDPAddr("udp", m.ReplyTo)
		if err != nil {
			return // not sent by a node of the fleet
		}
		from = borrower
	}
	x.write(from, &v1.Lending{Kind: &v1.Lending_Grant{Grant: grant}})
}

// forwardToOwner forwards a borrow request for this data centre to the owner here; false:
// this node has to answer it.
func (x *Exchange) forwardToOwner(from net.Addr, m *v1.LendingAsk) bool {
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

// handleGrant passes an answer to the borrow request that waits for it.
func (x *Exchange) handleGrant(m *v1.LendingGrant) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastReceived[m.Node] = x.Now()
	p := x.pending[m.Workspace]
	if p == nil || p.sequence != m.Sequence {
		return // answered already
	}
	reply := grantReply{allowance.Grant{Lent: int(m.Lent), Wait: time.Duration(m.WaitMs) * time.Millisecond, Share: float64(m.Share),
		Step: time.Duration(m.StepMs) * time.Millisecond, Exceeding: m.Exceeding, Used: int(m.Used)}, m.Unsure}
	select {
	case p.grants <- reply:
	default: // a second answer, to a request that was sent again
	}
}

// sendRequest sends a borrow request to a node.
func (x *Exchange) sendRequest(lender Lender, request allowance.BorrowRequest) {
	if lender.Address == nil {
		return
	}
	x.write(lender.Address, &v1.Lending{Kind: &v1.Lending_Ask{Ask: &v1.LendingAsk{Workspace: request.Workspace, Node: request.Borrower, Boot: request.Boot, Sequence: request.Sequence,
		DataCentre: request.DataCentre, Need: uint32(request.Need), Ahead: uint32(request.Prefetch), Back: uint32(request.Returned), Share: float32(request.Share), ForCentre: lender.ForCentre}}})
}

func (x *Exchange) write(to net.Addr, m *v1.Lending) {
	data, err := proto.Marshal(m)
	conn := x.conn.Load()
	if err != nil || conn == nil {
		return // plain fields always encode; without a socket no node is asked
	}
	_, _ = (*conn).WriteTo(data, to) // a lost datagram is sent again
}
