package hosted

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// What nodes know after a loss of power of all of them at once; the store loses nothing.

// restartAll kills all nodes of a fleet that run at once, and starts all again.
func (f *Fleet) restartAll(t *testing.T, extra string, whileDown ...func()) {
	t.Helper()
	killed := append([]*Node(nil), f.Nodes...)
	var wg sync.WaitGroup
	for _, n := range killed {
		select {
		case <-n.done:
		default:
			wg.Go(n.Kill)
		}
	}
	wg.Wait()
	for _, f := range whileDown {
		f()
	}
	slices.Reverse(killed) // the keepers, which are started last, are seeds then
	for _, n := range killed {
		if _, err := f.Restart(n, extra); err != nil {
			t.Fatal(err)
		}
	}
}

// TestTokenCapAfterTheLossOfAllNodes guards against jobs that are accepted beyond the limit on waiting
// tokens after all nodes were lost: until a job is taken over no node reports its tokens, and the
// owner of the backlog remembers none.
func TestTokenCapAfterTheLossOfAllNodes(t *testing.T) {
	const limit, tolerance = 3000, 300
	is := is.New(t)
	f := startFleet(t, Options{Nodes: 3, Runners: 1, Slots: 2, Events: 3000, Gap: 10 * time.Millisecond, Extra: shortJobTimeouts})
	f.Store.Put("config", "main", Config(2, func(c map[string]any) { c["routes"].([]any)[3].(map[string]any)["cap"] = float64(limit) }))
	for _, n := range f.Nodes {
		eventually(t, "version 2 is in force", 2*time.Second, func() bool { return n.Table().Version == 2 })
	}
	time.Sleep(time.Second) // time for the owner of the backlog to decide
	accepted := map[string]int64{}
	for i := range 10 {
		id := fmt.Sprint("before-", i)
		items := Items(id, 3)
		if SubmitJob(f.Nodes[i%3].CallerAddress(), id, items).Status == http.StatusAccepted {
			accepted[id] = 300
		}
	}
	is.True(len(accepted) >= 9)
	f.restartAll(t, shortJobTimeouts)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n, node := range f.Nodes {
		wg.Go(func() {
			for i, end := 0, time.Now().Add(3*time.Second); time.Now().Before(end); i++ {
				id := fmt.Sprint("after-", n, "-", i)
				reply := SubmitJob(node.CallerAddress(), id, Items(id, 3))
				mu.Lock()
				if reply.Status == http.StatusAccepted {
					accepted[id] = 300
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	sum := int64(0)
	for _, tokens := range accepted {
		sum += tokens
	}
	t.Logf("%d tokens of %d jobs wait; the limit is %d", sum, len(accepted), limit)
	is.True(sum <= limit+tolerance)
}

// TestTokenCapWhileANodeLeaves guards against jobs that are accepted beyond the limit on waiting tokens while a
// node hands its jobs over: until another node takes a job up no node reports its tokens.
func TestTokenCapWhileANodeLeaves(t *testing.T) {
	const limit, tolerance = 3000, 300
	is := is.New(t)
	f := startFleet(t, Options{Nodes: 3, Runners: 1, Slots: 2, Events: 3000, Gap: 10 * time.Millisecond, Extra: shortJobTimeouts})
	f.Store.Put("config", "main", Config(2, func(c map[string]any) { c["routes"].([]any)[3].(map[string]any)["cap"] = float64(limit) }))
	for _, n := range f.Nodes {
		eventually(t, "version 2 is in force", 2*time.Second, func() bool { return n.Table().Version == 2 })
	}
	time.Sleep(time.Second) // time for the owner of the backlog to decide
	accepted := map[string]int64{}
	for i := range 10 {
		id := fmt.Sprint("before-", i)
		if SubmitJob(f.Nodes[0].CallerAddress(), id, Items(id, 3)).Status == http.StatusAccepted {
			accepted[id] = 300
		}
	}
	is.True(len(accepted) >= 9)
	f.Store.SetFaults(StoreFaults{Latency: 200 * time.Millisecond})
	left := make(chan error, 1)
	go func() { left <- f.Nodes[0].Terminate() }()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n, node := range f.Nodes[1:] {
		wg.Go(func() {
			for i, end := 0, time.Now().Add(8*time.Second); time.Now().Before(end); i++ {
				id := fmt.Sprint("after-", n, "-", i)
				reply := SubmitJob(node.CallerAddress(), id, Items(id, 3))
				mu.Lock()
				if reply.Status == http.StatusAccepted {
					accepted[id] = 300
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	is.NoErr(<-left)
	sum := int64(0)
	for _, tokens := range accepted {
		sum += tokens
	}
	t.Logf("%d tokens of %d jobs wait; the limit is %d", sum, len(accepted), limit)
	is.True(sum <= limit+tolerance)
}

// TestAcknowledgedJobsOutlastTheLossOfAllNodes guards against what a caller was told of jobs and that is
// forgotten, or told otherwise: all nodes lose power in mid-work, and one of two keepers its disk,
// while the store loses answers to writes. Each accepted job completes, each result that was read
// keeps its position and content, each body can be read until its job is ended, and the items of
// jobs that were ended do not run again.
func TestAcknowledgedJobsOutlastTheLossOfAllNodes(t *testing.T) {
	for name, extra := range map[string]string{"without the shared view": shortJobTimeouts, "with the shared view": shortJobTimeouts + "[targets]\nshared_view_nodes = 3\n"} {
		t.Run(name, func(t *testing.T) { checkAcknowledgedJobs(t, extra) })
	}
}

func checkAcknowledgedJobs(t *testing.T, extra string) {
	const edges, jobs, items = 3, 12, 6
	is := is.New(t)
	disks := []string{t.TempDir(), t.TempDir()}
	f := startFleet(t, Options{Nodes: edges, Runners: 2, Slots: 8, Events: 200, Gap: 10 * time.Millisecond, Extra: extra})
	for i, disk := range disks {
		_, err := f.StartKeeper(fmt.Sprint("keep-", i), disk, extra)
		is.NoErr(err)
	}
	time.Sleep(nodesKnownWithin)
	f.Store.SetFaults(StoreFaults{LostResponseShare: 0.2})
	jobName := func(j int) string { return fmt.Sprint("kept-", j) }
	accepted, ended := map[string]bool{}, map[string]bool{}
	for j := range jobs {
		for try := 0; try < 10 && !accepted[jobName(j)]; try++ {
			accepted[jobName(j)] = SubmitJob(f.Nodes[(j+try)%edges].CallerAddress(), jobName(j), Items(jobName(j), items)).Status == http.StatusAccepted
		}
		is.True(accepted[jobName(j)])
	}
	seen := map[string][]Result{}
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for j := range jobs {
			page, status := ReadResults(f.Nodes[j%edges].CallerAddress(), jobName(j), len(seen[jobName(j)]))
			if status == http.StatusOK {
				seen[jobName(j)] = append(seen[jobName(j)], page.Results...)
			}
		}
	}
	for j := range 3 {
		id := jobName(jobs - 1 - j) // the last ones, which have waited longest
		ended[id] = EndJob(f.Nodes[j%edges].CallerAddress(), id).Status == http.StatusOK
	}
	f.restartAll(t, extra, func() {
		files, err := filepath.Glob(filepath.Join(disks[0], "*"))
		is.NoErr(err)
		for _, file := range files {
			is.NoErr(os.Remove(file))
		}
	})
	restarted := time.Now()
	f.Store.SetFaults(StoreFaults{})
	for _, n := range f.Nodes {
		is.NoErr(f.waitReady(n))
	}
	callers := []string{}
	for _, n := range f.Nodes {
		if n.Settings.CallerListen != "" {
			callers = append(callers, n.CallerAddress())
		}
	}
	read, open := 0, 0
	for j := range jobs {
		id := jobName(j)
		read += len(seen[id])
		if ended[id] {
			page, status := ReadResults(callers[j%edges], id, 0)
			is.Equal(status, http.StatusOK)
			is.True(len(page.Results) >= len(seen[id]))
			is.Equal(append([]Result{}, page.Results[:len(seen[id])]...), append([]Result{}, seen[id]...))
			continue
		}
		if len(seen[id]) < items {
			open++
		}
		last := Items(id, items)[items-1]
		if len(seen[id]) == 0 { // its body can be read, since it is not listed
			reply := Call(context.Background(), http.MethodGet, callers[j%edges], "/v1/items/"+id+"?id="+last.ID, "", nil, nil)
			is.Equal(reply.Status, http.StatusOK)
			is.Equal(reply.Body, string(last.Body))
		}
		results, err := ReadAllResults(callers, id, 30*time.Second)
		is.NoErr(err)
		f.checkResults(t, id, items, results)
		is.Equal(append([]Result{}, results[:len(seen[id])]...), append([]Result{}, seen[id]...))
	}
	for _, r := range f.Runners {
		for _, start := range r.RunStarts() {
			for id := range ended {
				if ended[id] && start.At.After(restarted) && strings.HasPrefix(start.RequestID, id+"-") {
					t.Errorf("item %s of an ended job runs", start.RequestID)
				}
			}
		}
	}
	t.Logf("%d results had been read, %d jobs were open, %d ended", read, open, len(ended))
	is.True(read > 0 && open > 0)
}

// TestOlderConfigurationOnADiskIsNotShown guards against a configuration that was in force and is replaced by
// an older one: all nodes lose power right after a change, and the disk of a keeper has the
// configuration before it. While the store answers, no call is served by that one.
func TestOlderConfigurationOnADiskIsNotShown(t *testing.T) {
	is := is.New(t)
	const edges = 3
	disk := t.TempDir()
	f := startFleet(t, Options{Nodes: edges, Runners: 2, Slots: 8, Events: 3, Gap: time.Millisecond})
	_, err := f.StartKeeper("keep", disk, "")
	is.NoErr(err)
	time.Sleep(nodesKnownWithin + 3*time.Second) // until the copies are on the disk
	f.Store.Put("config", "main", Config(2, func(c map[string]any) {}))
	for _, n := range f.Nodes {
		eventually(t, "version 2 is in force", 2*time.Second, func() bool { return n.Table().Version == 2 })
	}
	f.Store.SetFaults(StoreFaults{Latency: 300 * time.Millisecond})
	f.restartAll(t, "")
	older := 0
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		for _, n := range f.Nodes[len(f.Nodes)-edges:] {
			if table := n.AwaitTable(context.Background(), 0); table != nil && table.Version < 2 {
				older++
			}
		}
	}
	t.Logf("%d times", older)
	is.Equal(older, 0)
}

// TestDiskOfAnAbsentKeeperProvesNothing guards against streams that continue at another version: a keeper was
// away while targets of a second version served. When these have left, all nodes lose power and
// the other keeper its disk, and the one that was away comes back with a file that knows one
// version alone.
func TestDiskOfAnAbsentKeeperProvesNothing(t *testing.T) {
	is := is.New(t)
	const streams, edges = 24, 3
	disks := []string{t.TempDir(), t.TempDir()}
	first := "[node]\nfirst_start = true\n"
	f := startFleet(t, Options{Nodes: edges, Runners: 4, Slots: 8, Events: 200, Gap: 20 * time.Millisecond,
		DataCentres: []string{"hall-a", "hall-b"}, Versions: []string{"v1", "v1", "v1", "v1"}, Extra: first})
	var keepers []*Node
	for i, disk := range disks {
		k, err := f.StartKeeper(fmt.Sprint("keep-", i), disk, first)
		is.NoErr(err)
		keepers = append(keepers, k)
	}
	time.Sleep(nodesKnownWithin + 4*time.Second) // until the history is on both disks
	keepers[0].Kill()
	var second []*Runner
	for i := range 4 {
		r := NewRunner(fmt.Sprint("second-", i), Service, 8, 200, 20*time.Millisecond)
		r.SetVersion("v2")
		f.addRunner(r)
		f.Store.Put("servers", r.ID, r.Entry(f.dataCentreOf(i), "ready"))
		second = append(second, r)
	}
	time.Sleep(4 * time.Second) // until the second version is in use
	callers := make([]*ReturningCaller, streams)
	var wg sync.WaitGroup
	for i := range callers {
		callers[i] = &ReturningCaller{Name: fmt.Sprint("absent-", i), Path: ResumePath + "x"}
		wg.Go(func() { _ = callers[i].Attempt(context.Background(), f.Nodes[i%edges].CallerAddress(), nil) })
	}
	time.Sleep(1500 * time.Millisecond)
	begun := 0
	for _, r := range second {
		begun += r.Busy()
		f.Store.Delete("servers", r.ID)
	}
	is.True(begun > 0) // otherwise the test proves nothing
	f.restartAll(t, "", func() {
		files, err := filepath.Glob(filepath.Join(disks[1], "*"))
		is.NoErr(err)
		for _, file := range files {
			is.NoErr(os.Remove(file))
		}
	})
	for _, n := range f.Nodes {
		is.NoErr(f.waitReady(n))
	}
	time.Sleep(4 * time.Second) // until the file is used
	for i, c := range callers {
		if !c.Complete {
			wg.Go(func() {
				c.Run(context.Background(), []string{f.Nodes[len(f.Nodes)-1-i%edges].CallerAddress()})
			})
		}
	}
	wg.Wait()
	t.Logf("%d streams began at the second version, %d of %d are complete", begun, checkCallers(t, callers), streams)
}
