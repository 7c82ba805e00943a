package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// An established connection can stop carrying packets while new ones to the same
// address work: a router lost its entry, or the address moved. No reset arrives
// then, and each request on a reused connection waits for its own timeout. TCP
// keep-alive probes detect such a connection when it is idle or awaits a response,
// TCP_USER_TIMEOUT when a request was just sent on it. The system's defaults are
// hours and a quarter of an hour.
const (
	// keepAliveIdle is the time without a byte after which a connection is probed,
	// keepAliveInterval the time between probes, and keepAliveProbes the number of
	// unanswered ones after which it is dead: 4 s in all, longer than a burst of
	// packet loss lasts, and below the 5 s that callers wait at most. The system
	// takes whole seconds only.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// maxUnacknowledged is how long sent bytes may stay unacknowledged.
	maxUnacknowledged = keepAliveIdle + keepAliveProbes*keepAliveInterval
)

// KeepAliveDialer returns a dialer with a fixed timeout (0: none). Its connections
// fail within maxUnacknowledged once they stop carrying packets.
func KeepAliveDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}}
}

func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var setErr error
	err := conn.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(maxUnacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
