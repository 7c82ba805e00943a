package hosted

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxHeader bounds the header of a request in bytes before the configured
	// limit is known; the adapter applies that one.
	maxHeader = 1 << 20
	// idleSlack is added to the configured idle time before a connection is
	// closed, so that a caller that keeps to the limit never meets the close.
	idleSlack = time.Second
	// reapInterval is the time between looks for idle connections.
	reapInterval = time.Second
)

// callerServer serves callers and closes connections that are idle for longer
// than the configuration in force allows.
type callerServer struct {
	http *http.Server
	idle atomic.Int64 // time.Duration; 0: no limit

	mu    sync.Mutex
	since map[net.Conn]time.Time // connections that are idle
}

func newCallerServer(handler http.Handler) *callerServer {
	c := &callerServer{since: map[net.Conn]time.Time{}}
	c.http = &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: time.Hour, MaxHeaderBytes: maxHeader, ConnState: c.state}
	return c
}

func (c *callerServer) setIdleTimeout(d time.Duration) { c.idle.Store(int64(d)) }

func (c *callerServer) state(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.since[conn] = time.Now()
		return
	}
	delete(c.since, conn)
}

func (c *callerServer) reapIdle(ctx context.Context) {
	every(ctx, reapInterval, func() {
		limit := time.Duration(c.idle.Load())
		if limit <= 0 {
			return
		}
		for _, conn := range c.idleFor(limit + idleSlack) {
			conn.Close()
		}
	})
}

func (c *callerServer) idleFor(limit time.Duration) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []net.Conn
	for conn, since := range c.since {
		if time.Since(since) > limit {
			out = append(out, conn)
		}
	}
	return out
}
