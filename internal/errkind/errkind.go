// Package errkind defines the closed set of error kinds and the response to a caller for each
// of them: HTTP status, connect code, whether the request ran, and when to retry. Every error
// that a node returns to a caller is of one of these kinds.
package errkind

import (
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/joomcode/errorx"
)

// NotRun is what an error response guarantees about the execution of the request. If it says
// that the request did not run, that has to be true.
type NotRun string

// The values of NotRun.
const (
	NotRunTrue    NotRun = "true"    // the request was not sent to any target and will not be
	NotRunFalse   NotRun = "false"   // it ran
	NotRunUnknown NotRun = "unknown" // it may have run and is not retried
)

// Response is what a caller receives for one kind of error.
type Response struct {
	Name        string
	HTTPStatus  int
	ConnectCode connect.Code
	NotRun      NotRun
	RetryAfter  time.Duration // 0: a retry does not help
}

// PromisesNotRun reports whether callers take an HTTP status as proof that their request was not
// run and never will be.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

var namespace = errorx.NewNamespace("marblepond")

// The kinds. No error of another type may reach a caller.
var (
	Malformed           = namespace.NewType("malformed")
	Unauthenticated     = namespace.NewType("unauthenticated")
	NotFound            = namespace.NewType("not_found")
	UnknownModel        = namespace.NewType("unknown_model")
	MethodNotAllowed    = namespace.NewType("method_not_allowed")
	KeyConflict         = namespace.NewType("key_conflict")
	TooLarge            = namespace.NewType("too_large")
	HeaderTooLarge      = namespace.NewType("header_too_large")
	RequestTimeout      = namespace.NewType("request_timeout")
	RateLimited         = namespace.NewType("rate_limited")
	Overloaded          = namespace.NewType("overloaded")
	DeadlineUnmeetable  = namespace.NewType("deadline_unmeetable")
	NoTarget            = namespace.NewType("no_target")
	VersionGone         = namespace.NewType("version_gone")
	OriginUnknown       = namespace.NewType("origin_unknown")
	Leaving             = namespace.NewType("leaving")
	PlatformUnavailable = namespace.NewType("platform_unavailable")
	StalePlan           = namespace.NewType("stale_plan")
	TargetFailed        = namespace.NewType("target_failed")
	UnknownOutcome      = namespace.NewType("unknown_outcome")
	CrashesTargets      = namespace.NewType("crashes_targets")
	DeadlineExceeded    = namespace.NewType("deadline_exceeded")
	Cancelled           = namespace.NewType("cancelled")
	Internal            = namespace.NewType("internal")
)

var responses = map[*errorx.Type]Response{
	Malformed:        {"malformed", 400, connect.CodeInvalidArgument, NotRunTrue, 0},
	Unauthenticated:  {"unauthenticated", 401, connect.CodeUnauthenticated, NotRunTrue, 0},
	NotFound:         {"not_found", 404, connect.CodeNotFound, NotRunTrue, 0},
	UnknownModel:     {"unknown_model", 404, connect.CodeNotFound, NotRunTrue, 0},
	MethodNotAllowed: {"method_not_allowed", 405, connect.CodeUnimplemented, NotRunTrue, 0},
	KeyConflict:      {"key_conflict", 409, connect.CodeAlreadyExists, NotRunTrue, 0},
	TooLarge:         {"too_large", 413, connect.CodeInvalidArgument, NotRunTrue, 0},
	HeaderTooLarge:   {"header_too_large", 431, connect.CodeInvalidArgument, NotRunTrue, 0},
	// It was not read whole in time, and whoever sent it waits no longer.
	RequestTimeout:     {"request_timeout", 408, connect.CodeDeadlineExceeded, NotRunTrue, 0},
	RateLimited:        {"rate_limited", 429, connect.CodeResourceExhausted, NotRunTrue, time.Second},
	Overloaded:         {"overloaded", 503, connect.CodeUnavailable, NotRunTrue, 2 * time.Second},
	DeadlineUnmeetable: {"deadline_unmeetable", 503, connect.CodeUnavailable, NotRunTrue, 2 * time.Second},
	NoTarget:           {"no_target", 503, connect.CodeUnavailable, NotRunTrue, 2 * time.Second},
	// A stream that a caller resumes continues only at the version that began it.
	VersionGone:         {"version_gone", 503, connect.CodeUnavailable, NotRunTrue, 0},
	OriginUnknown:       {"origin_unknown", 503, connect.CodeUnavailable, NotRunTrue, 0},
	Leaving:             {"leaving", 503, connect.CodeUnavailable, NotRunTrue, time.Second},
	PlatformUnavailable: {"platform_unavailable", 503, connect.CodeUnavailable, NotRunTrue, 5 * time.Second},
	StalePlan:           {"stale_plan", 409, connect.CodeFailedPrecondition, NotRunTrue, 0},
	TargetFailed:        {"target_failed", 502, connect.CodeUnavailable, NotRunUnknown, time.Second},
	UnknownOutcome:      {"unknown_outcome", 500, connect.CodeAborted, NotRunUnknown, 0},
	// The status is 500 because the targets fail, and not 503 because the request has run
	// before. A retry does not help, so there is no Retry-After.
	CrashesTargets:   {"crashes_targets", 500, connect.CodeAborted, NotRunUnknown, 0},
	DeadlineExceeded: {"deadline_exceeded", 504, connect.CodeDeadlineExceeded, NotRunUnknown, time.Second},
	Cancelled:        {"cancelled", 409, connect.CodeCanceled, NotRunUnknown, 0},
	Internal:         {"internal", 500, connect.CodeInternal, NotRunUnknown, time.Second},
}

var propertyRetryAfter = errorx.RegisterProperty("retry_after")

// WithRetryAfter overrides the default retry time of the kind.
func WithRetryAfter(err *errorx.Error, d time.Duration) *errorx.Error {
	return err.WithProperty(propertyRetryAfter, d)
}

// Of returns the response for err. An error of no known kind is Internal.
func Of(err error) Response {
	response := responses[kindOf(err)]
	var ex *errorx.Error
	if errors.As(err, &ex) {
		if d, ok := ex.Property(propertyRetryAfter); ok {
			response.RetryAfter = d.(time.Duration)
		}
	}
	return response
}

func kindOf(err error) *errorx.Type {
	var ex *errorx.Error
	if !errors.As(err, &ex) {
		return Internal
	}
	for t := range responses {
		if ex.IsOfType(t) {
			return t
		}
	}
	return Internal
}

// Is reports whether err is of kind t. Errors of no known kind are Internal.
func Is(err error, t *errorx.Type) bool {
	return err != nil && kindOf(err) == t
}

// ByName returns the kind with the given name, Internal if there is none.
func ByName(name string) *errorx.Type {
	for t, response := range responses {
		if response.Name == name {
			return t
		}
	}
	return Internal
}

// Message returns the text of err that a caller may see: errors of other packages may contain
// internal details and are replaced.
func Message(err error) string {
	var ex *errorx.Error
	if errors.As(err, &ex) {
		return ex.Message()
	}
	return "internal error"
}

// ConnectError converts err to the connect error of its kind.
func ConnectError(err error) error {
	if err == nil {
		return nil
	}
	response := Of(err)
	return connect.NewError(response.ConnectCode, errors.New(response.Name+": "+Message(err)))
}
