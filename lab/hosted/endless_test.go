package hosted

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/platform"
)

// These tests guard against a target that sends bytes without end, and so takes the memory of the
// nodes that read them, or keeps requests until their time is over.

// nodeMemory is what a node may take in a large fleet.
const nodeMemory = 32 << 20

// maxHeapDuring returns by how much the heap grows at most while f runs. The collector is told a
// limit, as that of a node is: garbage counts as far as it does not keep up.
func maxHeapDuring(f func()) uint64 {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(int64(m.Sys-m.HeapReleased) + nodeMemory/4))
	before, most := heap(), uint64(0)
	done := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
				most = max(most, heap())
			}
		}
	})
	f()
	close(done)
	watch.Wait()
	return most - min(most, before)
}

// readToEnd sends a call, again where it could not connect, and reads its answer as far as it goes.
func readToEnd(ctx context.Context, client *platform.RunnerClient, r *Runner, id string) error {
	for {
		err := readOnce(ctx, client, r, id)
		if ctx.Err() != nil || target.FailureOf(err) != target.NotSent {
			return err
		}
	}
}

func readOnce(ctx context.Context, client *platform.RunnerClient, r *Runner, id string) error {
	answer, err := client.Send(ctx, target.Call{Address: r.Address(), InstanceID: r.ID, RequestID: id, Method: http.MethodPost, Path: "/", Body: []byte("x")})
	if err != nil || answer.Stream == nil {
		return err
	}
	defer answer.Stream.Close()
	for events := 0; ; events++ {
		if _, err := answer.Stream.Next(); err != nil {
			return err
		}
		if events == 500 {
			return errors.New("events without end") // which the callers of streams bound
		}
	}
}

// TestBytesWithoutEndAreBounded: each form ends as broken within a second, at one connection and at
// many at once, in half of a node's memory.
func TestBytesWithoutEndAreBounded(t *testing.T) {
	const connections = 48
	for name, form := range EndlessForms {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := NewRunner("i-0", Service, connections, 1, time.Millisecond)
			defer r.Close()
			r.SetBehaviour(func(string, int) Behaviour { return form })
			client := platform.NewRunnerClient(platform.RunnerTransport(5*time.Second), time.Now, platform.MinAnswerMemory)
			var slowest atomic.Int64
			grown := maxHeapDuring(func() {
				var calls sync.WaitGroup
				for i := range connections {
					calls.Go(func() {
						began := time.Now()
						ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
						defer cancel()
						err := readToEnd(ctx, client, r, fmt.Sprint("r-", i))
						slowest.Store(max(slowest.Load(), int64(time.Since(began))))
						if form == EndlessEvents {
							return
						}
						if target.FailureOf(err) != target.Broken {
							t.Errorf("the call ends with %v", err)
						}
					})
				}
				calls.Wait()
			})
			t.Logf("%d KB, %v", grown>>10, time.Duration(slowest.Load()))
			is.True(grown < nodeMemory/2)
			is.True(form == EndlessEvents || time.Duration(slowest.Load()) < 3*time.Second)
		})
	}
}

// TestCallersOfTargetsThatSendWithoutEnd: while a third of the targets send bytes without end,
// requests that may be repeated are answered by others, those that may run once are not sent again,
// and all items are completed.
func TestCallersOfTargetsThatSendWithoutEnd(t *testing.T) {
	for name, form := range EndlessForms {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startFleet(t, Options{Nodes: 2, Runners: 6, Slots: 8, Events: 10, Gap: 5 * time.Millisecond})
			for _, r := range f.Runners[:2] {
				r.SetBehaviour(func(string, int) Behaviour { return form })
			}
			is.Equal(SubmitJob(f.Nodes[0].CallerAddress(), "job", Items("job", 12)).Status, http.StatusAccepted)
			var calls sync.WaitGroup
			var failed, twice atomic.Int64
			for i := range 40 {
				path := []string{RepeatPath, StreamPath}[i%2]
				calls.Go(func() {
					id := fmt.Sprint("r-", i)
					reply := Call(context.Background(), http.MethodPost, f.Nodes[i%2].CallerAddress(), path+"x", id, map[string]string{"X-Marblepond-Deadline-Ms": "3000"}, []byte(id))
					if path == RepeatPath && (reply.Err != nil || reply.Status != http.StatusOK || !IsWholeText(StreamText(reply.Body), id, 10)) {
						t.Logf("%s: status %d, %v: %.300q", id, reply.Status, reply.Err, reply.Body)
						failed.Add(1)
					}
					if path == StreamPath && f.runCount(id) > 1 {
						twice.Add(1)
					}
				})
				time.Sleep(10 * time.Millisecond)
			}
			calls.Wait()
			t.Logf("%d of 20 repeatable requests failed", failed.Load())
			is.Equal(twice.Load(), int64(0))
			if form != EndlessEvents && form != EndlessBody && form != EndlessFailure && form != EndlessTrailer { // of those the caller has a part
				is.Equal(failed.Load(), int64(0))
			}
			results, err := ReadAllResults(f.callers(), "job", 20*time.Second)
			is.NoErr(err)
			for _, r := range results {
				is.Equal(r.State, "completed")
				is.True(strings.HasSuffix(r.Text, EventData(r.ID, 10)))
			}
		})
	}
}
