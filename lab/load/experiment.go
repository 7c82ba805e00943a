package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gopkg.in/ini.v1"

	"github.com/marblepond/marblepond/lab/client"
	"github.com/marblepond/marblepond/lab/deployment"
	"github.com/marblepond/marblepond/lab/engine"
)

// Experiment configures measurements of several modes with the same arrivals. It is read from
// an INI file. Its fields are written out as JSON under these names or the tagged ones.
type Experiment struct {
	Name     string
	Workload string
	Modes    []string // each is measured once in each round
	Rounds   int
	WarmUp   time.Duration `json:"Warm"` // requests and tokens of this time are not counted
	Length   time.Duration
	Profile  Profile
	Seed     uint64
	Net      int    // second byte of the addresses, 127.Net.x.y; 0: one that is free
	Settings string // INI text added to the nodes' settings
}

// Measurement is the measurement of one mode in one round. Latencies are in milliseconds.
type Measurement struct {
	Mode         string
	Round        int
	Sent         int
	Completed    int            `json:"Whole"`
	Refused      map[string]int // by error kind
	Broken       int            // requests with a connection error or an incomplete answer
	FirstP50MS   float64        // time to the first token
	FirstP99MS   float64
	TotalP50MS   float64 // time to the end of the answer
	TotalP99MS   float64
	PerTokenP95  float64 // time between two tokens, in milliseconds
	PerTokenP99  float64
	OnlineTokens float64 // per second
	BatchTokens  float64 // per second
	IdleTokens   float64 // per second: the full rate less OnlineTokens
	BatchShare   float64 // BatchTokens divided by IdleTokens
	Violations   int64   // of invariants
	FirstMS      []Point // distribution of the time to the first token
}

// Point is a point of a distribution.
type Point struct{ Quantile, Value float64 }

// Result is the outcome of an experiment.
type Result struct {
	Experiment   Experiment
	Measurements []Measurement `json:"Legs"`
}

// ReadExperiment reads an experiment from an INI file.
func ReadExperiment(path string) (Experiment, error) {
	file, err := ini.Load(path)
	if err != nil {
		return Experiment{}, err
	}
	s := file.Section("experiment")
	e := Experiment{
		Name:     strings.TrimSuffix(filepath.Base(path), ".ini"),
		Workload: s.Key("workload").In("kurzeme", []string{"kurzeme", "keystel"}),
		Modes:    s.Key("modes").Strings(","),
		Rounds:   s.Key("rounds").MustInt(3),
		WarmUp:   s.Key("warm").MustDuration(3 * time.Second),
		Length:   s.Key("length").MustDuration(15 * time.Second),
		Seed:     s.Key("seed").MustUint64(1),
		Net:      s.Key("net").MustInt(0),
		Profile: Profile{Share: s.Key("online_share").MustFloat64(0.5), BurstShare: s.Key("burst_share").MustFloat64(0),
			BurstAt: s.Key("burst_at").MustDuration(0), BurstRise: s.Key("burst_rise").MustDuration(time.Second)},
	}
	for _, section := range file.Sections() {
		if rest, ok := strings.CutPrefix(section.Name(), "node."); ok {
			e.Settings += "[" + rest + "]\n"
			for _, k := range section.Keys() {
				e.Settings += k.Name() + " = " + k.String() + "\n"
			}
		}
	}
	for _, m := range e.Modes {
		if _, ok := modes[m]; !ok {
			return e, fmt.Errorf("%s: unknown mode %q", path, m)
		}
	}
	return e, nil
}

// Run runs an experiment, and writes each measurement to out as it ends.
func Run(e Experiment, out io.Writer) (Result, error) {
	result := Result{Experiment: e}
	for round := range e.Rounds {
		for _, name := range e.Modes {
			m, err := measure(e, modes[name], round)
			if err != nil {
				return result, fmt.Errorf("%s round %d: %w", name, round, err)
			}
			result.Measurements = append(result.Measurements, m)
			fmt.Fprintln(out, m)
		}
	}
	return result, nil
}

// String returns the measurement as a line of text.
func (m Measurement) String() string {
	return fmt.Sprintf("%-18s round %d: sent %5d whole %5d refused %v broken %d | first p50 %6.1f p99 %6.1f ms | whole p50 %7.1f p99 %7.1f ms | token p95 %5.1f p99 %5.1f ms | online %6.0f batch %6.0f tokens/s, %4.1f %% of idle | violations %d",
		m.Mode, m.Round, m.Sent, m.Completed, m.Refused, m.Broken, m.FirstP50MS, m.FirstP99MS, m.TotalP50MS, m.TotalP99MS, m.PerTokenP95, m.PerTokenP99,
		m.OnlineTokens, m.BatchTokens, 100*m.BatchShare, m.Violations)
}

