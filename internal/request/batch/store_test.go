package batch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/marblepond/marblepond/internal/connection/platform"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/record"
)

// Guards against a cancellation that is refused as not done, and takes effect.
func TestRefusedCancellationIsNotDone(t *testing.T) {
	for name, c := range map[string]struct {
		status int // of writes
		reads  int // that are answered
		kind   string
	}{"refused": {http.StatusServiceUnavailable, 100, "platform_unavailable"}, "not known": {http.StatusInternalServerError, 100, "unknown_outcome"},
		"not read again": {http.StatusInternalServerError, 1, "unknown_outcome"}, "not read": {http.StatusInternalServerError, 0, "platform_unavailable"}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method != http.MethodGet {
					w.WriteHeader(c.status)
					return
				}
				if c.reads--; c.reads < 0 {
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				w.Header().Set("ETag", `"1"`)
				_, _ = w.Write(record.Encode(record.Job{ID: "batch_1", State: record.JobOpen}))
			}))
			defer server.Close()
			client := platform.New(platform.Options{URL: server.URL, Timeout: time.Second, WriteRate: 100, ReadRate: 100, Metrics: tally.NoopScope, HTTP: server.Client()})
			recorder := timeline.NewRecorder("n", 10, &log.Logger{Handler: discard.New()}, tally.NoopScope)
			_, err := NewStore(client, recorder, 100).Cancel(context.Background(), "batch_1")
			is.Equal(errkind.Of(err).Name, c.kind)
		})
	}
}
