package node

import (
	"net/http"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/peer"
	"github.com/marblepond/marblepond/internal/process/crashes"
	"github.com/marblepond/marblepond/internal/process/member"
	"github.com/marblepond/marblepond/internal/request/quarantine"
)

func (n *Node) newCrashWatch(client *http.Client) *crashes.Watch {
	s := n.settings
	return crashes.New(crashes.Options{Config: quarantine.Config{Limit: s.CrashLimit, Retention: s.CrashMemory}, Now: n.clock.Now,
		Serving: n.targets.TargetCount, Leaving: n.targets.Leaving, OnChange: func() {}, // the next heartbeat sends the digest
		Client: func(node string) (marblepondv1connect.QuarantineServiceClient, bool) {
			address := peerAddress(n.membership.View(), node)
			return marblepondv1connect.NewQuarantineServiceClient(client, "http://"+address, peer.ClientOptions(s.PeerKey)...), address != ""
		}, Recorder: n.recorder, Metrics: n.metrics.scope})
}

// peerAddress returns the peer address of a node, "" if it is unknown.
func peerAddress(view *member.View, node string) string {
	for _, list := range [][]member.Member{view.Members, view.Contacts} {
		for _, m := range list {
			if m.ID == node {
				return m.PeerAddr
			}
		}
	}
	return ""
}

// crashDigest adds the digest of the known crashes of targets to heartbeats.
type crashDigest struct{ crashes *crashes.Watch }

// Pack implements membership.Payload.
func (c crashDigest) Pack(state *v1.HeartbeatRequest, _, _ bool) { state.Crashes = c.crashes.Digest() }

// Unpack implements membership.Payload.
func (c crashDigest) Unpack(from *v1.NodeInfo, state *v1.HeartbeatRequest) {
	c.crashes.ReceiveDigest(from.Id, state.Crashes)
}
