package choose

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxReportedPaces is the largest number of targets in a report on paces, some 30 bytes
	// each. Half of them are those that changed or deviate most, the others take turns.
	maxReportedPaces = 16
	// minReportedIntervals is the weighted number of intervals below which a target is left
	// out of a report.
	minReportedIntervals = 2
)

// PaceReport is what a node, a group or a data centre measured of the pace of targets and
// of the times of services. It is not complete: what it leaves out stays as last reported.
type PaceReport struct {
	Targets  map[string]Sum // intervals between events, by target
	Services map[string]ServiceSums
}

// ServiceSums are the times of the online requests of a service, at a target of relative
// pace 1.
type ServiceSums struct {
	FirstEvent Sum // time to the first event of requests that found a free slot
	Hold       Sum // time for which a request holds a slot, without the time in a queue
}

func (s ServiceSums) plus(o ServiceSums) ServiceSums {
	return ServiceSums{s.FirstEvent.plus(o.FirstEvent), s.Hold.plus(o.Hold)}
}

// reportedPaces is what one reporter last stated of each target and service.
type reportedPaces struct {
	targets  map[string]decaying
	services map[string]reportedService
}

type reportedService struct {
	sums ServiceSums
	at   time.Time
}

// paceReporters are the reports by name of the node, group or data centre.
type paceReporters map[string]reportedPaces

// paces is what a table knows of the pace of targets.
type paces struct {
	services               map[string]*serviceTimes // own measurements
	sums                   map[string]ServiceSums   // of all nodes, by service
	nodes, groups, centres paceReporters
	refreshed              time.Time
	sent                   [3]sentPaces // by scope: node, group, data centre
}

// sentPaces is what the last reports of one scope stated.
type sentPaces struct {
	means map[string]time.Duration // by target
	next  string                   // the targets that take turns continue with this one
}

func newPaces() paces {
	p := paces{services: map[string]*serviceTimes{}, sums: map[string]ServiceSums{}, nodes: paceReporters{}, groups: paceReporters{}, centres: paceReporters{}}
	for i := range p.sent {
		p.sent[i].means = map[string]time.Duration{}
	}
	return p
}

// SetNodePaces takes the report of another node of this node's group, SetGroupPaces that of
// another group of this data centre, and SetDataCentrePaces that of another data centre.
// Reports are dropped with the counts in flight of the reporter, see SetNode.
func (t *Table) SetNodePaces(now time.Time, node string, r PaceReport) {
	t.paces.nodes.update(now, node, r)
	t.refreshPaces(now)
}

// SetGroupPaces is SetNodePaces for another group.
func (t *Table) SetGroupPaces(now time.Time, group string, r PaceReport) {
	t.paces.groups.update(now, group, r)
	t.refreshPaces(now)
}

// SetDataCentrePaces is SetNodePaces for another data centre.
func (t *Table) SetDataCentrePaces(now time.Time, name string, r PaceReport) {
	t.paces.centres.update(now, name, r)
	t.refreshPaces(now)
}

func (p paceReporters) update(now time.Time, name string, r PaceReport) {
	reported, ok := p[name]
	if !ok {
		reported = reportedPaces{map[string]decaying{}, map[string]reportedService{}}
		p[name] = reported
	}
	for id, sum := range r.Targets {
		reported.targets[id] = decaying{sum, now}
	}
	for service, sums := range r.Services {
		reported.services[service] = reportedService{sums, now}
	}
}

// removeExpired drops what was reported longer than paceReportExpiry ago.
func (p *paces) removeExpired(now time.Time) {
	for _, reporters := range []paceReporters{p.nodes, p.groups, p.centres} {
		for _, reported := range reporters {
			maps.DeleteFunc(reported.targets, func(_ string, d decaying) bool { return now.Sub(d.at) > paceReportExpiry })
			maps.DeleteFunc(reported.services, func(_ string, s reportedService) bool { return now.Sub(s.at) > paceReportExpiry })
		}
	}
}

// NodePaces returns the next report on this node, to be sent once a second; it is empty
// unless the shared view is on.
func (t *Table) NodePaces(now time.Time) PaceReport { return t.paceReport(now, 0) }

