package hosted

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestResultsOutlastTheirRoute guards against jobs whose results can't be read any more, and that
// can't be ended, because the only batch route of their host was removed.
func TestResultsOutlastTheirRoute(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, Options{Nodes: 3, Runners: 4, Slots: 4, Events: 5, Gap: 5 * time.Millisecond})
	is.Equal(SubmitJob(f.Nodes[0].CallerAddress(), "job", Items("job", 6)).Status, http.StatusAccepted)
	before, err := ReadAllResults(f.callers(), "job", 10*time.Second)
	is.NoErr(err)
	f.Store.Put("config", "main", Config(2, func(c map[string]any) { c["routes"] = c["routes"].([]any)[:3] }))
	for _, n := range f.Nodes {
		eventually(t, "version 2 is in force", 3*time.Second, func() bool { return n.Table().Version == 2 })
	}
	for _, at := range f.callers() {
		page, status := ReadResults(at, "job", 0)
		is.Equal(status, http.StatusOK)
		is.Equal(page.Total, 6)
		is.Equal(len(page.Results), len(before))
		_, status = ReadResults(at, "unknown", 0)
		is.Equal(status, http.StatusNotFound)
		is.Equal(EndJob(at, "job").Status, http.StatusOK)
		is.True(SubmitJob(at, "later", Items("later", 2)).Status != http.StatusAccepted)
	}
}
