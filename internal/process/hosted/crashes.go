package hosted

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/dial"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/crashes"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/request/fingerprint"
	"github.com/marblepond/marblepond/internal/request/quarantine"
)

func (n *Node) newCrashWatch() *crashes.Watch {
	s := n.settings
	return crashes.New(crashes.Options{Config: quarantine.Config{Limit: s.CrashLimit, Retention: s.CrashMemory}, Now: n.clock.Now, Probe: dial.Probe, Serving: n.pool.TargetCount, Leaving: n.pool.Leaving,
		Client: n.crashesOf, OnChange: func() { n.beacon.NotifyChange() }, Store: verdictKeeper{n}, Recorder: n.recorder, Metrics: n.metrics})
}

// crashesOf reaches what another node knows of crashed targets.
func (n *Node) crashesOf(node string) (marblepondv1connect.QuarantineServiceClient, bool) {
	r, registered := n.registered()[node]
	if !registered {
		return nil, false // it is heard again once the list of nodes has it
	}
	return n.peers.crashes.at(r.Address), true
}

// kindVerdicts is the kind of objects that refuse work beyond the life of all nodes:
// one for each fingerprint.
const kindVerdicts = "marblepond-verdicts"

// keptCrash is a crash as it is stored. The time is that of the writer's clock; its
// error is small beside the time for which crashes count.
type keptCrash struct {
	Target      string
	Incarnation uint64
	At          int64 // Unix milliseconds
	Targets     int
}

// verdictKeeper implements crashes.VerdictStore over the object store.
type verdictKeeper struct{ n *Node }

// Save implements crashes.VerdictStore.
func (k verdictKeeper) Save(ctx context.Context, work fingerprint.ID, evidence []quarantine.Crash) error {
	var kept []keptCrash
	for _, c := range evidence {
		kept = append(kept, keptCrash{c.Target.ID, c.Target.Incarnation, time.Now().Add(-c.Age).UnixMilli(), c.Targets})
	}
	value, err := json.Marshal(kept)
	if err != nil {
		return err
	}
	_, err = k.n.adapter.Store.Create(ctx, callbudget.Status, kindVerdicts, work.String(), value)
	if errors.Is(err, objects.ErrConflict) {
		_, err = k.n.adapter.Store.Update(ctx, callbudget.Status, kindVerdicts, work.String(), anyRevision, value)
	}
	return err
}

// Delete implements crashes.VerdictStore.
func (k verdictKeeper) Delete(ctx context.Context, work fingerprint.ID) error {
	err := k.n.adapter.Store.Delete(ctx, callbudget.Status, kindVerdicts, work.String())
	if errors.Is(err, objects.ErrNotFound) {
		return nil
	}
	return err
}

// recallPause is the time between tries to read what was kept.
const recallPause = time.Second

// recallVerdicts reads what refuses work once, when this node starts: all nodes may
// have lost power together, and no one else knows it then.
func (n *Node) recallVerdicts(ctx context.Context) {
	if n.settings.FirstStart {
		return // there was none before
	}
	for {
		page, err := n.adapter.Store.List(ctx, callbudget.Status, kindVerdicts)
		if err == nil {
			n.takeVerdicts(ctx, page.Objects)
			return
		}
		if !wait.For(ctx, recallPause) {
			return
		}
	}
}

func (n *Node) takeVerdicts(ctx context.Context, list []objects.Object) {
	for _, o := range list {
		evidence, err := decodeVerdict(o)
		if err != nil {
			n.recorder.Record(timeline.ObjectRejected, "", o.Name, err.Error())
			n.metrics.Counter("objects_rejected").Inc(1)
			continue
		}
		n.crashes.Merge(evidence)
		if !allOlder(evidence, n.settings.CrashMemory) {
			continue
		}
		if err := n.adapter.Store.Delete(ctx, callbudget.Status, kindVerdicts, o.Name); err != nil && !errors.Is(err, objects.ErrNotFound) {
			n.recorder.Record(timeline.VerdictNotKept, "", o.Name, err.Error()) // the next start tries again
		}
	}
}

func decodeVerdict(o objects.Object) ([]quarantine.Crash, error) {
	work, ok := fingerprint.Parse(o.Name)
	if !ok {
		return nil, errors.New("its name is no fingerprint")
	}
	var kept []keptCrash
	if err := json.Unmarshal(o.Value, &kept); err != nil {
		return nil, err
	}
	var evidence []quarantine.Crash
	for _, c := range kept {
		evidence = append(evidence, quarantine.Crash{Target: quarantine.Target{ID: c.Target, Incarnation: c.Incarnation}, Targets: c.Targets,
			Age: max(0, time.Since(time.UnixMilli(c.At))), Suspects: []fingerprint.ID{work}})
	}
	return evidence, nil
}

func allOlder(evidence []quarantine.Crash, age time.Duration) bool {
	for _, c := range evidence {
		if c.Age < age {
			return false
		}
	}
	return true
}

// operatorService answers the operators' calls that a hosted node knows. What else
// operators do they do at the platform.
type operatorService struct {
	marblepondv1connect.UnimplementedOperatorServiceHandler
	node    *Node
	crashes *crashes.Watch
}

// Workspaces lists the workspaces with the use of their allowances.
func (o operatorService) Workspaces(context.Context, *v1.WorkspacesRequest) (*v1.WorkspacesResponse, error) {
	table := o.node.Table()
	if table == nil {
		return nil, errkind.Connect(errkind.PlatformUnavailable.New("no configuration is known yet"))
	}
	return o.node.lending.Report(table.Workspaces, func(node string) string { return o.node.registered()[node].Address }), nil
}

// Targets lists the targets that this node knows, with what it and others have in flight
// there and why any of them gets no work.
func (o operatorService) Targets(context.Context, *v1.TargetsRequest) (*v1.TargetsResponse, error) {
	resp := &v1.TargetsResponse{}
	for _, s := range o.node.pool.List() {
		counts := o.node.pool.Counts(s.ID)
		batch := counts.Items + counts.Elsewhere.Batch
		resp.Targets = append(resp.Targets, &v1.TargetStatus{Target: s.ID, DataCentre: s.DataCentre, Service: s.Service, Addr: s.Addr, Leaving: s.Leaving, Ejected: string(s.Reason),
			Load: &v1.TargetLoad{Target: s.ID, Incarnation: s.Incarnation, Running: uint32(counts.Online + counts.Elsewhere.Online + batch), MaxRunning: uint32(s.Slots), Batch: uint32(batch)}})
	}
	return resp, nil
}

// Quarantine lists the work that is refused.
func (o operatorService) Quarantine(ctx context.Context, req *v1.QuarantineRequest) (*v1.QuarantineResponse, error) {
	return o.crashes.Quarantine(ctx, req)
}

// ReleaseWork lets refused work go.
func (o operatorService) ReleaseWork(ctx context.Context, req *v1.ReleaseWorkRequest) (*v1.ReleaseWorkResponse, error) {
	return o.crashes.ReleaseWork(ctx, req)
}
