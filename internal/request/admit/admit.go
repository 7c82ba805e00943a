// Package admit does admission control for online requests: limits on concurrent requests
// per node, workspace and service, and whether a request's deadline can still be met. The
// request rate of a workspace is limited over all nodes by package allowance. The package
// is pure. A refusal is immediate and says when to retry.
package admit

import (
	"time"

	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/version/fleet"
	"github.com/marblepond/marblepond/internal/version/workspace"
)

// ServiceState is what the node knows of a service's targets now.
type ServiceState struct {
	Usable     int     // targets that may be chosen
	Capacity   int     // sequences that they can run together
	InFlight   int     // estimated online sequences in flight at them, of all nodes
	Waiting    int     // sequences queued inside the engines
	ServiceSec float64 // mean time of a request at the service, in seconds; 0: not known
	Remote     bool    // another data centre can take the request
	Evacuated  bool    // the own data centre is evacuated
}

// UseRemote reports whether a request goes to another data centre because the own one has
// no usable target or its targets are full.
func (s ServiceState) UseRemote() bool {
	full := s.Capacity > 0 && float64(s.InFlight) >= queueFactor*float64(s.Capacity)
	return s.Remote && (s.Usable == 0 || full)
}

// Request describes an online request to be admitted.
type Request struct {
	Workspace *workspace.Workspace
	Service   *fleet.Service
	Remaining time.Duration // until the deadline
}

// queueFactor is the ratio of in-flight requests to running capacity from which a service
// counts as full. Engines queue what exceeds their capacity; a short queue compensates for
// the lag of load reports, a long one only adds latency.
const queueFactor = 1.25

// Controller is the admission controller of a node. It is not safe for concurrent use.
type Controller struct {
	maxInFlight int
	inFlight    int
	workspaces  map[string]*workspaceCount
	services    map[string]int
}

type workspaceCount struct{ inFlight int }

// New creates a controller with the node's own limit.
func New(maxInFlight int) *Controller {
	return &Controller{maxInFlight: maxInFlight, workspaces: map[string]*workspaceCount{}, services: map[string]int{}}
}

// InFlight returns the number of admitted requests in progress.
func (c *Controller) InFlight() int { return c.inFlight }

// Admit admits the request or returns the refusal as an error. Done must be called once
// for every admitted request.
func (c *Controller) Admit(r Request, s ServiceState) error {
	if c.inFlight >= c.maxInFlight {
		return errkind.Overloaded.New("this node has %d requests in progress, its limit", c.inFlight)
	}
	if err := c.checkService(r, s); err != nil {
		return err
	}
	count := c.countOf(r.Workspace)
	if limit := r.Workspace.MaxInFlight; limit > 0 && count.inFlight >= limit {
		return errkind.RateLimited.New("workspace %s has %d requests in progress, its limit", r.Workspace.Name, count.inFlight)
	}
	if limit := r.Service.MaxInFlight; limit > 0 && c.services[r.Service.Name] >= limit {
		return errkind.Overloaded.New("service %s has its limit of %d requests in progress", r.Service.Name, limit)
	}
	c.inFlight++
	count.inFlight++
	c.services[r.Service.Name]++
	return nil
}

func (c *Controller) checkService(r Request, s ServiceState) error {
	if s.UseRemote() {
		return nil // the other data centre decides on the admission
	}
	if s.Usable == 0 && s.Evacuated {
		return errkind.NoTarget.New("every data centre that can be asked for service %s is evacuated", r.Service.Name)
	}
	if s.Usable == 0 {
		return errkind.NoTarget.New("no target of service %s can take a request", r.Service.Name)
	}
	if s.Capacity == 0 {
		return nil // no load report yet
	}
	if float64(s.InFlight) >= queueFactor*float64(s.Capacity) {
		wait := time.Duration(float64(time.Second) * max(0.5, s.ServiceSec))
		return errkind.WithRetryAfter(errkind.Overloaded.New("service %s is full", r.Service.Name), wait)
	}
	queued := max(0, s.InFlight-s.Capacity)
	wait := time.Duration(float64(queued) / float64(s.Capacity) * s.ServiceSec * float64(time.Second))
	if wait > r.Remaining {
		return errkind.WithRetryAfter(errkind.DeadlineUnmeetable.New("a first token is expected in %v, after the deadline", wait), wait)
	}
	return nil
}

func (c *Controller) countOf(w *workspace.Workspace) *workspaceCount {
	count := c.workspaces[w.Name]
	if count == nil {
		count = &workspaceCount{}
		c.workspaces[w.Name] = count
	}
	return count
}

// Done ends an admitted request.
func (c *Controller) Done(r Request) {
	c.inFlight--
	c.services[r.Service.Name]--
	if count := c.workspaces[r.Workspace.Name]; count != nil {
		count.inFlight--
	}
}
