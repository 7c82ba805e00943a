package intake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
	"pgregory.net/rapid"
)

// maxConns is the bound on connections of a gate under test.
const maxConns = 50

// serveGate starts a server behind a gate. It answers with the length of the body.
func serveGate(t *testing.T, b *Budget, l Limits) (*Gate, string) {
	t.Helper()
	gate := NewGate(b, maxConns, time.Minute)
	gate.SetLimits(l)
	return gate, serve(t, gate, func(w http.ResponseWriter, r *http.Request) {
		request := b.NewRequest(w)
		defer request.End()
		body, err := request.ReadBody(r, mebi, time.Minute)
		if err != nil {
			request.IgnoreBody(r)
			w.WriteHeader(http.StatusInternalServerError)
		}
		fmt.Fprint(w, len(body))
	})
}

// serve starts a server behind a gate and returns its address.
func serve(t *testing.T, gate *Gate, handler http.HandlerFunc) string {
	t.Helper()
	server := &http.Server{Handler: handler}
	gate.Guard(server)
	listener, err := gate.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// get returns a request whose header takes a number of bytes.
func get(bytes int) string {
	const text = "GET / HTTP/1.1\r\nHost: h\r\nX-Fill: %s\r\n\r\n"
	return fmt.Sprintf(text, strings.Repeat("x", bytes-len(text)+len("%s")))
}

// Guards against a limit that refuses a header of just its size, or takes a larger one.
func TestHeaderLimit(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(16 * mebi)
	const limit = 6000
	gate, address := serveGate(t, b, Limits{HeaderBytes: limit})
	is.Equal(readStatus(t, sendRaw(t, address, get(limit+headerSlack))), http.StatusOK)
	is.Equal(readStatus(t, sendRaw(t, address, get(limit+headerSlack+1))), http.StatusRequestHeaderFieldsTooLarge)
	open := sendRaw(t, address, get(limit + headerSlack)[:100])
	gate.SetLimits(Limits{HeaderBytes: 50}) // also for open connections
	_, err := io.WriteString(open, get(limit + headerSlack)[100:])
	is.NoErr(err)
	is.Equal(readStatus(t, open), http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(gate.Stats().HeaderTooLarge, int64(2))
	waitReleased(t, b)
}

// Guards against a refusal that is lost because its connection is closed with unread bytes.
func TestRefusalOfALongHeaderArrives(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(16 * mebi)
	_, address := serveGate(t, b, Limits{HeaderBytes: 8 << 10})
	for _, text := range []string{get(100 << 10), strings.Repeat("\x00", 100<<10), strings.Repeat("a:\n", 30<<10)} {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer conn.Close()
		io.WriteString(conn, text) // the server may have closed its side
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.True(resp.StatusCode == http.StatusRequestHeaderFieldsTooLarge || resp.StatusCode == http.StatusBadRequest)
		is.True(resp.Close)
	}
}

// Guards against headers that are small on the wire, and together take more memory than there is.
func TestHeadersShareTheBudget(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(mebi)
	_, address := serveGate(t, b, Limits{HeaderBytes: 16 << 10})
	head := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 1500)
	statuses := map[int]int{}
	var conns []net.Conn
	for range 6 {
		conn := sendRaw(t, address, head)
		time.Sleep(20 * time.Millisecond) // one after the other
		conns = append(conns, conn)
	}
	for _, conn := range conns {
		io.WriteString(conn, "\r\n") // a refused one is closed
		statuses[readStatus(t, conn)]++
	}
	is.Equal(statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable], len(conns))
	is.True(statuses[http.StatusOK] > 0 && statuses[http.StatusServiceUnavailable] > 0)
	is.Equal(readStatus(t, sendRaw(t, address, head+"\r\n")), http.StatusOK) // alone it fits
	waitReleased(t, b)
}

