package hosted

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// FalseAnswer is what a faulty runner sends between two answers on a connection.
type FalseAnswer int

// The forms of false answers. Copies are of whole answers, of any status and also of streams.
const (
	NoFalseAnswer         FalseAnswer = iota
	CopyAtOnce                        // a copy of the answer, directly after it
	CopyWhileIdle                     // a copy of the answer up to maxCopyDelay after it, whether a request has come or not
	CopyBeforeBody                    // a copy of the answer before, before the body of the next request is read
	CopyOnceRead                      // the same once the next request is read
	CopyOfOtherConnection             // a copy of the newest answer on another connection, once the next request is read
	UnnamedFull                       // a 503 that names no request, once the next request is read
	UnnamedMisdirected                // the same with 421
	UnnamedMalformed                  // the same with 400
	ForeignRefusal                    // a refusal that names another request, once the next request is read
	HalfAnswer                        // half a refusal of the next request, which runs; then the connection is closed
	falseAnswerForms
)

// FalseAnswers are all forms of false answers.
var FalseAnswers = func() (all []FalseAnswer) {
	for form := CopyAtOnce; form < falseAnswerForms; form++ {
		all = append(all, form)
	}
	return all
}()

var falseAnswerNames = [...]string{"none", "copy at once", "copy while idle", "copy before the body is read", "copy once the request is read", "copy of another connection",
	"503 without ID", "421 without ID", "400 without ID", "refusal of another request", "half an answer"}

// String names a form.
func (f FalseAnswer) String() string { return falseAnswerNames[f] }

// maxCopyDelay is the longest time between an answer and a copy of it that awaits no request.
const maxCopyDelay = 3 * time.Millisecond

// SetFalseAnswers sets what follows each answer of the runner; nil: nothing does, and what is due with the next
// requests is dropped. next may be called concurrently.
func (r *Runner) SetFalseAnswers(next func() FalseAnswer) {
	if next == nil {
		r.nextFalseAnswer.Store(nil)
		return
	}
	r.nextFalseAnswer.Store(&next)
}

// FalseAnswerCount returns how many false answers the runner has sent.
func (r *Runner) FalseAnswerCount() int { return int(r.falseAnswers.Load()) }

// recordingListener accepts connections that record the answers written to them.
type recordingListener struct {
	net.Listener
	runner *Runner
}

func (l recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recordingConn{Conn: conn, runner: l.runner}, nil
}

// recordingConn is a runner's end of a connection.
type recordingConn struct {
	net.Conn
	runner *Runner

	mu     sync.Mutex
	answer []byte      // as far as written; emptied when a request has come
	due    FalseAnswer // sent with the next request
	last   []byte      // the answer before
}

// maxCopiedBytes bounds the answers that are copied.
const maxCopiedBytes = 64 << 10

func (c *recordingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.answer) <= maxCopiedBytes && c.runner.nextFalseAnswer.Load() != nil {
		c.answer = append(c.answer, b...)
	}
	return c.Conn.Write(b)
}

// connKey is the key of the connection in a request's context.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// endAnswer draws what follows an answer, and sends it if it awaits no request; the server calls
// it with each change of a connection's state.
func endAnswer(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*recordingConn)
	if !ok || state != http.StateIdle {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last, c.answer = c.answer, nil
	if len(c.last) == 0 || len(c.last) > maxCopiedBytes {
		return
	}
	c.due = c.runner.drawFalseAnswer(c)
	switch c.due {
	case CopyAtOnce:
		c.sendLocked(c.last)
	case CopyWhileIdle:
		answer := c.last
		time.AfterFunc(rand.N(maxCopyDelay), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if len(c.answer) == 0 { // else it would come in the middle of another answer
				c.sendLocked(answer)
			}
		})
	}
}

func (c *recordingConn) sendLocked(falseAnswer []byte) {
	c.runner.falseAnswers.Add(1)
	_, _ = c.Conn.Write(falseAnswer) // fails if the caller has closed the connection
}

// drawFalseAnswer returns what follows an answer on a connection, and keeps the answer for copies on others.
func (r *Runner) drawFalseAnswer(c *recordingConn) FalseAnswer {
	next := r.nextFalseAnswer.Load()
	if next == nil {
		return NoFalseAnswer
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newestConn != c { // that of another connection is kept for copies on this one
		r.otherAnswer = r.newestAnswer
	}
	r.newestConn, r.newestAnswer = c, c.last
	return (*next)()
}

// sendFalseAnswer sends the false answer that is due with a request, whose body has been read or
// not. It reports whether the connection stays open.
func (r *Runner) sendFalseAnswer(req *http.Request, bodyRead bool) bool {
	c, ok := req.Context().Value(connKey{}).(*recordingConn)
	if !ok {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if (c.due == CopyBeforeBody) == bodyRead || c.due == NoFalseAnswer {
		return true
	}
	form := c.due
	c.due = NoFalseAnswer
	if r.nextFalseAnswer.Load() == nil {
		return true
	}
	id := req.Header.Get("X-Marblepond-Request-Id")
	switch form {
	case CopyBeforeBody, CopyOnceRead:
		c.sendLocked(c.last)
	case CopyOfOtherConnection:
		r.mu.Lock()
		other := r.newestAnswer
		if r.newestConn == c {
			other = r.otherAnswer
		}
		r.mu.Unlock()
		if len(other) > 0 {
			c.sendLocked(other)
		}
	case UnnamedFull:
		c.sendLocked(refusal(http.StatusServiceUnavailable, ""))
	case UnnamedMisdirected:
		c.sendLocked(refusal(http.StatusMisdirectedRequest, ""))
	case UnnamedMalformed:
		c.sendLocked(refusal(http.StatusBadRequest, ""))
	case ForeignRefusal:
		c.sendLocked(refusal(http.StatusServiceUnavailable, "another"))
	case HalfAnswer:
		whole := refusal(http.StatusServiceUnavailable, id)
		c.sendLocked(bytes.Clone(whole[:len(whole)/2]))
		return false
	}
	return true
}

// lostAnswer discards an answer.
type lostAnswer struct{ header http.Header }

func (l lostAnswer) Header() http.Header       { return l.header }
func (lostAnswer) Write(b []byte) (int, error) { return len(b), nil }
func (lostAnswer) WriteHeader(int)             {}
func (lostAnswer) Flush()                      {}

// refusal returns an answer that says that a request was not run; with an empty ID it names none.
func refusal(status int, id string) []byte {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Marblepond-Not-Run: 1\r\nContent-Length: 0\r\n", status, http.StatusText(status))
	if id != "" {
		head += fmt.Sprintf("X-Marblepond-Request-Id: %s\r\n", id)
	}
	return []byte(head + "\r\n")
}
