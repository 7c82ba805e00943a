package errkind

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// noRetry are the kinds with status 429 or 503 that a retry does not help: what the caller
// resumes cannot continue anywhere.
var noRetry = map[string]bool{"version_gone": true, "origin_unknown": true}

func TestTable(t *testing.T) {
	is := is.New(t)
	names := map[string]bool{}
	for kind, row := range responses {
		err := kind.New("text")
		is.Equal(Of(err), row)
		is.True(Is(err, kind))
		is.Equal(ByName(row.Name), kind)
		is.True(!names[row.Name]) // each name is unique
		names[row.Name] = true
		is.True(row.HTTPStatus >= 400)
		is.True(row.NotRun == NotRunTrue || row.NotRun == NotRunUnknown)
		is.True(row.NotRun == NotRunTrue || !PromisesNotRun(row.HTTPStatus)) // no false promise
		if row.HTTPStatus == 429 || row.HTTPStatus == 503 {
			is.Equal(row.RetryAfter > 0, !noRetry[row.Name]) // says when to retry, only where that can help
		}
	}
}

func TestOtherErrorsAreInternal(t *testing.T) {
	is := is.New(t)
	is.Equal(Of(errors.New("secret detail")).Name, "internal")
	is.Equal(Message(errors.New("secret detail")), "internal error")
}

func TestRetryAfter(t *testing.T) {
	is := is.New(t)
	is.Equal(Of(WithRetryAfter(Overloaded.New("x"), time.Minute)).RetryAfter, time.Minute)
}
