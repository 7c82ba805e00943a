// Package target defines the connection to a target: one request is sent, and
// its answer comes back either whole or as a stream of events. It holds types
// only; a client of a concrete protocol implements them.
package target

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// Call is one attempt of a request at one target.
type Call struct {
	Address    string
	InstanceID string // the target that is meant; another one must refuse
	// Incarnation of the target. A connection to an earlier one is not used: that it
	// has ended may not show yet.
	Incarnation uint64
	RequestID   string
	Workspace   string // whose request it is; empty: nobody's in particular
	Method      string
	Host        string
	Path        string // with the query, exactly as the caller sent it
	Header      http.Header
	Body        []byte
	// ResumeAfter is the ID of the last event that is held; 0 starts anew.
	ResumeAfter int64
	// Deadline ends the attempt; the target is told how much time is left.
	Deadline time.Time
}

// Event is one event of a streamed answer.
type Event struct {
	ID   int64  // counts from 1 without gaps; 0 when the event carries none
	Data []byte // payload, lines joined by a line feed
	Raw  []byte // the event's bytes as the target sent them, with its end
}

// Answer is what a target sends back. The reader must call Close.
type Answer struct {
	Status int
	Header http.Header
	// Stream is nil for a whole answer.
	Stream Stream
	// Body is the whole body; nil for a stream.
	Body []byte
}

// Stream delivers the events of one answer in order.
type Stream interface {
	// Next returns the next event. io.EOF means that the target ended the
	// answer as complete; any other error is an *Error.
	Next() (Event, error)
	// Close gives the rest of the answer up; the target stops its work.
	Close() error
}

// Sender sends calls. The error is always an *Error.
type Sender interface {
	Send(ctx context.Context, call Call) (*Answer, error)
}

// Failure says how a call ended that did not end with a whole answer.
type Failure int

// The ends. The list is closed.
const (
	// NotSent: no byte of the request left this node.
	NotSent Failure = iota
	// NotRun: the target said that it did not run the request.
	NotRun
	// WrongInstance: another target has the address; not run.
	WrongInstance
	// Broken: the connection failed after the request was sent, or the answer
	// was no answer to it. It may have run.
	Broken
	// Cancelled: the context ended. It may have run.
	Cancelled
)

var endNames = map[Failure]string{NotSent: "not sent", NotRun: "not run", WrongInstance: "wrong instance", Broken: "broken", Cancelled: "given up"}

// String returns the end's name.
func (e Failure) String() string { return endNames[e] }

// Error is the error of a call.
type Error struct {
	Failure Failure
	Cause   error
	// ConnectionLost: the connection broke after the request was sent. The target may
	// have ended.
	ConnectionLost bool
	// Saturated: the target refused because it was full, not because of the request.
	Saturated bool
}

// ConnectionRefused reports whether the target's address refused the connection.
func (e *Error) ConnectionRefused() bool {
	return e.Failure == NotSent && errors.Is(e.Cause, syscall.ECONNREFUSED)
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Failure, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// FailureOf returns the end that err stands for; an error of another type is
// Broken, the end that promises least.
func FailureOf(err error) Failure {
	var e *Error
	if errors.As(err, &e) {
		return e.Failure
	}
	return Broken
}

// MayHaveRun reports whether the request may have run.
func (e Failure) MayHaveRun() bool { return e == Broken || e == Cancelled }
