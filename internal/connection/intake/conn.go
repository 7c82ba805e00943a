package intake

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marblepond/marblepond/internal/errkind"
)

const (
	// A parsed header takes headerFactor times its bytes and bytesPerField for each field.
	headerFactor  = 2
	bytesPerField = 128
	// freeHeaderMemory is the memory of a header that counts as part of its connection.
	freeHeaderMemory = 16 << 10
	// headerStep is the least amount that is taken from the budget for a header.
	headerStep = 4 << 10
	// refusalTimeout bounds the write of a refusal.
	refusalTimeout = time.Second
	// lingerBytes bounds what is read of a refused request.
	lingerBytes = 256 << 10
	// http2Preface is how an HTTP/2 connection without TLS begins (RFC 9113, section 3.4).
	http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
)

// phase is what a caller's connection does.
type phase int

const (
	isIdle phase = iota // also a new connection
	readsHeader
	servesRequest
)

// Conn is a connection of a caller. It checks headers as they are read, and refuses one over a limit
// before net/http has parsed it.
type Conn struct {
	net.Conn
	gate *Gate

	// multiplexed: the connection speaks HTTP/2, whose server bounds headers by itself.
	multiplexed atomic.Bool

	headerMu    sync.Mutex // held while mu is taken, never the other way round
	prefaceSeen int        // bytes of the HTTP/2 preface; negative: the connection began otherwise
	header      header
	reservation *Reservation // nil: the header is small

	mu      sync.Mutex
	phase   phase
	since   time.Time // when the phase began
	served  bool      // it has brought a request
	reading bool      // the body of its request is being read
	arrived time.Time // when the last bytes of that body came
	refusal error     // with which the header is refused; nil: it is not
	lingers bool      // an answer was sent before all of the request was read
	writeBy time.Time // the write deadline
	revoked bool      // the write deadline is in the past: the answer is given up
}

// header measures a header as it is read.
type header struct {
	bytes    int
	fields   int
	lineUsed bool // the line that is being read is not blank
	begun    bool // a line that is not blank has begun
	complete bool
}

// add notes the next bytes. Those after the end of the header are not counted.
func (h *header) add(p []byte) {
	for len(p) > 0 && !h.complete {
		end := bytes.IndexByte(p, '\n')
		line := p
		if end >= 0 {
			line = p[:end+1]
		}
		p = p[len(line):]
		h.bytes += len(line)
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			h.begun, h.lineUsed = true, true
		}
		if end < 0 {
			return
		}
		if !h.lineUsed && h.begun {
			h.complete = true
		}
		if h.lineUsed {
			h.fields++
		}
		h.lineUsed = false
	}
}

// memory estimates the bytes that the header takes once it is parsed.
func (h *header) memory() int64 { return int64(headerFactor*h.bytes + bytesPerField*h.fields) }

// Ranks of connections in the order in which they give way to new ones.
const (
	neverUsed = iota
	incomplete
	keptIdle
	inUse
)

// rank returns the connection's rank and since when it has made no progress.
func (c *Conn) rank() (int, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == servesRequest && c.reading:
		return incomplete, c.arrived
	case c.phase == servesRequest:
		return inUse, c.since
	case c.phase == readsHeader:
		return incomplete, c.since
	case c.served:
		return keptIdle, c.since
	}
	return neverUsed, c.since
}

// bodyProgress notes whether the body of the request is being read, and that bytes of it came.
func (c *Conn) bodyProgress(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.arrived = reading, time.Now()
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if refusal := c.note(p[:n]); refusal != nil {
		c.gate.budget.counters.header(refusal)
		c.answer(refusal)
		return 0, io.EOF // net/http closes the connection without an answer of its own
	}
	return n, err
}

// note checks bytes of a header. It returns the error with which to refuse it.
func (c *Conn) note(p []byte) error {
	c.headerMu.Lock()
	defer c.headerMu.Unlock()
	c.mu.Lock()
	phase, refusal := c.phase, c.refusal
	c.mu.Unlock()
	if refusal != nil || phase == servesRequest || len(p) == 0 || c.multiplexed.Load() {
		return refusal
	}
	if c.endsPreface(p) {
		c.header = header{}
		c.multiplexed.Store(true)
		c.enter(servesRequest)
		return nil
	}
	c.header.add(p)
	if phase == isIdle && c.header.begun {
		c.enter(readsHeader)
	}
	if limit := c.gate.limits.Load().HeaderBytes; c.header.bytes > limit+headerSlack {
		return errkind.HeaderTooLarge.New("the header is over %d bytes", limit)
	}
	return c.takeMemory(len(p))
}

