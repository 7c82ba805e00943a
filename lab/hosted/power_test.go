package hosted

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// What nodes know after a loss of power of all of them at once; the store loses nothing.

// restartAll kills all nodes of a fleet at once and starts them again.
func (f *Fleet) restartAll(t *testing.T, extra string) {
	t.Helper()
	killed := append([]*Node(nil), f.Nodes...)
	var wg sync.WaitGroup
	for _, n := range killed {
		wg.Go(n.Kill)
	}
	wg.Wait()
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
