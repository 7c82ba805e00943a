package logwriter

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxStandardBytes bounds a message of the standard logger; the trace of a panic takes some
	// kilobytes.
	maxStandardBytes = 16 << 10
	// unsolicitedInterval is the least time between two messages about unsolicited answers.
	unsolicitedInterval = time.Second
)

// unsolicited begins the message in which net/http quotes what arrived on an idle connection: an
// answer, which belongs to a caller and not into a log.
var unsolicited = []byte("Unsolicited response received on idle HTTP channel")

// Standard is the output of the standard logger, which only libraries use. It bounds the messages
// and removes what they quote of answers. The zero value is not valid; it is safe for concurrent use.
type Standard struct {
	out io.Writer
	now func() time.Time

	mu      sync.Mutex
	written time.Time // when the newest message about an unsolicited answer was written
	skipped int       // such messages since then
}

// NewStandard returns an output that writes to out.
func NewStandard(out io.Writer, now func() time.Time) *Standard {
	return &Standard{out: out, now: now}
}

// Write implements io.Writer. Each Write is one message.
func (s *Standard) Write(message []byte) (int, error) {
	size := len(message)
	if at := bytes.Index(message, unsolicited); at >= 0 {
		s.writeUnsolicited(message[:at])
		return size, nil
	}
	if size > maxStandardBytes {
		message = append(message[:maxStandardBytes:maxStandardBytes], " ...\n"...)
	}
	_, err := s.out.Write(message)
	return size, err
}

// writeUnsolicited writes a message about an unsolicited answer, unless one was written a moment ago.
func (s *Standard) writeUnsolicited(prefix []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.written.IsZero() && now.Sub(s.written) < unsolicitedInterval {
		s.skipped++
		return
	}
	fmt.Fprintf(s.out, "%s%s (%d more since the last message)\n", prefix, unsolicited, s.skipped)
	s.written, s.skipped = now, 0
}
