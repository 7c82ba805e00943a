package intake

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/errkind"
)

// serveHTTP2 starts a server behind a gate that speaks HTTP/2, and returns a client of one connection.
func serveHTTP2(t *testing.T, gate *Gate, handler http.HandlerFunc) (address string, client *http.Client) {
	t.Helper()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: handler, Protocols: protocols}
	gate.Guard(server)
	listener, err := gate.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	only2 := new(http.Protocols)
	only2.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: only2}
	t.Cleanup(transport.CloseIdleConnections)
	return listener.Addr().String(), &http.Client{Transport: transport}
}

// Guards against streams of one connection that take memory without a bound, and against headers of
// HTTP/2 that are taken for those of HTTP/1.1: refused for their size, or as late once the connection
// has been open for the header timeout.
func TestStreamsCountAgainstTheBudget(t *testing.T) {
	is := is.New(t)
	budget := NewBudget(2*streamBytes+4096, time.Now)
	gate := NewGate(budget, maxConns, time.Minute)
	gate.SetLimits(Limits{HeaderBytes: 64, HeaderTimeout: time.Millisecond})
	release, entered := make(chan struct{}), make(chan struct{}, 10)
	address, client := serveHTTP2(t, gate, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			entered <- struct{}{}
			<-release
		}
		fmt.Fprint(w, r.ProtoMajor)
	})
	get := func(path, fill string) (int, http.Header) {
		req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
		is.NoErr(err)
		req.Header.Set("X-Fill", fill)
		resp, err := client.Do(req)
		is.NoErr(err)
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		return resp.StatusCode, resp.Header
	}
	status, _ := get("/", strings.Repeat("x", 500))
	is.Equal(status, http.StatusOK)
	done := make(chan int)
	for range 2 {
		go func() {
			status, _ := get("/wait", "")
			done <- status
		}()
		<-entered
	}
	gate.sweep(time.Now().Add(time.Hour))
	status, header := get("/", "")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get("Retry-After") != "")
	close(release)
	for range 2 {
		is.Equal(<-done, http.StatusOK)
	}
	is.Equal(budget.Usage().Bytes, int64(0))
	status, _ = get("/", strings.Repeat("x", 10_000)) // counts twice
	is.Equal(status, http.StatusServiceUnavailable)
}

// Guards against headers that are not measured because they begin like an HTTP/2 connection.
func TestPrefaceIsNoWayAroundTheHeaderLimit(t *testing.T) {
	for _, preface := range []string{"PRI * HTTP/2.0\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n", "PRI * HTTP/1.1\r\n", http2Preface} {
		for _, http2 := range []bool{true, false} {
			is := is.New(t)
			gate := NewGate(NewBudget(mebi, time.Now), maxConns, time.Minute)
			gate.SetLimits(Limits{HeaderBytes: 1000})
			gate.http2 = http2
			c := &Conn{gate: gate}
			for _, b := range []byte(preface) {
				is.NoErr(c.note([]byte{b}))
			}
			is.Equal(c.multiplexed.Load(), http2 && preface == http2Preface)
			if !c.multiplexed.Load() && !c.header.complete {
				is.True(c.note([]byte("X-Fill: "+strings.Repeat("x", 3000))) != nil)
			}
		}
	}
}

// Guards against a multiplexed connection that counts as unused while it has streams.
func TestConnectionWithStreamsStays(t *testing.T) {
	is := is.New(t)
	gate := NewGate(NewBudget(mebi, time.Now), maxConns, time.Minute)
	release, entered := make(chan struct{}), make(chan struct{}, 1)
	address, client := serveHTTP2(t, gate, func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-release
	})
	unused := func() *Conn {
		gate.mu.Lock()
		defer gate.mu.Unlock()
		return gate.chooseUnused(time.Now().Add(time.Hour))
	}
	for range 2 {
		done := make(chan error)
		go func() {
			resp, err := client.Get("http://" + address)
			if err == nil {
				resp.Body.Close()
			}
			done <- err
		}()
		<-entered
		is.True(unused() == nil)
		release <- struct{}{}
		is.NoErr(<-done)
		for until := time.Now().Add(5 * time.Second); unused() == nil && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
		}
		is.True(unused() != nil)
		rank, _ := unused().rank()
		is.Equal(rank, keptIdle) // like one of HTTP/1.1
	}
}

// Guards against a file that is read piece by piece and takes memory that does not count, keeps it
// while it stalls and others need it, or ends without an error then.
func TestStreamedBodyGivesWay(t *testing.T) {
	is := is.New(t)
	budget := NewBudget(1000, time.Now)
	gate := NewGate(budget, maxConns, time.Minute)
	results := make(chan error, 2)
	address := serve(t, gate, func(w http.ResponseWriter, r *http.Request) {
		request := budget.NewRequest(w)
		defer request.End()
		body, err := request.StreamBody(r, 600)
		if err == nil {
			_, err = io.Copy(io.Discard, body)
		}
		results <- err
		if err != nil {
			request.IgnoreBody(r)
			w.WriteHeader(errkind.Of(err).HTTPStatus)
		}
	})
	sendRaw(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nwhole")
	is.NoErr(<-results)
	sendRaw(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\npart")
	for budget.Usage().Bytes == 0 {
		time.Sleep(time.Millisecond)
	}
	other := budget.NewReservation(func() {})
	is.True(!other.Grow(600)) // it has not stalled yet
	time.Sleep(stallTime)
	is.True(other.Grow(600))
	is.True(errkind.Is(<-results, errkind.Overloaded))
	other.Release()
	is.Equal(budget.Usage().Bytes, int64(0))
}
