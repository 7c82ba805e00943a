package node

import (
	"fmt"
	"maps"
	"math"
	"net/http"
	"runtime"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics is the node's metrics scope and the HTTP handler that exposes it as text, one
// metric per line: name, tags and value.
type metrics struct {
	scope tally.TestScope
}

func newMetrics() *metrics { return &metrics{scope: tally.NewTestScope("", nil)} }

// ServeHTTP implements http.Handler.
func (m *metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	snapshot := m.scope.Snapshot()
	var lines []string
	for _, c := range snapshot.Counters() {
		lines = append(lines, fmt.Sprintf("%s%s %d", c.Name(), tags(c.Tags()), c.Value()))
	}
	for _, g := range snapshot.Gauges() {
		lines = append(lines, fmt.Sprintf("%s%s %g", g.Name(), tags(g.Tags()), g.Value()))
	}
	for _, h := range snapshot.Histograms() {
		lines = append(lines, histogramLines(h)...)
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	lines = append(lines, fmt.Sprintf("process_heap_bytes %d", memory.HeapAlloc), fmt.Sprintf("process_goroutines %d", runtime.NumGoroutine()))
	sort.Strings(lines)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	fmt.Fprintln(w, strings.Join(lines, "\n"))
}

// histogramLines returns the lines of a latency histogram in the format of Prometheus:
// cumulative counts by upper bound in seconds.
func histogramLines(h tally.HistogramSnapshot) []string {
	bounds := slices.Sorted(maps.Keys(h.Durations()))
	var lines []string
	total := int64(0)
	for _, bound := range bounds {
		total += h.Durations()[bound]
		le := "+Inf"
		if bound != time.Duration(math.MaxInt64) {
			le = strconv.FormatFloat(bound.Seconds(), 'g', -1, 64)
		}
		labels := maps.Clone(h.Tags())
		if labels == nil {
			labels = map[string]string{}
		}
		labels["le"] = le
		lines = append(lines, fmt.Sprintf("%s_bucket%s %d", h.Name(), tags(labels), total))
	}
	return append(lines, fmt.Sprintf("%s_count%s %d", h.Name(), tags(h.Tags()), total))
}

func tags(t map[string]string) string {
	if len(t) == 0 {
		return ""
	}
	var parts []string
	for k, v := range t {
		parts = append(parts, fmt.Sprintf("%s=%q", k, v))
	}
	sort.Strings(parts)
	return "{" + strings.Join(parts, ",") + "}"
}
