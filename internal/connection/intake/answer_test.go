package intake

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// unreadBytes is more than the buffers of a connection hold.
const unreadBytes = 32 * mebi

// serveAnswers starts a server behind a gate that answers with unreadBytes. It returns the error with
// which each write ended.
func serveAnswers(t *testing.T, b *Budget, writeTimeout time.Duration) (address string, errs chan error) {
	t.Helper()
	errs = make(chan error, maxConns)
	body := make([]byte, unreadBytes)
	address = serve(t, NewGate(b, maxConns, writeTimeout), func(w http.ResponseWriter, r *http.Request) {
		request := b.NewRequest(w)
		defer request.End()
		request.HoldAnswer(len(body))
		errs <- request.WriteAnswer(body)
	})
	return address, errs
}

// Guards against an answer that nobody reads and that is held without end.
func TestUnreadAnswerIsGivenUp(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(mebi)
	address, errs := serveAnswers(t, b, 100*time.Millisecond)
	sendRaw(t, address, get(100))
	is.True(<-errs != nil)
	waitReleased(t, b)
}

// Guards against a time limit on the whole of an answer: a caller may read slowly.
func TestSlowReaderGetsItsAnswer(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(mebi)
	const timeout = 500 * time.Millisecond
	address, errs := serveAnswers(t, b, timeout)
	conn := sendRaw(t, address, get(100))
	begin := time.Now()
	for read := 0; read < unreadBytes; {
		n, err := io.CopyN(io.Discard, conn, unreadBytes/32)
		is.NoErr(err)
		read += int(n)
		time.Sleep(timeout / 10)
	}
	is.True(time.Since(begin) > timeout)
	is.NoErr(<-errs)
}

// Guards against answers that nobody reads and that keep others out until their time is up.
func TestUnreadAnswerGivesWay(t *testing.T) {
	is := is.New(t)
	b, clock := newBudget(2 * unreadBytes)
	address, errs := serveAnswers(t, b, time.Hour)
	sendRaw(t, address, get(100))
	for until := time.Now().Add(5 * time.Second); b.Usage().Bytes < unreadBytes && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond) // until the buffers of the connection are full
	clock.pass(stallTime)
	other, _ := begin(b)
	is.True(other.Grow(unreadBytes))
	is.True(<-errs != nil)
	is.Equal(b.Usage().Revoked, int64(1))
}
