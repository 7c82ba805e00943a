// Package inflight tells nodes what each has in flight at targets, by datagrams
// that are always whole: a lost or late one is healed by the next.
//
// Nodes of a data centre share its targets, so each change goes to all of them,
// at most once an interval that grows with their number. Nodes of other data
// centres send here only what does not fit at home; they hear at a low rate,
// a few at a time. The datagrams that a node sends a second are bounded by
// 1/nearPace + farFanout/farInterval.
package inflight

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/request/choose"
)

const (
	// nearLeast is the least time between two rounds to the own data centre,
	// and nearPace is added to it for each node there: about 200 datagrams a
	// second at the most.
	nearLeast = 5 * time.Millisecond
	nearPace  = 5 * time.Millisecond
	// farInterval is the time between rounds to other data centres and farFanout
	// how many nodes one round reaches.
	farInterval = 100 * time.Millisecond
	farFanout   = 3
	// maxDatagram is the largest datagram read, in bytes.
	maxDatagram = 64 << 10
)

// Table is what is told and heard.
type Table interface {
	InFlight() map[string]choose.InFlight
	Heard(node string, boot int64, sequence uint64, counts map[string]choose.InFlight)
}

// Exchange sends and takes the datagrams of one node.
type Exchange struct {
	node     string
	boot     int64
	table    Table
	peers    func() (near, far []string)
	touched  chan struct{}
	sequence uint64
}

// New returns an exchange; Run starts it.
func New(node string, boot int64, table Table, peers func() (near, far []string)) *Exchange {
	return &Exchange{node: node, boot: boot, table: table, peers: peers, touched: make(chan struct{}, 1)}
}

// Touch says that something changed; it never blocks.
func (x *Exchange) Touch() {
	select {
	case x.touched <- struct{}{}:
	default:
	}
}

// Run exchanges over conn until ctx ends.
func (x *Exchange) Run(ctx context.Context, conn net.PacketConn) {
	go func() {
		<-ctx.Done()
		conn.Close()
	}()
	go x.receive(conn)
	far := time.NewTicker(farInterval)
	defer far.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-x.touched:
			near, _ := x.peers()
			x.send(conn, near)
			if !pause(ctx, nearLeast+time.Duration(len(near))*nearPace) {
				return
			}
		case <-far.C:
			near, others := x.peers()
			rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
			x.send(conn, append(near, others[:min(farFanout, len(others))]...))
		}
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (x *Exchange) send(conn net.PacketConn, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	x.sequence++
	message := &v1.InFlight{Node: x.node, Boot: x.boot, Sequence: x.sequence}
	for id, n := range x.table.InFlight() {
		message.Targets = append(message.Targets, &v1.TargetCounts{Target: id, Online: uint32(n.Online), Batch: uint32(n.Batch)})
	}
	data, err := proto.Marshal(message)
	if err != nil {
		return // plain fields always encode
	}
	for _, address := range addresses {
		if to, err := net.ResolveUDPAddr("udp", address); err == nil {
			_, _ = conn.WriteTo(data, to) // a lost datagram is healed by the next
		}
	}
}

func (x *Exchange) receive(conn net.PacketConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFrom(buffer)
		if err != nil {
			return // the socket is closed
		}
		var message v1.InFlight
		if proto.Unmarshal(buffer[:n], &message) != nil {
			continue // not one of ours
		}
		counts := make(map[string]choose.InFlight, len(message.Targets))
		for _, t := range message.Targets {
			counts[t.Target] = choose.InFlight{Online: int(t.Online), Batch: int(t.Batch)}
		}
		x.table.Heard(message.Node, message.Boot, message.Sequence, counts)
	}
}
