package hosted

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marblepond/marblepond/internal/process/settings"
)

const (
	// maxHeader bounds the header of a request in bytes for all configurations; the adapter
	// enforces the configured limit.
	maxHeader = 1 << 20
	// idleSlack is added to the configured idle timeout before a connection is closed, so
	// that a caller that respects the timeout never sends on a closed connection.
	idleSlack = time.Second
	// reapInterval is the time between scans for idle connections.
	reapInterval = time.Second
)

const (
	// callerMemoryPart is the part of a node's memory that callers may occupy, unless the settings
	// state it.
	callerMemoryPart = 4
	// defaultCallerMemory in bytes applies to a node without a limit on its memory.
	defaultCallerMemory = 256 << 20
)

// callerMemory returns the memory in bytes that callers may occupy.
func callerMemory(s *settings.Settings) int64 {
	switch {
	case s.CallerMemory > 0:
		return int64(s.CallerMemory)
	case s.Memory > 0:
		return int64(s.Memory) << 20 / callerMemoryPart
	}
	return defaultCallerMemory
}

// callerServer serves callers and closes connections that are idle for longer
// than the configuration in force allows.
type callerServer struct {
	http        *http.Server
	idleTimeout atomic.Int64 // time.Duration; 0: no limit

	mu        sync.Mutex
	idleSince map[net.Conn]time.Time // only idle connections
}

func newCallerServer(handler http.Handler) *callerServer {
	c := &callerServer{idleSince: map[net.Conn]time.Time{}}
	c.http = &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: time.Hour, MaxHeaderBytes: maxHeader, ConnState: c.trackState}
	return c
}

func (c *callerServer) setIdleTimeout(d time.Duration) { c.idleTimeout.Store(int64(d)) }

func (c *callerServer) trackState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idleSince[conn] = time.Now()
		return
	}
	delete(c.idleSince, conn)
}

// reapIdle closes connections that are idle for too long, until ctx ends.
func (c *callerServer) reapIdle(ctx context.Context) {
	every(ctx, reapInterval, func() {
		limit := time.Duration(c.idleTimeout.Load())
		if limit <= 0 {
			return
		}
		for _, conn := range c.idleLongerThan(limit + idleSlack) {
			conn.Close()
		}
	})
}

func (c *callerServer) idleLongerThan(limit time.Duration) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []net.Conn
	for conn, since := range c.idleSince {
		if time.Since(since) > limit {
			out = append(out, conn)
		}
	}
	return out
}
