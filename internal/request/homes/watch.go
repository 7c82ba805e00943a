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

// TakeOverOrphans hands on, for rerun, the requests whose owner is gone and whose
// first home is now this node.
func (k *Replicator) TakeOverOrphans(view *member.View) {
	for _, r := range k.orphans(view) {
		if k.first(r.ID, view) {
			k.takeOver(r, "owner is gone")
		}
	}
}

// orphans returns the running requests of this data centre whose owner is gone.
func (k *Replicator) orphans(view *member.View) []hold.Request {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.DeleteFunc(k.table.Orphans(view.Departed), func(r hold.Request) bool {
		id, _ := ParseID(r.ID)
		return id.DataCentre != view.Self.DataCentre
	})
}

// sweep takes over orphans that were left for more than a round: their first
// home restarted and knows nothing of them, or they came after their owner's
// death was seen. It returns the orphans seen.
func (k *Replicator) sweep(before map[string]bool) map[string]bool {
	seen := map[string]bool{}
	for _, r := range k.orphans(k.membership()) {
		seen[r.ID] = true
		if before[r.ID] {
			k.takeOver(r, "owner is gone and the first home does not know it")
		}
	}
	return seen
}

func (k *Replicator) takeOver(r hold.Request, cause string) {
	self := k.membership().Self
	k.mu.Lock()
	k.table.SetOwner(r.ID, self.ID, self.Incarnation)
	k.mu.Unlock()
	r.Owner, r.OwnerIncarnation = self.ID, self.Incarnation
	k.recorder.Record(timeline.RequestTakenOver, r.ID, "", cause)
	go k.rerun(r)
}

// watchAway is the time between looks at requests kept for other data centres.
const watchAway = time.Second

// lostAfter is how long the data centre of a request must not answer before
// its second home runs the request.
const lostAfter = 20 * time.Second

// Watch takes over requests that nobody runs any more, of this data centre and
// of others, until ctx ends. A data centre that answers and does not know a
// request has lost both its owner and its first home; one that does not answer
// for long is taken for lost: a request that both then run gets one answer, for
// the first one stands.
func (k *Replicator) Watch(ctx context.Context) {
	silent := map[string]time.Time{} // by data centre: since when
	looked := looks{}
	left := map[string]bool{} // orphans of this data centre seen in the last round
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(watchAway):
		}
		left = k.sweep(left)
		for _, r := range looked.due(time.Now(), k.away()) {
			k.lookAway(ctx, r, silent)
		}
	}
}

// looks holds, by request, when it is looked after next.
type looks map[string]time.Time

// due returns the requests to be looked after now. A request that goes on is
// looked after again when it is half as old again, so that a long one costs
// few looks; requests that no longer run are forgotten.
func (l looks) due(now time.Time, running []hold.Request) []hold.Request {
	var due []hold.Request
	still := map[string]bool{}
	for _, r := range running {
		still[r.ID] = true
		if now.Before(l[r.ID]) {
			continue
		}
		due = append(due, r)
		l[r.ID] = now.Add(now.Sub(time.Unix(r.Created, 0)) / 2)
	}
	maps.DeleteFunc(l, func(id string, _ time.Time) bool { return !still[id] })
	return due
}

// away returns the running requests of other data centres that are due for a
// look: older than a look's time, so that their owners have had time to end.
func (k *Replicator) away() []hold.Request {
	self := k.membership().Self
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []hold.Request
	for _, r := range k.table.Orphans(func(node string, incarnation uint64) bool { return node != self.ID || incarnation != self.Incarnation }) {
		id, _ := ParseID(r.ID)
		if id.DataCentre != self.DataCentre && time.Now().Unix()-r.Created >= lookAfter {
			out = append(out, r)
		}
	}
	return out
}

// lookAfter is the age in seconds from which a kept request is looked after.
const lookAfter = 4

func (k *Replicator) lookAway(ctx context.Context, r hold.Request, silent map[string]time.Time) {
	id, _ := ParseID(r.ID)
	answer, err := k.askThere(ctx, id.DataCentre, r.ID, r.Workspace, 0)
	if err != nil {
		if silent[id.DataCentre].IsZero() {
			silent[id.DataCentre] = time.Now()
		}
		if time.Since(silent[id.DataCentre]) > lostAfter {
			k.takeOver(r, "data centre "+id.DataCentre+" is lost")
		}
		return
	}
	delete(silent, id.DataCentre)
	switch answer.State {
	case hold.Done:
		k.FinishLocal(*answer.Result, true)
	case hold.Unknown:
		k.takeOver(r, "data centre "+id.DataCentre+" has lost it")
	}
}

func (k *Replicator) first(requestID string, view *member.View) bool {
	id, _ := ParseID(requestID)
	return rendezvous.First(id.Placement, view.ActiveIDs) == view.Self.ID || len(view.ActiveIDs) == 0
}

// Size returns the number of entries held and their bytes.
func (k *Replicator) Size() (entries, bytes int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Size()
}
