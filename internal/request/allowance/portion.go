package allowance

import (
	"time"
)

// note takes what an ask says of demand. While some data centres are not heard it says
// nothing of how demand is spread.
func (a *account) note(now time.Time, ask BorrowRequest) {
	if ask.Share > 0 {
		a.told[ask.DataCentre] = ask.Share
	}
	if a.oneSided {
		return
	}
	d := a.demand[ask.DataCentre]
	if d == nil {
		d = &decaying{}
		a.demand[ask.DataCentre] = d
	}
	d.add(now, float64(max(0, ask.Need)), demandTime)
}

// shareOf returns what a data centre has of the demand that came here. The fewer requests
// came, the more it goes by its part of the nodes.
func (a *account) shareOf(now time.Time, dataCentre string, byNodes float64) float64 {
	total, own := 0.0, 0.0
	for dc, d := range a.demand {
		value := d.value(now, demandTime)
		total += value
		if dc == dataCentre {
			own = value
		}
	}
	return (own + priorRequests*byNodes) / (total + priorRequests)
}

// portionOf returns the part of the allowance that this node lends: all of it while every
// data centre is heard.
func (a *account) portionOf(now time.Time, around FleetView) float64 {
	switch {
	case len(around.Nodes) == 0:
		return 1
	case around.Isolated:
		return 1 / float64(around.nodes())
	case around.PreferredReachable:
		return substituteShare
	case !around.silent():
		return 1
	}
	part := 0.0
	for dc := range around.Nodes {
		if around.Reachable[dc] {
			part += a.partOf(now, dc, around)
		}
	}
	return min(1, part)
}

// partOf returns the part of a data centre in the demand. The natural owner has seen that
// itself; a substitute sees one side of a cut only, and goes by what that owner told
// those that borrow. A data centre that nobody was told of had no demand then.
func (a *account) partOf(now time.Time, dc string, around FleetView) float64 {
	if len(a.told) > 0 && !around.Preferred {
		return a.told[dc]
	}
	return a.shareOf(now, dc, around.partOfNodes(dc))
}