// GroupPaces is NodePaces for this node's group.
func (t *Table) GroupPaces(now time.Time) PaceReport { return t.paceReport(now, 1, t.paces.nodes) }

// DataCentrePaces is NodePaces for this node's data centre.
func (t *Table) DataCentrePaces(now time.Time) PaceReport {
	return t.paceReport(now, 2, t.paces.nodes, t.paces.groups)
}

func (t *Table) paceReport(now time.Time, scope int, reporters ...paceReporters) PaceReport {
	if !t.sharedView {
		return PaceReport{}
	}
	t.refreshPaces(now)
	report := PaceReport{t.selectPaces(&t.paces.sent[scope], t.sumIntervals(now, reporters)), map[string]ServiceSums{}}
	for service := range t.byService {
		if sums := t.sumService(now, service, reporters...); sums.Hold.Count+sums.FirstEvent.Count >= 1 {
			report.Services[service] = sums
		}
	}
	return report
}

// sumIntervals returns what this node and the given reporters measured, by target.
func (t *Table) sumIntervals(now time.Time, reporters []paceReporters) map[string]Sum {
	out := map[string]Sum{}
	for id, e := range t.entries {
		out[id] = e.intervals.value(now, intervalHalfLife)
	}
	for _, r := range reporters {
		for _, reported := range r {
			for id, d := range reported.targets {
				if t.entries[id] != nil {
					out[id] = out[id].plus(d.value(now, paceReportHalfLife))
				}
			}
		}
	}
	maps.DeleteFunc(out, func(_ string, s Sum) bool { return s.Count < minReportedIntervals })
	return out
}

// sumService returns what this node and the given reporters measured of a service. Reports
// do not lose weight, because they replace each other often and expire.
func (t *Table) sumService(now time.Time, service string, reporters ...paceReporters) ServiceSums {
	own := t.service(service)
	sums := ServiceSums{own.firstEvent.value(now, serviceHalfLife), own.hold.value(now, serviceHalfLife)}
	for _, r := range reporters {
		for _, reported := range r {
			sums = sums.plus(reported.services[service].sums)
		}
	}
	return sums
}

// selectPaces returns at most maxReportedPaces of the sums: those whose mean changed most
// since it was last sent, or deviates most from that of the service, and others in turn.
func (t *Table) selectPaces(sent *sentPaces, sums map[string]Sum) map[string]Sum {
	ids := slices.Sorted(maps.Keys(sums))
	maps.DeleteFunc(sent.means, func(id string, _ time.Duration) bool { return t.entries[id] == nil })
	if len(ids) > maxReportedPaces {
		ids = t.selectTargets(sent, sums, ids)
	}
	out := make(map[string]Sum, len(ids))
	for _, id := range ids {
		out[id] = sums[id]
		sent.means[id] = sums[id].mean()
	}
	return out
}

func (t *Table) selectTargets(sent *sentPaces, sums map[string]Sum, ids []string) []string {
	importance := make(map[string]float64, len(ids))
	for _, id := range ids {
		importance[id] = max(changeOf(sent.means[id], sums[id].mean()), math.Abs(math.Log(t.RelativePace(id))))
	}
	ranked := slices.Clone(ids)
	slices.SortStableFunc(ranked, func(a, b string) int { return cmp.Compare(importance[b], importance[a]) })
	selected := ranked[:maxReportedPaces/2]
	first, _ := slices.BinarySearch(ids, sent.next)
	for i := 0; i < len(ids) && len(selected) < maxReportedPaces; i++ {
		id := ids[(first+i)%len(ids)]
		sent.next = ids[(first+i+1)%len(ids)]
		if !slices.Contains(selected, id) {
			selected = append(selected, id)
		}
	}
	return selected
}

// changeOf returns by how much a mean changed, as the logarithm of the factor; without an
// earlier value, by a factor of two.
func changeOf(before, now time.Duration) float64 {
	if before <= 0 || now <= 0 {
		return math.Ln2
	}
	return math.Abs(math.Log(float64(now) / float64(before)))
}
