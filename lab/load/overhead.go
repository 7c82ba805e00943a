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

// overheadRates are the requests a second of the overhead measurement.
var overheadRates = []float64{100, 500, 2000}

const (
	overheadModel  = "m"
	overheadTokens = 8
	overheadLength = 8 * time.Second
	idleLength     = 5 * time.Second
)

// MeasureOverhead measures what a node adds to calling an engine straight: latency
// and processor time, paired in one run over separate processes, and what an
// idle node takes.
func MeasureOverhead(dir string, net int, out io.Writer) error {
	if err := procs.Build(dir); err != nil {
		return err
	}
	for i, owned := range []int{3, 6, 12} {
		if err := idle(dir, net+1+i, owned, out); err != nil {
			return err
		}
	}
	model := engine.DefaultModel()
	model.Instant, model.MaxRunning = true, 4096
	f, err := procs.Start(deployment.Layout{Net: net, DataCentres: []string{"a", "b"}, Nodes: []int{2, 1}, Engines: 2, EngineName: overheadModel,
		Model: model, Loaded: []string{overheadModel + "@1"}, Extra: nodeSettings,
		Fleet: fmt.Sprintf("[service %q]\n[workspace \"w\"]\nkey_sha256 = %s\n", overheadModel, workspace.HashKey(callerKey))}, dir, dir)
	if err != nil {
		return err
	}
	defer f.Stop()
	nodes := []int{f.Proc(f.NodeID(0, 0)).PID(), f.Proc(f.NodeID(0, 1)).PID()}
	before := cpu(nodes)
	time.Sleep(idleLength)
	used := (cpu(nodes) - before) / idleLength.Seconds() / float64(len(nodes))
	fmt.Fprintf(out, "idle node: %.2f %% of a core, %.1f MB resident\n", 100*used, resident(nodes)/float64(len(nodes)))
	nodeAddrs := []string{f.Layout.CallerAddr(0, 0), f.Layout.CallerAddr(0, 1)}
	engineAddrs := []string{f.EngineAddr(0, 0), f.EngineAddr(0, 1)}
	for _, rate := range overheadRates {
		direct := drive(engineAddrs, overheadModel+"@1", rate)
		before := cpu(nodes)
		via := drive(nodeAddrs, overheadModel, rate)
		perRequest := (cpu(nodes) - before) / float64(via.sent) * 1e6
		fmt.Fprintf(out, "%5.0f requests/s: first token straight p50 %.2f p99 %.2f ms, through a node p50 %.2f p99 %.2f ms, added p50 %.2f p99 %.2f ms; whole added p50 %.2f p99 %.2f ms; node %.0f us of processor per request; %d of %d whole, straight %d of %d\n",
			rate, at(direct.first, 50), at(direct.first, 99), at(via.first, 50), at(via.first, 99), at(via.first, 50)-at(direct.first, 50), at(via.first, 99)-at(direct.first, 99),
			at(via.total, 50)-at(direct.total, 50), at(via.total, 99)-at(direct.total, 99), perRequest, via.whole, via.sent, direct.whole, direct.sent)
	}
	fmt.Fprintf(out, "node after the load: %.1f MB resident\n", resident(nodes)/float64(len(nodes)))
	return nil
}

// idle measures a node without requests that owns so many targets.
func idle(dir string, net, owned int, out io.Writer) error {
	f, err := procs.Start(deployment.Layout{Net: net, DataCentres: []string{"a"}, Nodes: []int{1}, Engines: owned, EngineName: overheadModel,
		Model: engine.DefaultModel(), Loaded: []string{overheadModel + "@1"}, Extra: nodeSettings,
		Fleet: fmt.Sprintf("[service %q]\n", overheadModel)}, dir, dir)
	if err != nil {
		return err
	}
	defer f.Stop()
	node := []int{f.Proc(f.NodeID(0, 0)).PID()}
	before := cpu(node)
	time.Sleep(idleLength)
	fmt.Fprintf(out, "idle node that owns %2d targets: %.2f %% of a core, %.1f MB resident\n", owned, 100*(cpu(node)-before)/idleLength.Seconds(), resident(node))
	return nil
}

// drove is what a drive came to; times in milliseconds.
type drove struct {
	sent, whole  int
	first, total []float64
}

// drive sends Poisson arrivals at a rate to the addresses in turn.
func drive(addrs []string, model string, rate float64) drove {
	rng := rand.New(rand.NewPCG(1, uint64(rate)))
	caller := client.New(callerKey)
	defer caller.HTTP.CloseIdleConnections()
	var d drove
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for n, at := range arrivals(rng, rate, Profile{Share: 1}, overheadLength) {
		time.Sleep(time.Until(start.Add(at)))
		wg.Go(func() {
			late := time.Since(start.Add(at))
			o := caller.Complete(context.Background(), addrs[n%len(addrs)], client.Prompt{Model: model, Text: fmt.Sprint("q", n), MaxTokens: overheadTokens, Stream: true})
			mu.Lock()
			defer mu.Unlock()
			d.sent++
			if o.Whole {
				d.whole++
				d.first = append(d.first, (o.First+late).Seconds()*1000)
				d.total = append(d.total, (o.Total+late).Seconds()*1000)
			}
		})
	}
	wg.Wait()
	return d
}

func at(values []float64, percent int) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, len(sorted)*percent/100)]
}

// clockTicks is the kernel's unit of processor time in /proc, per second.
const clockTicks = 100

// cpu returns the processor seconds the processes have used.
func cpu(pids []int) float64 {
	var total float64
	for _, pid := range pids {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			continue
		}
		fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
		user, _ := strconv.ParseFloat(fields[11], 64)
		system, _ := strconv.ParseFloat(fields[12], 64)
		total += (user + system) / clockTicks
	}
	return total
}

// resident returns the resident memory of the processes in MB.
func resident(pids []int) float64 {
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
