// Package admit decides whether an online request is taken on: limits per
// node, workspace and service, and whether its deadline can still be met. How many a
// workspace may ask for a second counts over all nodes and is package allowance's.
// It is pure; a refusal is given at once and says when to come back.
package admit

import (
	"time"

	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/version/fleet"
	"github.com/marblepond/marblepond/internal/version/workspace"
)

// ServiceState is what the node knows of a service's targets at this moment.
type ServiceState struct {
	Usable     int     // targets that may be chosen
	Capacity   int     // sequences they can run together
	InFlight   int     // online sequences in flight at them, all nodes, as estimated
	Waiting    int     // sequences queued inside the engines
	ServiceSec float64 // mean time of a request at the service, seconds; 0: not known
	Remote     bool    // another data centre can be asked
	Evacuated  bool    // the own data centre is evacuated
}

// UseRemote reports whether a request is to go to another data centre: the own one
// has no target, or its targets are full.
func (s ServiceState) UseRemote() bool {
	full := s.Capacity > 0 && float64(s.InFlight) >= queueFactor*float64(s.Capacity)
	return s.Remote && (s.Usable == 0 || full)
}

// Request describes the request.
type Request struct {
	Workspace *workspace.Workspace
	Service   *fleet.Service
	Remaining time.Duration // until the deadline
}

// queueFactor is how far in-flight may exceed the running capacity. Engines
// queue the rest; a short queue hides load-report lag, a long one only adds
// to latency.
const queueFactor = 1.25

// Controller holds the counters. It is not safe for concurrent use.
type Controller struct {
	maxInFlight int
	inFlight    int
	workspaces  map[string]*account
	services    map[string]int
}

type account struct{ inFlight int }

// New returns a gate with the node's own limit.
func New(maxInFlight int) *Controller {
	return &Controller{maxInFlight: maxInFlight, workspaces: map[string]*account{}, services: map[string]int{}}
}

// InFlight returns the number of admitted requests in progress.
func (g *Controller) InFlight() int { return g.inFlight }

// Admit takes the request on or returns the refusal. Every admitted request
// must be followed by one Done.
func (g *Controller) Admit(d Request, s ServiceState) error {
	if g.inFlight >= g.maxInFlight {
		return errkind.Overloaded.New("this node has %d requests in progress, its limit", g.inFlight)
	}
	if err := g.checkSupply(d, s); err != nil {
		return err
	}
	a := g.account(d.Workspace)
	if limit := d.Workspace.MaxInFlight; limit > 0 && a.inFlight >= limit {
		return errkind.RateLimited.New("workspace %s has %d requests in progress, its limit", d.Workspace.Name, a.inFlight)
	}
	if limit := d.Service.MaxInFlight; limit > 0 && g.services[d.Service.Name] >= limit {
		return errkind.Overloaded.New("service %s has its limit of %d requests in progress", d.Service.Name, limit)
	}
	g.inFlight++
	a.inFlight++
	g.services[d.Service.Name]++
	return nil
}

func (g *Controller) checkSupply(d Request, s ServiceState) error {
	if s.UseRemote() {
		return nil // the other data centre decides
	}
	if s.Usable == 0 && s.Evacuated {
		return errkind.NoTarget.New("every data centre that can be asked for service %s is evacuated", d.Service.Name)
	}
	if s.Usable == 0 {
		return errkind.NoTarget.New("no target of service %s can take a request", d.Service.Name)
	}
	if s.Capacity == 0 {
		return nil // no load report yet
	}
	if float64(s.InFlight) >= queueFactor*float64(s.Capacity) {
		wait := time.Duration(float64(time.Second) * max(0.5, s.ServiceSec))
		return errkind.WithRetryAfter(errkind.Overloaded.New("service %s is full", d.Service.Name), wait)
	}
	queued := max(0, s.InFlight-s.Capacity)
	wait := time.Duration(float64(queued) / float64(s.Capacity) * s.ServiceSec * float64(time.Second))
	if wait > d.Remaining {
		return errkind.WithRetryAfter(errkind.DeadlineUnmeetable.New("a first token is expected in %v, after the deadline", wait), wait)
	}
	return nil
}

func (g *Controller) account(w *workspace.Workspace) *account {
	a := g.workspaces[w.Name]
	if a == nil {
		a = &account{}
		g.workspaces[w.Name] = a
	}
	return a
}

// Done ends an admitted request.
func (g *Controller) Done(d Request) {
	g.inFlight--
	g.services[d.Service.Name]--
	if a := g.workspaces[d.Workspace.Name]; a != nil {
		a.inFlight--
	}
}
