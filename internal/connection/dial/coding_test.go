package dial

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestCodingIsFoundWhereverReadsDivideTheHead guards against a transfer coding that is missed because
// the head of its answer arrives in parts, and against one that is found in a body or in HTTP/1.1.
func TestCodingIsFoundWhereverReadsDivideTheHead(t *testing.T) {
	const coding = "Transfer-Encoding: chunked\r\n"
	long := "X-Long: " + fmt.Sprintf("%0200d", 1) + "\r\n"
	for _, c := range []struct {
		answer string
		found  bool
	}{
		{"HTTP/1.0 200 OK\r\n" + coding + "\r\n", true},
		{"HTTP/1.0 200 OK\n" + "transfer-encoding:chunked\n" + "\n", true},
		{"HTTP/1.0 200 OK\r\n" + long + coding + "\r\n", true},
		{"HTTP/1.1 103 Early Hints\r\n" + long + "\r\nHTTP/1.0 200 OK\r\n" + coding + "\r\n", true},
		{"HTTP/1.0 103 Early Hints\r\n" + long + "\r\nHTTP/1.0 200 OK\r\n" + coding + "\r\n", true},
		{"HTTP/1.1  103 Early Hints\r\n\r\nHTTP/1.0  200 OK\r\n" + coding + "\r\n", true},
		{"HTTP/1.0 200 OK\r\n" + "X-Folded: a\r\n " + coding + "\r\n", false},
		{"HTTP/1.1 200 OK\r\n" + coding + "\r\n", false},
		{"HTTP/1.1 103 Early Hints\r\n" + coding + "\r\nHTTP/1.1 200 OK\r\n" + coding + "\r\n", false},
		{"HTTP/1.0 200 OK\r\n" + "X-" + coding + "\r\n" + coding, false},
		{"HTTP/1.1 200 OK\r\n\r\n" + "HTTP/1.0 200 OK\r\n" + coding, false},
	} {
		for first := range len(c.answer) {
			is := is.New(t)
			var check codingCheck
			err := check.read([]byte(c.answer[:first]))
			if err == nil {
				err = check.read([]byte(c.answer[first:]))
			}
			is.Equal(errors.Is(err, ErrInvalidAnswer), c.found)
		}
	}
}
