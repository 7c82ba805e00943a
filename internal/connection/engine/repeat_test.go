package engine

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/dial"
)

// Guards against a call that may run once and that net/http sends again on another connection,
// because it has no body and a method or a header that net/http takes for repeatable.
func TestPlainCallThatMayRunOnceIsNotRepeatedByTheTransport(t *testing.T) {
	for name, c := range map[string]struct {
		method string
		header http.Header
	}{
		"GET":                   {http.MethodGet, http.Header{}},
		"POST with another key": {http.MethodPost, http.Header{"X-Idempotency-Key": {"k"}}},
		"POST":                  {http.MethodPost, http.Header{}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			var arrived atomic.Int64
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go answerAllButSecond(conn, &arrived)
				}
			}()
			transport := &http.Transport{DialContext: dial.DetectClosed((&net.Dialer{}).DialContext)}
			defer transport.CloseIdleConnections()
			client := New(&http.Client{Transport: transport}, time.Second)
			call := PlainCall{Addr: listener.Addr().String(), Method: c.method, Path: "/", RequestID: "r", Header: c.header, NonIdempotent: true}
			_, err = client.Plain(context.Background(), call)
			is.NoErr(err)
			time.Sleep(20 * time.Millisecond) // the connection is idle
			_, err = client.Plain(context.Background(), call)
			is.True(err != nil)
			is.Equal(arrived.Load(), int64(2))
		})
	}
}

// answerAllButSecond answers the requests of a connection. It closes the connection in place of
// answering the second request over all.
func answerAllButSecond(conn net.Conn, arrived *atomic.Int64) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		if arrived.Add(1) == 2 {
			return
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}