// takeMemory takes what the header needs of the budget after n more bytes. The caller holds c.headerMu.
func (c *Conn) takeMemory(n int) error {
	needed := c.header.memory()
	if needed <= freeHeaderMemory {
		return nil
	}
	if c.reservation == nil {
		c.reservation = c.gate.budget.NewReservation(func() { c.refuse(errNoRoom()) })
		c.reservation.StartTransfer()
	}
	c.reservation.Moved(n)
	if more := needed - c.reservation.Held(); more > 0 && !c.reservation.Grow(max(more, headerStep)) {
		return errNoRoom()
	}
	return nil
}

// endsPreface reports whether bytes complete the HTTP/2 preface at the start of a connection. The caller
// holds c.headerMu.
func (c *Conn) endsPreface(p []byte) bool {
	if !c.gate.http2 || c.prefaceSeen < 0 {
		return false
	}
	rest := http2Preface[c.prefaceSeen:]
	n := min(len(rest), len(p))
	if string(p[:n]) != rest[:n] {
		c.prefaceSeen = -1
		return false
	}
	c.prefaceSeen += n
	return c.prefaceSeen == len(http2Preface)
}

func (c *Conn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = p, time.Now()
}

func (c *Conn) state() (phase, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase, c.since
}

// refuse makes the reading goroutine refuse the header, unless it is complete.
func (c *Conn) refuse(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != servesRequest && c.refusal == nil {
		c.refusal = err
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusal != nil {
		return nil // the goroutine that reads has to wake up
	}
	return c.Conn.SetReadDeadline(t)
}

// answer refuses a header in place of net/http and waits until the caller can have read that.
func (c *Conn) answer(err error) {
	refusal := errkind.Of(err)
	text := errkind.Message(err) + "\n"
	retry := ""
	if refusal.RetryAfter > 0 {
		retry = "Retry-After: " + retryAfter(err) + "\r\n"
	}
	c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, writeErr := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s",
		refusal.HTTPStatus, http.StatusText(refusal.HTTPStatus), retry, len(text), text)
	if writeErr == nil {
		c.linger()
	}
}

// retryAfter returns the value of the header of that name.
func retryAfter(err error) string {
	return strconv.FormatFloat(errkind.Of(err).RetryAfter.Seconds(), 'f', 3, 64)
}

// linger reads on for a while: a close with unread bytes resets the connection, and the caller may
// not get the answer.
func (c *Conn) linger() {
	if c.CloseWrite() != nil {
		return
	}
	c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// Write implements net.Conn. It fails if the caller reads nothing for the write timeout.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.extendWriteDeadline(time.Now()); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *Conn) extendWriteDeadline(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingers = c.lingers || c.phase == readsHeader // net/http answers what is no request
	timeout := c.gate.writeTimeout
	if c.revoked || c.writeBy.Sub(now) > timeout-timeout/deadlineSlackPart {
		return nil
	}
	c.writeBy = now.Add(timeout)
	return c.Conn.SetWriteDeadline(c.writeBy)
}

// SetWriteDeadline implements net.Conn. No deadline means that of Write.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.IsZero() {
		return nil
	}
	c.revoked = true // the deadline stays
	return c.Conn.SetWriteDeadline(t)
}

// lingerOnClose makes Close wait until the caller can have read the answer.
func (c *Conn) lingerOnClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingers = true
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	lingers := c.lingers
	c.lingers = false
	c.mu.Unlock()
	if lingers {
		c.linger()
	}
	return c.Conn.Close()
}

// CloseWrite ends the direction to the caller.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with bytes that are not sent, see net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// beginRequest notes that the header is complete. It returns the error with which to refuse the
// request if the header has been refused meanwhile.
func (c *Conn) beginRequest() error {
	c.headerMu.Lock()
	defer c.headerMu.Unlock()
	c.mu.Lock()
	refusal := c.refusal
	c.phase, c.since, c.served = servesRequest, time.Now(), true
	c.mu.Unlock()
	if c.reservation != nil {
		c.reservation.Complete()
	}
	return refusal
}

// markServed notes that the connection has brought a request.
func (c *Conn) markServed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served = true
}

// endRequest notes that the connection waits for the next request.
func (c *Conn) endRequest() {
	c.dropHeader()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since, c.lingers = isIdle, time.Now(), false
}

// dropHeader forgets the last header and returns its memory.
func (c *Conn) dropHeader() {
	c.headerMu.Lock()
	defer c.headerMu.Unlock()
	c.header = header{}
	if c.reservation != nil {
		c.reservation.Release()
		c.reservation = nil
	}
}

// leave notes that the connection is closed.
func (c *Conn) leave() {
	c.dropHeader()
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	delete(c.gate.conns, c)
}
