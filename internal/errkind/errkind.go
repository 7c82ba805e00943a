// Package errkind holds the closed list of error kinds and the one table from
// a kind to its answer: HTTP status, connect code, whether anything was run,
// and when to come back. Every error that leaves a node passes through it.
package errkind

import (
	"errors"
	"time"

	"connectrpc.com/connect"
	"github.com/joomcode/errorx"
)

// NotRun says what a refusal promises about execution (brief: "A refusal that
// says 'not run' is true").
type NotRun string

// The three values a refusal can carry.
const (
	NotRunTrue    NotRun = "true"    // nothing was sent to any target, and nothing will be
	NotRunFalse   NotRun = "false"   // it ran
	NotRunUnknown NotRun = "unknown" // it may have run and is not repeated
)

// Response is a row of the table: what a caller receives for one kind of error.
type Response struct {
	Name        string
	HTTPStatus  int
	ConnectCode connect.Code
	NotRun      NotRun
	RetryAfter  time.Duration // 0: coming back does not help
}

var namespace = errorx.NewNamespace("marblepond")

// The kinds. No other error type may reach a caller.
var (
	Malformed           = namespace.NewType("malformed")
	Unauthenticated     = namespace.NewType("unauthenticated")
	NotFound            = namespace.NewType("not_found")
	UnknownModel        = namespace.NewType("unknown_model")
	MethodNotAllowed    = namespace.NewType("method_not_allowed")
	KeyConflict         = namespace.NewType("key_conflict")
	TooLarge            = namespace.NewType("too_large")
	HeaderTooLarge      = namespace.NewType("header_too_large")
	RateLimited         = namespace.NewType("rate_limited")
	Overloaded          = namespace.NewType("overloaded")
	DeadlineUnmeetable  = namespace.NewType("deadline_unmeetable")
	NoTarget            = namespace.NewType("no_target")
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

var table = map[*errorx.Type]Response{
	Malformed:           {"malformed", 400, connect.CodeInvalidArgument, NotRunTrue, 0},
	Unauthenticated:     {"unauthenticated", 401, connect.CodeUnauthenticated, NotRunTrue, 0},
	NotFound:            {"not_found", 404, connect.CodeNotFound, NotRunTrue, 0},
	UnknownModel:        {"unknown_model", 404, connect.CodeNotFound, NotRunTrue, 0},
	MethodNotAllowed:    {"method_not_allowed", 405, connect.CodeUnimplemented, NotRunTrue, 0},
	KeyConflict:         {"key_conflict", 409, connect.CodeAlreadyExists, NotRunTrue, 0},
	TooLarge:            {"too_large", 413, connect.CodeInvalidArgument, NotRunTrue, 0},
	HeaderTooLarge:      {"header_too_large", 431, connect.CodeInvalidArgument, NotRunTrue, 0},
	RateLimited:         {"rate_limited", 429, connect.CodeResourceExhausted, NotRunTrue, time.Second},
	Overloaded:          {"overloaded", 503, connect.CodeUnavailable, NotRunTrue, 2 * time.Second},
	DeadlineUnmeetable:  {"deadline_unmeetable", 503, connect.CodeUnavailable, NotRunTrue, 2 * time.Second},
	NoTarget:            {"no_target", 503, connect.CodeUnavailable, NotRunTrue, 2 * time.Second},
	Leaving:             {"leaving", 503, connect.CodeUnavailable, NotRunTrue, time.Second},
	PlatformUnavailable: {"platform_unavailable", 503, connect.CodeUnavailable, NotRunTrue, 5 * time.Second},
	StalePlan:           {"stale_plan", 409, connect.CodeFailedPrecondition, NotRunTrue, 0},
	TargetFailed:        {"target_failed", 502, connect.CodeUnavailable, NotRunUnknown, time.Second},
	UnknownOutcome:      {"unknown_outcome", 500, connect.CodeAborted, NotRunUnknown, 0},
	// The targets fail, so it is a 500. It has run before, so it is no 503; and coming
	// back does not help, so no time is named.
	CrashesTargets:   {"crashes_targets", 500, connect.CodeAborted, NotRunUnknown, 0},
	DeadlineExceeded: {"deadline_exceeded", 504, connect.CodeDeadlineExceeded, NotRunUnknown, time.Second},
	Cancelled:        {"cancelled", 409, connect.CodeCanceled, NotRunUnknown, 0},
	Internal:         {"internal", 500, connect.CodeInternal, NotRunUnknown, time.Second},
}

var propertyRetryAfter = errorx.RegisterProperty("retry_after")

// WithRetryAfter replaces the kind's usual time to come back.
func WithRetryAfter(err *errorx.Error, d time.Duration) *errorx.Error {
	return err.WithProperty(propertyRetryAfter, d)
}

// Of returns the table row for err. An error of no known kind is Internal.
func Of(err error) Response {
	answer := table[typeOf(err)]
	var ex *errorx.Error
	if errors.As(err, &ex) {
		if d, ok := ex.Property(propertyRetryAfter); ok {
			answer.RetryAfter = d.(time.Duration)
		}
	}
	return answer
}

func typeOf(err error) *errorx.Type {
	var ex *errorx.Error
	if !errors.As(err, &ex) {
		return Internal
	}
	for t := range table {
		if ex.IsOfType(t) {
			return t
		}
	}
	return Internal
}

// Is reports whether err is of kind t.
func Is(err error, t *errorx.Type) bool {
	return err != nil && typeOf(err) == t
}

// ByName returns the type with the given name; unknown names give Internal.
func ByName(name string) *errorx.Type {
	for t, answer := range table {
		if answer.Name == name {
			return t
		}
	}
	return Internal
}

// Message returns the text a caller may see.
func Message(err error) string {
	var ex *errorx.Error
	if errors.As(err, &ex) {
		return ex.Message()
	}
	return "internal error"
}

// ConnectError turns err into the connect error of its kind.
func ConnectError(err error) error {
	if err == nil {
		return nil
	}
	answer := Of(err)
	return connect.NewError(answer.ConnectCode, errors.New(answer.Name+": "+Message(err)))
}
