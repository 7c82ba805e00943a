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

// Experiment is a paired measurement, read from INI.
type Experiment struct {
	Name     string
	Workload string
	Modes    []string // run in turn within each round
	Rounds   int
	WarmUp   time.Duration `json:"Warm"` // not counted
	Length   time.Duration
	Profile  Profile
	Seed     uint64
	Net      int
	Settings string // added to the nodes' settings
}

// Measurement is one mode of one round.
type Measurement struct {
	Mode         string
	Round        int
	Sent         int
	Completed    int `json:"Whole"`
	Refused      map[string]int
	Broken       int
	FirstP50MS   float64
	FirstP99MS   float64
	TotalP50MS   float64
	TotalP99MS   float64
	PerTokenP95  float64 // ms between tokens
	PerTokenP99  float64
	OnlineTokens float64 // a second
	BatchTokens  float64 // a second
	IdleTokens   float64 // a second: the full rate less online
	BatchShare   float64 // BatchTokens over IdleTokens
	Violations   int64
	FirstMS      []Point // distribution of the time to the first token
}

// Point is a point of a distribution.
type Point struct{ Quantile, Value float64 }

// Result is what an experiment came to.
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
		Net:      s.Key("net").MustInt(60),
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
			return e, fmt.Errorf("%s: no mode %q", path, m)
		}
	}
	return e, nil
}

// Run runs the experiment and writes progress to out.
func Run(e Experiment, out io.Writer) (Result, error) {
	result := Result{Experiment: e}
	for round := range e.Rounds {
		for _, name := range e.Modes {
			leg, err := runLeg(e, modes[name], round)
			if err != nil {
				return result, fmt.Errorf("%s round %d: %w", name, round, err)
			}
			result.Measurements = append(result.Measurements, leg)
			fmt.Fprintln(out, leg)
		}
	}
	return result, nil
}

// String returns the leg as a row.
func (l Measurement) String() string {
	return fmt.Sprintf("%-18s round %d: sent %5d whole %5d refused %v broken %d | first p50 %6.1f p99 %6.1f ms | whole p50 %7.1f p99 %7.1f ms | token p95 %5.1f p99 %5.1f ms | online %6.0f batch %6.0f tokens/s, %4.1f %% of idle | violations %d",
		l.Mode, l.Round, l.Sent, l.Completed, l.Refused, l.Broken, l.FirstP50MS, l.FirstP99MS, l.TotalP50MS, l.TotalP99MS, l.PerTokenP95, l.PerTokenP99,
		l.OnlineTokens, l.BatchTokens, 100*l.BatchShare, l.Violations)
}

// leg is a leg while it runs.
type leg struct {
	e        Experiment
	w        Workload
	fleet    *deployment.Embedded
	caller   *client.Caller
	mu       sync.Mutex
	first    *hdrhistogram.Histogram // microseconds
	total    *hdrhistogram.Histogram
	perToken *hdrhistogram.Histogram
	out      Measurement
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func runLeg(e Experiment, m Mode, round int) (Measurement, error) {
	w := workloads[e.Workload]
	model := engine.DefaultModel()
	f, err := deployment.Start(w.layout(e.Net, model, m.Variant, e.Settings))
	if err != nil {
		return Measurement{}, err
	}
	l := &leg{e: e, w: w, fleet: f, caller: client.New(callerKey), first: histogram(), total: histogram(), perToken: histogram(),
		out: Measurement{Mode: m.Name, Round: round, Refused: map[string]int{}}}
	rng := rand.New(rand.NewPCG(e.Seed, uint64(round))) // the same arrivals in every mode of a round
	if m.Batch {
		if err := l.submit(rng, model); err != nil {
			return Measurement{}, err
		}
	}
	l.online(rng, model)
	l.summarise(model)
	return l.out, f.Stop()
}

// submit gives the batch side more than it can do in the run.
func (l *leg) submit(rng *rand.Rand, model engine.Model) error {
	rate := float64(l.w.engines()) * model.FullRate() / mean(l.w.BatchTokens)
	n := int(rate * (l.e.WarmUp + l.e.Length).Seconds() * 1.2)
	_, err := l.caller.Submit(context.Background(), l.fleet.CallerAddr(0, 0), l.w.items(rand.New(rand.NewPCG(rng.Uint64(), 0)), n), "", "")
	return err
}

func (l *leg) tokens() engine.Tokens {
	var sum engine.Tokens
	for _, row := range l.fleet.Engines {
		for _, en := range row {
			t := en.Tokens()
			sum.Online += t.Online
			sum.Batch += t.Batch
		}
	}
	return sum
}

// online sends the arrivals at their times, whatever the answers do.
func (l *leg) online(rng *rand.Rand, model engine.Model) {
	times := arrivals(rng, l.w.fullRate(model), l.e.Profile, l.e.WarmUp+l.e.Length)
	start := time.Now()
	var before engine.Tokens
	counting := time.AfterFunc(l.e.WarmUp, func() {
		l.mu.Lock()
		before = l.tokens()
		l.mu.Unlock()
	})
	defer counting.Stop()
	var wg sync.WaitGroup
	for n, at := range times {
		p := l.w.prompt(rng, n)
		dc, node := rng.IntN(len(l.w.DataCentres)), rng.IntN(l.w.Nodes[0])
		time.Sleep(time.Until(start.Add(at)))
		wg.Go(func() { l.send(start.Add(at), l.fleet.CallerAddr(dc, node), p, at >= l.e.WarmUp) })
	}
	time.Sleep(time.Until(start.Add(l.e.WarmUp + l.e.Length)))
	after := l.tokens()
	l.mu.Lock()
	l.out.OnlineTokens = float64(after.Online-before.Online) / l.e.Length.Seconds()
	l.out.BatchTokens = float64(after.Batch-before.Batch) / l.e.Length.Seconds()
	l.mu.Unlock()
	wg.Wait()
}

// send makes one request; its latency counts from the intended send time.
func (l *leg) send(intended time.Time, addr string, p client.Prompt, counted bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	late := time.Since(intended)
	o := l.caller.Complete(ctx, addr, p)
	if !counted {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out.Sent++
	switch {
	case o.Whole:
		l.out.Completed++
		l.first.RecordValue((o.First + late).Microseconds())
		l.total.RecordValue((o.Total + late).Microseconds())
		for _, gap := range o.Gaps {
			l.perToken.RecordValue(max(1, gap.Microseconds()))
		}
	case o.Accepted || o.Err != nil:
		l.out.Broken++
	default:
		l.out.Refused[o.Kind]++
	}
}

func (l *leg) summarise(model engine.Model) {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	o := &l.out
	o.FirstP50MS, o.FirstP99MS = ms(l.first, 50), ms(l.first, 99)
	o.TotalP50MS, o.TotalP99MS = ms(l.total, 50), ms(l.total, 99)
	o.PerTokenP95, o.PerTokenP99 = ms(l.perToken, 95), ms(l.perToken, 99)
	o.IdleTokens = float64(l.w.engines())*model.FullRate() - o.OnlineTokens
	o.BatchShare = o.BatchTokens / o.IdleTokens
	o.Violations = l.fleet.Violations()
	for q := 1.0; q < 100; q++ {
		o.FirstMS = append(o.FirstMS, Point{q, ms(l.first, q)})
	}
	o.FirstMS = append(o.FirstMS, Point{99.5, ms(l.first, 99.5)}, Point{99.9, ms(l.first, 99.9)})
}

// Save writes the result as JSON.
func (r Result) Save(path string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o644)
}