// Guards against a header that never ends and keeps its connection, and against a timeout that closes
// idle connections or ones whose request runs.
func TestHeaderTimeout(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(16 * mebi)
	limits := Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 10 * time.Second}
	gate, address := serveGate(t, b, limits)
	unused := sendRaw(t, address, "")
	begun := sendRaw(t, address, "GET / HTTP/1.1\r\n")
	kept := sendRaw(t, address, get(100))
	is.Equal(readStatus(t, kept), http.StatusOK)
	waitPhases(t, gate, map[phase]int{isIdle: 2, readsHeader: 1})
	gate.sweep(time.Now().Add(limits.HeaderTimeout + time.Second))
	is.Equal(readStatus(t, begun), http.StatusRequestTimeout)
	is.Equal(gate.Stats().HeaderLate, int64(1))
	for _, conn := range []net.Conn{unused, kept} {
		_, err := io.WriteString(conn, get(100))
		is.NoErr(err)
	}
	is.Equal(readStatus(t, kept), http.StatusOK)
	is.Equal(readStatus(t, unused), http.StatusOK)
	waitPhases(t, gate, map[phase]int{isIdle: 2})
	gate.sweep(time.Now().Add(limits.IdleTimeout + idleSlack + time.Second))
	_, err := kept.Read(make([]byte, 1))
	is.True(err == io.EOF)
}

// waitPhases waits until a number of connections are in each phase.
func waitPhases(t *testing.T, g *Gate, want map[phase]int) {
	t.Helper()
	var got map[phase]int
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		got = map[phase]int{}
		g.mu.Lock()
		for c := range g.conns {
			phase, _ := c.state()
			got[phase]++
		}
		g.mu.Unlock()
		if fmt.Sprint(got) == fmt.Sprint(want) {
			return
		}
	}
	t.Fatalf("connections by phase: %v, want %v", got, want)
}

// Guards against bytes of a body, or of the next request, that count as a header.
func TestOnlyHeadersAreLimited(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(16 * mebi)
	gate, address := serveGate(t, b, Limits{HeaderBytes: 100})
	body := strings.Repeat("\n", 50_000)
	// net/http had the end of the header already, with the end of the request before.
	running := addConn(t, gate, time.Now())
	is.NoErr(running.note([]byte("Host: h")))
	is.NoErr(running.beginRequest())
	is.NoErr(running.note([]byte(strings.Repeat("x", 50_000))))
	conn := sendRaw(t, address, withLength(len(body), body))
	reader := bufio.NewReader(conn)
	for range 3 {
		_, err := io.WriteString(conn, chunked(body)+withLength(5000, body[:5000])+get(60)+get(60)) // pipelined
		is.NoErr(err)
	}
	for i := range 13 {
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		length, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		want := []int{50_000, 5000, 0, 0}[(i+3)%4]
		if i == 0 {
			want = 50_000
		}
		is.Equal(string(length), fmt.Sprint(want))
	}
}

// Guards against a header that is measured differently when it arrives in other pieces, or whose end
// is not where net/http finds it.
func TestHeaderEndsWhereTheRequestBegins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		end := rapid.SampledFrom([]string{"\r\n", "\n"})
		var text strings.Builder
		text.WriteString("GET / HTTP/1.1" + end.Draw(t, "end"))
		fields := rapid.IntRange(0, 20).Draw(t, "fields")
		for i := range fields {
			fmt.Fprintf(&text, "a%d:%s%s", i, rapid.StringMatching(`[ a-z\t]{0,20}`).Draw(t, "value"), end.Draw(t, "end"))
		}
		text.WriteString(end.Draw(t, "end"))
		size := text.Len()
		rest := rapid.StringMatching(`[\r\na-z]{0,50}`).Draw(t, "rest")
		reader := bufio.NewReader(strings.NewReader(text.String() + rest))
		if _, err := http.ReadRequest(reader); err != nil {
			t.Fatal(err)
		}
		if left, _ := io.ReadAll(reader); len(left) != len(rest) {
			t.Fatalf("net/http leaves %d bytes, want %d", len(left), len(rest))
		}
		var h header
		for all := []byte(text.String() + rest); len(all) > 0; {
			n := rapid.IntRange(1, len(all)).Draw(t, "piece")
			h.add(all[:n])
			all = all[n:]
		}
		if !h.complete || h.bytes != size || h.fields != fields+1 {
			t.Fatalf("complete %v, %d bytes of %d, %d lines of %d", h.complete, h.bytes, size, h.fields, fields+1)
		}
	})
}

