package hosted

import (
	"net/http"

	"github.com/marblepond/marblepond/internal/connection/intake"
	"github.com/marblepond/marblepond/internal/process/callers"
	"github.com/marblepond/marblepond/internal/version/route"
)

// maxHeader bounds the header of a request in bytes for all configurations; the gate enforces the
// configured limit.
const maxHeader = 1 << 20

func (n *Node) newCallerServer(handler http.Handler) *callers.Server {
	return callers.NewServer(&http.Server{Handler: handler, MaxHeaderBytes: maxHeader}, n.callerMemory, n.settings)
}

// setCallerLimits applies the limits of the configuration in force.
func (n *Node) setCallerLimits(l route.Limits) {
	n.callers.Gate.SetLimits(intake.Limits{HeaderBytes: l.HeaderBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout})
}
