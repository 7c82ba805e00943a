package lending

import (
	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/request/allowance"
	"github.com/marblepond/marblepond/internal/version/workspace"
)

// Report returns the workspaces for operators: what this node lends of each, or which node
// lends it. address returns the address at which a node accepts calls, "" when it is not
// known.
func (x *Exchange) Report(index *workspace.Index, address func(node string) string) *v1.WorkspacesResponse {
	out := &v1.WorkspacesResponse{}
	if index == nil {
		return out
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	lent := map[string]allowance.Use{}
	for _, use := range x.buckets.Uses(x.Now()) {
		lent[use.Workspace] = use
	}
	for _, name := range index.Names() {
		limit := index.ByName(name).Allowance
		line := &v1.WorkspaceUse{Workspace: name, PerSecond: limit.PerSecond, Burst: limit.Burst}
		if owners := x.Fleet.Owners(name, x.suspected); len(owners) > 0 && owners[0].Node != x.Node {
			line.Lender, line.LenderAddress = owners[0].Node, address(owners[0].Node)
		} else {
			line.Lender, line.LentHere = x.Node, true
			x.fillUse(line, lent[name])
		}
		out.Uses = append(out.Uses, line)
	}
	return out
}

func (x *Exchange) fillUse(line *v1.WorkspaceUse, use allowance.Use) {
	line.Portion, line.Available, line.Taken, line.Refused = use.Portion, use.Level, use.Lent, use.Refused
	line.RefusedAgoMs, line.Refusal = -1, string(use.Cause)
	if !use.RefusedAt.IsZero() {
		line.RefusedAgoMs = x.Now().Sub(use.RefusedAt).Milliseconds()
	}
}
