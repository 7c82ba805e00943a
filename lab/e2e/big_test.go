package e2e

import (
	"context"
	"flag"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/version/workspace"
	"github.com/marblepond/marblepond/lab/client"
	"github.com/marblepond/marblepond/lab/deployment"
	"github.com/marblepond/marblepond/lab/engine"
)

var itemCount = flag.Int("big", 0, "run a job of this many items")

// TestBigJob submits, runs and reads back a job of many items and checks that no result is
// missing or duplicated. Run it with -big 250000.
func TestBigJob(t *testing.T) {
	if *itemCount == 0 {
		t.Skip("needs -big N")
	}
	is := is.New(t)
	model := engine.DefaultModel()
	model.Instant, model.MaxRunning = true, 64
	f, err := deployment.Start(deployment.Layout{
		DataCentres: []string{"hall-a", "hall-b", "hall-c"}, Nodes: []int{2, 2, 2}, Engines: 2, EngineName: "m", Model: model, Loaded: []string{"m@1"},
		ExtraSettings: "[log]\nlevel = error\n[platform]\nwrite_rate = 100\nread_rate = 300\n",
		Intent:        "[service \"m\"]\n[workspace \"w\"]\nkey_sha256 = " + workspace.HashKey("k").String() + "\n",
	})
	is.NoErr(err)
	c := client.New("k")
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Minute)
	defer cancel()
	var items strings.Builder
	for n := range *itemCount {
		items.WriteString(client.Item(fmt.Sprint("i", n), "m", fmt.Sprint("attestation ", n), 2))
	}
	start := time.Now()
	job, err := c.Submit(ctx, f.CallerAddr(0, 0), []byte(items.String()), "big", "")
	is.NoErr(err)
	accepted := time.Since(start)
	var peak runtime.MemStats
	done, err := c.WaitBatch(ctx, f.CallerAddr(1, 0), job.ID)
	is.NoErr(err)
	finished := time.Since(start)
	runtime.ReadMemStats(&peak)
	results, err := c.Results(ctx, f.CallerAddr(2, 0), done.OutputFileID)
	is.NoErr(err) // Results fails on a duplicated item
	is.Equal(len(results), *itemCount)
	for n := range *itemCount {
		is.True(client.ItemCorrect(results[fmt.Sprint("i", n)], fmt.Sprint("attestation ", n), 2))
	}
	writes, reads := platformCalls(f)
	t.Logf("%d items: accepted after %.1f s, done after %.1f s, read back and checked after %.1f s; %d writes and %d reads of the platform (%.4f and %.4f an item); heap of all nodes, stand-ins and the input file %d MB",
		*itemCount, accepted.Seconds(), finished.Seconds(), time.Since(start).Seconds(), writes, reads, float64(writes)/float64(*itemCount), float64(reads)/float64(*itemCount), peak.HeapAlloc>>20)
	is.NoErr(f.Stop())
	is.Equal(f.Violations(), int64(0))
}

// platformCalls returns the numbers of writes and reads that the nodes sent to the platform.
func platformCalls(f *deployment.Embedded) (writes, reads int) {
	for key, n := range f.Platform.Counts() {
		if strings.HasSuffix(key, " GET") {
			reads += n
		} else {
			writes += n
		}
	}
	return writes, reads
}
