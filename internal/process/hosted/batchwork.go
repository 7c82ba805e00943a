package hosted

import (
	"sync"

	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/job"
)

// batchWork tells other nodes of this node's batch work and takes what they
// tell; it implements beacon.BatchWork. From that the room for items at each
// target is dealt out: first to data centres, then to the nodes of each.
type batchWork struct {
	node *Node

	mu      sync.Mutex
	nodes   map[string]choose.Claim // other nodes of this data centre
	centres map[string]choose.Claim // other data centres
}

func newBatchWork(n *Node) *batchWork {
	return &batchWork{node: n, nodes: map[string]choose.Claim{}, centres: map[string]choose.Claim{}}
}

// Own implements beacon.BatchWork.
func (w *batchWork) Own() choose.Claim { return choose.Claim{Demand: w.node.jobs.Demand()} }

// Here implements beacon.BatchWork.
func (w *batchWork) Here() choose.Claim {
	demand := 0
	for _, claim := range w.claimsHere() {
		demand += claim
	}
	room := w.node.pool.BatchRoom(w.node.settings.DataCentre)
	return choose.Claim{Demand: demand, Overflow: max(0, demand-room)}
}

// Announced implements beacon.BatchWork.
func (w *batchWork) Announced() []string { return w.node.jobs.Announced() }

// HeardNode implements beacon.BatchWork.
func (w *batchWork) HeardNode(node string, b choose.Claim) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[node] = b
}

// HeardDataCentre implements beacon.BatchWork.
func (w *batchWork) HeardDataCentre(name string, b choose.Claim) {
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

// claims returns what is known of the batch work on the fleet's targets.
func (w *batchWork) claims() choose.Claims {
	self := w.node.settings
	claims := choose.Claims{Node: self.NodeID, DataCentre: self.DataCentre, Nodes: w.claimsHere(), Centres: map[string]choose.Claim{self.DataCentre: w.Here()}}
	heard := w.node.beacon.HeardDataCentres()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range heard {
		claims.Centres[name] = w.centres[name]
	}
	return claims
}

// shares implements job.Parts.Shares: nodes together never send a target more
// items than it has room for beside online requests, and need not ask each other.
func (w *batchWork) shares() func(t choose.Target) int {
	claims, reserve := w.claims(), w.node.pool.Reserve()
	return func(t choose.Target) int { return claims.Share(t, t.Slots-reserve(t)) }
}
