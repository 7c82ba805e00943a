package dial

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrClosed is the error of writing to a kept connection that the other side has closed.
// Nothing was written.
var ErrClosed = errors.New("the other side has closed the kept connection")

// Conn is a connection that is kept between requests. Each of them must know whether any
// of it has left: one that was written into a connection whose process has ended may have
// run, for all that can be said afterwards, and may not be repeated.
type Conn struct {
	net.Conn
	raw     syscall.RawConn // nil: it can't be looked at
	kept    atomic.Bool     // the next write begins a request on a connection that was kept
	written atomic.Int64    // bytes
}

// DetectClosed has a dial function return connections of type *Conn.
func DetectClosed(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		checked := &Conn{Conn: conn}
		if c, ok := conn.(syscall.Conn); ok {
			checked.raw, _ = c.SyscallConn() // fails on closed connections only, and then writing does
		}
		return checked, nil
	}
}

// Write implements net.Conn. A request is not begun on a connection that the other side
// has closed; the error is ErrClosed then.
func (c *Conn) Write(b []byte) (int, error) {
	if c.kept.Swap(false) && c.closed() {
		return 0, ErrClosed
	}
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// closed reports whether the other side has closed the connection. It looks at the socket
// itself: whoever reads from it may not have come to see that.
func (c *Conn) closed() bool {
	if c.raw == nil {
		return false
	}
	closed := false
	err := c.raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open := errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) || n > 0
		closed = !open
	})
	return closed || err != nil
}

// ConnUse is what is known of the connection that a request was given. It is safe for
// concurrent use.
type ConnUse struct {
	over atomic.Pointer[use] // nil: none yet
}

type use struct {
	conn   *Conn // nil: of another kind
	kept   bool
	before int64 // bytes that it had written
}

// GotConn takes the connection, as httptrace.ClientTrace.GotConn.
func (u *ConnUse) GotConn(info httptrace.GotConnInfo) {
	given := &use{kept: info.Reused}
	if conn, ok := info.Conn.(*Conn); ok {
		given.conn, given.before = conn, conn.written.Load()
		conn.kept.Store(info.Reused)
	}
	u.over.Store(given)
}

// Connected reports whether the request was given a connection.
func (u *ConnUse) Connected() bool { return u.over.Load() != nil }

// Reused reports whether that has served other requests before.
func (u *ConnUse) Reused() bool {
	given := u.over.Load()
	return given != nil && given.kept
}

// NothingSent reports whether no byte of the request has left this node. It may be asked
// once the transport has failed with the connection.
func (u *ConnUse) NothingSent() bool {
	given := u.over.Load()
	return given == nil || (given.conn != nil && given.conn.written.Load() == given.before)
}
