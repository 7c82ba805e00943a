package hosted

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// EndlessForms are the behaviours of runners that send bytes without end.
var EndlessForms = map[string]Behaviour{"head": EndlessHead, "interim": EndlessInterim, "line": EndlessLine, "fields": EndlessFields, "blanks": EndlessBlanks,
	"comments": EndlessComments, "events": EndlessEvents, "body": EndlessBody, "failure": EndlessFailure, "trailer": EndlessTrailer}

// endlessWithin ends a connection whose client never closes it, so that a test that finds one ends.
const endlessWithin = 20 * time.Second

// sendWithoutEnd sends bytes until the client closes the connection.
func sendWithoutEnd(w http.ResponseWriter, id, stamp string, form Behaviour) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetWriteDeadline(time.Now().Add(endlessWithin))
	head := func(status, fields string) string {
		return "HTTP/1.1 " + status + "\r\nX-Marblepond-Request-Id: " + id + "\r\nX-Marblepond-Server-Stamp: " + stamp + "\r\n" + fields
	}
	stream := head("200 OK", "Content-Type: text/event-stream\r\n\r\n") // ends with its connection
	filler := strings.Repeat("a", 8<<10)
	start, repeated := "", []byte(filler) // allocated once: tests measure the memory of the reader
	var numbered func(n int) string
	switch form {
	case EndlessHead:
		start, numbered = head("200 OK", ""), func(n int) string { return fmt.Sprintf("X-%d: %s\r\n", n, filler[:1<<10]) }
	case EndlessInterim:
		numbered = func(n int) string {
			return fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nX-%d: %s\r\n\r\n", n, filler[:100])
		}
	case EndlessLine:
		start = stream + "id: 1\ndata: "
	case EndlessFields:
		start, repeated = stream+"id: 1\n", bytes.Repeat([]byte("data: a\n"), 1<<10)
	case EndlessBlanks:
		start, repeated = stream, bytes.Repeat([]byte("\n"), 8<<10)
	case EndlessComments:
		start, repeated = stream, bytes.Repeat([]byte(": a\n"), 2<<10)
	case EndlessEvents:
		start, numbered = stream, func(n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, filler[:4<<10]) }
	case EndlessBody:
		start = head("200 OK", "\r\n")
	case EndlessFailure:
		start = head("500 Internal Server Error", "\r\n")
	case EndlessTrailer:
		start = head("200 OK", "Transfer-Encoding: chunked\r\n\r\n") + "2\r\nok\r\n0\r\n"
		numbered = func(n int) string { return fmt.Sprintf("X-%d: %s\r\n", n, filler[:1<<10]) }
	}
	if _, err := conn.Write([]byte(start)); err != nil {
		return
	}
	for n := 0; ; n++ {
		if form == EndlessEvents {
			time.Sleep(time.Millisecond) // each is passed on, to callers that take as much
		}
		if numbered != nil {
			repeated = []byte(numbered(n))
		}
		if _, err := conn.Write(repeated); err != nil {
			return
		}
	}
}
