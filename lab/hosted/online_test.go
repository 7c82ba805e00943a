package hosted

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startFleet starts a fleet for one test. The directories of its nodes must outlive them: a
// t.TempDir that is created later is removed while the nodes still write to it.
func startFleet(t *testing.T, o Options) *Fleet {
	t.Helper()
	if o.Slots == 0 {
		o.Slots, o.Events, o.Gap = 8, 6, 5*time.Millisecond
	}
	f, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, n := range f.Nodes {
			if n.Settings.DataDir == "" {
				continue
			}
			if _, err := os.Stat(n.Settings.DataDir); err != nil {
				t.Errorf("the directory of %s is gone before the node: %v", n.Settings.NodeID, err)
			}
		}
		f.Stop()
	})
	return f
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, within time.Duration, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not within %v: %s", within, what)
}

func (f *Fleet) runCount(id string) int {
	n := 0
	for _, r := range f.Runners {
		n += r.RunCount(id)
	}
	return n
}

func TestAnswerIsPassedOnWhole(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, Options{Nodes: 1, Runners: 2})
	reply := SendRequest(context.Background(), f.Nodes[0].CallerAddress(), StreamPath+"x?y=%2F", "a1", map[string]string{"X-Marblepond-Deadline-Ms": "3000", "X-Other": "kept"})
	is.NoErr(reply.Err)
	is.Equal(reply.Status, http.StatusOK)
	is.Equal(StreamText(reply.Body), f.Runners[0].Text("a1"))
	is.True(strings.HasPrefix(reply.Header.Get("X-Marblepond-Server-Stamp"), "stamp."))
	is.Equal(reply.Header.Get("X-Marblepond-Request-Id"), "a1")
	is.Equal(f.runCount("a1"), 1)
	for _, r := range f.Runners {
		if h := r.Header("a1"); h != nil {
			is.Equal(h.Get("X-Other"), "kept")
			is.Equal(h.Get("X-Marblepond-Expect-Instance"), r.ID)
			is.True(h.Get("X-Marblepond-Deadline-Ms") <= "3000")
		}
	}
}

// TestBadInput: invalid calls are answered with the right status, and nothing runs.
func TestBadInput(t *testing.T) {
	f := startFleet(t, Options{Nodes: 1, Runners: 1})
	at := f.Nodes[0].CallerAddress()
	duplicate := append(Items("d", 1), Items("d", 1)...)
	outside := Items("o", 1)
	outside[0].Path = StreamPath + "run"
	many := Items("m", 201)
	post := func(path string, header map[string]string, body []byte) Reply {
		return Call(context.Background(), http.MethodPost, at, path, "bad", header, body)
	}
	for _, c := range []struct {
		name   string
		reply  Reply
		status int
	}{
		{"no route", post("/nowhere/x", nil, nil), http.StatusNotFound},
		{"header over the limit", post(StreamPath, map[string]string{"X-Long": strings.Repeat("x", 5000)}, nil), http.StatusRequestHeaderFieldsTooLarge},
		{"body over the limit", post(StreamPath, nil, bytes.Repeat([]byte("x"), 70000)), http.StatusRequestEntityTooLarge},
		{"malformed job", post(BatchPath, nil, []byte(`{"items":[`)), http.StatusBadRequest},
		{"job without items", SubmitJob(at, "bad", nil), http.StatusBadRequest},
		{"job without an ID", SubmitJob(at, "", Items("n", 1)), http.StatusBadRequest},
		{"an item ID twice", SubmitJob(at, "bad", duplicate), http.StatusBadRequest},
		{"an item outside the route", SubmitJob(at, "bad", outside), http.StatusBadRequest},
		{"too many items", SubmitJob(at, "bad", many), http.StatusBadRequest},
		{"job read with PUT", Call(context.Background(), http.MethodPut, at, "/v1/lots/bad", "", nil, nil), http.StatusMethodNotAllowed},
		{"job submitted with GET", Call(context.Background(), http.MethodGet, at, BatchPath, "bad", nil, nil), http.StatusMethodNotAllowed},
		{"unknown job", Call(context.Background(), http.MethodGet, at, "/v1/lots/bad?after=0", "", nil, nil), http.StatusNotFound},
		{"a position that is no number", Call(context.Background(), http.MethodGet, at, "/v1/lots/bad?after=-1", "", nil, nil), http.StatusBadRequest},
		{"item of an unknown job", Call(context.Background(), http.MethodGet, at, "/v1/items/bad?id=x", "", nil, nil), http.StatusNotFound},
		{"end of an unknown job", EndJob(at, "bad"), http.StatusNotFound},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(c.reply.Err)
			is.Equal(c.reply.Status, c.status)
		})
	}
	is := is.New(t)
	is.Equal(f.runCount("bad"), 0)
	is.Equal(len(f.Store.Names("marblepond-jobs")), 0)
}

