package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/request/choose"
)

// Deployment describes the simulated deployment and its objectives.
type Deployment struct {
	DataCentres, NodesPerDataCentre, TargetsPerDataCentre int
	Engine                                                EngineParams
	// FirstEventObjective is the largest allowed time to the first event of an online
	// request, and GapObjective that between two later events. Its caller gives up after
	// Deadline. Items are due CompleteWithin after their job arrives.
	FirstEventObjective, GapObjective, Deadline, CompleteWithin time.Duration
	// LocalDelay and RemoteDelay are the one-way network delays within a data centre and
	// between two.
	LocalDelay, RemoteDelay time.Duration
	// NodeCount and TargetCount, if not 0, are the nodes and targets of all data centres
	// together, and replace the numbers of each.
	NodeCount, TargetCount int
	// Speed draws the speed of a target relative to the nominal one; nil: 1.
	Speed        func(*rand.Rand) float64
	OnlineEvents int // mean number of events of an answer
	ItemEvents   int // mean number of events of an item
}

// Small is a present customer's deployment: four data centres with six nodes and nine
// targets together, rounded up to two nodes and three targets in each.
var Small = Deployment{DataCentres: 4, NodesPerDataCentre: 2, TargetsPerDataCentre: 3, Engine: PublishedEngine, FirstEventObjective: 300 * time.Millisecond,
	GapObjective: 250 * time.Millisecond, Deadline: 5 * time.Second, CompleteWithin: 18 * time.Second, LocalDelay: 300 * time.Microsecond, RemoteDelay: 900 * time.Microsecond,
	OnlineEvents: 28, ItemEvents: 193}

// Variant is the product's policy with a mechanism changed for comparison.
type Variant struct {
	Name string
	// MinReserve is how many slots of a target items always leave free.
	MinReserve int
	// NoHolderNotices: nodes do not notify holders of items at once when an online request
	// needs a slot.
	NoHolderNotices bool
	// Overload, if not nil, selects admission with the shared view, see overload.go.
	Overload *OverloadVariant
	// OneGroup: all nodes of a data centre form one group, whatever their number.
	OneGroup bool
	// SharedView turns on the shared view of targets.
	SharedView bool
}

// Variants are the product's policy and those that it is compared with.
var Variants = []Variant{{Name: "product"}, {Name: "two slots kept free", MinReserve: 2}, {Name: "no word to holders", NoHolderNotices: true}, {Name: "one group", OneGroup: true}, {Name: "shared view", SharedView: true}}

const (
	prefixTokens   = 200 // part of an online prompt that other requests have too
	questionTokens = 250 // rest of an online prompt
	itemTokens     = 350
	prefixCount    = 40 // number of different prefixes
	jobItems       = 10
	// lengthSpread is the standard deviation of an output's length, as a share of its mean.
	lengthSpread = 0.25
)

// fleet is the state of one run.
type fleet struct {
	Deployment
	load              Load
	variant           Variant
	clock             clock
	rng               *rand.Rand
	engines           map[string]*engine
	targetDataCentres map[string]string // by target
	targets           []choose.Target
	nodes             []*node
	nodesByName       map[string]*node
	isolated          string // data centre that a network partition isolates; empty: none
	jobCount          int
	hanging           map[string]bool // targets
	callers           []*caller       // of the requests that counted, see overload.go
	result            Result
}

// Run simulates a load on a deployment and returns its result.
func Run(d Deployment, load Load, v Variant, seed uint64) Result {
	f := &fleet{Deployment: d, load: load, variant: v, rng: rand.New(rand.NewPCG(seed, seed)), engines: map[string]*engine{}, targetDataCentres: map[string]string{}, nodesByName: map[string]*node{}, result: Result{full: map[*engine]bool{}}}
	f.build(seed)
	f.scheduleArrivals()
	for _, fault := range load.Faults {
		f.clock.after(fault.At, func() { f.inject(fault) })
	}
	f.clock.every(sampleInterval, f.sample)
	f.scheduleSlowPeriods()
	f.clock.run(load.Length + d.CompleteWithin)
	return f.summarise()
}

func (f *fleet) build(seed uint64) {
	for c := range f.DataCentres {
		dataCentre := dataCentreName(c)
		for t := range f.targetsIn(c) {
			id := fmt.Sprintf("t%d-%d", c, t)
			f.targets = append(f.targets, choose.Target{ID: id, Incarnation: 1, Service: serviceName, DataCentre: dataCentre, Slots: f.Engine.Slots})
			f.engines[id] = newEngine(&f.Engine, &f.clock)
			if f.Speed != nil {
				f.engines[id].speed = f.Speed(f.rng)
			}
			f.targetDataCentres[id] = dataCentre
		}
		for n := range f.nodesIn(c) {
			created := newNode(f, nodeName(c, n), dataCentre, seed+uint64(100*c+n))
			f.nodes = append(f.nodes, created)
			f.nodesByName[created.name] = created
		}
	}
	for _, n := range f.nodes {
		n.start()
	}
}

// nodesIn returns the number of nodes of a data centre.
func (d *Deployment) nodesIn(c int) int {
	return inDataCentre(c, d.DataCentres, d.NodeCount, d.NodesPerDataCentre)
}

