package hosted

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/process/settings"
)

// darkAddress returns an address that drops connections: its queue of them is full.
func darkAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}
	for range 4 { // more than the queue holds; those beyond it wait
		go func() {
			if conn, err := net.DialTimeout("tcp", address.String(), 5*time.Second); err == nil {
				t.Cleanup(func() { conn.Close() })
			}
		}()
	}
	time.Sleep(100 * time.Millisecond)
	return address.String()
}

// TestDarkSeedIsLeftSoon: what was seen: after a loss of power of all machines nodes
// refused callers for 275 ms, and some for 540 ms, because they had no configuration. How
// it came about: machines start within 0.3 s of each other, and the seeds that a node
// asked were still dark. Cause: it tried to connect to each for 250 ms. Proof: the times
// are one and two times that and the time that a node takes otherwise.
func TestDarkSeedIsLeftSoon(t *testing.T) {
	is := is.New(t)
	p := newPeers(&settings.Settings{DialTimeout: 250 * time.Millisecond})
	address := darkAddress(t)
	started := time.Now()
	_, err := p.greet.at(address).Exchange(context.Background(), &v1.ExchangeRequest{})
	is.True(err != nil)
	is.True(time.Since(started) < 150*time.Millisecond)
}
