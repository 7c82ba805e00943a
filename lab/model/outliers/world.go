// Package outliers simulates a fleet in which targets fail or hang, with the product's table
// of targets and outlier detection at each node and the reports between nodes, and counts
// what callers notice. Engines are simple: a number of slots, a queue in order of arrival,
// and a fixed time between events. Not modelled: processor time, callers that retry, and the
// preemption of batch items.
package outliers

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/marblepond/marblepond/internal/connection/beacon"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/outlier"
	"github.com/marblepond/marblepond/internal/request/warmup"
)

// Behaviour is what a target does with a request.
type Behaviour int

// The behaviours.
const (
	Serve Behaviour = iota
	Fail            // it answers 500 at once
	Hang            // it takes a slot and sends nothing
)

// Scenario is a fleet, its load and its faults.
type Scenario struct {
	Nodes, DataCentres, Targets int
	OnlinePerSecond             float64
	ItemsPerSecond              float64
	AtMostOnceShare             float64 // of online requests; the others may be repeated once
	Length                      time.Duration
	SharedView                  bool
	Seed                        uint64
	// Fault returns what a target does with a request of a node of a data centre.
	Fault func(at time.Duration, target int, dataCentre string, draw float64) Behaviour
	// Speed returns the factor on the time between events of a target.
	Speed func(target int) float64
}

// Result is what callers and operators notice.
type Result struct {
	Online, Answered, AnsweredWithError, TimedOut, Refused int // online requests
	ItemAttemptsFailed                                     int
	BusiestToMean                                          float64       // online requests of the busiest target
	HealthyEjections                                       int           // ejections of targets without a fault, at all nodes
	Ejections                                              int           // at all nodes
	MaxEjectedShare                                        float64       // at any node
	LastVerdict                                            time.Duration // when the last node readmitted the last target
	Unresolved                                             int           // verdicts at the end, at all nodes
	Stalled                                                int           // attempts given up because the target was silent
	EvidenceBytesPerNode                                   float64       // per second, in the reports that a node sends
}

// The constants of the load and copies of those of packages beacon and forward.
const (
	slots          = 8
	onlineEvents   = 17
	itemEvents     = 128
	eventInterval  = 39 * time.Millisecond
	prefill        = 20 * time.Millisecond
	linkDelay      = 1400 * time.Microsecond
	callerPatience = 2 * time.Second
	objective      = 300 * time.Millisecond
	gapTimeout     = 150 * time.Millisecond
	recheck        = 25 * time.Millisecond
	overflow       = 4
	farInterval    = 100 * time.Millisecond
	farFanout      = 3
	lowShare       = 0.383
	highShare      = 1.87
	lowFor         = 3400 * time.Millisecond
	period         = 5800 * time.Millisecond
	itemPoll       = 50 * time.Millisecond
	itemAttempts   = 3
	ejectTime      = 500 * time.Millisecond
)

var startTime = time.Unix(1_700_000_000, 0)

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type world struct {
	Scenario
	now     time.Duration
	queue   events
	seq     int
	rng     *rand.Rand
	engines []*engine
	byID    map[string]*engine
	nodes   []*node
	byName  map[string]*node
	faulty  map[string]bool
	result  Result
	bytes   int
}

type engine struct {
	id      string
	index   int
	speed   float64
	running int
	waiting []*call
	sent    int // online requests
}

// call is an attempt at an engine.
type call struct {
	events  int
	hang    bool
	onEvent func()
	onEnd   func()
	running bool
	ended   bool
}

type node struct {
	w          *world
	name       string
	dataCentre string
	table      *choose.Table
	view       *beacon.View
}

