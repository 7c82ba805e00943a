package hosted

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/request/job"
)

// callFleet starts a fleet in four data centres, each with two nodes that serve callers and a
// keeper of checkpoints.
func callFleet(t *testing.T, extra string) *Fleet {
	t.Helper()
	disks := t.TempDir()
	f := startFleet(t, Options{Nodes: callFleetNodes, Runners: 2, Slots: 3, Events: 60, Gap: 20 * time.Millisecond,
		DataCentres: []string{"hall-a", "hall-b", "hall-c", "hall-d"}, Extra: extra})
	for _, id := range []string{"keep-0", "keep-1", "keep-2", "keep-3"} {
		disk := filepath.Join(disks, id)
		if err := os.Mkdir(disk, 0o700); err != nil {
			t.Fatal(err)
		}
		if _, err := f.StartKeeper(id, disk, extra); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(nodesKnownWithin) // until all nodes are registered and exchange datagrams
	return f
}

const (
	// callFleetNodes is the number of nodes of callFleet that serve callers; they come first.
	callFleetNodes = 8
	// nodesKnownWithin is the time in which the nodes of a test read the list of nodes again.
	nodesKnownWithin = 5 * time.Second
	// readInterval is the time between two reads of a job by its caller.
	readInterval = 500 * time.Millisecond
)

// callsSince returns the calls to the store since an earlier count, by method and kind.
func (f *Fleet) callsSince(before map[string]int) map[string]int {
	calls := f.Store.Calls()
	for name, n := range before {
		calls[name] -= n
	}
	maps.DeleteFunc(calls, func(_ string, n int) bool { return n == 0 })
	return calls
}

// pricedCalls returns the price of calls of the kinds with a prefix: one with stale_ok costs
// a tenth.
func pricedCalls(calls map[string]int, kindPrefix string) float64 {
	price := 0.0
	for name, n := range calls {
		if !strings.Contains(name, " "+kindPrefix) {
			continue
		}
		if strings.HasSuffix(name, staleSuffix) {
			price += 0.1 * float64(n)
		} else {
			price += float64(n)
		}
	}
	return price
}

// logCalls logs calls by method and kind.
func logCalls(t *testing.T, what string, calls map[string]int) {
	for _, name := range slices.Sorted(maps.Keys(calls)) {
		t.Logf("%s: %4d %s", what, calls[name], name)
	}
}

// countJobCalls returns the calls of jobs that are submitted one after another and read twice
// a second, each time at another node, until all results are read, and then at every node.
func (f *Fleet) countJobCalls(t *testing.T, jobs, items int) map[string]int {
	is := is.New(t)
	before := f.Store.Calls()
	var names []string
	for j := range jobs {
		name := "calls-" + string(rune('a'+j))
		names = append(names, name)
		is.Equal(SubmitJob(f.callers()[3*j%callFleetNodes], name, Items(name, items)).Status, http.StatusAccepted)
	}
	positions := make([]int, jobs)
	until := time.Now().Add(40 * time.Second)
	for turn, open := 0, jobs; open > 0 && time.Now().Before(until); turn++ {
		open = 0
		for j, name := range names {
			page, _ := ReadResults(f.callers()[(turn+j)%callFleetNodes], name, positions[j])
			positions[j] += len(page.Results)
			if positions[j] < items {
				open++
			}
		}
		time.Sleep(readInterval)
	}
	for _, name := range names {
		for _, node := range f.callers()[:callFleetNodes] {
			results, err := ReadAllResults([]string{node}, name, 5*time.Second)
			is.NoErr(err)
			f.checkResults(t, name, items, results) // readable at every node
		}
	}
	return f.callsSince(before)
}

// sharedView turns the shared view on in a fleet of callFleetNodes nodes.
var sharedView = fmt.Sprintf("[targets]\nshared_view_nodes = %d\n", callFleetNodes)

// TestCallsOfJobs counts the calls to the store for jobs of ten items that end one after
// another, from their submission to their last read. It guards against calls that come back:
// a job took 13 calls without the shared view and 3.5 with it, lists at a tenth included.
func TestCallsOfJobs(t *testing.T) {
	const jobs, items = 4, 10
	for name, c := range map[string]struct {
		extra    string
		maxPrice float64
	}{"without the shared view": {"", 18}, "with the shared view": {sharedView, 6}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := callFleet(t, c.extra)
			atRest := f.Store.Calls()
			time.Sleep(4 * time.Second)
			logCalls(t, "at rest for 4 s", f.callsSince(atRest))
			calls := f.countJobCalls(t, jobs, items)
			logCalls(t, "4 jobs", calls)
			price := (pricedCalls(calls, job.KindHeads) + pricedCalls(calls, job.KindItems) + pricedCalls(calls, job.KindResults)) / jobs
			t.Logf("price of the calls of a job: %.1f", price)
			if price > c.maxPrice {
				t.Errorf("over %.1f", c.maxPrice)
			}
		})
	}
}

