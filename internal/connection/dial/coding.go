package dial

import (
	"bytes"
	"fmt"
)

// errOldCoding is returned by the read of an HTTP/1.0 answer that states a transfer coding. HTTP/1.0
// has none: the framing is faulty (RFC 9112, section 6.1), and net/http would drop the field and
// return the coded body as the answer's.
var errOldCoding = fmt.Errorf("%w: a transfer coding in HTTP/1.0", ErrInvalidAnswer)

const (
	oldVersion    = "HTTP/1.0 "
	interimPrefix = "HTTP/1.1 1"
	codingField   = "Transfer-Encoding"
	keptLineBytes = 32 // more than any of the above
)

// codingCheck looks for a transfer coding in the head of an HTTP/1.0 answer as it arrives.
type codingCheck struct {
	line    [keptLineBytes]byte // the begin of the current line
	length  int                 // of line
	inHead  bool                // the status line has arrived
	old     bool                // the head is that of an HTTP/1.0 answer
	checked bool                // the rest needs no check
}

// read checks the next bytes of an answer.
func (c *codingCheck) read(b []byte) error {
	for _, next := range b {
		switch {
		case c.checked:
			return nil
		case next != '\n':
			if c.length < len(c.line) {
				c.line[c.length] = next
				c.length++
			}
			continue
		}
		line := bytes.TrimSuffix(c.line[:c.length], []byte("\r"))
		c.length = 0
		if err := c.endLine(line); err != nil {
			return err
		}
	}
	return nil
}

// endLine checks a line of a head.
func (c *codingCheck) endLine(line []byte) error {
	name, _, isField := bytes.Cut(line, []byte(":"))
	switch {
	case !c.inHead:
		c.inHead, c.old = true, bytes.HasPrefix(line, []byte(oldVersion))
		c.checked = !c.old && !bytes.HasPrefix(line, []byte(interimPrefix))
	case len(line) == 0: // an interim answer precedes another one
		c.inHead, c.checked = false, c.old
	case c.old && isField && bytes.EqualFold(bytes.TrimSpace(name), []byte(codingField)):
		return errOldCoding
	}
	return nil
}
