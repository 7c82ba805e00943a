package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A connection can go silent for good while new ones to the same address work: a
// lost entry in a router, or an address that moved. Nothing is reset then, and
// each request on a kept connection waits until its own time limit. Probes find
// one that is idle or waits for an answer, and the limit on unacknowledged bytes
// one on which a request was just sent. The system's own limits are hours and a
// quarter of an hour.
const (
	// probeAfter is the time without a byte after which a connection is probed,
	// probeEvery the time between probes, and probes how many go unanswered before
	// it counts as dead: 4 s, which is longer than a link loses packets at a
	// stretch, and below the 5 s that callers wait at most. The system counts these
	// in whole seconds.
	probeAfter = 2 * time.Second
	probeEvery = time.Second
	probes     = 2
	// unacknowledged is how long bytes may be sent and not acknowledged.
	unacknowledged = probeAfter + probes*probeEvery
)

// KeepAliveDialer returns a dialer with one time limit, 0 for none, whose connections are
// found dead within unacknowledged of their falling silent.
func KeepAliveDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, Control: limitUnacknowledged,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probes}}
}

func limitUnacknowledged(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
