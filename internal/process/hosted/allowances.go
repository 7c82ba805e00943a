package hosted

import (
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/connection/lending"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/allowance"
	"github.com/marblepond/marblepond/internal/version/workspace"
)

// newLending returns the exchange that lends and borrows tokens of workspaces' allowances.
func (n *Node) newLending() *lending.Exchange {
	s := n.settings
	n.lenders.Store(n.lendersOf(nil))
	return lending.New(lending.Options{Node: s.NodeID, DataCentre: s.DataCentre, Boot: n.boot, Now: n.clock.Now, Fleet: lendingFleet{n}, Limit: n.allowanceOf, Metrics: n.metrics, SharedView: n.SharedView, Random: rand.Float64, Exceeds: n.logExceeding,
		Tolerance: allowance.Tolerance{Window: s.AllowanceWindow, Share: s.AllowanceTolerance, Slack: float64(s.AllowanceSlack)}})
}

// logExceeding records that a workspace exceeds its allowance. used is the number of tokens that
// this node lent in the last window.
func (n *Node) logExceeding(name string, limit workspace.Allowance, used int) {
	n.recorder.Record(timeline.WorkspaceExceeds, "", name, "", field("per_second", limit.PerSecond), field("burst", limit.Burst), field("used", used))
}

// Allowances returns the exchange that enforces the allowances (rate limits) of workspaces.
func (n *Node) Allowances() *lending.Exchange { return n.lending }

// allowanceOf returns the allowance of a workspace in force; false: the workspace is unknown.
func (n *Node) allowanceOf(name string) (workspace.Allowance, bool) {
	table := n.Table()
	if table == nil || table.Workspaces == nil {
		return workspace.Allowance{}, false
	}
	w := table.Workspaces.ByName(name)
	if w == nil {
		return workspace.Allowance{}, false
	}
	return w.Allowance, true
}

// lendersOf returns the nodes that serve callers and receive borrow requests. This node, if
// it serves callers, is among them even if its registration is not listed yet.
func (n *Node) lendersOf(nodes map[string]nodeRecord) *lending.Lenders {
	var list []lending.Lender
	if n.settings.CallerListen != "" {
		list = append(list, lending.Lender{Node: n.settings.NodeID, DataCentre: n.settings.DataCentre})
	}
	for name, r := range nodes {
		if name == n.settings.NodeID || !r.Callers || r.Lending == "" {
			continue
		}
		address, err := net.ResolveUDPAddr("udp", r.Lending)
		if err != nil {
			n.recorder.Record(timeline.ObjectRejected, "", name, err.Error())
			continue
		}
		list = append(list, lending.Lender{Node: name, DataCentre: r.DataCentre, Address: address})
	}
	return lending.NewLenders(list)
}

// lendingFleet implements lending.Fleet.
type lendingFleet struct{ n *Node }

func (f lendingFleet) Owners(name string, skip func(node string) bool) []lending.Lender {
	inDataCentre := map[string]bool{f.n.settings.NodeID: true}
	for _, node := range f.n.beacon.ReachableInDataCentre() {
		inDataCentre[node] = true
	}
	return f.n.lenders.Load().Owners(name, func(l lending.Lender) bool {
		reachable := inDataCentre[l.Node] || (l.DataCentre != f.n.settings.DataCentre && f.Reachable(l.DataCentre))
		return reachable && !skip(l.Node)
	})
}

func (f lendingFleet) PreferredOwner(name string) lending.Lender {
	return f.n.lenders.Load().PreferredOwner(name)
}
func (f lendingFleet) Nodes() map[string]int { return f.n.lenders.Load().Nodes() }

// reachableShare returns the share of the nodes that are in reachable data centres.
func (f lendingFleet) reachableShare() float64 {
	reachable, all := 0, 0
	for dc, n := range f.Nodes() {
		all += n
		if dc == f.n.settings.DataCentre || f.Reachable(dc) {
			reachable += n
		}
	}
	if all == 0 {
		return 1
	}
	return float64(reachable) / float64(all)
}

func (f lendingFleet) Reachable(dataCentre string) bool {
	return slices.Contains(f.n.beacon.ReachableDataCentres(), dataCentre)
}
func (f lendingFleet) LastReceived(dataCentre string) time.Time {
	return f.n.beacon.DataCentreLastReceived(dataCentre)
}
