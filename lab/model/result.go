package model

import (
	"fmt"
	"io"
	"math"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Counts counts requests or items by how they ended.
type Counts struct {
	Total, InTime, Late, Refused, Failed int
}

// InTimeShare returns the share that completed in time.
func (c Counts) InTimeShare() float64 { return float64(c.InTime) / float64(max(1, c.Total)) }

func (c *Counts) recordEnd(now, due time.Time) {
	if now.After(due) {
		c.Late++
		return
	}
	c.InTime++
}

// Result is the outcome of a run.
type Result struct {
	Load, Variant                string
	Online, Items                Counts
	FirstEventP50, FirstEventP99 time.Duration // from the arrival of an online request to its first event
	OnlineSlotShare              float64       // share of the slots' total time that online requests took
	ItemSlotShare                float64
	Yields                       int
	Datagrams                    int     // sent between nodes
	DatagramRate                 float64 // per second, sent by one node
	ResumedTokens                int     // output tokens read again because an item was resumed
	PromptTokens                 int     // prompt tokens read in total
	RereadPrefixTokens           int     // prefix tokens read again by an engine that had read them before
	Samples                      []Sample
	Windows                      []Window                  // with Load.CallersReturn
	ByLimit                      map[time.Duration]Callers // with Load.Limits, without the first window
	firstEventTimes              []time.Duration
	// FirstInTime counts the online requests whose first event came within the objective,
	// whatever its later gaps.
	FirstInTime int
	// Swings is how often a target went from all slots taken by online requests to at most
	// a quarter, or back, per target and second.
	Swings float64
	// EstimateError is the median of how far the estimated time to the first event is from
	// the true one, as a share of the true one, over requests whose first event took longer
	// than a third of the objective; 0: nothing was estimated.
	EstimateError  float64
	estimateErrors []float64
	full           map[*engine]bool // targets that were last seen full of online requests
	swings         int
}

// Sample is the use of the fleet's slots at one time.
type Sample struct {
	At            time.Duration
	Slots         int // of engines that are up
	Online, Items int // running requests and items
	Waiting       int // requests and items queued at engines
}

// sampleInterval is the time between samples.
const sampleInterval = 50 * time.Millisecond

func (f *fleet) sample() {
	if f.clock.now > f.load.Length {
		return
	}
	s := Sample{At: f.clock.now}
	for _, e := range f.engines {
		if e.down {
			continue
		}
		f.result.countSwing(e)
		s.Slots += f.Engine.Slots
		s.Waiting += len(e.waiting)
		for _, c := range e.running {
			if c.prefix == "" {
				s.Items++
			} else {
				s.Online++
			}
		}
	}
	f.result.Samples = append(f.result.Samples, s)
}

// recordEstimate compares an estimated time to the first event with the true one.
func (r *Result) recordEstimate(estimate, took time.Duration) {
	if estimate > 0 && took > 100*time.Millisecond {
		r.estimateErrors = append(r.estimateErrors, math.Abs(float64(estimate-took))/float64(took))
	}
}

// countSwing counts whether online requests filled or left a target since the last sample.
func (r *Result) countSwing(e *engine) {
	online := 0
	for _, c := range append(slices.Clone(e.running), e.waiting...) {
		if c.prefix != "" {
			online++
		}
	}
	switch {
	case online >= e.params.Slots && !r.full[e]:
		r.full[e] = true
		r.swings++
	case online <= e.params.Slots/4 && r.full[e]:
		r.full[e] = false
		r.swings++
	}
}

func (f *fleet) summarise() Result {
	r := f.result
	r.Swings = float64(r.swings) / f.load.Length.Seconds() / float64(len(f.engines))
	slices.Sort(r.estimateErrors)
	if n := len(r.estimateErrors); n > 0 {
		r.EstimateError = r.estimateErrors[n/2]
	}
	r.Load, r.Variant = f.load.Name, f.variant.Name
	slices.Sort(r.firstEventTimes)
	if n := len(r.firstEventTimes); n > 0 {
		r.FirstEventP50, r.FirstEventP99 = r.firstEventTimes[n/2], r.firstEventTimes[n*99/100]
	}
	slots, online, items := 0, 0, 0
	for _, s := range r.Samples {
		slots += s.Slots
		online += s.Online
		items += s.Items
	}
	r.OnlineSlotShare, r.ItemSlotShare = float64(online)/float64(max(1, slots)), float64(items)/float64(max(1, slots))
	r.DatagramRate = float64(r.Datagrams) / f.clock.now.Seconds() / float64(len(f.nodes))
	r.Windows, r.ByLimit = f.windows(), f.byLimit(reportWindow, f.load.Length)
	for _, e := range f.engines {
		r.PromptTokens += e.readTokens
		r.RereadPrefixTokens += e.rereadPrefixTokens
	}
	return r
}

// Print writes the results as a table, one line each.
func Print(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "load\tvariant\tonline in aim\trefused\tfailed\tfirst p50\tp99\titems in time\tslots online\titems\tfree\tyields\ttokens read\tagain for yields\tof prefixes\tdatagrams a node and s")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%s\t%d of %d, %.4f\t%d\t%d\t%v\t%v\t%d of %d, %.4f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%.0f\n", r.Load, r.Variant,
			r.Online.InTime, r.Online.Total, r.Online.InTimeShare(), r.Online.Refused, r.Online.Failed, r.FirstEventP50.Round(time.Millisecond), r.FirstEventP99.Round(time.Millisecond),
			r.Items.InTime, r.Items.Total, r.Items.InTimeShare(), r.OnlineSlotShare, r.ItemSlotShare, 1-r.OnlineSlotShare-r.ItemSlotShare, r.Yields, r.PromptTokens, r.ResumedTokens, r.RereadPrefixTokens, r.DatagramRate)
	}
	return t.Flush()
}

// Plot draws the use of the slots over time into a PNG or SVG file.
func Plot(r Result, path string) error {
	p := plot.New()
	p.Title.Text = r.Load + ", " + r.Variant
	p.X.Label.Text, p.Y.Label.Text = "s", "slots"
	lines := []struct {
		name  string
		value func(Sample) int
	}{{"slots", func(s Sample) int { return s.Slots }}, {"online", func(s Sample) int { return s.Online }},
		{"items", func(s Sample) int { return s.Items }}, {"waiting", func(s Sample) int { return s.Waiting }}}
	for i, l := range lines {
		points := make(plotter.XYs, len(r.Samples))
		for k, s := range r.Samples {
			points[k] = plotter.XY{X: s.At.Seconds(), Y: float64(l.value(s))}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(l.name, line)
	}
	return p.Save(18*vg.Centimeter, 9*vg.Centimeter, filepath.Clean(path))
}
