package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/marblepond/marblepond/internal/request/choose"
)

// Deployment is what the load is played on.
type Deployment struct {
	DataCentres, NodesPerDataCentre, TargetsPerDataCentre int
	Engine                                                EngineParams
	// FirstEventObjective is the time to the first event of an online request, GapObjective
	// the longest pause after it, Deadline when its caller gives up, and
	// CompleteWithin when items are due.
	FirstEventObjective, GapObjective, Deadline, CompleteWithin time.Duration
	// LocalDelay and RemoteDelay are the times one way within a data centre and between
	// two.
	LocalDelay, RemoteDelay time.Duration
	OnlineEvents            int // mean of an answer
	ItemEvents              int
}

// Small is the deployment of a customer of today: four data centres with six nodes
// and nine targets, rounded up to two and three in each.
var Small = Deployment{DataCentres: 4, NodesPerDataCentre: 2, TargetsPerDataCentre: 3, Engine: PublishedEngine, FirstEventObjective: 300 * time.Millisecond,
	GapObjective: 250 * time.Millisecond, Deadline: 5 * time.Second, CompleteWithin: 18 * time.Second, LocalDelay: 300 * time.Microsecond, RemoteDelay: 900 * time.Microsecond,
	OnlineEvents: 28, ItemEvents: 193}

// Variant switches a mechanism for comparison.
type Variant struct {
	Name string
	// MinReserve is how many slots items always leave free.
	MinReserve int
	// NoHolderNotices keeps a node from telling holders at once that it needs room.
	NoHolderNotices bool
	// OneGroup makes each node tell each other one of its data centre, however many.
	OneGroup bool
}

// Variants are the product's policy and the ones that it is measured against.
var Variants = []Variant{{Name: "product"}, {Name: "two slots kept free", MinReserve: 2}, {Name: "no word to holders", NoHolderNotices: true}, {Name: "one group", OneGroup: true}}

const (
	prefixTokens   = 200 // of an online prompt, with other requests
	questionTokens = 250
	itemTokens     = 350
	prefixCount    = 40 // different shared parts
	jobItems       = 10
	// lengthSpread is the deviation of a length from its mean, as a share.
	lengthSpread = 0.25
)

// fleet is one play.
type fleet struct {
	Deployment
	load              Load
	variant           Variant
	clock             clock
	rng               *rand.Rand
	engines           map[string]*engine
	targetDataCentres map[string]string // of targets
	targets           []choose.Target
	nodes             []*node
	nodesByName       map[string]*node
	isolated          string // data centre that is cut off
	jobCount          int
	result            Result
}

// Run plays a load and returns what came of it.
func Run(d Deployment, load Load, v Variant, seed uint64) Result {
	f := &fleet{Deployment: d, load: load, variant: v, rng: rand.New(rand.NewPCG(seed, seed)), engines: map[string]*engine{}, targetDataCentres: map[string]string{}, nodesByName: map[string]*node{}}
	f.build(seed)
	f.scheduleArrivals()
	for _, fault := range load.Faults {
		f.clock.after(fault.At, func() { f.inject(fault) })
	}
	f.clock.every(sampleInterval, f.sample)
	f.clock.run(load.Length + d.CompleteWithin)
	return f.summarize()
}

func (f *fleet) build(seed uint64) {
	for c := range f.DataCentres {
		dataCentre := dataCentreName(c)
		for t := range f.TargetsPerDataCentre {
			id := fmt.Sprintf("t%d-%d", c, t)
			f.targets = append(f.targets, choose.Target{ID: id, Incarnation: 1, Service: serviceName, DataCentre: dataCentre, Slots: f.Engine.Slots})
			f.engines[id] = newEngine(&f.Engine, &f.clock)
			f.targetDataCentres[id] = dataCentre
		}
		for n := range f.NodesPerDataCentre {
			created := newNode(f, nodeName(c, n), dataCentre, seed+uint64(100*c+n))
			f.nodes = append(f.nodes, created)
			f.nodesByName[created.name] = created
		}
	}
	for _, n := range f.nodes {
		n.start()
	}
}

func dataCentreName(c int) string { return fmt.Sprint("dc", c) }

func nodeName(c, n int) string { return fmt.Sprintf("n%d-%d", c, n) }

// nodesByNames returns the nodes named.
func (f *fleet) nodesByNames(names []string) []*node {
	var out []*node
	for _, name := range names {
		out = append(out, f.nodesByName[name])
	}
	return out
}

// slotTime is how long a request of some events holds a slot on an idle engine.
func (f *fleet) slotTime(events, prompt int) time.Duration {
	e := f.Engine
	return time.Duration(events*e.TokensPerEvent)*e.StepTime + time.Duration(float64(prompt)/e.PromptTokensPerMS*float64(time.Millisecond))
}

// scheduleArrivals draws online requests and jobs as Poisson processes.
func (f *fleet) scheduleArrivals() {
	slots := float64(f.DataCentres * f.TargetsPerDataCentre * f.Engine.Slots)
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

// arrivalTick is the time between draws of arrivals.
const arrivalTick = time.Millisecond

func (f *fleet) schedulePoisson(perSecond func() float64, arrive func()) {
	f.clock.every(arrivalTick, func() {
		if f.rng.Float64() < perSecond()*arrivalTick.Seconds() {
			arrive()
		}
	})
}

func (f *fleet) drawLength(mean int) int {
	return max(1, int(float64(mean)*(1+lengthSpread*f.rng.NormFloat64())))
}

// randomNode draws one that takes callers.
func (f *fleet) randomNode() *node {
	n := f.nodes[f.rng.IntN(len(f.nodes))]
	if n.down {
		return nil
	}
	return n
}

// reachable reports whether two data centres reach each other.
func (f *fleet) reachable(a, b string) bool { return a == b || (a != f.isolated && b != f.isolated) }

func (f *fleet) delay(a, b string) time.Duration {
	if a == b {
		return f.LocalDelay
	}
	return f.RemoteDelay
}

// delistDelay is when nodes hear that a target is gone: three heartbeats of a
// third of a second.
const delistDelay = time.Second

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
			f.engines[t.ID].slowdown = fault.Factor
		}
		f.clock.after(fault.For, func() {
			for _, t := range affected {
				f.engines[t.ID].slowdown = 1
			}
		})
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
