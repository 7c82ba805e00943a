package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
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
