package serve

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/engine"
	"github.com/marblepond/marblepond/internal/connection/openai"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/request/hold"
)

// Guards against a promise that a plain service's call was not run, which only the node can make.
func TestAnswersOfServicesPromiseNothing(t *testing.T) {
	is := is.New(t)
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		w := httptest.NewRecorder()
		writePlain(w, engine.PlainAnswer{Status: status, Header: http.Header{openai.HeaderNotRun: {"true"}}})
		is.Equal(w.Code, status)
		is.Equal(w.Header().Get(openai.HeaderNotRun), "")
	}
}

// TestStoredAnswerWithAnInvalidStatusIsAnError guards against a panic, and a closed connection, each
// time a caller asks for an answer that a node stored before it checked the status.
func TestStoredAnswerWithAnInvalidStatusIsAnError(t *testing.T) {
	for _, status := range []int{0, 99, 101, 600} {
		is := is.New(t)
		w := httptest.NewRecorder()
		err := writeResult(w, false, hold.Result{RequestID: "r", Status: status, Body: []byte("ok")})
		is.True(errkind.Is(err, errkind.TargetFailed))
		is.Equal(w.Body.Len(), 0)
	}
}