// Run runs a scenario.
func Run(s Scenario) Result {
	w := &world{Scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 1)), byID: map[string]*engine{}, byName: map[string]*node{}, faulty: map[string]bool{}}
	w.build()
	w.arrivals(func() float64 { return w.OnlinePerSecond * w.level() }, w.startOnline)
	if w.ItemsPerSecond > 0 {
		w.arrivals(func() float64 { return w.ItemsPerSecond }, w.startItem)
	}
	for len(w.queue) > 0 && w.queue[0].at <= s.Length {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.run()
	}
	busiest, total := 0, 0
	for _, e := range w.engines {
		busiest, total = max(busiest, e.sent), total+e.sent
	}
	w.result.BusiestToMean = float64(busiest) * float64(len(w.engines)) / float64(max(1, total))
	for _, n := range w.nodes {
		ejected, onTrial := n.table.VerdictCounts()
		w.result.Unresolved += ejected + onTrial
	}
	w.result.EvidenceBytesPerNode = float64(w.bytes) / s.Length.Seconds() / float64(s.Nodes)
	return w.result
}

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, f})
}

func (w *world) every(d time.Duration, f func()) {
	w.after(time.Duration(w.rng.Float64()*float64(d)), func() {
		f()
		w.repeat(d, f)
	})
}

func (w *world) repeat(d time.Duration, f func()) {
	w.after(d, func() {
		f()
		w.repeat(d, f)
	})
}

func (w *world) time() time.Time { return startTime.Add(w.now) }

func (w *world) level() float64 {
	if w.now%period < lowFor {
		return lowShare
	}
	return highShare
}

func (w *world) arrivals(rate func() float64, arrive func()) {
	w.after(time.Duration(w.rng.ExpFloat64()/rate()*float64(time.Second)), func() {
		arrive()
		w.arrivals(rate, arrive)
	})
}

func (w *world) build() {
	var targets []choose.Target
	for i := range w.Targets {
		e := &engine{id: fmt.Sprint("target-", i), index: i, speed: 1}
		if w.Speed != nil {
			e.speed = w.Speed(i)
		}
		w.engines = append(w.engines, e)
		w.byID[e.id] = e
		targets = append(targets, choose.Target{ID: e.id, Incarnation: 1, Service: "s", DataCentre: fmt.Sprint("dc", i%w.DataCentres), Slots: slots})
	}
	var peers []beacon.Peer
	var probers []outlier.Peer
	for i := range w.Nodes {
		name, centre := fmt.Sprintf("node-%03d", i), fmt.Sprint("dc", i%w.DataCentres)
		peers = append(peers, beacon.Peer{Node: name, DataCentre: centre, Callers: true})
		probers = append(probers, outlier.Peer{Name: name, DataCentre: centre})
	}
	for i, p := range peers {
		others := append(append([]beacon.Peer{}, peers[:i]...), peers[i+1:]...)
		n := &node{w: w, name: p.Node, dataCentre: p.DataCentre, view: beacon.NewView(p.Node, p.DataCentre, others)}
		n.table = choose.New(choose.Config{EjectAfter: 3, EjectTime: ejectTime, Policy: choose.LeastOfFew, Node: n.name, LocalDataCentre: n.dataCentre, Group: n.view.Group(), Seed: w.Seed + uint64(i)})
		n.table.SetTargets(targets)
		n.table.SetSharedView(w.SharedView)
		n.table.SetPosition(warmup.Position{Index: i, Nodes: w.Nodes})
		n.table.SetProbers(probers)
		w.nodes = append(w.nodes, n)
		w.byName[n.name] = n
	}
	for _, n := range w.nodes {
		receivers := len(n.view.Members()) + w.Nodes/w.DataCentres/max(1, n.view.Groups())
		w.every(max(beacon.MinRoundInterval(receivers), 20*time.Millisecond), n.round)
		w.every(farInterval, n.farRound)
	}
}

// round sends reports to the own data centre.
func (n *node) round() {
	n.judge()
	members := n.view.Members()
	var names []string
	own, evidence := n.table.OwnInFlight(), n.evidence(outlier.Node)
	for _, p := range members {
		names = append(names, p.Node)
		n.send(p.Node, evidence, func(o *node) {
			o.table.SetEvidence(outlier.Reporter{Level: outlier.Node, Name: n.name}, evidence)
			o.table.SetNode(n.name, own)
		})
	}
	receivers := n.view.GroupReportReceivers(names, n.w.rng.Float64)
	if len(receivers) == 0 {
		return
	}
	counts, groupEvidence, group := n.table.GroupInFlight(), n.evidence(outlier.Group), n.view.Group()
	for _, p := range receivers {
		n.send(p.Node, groupEvidence, func(o *node) {
			o.table.SetEvidence(outlier.Reporter{Level: outlier.Group, Name: group}, groupEvidence)
			o.table.SetGroup(group, 1+len(members), counts)
		})
	}
}

