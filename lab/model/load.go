package model

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Load is a pattern of requests, jobs and troubles.
type Load struct {
	Name string
	// Says in one sentence what it stands for.
	Description string
	Length      time.Duration
	// OnlineShare returns how many requests a second arrive at a time, as a share of
	// what the slots of the fleet serve.
	OnlineShare func(at time.Duration) float64
	// BatchShare is the work of jobs that arrive, as a share of the same; JobsAt are
	// times at which ten jobs come at once.
	BatchShare  float64
	JobBurstsAt []time.Duration
	Faults      []Fault
}

// Fault is one trouble of a load.
type Fault struct {
	At, For time.Duration
	// Kind is one of the constants below.
	Kind FaultKind
	// Share of the targets, or the data centre's number for a cut.
	Share      float64
	DataCentre int
	// Factor is how many times slower a target becomes.
	Factor float64
}

// FaultKind names a trouble.
type FaultKind int

// The troubles.
const (
	TargetsLost FaultKind = iota // they end without a word, and are unlisted after a second
	TargetsSlow
	DataCentreIsolated // nobody reaches its nodes and targets from elsewhere, nor they others
	AllNodesRestart
)

// usualWave is a square wave between a low and a high, the usual shape of the users'
// online traffic: 2.4 s at the high of every 5.8 s.
func usualWave(low, high float64) func(time.Duration) float64 {
	return squareWave(3400*time.Millisecond, 5800*time.Millisecond, low, high)
}

// squareWave is a square squareWave that stays at the low for a time of each period.
func squareWave(lowFor, period time.Duration, low, high float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%period < lowFor {
			return low
		}
		return high
	}
}

func constant(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

const second = time.Second

var loads = map[string]Load{
	"steps": {Description: "online traffic in steps beside steady batch work, eight tenths of the fleet together", Length: 60 * second,
		OnlineShare: usualWave(0.17, 0.8), BatchShare: 0.36},
	"full": {Description: "highs in which online traffic alone takes nearly all slots, and lows shorter than an item, as on the users' largest deployment", Length: 40 * second,
		OnlineShare: squareWave(3800*time.Millisecond, 6600*time.Millisecond, 0.2, 0.98), BatchShare: 0.36},
	"burst": {Description: "ten jobs at once on top of online traffic at half of the fleet", Length: 40 * second,
		OnlineShare: constant(0.5), BatchShare: 0.1, JobBurstsAt: []time.Duration{8 * second, 20 * second}},
	"lost": {Description: "a fifth of the targets is lost for good while online traffic comes in steps", Length: 50 * second,
		OnlineShare: usualWave(0.14, 0.64), BatchShare: 0.3, Faults: []Fault{{At: 15 * second, Kind: TargetsLost, Share: 0.2}}},
	"slow": {Description: "a quarter of the targets turns four times slower for ten seconds", Length: 50 * second,
		OnlineShare: usualWave(0.14, 0.6), BatchShare: 0.3, Faults: []Fault{{At: 15 * second, For: 10 * second, Kind: TargetsSlow, Share: 0.25, Factor: 4}}},
	"cut": {Description: "a data centre is cut off for six seconds", Length: 50 * second,
		OnlineShare: usualWave(0.14, 0.64), BatchShare: 0.3, Faults: []Fault{{At: 20 * second, For: 6 * second, Kind: DataCentreIsolated, DataCentre: 1}}},
	"restart": {Description: "all nodes start again within 1.2 seconds; engines go on", Length: 40 * second,
		OnlineShare: usualWave(0.14, 0.64), BatchShare: 0.3, Faults: []Fault{{At: 15 * second, For: 1200 * time.Millisecond, Kind: AllNodesRestart}}},
}

// Loads returns the names of the patterns.
func Loads() []string { return slices.Sorted(maps.Keys(loads)) }

// LoadByName returns a pattern by its name.
func LoadByName(name string) (Load, error) {
	l, ok := loads[name]
	if !ok {
		return Load{}, fmt.Errorf("no load %q; there are %v", name, Loads())
	}
	l.Name = name
	return l, nil
}
