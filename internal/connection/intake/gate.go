package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marblepond/marblepond/internal/errkind"
)

const (
	// defaultHeaderBytes and defaultHeaderTimeout apply until the first configuration is known.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 5 * time.Second
	// headerSlack is how many bytes more than the configured limit a header may take on the wire: the
	// limit leaves out the method, the protocol version and optional white space.
	headerSlack = 1 << 10
	// idleSlack is added to the configured idle timeout before a connection is closed, so
	// that a caller that respects the timeout never sends on a closed connection.
	idleSlack = time.Second
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

// Gate bounds callers' connections: size and time of each header before it is parsed, the memory that
// headers take together, and the time for which connections are idle. It is safe for concurrent use.
type Gate struct {
	budget *Budget
	limits atomic.Pointer[Limits]

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// NewGate returns a gate whose headers take memory of a budget.
func NewGate(budget *Budget) *Gate {
	g := &Gate{budget: budget, conns: map[*Conn]struct{}{}}
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
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
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
		case http.StateIdle:
			c.(*Conn).endRequest()
		case http.StateClosed, http.StateHijacked:
			c.(*Conn).leave()
		}
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Listen returns a listener whose connections the gate bounds.
func (g *Gate) Listen(l net.Listener) net.Listener { return gateListener{l, g} }

type gateListener struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener.
func (l gateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.gate.add(conn), nil
}

func (g *Gate) add(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, gate: g, since: time.Now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[c] = struct{}{}
	return c
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
