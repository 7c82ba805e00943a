package hosted

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// evacuatedWithin is the time in which an evacuation must take effect in these tests.
const evacuatedWithin = 2 * time.Second

var evacuationSettings = fmt.Sprintf("[follow]\nevacuated_within = %v\n", evacuatedWithin)

var twoDataCentres = []string{"hall-a", "hall-b"}

// startLoad sends requests to all nodes until stop is called, which returns the replies of
// those that were not served.
func (f *Fleet) startLoad(path string, callers int, pause time.Duration) (stop func() (failed []Reply)) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed []Reply
	var n atomic.Int64
	nodes := f.callers()
	for c := range callers {
		wg.Go(func() {
			for i := c; ctx.Err() == nil; i++ {
				reply := SendRequest(context.Background(), nodes[i%len(nodes)], path, fmt.Sprint("press-", n.Add(1)), nil)
				if reply.Err != nil || reply.Status != http.StatusOK {
					mu.Lock()
					failed = append(failed, reply)
					mu.Unlock()
				}
				time.Sleep(pause)
			}
		})
	}
	return func() []Reply {
		cancel()
		wg.Wait()
		return failed
	}
}

// runnersIn returns the runners of a data centre.
func (f *Fleet) runnersIn(dataCentre string) []*Runner {
	var out []*Runner
	for i, r := range f.Runners {
		if f.dataCentreOf(i) == dataCentre {
			out = append(out, r)
		}
	}
	return out
}

func lastArrival(runners []*Runner) time.Time {
	var last time.Time
	for _, r := range runners {
		if at := r.LastArrival(); at.After(last) {
			last = at
		}
	}
	return last
}

// TestEvacuatedDataCentreGetsNothing: after the time limit nothing reaches the targets of an
// evacuated data centre, also not from a node that the object store refuses or from one that
// starts meanwhile. Requests and jobs do not fail, and the data centre serves again after the
// evacuation.
func TestEvacuatedDataCentreGetsNothing(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, Options{Nodes: 3, Runners: 6, Slots: 8, Events: 6, Gap: 5 * time.Millisecond, DataCentres: twoDataCentres, Extra: evacuationSettings + shortJobTimeouts})
	endpoint := f.Store.NewEndpoint()
	_, err := f.StartNode("edge-door", evacuationSettings+shortJobTimeouts+endpoint.Settings())
	is.NoErr(err)
	is.NoErr(f.waitReady(f.Nodes[3]))
	stop := f.startLoad(StreamPath+"x", 8, 5*time.Millisecond)
	eventually(t, "both data centres serve", 2*time.Second, func() bool { return !lastArrival(f.runnersIn("hall-b")).IsZero() })
	endpoint.SetDown(true)
	is.Equal(SubmitJob(f.Nodes[1].CallerAddress(), "job", Items("job", 40)).Status, http.StatusAccepted)
	f.Store.Put("evacuations", "hall-b", map[string]any{})
	asked := time.Now()
	late, err := f.StartNode("edge-late", evacuationSettings+shortJobTimeouts)
	is.NoErr(err)
	is.NoErr(f.waitReady(late))
	time.Sleep(time.Until(asked.Add(evacuatedWithin)))
	for i := range 200 {
		reply := SendRequest(context.Background(), late.CallerAddress(), StreamPath+"x", fmt.Sprint("late-", i), nil)
		is.Equal(reply.Status, http.StatusOK)
	}
	is.True(lastArrival(f.runnersIn("hall-b")).Before(asked.Add(evacuatedWithin)))
	results, err := ReadAllResults(f.callers(), "job", 10*time.Second)
	is.NoErr(err)
	f.checkResults(t, "job", 40, results)
	f.Store.Delete("evacuations", "hall-b")
	eventually(t, "hall-b serves again", evacuatedWithin, func() bool { return lastArrival(f.runnersIn("hall-b")).After(asked.Add(evacuatedWithin)) })
	is.Equal(len(stop()), 0)
}

// TestItemsLeaveAnEvacuatedDataCentre: long items are moved one after the other before the
// time limit and resumed after the last event that their node has received.
func TestItemsLeaveAnEvacuatedDataCentre(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, Options{Nodes: 2, Runners: 2, Slots: 8, Events: 400, Gap: 10 * time.Millisecond, DataCentres: twoDataCentres, Extra: evacuationSettings + shortJobTimeouts})
	is.Equal(SubmitJob(f.Nodes[0].CallerAddress(), "long", Items("long", 6)).Status, http.StatusAccepted)
	is.Equal(SubmitJob(f.Nodes[1].CallerAddress(), "far", Items("far", 6)).Status, http.StatusAccepted)
	leaving := f.runnersIn("hall-b")[0]
	eventually(t, "items run there", 2*time.Second, func() bool { return leaving.Busy() >= 4 })
	f.Store.Put("evacuations", "hall-b", map[string]any{})
	asked := time.Now()
	eventually(t, "none runs there", evacuatedWithin, func() bool { return leaving.Busy() == 0 })
	is.True(leaving.LastArrival().Before(asked.Add(evacuatedWithin)))
	for _, job := range []string{"long", "far"} {
		results, err := ReadAllResults(f.callers(), job, 20*time.Second)
		is.NoErr(err)
		f.checkResults(t, job, 6, results)
	}
	resumed := 0
	for _, job := range []string{"long", "far"} {
		for _, item := range Items(job, 6) {
			for _, after := range f.runnersIn("hall-a")[0].ResumePositions(item.ID) {
				if after != "" {
					resumed++
				}
			}
		}
	}
	is.True(resumed >= 4) // after the events received before
}

