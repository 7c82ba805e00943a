package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/version/workspace"
	"github.com/marblepond/marblepond/lab/client"
	"github.com/marblepond/marblepond/lab/deployment"
	"github.com/marblepond/marblepond/lab/engine"
	"github.com/marblepond/marblepond/lab/procs"
)

var overheadRatesPerSecond = []float64{100, 500, 2000}

const (
	overheadModel  = "m"
	overheadTokens = 8
	overheadLength = 8 * time.Second
	idleLength     = 5 * time.Second
)

// MeasureOverhead measures the latency and processor time that a node adds to calling an
// engine directly, in one run with nodes and engines as separate processes. It also measures
// the processor time and memory of an idle node.
func MeasureOverhead(dir string, out io.Writer) error {
	if err := procs.Build(dir); err != nil {
		return err
	}
	for _, owned := range []int{3, 6, 12} {
		if err := measureIdle(dir, owned, out); err != nil {
			return err
		}
	}
	model := engine.DefaultModel()
	model.Instant, model.MaxRunning = true, 4096
	f, err := procs.Start(deployment.Layout{DataCentres: []string{"a", "b"}, Nodes: []int{2, 1}, Engines: 2, EngineName: overheadModel,
		Model: model, Loaded: []string{overheadModel + "@1"}, ExtraSettings: nodeSettings,
		Intent: fmt.Sprintf("[service %q]\n[workspace \"w\"]\nkey_sha256 = %s\n", overheadModel, workspace.HashKey(callerKey))}, dir, dir)
	if err != nil {
		return err
	}
	defer f.Stop()
	nodes := []int{f.Proc(f.NodeID(0, 0)).PID(), f.Proc(f.NodeID(0, 1)).PID()}
	before := cpuSeconds(nodes)
	time.Sleep(idleLength)
	cores := (cpuSeconds(nodes) - before) / idleLength.Seconds() / float64(len(nodes))
	fmt.Fprintf(out, "idle node: %.2f %% of a core, %.1f MB resident\n", 100*cores, residentMB(nodes)/float64(len(nodes)))
	nodeAddrs := []string{f.Layout.CallerAddr(0, 0), f.Layout.CallerAddr(0, 1)}
	engineAddrs := []string{f.EngineAddr(0, 0), f.EngineAddr(0, 1)}
	for _, rate := range overheadRatesPerSecond {
		direct := measureLatency(engineAddrs, overheadModel+"@1", rate)
		before := cpuSeconds(nodes)
		via := measureLatency(nodeAddrs, overheadModel, rate)
		perRequest := (cpuSeconds(nodes) - before) / float64(via.sent) * 1e6
		fmt.Fprintf(out, "%5.0f requests/s: first token straight p50 %.2f p99 %.2f ms, through a node p50 %.2f p99 %.2f ms, added p50 %.2f p99 %.2f ms; whole added p50 %.2f p99 %.2f ms; node %.0f us of processor per request; %d of %d whole, straight %d of %d\n",
			rate, percentile(direct.first, 50), percentile(direct.first, 99), percentile(via.first, 50), percentile(via.first, 99), percentile(via.first, 50)-percentile(direct.first, 50), percentile(via.first, 99)-percentile(direct.first, 99),
			percentile(via.total, 50)-percentile(direct.total, 50), percentile(via.total, 99)-percentile(direct.total, 99), perRequest, via.completed, via.sent, direct.completed, direct.sent)
	}
	fmt.Fprintf(out, "node after the load: %.1f MB resident\n", residentMB(nodes)/float64(len(nodes)))
	return nil
}

// measureIdle measures a node that owns the given number of targets and gets no requests.
func measureIdle(dir string, owned int, out io.Writer) error {
	f, err := procs.Start(deployment.Layout{DataCentres: []string{"a"}, Nodes: []int{1}, Engines: owned, EngineName: overheadModel,
		Model: engine.DefaultModel(), Loaded: []string{overheadModel + "@1"}, ExtraSettings: nodeSettings,
		Intent: fmt.Sprintf("[service %q]\n", overheadModel)}, dir, dir)
	if err != nil {
		return err
	}
	defer f.Stop()
	node := []int{f.Proc(f.NodeID(0, 0)).PID()}
	before := cpuSeconds(node)
	time.Sleep(idleLength)
	fmt.Fprintf(out, "idle node that owns %2d targets: %.2f %% of a core, %.1f MB resident\n", owned, 100*(cpuSeconds(node)-before)/idleLength.Seconds(), residentMB(node))
	return nil
}

// latencies are those of the completed requests, in milliseconds.
type latencies struct {
	sent, completed int
	first, total    []float64 // times to the first token and to the end of the answer
}

// measureLatency sends requests to the addresses in turn as a Poisson process with a rate per
// second.
func measureLatency(addrs []string, model string, rate float64) latencies {
	rng := rand.New(rand.NewPCG(1, uint64(rate)))
	caller := client.New(callerKey)
	defer caller.HTTP.CloseIdleConnections()
	var d latencies
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for n, at := range arrivals(rng, rate, Profile{Share: 1}, overheadLength) {
		time.Sleep(time.Until(start.Add(at)))
		wg.Go(func() {
			lateness := time.Since(start.Add(at))
			o := caller.Complete(context.Background(), addrs[n%len(addrs)], client.Prompt{Model: model, Text: fmt.Sprint("q", n), MaxTokens: overheadTokens, Stream: true})
			mu.Lock()
			defer mu.Unlock()
			d.sent++
			if o.Correct {
				d.completed++
				d.first = append(d.first, (o.TimeToFirstToken+lateness).Seconds()*1000)
				d.total = append(d.total, (o.Total+lateness).Seconds()*1000)
			}
		})
	}
	wg.Wait()
	return d
}

func percentile(values []float64, percent int) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, len(sorted)*percent/100)]
}

// clockTicksPerSecond is the unit of processor times in /proc (USER_HZ).
const clockTicksPerSecond = 100

// cpuSeconds returns the processor time that the processes have used.
func cpuSeconds(pids []int) float64 {
	var total float64
	for _, pid := range pids {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			continue
		}
		fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
		user, _ := strconv.ParseFloat(fields[11], 64)
		system, _ := strconv.ParseFloat(fields[12], 64)
		total += (user + system) / clockTicksPerSecond
	}
	return total
}

// residentMB returns the resident memory of the processes.
func residentMB(pids []int) float64 {
	var total float64
	for _, pid := range pids {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
		if err != nil {
			continue
		}
		pages, _ := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
		total += pages * float64(os.Getpagesize()) / (1 << 20)
	}
	return total
}
