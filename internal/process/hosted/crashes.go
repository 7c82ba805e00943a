package hosted

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/dial"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/crashes"
	"github.com/marblepond/marblepond/internal/process/rendezvous"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/request/fingerprint"
	"github.com/marblepond/marblepond/internal/request/quarantine"
)

func (n *Node) newCrashWatch() *crashes.Watch {
	s := n.settings
	return crashes.New(crashes.Options{Config: quarantine.Config{Limit: s.CrashLimit, Retention: s.CrashMemory}, Now: n.clock.Now, Probe: dial.Probe, Serving: n.pool.TargetCount, Leaving: n.pool.Leaving,
		Client: n.quarantineClient, OnChange: func() { n.beacon.NotifyChange() }, Store: verdictStore{n}, DeletesEnded: n.deletesEnded, Recorder: n.recorder, Metrics: n.metrics})
}

// quarantineClient returns a client of the quarantine service of another node.
func (n *Node) quarantineClient(node string) (marblepondv1connect.QuarantineServiceClient, bool) {
	r, registered := n.registered()[node]
	if !registered {
		return nil, false // a later datagram is handled once the list of nodes contains the node
	}
	return n.peers.crashes.at(r.Address), true
}

// deletesEnded reports whether this node is the first of all reachable nodes for a verdict.
func (n *Node) deletesEnded(verdict fingerprint.ID) bool {
	name := verdict.String()
	return rendezvous.Place(name, n.settings.DataCentre, n.beacon.ReachableDataCentres(), 1) == 0 && rendezvous.Place(name, n.settings.NodeID, n.beacon.ReachableInDataCentre(), 1) == 0
}

// kindVerdicts is the kind of objects that store verdicts: decisions that work or parts of
// prompts are refused. Each is named after their fingerprint. They let the refusal outlive a
// restart of all nodes.
const kindVerdicts = "marblepond-verdicts"

// storedCrash is the JSON form of a crash in the object store. Its time is that of the
// writer's clock, whose error is small compared with the retention time of crashes.
type storedCrash struct {
	Target      string
	Incarnation uint64
	At          int64 // Unix milliseconds
	Targets     int
	Software    string   `json:",omitempty"`
	Suspects    []string `json:",omitempty"` // fingerprints; absent: the name of the object
}

// verdictStore implements crashes.VerdictStore over the object store.
type verdictStore struct{ n *Node }

// Save implements crashes.VerdictStore.
func (s verdictStore) Save(ctx context.Context, verdict fingerprint.ID, evidence []quarantine.Crash) error {
	var stored []storedCrash
	for _, c := range evidence {
		crash := storedCrash{Target: c.Target.ID, Incarnation: c.Target.Incarnation, At: time.Now().Add(-c.Age).UnixMilli(), Targets: c.Targets, Software: c.Software}
		if verdict.Kind() == fingerprint.OfSet {
			for _, id := range c.Suspects {
				crash.Suspects = append(crash.Suspects, id.String())
			}
		}
		stored = append(stored, crash)
	}
	value, err := json.Marshal(stored)
	if err != nil {
		return err
	}
	_, err = s.n.adapter.Store.Create(ctx, callbudget.Status, kindVerdicts, verdict.String(), value)
	if errors.Is(err, objects.ErrConflict) {
		_, err = s.n.adapter.Store.Update(ctx, callbudget.Status, kindVerdicts, verdict.String(), anyRevision, value)
	}
	return err
}

// Delete implements crashes.VerdictStore.
func (s verdictStore) Delete(ctx context.Context, verdict fingerprint.ID) error {
	err := s.n.adapter.Store.Delete(ctx, callbudget.Status, kindVerdicts, verdict.String())
	if errors.Is(err, objects.ErrNotFound) {
		return nil
	}
	return err
}

// loadVerdictsRetryInterval is the time between attempts to list the stored verdicts.
const loadVerdictsRetryInterval = time.Second

// loadVerdicts loads the stored verdicts once, when this node starts: if all nodes lost
// power together, no other node has them.
func (n *Node) loadVerdicts(ctx context.Context) {
	if n.settings.FirstStart {
		return // no node of the fleet ran before
	}
	for {
		page, err := n.adapter.Store.List(ctx, callbudget.Status, kindVerdicts)
		if err == nil {
			n.mergeVerdicts(ctx, page.Objects)
			return
		}
		if !wait.For(ctx, loadVerdictsRetryInterval) {
			return
		}
	}
}

