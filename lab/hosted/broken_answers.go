package hosted

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// BrokenAnswer is what a runner in trouble sends in place of an answer, byte for byte.
type BrokenAnswer struct {
	StatusLine string
	// Rest follows the fields that prove whose answer it is: more fields, a blank line and a body.
	// firstEvent in it stands for the first event of the sound answer.
	Rest string
	// Early: it is sent before the body of the request is read, which never is.
	Early bool
	// Reset: the connection is reset after it, else closed.
	Reset bool
}

const firstEvent = "{first event}"

// SetBrokenAnswers sets what the runner sends in place of answers, depending on the request; nil: its
// answer is sound.
func (r *Runner) SetBrokenAnswers(next func(req *http.Request) *BrokenAnswer) {
	r.nextBrokenAnswer.Store(&next)
}

// brokenAnswer returns what is to be sent in place of the answer to a request; nil: nothing.
func (r *Runner) brokenAnswer(req *http.Request) *BrokenAnswer {
	next := r.nextBrokenAnswer.Load()
	if next == nil {
		return nil
	}
	return (*next)(req)
}

// brokenEndDelay is the time between a broken answer and the end of its connection, so that the
// client has read it.
const brokenEndDelay = 20 * time.Millisecond

// sendBroken sends a broken answer.
func (r *Runner) sendBroken(w http.ResponseWriter, id string, answer *BrokenAnswer) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	rest := strings.ReplaceAll(answer.Rest, firstEvent, fmt.Sprintf("id: 1\ndata: %s\n\n", eventData(id, 1, r.Version())))
	if _, err := fmt.Fprintf(conn, "%s\r\nX-Marblepond-Request-Id: %s\r\nX-Marblepond-Server-Stamp: stamp.%s.%08x\r\n%s", answer.StatusLine, id, r.ID, rand.Uint32(), rest); err != nil {
		return
	}
	time.Sleep(brokenEndDelay)
	if tcp, ok := conn.(*recordingConn).Conn.(*net.TCPConn); ok && answer.Reset {
		_ = tcp.SetLinger(0) // fails on closed connections only
	}
}
