package hosted

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// leave takes the runners of a version off the list; their processes end a moment later.
func (f *Fleet) leave(version string) {
	for i, r := range f.Runners {
		if r.Version() == version {
			f.Store.Put("servers", r.ID, r.Entry(f.dataCentreOf(i), "draining"))
			time.AfterFunc(300*time.Millisecond, func() {
				f.Store.Delete("servers", r.ID)
				r.Close()
			})
		}
	}
}

// Guards against streams of two versions, and against items that are never sent again, after all
// nodes are killed around the end of a release while callers return and a job is open.
func TestAllNodesKilledAroundTheEndOfARelease(t *testing.T) {
	for name, c := range map[string]struct{ leave, kill time.Duration }{
		"the old version leaves while all nodes are down": {100 * time.Millisecond, 0},
		"the old version leaves after they are back":      {2 * time.Second, 0},
		"the old version left just before":                {0, 400 * time.Millisecond},
		"the old version left a while before":             {0, 2500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const streams, edges, items = 24, 4, 40
			disks := []string{t.TempDir(), t.TempDir()}
			f := startFleet(t, Options{Nodes: edges, Runners: 8, Slots: 8, Events: 100, Gap: 20 * time.Millisecond,
				DataCentres: []string{"hall-a", "hall-b"}, Versions: []string{"v1", "v1", "v2", "v2"}, Extra: "[node]\nfirst_start = true\n" + shortJobTimeouts})
			nodes := f.callers()
			for i, disk := range disks {
				_, err := f.StartKeeper(fmt.Sprint("keep-", i), disk, "[node]\nfirst_start = true\n")
				is.NoErr(err)
			}
			time.Sleep(nodesKnownWithin)
			is.Equal(SubmitJob(nodes[0], "release", Items("release", items)).Status, http.StatusAccepted)
			callers := make([]*ReturningCaller, streams)
			var wg sync.WaitGroup
			for i := range callers {
				callers[i] = &ReturningCaller{Name: fmt.Sprint("release-", i), Path: ResumePath + "x"}
				wg.Go(func() {
					time.Sleep(time.Duration(i) * 100 * time.Millisecond)
					_ = callers[i].Attempt(context.Background(), nodes[i%edges], nil)
					for n := 1; n <= 4 && !callers[i].Complete; n++ {
						time.Sleep(time.Second)
						callers[i].Run(context.Background(), []string{nodes[(i+n)%edges], nodes[(i+n+1)%edges]})
					}
				})
			}
			time.Sleep(1500 * time.Millisecond) // until the records are on a disk
			left := time.AfterFunc(c.leave, func() { f.leave("v1") })
			defer left.Stop()
			time.Sleep(c.kill)
			killed := append([]*Node(nil), f.Nodes...)
			var kills sync.WaitGroup
			for _, n := range killed {
				kills.Go(n.Kill)
			}
			kills.Wait()
			time.Sleep(500 * time.Millisecond)
			for _, n := range killed {
				_, err := f.Restart(n, shortJobTimeouts)
				is.NoErr(err)
			}
			wg.Wait()
			complete := checkCallers(t, callers)
			is.True(complete > 0) // otherwise the test proves nothing
			results, err := ReadAllResults(nodes, "release", 30*time.Second)
			is.NoErr(err)
			is.Equal(len(results), items)
			for _, r := range results {
				if versions := VersionsOfText(r.Text); r.State != "completed" || len(versions) > 1 {
					t.Errorf("item %s is %s, with events of %v", r.ID, r.State, versions)
				}
			}
			t.Logf("%d of %d streams are complete", complete, streams)
			for _, c := range callers {
				if !c.Complete {
					t.Logf("%s, begun at %v: status %d after %d events: %s", c.Name, c.Versions(), c.Status, len(c.Events), c.Refusal)
				}
			}
		})
	}
}
