package beacon

import (
	"net"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
)

// SendStreamMessage sends a message to another node, in a datagram of its own that is handed
// to the network before the function returns. It does nothing if the node is not known.
func (x *Exchange) SendStreamMessage(node string, m *v1.StreamMessage) {
	address, conn := x.View().addresses[node], x.conn.Load()
	if address == nil || conn == nil {
		return
	}
	writeStreamMessage(*conn, address, m)
}

func writeStreamMessage(conn net.PacketConn, to net.Addr, m *v1.StreamMessage) {
	write(conn, []Peer{{Address: to}}, &v1.Beacon{Stream: m})
}

func (x *Exchange) receiveStreamMessage(m *v1.StreamMessage, from net.Addr) {
	if x.OnStreamMessage == nil {
		return
	}
	x.OnStreamMessage(m, func(answer *v1.StreamMessage) {
		if conn := x.conn.Load(); conn != nil {
			writeStreamMessage(*conn, from, answer)
		}
	})
}

// Reachable reports whether a node was heard of lately.
func (x *Exchange) Reachable(node string) bool { return x.reachable(node) }
