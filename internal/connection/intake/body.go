package intake

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/request/patience"
)

const (
	// freeBodyBytes is the size up to which a body counts as part of its connection.
	freeBodyBytes = 4 << 10
	// growthFactor is by how much a buffer grows; a body arrives in full or in part, so that its
	// stated length is no reason to allocate as much.
	growthFactor = 4
	// lingerTime is how long a refused body is read on, so that its sender reads the refusal: a close
	// with unread bytes resets the connection.
	lingerTime = 500 * time.Millisecond
	// Callers that are refused because the budget is used up return once stalled transfers have
	// given way.
	retryAfterLeast = stallTime / 2
	retryAfterMost  = 2 * stallTime
)

// Request bounds one request of a caller. It belongs to the goroutine of the request's handler.
type Request struct {
	w           http.ResponseWriter
	conn        *http.ResponseController
	reservation *Reservation
	done        bool // the body has been read
	// answering: the reservation counts an answer that is being written.
	answering atomic.Bool
	// progress is told whether the body is being read, and that bytes of it came.
	progress func(reading bool)
}

// NewRequest returns the bounds of a request that is answered on w. End has to be called.
func (b *Budget) NewRequest(w http.ResponseWriter) *Request {
	r := &Request{w: w, conn: http.NewResponseController(w), progress: func(bool) {}}
	r.reservation = b.NewReservation(r.revoke)
	return r
}

// End returns the memory of the request.
func (r *Request) End() { r.reservation.Release() }

// Hold adds memory in bytes to what the request occupies until its end. It fails with TooLarge if no
// request may occupy that much, and with Overloaded if there is no room now.
func (r *Request) Hold(bytes int64) error {
	if bytes <= 0 {
		return nil
	}
	if bytes > r.reservation.budget.Limit() {
		return errkind.TooLarge.New("the request takes more memory than any request may have")
	}
	if !r.reservation.Grow(bytes) {
		return errNoRoom()
	}
	return nil
}

func errNoRoom() error {
	return errkind.WithRetryAfter(errkind.Overloaded.New("requests of callers occupy too much memory"), patience.Spread(retryAfterLeast, retryAfterMost, rand.Float64()))
}

// ReadBody reads the body of a request up to limit bytes (0: no limit) and until the time left has
// passed. Errors: TooLarge, RequestTimeout, Overloaded and Malformed; the request has not run.
func (r *Request) ReadBody(req *http.Request, limit int64, left time.Duration) ([]byte, error) {
	if req.ContentLength == 0 {
		return nil, nil
	}
	if c := connOf(req); c != nil && !c.multiplexed.Load() {
		r.progress = c.bodyProgress
	}
	r.progress(true)
	r.reservation.StartTransfer()
	body, err := r.read(req.Body, req.ContentLength, limit, left)
	r.progress(false)
	if err != nil {
		r.reservation.budget.counters.body(err)
		r.reservation.Release()
		r.IgnoreBody(req)
		return nil, err
	}
	r.done = true
	_ = r.conn.SetReadDeadline(time.Time{})
	return body, nil
}

// IgnoreBody is called for a request that is answered without its body, if that has not been read.
// Without it net/http reads up to 256 KiB of the body first, without a time limit.
func (r *Request) IgnoreBody(req *http.Request) {
	if req.ContentLength == 0 || r.done {
		return
	}
	c := connOf(req)
	if c != nil && c.multiplexed.Load() {
		return // the stream ends with the answer
	}
	if req.ContentLength < 0 || req.ContentLength > freeBodyBytes {
		r.w.Header().Set("Connection", "close") // the answer does not wait for the body then
	}
	if c != nil {
		c.lingerOnClose()
	}
	_ = r.conn.SetReadDeadline(time.Now().Add(lingerTime)) // fails only on a closed connection
}

// StreamBody returns the body of a request whose handler keeps up to a number of bytes of it, which
// count until its end. A stream that stalls gives way to others. Reads fail then, with Overloaded.
func (r *Request) StreamBody(req *http.Request, bytes int64) (io.Reader, error) {
	if err := r.Hold(bytes); err != nil {
		return nil, err
	}
	if c := connOf(req); c != nil && !c.multiplexed.Load() {
		r.progress = c.bodyProgress
	}
	r.progress(true)
	r.reservation.StartTransfer()
	return &bodyStream{r, req.Body}, nil
}

// bodyStream is a body that is read piece by piece.
type bodyStream struct {
	request *Request
	body    io.Reader
}

// Read implements io.Reader.
func (s *bodyStream) Read(p []byte) (int, error) {
	r := s.request
	n, err := s.body.Read(p)
	switch {
	case r.reservation.Revoked():
		return n, errNoRoom()
	case errors.Is(err, io.EOF):
		r.done = true
		r.progress(false)
		r.reservation.Complete()
	case n > 0:
		r.progress(true)
		r.reservation.Moved(n)
	}
	return n, err
}

func (r *Request) read(body io.Reader, length, limit int64, left time.Duration) ([]byte, error) {
	if limit > 0 && length > limit {
		return nil, errTooLarge(limit)
	}
	_ = r.conn.SetReadDeadline(time.Now().Add(left))
	capacity := int64(freeBodyBytes)
	if length > 0 {
		capacity = min(capacity, length)
	}
	data := make([]byte, 0, capacity)
	for {
		if r.reservation.Revoked() {
			return nil, errNoRoom()
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		size := int64(len(data))
		switch {
		case limit > 0 && size > limit:
			return nil, errTooLarge(limit)
		case errors.Is(err, io.EOF) || size == length:
			if !r.reservation.Complete() {
				return nil, errNoRoom()
			}
			return data, nil
		case errors.Is(err, os.ErrDeadlineExceeded) && r.reservation.Revoked():
			return nil, errNoRoom()
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, errkind.RequestTimeout.New("the body did not arrive in time")
		case err != nil:
			return nil, errkind.Malformed.New("the body cannot be read: %v", err)
		}
		if n > 0 {
			r.progress(true)
			r.reservation.Moved(n)
		}
		if len(data) == cap(data) {
			if data, err = r.enlarge(data, length, limit); err != nil {
				return nil, err
			}
		}
	}
}

// enlarge returns a copy of a full buffer with more room. Both count until the old one is dropped.
func (r *Request) enlarge(data []byte, length, limit int64) ([]byte, error) {
	most := length
	if length < 0 {
		most = limit + 1 // one more byte tells whether the body is too large
		if limit <= 0 {
			most = growthFactor * int64(cap(data))
		}
	}
	capacity := growthFactor * int64(cap(data))
	if 2*capacity > most {
		capacity = most
	}
	if capacity > r.reservation.budget.Limit() {
		return nil, errkind.TooLarge.New("the body is larger than the memory for callers")
	}
	if !r.reservation.Grow(capacity) {
		return nil, errNoRoom()
	}
	larger := make([]byte, len(data), capacity)
	copy(larger, data)
	if cap(data) > freeBodyBytes {
		r.reservation.Shrink(int64(cap(data)))
	}
	return larger, nil
}

func errTooLarge(limit int64) error { return errkind.TooLarge.New("the body is over %d bytes", limit) }