// targetsIn returns the number of targets of a data centre.
func (d *Deployment) targetsIn(c int) int {
	return inDataCentre(c, d.DataCentres, d.TargetCount, d.TargetsPerDataCentre)
}

// inDataCentre divides total evenly; each data centre has the number given if total is 0.
func inDataCentre(c, dataCentres, total, each int) int {
	if total == 0 {
		return each
	}
	return (total + dataCentres - 1 - c) / dataCentres
}

func dataCentreName(c int) string { return fmt.Sprint("dc", c) }

func nodeName(c, n int) string { return fmt.Sprintf("n%d-%d", c, n) }

func (f *fleet) nodesByNames(names []string) []*node {
	var out []*node
	for _, name := range names {
		out = append(out, f.nodesByName[name])
	}
	return out
}

// slotTime returns how long a request takes a slot of an otherwise idle engine.
func (f *fleet) slotTime(events, prompt int) time.Duration {
	e := f.Engine
	return time.Duration(events*e.TokensPerEvent)*e.StepTime + time.Duration(float64(prompt)/e.PromptTokensPerMS*float64(time.Millisecond))
}

// scheduleArrivals lets online requests and jobs arrive as Poisson processes.
func (f *fleet) scheduleArrivals() {
	slots := float64(len(f.targets) * f.Engine.Slots)
	online := slots / f.slotTime(f.OnlineEvents, prefixTokens+questionTokens).Seconds()
	jobs := f.load.BatchShare * slots / f.slotTime(f.ItemEvents, itemTokens).Seconds() / jobItems
	f.schedulePoisson(func() float64 { return online * f.load.OnlineShare(f.clock.now) }, f.startRequest)
	f.schedulePoisson(func() float64 { return jobs }, f.startJob)
	for _, at := range f.load.JobBurstsAt {
		f.clock.after(at, func() {
			for range 10 {
				f.startJob()
			}
		})
	}
}

// arrivalTick is the interval at which arrivals are drawn.
const arrivalTick = time.Millisecond

func (f *fleet) schedulePoisson(perSecond func() float64, arrive func()) {
	f.clock.every(arrivalTick, func() {
		expected := perSecond() * arrivalTick.Seconds()
		for ; expected >= 1; expected-- {
			arrive()
		}
		if f.rng.Float64() < expected {
			arrive()
		}
	})
}

// drawLength draws a number of events.
func (f *fleet) drawLength(mean int) int {
	return max(1, int(float64(mean)*(1+lengthSpread*f.rng.NormFloat64())))
}

// randomNode draws a node, and returns nil if it is down.
func (f *fleet) randomNode() *node {
	n := f.nodes[f.rng.IntN(len(f.nodes))]
	if f.load.NodeWeight != nil {
		n = f.weightedNode()
	}
	if n.down {
		return nil
	}
	return n
}

// weightedNode draws a node by Load.NodeWeight.
func (f *fleet) weightedNode() *node {
	weight := func(i int) float64 {
		return f.load.NodeWeight(slices.Index(f.dataCentres(), f.nodes[i].dataCentre), i)
	}
	total := 0.0
	for i := range f.nodes {
		total += weight(i)
	}
	drawn := f.rng.Float64() * total
	for i, n := range f.nodes {
		if drawn -= weight(i); drawn < 0 {
			return n
		}
	}
	return f.nodes[len(f.nodes)-1]
}

func (f *fleet) dataCentres() []string {
	var out []string
	for c := range f.DataCentres {
		out = append(out, dataCentreName(c))
	}
	return out
}

// reachable reports whether two data centres can reach each other.
func (f *fleet) reachable(a, b string) bool { return a == b || (a != f.isolated && b != f.isolated) }

func (f *fleet) delay(a, b string) time.Duration {
	if a == b {
		return f.LocalDelay
	}
	return f.RemoteDelay
}

// delistDelay is the time after which nodes learn that a target was lost: three missed
// heartbeats of a third of a second each.
const delistDelay = time.Second

// everyNth returns the share of the targets given, from all data centres alike.
func (f *fleet) everyNth(share float64) []choose.Target {
	var out []choose.Target
	for i := 0.0; int(i) < len(f.targets); i += 1 / share {
		out = append(out, f.targets[int(i)])
	}
	return out
}

// inject starts a fault and schedules its end.
func (f *fleet) inject(fault Fault) {
	affected := f.targets[:int(fault.Share*float64(len(f.targets)))]
	switch fault.Kind {
	case TargetsLost:
		for _, t := range affected {
			f.engines[t.ID].fail()
		}
		f.clock.after(delistDelay, func() {
			f.targets = f.targets[len(affected):]
			for _, n := range f.nodes {
				n.table.SetTargets(f.targets)
			}
		})
	case TargetsSlow:
		for _, t := range affected {
			f.engines[t.ID].slowdown *= fault.Factor
		}
		f.clock.after(fault.For, func() {
			for _, t := range affected {
				f.engines[t.ID].slowdown /= fault.Factor
			}
		})
	case TargetsHang:
		f.hang(f.everyNth(fault.Share), fault.For)
	case DataCentreIsolated:
		f.isolated = dataCentreName(fault.DataCentre)
		f.clock.after(fault.For, func() { f.isolated = "" })
	case AllNodesRestart:
		for _, n := range f.nodes {
			n.stop()
			f.clock.after(fault.For, n.start)
		}
	}
}
