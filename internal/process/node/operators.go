package node

import (
	"bytes"
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/member"
	"github.com/marblepond/marblepond/internal/process/membership"
	"github.com/marblepond/marblepond/internal/record"
	"github.com/marblepond/marblepond/internal/request/batch"
	"github.com/marblepond/marblepond/internal/version/config"
)

// operatorService implements OperatorService.
type operatorService struct{ node *Node }

// nodeQueryTimeout bounds one call to another node on an operator's behalf.
const nodeQueryTimeout = time.Second

// Plan implements OperatorService.
func (o *operatorService) Plan(ctx context.Context, req *v1.PlanRequest) (*v1.PlanResponse, error) {
	intent, err := o.parseIntent(req.Intent, req.Evacuation)
	if err != nil {
		return nil, err
	}
	plan, err := o.node.config.Plan(ctx, intent)
	if err != nil {
		return nil, err
	}
	return planToProto(plan), nil
}

// parseIntent returns the intent of an operator's request: an evacuation or INI text.
func (o *operatorService) parseIntent(text string, evacuation *v1.Evacuation) (config.Intent, error) {
	if evacuation == nil {
		return config.TextIntent(text), nil
	}
	name := evacuation.DataCentre
	known := o.node.membership.View().DataCentres()
	if !slices.Contains(known, name) && !evacuation.End {
		return nil, errkind.NotFound.New("no data centre %q is known; known: %s", name, strings.Join(known, ", "))
	}
	return config.EvacuationIntent(name, !evacuation.End), nil
}

func planToProto(plan config.Plan) *v1.PlanResponse {
	resp := &v1.PlanResponse{BaseVersion: plan.Base}
	for _, c := range plan.Changes {
		resp.Changes = append(resp.Changes, &v1.Change{Section: c.Section, Key: c.Key, Before: c.Before, After: c.After})
	}
	return resp
}

// Workspaces implements OperatorService.
func (o *operatorService) Workspaces(context.Context, *v1.WorkspacesRequest) (*v1.WorkspacesResponse, error) {
	view := o.node.membership.View()
	return o.node.lending.Report(o.node.config.Current().Workspaces, func(node string) string { return peerAddress(view, node) }), nil
}

// ReleaseTarget implements OperatorService. These nodes judge targets alone and have no
// verdicts on them.
func (o *operatorService) ReleaseTarget(context.Context, *v1.ReleaseTargetRequest) (*v1.ReleaseTargetResponse, error) {
	return &v1.ReleaseTargetResponse{}, nil
}

// Quarantine implements OperatorService.
func (o *operatorService) Quarantine(ctx context.Context, req *v1.QuarantineRequest) (*v1.QuarantineResponse, error) {
	return o.node.crashes.Quarantine(ctx, req)
}

// ReleaseWork implements OperatorService.
func (o *operatorService) ReleaseWork(ctx context.Context, req *v1.ReleaseWorkRequest) (*v1.ReleaseWorkResponse, error) {
	return o.node.crashes.ReleaseWork(ctx, req)
}

// Apply implements OperatorService.
func (o *operatorService) Apply(ctx context.Context, req *v1.ApplyRequest) (*v1.ApplyResponse, error) {
	intent, err := o.parseIntent(req.Intent, req.Evacuation)
	if err != nil {
		return nil, err
	}
	version, err := o.node.config.Apply(ctx, intent, req.BaseVersion)
	if errkind.Is(err, errkind.StalePlan) {
		fresh, planErr := o.node.config.Plan(ctx, intent)
		if planErr != nil {
			return nil, err
		}
		return &v1.ApplyResponse{Stale: true, Fresh: planToProto(fresh)}, nil
	}
	if err != nil {
		return nil, err
	}
	return &v1.ApplyResponse{Version: version}, nil
}

// Status implements OperatorService by querying every known node.
func (o *operatorService) Status(ctx context.Context, _ *v1.StatusRequest) (*v1.StatusResponse, error) {
	n := o.node
	view := n.membership.View()
	known := append(append([]member.Member{{Info: view.Self, State: member.Alive}}, view.Members...), view.Contacts...)
	statuses := make([]*v1.NodeStatus, len(known))
	var wg sync.WaitGroup
	for i, m := range known {
		wg.Go(func() { statuses[i] = o.queryStatus(ctx, m) })
	}
	wg.Wait()
	current := n.config.Current()
	resp := summarise(statuses, current.Version)
	for _, dc := range resp.DataCentres {
		dc.Evacuated = current.IsEvacuated(dc.DataCentre)
	}
	return resp, nil
}

func (o *operatorService) queryStatus(ctx context.Context, m member.Member) *v1.NodeStatus {
	status := &v1.NodeStatus{Node: membership.ToProto(m.Info), State: string(m.State)}
	if m.ID == o.node.self.ID {
		status.Answered = true
		return status
	}
	ctx, cancel := context.WithTimeout(ctx, nodeQueryTimeout)
	defer cancel()
	resp, err := o.node.pool.Client(m.PeerAddr).Heartbeat(ctx, &v1.HeartbeatRequest{From: membership.ToProto(o.node.membership.View().Self)})
	if err == nil {
		status.Node, status.Answered = resp.From, true
	}
	return status
}

