package dial

import (
	"sync"
	"time"
)

// upload follows the bytes of a request on their way to its connection. One goroutine writes them;
// any may wait for their end.
type upload struct {
	inBody     bool  // the head is written
	lineLength int   // bytes of the head's current line that are written, without its end
	bodyLeft   int64 // bytes of the body that are not written; negative: its length is not known

	once  sync.Once
	ended chan struct{} // closed when all is written, or no more will be
	whole bool          // all is written; set before ended is closed
}

// wrote records the bytes and the error of a write. A body of unknown length counts as written with
// its head.
func (u *upload) wrote(b []byte, err error) {
	if !u.inBody {
		b = u.skipHead(b)
	}
	u.bodyLeft -= int64(len(b))
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

// endsWhole waits for the end of the upload and reports whether all was written within a time.
func (u *upload) endsWhole(within time.Duration) bool {
	select {
	case <-u.ended:
		return u.whole
	default:
	}
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-u.ended:
		return u.whole
	case <-timer.C:
		return false
	}
}
