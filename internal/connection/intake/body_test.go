package intake

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/errkind"
)

// result is what a handler got of a body.
type result struct {
	body []byte
	err  error
}

// serveBodies starts a server that reads bodies within the given bounds and answers refusals.
func serveBodies(t *testing.T, b *Budget, limit int64, left time.Duration) (address string, results chan result) {
	results = make(chan result, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := b.NewRequest(w)
		defer request.End()
		body, err := request.ReadBody(r, limit, left)
		results <- result{body, err}
		if err != nil {
			w.WriteHeader(errkind.Of(err).HTTPStatus)
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), results
}

// sendRaw sends the text of a request and returns the connection.
func sendRaw(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

func readStatus(t *testing.T, conn net.Conn) int {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

func withLength(length int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

func chunked(body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// Guards against a limit that refuses a body of just its size, or takes a larger one, in any framing;
// and against bytes lost where a buffer grows.
func TestBodyLimit(t *testing.T) {
	is := is.New(t)
	for _, limit := range []int{1, freeBodyBytes - 1, freeBodyBytes, freeBodyBytes + 1, 100_000, mebi} {
		b, _ := newBudget(8 * mebi)
		address, results := serveBodies(t, b, int64(limit), time.Minute)
		at := strings.Repeat("0123456789", limit/10+1)[:limit]
		for _, text := range []string{withLength(limit, at), chunked(at)} {
			is.Equal(readStatus(t, sendRaw(t, address, text)), http.StatusOK)
			is.True(bytes.Equal((<-results).body, []byte(at)))
		}
		for _, text := range []string{withLength(limit+1, ""), chunked(at + "x")} {
			is.Equal(readStatus(t, sendRaw(t, address, text)), http.StatusRequestEntityTooLarge) // before the body has come
			is.True(errkind.Is((<-results).err, errkind.TooLarge))
		}
		waitReleased(t, b)
	}
}

func waitReleased(t *testing.T, b *Budget) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); b.Usage().Bytes != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%d bytes are still held", b.Usage().Bytes)
		}
	}
}

// Guards against a body that does not come and is waited for without end.
func TestBodyTimeout(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(8 * mebi)
	address, results := serveBodies(t, b, mebi, 20*time.Millisecond)
	for _, text := range []string{withLength(10, "123"), withLength(100_000, strings.Repeat("x", 50_000)), strings.TrimSuffix(chunked("12345"), "0\r\n\r\n")} {
		conn := sendRaw(t, address, text)
		is.Equal(readStatus(t, conn), http.StatusRequestTimeout)
		is.True(errkind.Is((<-results).err, errkind.RequestTimeout))
	}
	waitReleased(t, b)
	is.Equal(b.counters.bodyLate.Load(), int64(3))
}

// Guards against a stated length that takes memory before the bytes have come.
func TestStatedLengthTakesNoMemory(t *testing.T) {
	b, _ := newBudget(2 * mebi)
	address, _ := serveBodies(t, b, 100*mebi, time.Minute)
	for range 10 {
		sendRaw(t, address, withLength(mebi, strings.Repeat("x", freeBodyBytes+1)))
	}
	for until := time.Now().Add(5 * time.Second); b.Usage().Bytes == 0 && time.Now().Before(until); time.Sleep(time.Millisecond) {
	}
	if used := b.Usage(); used.Refused > 0 || used.Revoked > 0 {
		t.Fatalf("refused for a length: %+v", used)
	}
}

// movedBytes returns how much of their bodies has come of all transfers.
func movedBytes(b *Budget) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := int64(0)
	for r := range b.transfers {
		sum += r.moved
	}
	return sum
}

// Guards against a revoked transfer that goes on to wait, or whose client gets no answer.
func TestRevokedBodyIsRefused(t *testing.T) {
	is := is.New(t)
	b, clock := newBudget(mebi)
	address, results := serveBodies(t, b, mebi, time.Minute)
	conn := sendRaw(t, address, withLength(mebi/2, strings.Repeat("x", mebi/4)))
	for movedBytes(b) < mebi/4 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond) // until the body waits for more
	clock.pass(stallTime)
	other, _ := begin(b)
	is.True(other.Grow(mebi / 2))
	is.Equal(readStatus(t, conn), http.StatusServiceUnavailable)
	err := (<-results).err
	is.True(errkind.Is(err, errkind.Overloaded))
	is.Equal(errkind.Of(err).NotRun, errkind.NotRunTrue)
}

// Guards against an answer that waits for a body which nobody reads.
func TestAnswerBeforeAnIgnoredBody(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(mebi)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := b.NewRequest(w)
		defer request.End()
		request.IgnoreBody(r)
		w.WriteHeader(http.StatusNotFound)
	}))
	defer server.Close()
	for _, text := range []string{withLength(10, "123"), withLength(100_000, "123"), "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"} {
		conn := sendRaw(t, server.Listener.Addr().String(), text)
		is.NoErr(conn.SetReadDeadline(time.Now().Add(10 * time.Second)))
		is.Equal(readStatus(t, conn), http.StatusNotFound)
	}
}

// Guards against a request that can never fit and is told to come back.
func TestHoldOfMoreThanTheBudget(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(4 * mebi)
	request := b.NewRequest(httptest.NewRecorder())
	is.True(errkind.Is(request.Hold(3*mebi+1), errkind.TooLarge))
	is.NoErr(request.Hold(3 * mebi))
	is.True(errkind.Is(b.NewRequest(httptest.NewRecorder()).Hold(mebi), errkind.Overloaded))
	request.End()
	is.Equal(b.Usage().Bytes, int64(0))
	_, err := b.NewRequest(httptest.NewRecorder()).ReadBody(httptest.NewRequest(http.MethodPost, "/", brokenReader{}), 0, time.Minute)
	is.True(errkind.Is(err, errkind.Malformed))
}

// brokenReader is a body that breaks off.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("broken off") }
