package hosted

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// Sizes of the demo.
const (
	demoNodes    = 3
	demoRunners  = 4
	demoSlots    = 8
	demoEvents   = 40
	demoGap      = 5 * time.Millisecond
	demoRequests = 120
	demoPause    = 25 * time.Millisecond // between requests
	demoJobs     = 4
	demoItems    = 12
	demoTimeout  = 30 * time.Second // for all results
)

// Demo runs a hosted fleet against the stand-ins of the users' platform, with
// online requests and jobs at once, and kills one node meanwhile. It fails unless
// every request has a complete answer or a connection that the kill closed, and
// every item has exactly one complete answer.
func Demo(w io.Writer) error {
	f, err := Start(Options{Nodes: demoNodes, Runners: demoRunners, Slots: demoSlots, Events: demoEvents, Gap: demoGap,
		Extra: "[jobs]\ntake_over_after = 1s\nsweep_interval = 500ms\n"})
	if err != nil {
		return err
	}
	defer f.Stop()
	started := time.Now()
	for j := range demoJobs {
		if reply := SubmitJob(f.Nodes[j%demoNodes].CallerAddress(), demoJob(j), Items(demoJob(j), demoItems)); reply.Status != 202 {
			return fmt.Errorf("job %s: status %d %v", demoJob(j), reply.Status, reply.Err)
		}
	}
	complete, cut := f.demoOnline()
	done, err := f.demoResults()
	fmt.Fprintf(w, "hosted: %d nodes, %d runners, one node killed: %d requests, %d complete, %d cut by the kill; %d items, %d with one complete answer; %.1f s\n",
		demoNodes, demoRunners, demoRequests, complete, cut, demoJobs*demoItems, done, time.Since(started).Seconds())
	if complete+cut != demoRequests {
		err = errors.Join(err, fmt.Errorf("%d requests have neither a complete answer nor a connection that the kill closed", demoRequests-complete-cut))
	}
	return err
}

func demoJob(n int) string { return fmt.Sprint("demo-job-", n) }

// demoOnline sends the requests and kills the last node after half of them. It
// returns how many were answered completely and how many the kill interrupted.
func (f *Fleet) demoOnline() (complete, cut int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	alive := demoNodes
	for i := range demoRequests {
		if i == demoRequests/2 {
			f.Nodes[demoNodes-1].Kill()
			alive--
		}
		node, id := f.Nodes[i%alive].CallerAddress(), fmt.Sprint("demo-", i)
		before := i < demoRequests/2
		wg.Go(func() {
			reply := SendRequest(context.Background(), node, StreamPath, id, nil)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case reply.Err == nil && StreamText(reply.Body) == f.Runners[0].Text(id):
				complete++
			case reply.Err != nil && before:
				cut++
			}
		})
		time.Sleep(demoPause)
	}
	wg.Wait()
	return complete, cut
}

// demoResults reads all jobs from the remaining nodes and returns the number of
// items with exactly one complete answer.
func (f *Fleet) demoResults() (done int, err error) {
	nodes := []string{f.Nodes[0].CallerAddress(), f.Nodes[1].CallerAddress()}
	for j := range demoJobs {
		results, readErr := ReadAllResults(nodes, demoJob(j), demoTimeout)
		err = errors.Join(err, readErr)
		seen := map[string]bool{}
		for _, r := range results {
			if r.State == "completed" && r.Text == f.Runners[0].Text(r.ID) && !seen[r.ID] {
				seen[r.ID] = true
				done++
			}
		}
	}
	if done != demoJobs*demoItems {
		err = errors.Join(err, fmt.Errorf("%d of %d items have exactly one complete answer", done, demoJobs*demoItems))
	}
	return done, err
}
