package serve

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/engine"
	"github.com/marblepond/marblepond/internal/connection/openai"
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
