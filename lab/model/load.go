package model

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Load is a pattern of online requests, jobs and faults over time.
type Load struct {
	Name string
	// Description says in one sentence which situation the load models.
	Description string
	Length      time.Duration
	// OnlineShare returns the rate of online requests at a time, as a share of the rate
	// that the slots of the fleet can serve.
	OnlineShare func(at time.Duration) float64
	// BatchShare is the rate of batch items, as a share of the same capacity. JobBurstsAt
	// are the times at which ten further jobs arrive at once.
	BatchShare  float64
	JobBurstsAt []time.Duration
	Faults      []Fault
	// SlowPeriods is how often a second a target becomes SlowFactor times slower for SlowFor.
	SlowPeriods, SlowFactor float64
	SlowFor                 time.Duration
	// NodeWeight returns how many callers a node gets relative to others; nil: all get the same.
	NodeWeight func(dataCentre, node int) float64
	// LowShare is the share of the requests that have priority 1; the others have 0.
	LowShare float64
	// CallersReturn: a refused caller tries once more at another node, and how callers fare is counted.
	CallersReturn bool
	// Limits are the times that callers have, one of them drawn for each; empty: the deployment's.
	Limits []time.Duration
}

// Fault is one fault of a load, from At for the time For.
type Fault struct {
	At, For time.Duration
	Kind    FaultKind
	// Share is the share of the targets that TargetsLost and TargetsSlow affect, and
	// DataCentre the number of the data centre that DataCentreIsolated affects.
	Share      float64
	DataCentre int
	// Factor is how many times slower the targets of TargetsSlow become.
	Factor float64
}

// FaultKind is a kind of fault.
type FaultKind int

// Kinds of faults.
const (
	TargetsLost FaultKind = iota // they end without a notice, and leave the list of targets after delistDelay
	TargetsSlow
	DataCentreIsolated // a network partition between it and all other data centres
	AllNodesRestart
	TargetsHang // they accept requests and send no event
)

// usualWave is a square wave between two levels, the usual shape of the users' online
// traffic: 2.4 s at the high level of every 5.8 s.
func usualWave(low, high float64) func(time.Duration) float64 {
	return squareWave(3400*time.Millisecond, 5800*time.Millisecond, low, high)
}

// squareWave is at the low level for the first lowFor of each period, then at the high one.
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
	"steps": {Description: "online traffic in steps beside constant batch work, together 80 % of the fleet's capacity", Length: 60 * second,
		OnlineShare: usualWave(0.17, 0.8), BatchShare: 0.36},
	"full": {Description: "online peaks that take nearly all slots, and pauses shorter than an item, as on the users' largest deployment", Length: 40 * second,
		OnlineShare: squareWave(3800*time.Millisecond, 6600*time.Millisecond, 0.2, 0.98), BatchShare: 0.36},
	"burst": {Description: "bursts of ten jobs beside online traffic at half of the fleet's capacity", Length: 40 * second,
		OnlineShare: constant(0.5), BatchShare: 0.1, JobBurstsAt: []time.Duration{8 * second, 20 * second}},
	"lost": {Description: "a fifth of the targets is lost permanently during online traffic in steps", Length: 50 * second,
		OnlineShare: usualWave(0.14, 0.64), BatchShare: 0.3, Faults: []Fault{{At: 15 * second, Kind: TargetsLost, Share: 0.2}}},
	"slow": {Description: "a quarter of the targets is four times slower for ten seconds", Length: 50 * second,
		OnlineShare: usualWave(0.14, 0.6), BatchShare: 0.3, Faults: []Fault{{At: 15 * second, For: 10 * second, Kind: TargetsSlow, Share: 0.25, Factor: 4}}},
	"speeds": {Description: "the second fleet's online peaks and jobs; targets are 2.5 times slower for 0.6 s, and a tenth four times for four seconds", Length: 29 * second,
		OnlineShare: usualWave(0.145, 0.707), BatchShare: 0.326, SlowPeriods: 0.08, SlowFactor: 2.5, SlowFor: 600 * time.Millisecond,
		Faults: []Fault{{At: 4 * second, For: 4 * second, Kind: TargetsSlow, Share: 0.1, Factor: 4}, {At: 16 * second, For: 4 * second, Kind: TargetsSlow, Share: 0.1, Factor: 4}}},
	"cut": {Description: "a network partition isolates a data centre for six seconds", Length: 50 * second,
		OnlineShare: usualWave(0.14, 0.64), BatchShare: 0.3, Faults: []Fault{{At: 20 * second, For: 6 * second, Kind: DataCentreIsolated, DataCentre: 1}}},
	"restart": {Description: "all nodes stop and restart after 1.2 seconds; engines keep running", Length: 40 * second,
		OnlineShare: usualWave(0.14, 0.64), BatchShare: 0.3, Faults: []Fault{{At: 15 * second, For: 1200 * time.Millisecond, Kind: AllNodesRestart}}},
}

// Loads returns the names of the loads, sorted.
func Loads() []string { return slices.Sorted(maps.Keys(loads)) }

// LoadByName returns a load by its name.
func LoadByName(name string) (Load, error) {
	l, ok := loads[name]
	if !ok {
		return Load{}, fmt.Errorf("unknown load %q; available: %v", name, Loads())
	}
	l.Name = name
	return l, nil
}
