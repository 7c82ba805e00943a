package hosted

import (
	"sync"

	"github.com/marblepond/marblepond/internal/connection/beacon"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/job"
)

// batchWork reports this node's batch work to other nodes and keeps their reports; it
// implements beacon.BatchWork. From the reports it allots the slots for items at each
// target: first to data centres, then to the groups of each, then to the nodes of each group.
type batchWork struct {
	node *Node

	mu      sync.Mutex
	nodes   batchReports // of other nodes of this node's group
	groups  batchReports // of other groups of this data centre
	centres batchReports // of other data centres
}

// batchReports are the newest reports of others on their batch work, by name.
type batchReports map[string]beacon.BatchReport

func newBatchWork(n *Node) *batchWork {
	return &batchWork{node: n, nodes: batchReports{}, groups: batchReports{}, centres: batchReports{}}
}

// OfNode implements beacon.BatchWork.
func (w *batchWork) OfNode() beacon.BatchReport {
	return beacon.BatchReport{Claim: choose.Claim{Demand: w.node.jobs.Demand()}}
}

// OfGroup implements beacon.BatchWork.
func (w *batchWork) OfGroup() beacon.BatchReport {
	return beacon.BatchReport{Claim: choose.Claim{Demand: total(w.demandByNode())}}
}

// OfDataCentre implements beacon.BatchWork.
func (w *batchWork) OfDataCentre() beacon.BatchReport {
	return beacon.BatchReport{Claim: w.ownClaim()}
}

// ownClaim returns the demand of this data centre, and the part beyond its capacity.
func (w *batchWork) ownClaim() choose.Claim {
	demand := total(w.demandByGroup())
	capacity := w.node.pool.BatchCapacity(w.node.settings.DataCentre)
	return choose.Claim{Demand: demand, Overflow: max(0, demand-capacity)}
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
	w.receive(w.nodes, node, b)
}

// ReceiveGroup implements beacon.BatchWork.
func (w *batchWork) ReceiveGroup(group string, b beacon.BatchReport) {
	w.receive(w.groups, group, b)
}

// ReceiveDataCentre implements beacon.BatchWork.
func (w *batchWork) ReceiveDataCentre(name string, b beacon.BatchReport) {
	w.receive(w.centres, name, b)
}

func (w *batchWork) receive(reports batchReports, name string, b beacon.BatchReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reports[name] = b
}

// ReceiveJobs implements beacon.BatchWork.
func (w *batchWork) ReceiveJobs(node string, jobs []string) {
	if r, ok := w.node.registered()[node]; ok {
		w.node.jobs.ObserveHolder(job.Holder{Node: node, Boot: r.Boot, Address: r.Address}, jobs)
	}
}

// demandByNode returns the number of waiting and running items of each reachable node of
// this node's group, and of this node.
func (w *batchWork) demandByNode() map[string]int {
	demand := map[string]int{w.node.settings.NodeID: w.node.jobs.Demand()}
	reachable := w.node.beacon.ReachableInGroup()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range reachable {
		demand[name] = w.nodes[name].Demand
	}
	return demand
}

// demandByGroup returns the same of each reachable group of this data centre, and of this
// node's group.
func (w *batchWork) demandByGroup() map[string]int {
	demand := map[string]int{w.node.view.Load().Group(): total(w.demandByNode())}
	reachable := w.node.beacon.ReachableGroups()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range reachable {
		demand[name] = w.groups[name].Demand
	}
	return demand
}

// claims returns what this node knows of the batch work of all nodes.
func (w *batchWork) claims() choose.Claims {
	self := w.node.settings
	claims := choose.Claims{Node: self.NodeID, Group: w.node.view.Load().Group(), DataCentre: self.DataCentre,
		Nodes: w.demandByNode(), Groups: w.demandByGroup(), Centres: map[string]choose.Claim{self.DataCentre: w.ownClaim()}}
	reachable := w.node.beacon.ReachableDataCentres()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range reachable {
		claims.Centres[name] = w.centres[name].Claim
	}
	return claims
}

// allotments implements job.Dependencies.Allotments: all nodes together never send a target
// more items than it has slots beside the reserve for online requests, without coordinating
// each item.
func (w *batchWork) allotments() func(t choose.Target) int {
	claims, reserve := w.claims(), w.node.pool.Reserve()
	return func(t choose.Target) int { return claims.Share(t, t.Slots-reserve(t)) }
}
