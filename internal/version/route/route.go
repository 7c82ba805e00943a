// Package route holds one version of the routing configuration: which services
// serve which host and path prefix, and under which policy. Tables are immutable;
// a new version is a new table.
package route

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marblepond/marblepond/internal/request/warmup"
	"github.com/marblepond/marblepond/internal/version/workspace"
)

// Kind is the kind of a route's requests.
type Kind int

// The kinds. An unknown kind counts as NonIdempotent, the strictest one.
const (
	NonIdempotent Kind = iota // runs at most once
	Idempotent                // may run more than once
	Stream                    // answered with a stream of events; runs at most once unless resumable
	Batch                     // accepts jobs
)

// Share is one service of a route and its weight in the traffic split.
type Share struct {
	Service string
	Weight  int
}

// Route is one entry of the table.
type Route struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Shares    []Share
	Kind      Kind
	Resumable bool
	Attempts  int  // bounds the targets that one request may run on
	Priority  int  // 0 is the highest
	Open      bool // callers need no key
	// Timeout bounds the time that a request may wait; 0: no bound.
	Timeout time.Duration
	// Objective is the latency objective for the first event, the complete answer or the
	// acceptance of a job.
	Objective time.Duration
	// GapObjective is the latency objective for each further event.
	GapObjective time.Duration
	// Silence is the time without an event after which callers leave a stream, before its first
	// event too; 0: they wait until their deadline.
	Silence time.Duration
	// Batch routes only.
	CompleteWithin time.Duration // results are due this long after submission
	AbandonAfter   time.Duration // an item may be abandoned this long after submission
	TokenCap       int64         // tokens of one workspace that may wait on the route; 0: no limit
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Resumable }

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the routing configuration.
type Table struct {
	Version int64
	Limits  Limits
	// Workspaces are the workspaces whose requests are served; nil: callers need no key.
	Workspaces *workspace.Index
	// WarmUps holds the slow-start settings of targets, by service.
	WarmUps map[string]warmup.Rate
	// Faults describes the parts of the version that could not be read and are left out.
	Faults []string
	byHost map[string][]*Route // longest prefix first
}

// NewTable returns the table of one version.
func NewTable(version int64, routes []Route, limits Limits) *Table {
	t := &Table{Version: version, Limits: limits, WarmUps: map[string]warmup.Rate{}, byHost: map[string][]*Route{}}
	for i := range routes {
		r := &routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t
}

// Match returns the route of the host with the longest prefix of the path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HasBatch reports whether the host has a batch route.
func (t *Table) HasBatch(host string) bool {
	for _, r := range t.byHost[host] {
		if r.Kind == Batch {
			return true
		}
	}
	return false
}

// ByName returns the route with the name, or nil.
func (t *Table) ByName(name string) *Route {
	for _, list := range t.byHost {
		for _, r := range list {
			if r.Name == name {
				return r
			}
		}
	}
	return nil
}

// Serves reports whether the route leads to a service.
func (r *Route) Serves(service string) bool {
	for _, s := range r.Shares {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return service == r.PickService(0) // of shares without a weight, the last one serves
}

// PickServiceOf returns the service of a request by the ID that its caller gave the first
// attempt, so that all attempts at a stream go to one service while the shares stay the same.
func (r *Route) PickServiceOf(id string) string {
	const draws = 1 << 53 // integers that float64 represents exactly
	return r.PickService(float64(xxhash.Sum64String(id)%draws) / draws)
}

// PickService returns the service of one request, by weight; draw is a random number
// uniform in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	position := int(draw * float64(total))
	for _, s := range r.Shares {
		if position < s.Weight {
			return s.Service
		}
		position -= s.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
