package engine

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/openai"
	"github.com/marblepond/marblepond/internal/request/assemble"
)

// Guards against a call that is made a second time, elsewhere and by another method, because its
// answer is a redirect. The answer belongs to the caller.
func TestRedirectsOfAServiceAreAnswers(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusTemporaryRedirect} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			is := is.New(t)
			calls := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls++
				http.Redirect(w, r, "/elsewhere", status)
			}))
			defer server.Close()
			answer, err := New(server.Client(), time.Second).Plain(context.Background(), PlainCall{Addr: strings.TrimPrefix(server.URL, "http://"),
				Method: http.MethodPost, Path: "/", RequestID: "r", Header: http.Header{}, Body: []byte("{}"), NonIdempotent: true})
			is.NoErr(err)
			is.Equal(answer.Status, status)
			is.Equal(calls, 1)
		})
	}
}

// Guards against a request that may run once and runs twice, because a late refusal of another
// attempt, or one that names none, arrives where the answer to this one is due.
func TestRefusalOfAnotherAttemptProvesNothing(t *testing.T) {
	call := Call{Path: "/", RequestID: "r", Attempt: 2, Body: []byte("{}")}
	for _, c := range []struct {
		status      int
		id, attempt string
		want        error
		notRun      bool
	}{
		{http.StatusServiceUnavailable, "r", "2", ErrBusy, true},
		{http.StatusTooManyRequests, "r", "2", ErrBusy, true},
		{http.StatusServiceUnavailable, "", "", ErrBusy, false},
		{http.StatusServiceUnavailable, "r", "", ErrBusy, false},
		{http.StatusServiceUnavailable, "r", "1", ErrBusy, false}, // a copy of an earlier one
		{http.StatusTooManyRequests, "other", "2", ErrBusy, false},
		{http.StatusInternalServerError, "r", "2", ErrFailed, false},
	} {
		t.Run(fmt.Sprint(c.status, c.id, c.attempt), func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(openai.HeaderRequestID, c.id)
				w.Header().Set(openai.HeaderAttempt, c.attempt)
				w.WriteHeader(c.status)
			}))
			defer server.Close()
			call.Addr = strings.TrimPrefix(server.URL, "http://")
			err := New(server.Client(), time.Second).Stream(context.Background(), call, func(assemble.Piece) {})
			is.True(errors.Is(err, c.want))
			is.Equal(errors.Is(err, ErrNotRun), c.notRun)
		})
	}
}
