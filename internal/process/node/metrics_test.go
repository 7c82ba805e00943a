package node

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
)

// TestMetricsPage checks the text format of counters and histograms, whose counts are
// cumulative.
func TestMetricsPage(t *testing.T) {
	is := is.New(t)
	m := newMetrics()
	m.scope.Counter("requests").Inc(3)
	h := m.scope.Histogram("request", tally.DurationBuckets{10 * time.Millisecond, 100 * time.Millisecond})
	for _, d := range []time.Duration{time.Millisecond, 50 * time.Millisecond, time.Second} {
		h.RecordDuration(d)
	}
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{"requests 3", `request_bucket{le="0.01"} 1`, `request_bucket{le="0.1"} 2`, `request_bucket{le="+Inf"} 3`, "request_count 3"} {
		if !strings.Contains(w.Body.String(), line+"\n") {
			t.Errorf("no line %q in\n%s", line, w.Body.String())
		}
	}
	is.Equal(w.Code, 200)
}
