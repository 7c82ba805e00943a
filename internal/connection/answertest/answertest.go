// Package answertest has a stand-in target that sends any bytes as its answers, for tests of
// clients.
package answertest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// End is what a target does with a connection after an answer.
type End int

const (
	// KeepOpen awaits the next request.
	KeepOpen End = iota
	// Close ends the connection in order, once the whole request was read.
	Close
	// Reset resets the connection.
	Reset
	// Exit ends the process: the target no longer accepts connections either.
	Exit
)

// Script says how a target answers.
type Script struct {
	// Answer returns the bytes of an answer: head, framing and body.
	Answer func(*http.Request) string
	// Early: the answer is sent before the request's body is read. With Close the body is read
	// after it, with Reset and Exit never.
	Early bool
	End   End
}

// Text returns a Script.Answer that sends the same bytes each time.
func Text(answer string) func(*http.Request) string {
	return func(*http.Request) string { return answer }
}

// Target is the stand-in.
type Target struct {
	script   Script
	listener net.Listener
	requests atomic.Int32
	reused   atomic.Int32
}

const (
	// receiveBufferBytes is so small that a large body does not fit into the buffers of a
	// connection while the target does not read it.
	receiveBufferBytes = 4 << 10
	// resetDelay is the time between an answer and the reset of its connection, so that the client
	// has read the answer.
	resetDelay = 20 * time.Millisecond
)

// Start starts a target on a loopback address and stops it at the end of the test.
func Start(t testing.TB, script Script) *Target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
	}); err != nil {
		t.Fatal(err)
	}
	target := &Target{script: script, listener: listener}
	t.Cleanup(func() { listener.Close() })
	go target.accept()
	return target
}

// Address returns the target's IP:port.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Requests returns how many requests have arrived.
func (t *Target) Requests() int { return int(t.requests.Load()) }

// Reused returns how many requests arrived on a connection that had carried another one.
func (t *Target) Reused() int { return int(t.reused.Load()) }

func (t *Target) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.serve(conn.(*net.TCPConn))
	}
}

func (t *Target) serve(conn *net.TCPConn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for first := true; ; first = false {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		t.requests.Add(1)
		if !first {
			t.reused.Add(1)
		}
		if !t.script.Early && drain(req) != nil {
			return
		}
		if _, err := io.WriteString(conn, t.script.Answer(req)); err != nil {
			return
		}
		switch t.script.End {
		case Close:
			_ = conn.CloseWrite() // fails if the client has closed the connection
			_ = drain(req)
			return
		case Reset:
			time.Sleep(resetDelay)
			_ = conn.SetLinger(0) // fails on closed connections only
			return
		case Exit:
			t.listener.Close()
			return
		}
		if drain(req) != nil {
			return
		}
	}
}

// drain reads the rest of a request.
func drain(req *http.Request) error {
	_, err := io.Copy(io.Discard, req.Body)
	return err
}
