package dial

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// TestDeadConnectionsAreDetected: keep-alive probes and TCP_USER_TIMEOUT are set so that
// a connection that carries no more packets fails in less time than callers wait, whether
// it is idle, awaits a response, or was just written to.
func TestDeadConnectionsAreDetected(t *testing.T) {
	const callersWait = 5 * time.Second
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for name, dial := range map[string]func(context.Context, string, string) (net.Conn, error){"plain": KeepAliveDialer(time.Second).DialContext, "by the network": New(time.Second).DialContext} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := dial(context.Background(), "tcp", listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			option := func(name int) int {
				raw, err := conn.(*net.TCPConn).SyscallConn()
				is.NoErr(err)
				value := 0
				is.NoErr(raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }))
				is.NoErr(err)
				return value
			}
			idle := time.Duration(option(unix.TCP_KEEPIDLE)) * time.Second
			probing := time.Duration(option(unix.TCP_KEEPINTVL)*option(unix.TCP_KEEPCNT)) * time.Second
			sent := time.Duration(option(unix.TCP_USER_TIMEOUT)) * time.Millisecond
			is.True(idle > 0 && idle+probing < callersWait)
			is.True(sent > 0 && sent < callersWait)
		})
	}
}
