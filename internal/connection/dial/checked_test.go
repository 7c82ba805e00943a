package dial

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/matryer/is"
)

// connPair returns a *Conn and the peer's end of the connection.
func connPair(t *testing.T) (*Conn, net.Conn) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	conn, err := DetectClosed((&net.Dialer{}).DialContext)(context.Background(), "tcp", listener.Addr().String())
	is.NoErr(err)
	peer, err := listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() { conn.Close(); peer.Close() })
	return conn.(*Conn), peer
}

// blockingConn blocks writes until release is closed, and then writes nothing if it fails.
type blockingConn struct {
	net.Conn
	began, release chan struct{}
	fails          bool
}

func (c *blockingConn) Write(b []byte) (int, error) {
	close(c.began)
	<-c.release
	if c.fails {
		return 0, errors.New("reset")
	}
	return len(b), nil
}

// Guards against a request that is sent twice, because its transport returns an error while the
// request is being written.
func TestRequestBeingWrittenIsNotUnsent(t *testing.T) {
	for _, fails := range []bool{false, true} {
		is := is.New(t)
		raw := &blockingConn{began: make(chan struct{}), release: make(chan struct{}), fails: fails}
		conn := &Conn{Conn: raw}
		var use ConnUse
		use.GotConn(httptrace.GotConnInfo{Conn: conn})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = conn.Write([]byte("request"))
		}()
		<-raw.began
		is.True(!use.ClaimUnsent())
		close(raw.release)
		<-ended
		is.Equal(use.ClaimUnsent(), fails)
	}
}

// Guards against a request that is sent twice, because its transport writes it after it has
// returned an error.
func TestUnsentRequestIsNotWrittenLater(t *testing.T) {
	is := is.New(t)
	conn, peer := connPair(t)
	var use ConnUse
	use.GotConn(httptrace.GotConnInfo{Conn: conn})
	is.True(use.ClaimUnsent())
	_, err := conn.Write([]byte("request"))
	is.True(errors.Is(err, errAbandoned))
	conn.Close()
	sent, err := io.ReadAll(peer)
	is.NoErr(err)
	is.Equal(len(sent), 0)
}

// Guards against a request that is lost, because it is written to a connection on which an answer
// waits that belongs to no request.
func TestBytesBeforeARequestMakeItsConnectionUnusable(t *testing.T) {
	is := is.New(t)
	conn, peer := connPair(t)
	var use ConnUse
	use.GotConn(httptrace.GotConnInfo{Conn: conn, Reused: true})
	_, err := peer.Write([]byte("HTTP/1.1 200 OK\r\n"))
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond) // loopback
	_, err = conn.Write([]byte("request"))
	is.True(errors.Is(err, ErrUnusable))
	is.True(use.ClaimUnsent())
}
