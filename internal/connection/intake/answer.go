package intake

import "time"

const (
	// answerPiece is the size of the pieces in which a large answer is written. Progress is noted after each.
	answerPiece = 16 << 10
	// A write deadline is set anew only when this part of the write timeout has passed.
	deadlineSlackPart = 8
)

// HoldAnswer adds the memory of an answer in bytes that the request occupies until its end. The
// answer is there already, so that it counts beyond the budget, too: then nothing new is taken in until
// it has been read.
func (r *Request) HoldAnswer(bytes int) {
	if bytes <= answerPiece {
		return
	}
	if !r.reservation.Grow(int64(bytes)) {
		r.reservation.force(int64(bytes))
	}
	r.StartAnswer()
}

// StartAnswer notes that what the request holds is an answer that is written from now on. If the
// caller does not read it, it gives way to others.
func (r *Request) StartAnswer() {
	r.answering.Store(true)
	r.reservation.StartTransfer()
}

// WriteAnswer writes a whole body of an answer whose memory HoldAnswer has counted.
func (r *Request) WriteAnswer(body []byte) error {
	for len(body) > 0 {
		n, err := r.w.Write(body[:min(len(body), answerPiece)])
		if err != nil {
			return err
		}
		body = body[n:]
		if r.answering.Load() {
			r.reservation.Moved(n)
		}
	}
	return nil
}

// revoke wakes the goroutine of the request: it reads the body, or writes an answer that the caller
// does not read.
func (r *Request) revoke() {
	past := time.Unix(1, 0)
	if r.answering.Load() {
		_ = r.conn.SetWriteDeadline(past) // fails only on a closed connection
		return
	}
	_ = r.conn.SetReadDeadline(past)
}
