package allowance

import (
	"time"
)

// recordDemand records the demand that a request shows. While data centres are unreachable,
// it does not show how demand is distributed, and only the reported share is kept.
func (b *bucket) recordDemand(now time.Time, req BorrowRequest) {
	if req.Share > 0 {
		b.reportedShares[req.DataCentre] = req.Share
	}
	if b.partitioned {
		return
	}
	d := b.demand[req.DataCentre]
	if d == nil {
		d = &decayingSum{}
		b.demand[req.DataCentre] = d
	}
	d.add(now, float64(max(0, req.Need)), demandTimeConstant)
}

// observedShare returns the share of a data centre in the demand that this node received. The
// fewer requests it received, the more the data centre's share of the nodes counts.
func (b *bucket) observedShare(now time.Time, dataCentre string, nodeShare float64) float64 {
	total, own := 0.0, 0.0
	for dc, d := range b.demand {
		value := d.value(now, demandTimeConstant)
		total += value
		if dc == dataCentre {
			own = value
		}
	}
	return (own + priorRequests*nodeShare) / (total + priorRequests)
}

// lendablePortion returns the part of the allowance that this node lends. An owner lends all
// of it while every data centre is reachable, unless it is isolated or stands in for a
// preferred owner that is reachable.
func (b *bucket) lendablePortion(now time.Time, view FleetView) float64 {
	switch {
	case len(view.Nodes) == 0:
		return 1
	case view.Isolated:
		return 1 / float64(view.nodes())
	case view.PreferredReachable:
		return fallbackPortion
	case !view.partitioned():
		return 1
	}
	portion := 0.0
	for dc := range view.Nodes {
		if view.Reachable[dc] {
			portion += b.demandShare(now, dc, view)
		}
	}
	return min(1, portion)
}

// demandShare returns the share of a data centre in the demand. The preferred owner has
// observed it. A fallback owner sees only one side of a partition, and uses the shares that
// the preferred owner reported to borrowers, if any: a data centre that is not among them
// had no demand.
func (b *bucket) demandShare(now time.Time, dc string, view FleetView) float64 {
	if len(b.reportedShares) > 0 && !view.Preferred {
		return b.reportedShares[dc]
	}
	return b.observedShare(now, dc, view.nodeShare(dc))
}
