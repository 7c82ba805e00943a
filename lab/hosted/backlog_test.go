package hosted

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startBacklogFleet starts nodes, each with an endpoint of the store of its own, and gives the batch
// route as many workspaces as there are to be backlogs, so that each node owns some.
func startBacklogFleet(t *testing.T, nodes, backlogs, limit int, o Options) (*Fleet, []*Endpoint) {
	t.Helper()
	f, lines := linedFleet(t, nodes, shortJobTimeouts, o)
	var workspaces []any
	for i := range backlogs {
		workspaces = append(workspaces, Workspace{Name: fmt.Sprint("w", i), Keys: []string{backlogKey(i)}})
	}
	f.applyConfig(t, 2, WithWorkspaces(workspaces...), func(c map[string]any) {
		batch := c["routes"].([]any)[3].(map[string]any)
		batch["cap"], batch["slo_ms"] = float64(limit), 2000.0 // jobs are refused for their backlog only, also on a busy machine
	})
	time.Sleep(nodesKnownWithin)
	return f, lines
}

func backlogKey(backlog int) string { return fmt.Sprint("k-", backlog) }

// TestJobsFitThoughTheStoreRefusesAnOwner guards against jobs that are refused although their node
// reaches the object store: the owner of the backlog, which has just started and has to list the
// stored jobs before it decides, is refused by the store or hears nothing of it, and so is the next.
func TestJobsFitThoughTheStoreRefusesAnOwner(t *testing.T) {
	const nodes, refused, backlogs = 6, 3, 24
	for name, fault := range map[string]func(*Endpoint){
		"refused":      func(e *Endpoint) { e.SetDown(true) },
		"unresponsive": func(e *Endpoint) { e.SetUnresponsive(true) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, lines := startBacklogFleet(t, nodes, backlogs, 100000, Options{Runners: 2, Slots: 8, Events: 4, Gap: 5 * time.Millisecond})
			for _, line := range lines[:refused] {
				fault(line)
			}
			accepted, slowest := 0, time.Duration(0)
			for i := range backlogs {
				id := fmt.Sprint("owned-", i)
				began := time.Now()
				if SubmitJobWithKey(f.Nodes[refused+i%(nodes-refused)].CallerAddress(), id, backlogKey(i), Items(id, 2)).Status == http.StatusAccepted {
					accepted, slowest = accepted+1, max(slowest, time.Since(began))
				}
			}
			t.Logf("%d of %d jobs accepted, the slowest in %v", accepted, backlogs, slowest.Round(time.Millisecond))
			is.Equal(accepted, backlogs)
		})
	}
}

// TestLimitHoldsThoughTheStoreRefusesAnOwner guards against jobs beyond the limit on waiting tokens
// that the next owner accepts while the store refuses the first one, or the first one after that.
func TestLimitHoldsThoughTheStoreRefusesAnOwner(t *testing.T) {
	const backlogs, limit, tolerance, job = 6, 6000, 600, 300
	is := is.New(t)
	f, lines := startBacklogFleet(t, 3, backlogs, limit, Options{Runners: 1, Slots: 2, Events: 3000, Gap: 10 * time.Millisecond})
	var mu sync.Mutex
	accepted := map[int]int{} // tokens by backlog
	submit := func(round, node, backlog, jobs int) {
		for n := range jobs {
			id := fmt.Sprint("limited-", round, "-", node, "-", backlog, "-", n)
			if SubmitJobWithKey(f.Nodes[node].CallerAddress(), id, backlogKey(backlog), Items(id, job/100)).Status == http.StatusAccepted {
				mu.Lock()
				accepted[backlog] += job
				mu.Unlock()
			}
		}
	}
	submitAll := func(round, jobs int, from ...int) {
		var wg sync.WaitGroup
		for backlog := range backlogs {
			for _, node := range from {
				wg.Go(func() { submit(round, node, backlog, jobs) })
			}
		}
		wg.Wait()
	}
	lines[0].SetDown(true)
	submitAll(0, 1, 1) // a new owner accepts a twentieth of the limit at once
	time.Sleep(500 * time.Millisecond)
	submitAll(1, 4, 1, 2)
	for i := range backlogs {
		is.Equal(accepted[i], 9*job) // they fit even if each counts twice for a moment
	}
	submitAll(2, 5, 1, 2)
	lines[0].SetDown(false)
	submitAll(3, 6, 0, 1, 2)
	t.Logf("tokens that wait, by backlog: %v; the limit is %d", accepted, limit)
	for i := range backlogs {
		is.True(accepted[i] <= limit+tolerance)
	}
}

// TestJobsAreRefusedAtOnceWhileTheStoreIsAway guards against callers that wait a second for the refusal
// of a job that cannot be stored, because no owner of its backlog can list the stored jobs.
func TestJobsAreRefusedAtOnceWhileTheStoreIsAway(t *testing.T) {
	const backlogs = 6
	is := is.New(t)
	f, lines := startBacklogFleet(t, 3, backlogs, 100000, Options{Runners: 1, Slots: 8, Events: 4, Gap: 5 * time.Millisecond})
	for _, line := range lines {
		line.SetDown(true)
	}
	time.Sleep(time.Second) // until the nodes know
	slowest := time.Duration(0)
	for i := range backlogs {
		id := fmt.Sprint("away-", i)
		began := time.Now()
		is.Equal(SubmitJobWithKey(f.Nodes[i%3].CallerAddress(), id, backlogKey(i), Items(id, 2)).Status, http.StatusServiceUnavailable)
		slowest = max(slowest, time.Since(began))
	}
	t.Logf("the slowest refusal took %v", slowest.Round(time.Millisecond))
	is.True(slowest < 800*time.Millisecond) // a reservation is repeated for one second
}