// summarise lists the data centres and whether they are reachable. InForceEverywhere is
// set only if every node answered and has the newest version.
func summarise(statuses []*v1.NodeStatus, version uint64) *v1.StatusResponse {
	resp := &v1.StatusResponse{Nodes: statuses, InForceEverywhere: true}
	reachable := map[string]bool{}
	for _, s := range statuses {
		version = max(version, s.Node.ConfigVersion)
		dc := s.Node.DataCentre
		reachable[dc] = reachable[dc] || s.Answered
	}
	for _, s := range statuses {
		if !s.Answered || s.Node.ConfigVersion != version {
			resp.InForceEverywhere = false
		}
	}
	for dc, ok := range reachable {
		resp.DataCentres = append(resp.DataCentres, &v1.DataCentreStatus{DataCentre: dc, Reachable: ok})
	}
	sort.Slice(resp.DataCentres, func(i, j int) bool { return resp.DataCentres[i].DataCentre < resp.DataCentres[j].DataCentre })
	resp.HeadVersion = version
	return resp
}

// Targets implements OperatorService.
func (o *operatorService) Targets(context.Context, *v1.TargetsRequest) (*v1.TargetsResponse, error) {
	list, owners := o.node.targets.List()
	resp := &v1.TargetsResponse{}
	for _, s := range list {
		resp.Targets = append(resp.Targets, &v1.TargetStatus{
			Target: s.ID, DataCentre: s.DataCentre, Service: s.Service, Addr: s.Addr, Owner: owners[s.ID], Leaving: s.Leaving, Ejected: string(s.Reason),
			Load: &v1.TargetLoad{Target: s.ID, Incarnation: s.Incarnation, Running: uint32(s.Load.Running), Waiting: uint32(s.Load.Waiting),
				MaxRunning: uint32(s.Load.MaxRunning), Batch: uint32(s.Load.Batch), Healthy: s.Load.Healthy, Loaded: s.Load.Loaded},
		})
	}
	return resp, nil
}

// Timeline implements OperatorService.
func (o *operatorService) Timeline(ctx context.Context, req *v1.TimelineRequest) (*v1.TimelineResponse, error) {
	n := o.node
	resp := &v1.TimelineResponse{Events: eventsToProto(n.recorder.Events(req.RequestId, int(req.Limit)))}
	view := n.membership.View()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range append(append([]member.Member{}, view.Members...), view.Contacts...) {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, nodeQueryTimeout)
			defer cancel()
			answer, err := n.pool.Client(m.PeerAddr).Events(ctx, &v1.EventsRequest{RequestId: req.RequestId, Limit: req.Limit})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				resp.Missing = append(resp.Missing, m.ID)
				return
			}
			resp.Events = append(resp.Events, answer.Events...)
		})
	}
	wg.Wait()
	sort.SliceStable(resp.Events, func(i, j int) bool { return resp.Events[i].Hlc < resp.Events[j].Hlc })
	if excess := len(resp.Events) - int(req.Limit); excess > 0 {
		resp.Events = resp.Events[excess:]
	}
	return resp, nil
}

// SubmitBatch implements OperatorService.
func (o *operatorService) SubmitBatch(ctx context.Context, req *v1.SubmitBatchRequest) (*v1.BatchResponse, error) {
	n := o.node
	current := n.config.Current()
	workspace := current.Workspaces.ByName(req.Workspace)
	if workspace == nil {
		return nil, errkind.NotFound.New("no workspace %q", req.Workspace)
	}
	window, err := time.ParseDuration(req.CompletionWindow)
	if err != nil {
		return nil, errkind.Malformed.New("completion window %q is not a duration", req.CompletionWindow)
	}
	file, err := n.store.PutFile(ctx, current, workspace, "operator", bytes.NewReader(req.Jsonl), int64(len(req.Jsonl)))
	if err != nil {
		return nil, err
	}
	job, err := n.store.Submit(ctx, batch.Submission{Workspace: req.Workspace, Key: req.IdempotencyKey, Endpoint: req.Endpoint,
		FileIDs: []string{file.ID}, Window: window})
	if err != nil {
		return nil, err
	}
	return batchToProto(job, batch.Counts{Total: job.Total}), nil
}

// ShowBatch implements OperatorService.
func (o *operatorService) ShowBatch(ctx context.Context, req *v1.BatchRequest) (*v1.BatchResponse, error) {
	job, err := o.node.store.Job(ctx, req.BatchId)
	if err != nil {
		return nil, err
	}
	counts, err := o.node.store.Count(ctx, job)
	if err != nil {
		return nil, err
	}
	return batchToProto(job, counts), nil
}

// CancelBatch implements OperatorService.
func (o *operatorService) CancelBatch(ctx context.Context, req *v1.BatchRequest) (*v1.BatchResponse, error) {
	job, err := o.node.store.Cancel(ctx, req.BatchId)
	if err != nil {
		return nil, err
	}
	return batchToProto(job, batch.Counts{Total: job.Total, Completed: job.Completed, Failed: job.Failed}), nil
}

func batchToProto(job record.Job, counts batch.Counts) *v1.BatchResponse {
	return &v1.BatchResponse{BatchId: job.ID, Workspace: job.Workspace, State: string(job.State),
		Total: uint32(counts.Total), Completed: uint32(counts.Completed), Failed: uint32(counts.Failed)}
}

// BatchResults implements OperatorService.
func (o *operatorService) BatchResults(ctx context.Context, req *v1.BatchResultsRequest) (*v1.BatchResultsResponse, error) {
	job, err := o.node.store.Job(ctx, req.BatchId)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	if err := o.node.store.WriteChunkResults(ctx, job, int(req.Chunk), &out); err != nil {
		return nil, err
	}
	return &v1.BatchResultsResponse{Jsonl: out.Bytes(), Last: int(req.Chunk)+1 >= job.Chunks()}, nil
}