// Guards against a gate that keeps closed connections.
func TestClosedConnectionsAreForgotten(t *testing.T) {
	b, _ := newBudget(mebi)
	gate, address := serveGate(t, b, Limits{})
	for _, text := range []string{"", "GET", get(100), withLength(10, "1"), "no request\r\n\r\n"} {
		sendRaw(t, address, text).Close()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go gate.Run(ctx)
	waitPhases(t, gate, map[phase]int{})
}

// addConn adds a connection whose other end is the test.
func addConn(t *testing.T, g *Gate, now time.Time) *Conn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { far.Close() })
	return g.add(near, now)
}

// Guards against connections without use that keep all descriptors, and against a gate that closes
// one with a request on it, or one that is kept for the next request before one that never had any.
func TestUnusedConnectionsGiveWay(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(mebi)
	gate := NewGate(b, 5, time.Minute)
	begin := time.Now()
	at := func(s time.Duration) time.Time { return begin.Add(s * time.Second) }
	running, sending, kept, silent, header := addConn(t, gate, begin), addConn(t, gate, begin), addConn(t, gate, begin), addConn(t, gate, begin), addConn(t, gate, begin)
	is.True(addConn(t, gate, begin) == nil) // all are new
	is.NoErr(running.beginRequest())
	is.NoErr(sending.beginRequest())
	sending.bodyProgress(true)
	is.NoErr(kept.beginRequest())
	kept.endRequest()
	is.NoErr(header.note([]byte("GET")))

	closed := func(s time.Duration) *Conn {
		before := map[*Conn]bool{}
		for c := range gate.conns {
			before[c] = true
		}
		added := addConn(t, gate, at(s))
		if added == nil {
			return nil
		}
		is.NoErr(added.beginRequest()) // it is in use
		for c := range gate.conns {
			delete(before, c)
		}
		is.Equal(len(before), 1)
		for c := range before {
			return c
		}
		return nil
	}
	is.Equal(closed(2), silent)
	sending.bodyProgress(true) // later than the header
	is.Equal(closed(3), header)
	is.Equal(closed(3), sending)
	is.Equal(closed(3), kept)
	is.True(closed(60) == nil) // requests run on all
	is.Equal(gate.Stats().ConnectionsClosed, int64(4))
	running.endRequest()
	is.Equal(closed(60), running)
}

// Guards against a bound on connections that a server meets before it is full, or goes beyond.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(mebi)
	gate, address := serveGate(t, b, Limits{})
	var conns []net.Conn
	for range maxConns {
		conns = append(conns, sendRaw(t, address, ""))
	}
	waitPhases(t, gate, map[phase]int{isIdle: maxConns})
	over := sendRaw(t, address, "")
	_, err := over.Read(make([]byte, 1))
	is.True(err != nil) // closed without an answer
	is.Equal(gate.Stats().ConnectionsRefused, int64(1))
	for _, conn := range conns {
		_, err := io.WriteString(conn, get(100))
		is.NoErr(err)
		is.Equal(readStatus(t, conn), http.StatusOK)
	}
}

// Guards against bytes that no bound of this package sees, because the kernel holds them: the buffer
// of a connection grows to some MiB unless its size is set.
func TestReceiveBuffersAreSmall(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(mebi)
	listener, err := NewGate(b, 1, time.Minute).Listen("127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	sendRaw(t, listener.Addr().String(), "")
	conn, err := listener.Accept()
	is.NoErr(err)
	defer conn.Close()
	raw, err := conn.(*Conn).Conn.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	var size int
	is.NoErr(raw.Control(func(fd uintptr) { size, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) }))
	is.NoErr(err)
	is.True(size > 0 && size <= 2*receiveBuffer) // the kernel doubles it for its own use
}

// Guards against a refusal that is lost because the connection is closed before the body has come:
// net/http reads no more of a request that says that its connection closes.
func TestRefusalBeforeTheBodyArrives(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(16 * mebi)
	_, address := serveGate(t, b, Limits{})
	for range 20 {
		conn := sendRaw(t, address, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", mebi+1))
		for range 20 { // the rest comes while the request is refused
			_, err := conn.Write(make([]byte, 4<<10))
			is.NoErr(err)
			time.Sleep(time.Millisecond)
		}
		is.Equal(readStatus(t, conn), http.StatusInternalServerError)
	}
}