// callerTime is how long the callers of submitTwice wait in all.
const callerTime = 5 * time.Second

// submitTwice submits a job as callers do: after a refusal once more at another node, after
// Retry-After if that is within a third of the time left. It returns the last status.
func (f *Fleet) submitTwice(node int, name string) int {
	until := time.Now().Add(callerTime)
	submit := func(node int) Reply {
		left := time.Until(until)
		ctx, cancel := context.WithTimeout(context.Background(), left)
		defer cancel()
		return Call(ctx, http.MethodPost, f.callers()[node%callFleetNodes], BatchPath+"submit", name,
			map[string]string{"X-Marblepond-Deadline-Ms": strconv.FormatInt(left.Milliseconds(), 10)}, jobBody(Items(name, 4)))
	}
	reply := submit(node)
	seconds, err := strconv.ParseFloat(reply.Header.Get("Retry-After"), 64)
	after := time.Duration(seconds * float64(time.Second))
	if reply.Status == http.StatusAccepted || err != nil || after > time.Until(until)/3 {
		return reply.Status
	}
	time.Sleep(after)
	return submit(node + 3).Status
}

// TestJobsWhileTheStoreIsAway: jobs that are submitted while the store refuses all calls or
// does not answer for three seconds are accepted, at the latest on the second try of their
// callers, and each has one complete result for each item. They were refused twice: Retry-After
// was 5 s, and the second try was given up after the objective.
func TestJobsWhileTheStoreIsAway(t *testing.T) {
	for name, faults := range map[string]StoreFaults{"refusing": {Down: true}, "unresponsive": {Unresponsive: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := callFleet(t, sharedView)
			for n := range callFleetNodes { // each node has seen how long callers wait
				is.Equal(f.submitTwice(n, fmt.Sprint("before-", n)), http.StatusAccepted)
			}
			f.Store.SetFaults(faults)
			time.AfterFunc(3*time.Second, func() { f.Store.SetFaults(StoreFaults{}) })
			const jobs = 10
			statuses := make([]int, jobs)
			var wg sync.WaitGroup
			for j := range jobs {
				wg.Go(func() {
					started := time.Now()
					statuses[j] = f.submitTwice(j, fmt.Sprint("away-", j))
					t.Logf("job %d: status %d after %v", j, statuses[j], time.Since(started).Round(time.Millisecond))
				})
				time.Sleep(200 * time.Millisecond)
			}
			wg.Wait()
			for j, status := range statuses {
				is.Equal(status, http.StatusAccepted)
				results, err := ReadAllResults(f.callers()[:callFleetNodes], fmt.Sprint("away-", j), 30*time.Second)
				is.NoErr(err)
				f.checkResults(t, fmt.Sprint("away-", j), 4, results)
			}
		})
	}
}

// finishedItems returns the items of a job whose runs have ended at a runner.
func (f *Fleet) finishedItems(job string, items int) []string {
	var out []string
	for i := range items {
		id := fmt.Sprint(job, "-", i)
		for _, r := range f.Runners {
			if r.Completed(id) {
				out = append(out, id)
			}
		}
	}
	return out
}

// TestLateCommitsSurviveTheirHolder: results that are finished and not committed when their
// holder is killed, or all nodes at once, are committed by another node, or by the restarted
// ones, from the checkpoints of the keepers: their items do not run again.
func TestLateCommitsSurviveTheirHolder(t *testing.T) {
	const items = 30
	for name, all := range map[string]bool{"holder killed": false, "all nodes killed": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			extra := sharedView + shortJobTimeouts
			f := callFleet(t, extra)
			is.Equal(SubmitJob(f.callers()[0], "late", Items("late", items)).Status, http.StatusAccepted)
			eventually(t, "some items are finished", 15*time.Second, func() bool { return len(f.finishedItems("late", items)) >= 4 })
			time.Sleep(1800 * time.Millisecond) // a checkpoint, and its write to the disk
			finished := f.finishedItems("late", items)[:4]
			is.Equal(len(f.Store.Names(job.KindResults)), 0)
			before := f.Store.Calls()
			if all {
				killed := slices.Clone(f.Nodes)
				var wg sync.WaitGroup
				for _, n := range killed {
					wg.Go(n.Kill)
				}
				wg.Wait()
				for _, n := range killed {
					_, err := f.Restart(n, extra)
					is.NoErr(err)
				}
			} else {
				f.Nodes[0].Kill()
			}
			results, err := ReadAllResults(f.callers()[1:callFleetNodes], "late", 30*time.Second)
			is.NoErr(err)
			f.checkResults(t, "late", items, results)
			logCalls(t, name, f.callsSince(before))
			for _, id := range finished {
				is.Equal(f.runCount(id), 1)
			}
		})
	}
}
