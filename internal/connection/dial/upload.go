package dial

import (
	"sync"
	"sync/atomic"
	"time"
)

// upload follows the bytes of a request on their way to its connection. One goroutine writes them;
// any may wait for their end.
type upload struct {
	inBody     bool  // the head is written
	lineLength int   // bytes of the head's current line that are written, without its end
	bodyLeft   int64 // bytes of the body that are not written; negative: its length is not known

	writes atomic.Int64 // that have returned
	once   sync.Once
	ended  chan struct{} // closed when all is written, or no more will be
	whole  bool          // all is written; set before ended is closed
}

// wrote records the bytes and the error of a write. A body of unknown length counts as written with
// its head.
func (u *upload) wrote(b []byte, err error) {
	if !u.inBody {
		b = u.skipHead(b)
	}
	u.bodyLeft -= int64(len(b))
	u.writes.Add(1)
	switch {
	case err != nil:
		u.end(false)
	case u.inBody && u.bodyLeft <= 0:
		u.end(true)
	}
}

// skipHead returns the bytes after the blank line that ends the head.
func (u *upload) skipHead(b []byte) []byte {
	for i, c := range b {
		switch {
		case c == '\n' && u.lineLength == 0:
			u.inBody = true
			return b[i+1:]
		case c == '\n':
			u.lineLength = 0
		case c != '\r':
			u.lineLength++
		}
	}
	return nil
}

// end records that no more will be written.
func (u *upload) end(whole bool) {
	u.once.Do(func() {
		u.whole = whole
		close(u.ended)
	})
}

// endsWhole waits for the end of the upload, as long as a write returns within each stall timeout. It
// reports whether all was written.
func (u *upload) endsWhole(stallTimeout time.Duration) bool {
	if ended, whole := u.state(); ended {
		return whole
	}
	timer := time.NewTimer(stallTimeout)
	defer timer.Stop()
	for {
		writes := u.writes.Load()
		select {
		case <-u.ended:
			return u.whole
		case <-timer.C:
			if u.writes.Load() == writes {
				_, whole := u.state()
				return whole
			}
			timer.Reset(stallTimeout)
		}
	}
}

// state reports whether the upload has ended, and whether all was written then.
func (u *upload) state() (ended, whole bool) {
	select {
	case <-u.ended:
		return true, u.whole
	default:
		return false, false
	}
}
