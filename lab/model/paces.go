package model

import (
	"time"

	"github.com/marblepond/marblepond/internal/request/choose"
)

// paceInterval is the time between reports on the pace of targets, as in package beacon.
const paceInterval = time.Second

// paceReports are the times of a node's last reports on the pace of targets, by scope: node,
// group and data centre.
type paceReports [3]time.Duration

// pacesIfDue returns the report of a scope if it is due, and an empty one otherwise.
func (n *node) pacesIfDue(scope int, report func(time.Time) choose.PaceReport) choose.PaceReport {
	now := n.fleet.clock.now
	if !n.table.SharedView() || now-n.paceReports[scope] < paceInterval {
		return choose.PaceReport{}
	}
	n.paceReports[scope] = now
	return report(n.fleet.clock.wallTime())
}
