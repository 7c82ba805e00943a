package beacon

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// memoryNetwork delivers datagrams at once, in virtual time.
type memoryNetwork struct {
	mu    sync.Mutex
	conns map[string]*memoryConn
}

type memoryAddr string

func (memoryAddr) Network() string  { return "memory" }
func (a memoryAddr) String() string { return string(a) }

type datagram struct {
	data []byte
	from net.Addr
}

// memoryConn is a socket of a memoryNetwork. While it is paused nothing is sent or received,
// and what arrives waits in its queue, as it does while a process does not run. Reads go on
// after writes, the order in which the silence of others seems longest.
type memoryConn struct {
	net.PacketConn // nil: the other methods are not called
	network        *memoryNetwork
	addr           memoryAddr
	queue          chan datagram
	closed         chan struct{}
	pausedUntil    atomic.Pointer[time.Time]
}

func (n *memoryNetwork) listen(addr string) *memoryConn {
	c := &memoryConn{network: n, addr: memoryAddr(addr), queue: make(chan datagram, 10_000), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil {
		n.conns = map[string]*memoryConn{}
	}
	n.conns[addr] = c
	return c
}

func (c *memoryConn) pause(d time.Duration) {
	until := time.Now().Add(d)
	c.pausedUntil.Store(&until)
}

func (c *memoryConn) awaitEndOfPause(extra time.Duration) {
	if until := c.pausedUntil.Load(); until != nil && time.Until(*until) > -extra {
		time.Sleep(time.Until(until.Add(extra)))
	}
}

func (c *memoryConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case d := <-c.queue:
		c.awaitEndOfPause(time.Millisecond)
		return copy(buffer, d.data), d.from, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c *memoryConn) WriteTo(data []byte, to net.Addr) (int, error) {
	c.awaitEndOfPause(0)
	c.network.mu.Lock()
	receiver := c.network.conns[to.String()]
	c.network.mu.Unlock()
	if receiver != nil {
		select {
		case receiver.queue <- datagram{data: data, from: c.addr}:
		default:
		}
	}
	return len(data), nil
}

func (c *memoryConn) LocalAddr() net.Addr { return c.addr }

func (c *memoryConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c.addr.String())
	c.network.mu.Unlock()
	close(c.closed)
	return nil
}

// inVirtualTime runs a test on a clock that stands still while any goroutine runs, so that a
// machine without free processors changes nothing.
func inVirtualTime(t *testing.T, f func(t *testing.T, n *memoryNetwork)) {
	synctest.Test(t, func(t *testing.T) { f(t, &memoryNetwork{}) })
}
