package homes

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/process/member"
	"github.com/marblepond/marblepond/internal/process/rendezvous"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/hold"
)

// TakeOverOrphans reruns the requests whose owner has ended and whose first
// replica is now this node.
func (rp *Replicator) TakeOverOrphans(view *member.View) {
	for _, r := range rp.orphans(view) {
		if rp.isFirstReplica(r.ID, view) {
			rp.takeOver(r, "the owner has ended")
		}
	}
}

// orphans returns the running requests of this data centre whose owner has ended.
func (rp *Replicator) orphans(view *member.View) []hold.Request {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return slices.DeleteFunc(rp.table.Orphans(view.Departed), func(r hold.Request) bool {
		id, _ := ParseID(r.ID)
		return id.DataCentre != view.Self.DataCentre
	})
}

// sweepOrphans takes over the orphans that were already found by the previous
// sweep: their first replica restarted and does not know them, or they were
// registered after their owner's death was detected. It returns the IDs of all
// orphans found.
func (rp *Replicator) sweepOrphans(previous map[string]bool) map[string]bool {
	seen := map[string]bool{}
	for _, r := range rp.orphans(rp.membership()) {
		seen[r.ID] = true
		if previous[r.ID] {
			rp.takeOver(r, "the owner has ended and the first replica does not know the request")
		}
	}
	return seen
}

// takeOver makes this node the owner of a request and reruns it. cause is
// recorded with the event.
func (rp *Replicator) takeOver(r hold.Request, cause string) {
	self := rp.membership().Self
	rp.mu.Lock()
	rp.table.SetOwner(r.ID, self.ID, self.Incarnation)
	rp.mu.Unlock()
	r.Owner, r.OwnerIncarnation = self.ID, self.Incarnation
	rp.recorder.Record(timeline.RequestTakenOver, r.ID, "", cause)
	go rp.rerun(r)
}

// watchInterval is the time between two rounds of Watch.
const watchInterval = time.Second

// dataCentreLostAfter is how long the data centre of a request must be unreachable
// before the second replica runs the request.
const dataCentreLostAfter = 20 * time.Second

// Watch takes over requests that no node runs any more, of this data centre and
// of others, until ctx ends. A data centre that responds and does not know a
// request has lost both its owner and its first replica. One that has not
// responded for dataCentreLostAfter is treated as lost. If both data centres then
// run a request, it still gets one result: the first one is kept.
func (rp *Replicator) Watch(ctx context.Context) {
	unreachableSince := map[string]time.Time{} // by data centre
	schedule := checkSchedule{}
	orphans := map[string]bool{} // IDs found by the last sweep
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(watchInterval):
		}
		orphans = rp.sweepOrphans(orphans)
		for _, r := range schedule.due(time.Now(), rp.remoteRequests()) {
			rp.checkRemote(ctx, r, unreachableSince)
		}
	}
}

// checkSchedule maps the ID of a request to the time of its next check.
type checkSchedule map[string]time.Time

// due returns the requests to check now. Each is due again after half of its
// present age, so that a long request costs few checks. Requests that no longer
// run are removed from the schedule.
func (s checkSchedule) due(now time.Time, running []hold.Request) []hold.Request {
	var due []hold.Request
	isRunning := map[string]bool{}
	for _, r := range running {
		isRunning[r.ID] = true
		if now.Before(s[r.ID]) {
			continue
		}
		due = append(due, r)
		s[r.ID] = now.Add(now.Sub(time.Unix(r.Created, 0)) / 2)
	}
	maps.DeleteFunc(s, func(id string, _ time.Time) bool { return !isRunning[id] })
	return due
}

// remoteRequests returns the running requests of other data centres that have
// reached checkAgeSeconds, so that their owners have had time to finish.
func (rp *Replicator) remoteRequests() []hold.Request {
	self := rp.membership().Self
	rp.mu.Lock()
	defer rp.mu.Unlock()
	var out []hold.Request
	for _, r := range rp.table.Orphans(func(node string, incarnation uint64) bool { return node != self.ID || incarnation != self.Incarnation }) {
		id, _ := ParseID(r.ID)
		if id.DataCentre != self.DataCentre && time.Now().Unix()-r.Created >= checkAgeSeconds {
			out = append(out, r)
		}
	}
	return out
}

// checkAgeSeconds is the age in seconds from which a request of another data
// centre is checked.
const checkAgeSeconds = 4

// checkRemote asks the data centre of a request for its state. It stores the
// result if there is one, and takes the request over if the data centre is lost
// or does not know the request.
func (rp *Replicator) checkRemote(ctx context.Context, r hold.Request, unreachableSince map[string]time.Time) {
	id, _ := ParseID(r.ID)
	answer, err := rp.lookupInRemoteCentre(ctx, id.DataCentre, r.ID, r.Workspace, 0)
	if err != nil {
		if unreachableSince[id.DataCentre].IsZero() {
			unreachableSince[id.DataCentre] = time.Now()
		}
		if time.Since(unreachableSince[id.DataCentre]) > dataCentreLostAfter {
			rp.takeOver(r, "data centre "+id.DataCentre+" is unreachable")
		}
		return
	}
	delete(unreachableSince, id.DataCentre)
	switch answer.State {
	case hold.Done:
		rp.FinishLocal(*answer.Result, true)
	case hold.Unknown:
		rp.takeOver(r, "data centre "+id.DataCentre+" does not know the request")
	}
}

// isFirstReplica reports whether this node is the first replica of a request in
// this data centre, or all nodes of the data centre are leaving.
func (rp *Replicator) isFirstReplica(requestID string, view *member.View) bool {
	id, _ := ParseID(requestID)
	return rendezvous.First(id.Placement, view.ActiveIDs) == view.Self.ID || len(view.ActiveIDs) == 0
}

// Size returns the number of entries of this node's table and their bytes.
func (rp *Replicator) Size() (entries, bytes int) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return rp.table.Size()
}