// TestAllDataCentresEvacuated: requests are refused at once with the cause and a Retry-After;
// jobs are accepted and run after the evacuation. The evacuation of a data centre that does
// not exist has no effect.
func TestAllDataCentresEvacuated(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, Options{Nodes: 2, Runners: 4, DataCentres: twoDataCentres, Extra: evacuationSettings + shortJobTimeouts})
	f.Store.Put("evacuations", "hall-x", map[string]any{})
	f.Store.Put("evacuations", "hall-a", map[string]any{})
	f.Store.Put("evacuations", "hall-b", map[string]any{})
	var reply Reply
	eventually(t, "requests are refused", evacuatedWithin, func() bool {
		reply = SendRequest(context.Background(), f.Nodes[0].CallerAddress(), StreamPath+"x", "refused", nil)
		return reply.Status == http.StatusServiceUnavailable
	})
	is.True(reply.Header.Get("Retry-After") != "")
	asked := time.Now()
	reply = SendRequest(context.Background(), f.Nodes[0].CallerAddress(), StreamPath+"x", "at-once", nil)
	is.True(time.Since(asked) < 50*time.Millisecond) // a sixth of the objective, also on a busy VM
	is.True(strings.Contains(reply.Body, "evacuated"))
	is.Equal(f.runCount("at-once"), 0)
	time.Sleep(time.Until(asked.Add(evacuatedWithin)))
	is.Equal(SubmitJob(f.Nodes[1].CallerAddress(), "kept", Items("kept", 5)).Status, http.StatusAccepted)
	f.Store.Delete("evacuations", "hall-a")
	results, err := ReadAllResults(f.callers(), "kept", 10*time.Second)
	is.NoErr(err)
	f.checkResults(t, "kept", 5, results)
	is.Equal(lastArrival(f.runnersIn("hall-b")).After(asked.Add(evacuatedWithin)), false)
}

const (
	// warmUpTime and warmUpRate (requests per second) configure the slow start of the runners
	// in these tests. maxWarmUpRate is the limit on requests in any second of it.
	warmUpTime    = 2 * time.Second
	warmUpRate    = 10
	maxWarmUpRate = 15
)

func withWarmUp(config map[string]any) {
	config["services"] = []any{map[string]any{"name": Service, "warmup_s": warmUpTime.Seconds(), "warmup_per_s": float64(warmUpRate)}}
}

// TestTargetsInSlowStartAreRateLimited: when the evacuation of one data centre ends and that
// of the other begins, all requests would go to targets in slow start. No target may get more
// requests than its slow start allows; the excess is refused until the slow start is over.
func TestTargetsInSlowStartAreRateLimited(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, Options{Nodes: 6, Runners: 8, Slots: 8, Events: 3, Gap: 2 * time.Millisecond, DataCentres: twoDataCentres, Extra: evacuationSettings + shortJobTimeouts})
	f.Store.Put("config", "main", Config(2, withWarmUp))
	f.Store.Put("evacuations", "hall-b", map[string]any{})
	stop := f.startLoad(StreamPath+"x", 24, 10*time.Millisecond)
	time.Sleep(evacuatedWithin)
	is.Equal(SubmitJob(f.Nodes[0].CallerAddress(), "beside", Items("beside", 60)).Status, http.StatusAccepted)
	warmingUp := f.runnersIn("hall-b")
	for _, r := range warmingUp {
		r.StartWarmUp(warmUpTime) // the entries do not announce it yet
	}
	f.Store.Delete("evacuations", "hall-b")
	f.Store.Put("evacuations", "hall-a", map[string]any{})
	time.Sleep(warmUpTime)
	served := 0
	for _, r := range warmingUp {
		is.True(r.MaxPerSecondInWarmUp() <= maxWarmUpRate)
		served += r.MaxPerSecondInWarmUp()
	}
	is.True(served > 0) // they serve during the slow start
	eventually(t, "all is served", evacuatedWithin+2*time.Second, func() bool {
		for i, node := range f.callers() {
			if SendRequest(context.Background(), node, StreamPath+"x", fmt.Sprintf("warm-%d-%d", i, time.Now().UnixNano()), nil).Status != http.StatusOK {
				return false
			}
		}
		return true
	})
	for _, reply := range stop() {
		is.Equal(reply.Status, http.StatusServiceUnavailable) // the request did not run
	}
	results, err := ReadAllResults(f.callers(), "beside", 10*time.Second) // online requests occupied the capacity before
	is.NoErr(err)
	f.checkResults(t, "beside", 60, results)
}
