package load

import (
	"encoding/json"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// ReadResult reads a result written by Save.
func ReadResult(path string) (Result, error) {
	var r Result
	data, err := os.ReadFile(path)
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(data, &r)
}

// Summary has the medians of a mode over its rounds, and the lowest (Lo) and highest (Hi)
// values. Times are in milliseconds.
type Summary struct {
	Mode                                            string
	FirstP99, FirstP99Lo, FirstP99Hi                float64 // time to the first token
	TotalP99                                        float64 // time to the end of the answer
	FirstP99Ratio, FirstP99RatioLo, FirstP99RatioHi float64 // FirstP99 divided by that of the first mode in the same round
	TotalP99Ratio                                   float64 // TotalP99 divided by that of the first mode in the same round
	BatchShare, BatchShareLo, BatchShareHi          float64
}

// Summaries compares each mode with the first mode of the experiment, round by round.
func (r Result) Summaries() []Summary {
	var out []Summary
	baseline := map[int]Measurement{}
	for _, m := range r.Measurements {
		if m.Mode == r.Experiment.Modes[0] {
			baseline[m.Round] = m
		}
	}
	for _, mode := range r.Experiment.Modes {
		var first, total, firstRatio, totalRatio, share []float64
		for _, m := range r.Measurements {
			if m.Mode != mode {
				continue
			}
			first, total, share = append(first, m.FirstP99MS), append(total, m.TotalP99MS), append(share, m.BatchShare)
			firstRatio = append(firstRatio, m.FirstP99MS/baseline[m.Round].FirstP99MS)
			totalRatio = append(totalRatio, m.TotalP99MS/baseline[m.Round].TotalP99MS)
		}
		s := Summary{Mode: mode, TotalP99: median(total), TotalP99Ratio: median(totalRatio)}
		s.FirstP99, s.FirstP99Lo, s.FirstP99Hi = medianAndRange(first)
		s.FirstP99Ratio, s.FirstP99RatioLo, s.FirstP99RatioHi = medianAndRange(firstRatio)
		s.BatchShare, s.BatchShareLo, s.BatchShareHi = medianAndRange(share)
		out = append(out, s)
	}
	return out
}

func median(v []float64) float64 {
	m, _, _ := medianAndRange(v)
	return m
}

func medianAndRange(v []float64) (mid, lo, hi float64) {
	if len(v) == 0 {
		return 0, 0, 0
	}
	s := slices.Sorted(slices.Values(v))
	return s[len(s)/2], s[0], s[len(s)-1]
}

// String returns the summary as a row of a Markdown table.
func (s Summary) String() string {
	return fmt.Sprintf("| %s | %.1f (%.1f-%.1f) | %.0f | %.2f (%.2f-%.2f) | %.2f | %.0f %% (%.0f-%.0f) |", s.Mode, s.FirstP99, s.FirstP99Lo, s.FirstP99Hi,
		s.TotalP99, s.FirstP99Ratio, s.FirstP99RatioLo, s.FirstP99RatioHi, s.TotalP99Ratio, 100*s.BatchShare, 100*s.BatchShareLo, 100*s.BatchShareHi)
}

// SummaryTableHead is the head of the Markdown table of summaries.
const SummaryTableHead = "| mode | first token p99 ms | whole p99 ms | first-token harm | whole harm | batch share of idle |\n| --- | --- | --- | --- | --- | --- |"

var palette = []color.RGBA{{0x1f, 0x77, 0xb4, 0xff}, {0x2c, 0xa0, 0x2c, 0xff}, {0xd6, 0x27, 0x28, 0xff}, {0x94, 0x67, 0xbd, 0xff}, {0x8c, 0x56, 0x4b, 0xff}}

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// Plot draws the distribution of the time to the first token into a PNG or SVG file, with a
// line for the median round of each mode.
func (r Result) Plot(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: time to the first token", r.Experiment.Name)
	p.X.Label.Text = "requests, of 100"
	p.Y.Label.Text = "milliseconds (log scale)"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, mode := range r.Experiment.Modes {
		var points plotter.XYs
		for _, q := range r.medianMeasurement(mode).FirstMS {
			points = append(points, plotter.XY{X: q.Quantile, Y: q.Value})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color, line.Width = palette[i%len(palette)], vg.Points(2)
		p.Add(line)
		p.Legend.Add(mode, line)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

// medianMeasurement returns the measurement of a mode with the median FirstP99MS.
func (r Result) medianMeasurement(mode string) Measurement {
	var measurements []Measurement
	for _, m := range r.Measurements {
		if m.Mode == mode {
			measurements = append(measurements, m)
		}
	}
	slices.SortFunc(measurements, func(a, b Measurement) int { return int(1000 * (a.FirstP99MS - b.FirstP99MS)) })
	return measurements[len(measurements)/2]
}
