// Package target defines the connection to a target: one request is sent, and its
// answer arrives either as a complete body or as a stream of events. It holds types
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
	InstanceID string // ID of the intended target; another one at the address must reject the call
	// Incarnation of the target. A connection to an earlier incarnation is not used:
	// its end may not have been detected yet.
	Incarnation uint64
	RequestID   string
	Workspace   string // that the request belongs to; empty: none
	Method      string
	Host        string
	Path        string // with the query, exactly as the caller sent it
	Header      http.Header
	Body        []byte
	// ResumeAfter is the ID of the last event received before; 0: start anew.
	ResumeAfter int64
	// Repeatable marks a request that may run more than once. Any other one is refused for certain
	// only by a target that was not sent it before: a refusal may be a copy of an earlier one.
	Repeatable bool
	// AwaitsRoom marks a request that may run once and is sent again to a target that has refused it,
	// because batch items make room for it there. A refusal is believed since it arrives on a
	// connection that has not carried the request before.
	AwaitsRoom bool
	// Deadline ends the attempt; the remaining time is sent to the target.
	Deadline time.Time
}

// Event is one event of a streamed answer.
type Event struct {
	ID   int64  // counts from 1 without gaps; 0: the event has no ID
	Data []byte // payload; several lines are joined by a line feed
	Raw  []byte // the event's bytes as the target sent them, with its terminator
}

// Answer is the response of a target. The reader must close Stream.
type Answer struct {
	// Status is from 200 to 599, and none that promises callers that the request was not run
	// (errkind.PromisesNotRun).
	Status int
	Header http.Header
	// Stream is nil for a complete answer.
	Stream Stream
	// Body is the complete body; nil for a stream.
	Body []byte
}

// Stream delivers the events of one answer in order.
type Stream interface {
	// Next returns the next event. io.EOF means that the target completed the
	// answer; any other error is an *Error.
	Next() (Event, error)
	// Close abandons the rest of the answer; the target stops its work.
	Close() error
}

// Sender sends calls. The error is always an *Error.
type Sender interface {
	Send(ctx context.Context, call Call) (*Answer, error)
}

// Failure is how a call failed that did not return a complete answer.
type Failure int

// The failures; the set is complete.
const (
	// NotSent: no byte of the request was sent.
	NotSent Failure = iota
	// NotRun: the target reported that it did not run the request. The report names the request
	// and cannot be a copy of an earlier one, see Call.Repeatable.
	NotRun
	// WrongInstance: another target has the address; the request did not run.
	WrongInstance
	// Broken: the connection failed after the request was sent, or the response
	// was not valid. The request may have run.
	Broken
	// Cancelled: the context ended. The request may have run.
	Cancelled
)

var failureNames = map[Failure]string{NotSent: "not sent", NotRun: "not run", WrongInstance: "wrong instance", Broken: "broken", Cancelled: "cancelled"}

// String returns the failure's name.
func (f Failure) String() string { return failureNames[f] }

// Error is the error of a call.
type Error struct {
	Failure Failure
	Cause   error
	// ConnectionLost: the connection failed after the request was sent. The target's
	// process may have ended.
	ConnectionLost bool
	// Unattributed: an answer arrived that is not proved to be that of this call.
	Unattributed bool
	// Saturated: the target refused for lack of free slots, not because of the request.
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

// LostConnection reports whether a call failed because the connection to the target broke.
func LostConnection(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.ConnectionLost
}

// Unattributed reports whether a call failed because an answer arrived that is not proved to be
// its own.
func Unattributed(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Unattributed
}

// FailureOf returns the failure of a call's error. For an error of another type it is
// Broken, because the request may have run.
func FailureOf(err error) Failure {
	var e *Error
	if errors.As(err, &e) {
		return e.Failure
	}
	return Broken
}

// MayHaveRun reports whether the request may have run.
func (f Failure) MayHaveRun() bool { return f == Broken || f == Cancelled }