// measurementRun is a measurement in progress.
type measurementRun struct {
	experiment Experiment
	workload   Workload
	fleet      *deployment.Embedded
	caller     *client.Caller
	mu         sync.Mutex
	firstToken *hdrhistogram.Histogram // microseconds
	total      *hdrhistogram.Histogram // microseconds
	tokenGaps  *hdrhistogram.Histogram // microseconds
	result     Measurement
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func measure(e Experiment, m Mode, round int) (Measurement, error) {
	w := workloads[e.Workload]
	model := engine.DefaultModel()
	f, err := deployment.Start(w.layout(e.Net, model, m.Variant, e.Settings))
	if err != nil {
		return Measurement{}, err
	}
	r := &measurementRun{experiment: e, workload: w, fleet: f, caller: client.New(callerKey), firstToken: newHistogram(), total: newHistogram(), tokenGaps: newHistogram(),
		result: Measurement{Mode: m.Name, Round: round, Refused: map[string]int{}}}
	rng := rand.New(rand.NewPCG(e.Seed, uint64(round))) // the same arrivals in every mode of a round
	if m.Batch {
		if err := r.submitBatch(rng, model); err != nil {
			return Measurement{}, err
		}
	}
	r.sendOnline(rng, model)
	r.summarise(model)
	return r.result, f.Stop()
}

// submitBatch submits a batch that is larger than the engines can complete in the run.
func (r *measurementRun) submitBatch(rng *rand.Rand, model engine.Model) error {
	rate := float64(r.workload.engineCount()) * model.MaxTokenRate() / mean(r.workload.BatchTokens)
	n := int(rate * (r.experiment.WarmUp + r.experiment.Length).Seconds() * 1.2)
	_, err := r.caller.Submit(context.Background(), r.fleet.CallerAddr(0, 0), r.workload.items(rand.New(rand.NewPCG(rng.Uint64(), 0)), n), "", "")
	return err
}

// producedTokens returns how many tokens all engines have produced so far.
func (r *measurementRun) producedTokens() engine.Tokens {
	var sum engine.Tokens
	for _, row := range r.fleet.Engines {
		for _, en := range row {
			t := en.Tokens()
			sum.Online += t.Online
			sum.Batch += t.Batch
		}
	}
	return sum
}

// sendOnline sends the online requests at their times, without regard to answers (open loop),
// and counts the tokens produced after the warm-up.
func (r *measurementRun) sendOnline(rng *rand.Rand, model engine.Model) {
	sendTimes := arrivals(rng, r.workload.fullRate(model), r.experiment.Profile, r.experiment.WarmUp+r.experiment.Length)
	start := time.Now()
	var before engine.Tokens
	startCounting := time.AfterFunc(r.experiment.WarmUp, func() {
		r.mu.Lock()
		before = r.producedTokens()
		r.mu.Unlock()
	})
	defer startCounting.Stop()
	var wg sync.WaitGroup
	for n, at := range sendTimes {
		p := r.workload.prompt(rng, n)
		dc, node := rng.IntN(len(r.workload.DataCentres)), rng.IntN(r.workload.Nodes[0])
		time.Sleep(time.Until(start.Add(at)))
		wg.Go(func() { r.sendRequest(start.Add(at), r.fleet.CallerAddr(dc, node), p, at >= r.experiment.WarmUp) })
	}
	time.Sleep(time.Until(start.Add(r.experiment.WarmUp + r.experiment.Length)))
	after := r.producedTokens()
	r.mu.Lock()
	r.result.OnlineTokens = float64(after.Online-before.Online) / r.experiment.Length.Seconds()
	r.result.BatchTokens = float64(after.Batch-before.Batch) / r.experiment.Length.Seconds()
	r.mu.Unlock()
	wg.Wait()
}

// sendRequest sends one request. Its latency counts from the intended time.
func (r *measurementRun) sendRequest(intended time.Time, addr string, p client.Prompt, counted bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	lateness := time.Since(intended)
	o := r.caller.Complete(ctx, addr, p)
	if !counted {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	switch {
	case o.Correct:
		r.result.Completed++
		r.firstToken.RecordValue((o.TimeToFirstToken + lateness).Microseconds())
		r.total.RecordValue((o.Total + lateness).Microseconds())
		for _, gap := range o.Gaps {
			r.tokenGaps.RecordValue(max(1, gap.Microseconds()))
		}
	case o.Accepted || o.Err != nil:
		r.result.Broken++
	default:
		r.result.Refused[o.Kind]++
	}
}

func (r *measurementRun) summarise(model engine.Model) {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	m := &r.result
	m.FirstP50MS, m.FirstP99MS = ms(r.firstToken, 50), ms(r.firstToken, 99)
	m.TotalP50MS, m.TotalP99MS = ms(r.total, 50), ms(r.total, 99)
	m.PerTokenP95, m.PerTokenP99 = ms(r.tokenGaps, 95), ms(r.tokenGaps, 99)
	m.IdleTokens = float64(r.workload.engineCount())*model.MaxTokenRate() - m.OnlineTokens
	m.BatchShare = m.BatchTokens / m.IdleTokens
	m.Violations = r.fleet.Violations()
	for q := 1.0; q < 100; q++ {
		m.FirstMS = append(m.FirstMS, Point{q, ms(r.firstToken, q)})
	}
	m.FirstMS = append(m.FirstMS, Point{99.5, ms(r.firstToken, 99.5)}, Point{99.9, ms(r.firstToken, 99.9)})
}

// Save writes the result as JSON.
func (r Result) Save(path string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o644)
}