// TestRefusalElsewhere: a request that a runner refuses as not run is sent to another
// runner, even if it may run at most once. When all refuse, it is refused at once as
// not run, with a Retry-After.
func TestRefusalElsewhere(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, Options{Nodes: 1, Runners: 2})
	f.Runners[0].SetBehaviour(func(string, int) Behaviour { return Full })
	for i := range 6 {
		is.Equal(SendRequest(context.Background(), f.Nodes[0].CallerAddress(), StreamPath, fmt.Sprint("r", i), nil).Status, http.StatusOK)
	}
	f.Runners[1].SetBehaviour(func(string, int) Behaviour { return Full })
	asked := time.Now()
	reply := SendRequest(context.Background(), f.Nodes[0].CallerAddress(), StreamPath, "full", nil)
	is.Equal(reply.Status, http.StatusServiceUnavailable)
	is.True(reply.Header.Get("Retry-After") != "")
	is.True(time.Since(asked) < time.Second)
	is.Equal(f.runCount("full"), 0)
}

// TestAtMostOnce: a request that may run at most once is not sent again after an attempt
// that may have run, and is not answered as not run.
func TestAtMostOnce(t *testing.T) {
	f := startFleet(t, Options{Nodes: 1, Runners: 3})
	for _, c := range []struct {
		name string
		what Behaviour
	}{{"answer lost", LoseAnswer}, {"answer of another request", ForeignID}, {"answer without a server stamp", NoStamp}, {"broken off in an event", BreakOff}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for _, r := range f.Runners {
				r.SetBehaviour(func(string, int) Behaviour { return c.what })
			}
			id := "once-" + fmt.Sprint(int(c.what))
			reply := SendRequest(context.Background(), f.Nodes[0].CallerAddress(), StreamPath, id, nil)
			is.True(reply.Err != nil || reply.Status == http.StatusInternalServerError || reply.Status == http.StatusBadGateway)
			is.Equal(f.runCount(id), 1)
		})
	}
}

// TestResumeElsewhere: a resumable stream is continued by another runner after its last
// complete event, within one response, also when its runner stops sending.
func TestResumeElsewhere(t *testing.T) {
	f := startFleet(t, Options{Nodes: 1, Runners: 2})
	for _, c := range []struct {
		name string
		what Behaviour
	}{{"broken off", BreakOff}, {"stalled", Stall}, {"answer lost", LoseAnswer}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var once sync.Once
			behave := func(string, int) Behaviour {
				what := Serve
				once.Do(func() { what = c.what })
				return what
			}
			for _, r := range f.Runners {
				r.SetBehaviour(behave)
			}
			id := "resume-" + fmt.Sprint(int(c.what))
			reply := SendRequest(context.Background(), f.Nodes[0].CallerAddress(), ResumePath, id, nil)
			is.NoErr(reply.Err)
			is.Equal(StreamText(reply.Body), f.Runners[0].Text(id))
			is.Equal(f.runCount(id), 2)
		})
	}
}

// TestClientResumes: a client that resumes after a broken connection gets the
// remaining events. The fleet starts for the first time, so its node knows that no other
// version can have begun the stream.
func TestClientResumes(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, Options{Nodes: 1, Runners: 1, Extra: "[node]\nfirst_start = true\n"})
	reply := SendRequest(context.Background(), f.Nodes[0].CallerAddress(), ResumePath, "c1", map[string]string{"Last-Event-Id": "4"})
	is.NoErr(reply.Err)
	is.Equal(StreamText(reply.Body), EventData("c1", 5)+"\n"+EventData("c1", 6))
}

// TestRepeatable: an idempotent request is retried at other runners, up to its
// number of attempts.
func TestRepeatable(t *testing.T) {
	for _, c := range []struct{ runners, runs int }{{4, 3}, {2, 2}} { // more runners than attempts, and fewer
		t.Run(fmt.Sprint(c.runners), func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, Options{Nodes: 1, Runners: c.runners})
			for _, r := range f.Runners {
				r.SetBehaviour(func(string, int) Behaviour { return LoseAnswer })
			}
			reply := SendRequest(context.Background(), f.Nodes[0].CallerAddress(), RepeatPath, "again", nil)
			is.Equal(reply.Status, http.StatusBadGateway) // not a refusal, since it ran
			is.Equal(f.runCount("again"), c.runs)
		})
	}
}

