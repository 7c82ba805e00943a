package discovery

import (
	"time"

	"github.com/marblepond/marblepond/internal/request/choose"
)

// RecordInterval records the time between two events of an online request; see
// choose.Table.RecordInterval.
func (p *Pool) RecordInterval(t choose.Target, took time.Duration) {
	p.record(t, func(now time.Time) { p.table.RecordInterval(now, t.ID, took) })
}

// RecordItemEvent records an event of a batch item, took after the one before; see
// choose.Table.RecordItemEvent.
func (p *Pool) RecordItemEvent(t choose.Target, took time.Duration) {
	p.record(t, func(now time.Time) { p.table.RecordItemEvent(now, t, took) })
}

// RecordStreamTime records the time from the first to the last event of an online request;
// see choose.Table.RecordStreamTime.
func (p *Pool) RecordStreamTime(t choose.Target, took time.Duration) {
	p.record(t, func(now time.Time) { p.table.RecordStreamTime(now, t.ID, took) })
}

// record records a measurement of a target, unless the target has restarted.
func (p *Pool) record(t choose.Target, measurement func(now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table.IsCurrent(t) {
		measurement(p.now())
	}
}

// NodePaces, GroupPaces and DataCentrePaces return the next reports on the pace of targets;
// see choose.Table.NodePaces.
func (p *Pool) NodePaces() choose.PaceReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.NodePaces(p.now())
}

// GroupPaces is NodePaces for this node's group.
func (p *Pool) GroupPaces() choose.PaceReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.GroupPaces(p.now())
}

// DataCentrePaces is NodePaces for this node's data centre.
func (p *Pool) DataCentrePaces() choose.PaceReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.DataCentrePaces(p.now())
}

// SetNodePaces takes a report on the pace of targets of another node of this node's group;
// see choose.Table.SetNodePaces.
func (p *Pool) SetNodePaces(node string, r choose.PaceReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetNodePaces(p.now(), node, r)
}

// SetGroupPaces is SetNodePaces for another group of this data centre.
func (p *Pool) SetGroupPaces(group string, r choose.PaceReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetGroupPaces(p.now(), group, r)
}

// SetDataCentrePaces is SetNodePaces for another data centre.
func (p *Pool) SetDataCentrePaces(name string, r choose.PaceReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetDataCentrePaces(p.now(), name, r)
}

// SlowTargets returns the targets that count as slow, with their relative paces; see
// choose.Table.SlowTargets.
func (p *Pool) SlowTargets() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.SlowTargets(p.now())
}

// ServiceTimes returns the usual times of the online requests of each service; see
// choose.Table.ServiceTimes.
func (p *Pool) ServiceTimes() map[string]choose.ServiceTimes {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.ServiceTimes(p.now())
}
