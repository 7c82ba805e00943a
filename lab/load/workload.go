// Package load measures the fleet under open-loop online traffic with and without batch work,
// and compares the product's policies with baselines in the same run.
package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/marblepond/marblepond/internal/process/node"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/version/workspace"
	"github.com/marblepond/marblepond/lab/client"
	"github.com/marblepond/marblepond/lab/deployment"
	"github.com/marblepond/marblepond/lab/engine"
)

// Workload describes one user's deployment and traffic.
type Workload struct {
	Name          string
	DataCentres   []string
	Nodes         []int // in each data centre
	EnginesPerDC  int
	Model         string // service name
	Templates     int    // number of prompt templates; requests of a template share a long prefix
	TemplateChars int    // length of a template
	OnlineTokens  [2]int // least and most tokens of an online answer
	BatchTokens   [2]int // least and most tokens of a batch item's answer
}

// workloads are modelled on two users of the product.
var workloads = map[string]Workload{
	"kurzeme": {Name: "kurzeme", DataCentres: []string{"saldus-hall", "kuldiga-hall", "talsi-hall"}, Nodes: []int{2, 2, 2}, EnginesPerDC: 4,
		Model: "akmens-llm", Templates: 12, TemplateChars: 1200, OnlineTokens: [2]int{16, 64}, BatchTokens: [2]int{48, 96}},
	"keystel": {Name: "keystel", DataCentres: []string{"hall-a", "hall-b", "hall-c"}, Nodes: []int{3, 3, 3}, EnginesPerDC: 6,
		Model: "signdesk-llm", Templates: 24, TemplateChars: 2400, OnlineTokens: [2]int{32, 96}, BatchTokens: [2]int{64, 128}},
}

// Mode is the product or a baseline, with or without batch work.
type Mode struct {
	Name    string
	Batch   bool
	Variant node.Variant
}

var modes = map[string]Mode{
	"batch_off":         {Name: "batch_off"},
	"paced":             {Name: "paced", Batch: true},
	"unthrottled":       {Name: "unthrottled", Batch: true, Variant: node.Variant{Unthrottled: true}},
	"off_round_robin":   {Name: "off_round_robin", Variant: node.Variant{Policy: choose.RoundRobin}},
	"off_least_load":    {Name: "off_least_load", Variant: node.Variant{Policy: choose.LeastLoad}},
	"off_least_own":     {Name: "off_least_own", Variant: node.Variant{Policy: choose.LeastOwn}},
	"paced_least_load":  {Name: "paced_least_load", Batch: true, Variant: node.Variant{Policy: choose.LeastLoad}},
	"paced_round_robin": {Name: "paced_round_robin", Batch: true, Variant: node.Variant{Policy: choose.RoundRobin}},
}

const callerKey = "load-key"

func (w Workload) engineCount() int { return w.EnginesPerDC * len(w.DataCentres) }

func mean(r [2]int) float64 { return float64(r[0]+r[1]) / 2 }

// fullRate returns how many online requests per second keep all engines fully loaded.
func (w Workload) fullRate(m engine.Model) float64 {
	return float64(w.engineCount()) * m.MaxTokenRate() / mean(w.OnlineTokens)
}

// nodeSettings are the settings of measured nodes, to which those of the experiment are added.
const nodeSettings = `[log]
level = error
[platform]
write_rate = 200
read_rate = 400
`

func (w Workload) layout(net int, m engine.Model, v node.Variant, extra string) deployment.Layout {
	return deployment.Layout{Net: net, DataCentres: w.DataCentres, Nodes: w.Nodes, Engines: w.EnginesPerDC, EngineName: w.Model, Model: m,
		Loaded: []string{w.Model + "@1"}, ExtraSettings: nodeSettings + extra, Variant: v,
		Intent: fmt.Sprintf("[service %q]\n[workspace %q]\nkey_sha256 = %s\n", w.Model, w.Name, workspace.HashKey(callerKey))}
}

// template returns the prefix that all prompts of a template share.
func (w Workload) template(n int) string {
	line := fmt.Sprintf("[template %d of %s: answer in the house's words and name the slab or image asked for] ", n, w.Name)
	return strings.Repeat(line, w.TemplateChars/len(line)+1)[:w.TemplateChars]
}

func (w Workload) prompt(rng *rand.Rand, n int) client.Prompt {
	return client.Prompt{Model: w.Model, Text: fmt.Sprintf("%s question %d", w.template(rng.IntN(w.Templates)), n),
		MaxTokens: w.OnlineTokens[0] + rng.IntN(w.OnlineTokens[1]-w.OnlineTokens[0]+1), Stream: true}
}

// items returns a batch file of n items.
func (w Workload) items(rng *rand.Rand, n int) []byte {
	var b strings.Builder
	for i := range n {
		tokens := w.BatchTokens[0] + rng.IntN(w.BatchTokens[1]-w.BatchTokens[0]+1)
		b.WriteString(client.Item(fmt.Sprintf("i%d", i), w.Model, fmt.Sprintf("%s sheet %d", w.template(rng.IntN(w.Templates)), i), tokens))
	}
	return []byte(b.String())
}

// Profile is the rate of online requests over a run, as shares of the full rate.
type Profile struct {
	Share      float64 // before the burst
	BurstShare float64 // from BurstAt on; 0: no burst
	BurstAt    time.Duration
	BurstRise  time.Duration // time in which the rate rises from Share to BurstShare
}

func (p Profile) shareAt(t time.Duration) float64 {
	if p.BurstShare == 0 || t < p.BurstAt {
		return p.Share
	}
	progress := min(1, (t-p.BurstAt).Seconds()/max(0.001, p.BurstRise.Seconds()))
	return p.Share + (p.BurstShare-p.Share)*progress
}

// arrivals returns the arrival times of a Poisson process whose rate follows the profile. It
// thins a process at the highest rate.
func arrivals(rng *rand.Rand, fullRate float64, p Profile, length time.Duration) []time.Duration {
	peak := fullRate * max(p.Share, p.BurstShare)
	var out []time.Duration
	for t := 0.0; ; {
		t += rng.ExpFloat64() / peak
		at := time.Duration(t * float64(time.Second))
		if at > length {
			return out
		}
		if rng.Float64()*peak < fullRate*p.shareAt(at) {
			out = append(out, at)
		}
	}
}
