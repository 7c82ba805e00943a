package node

import (
	"net/http"
	"sync/atomic"

	"github.com/marblepond/marblepond/internal/connection/openai"
	"github.com/marblepond/marblepond/internal/process/member"
	"github.com/marblepond/marblepond/internal/request/choose"
)

// remotes offers nodes of other data centres in place of targets, for requests that the
// node's own data centre has no target or no capacity for.
type remotes struct{ node *Node }

// nextRemote rotates over the contacts, so that successive requests go to different nodes.
var nextRemote atomic.Uint64

// Reachable implements run.Remote.
func (r *remotes) Reachable() bool {
	for _, c := range r.node.membership.View().Contacts {
		if r.usable(c) {
			return true
		}
	}
	return false
}

func (r *remotes) usable(c member.Member) bool {
	return !c.Leaving && c.State != member.Dead && c.CallerAddr != "" && !r.node.config.Current().IsEvacuated(c.DataCentre)
}

// Next implements run.Remote.
func (r *remotes) Next(workspace string, exclude map[string]bool) (choose.Target, http.Header, bool) {
	contacts := r.node.membership.View().Contacts
	if len(contacts) == 0 {
		return choose.Target{}, nil, false
	}
	turn := int(nextRemote.Add(1))
	for i := range contacts {
		c := contacts[(turn+i)%len(contacts)]
		if exclude[c.ID] || !r.usable(c) {
			continue
		}
		header := http.Header{}
		header.Set(openai.HeaderForwarded, r.node.settings.PeerKey)
		header.Set(openai.HeaderWorkspace, workspace)
		return choose.Target{ID: c.ID, Addr: c.CallerAddr, DataCentre: c.DataCentre, Remote: true}, header, true
	}
	return choose.Target{}, nil, false
}