// TestClientLeaves: when the client disconnects, the run is cancelled.
func TestClientLeaves(t *testing.T) {
	f := startFleet(t, Options{Nodes: 1, Runners: 1, Slots: 8, Events: 100, Gap: 20 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
	defer cancel()
	SendRequest(ctx, f.Nodes[0].CallerAddress(), StreamPath, "gone", nil)
	eventually(t, "the run was cancelled", 500*time.Millisecond, func() bool { return f.Runners[0].CancelledRuns("gone") == 1 })
}

// TestRouteTimeout: a request that exceeds the timeout of its route ends then.
func TestRouteTimeout(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, Options{Nodes: 1, Runners: 1, Slots: 8, Events: 100, Gap: 20 * time.Millisecond})
	f.Store.Put("config", "main", Config(2, func(c map[string]any) { c["routes"].([]any)[0].(map[string]any)["timeout_ms"] = 300 }))
	eventually(t, "version 2 is in force", 2*time.Second, func() bool { return f.Nodes[0].Table().Version == 2 })
	asked := time.Now()
	reply := SendRequest(context.Background(), f.Nodes[0].CallerAddress(), StreamPath, "long", nil)
	is.True(reply.Err != nil) // the response had begun, and must not be taken for complete
	is.True(time.Since(asked) < 700*time.Millisecond)
}

// TestDrainingTarget: a draining runner gets no new requests from any node.
func TestDrainingTarget(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, Options{Nodes: 2, Runners: 2})
	f.Store.Put("servers", "i-0", f.Runners[0].Entry("hall-a", "draining"))
	time.Sleep(1500 * time.Millisecond)
	for i := range 10 {
		is.Equal(SendRequest(context.Background(), f.Nodes[i%2].CallerAddress(), StreamPath, fmt.Sprint("d", i), nil).Status, http.StatusOK)
		is.Equal(f.Runners[0].RunCount(fmt.Sprint("d", i)), 0)
	}
}

// TestAnswerGoesOnAtTheNextStart: a runner restarts at its address, and a node sends to it
// before the list of targets shows the restart. When it does, the answer must continue. A node
// used to take all requests sent under the old incarnation for lost: it stopped the attempt, so
// that a request that may run at most once failed, and others ran twice.
func TestAnswerGoesOnAtTheNextStart(t *testing.T) {
	for _, path := range []string{StreamPath, ResumePath} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, Options{Nodes: 1, Runners: 1, Slots: 8, Events: 250, Gap: 10 * time.Millisecond})
			r := f.Runners[0]
			is.Equal(SendRequest(context.Background(), f.Nodes[0].CallerAddress(), path, "before", nil).Status, http.StatusOK)
			r.onRestart = func() {} // the entry does not show the restart yet
			r.Kill(50 * time.Millisecond)
			eventually(t, "it has restarted", time.Second, r.isUp)
			time.AfterFunc(200*time.Millisecond, func() { f.Store.Put("servers", r.ID, r.Entry("hall-a", "ready")) })
			reply := SendRequest(context.Background(), f.Nodes[0].CallerAddress(), path, "meanwhile", nil)
			is.NoErr(reply.Err)
			is.Equal(reply.Status, http.StatusOK)
			is.Equal(StreamText(reply.Body), r.Text("meanwhile"))
			is.Equal(f.runCount("meanwhile"), 1)
		})
	}
}

// TestReusedAddress: a runner that has the address of another one runs none of its
// requests; they are served elsewhere.
func TestReusedAddress(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, Options{Nodes: 1, Runners: 2})
	f.Runners[0].ID = "i-other"
	for i := range 8 {
		is.Equal(SendRequest(context.Background(), f.Nodes[0].CallerAddress(), StreamPath, fmt.Sprint("u", i), nil).Status, http.StatusOK)
		is.Equal(f.Runners[0].RunCount(fmt.Sprint("u", i)), 0)
	}
}

// TestRequestsWaitForCapacity: a request that every runner refuses is sent again within a part
// of its objective, and batch items yield at a runner that refuses, even if some slots are
// occupied by a node that this one does not know.
//
// A request was refused after 60 ms while six items kept their slots, in 1 of some 40 to 60
// runs on a busy VM: an item told to yield while its attempt was still connecting ended before
// it was counted as yielding, and was then counted so for good, so that no other item was told
// to yield.
func TestRequestsWaitForCapacity(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, Options{Nodes: 1, Runners: 1, Slots: 8, Events: 60, Gap: 10 * time.Millisecond})
	is.Equal(SubmitJob(f.Nodes[0].CallerAddress(), "room", Items("room", 20)).Status, http.StatusAccepted)
	eventually(t, "items fill the runner", 2*time.Second, func() bool { return f.Runners[0].Busy() >= 6 })
	free := f.Runners[0].OccupySlots(2) // occupied by an unknown node
	defer free()
	for i := range 4 {
		reply := SendRequest(context.Background(), f.Nodes[0].CallerAddress(), StreamPath, fmt.Sprint("room-on-", i), nil)
		is.NoErr(reply.Err)
		is.Equal(reply.Status, http.StatusOK)
	}
}
