package hosted

import (
	"slices"
	"time"

	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/process/rendezvous"
	"github.com/marblepond/marblepond/internal/request/job"
)

// Holders implements job.Peers.
func (n *Node) Holders() []string {
	var out []string
	for name, r := range n.registered() {
		if r.Callers && name != n.settings.NodeID {
			out = append(out, r.Address)
		}
	}
	return out
}

// reachableHolders returns the other reachable nodes of this data centre that hold jobs.
func (n *Node) reachableHolders() []string {
	nodes := n.registered()
	var out []string
	for _, name := range n.beacon.ReachableInDataCentre() {
		if nodes[name].Callers {
			out = append(out, name)
		}
	}
	return out
}

// Locator implements job.Peers.
func (n *Node) Locator(job string) string {
	candidates := append(n.reachableHolders(), n.settings.NodeID)
	if n.SharedView() {
		candidates = n.sweepers() // they know the heads from their lists
	}
	locator := rendezvous.First(job, candidates)
	if locator == n.settings.NodeID {
		return ""
	}
	return n.registered()[locator].Address
}

const (
	// maxAdoptRank is the last rank in the order in which nodes may take over a job; all
	// further nodes share it.
	maxAdoptRank = 5
	// sweepersPerDataCentre is how many nodes of a data centre scan for lost jobs: one for
	// each rank. A scan lists the heads of all jobs, which costs a call to the object store
	// for each page, and 250 nodes that scan find no more than 30 do.
	sweepersPerDataCentre = maxAdoptRank + 1
	// sharedSweepersPerDataCentre is the same with the shared view on. Such a fleet has
	// several data centres and so enough sweepers, and heads that contain the items of small
	// jobs. A sweeper that is lost is replaced by the next node.
	sharedSweepersPerDataCentre = 2
)

// sweepers returns the nodes of this data centre that scan for lost jobs.
func (n *Node) sweepers() []string {
	return selectSweepers(append(n.reachableHolders(), n.settings.NodeID), n.SharedView())
}

// selectSweepers returns which of the nodes of a data centre scan for lost jobs.
func selectSweepers(nodes []string, shared bool) []string {
	count := sweepersPerDataCentre
	if shared {
		count = sharedSweepersPerDataCentre
	}
	return rendezvous.Rank(job.KindHeads, nodes, count)
}

// IsSweeper implements job.Peers.
func (n *Node) IsSweeper() bool { return slices.Contains(n.sweepers(), n.settings.NodeID) }

// AdoptRank implements job.Peers.
func (n *Node) AdoptRank(job string) int {
	sweepers := n.sweepers()
	if !slices.Contains(sweepers, n.settings.NodeID) {
		return maxAdoptRank
	}
	centre := rendezvous.Place(job, n.settings.DataCentre, n.beacon.ReachableDataCentres(), maxAdoptRank)
	return min(maxAdoptRank, centre+rendezvous.Place(job, n.settings.NodeID, sweepers, maxAdoptRank))
}

// Checkpoints implements job.Peers.
func (n *Node) Checkpoints(address string) marblepondv1connect.CheckpointServiceClient {
	return n.peers.checkpoints.at(address)
}

// UnreachableSince implements job.Peers.
func (n *Node) UnreachableSince(node string) (time.Time, bool) {
	return n.beacon.UnreachableSince(node)
}

// keepersPerJob is how many nodes store a job's checkpoint: one in the data centre of its
// holder, for low latency, and one in another, for the loss of a disk or of the data centre.
const keepersPerJob = 2

// Keepers implements job.Peers. It prefers nodes that serve no callers: they have a disk, so
// that the checkpoints survive a restart of the whole deployment. If this data centre or the
// others have none, it uses a node of this data centre that serves callers, which covers the
// loss of one node.
func (n *Node) Keepers(job string, present []string, usable func(address string) bool) []string {
	nodes := n.registered()
	reachable := n.beacon.ReachableInDataCentre()
	reachableCentres := n.beacon.ReachableDataCentres()
	var localDisk, remoteDisk, localMemory []string // names, by preference
	for name, r := range nodes {
		// A present keeper stays until it fails, because each change costs a write of the head.
		isPresent := slices.Contains(present, r.Address)
		sameDataCentre := r.DataCentre == n.settings.DataCentre
		switch {
		case name == n.settings.NodeID || !usable(r.Address):
		case sameDataCentre && !isPresent && !slices.Contains(reachable, name):
		case sameDataCentre && !r.Callers:
			localDisk = append(localDisk, name)
		case sameDataCentre:
			localMemory = append(localMemory, name)
		case !r.Callers && (isPresent || slices.Contains(reachableCentres, r.DataCentre)):
			remoteDisk = append(remoteDisk, name)
		}
	}
	var out []string
	for _, names := range [][]string{localDisk, remoteDisk, localMemory} {
		if len(names) > 0 && len(out) < keepersPerJob {
			out = append(out, selectKeeper(job, names, nodes, present))
		}
	}
	return out
}

// selectKeeper returns the address of one of the nodes named: that of a present keeper, or
// else that of the first in the job's rendezvous order.
func selectKeeper(job string, names []string, nodes map[string]nodeRecord, present []string) string {
	for _, name := range names {
		if slices.Contains(present, nodes[name].Address) {
			return nodes[name].Address
		}
	}
	return nodes[rendezvous.First(job, names)].Address
}