// mergeVerdicts adds the crashes of stored verdicts to those known, and deletes verdicts all
// of whose crashes are too old to count.
func (n *Node) mergeVerdicts(ctx context.Context, list []objects.Object) {
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
			n.recorder.Record(timeline.VerdictNotKept, "", o.Name, err.Error()) // the next start retries
		}
	}
}

func decodeVerdict(o objects.Object) ([]quarantine.Crash, error) {
	verdict, ok := fingerprint.Parse(o.Name)
	if !ok {
		return nil, errors.New("the object name is not a fingerprint")
	}
	var stored []storedCrash
	if err := json.Unmarshal(o.Value, &stored); err != nil {
		return nil, err
	}
	var evidence []quarantine.Crash
	for _, c := range stored {
		suspects := []fingerprint.ID{verdict}
		if verdict.Kind() == fingerprint.OfSet {
			suspects = nil
			for _, text := range c.Suspects {
				id, ok := fingerprint.Parse(text)
				if !ok {
					return nil, errors.New("a suspect is not a fingerprint")
				}
				suspects = append(suspects, id)
			}
		}
		evidence = append(evidence, quarantine.Crash{Target: quarantine.Target{ID: c.Target, Incarnation: c.Incarnation}, Targets: c.Targets, Software: c.Software,
			Age: max(0, time.Since(time.UnixMilli(c.At))), Suspects: suspects, Answered: decidedAnswered})
	}
	return evidence, nil
}

// decidedAnswered is the quarantine.Crash.Answered of a stored crash: it was decided on, and
// counts at once.
const decidedAnswered = time.Minute

// allOlder reports whether all crashes have at least the given age.
func allOlder(evidence []quarantine.Crash, age time.Duration) bool {
	for _, c := range evidence {
		if c.Age < age {
			return false
		}
	}
	return true
}

// operatorService implements the calls of the operator service that a hosted node supports.
// Everything else operators do through the platform.
type operatorService struct {
	marblepondv1connect.UnimplementedOperatorServiceHandler
	node    *Node
	crashes *crashes.Watch
}

// Workspaces lists the workspaces and how much of their allowances (rate limits) is used.
func (o operatorService) Workspaces(context.Context, *v1.WorkspacesRequest) (*v1.WorkspacesResponse, error) {
	table := o.node.Table()
	if table == nil {
		return nil, errkind.ConnectError(errkind.PlatformUnavailable.New("no configuration is known yet"))
	}
	return o.node.lending.Report(table.Workspaces, func(node string) string { return o.node.registered()[node].Address }), nil
}

// Targets lists the targets that this node knows, with the requests and items that all nodes
// have in flight there, and the reason if a target gets no work.
func (o operatorService) Targets(context.Context, *v1.TargetsRequest) (*v1.TargetsResponse, error) {
	resp := &v1.TargetsResponse{}
	for _, s := range o.node.pool.List() {
		counts := o.node.pool.Counts(s.ID)
		batch := counts.Items + counts.Elsewhere.Batch
		resp.Targets = append(resp.Targets, &v1.TargetStatus{Target: s.ID, DataCentre: s.DataCentre, Service: s.Service, Addr: s.Addr, Version: string(s.Version), Leaving: s.Leaving, Ejected: string(s.Reason), Verdict: o.node.packVerdict(s),
			PacePercent: uint32(math.Round(100 * s.Pace)), FirstEventMs: uint32(s.Estimate.Milliseconds()),
			Load: &v1.TargetLoad{Target: s.ID, Incarnation: s.Incarnation, Running: uint32(counts.Online + counts.Elsewhere.Online + batch), MaxRunning: uint32(s.Slots), Batch: uint32(batch)}})
	}
	resp.Copies = o.node.copyStatuses()
	return resp, nil
}

// Quarantine lists the work that is refused.
func (o operatorService) Quarantine(ctx context.Context, req *v1.QuarantineRequest) (*v1.QuarantineResponse, error) {
	return o.crashes.Quarantine(ctx, req)
}

// ReleaseWork ends the refusal of work.
func (o operatorService) ReleaseWork(ctx context.Context, req *v1.ReleaseWorkRequest) (*v1.ReleaseWorkResponse, error) {
	return o.crashes.ReleaseWork(ctx, req)
}
