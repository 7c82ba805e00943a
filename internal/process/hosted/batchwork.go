package hosted

import (
	"sync"

	"github.com/marblepond/marblepond/internal/connection/beacon"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/job"
)

// batchWork tells other nodes of this node's batch work and takes what they
// tell; it implements beacon.BatchWork. From that the room for items at each
// target is dealt out: first to data centres, then to the groups of each, then to
// the nodes of each group.
type batchWork struct {
	node *Node

	mu      sync.Mutex
	nodes   batchWords // of other nodes of this node's group
	groups  batchWords // of other groups of this data centre
	centres batchWords // of other data centres
}

// batchWords are the newest words of others on their batch work.
type batchWords map[string]beacon.BatchReport

func newBatchWork(n *Node) *batchWork {
	return &batchWork{node: n, nodes: batchWords{}, groups: batchWords{}, centres: batchWords{}}
}

// OfNode implements beacon.BatchWork.
func (w *batchWork) OfNode() beacon.BatchReport {
	return beacon.BatchReport{Claim: choose.Claim{Demand: w.node.jobs.Demand()}}
}

// OfGroup implements beacon.BatchWork.
func (w *batchWork) OfGroup() beacon.BatchReport {
	return beacon.BatchReport{Claim: choose.Claim{Demand: total(w.claimsInGroup())}}
}

// OfDataCentre implements beacon.BatchWork.
func (w *batchWork) OfDataCentre() beacon.BatchReport {
	return beacon.BatchReport{Claim: w.claimHere()}
}

func (w *batchWork) claimHere() choose.Claim {
	demand := total(w.claimsOfGroups())
	room := w.node.pool.BatchCapacity(w.node.settings.DataCentre)
	return choose.Claim{Demand: demand, Overflow: max(0, demand-room)}
}

func total(demands map[string]int) int {
	sum := 0
	for _, demand := range demands {
		sum += demand
	}
	return sum
}

// Announced implements beacon.BatchWork.
func (w *batchWork) Announced() []string { return w.node.jobs.Announced() }

// JoinGroup implements beacon.BatchWork.
func (w *batchWork) JoinGroup() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.nodes)
	clear(w.groups)
}

// ReceiveNode implements beacon.BatchWork.
func (w *batchWork) ReceiveNode(node string, b beacon.BatchReport) {
	w.hear(w.nodes, node, b)
}

// ReceiveGroup implements beacon.BatchWork.
func (w *batchWork) ReceiveGroup(group string, b beacon.BatchReport) {
	w.hear(w.groups, group, b)
}

// ReceiveDataCentre implements beacon.BatchWork.
func (w *batchWork) ReceiveDataCentre(name string, b beacon.BatchReport) {
	w.hear(w.centres, name, b)
}

func (w *batchWork) hear(words batchWords, name string, b beacon.BatchReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	words[name] = b
}

// ReceiveJobs implements beacon.BatchWork.
func (w *batchWork) ReceiveJobs(node string, jobs []string) {
	if r, ok := w.node.registered()[node]; ok {
		w.node.jobs.ObserveHolder(job.Holder{Node: node, Boot: r.Boot, Address: r.Address}, jobs)
	}
}

// claimsInGroup returns the items of each node of this node's group that is
// heard, and of this one.
func (w *batchWork) claimsInGroup() map[string]int {
	claims := map[string]int{w.node.settings.NodeID: w.node.jobs.Demand()}
	heard := w.node.beacon.ReachableInGroup()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range heard {
		claims[name] = w.nodes[name].Demand
	}
	return claims
}

// claimsOfGroups returns the items of each group of this data centre that is
// heard, and of this node's.
func (w *batchWork) claimsOfGroups() map[string]int {
	claims := map[string]int{w.node.view.Load().Group(): total(w.claimsInGroup())}
	heard := w.node.beacon.ReachableGroups()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range heard {
		claims[name] = w.groups[name].Demand
	}
	return claims
}

// claims returns what is known of the batch work on the fleet's targets.
func (w *batchWork) claims() choose.Claims {
	self := w.node.settings
	claims := choose.Claims{Node: self.NodeID, Group: w.node.view.Load().Group(), DataCentre: self.DataCentre,
		Nodes: w.claimsInGroup(), Groups: w.claimsOfGroups(), Centres: map[string]choose.Claim{self.DataCentre: w.claimHere()}}
	heard := w.node.beacon.ReachableDataCentres()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range heard {
		claims.Centres[name] = w.centres[name].Claim
	}
	return claims
}

// shares implements job.Dependencies.Allotments: nodes together never send a target more
// items than it has room for beside online requests, and need not ask each other.
func (w *batchWork) shares() func(t choose.Target) int {
	claims, reserve := w.claims(), w.node.pool.Reserve()
	return func(t choose.Target) int { return claims.Share(t, t.Slots-reserve(t)) }
}