// farRound sends reports to a few nodes of other data centres.
func (n *node) farRound() {
	n.judge()
	counts, evidence := n.table.DataCentreInFlight(), n.evidence(outlier.DataCentre)
	for range farFanout {
		o := n.w.nodes[n.w.rng.IntN(len(n.w.nodes))]
		if o.dataCentre == n.dataCentre {
			continue
		}
		n.send(o.name, evidence, func(o *node) {
			o.table.SetEvidence(outlier.Reporter{Level: outlier.DataCentre, Name: n.dataCentre}, evidence)
			o.table.SetDataCentre(n.dataCentre, counts)
		})
	}
}

func (n *node) evidence(level outlier.Level) map[string]outlier.Evidence {
	return n.table.Evidence(n.w.time(), level)
}

// send delivers a report, and counts the bytes that its evidence adds.
func (n *node) send(to string, evidence map[string]outlier.Evidence, deliver func(*node)) {
	for id, e := range evidence {
		n.w.bytes += EvidenceBytes(e)
		if e.Alive == 0 { // the entry is there only for the evidence
			n.w.bytes += len(id) + 4
		}
	}
	n.w.after(linkDelay, func() {
		deliver(n.w.byName[to])
		n.w.byName[to].judge()
	})
}

// EvidenceBytes returns how many bytes evidence adds to the entry of a target: one for the
// tag and, for values under 128, one for the value of each field that is not 0.
func EvidenceBytes(e outlier.Evidence) int {
	bytes := 0
	for _, v := range []int{e.Failed, e.Succeeded, e.Unanswered, e.Alive} {
		for ; v > 0; v >>= 7 {
			bytes++
		}
	}
	for _, v := range []int{e.Failed, e.Succeeded, e.Unanswered, e.Alive} {
		if v > 0 {
			bytes++
		}
	}
	return bytes
}

func (n *node) judge() {
	w := n.w
	changes := n.table.Judge(w.time())
	for _, c := range changes {
		if c.State == outlier.Ejected {
			w.result.Ejections++
			if !w.faulty[c.Target] {
				w.result.HealthyEjections++
			}
		}
		if c.State == outlier.Admitted {
			w.result.LastVerdict = w.now
		}
	}
	if len(changes) > 0 {
		ejected, onTrial := n.table.VerdictCounts()
		w.result.MaxEjectedShare = max(w.result.MaxEjectedShare, float64(ejected+onTrial)/float64(len(w.engines)))
	}
}

// behaviour draws what a target does with a request.
func (w *world) behaviour(e *engine, dataCentre string) Behaviour {
	if w.Fault == nil {
		return Serve
	}
	b := w.Fault(w.now, e.index, dataCentre, w.rng.Float64())
	if b != Serve {
		w.faulty[e.id] = true
	}
	return b
}

func (e *engine) submit(w *world, c *call) {
	e.waiting = append(e.waiting, c)
	e.start(w)
}

func (e *engine) start(w *world) {
	for e.running < slots && len(e.waiting) > 0 {
		c := e.waiting[0]
		e.waiting = e.waiting[1:]
		if c.ended {
			continue
		}
		c.running = true
		e.running++
		if !c.hang {
			w.after(prefill+time.Duration(e.speed*float64(eventInterval)), func() { e.emit(w, c) })
		}
	}
}

func (e *engine) emit(w *world, c *call) {
	if c.ended {
		return
	}
	c.events--
	w.after(linkDelay, c.onEvent)
	if c.events > 0 {
		w.after(time.Duration(e.speed*float64(eventInterval)), func() { e.emit(w, c) })
		return
	}
	e.remove(w, c)
	w.after(linkDelay, c.onEnd)
}

func (e *engine) remove(w *world, c *call) {
	if c.ended {
		return
	}
	c.ended = true
	if c.running {
		e.running--
		e.start(w)
	}
}
