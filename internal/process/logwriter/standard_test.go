package logwriter

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against answers of callers in the log: net/http writes what arrives on an idle connection
// to the standard logger.
func TestUnsolicitedAnswersAreNotLogged(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	closed := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		in := bufio.NewReader(conn)
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		answer := "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecret"
		fmt.Fprint(conn, answer)
		time.Sleep(50 * time.Millisecond) // until the connection is idle
		fmt.Fprint(conn, answer)
		_, _ = in.ReadByte() // returns when the client closes the connection
		close(closed)
	}()
	logged := &lockedBuffer{}
	log.SetOutput(NewStandard(logged, time.Now))
	defer log.SetOutput(os.Stderr)
	client := &http.Client{Transport: &http.Transport{}}
	resp, err := client.Get("http://" + listener.Addr().String())
	is.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	resp.Body.Close()
	<-closed
	is.True(strings.Contains(logged.text(), "Unsolicited response")) // operators learn of it
	is.True(!strings.Contains(logged.text(), "secret"))
}

// Guards against a log without a bound.
func TestStandardLogIsBounded(t *testing.T) {
	is := is.New(t)
	logged, now := &lockedBuffer{}, time.Unix(1000, 0)
	l := log.New(NewStandard(logged, func() time.Time { return now }), "", 0)
	for range 1000 {
		l.Printf("%s starting with %q; err=%v", unsolicited, strings.Repeat("x", 4096), io.EOF)
	}
	is.Equal(logged.text(), string(unsolicited)+" (0 more since the last message)\n")
	now = now.Add(unsolicitedInterval)
	l.Printf("%s starting with %q; err=%v", unsolicited, "x", io.EOF)
	is.True(strings.HasSuffix(logged.text(), "(999 more since the last message)\n"))
	l.Print("http: panic serving")
	is.True(strings.HasSuffix(logged.text(), "http: panic serving\n"))
	before := len(logged.text())
	l.Print(strings.Repeat("x", 1<<20))
	is.True(len(logged.text())-before < maxStandardBytes+16)
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
