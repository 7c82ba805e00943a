package serve

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/marblepond/marblepond/internal/connection/intake"
	"github.com/marblepond/marblepond/internal/version/fleet"
)

// newBoundedServer returns a server without components, whose callers may occupy a number of bytes.
func newBoundedServer(bytes int64) *Server {
	return New(Limits{MaxBody: 1 << 20, RequestTimeout: time.Minute}, Dependencies{Metrics: tally.NoopScope, CallerMemory: intake.NewBudget(bytes, time.Now)})
}

// Guards against connections that a request for a page holds for ever, because its body does not end.
func TestUnfinishedBodyHoldsNoPage(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(newBoundedServer(1 << 20))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	fmt.Fprint(conn, "GET /healthz HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n")
	is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Second)))
	in := bufio.NewReader(conn)
	resp, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	_, err = in.ReadByte()
	is.Equal(err, io.EOF) // the server closes it
}

// Guards against a time limit on bodies that is shorter than the one of the service that they are for.
func TestBodyHasTheTimeOfTheLongestService(t *testing.T) {
	is := is.New(t)
	s := newBoundedServer(1 << 20)
	s.limits.RequestTimeout = 10 * time.Millisecond
	c := &session{config: &fleet.Config{Services: map[string]*fleet.Service{"a": {Name: "a"}, "slow": {Name: "slow", Deadline: time.Minute}}}}
	var got string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.bounds = s.CallerMemory.NewRequest(w)
		defer c.bounds.End()
		body, err := s.body(r, c)
		is.NoErr(err)
		got = string(body)
	}))
	defer server.Close()
	body, writer := io.Pipe()
	go func() {
		time.Sleep(100 * time.Millisecond)
		fmt.Fprint(writer, "late")
		writer.Close()
	}()
	resp, err := http.Post(server.URL, "text/plain", body)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(got, "late")
}
