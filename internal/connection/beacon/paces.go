package beacon

import (
	"math"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/request/choose"
)

// pacesInterval is the time between two reports of one scope that include paces.
const pacesInterval = time.Second

// withPaces returns a function that composes a report and includes paces if they are due.
func (x *Exchange) withPaces(report func() *v1.Beacon) func() *v1.Beacon {
	return func() *v1.Beacon {
		m := report()
		if x.Paces == nil || time.Since(x.pacesSent[m.Scope]) < pacesInterval {
			return m
		}
		x.pacesSent[m.Scope] = time.Now()
		m.Paces, m.Services = packPaces(x.ownPaces(m.Scope))
		return m
	}
}

func (x *Exchange) ownPaces(scope v1.Scope) choose.PaceReport {
	switch scope {
	case v1.Scope_SCOPE_GROUP:
		return x.Paces.GroupPaces()
	case v1.Scope_SCOPE_DATA_CENTRE:
		return x.Paces.DataCentrePaces()
	}
	return x.Paces.NodePaces()
}

// packPaces rounds the weighted numbers of measurements to whole ones and keeps their means.
func packPaces(r choose.PaceReport) (paces []*v1.TargetPace, services []*v1.ServiceTimes) {
	for id, sum := range r.Targets {
		count := math.Round(sum.Count)
		if count < 1 {
			continue
		}
		total := float64(sum.Total.Milliseconds()) * count / sum.Count
		paces = append(paces, &v1.TargetPace{Target: id, Events: uint32(count), TotalMs: uint32(math.Round(total))})
	}
	for name, sums := range r.Services {
		s := &v1.ServiceTimes{Service: name}
		s.FirstEvents, s.FirstEventMs = packMean(sums.FirstEvent)
		s.Answers, s.HoldMs = packMean(sums.Hold)
		services = append(services, s)
	}
	return paces, services
}

func packMean(sum choose.Sum) (count, meanMS uint32) {
	rounded := math.Round(sum.Count)
	if rounded < 1 {
		return 0, 0
	}
	return uint32(rounded), uint32(math.Round(float64(sum.Total.Milliseconds()) / sum.Count))
}

func unpackPaces(m *v1.Beacon) choose.PaceReport {
	r := choose.PaceReport{Targets: make(map[string]choose.Sum, len(m.Paces)), Services: make(map[string]choose.ServiceSums, len(m.Services))}
	for _, p := range m.Paces {
		r.Targets[p.Target] = choose.Sum{Count: float64(p.Events), Total: time.Duration(p.TotalMs) * time.Millisecond}
	}
	for _, s := range m.Services {
		r.Services[s.Service] = choose.ServiceSums{FirstEvent: unpackMean(s.FirstEvents, s.FirstEventMs), Hold: unpackMean(s.Answers, s.HoldMs)}
	}
	return r
}

func unpackMean(count, meanMS uint32) choose.Sum {
	return choose.Sum{Count: float64(count), Total: time.Duration(count) * time.Duration(meanMS) * time.Millisecond}
}

// applyPaces takes the paces of a datagram. A report from a node that divides the data
// centre into another number of groups is ignored, as its loads are.
func (x *Exchange) applyPaces(m *v1.Beacon) {
	if x.Paces == nil || len(m.Paces)+len(m.Services) == 0 {
		return
	}
	view := x.View()
	group := view.groupOf(m.Node)
	switch {
	case m.DataCentre != x.DataCentre:
		x.Paces.SetDataCentrePaces(m.DataCentre, unpackPaces(m))
	case int(m.Groups) != view.groups:
	case m.Scope == v1.Scope_SCOPE_NODE && group == view.group:
		x.Paces.SetNodePaces(m.Node, unpackPaces(m))
	case m.Scope == v1.Scope_SCOPE_GROUP && group != view.group:
		x.Paces.SetGroupPaces(groupName(group), unpackPaces(m))
	}
}
