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

// ErrClosed is returned by the first write of a request to a reused connection that the
// peer has closed. Nothing was written.
var ErrClosed = errors.New("the peer has closed the reused connection")

// Conn is a pooled connection that counts the bytes written. A request that was written to
// a connection whose peer process has ended may have run, as far as the sender can tell, and
// must not be repeated; one of which no byte was written may be.
type Conn struct {
	net.Conn
	raw            syscall.RawConn // nil: the socket is not accessible
	checkNextWrite atomic.Bool     // the next write starts a request on a reused connection
	written        atomic.Int64    // bytes, over all requests
}

// DetectClosed wraps a dial function so that its connections are of type *Conn.
func DetectClosed(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		checked := &Conn{Conn: conn}
		if c, ok := conn.(syscall.Conn); ok {
			checked.raw, _ = c.SyscallConn() // fails only on closed connections, whose writes fail too
		}
		return checked, nil
	}
}

// Write implements net.Conn. It returns ErrClosed in place of starting a request on a
// connection that the peer has closed.
func (c *Conn) Write(b []byte) (int, error) {
	if c.checkNextWrite.Swap(false) && c.closed() {
		return 0, ErrClosed
	}
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// closed reports whether the peer has closed the connection. It peeks at the socket, because
// the goroutine that reads from the connection may not have seen the end of file yet.
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

// ConnUse records the use of a connection by one request. It is safe for concurrent use.
type ConnUse struct {
	current atomic.Pointer[useState] // nil: no connection yet
}

type useState struct {
	conn          *Conn // nil: not a *Conn
	reused        bool
	writtenBefore int64 // Conn.written when the request got the connection
}

// GotConn records the connection that the transport chose; it serves as
// httptrace.ClientTrace.GotConn.
func (u *ConnUse) GotConn(info httptrace.GotConnInfo) {
	state := &useState{reused: info.Reused}
	if conn, ok := info.Conn.(*Conn); ok {
		state.conn, state.writtenBefore = conn, conn.written.Load()
		conn.checkNextWrite.Store(info.Reused)
	}
	u.current.Store(state)
}

// Connected reports whether the request was given a connection.
func (u *ConnUse) Connected() bool { return u.current.Load() != nil }

// Reused reports whether the connection has served other requests before.
func (u *ConnUse) Reused() bool {
	state := u.current.Load()
	return state != nil && state.reused
}

// Discard closes the connection, so that no other request is sent on it.
func (u *ConnUse) Discard() {
	if state := u.current.Load(); state != nil && state.conn != nil {
		state.conn.Close()
	}
}

// NothingSent reports whether no byte of the request was written to the connection. It may
// be called only after the transport has returned an error for the request.
func (u *ConnUse) NothingSent() bool {
	state := u.current.Load()
	return state == nil || (state.conn != nil && state.conn.written.Load() == state.writtenBefore)
}
