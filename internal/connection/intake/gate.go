package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/marblepond/marblepond/internal/errkind"
)

const (
	// defaultHeaderBytes and defaultHeaderTimeout apply until the first configuration is known, and
	// where it sets no limit.
	defaultHeaderBytes   = 1 << 20
	defaultHeaderTimeout = 5 * time.Second
	// headerSlack is how many bytes more than the configured limit a header may take on the wire: the
	// limit leaves out the method, the protocol version and optional white space.
	headerSlack = 1 << 10
	// idleSlack is added to the configured idle timeout before a connection is closed, so
	// that a caller that respects the timeout never sends on a closed connection.
	idleSlack = time.Second
	// unusedTime is how long a connection may do nothing before it gives way to a new one.
	unusedTime = time.Second
	// sweepInterval is the time between scans for connections that are over a timeout.
	sweepInterval = time.Second
)

// Limits are the configured limits of callers' headers and connections; 0: the default, and no limit
// for IdleTimeout.
type Limits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration // for a whole header, from its first byte
	IdleTimeout   time.Duration
}

// Gate bounds callers' connections: their number, the size and time of each header before it is parsed,
// the memory that headers take together, the time for which connections are idle, and that of writes
// that nobody reads. It is safe for concurrent use.
type Gate struct {
	budget       *Budget
	maxConns     int
	writeTimeout time.Duration
	http2        bool // the server speaks HTTP/2, too
	limits       atomic.Pointer[Limits]

	mu    sync.Mutex
	conns map[*Conn]struct{} // open; those that were closed to make room are left out
	// closed and refused count connections that were closed for lack of room, old and new ones.
	closed, refused int64
}

// NewGate returns a gate for up to maxConns connections, whose headers take memory of a budget. A
// write to a caller that reads nothing fails after writeTimeout.
func NewGate(budget *Budget, maxConns int, writeTimeout time.Duration) *Gate {
	g := &Gate{budget: budget, maxConns: maxConns, writeTimeout: writeTimeout, conns: map[*Conn]struct{}{}}
	g.SetLimits(Limits{})
	return g
}

// SetLimits sets the limits in force, also for open connections.
func (g *Gate) SetLimits(l Limits) {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	g.limits.Store(&l)
}

// Guard makes a server accept connections through the gate. The server has to serve what Listen
// returns.
func (g *Gate) Guard(s *http.Server) {
	g.http2 = s.Protocols != nil && s.Protocols.UnencryptedHTTP2()
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c != nil && c.multiplexed.Load() {
			c.markServed()
			serveStream(next, g.budget, w, r)
			return
		}
		if c != nil {
			if refusal := c.beginRequest(); refusal != nil {
				w.Header().Set("Connection", "close")
				w.WriteHeader(errkind.Of(refusal).HTTPStatus)
				return
			}
		}
		next.ServeHTTP(w, r)
	})
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		switch state {
		case http.StateActive:
			if c := c.(*Conn); c.multiplexed.Load() {
				c.enter(servesRequest)
			}
		case http.StateIdle:
			c.(*Conn).endRequest()
		case http.StateClosed, http.StateHijacked:
			c.(*Conn).leave()
		}
	}
}

// streamBytes is the memory of a stream of a multiplexed connection, with a small request.
const streamBytes = 16 << 10

// serveStream serves a request of a multiplexed connection. Unlike a connection, each stream and its
// header count against the budget.
func serveStream(next http.Handler, budget *Budget, w http.ResponseWriter, r *http.Request) {
	h := header{}
	for name, values := range r.Header {
		for _, value := range values {
			h.bytes += len(name) + len(value)
			h.fields++
		}
	}
	reservation := budget.NewReservation(func() {})
	defer reservation.Release()
	if !reservation.Grow(streamBytes + h.memory()) {
		err := errNoRoom()
		w.Header().Set("Retry-After", retryAfter(err))
		w.WriteHeader(errkind.Of(err).HTTPStatus)
		return
	}
	next.ServeHTTP(w, r)
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connOf returns the connection of a request, nil if the gate does not guard its server.
func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// receiveBuffer in bytes is what the kernel holds of a connection until it is read. It is smaller than
// the kernel's own choice, which grows to some MiB for each connection.
const receiveBuffer = 32 << 10

// Listen listens on a TCP address for connections that the gate bounds.
func (g *Gate) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer) // if it fails, the kernel's choice stays
		})
	}}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return gateListener{l, g}, nil
}

type gateListener struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener. A connection for which there is no room is closed: nothing of it
// was read, so that its caller may send again elsewhere.
func (l gateListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.add(conn, time.Now()); c != nil {
			return c, nil
		}
		conn.Close()
	}
}

// add returns a connection of the gate, nil if there is no room for it. The one that is most likely
// of no use to its caller is closed if there are too many.
func (g *Gate) add(conn net.Conn, now time.Time) *Conn {
	c := &Conn{Conn: conn, gate: g, since: now}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) >= g.maxConns {
		unused := g.chooseUnused(now)
		if unused == nil {
			g.refused++
			return nil
		}
		g.closed++
		delete(g.conns, unused)
		unused.Conn.Close()
	}
	g.conns[c] = struct{}{}
	return c
}

// chooseUnused returns the connection to close for a new one, nil if each is in use: of those that
// have done nothing for unusedTime the one that never brought a request, else the one whose request
// does not arrive, else the one that is kept idle; of these the longest without progress. The caller
// holds g.mu.
func (g *Gate) chooseUnused(now time.Time) *Conn {
	var chosen *Conn
	var rank int
	var since time.Time
	for c := range g.conns {
		r, s := c.rank()
		if r == inUse || now.Sub(s) < unusedTime {
			continue
		}
		if chosen == nil || r < rank || r == rank && s.Before(since) {
			chosen, rank, since = c, r, s
		}
	}
	return chosen
}

// Run closes connections that are over a timeout, until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.sweep(now)
		}
	}
}

func (g *Gate) sweep(now time.Time) {
	limits := g.limits.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		switch phase, since := c.state(); {
		case phase == readsHeader && now.Sub(since) > limits.HeaderTimeout:
			c.refuse(errkind.RequestTimeout.New("the header did not arrive in time"))
		case phase == isIdle && limits.IdleTimeout > 0 && now.Sub(since) > limits.IdleTimeout+idleSlack:
			c.Conn.Close()
		}
	}
}
