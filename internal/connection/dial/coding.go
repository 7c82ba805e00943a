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
	oldVersion    = "HTTP/1.0"
	codingField   = "Transfer-Encoding"
	keptLineBytes = 32 // more than the above and a status
)

// codingCheck looks for a transfer coding in the head of an HTTP/1.0 answer as it arrives.
type codingCheck struct {
	line    [keptLineBytes]byte // the begin of the current line
	length  int                 // of line
	inHead  bool                // the status line has arrived
	old     bool                // the head is that of an HTTP/1.0 answer
	interim bool                // the head is that of an interim answer, which precedes another one
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
		version, status, _ := bytes.Cut(line, []byte(" "))
		c.inHead = true
		c.old, c.interim = string(version) == oldVersion, bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte("1"))
		c.checked = !c.old && !c.interim
	case len(line) == 0:
		c.inHead, c.checked = false, !c.interim
	case c.old && isField && bytes.EqualFold(bytes.TrimRight(name, " \t"), []byte(codingField)):
		return errOldCoding
	}
	return nil
}
