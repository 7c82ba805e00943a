package dial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrUnusable is returned by the first write of a request to a reused connection that the peer
// has closed, or on which bytes have arrived that belong to no request. Nothing was written.
var ErrUnusable = errors.New("the reused connection is closed, or bytes have arrived on it before the request")

// errAbandoned is returned by the first write of a request that was claimed as not sent.
var errAbandoned = errors.New("the request was abandoned before it was written")

// errUploadCut is returned by the read that finds the end of a connection whose request was not
// written to its end.
var errUploadCut = fmt.Errorf("the connection ended before the request was written: %w", io.ErrUnexpectedEOF)

// uploadStallTimeout is how long no more of a request may be written after the end of its answer.
const uploadStallTimeout = time.Second

// Conn is a pooled connection that knows whether the request in progress has been written. A
// request that was written to a connection whose peer process has ended may have run, as far as
// the sender can tell, and must not be repeated; one of which no byte was written may be.
type Conn struct {
	net.Conn
	raw     syscall.RawConn          // nil: the socket is not accessible
	current atomic.Pointer[useState] // the request in progress; nil: not traced
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

// Write implements net.Conn. It returns ErrUnusable in place of starting a request on a reused
// connection that cannot carry it.
func (c *Conn) Write(b []byte) (int, error) {
	use := c.current.Load()
	if use == nil {
		return c.Conn.Write(b)
	}
	if use.phase.Load() == written {
		n, err := c.Conn.Write(b)
		use.upload.wrote(b[:n], err)
		return n, err
	}
	if use.reused && c.unusable() {
		return 0, ErrUnusable
	}
	// From here on the request counts as written: the transport may report an error while the
	// write is in progress.
	if !use.phase.CompareAndSwap(unwritten, written) {
		return 0, errAbandoned
	}
	n, err := c.Conn.Write(b)
	if n == 0 && err != nil {
		use.phase.Store(unwritten)
	}
	use.upload.wrote(b[:n], err)
	return n, err
}

// Read implements net.Conn. The end of a connection on which an answer has begun is returned only
// once the request is written, as errUploadCut if it is not. The peer may have reset the
// connection: the system returns the error of a reset once, and where a write has taken it, a read
// sees the end of the stream. A head that states a transfer coding in HTTP/1.0 is not returned to
// its end.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	use := c.current.Load()
	if use == nil {
		return n, err
	}
	if n > 0 {
		use.answered.Store(true)
		if err := use.coding.read(b[:n]); err != nil {
			return 0, err
		}
	}
	if errors.Is(err, io.EOF) && use.answered.Load() && !use.upload.endsWhole(uploadStallTimeout) {
		return n, errUploadCut
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if use := c.current.Load(); use != nil {
		use.upload.end(false)
	}
	return c.Conn.Close()
}

// unusable reports whether the peer has closed the connection, or has sent bytes that no request
// awaits. It peeks at the socket, because the goroutine that reads from the connection may not have
// seen either yet.
func (c *Conn) unusable() bool {
	if c.raw == nil {
		return false
	}
	quiet := false
	err := c.raw.Control(func(fd uintptr) {
		var next [1]byte
		_, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR)
	})
	return !quiet || err != nil
}

// ConnUse records the use of a connection by one request. It is safe for concurrent use.
type ConnUse struct {
	// BodyBytes is the length of the request's body; negative: not known.
	BodyBytes int64

	current atomic.Pointer[useState] // nil: no connection yet
}

// useState is the use of one connection by one request.
type useState struct {
	pooled net.Conn // of the transport's pool
	conn   *Conn    // the same; nil: not a *Conn
	reused bool
	phase  atomic.Int32

	upload   upload
	answered atomic.Bool // bytes of an answer have arrived
	coding   codingCheck // used by the goroutine that reads
}

// The phases of a request on a connection.
const (
	unwritten int32 = iota // no byte was written
	written                // bytes were written, or a write is in progress
	abandoned              // no byte was written, and none will be
)

// connUseKey is the key of a request's *ConnUse in its context.
type connUseKey struct{}

// Trace returns a context whose request records the use of its connection in u.
func (u *ConnUse) Trace(ctx context.Context) context.Context {
	ctx = context.WithValue(ctx, connUseKey{}, u)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: u.GotConn})
}

// GotConn records the connection that the transport chose; it serves as
// httptrace.ClientTrace.GotConn.
func (u *ConnUse) GotConn(info httptrace.GotConnInfo) {
	state := &useState{pooled: info.Conn, reused: info.Reused, upload: upload{bodyLeft: u.BodyBytes, ended: make(chan struct{})}}
	if conn, ok := info.Conn.(*Conn); ok {
		state.conn = conn
		conn.current.Store(state)
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
	if state := u.current.Load(); state != nil && state.pooled != nil {
		state.pooled.Close()
	}
}

// ClaimUnsent reports whether no byte of the request was written to its connection. If so, none
// will be: the transport may return an error before it has tried to write.
func (u *ConnUse) ClaimUnsent() bool {
	state := u.current.Load()
	return state == nil || (state.conn != nil && state.phase.CompareAndSwap(unwritten, abandoned))
}
