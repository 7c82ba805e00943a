package hosted

import (
	"sync"

	"github.com/marblepond/marblepond/internal/connection/beacon"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/job"
)

// batchWork tells other nodes of this node's batch work and takes what they
// tell; it implements beacon.BatchWork. From that the room for items at each
// target is dealt out: first to data centres, then to the nodes of each.
type batchWork struct {
	node *Node

	mu      sync.Mutex
	nodes   map[string]beacon.Batch // other nodes of this data centre
	centres map[string]beacon.Batch // other data centres
}

func newBatchWork(n *Node) *batchWork {
	return &batchWork{node: n, nodes: map[string]beacon.Batch{}, centres: map[string]beacon.Batch{}}
}

// Own implements beacon.BatchWork.
func (w *batchWork) Own() beacon.Batch { return beacon.Batch{Demand: w.node.jobs.Demand()} }

// Here implements beacon.BatchWork.
func (w *batchWork) Here() beacon.Batch {
	demand := 0
	for _, claim := range w.claimsHere() {
		demand += claim
	}
	room := w.node.pool.BatchRoom(w.node.settings.DataCentre)
	return beacon.Batch{Demand: demand, Overflow: max(0, demand-room)}
}

// Announced implements beacon.BatchWork.
func (w *batchWork) Announced() []string { return w.node.jobs.Announced() }

// HeardNode implements beacon.BatchWork.
func (w *batchWork) HeardNode(node string, b beacon.Batch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[node] = b
}

// HeardDataCentre implements beacon.BatchWork.
func (w *batchWork) HeardDataCentre(name string, b beacon.Batch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.centres[name] = b
}

// HeardJobs implements beacon.BatchWork.
func (w *batchWork) HeardJobs(node string, jobs []string) {
	if r, ok := w.node.registered()[node]; ok {
		w.node.jobs.HeldBy(job.Holder{Node: node, Boot: r.Boot, Address: r.Address}, jobs)
	}
}

// claimsHere returns the items of each node of this data centre that is heard,
// and of this one.
func (w *batchWork) claimsHere() map[string]int {
	claims := map[string]int{w.node.settings.NodeID: w.node.jobs.Demand()}
	heard := w.node.beacon.HeardNear()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range heard {
		claims[name] = w.nodes[name].Demand
	}
	return claims
}

// claimsOn returns the claims of data centres on the targets of one of them: all
// of its own items, and those of others that find no room at home.
func (w *batchWork) claimsOn(dataCentre string, here beacon.Batch) map[string]int {
	self := w.node.settings.DataCentre
	words := map[string]beacon.Batch{self: here}
	heard := w.node.beacon.HeardDataCentres()
	w.mu.Lock()
	for _, name := range heard {
		words[name] = w.centres[name]
	}
	w.mu.Unlock()
	claims := make(map[string]int, len(words))
	for name, word := range words {
		claims[name] = word.Overflow
		if name == dataCentre {
			claims[name] = word.Demand
		}
	}
	return claims
}

// shares implements job.Parts.Shares: nodes together never send a target more
// items than it has room for beside online requests, and need not ask each other.
func (w *batchWork) shares() func(t choose.Target) int {
	here, nodes := w.Here(), w.claimsHere()
	self := w.node.settings
	byDataCentre := map[string]map[string]int{}
	reserve := w.node.pool.Reserve()
	return func(t choose.Target) int {
		claims := byDataCentre[t.DataCentre]
		if claims == nil {
			claims = w.claimsOn(t.DataCentre, here)
			byDataCentre[t.DataCentre] = claims
		}
		room := choose.Deal(t.ID, t.Slots-reserve(t), self.DataCentre, claims)
		return choose.Deal(t.ID, room, self.NodeID, nodes)
	}
}
