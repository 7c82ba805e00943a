package hosted

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRunnerStartsAgainUnderItsID: when a runner restarts, its running requests are lost,
// but behind a network partition their connections stay open without data. A stream that
// may run at most once must end then, instead of at its deadline.
func TestRunnerStartsAgainUnderItsID(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, Options{Nodes: 2, Runners: 1})
	f.Runners[0].SetBehaviour(func(string, int) Behaviour { return Stall })
	answered := make(chan Reply, 1)
	go func() {
		answered <- SendRequest(context.Background(), f.Nodes[0].CallerAddress(), StreamPath+"x", "lost", nil)
	}()
	eventually(t, "the request runs", time.Second, func() bool { return f.Runners[0].RunCount("lost") == 1 })
	f.Store.Put("servers", "i-0", f.Runners[0].EntryAfterRestart("hall-a"))
	select {
	case reply := <-answered:
		is.True(reply.Err != nil) // the answer is not taken for complete
	case <-time.After(2 * time.Second): // two refreshes of the list of targets; the deadline is 5 s
		t.Fatal("the caller still waits")
	}
	f.Runners[0].SetBehaviour(func(string, int) Behaviour { return Serve })
	reply := SendRequest(context.Background(), f.Nodes[0].CallerAddress(), StreamPath+"x", "next", nil)
	is.NoErr(reply.Err)
	is.Equal(reply.Status, http.StatusOK)
	is.Equal(f.runCount("lost"), 1) // not sent again
}

// TestEntriesOfAnotherWriter: entries that cannot be decoded or have an unknown state do
// not affect other entries, in any order. A runner whose entry is overwritten by such a one
// gets no more requests.
func TestEntriesOfAnotherWriter(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, Options{Nodes: 2, Runners: 2})
	strange := f.Runners[0].Entry("hall-a", "sleeping")
	f.Store.Put("servers", "a-state", strange)
	f.Store.Put("servers", "b-text", "no entry at all")
	f.Store.Put("servers", "c-empty", map[string]any{})
	half := f.Runners[0].Entry("hall-a", "ready")
	half["address"] = 17
	f.Store.Put("servers", "i-0", half) // overwrites a valid entry
	f.Store.Put("servers", "z-null", nil)
	f.Store.Put("marblepond-nodes", "no-node", map[string]any{"Boot": "yes"})
	f.Store.Put("marblepond-jobs", "no-job", []int{1})
	eventually(t, "runner i-0 gets no requests", 3*time.Second, func() bool {
		before := f.Runners[0].RunCount("probe")
		for i := range 6 {
			if SendRequest(context.Background(), f.Nodes[i%2].CallerAddress(), RepeatPath+"x", "probe", nil).Status != http.StatusOK {
				t.Fatal("a request is refused")
			}
		}
		return f.Runners[0].RunCount("probe") == before
	})
	is.Equal(SubmitJob(f.Nodes[0].CallerAddress(), "job", Items("job", 4)).Status, http.StatusAccepted)
	results, err := ReadAllResults(f.callers(), "job", 10*time.Second)
	is.NoErr(err)
	f.checkResults(t, "job", 4, results)
	f.Store.Put("servers", "i-0", f.Runners[0].Entry("hall-a", "ready"))
	eventually(t, "runner i-0 serves again", 3*time.Second, func() bool {
		for i := range 8 {
			id := fmt.Sprint("back-", i)
			SendRequest(context.Background(), f.Nodes[i%2].CallerAddress(), RepeatPath+"x", id, nil)
			if f.Runners[0].RunCount(id) > 0 {
				return true
			}
		}
		return false
	})
}
