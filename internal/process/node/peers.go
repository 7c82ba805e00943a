package node

import (
	"context"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/hold"
	"github.com/marblepond/marblepond/internal/request/homes"
)

// peerService implements PeerService.
type peerService struct{ node *Node }

// Heartbeat implements PeerService.
func (p *peerService) Heartbeat(ctx context.Context, req *v1.HeartbeatRequest) (*v1.HeartbeatResponse, error) {
	return p.node.membership.Heartbeat(ctx, req)
}

// Pressure implements PeerService.
func (p *peerService) Pressure(_ context.Context, req *v1.PressureRequest) (*v1.PressureResponse, error) {
	p.node.worker.HandlePressure(req)
	return &v1.PressureResponse{}, nil
}

// Hold implements PeerService.
func (p *peerService) Hold(ctx context.Context, req *v1.HoldRequest) (*v1.HoldResponse, error) {
	if req.Relay {
		answer, err := p.node.replicator.HoldInDataCentre(ctx, homes.RequestFromProto(req))
		return homes.AnswerToProto(answer), err
	}
	return homes.AnswerToProto(p.node.replicator.HoldLocal(homes.RequestFromProto(req))), nil
}

// Finish implements PeerService.
func (p *peerService) Finish(ctx context.Context, req *v1.FinishRequest) (*v1.FinishResponse, error) {
	if req.Relay {
		return &v1.FinishResponse{Stored: true}, p.node.replicator.FinishInDataCentre(ctx, homes.ResultFromProto(req.Result))
	}
	return &v1.FinishResponse{Stored: p.node.replicator.FinishLocal(homes.ResultFromProto(req.Result), req.Durable)}, nil
}

// Flushed implements PeerService.
func (p *peerService) Flushed(ctx context.Context, req *v1.FlushedRequest) (*v1.FlushedResponse, error) {
	if req.Relay {
		p.node.replicator.MarkFlushedInDataCentre(ctx, req.RequestIds)
	}
	p.node.replicator.MarkFlushedLocal(req.RequestIds)
	return &v1.FlushedResponse{}, nil
}

// Drop implements PeerService.
func (p *peerService) Drop(ctx context.Context, req *v1.DropRequest) (*v1.DropResponse, error) {
	if req.Relay {
		return &v1.DropResponse{}, p.node.replicator.DropInDataCentre(ctx, req.RequestId)
	}
	p.node.replicator.DropLocal(req.RequestId)
	return &v1.DropResponse{}, nil
}

// Lookup implements PeerService.
func (p *peerService) Lookup(ctx context.Context, req *v1.LookupRequest) (*v1.LookupResponse, error) {
	wait := time.Duration(req.WaitMs) * time.Millisecond
	var answer hold.Answer
	var replicaErr error // why the answer is uncertain: e.g. a replica did not respond
	switch {
	case req.Relay:
		answer, replicaErr = p.node.replicator.FindInDataCentre(ctx, req.RequestId, req.Workspace, wait)
	case p.node.replicator.Workspace(req.RequestId) == req.Workspace:
		answer = p.node.replicator.LookupLocal(ctx, req.RequestId, wait)
	default:
		answer = hold.Answer{State: hold.Unknown}
	}
	resp := homes.AnswerToProto(answer)
	return &v1.LookupResponse{State: resp.State, Result: resp.Result, Owner: resp.Owner, OwnerIncarnation: resp.OwnerIncarnation, Unsure: replicaErr != nil}, nil
}

// FetchConfig implements PeerService.
func (p *peerService) FetchConfig(ctx context.Context, req *v1.FetchConfigRequest) (*v1.FetchConfigResponse, error) {
	return p.node.config.FetchConfig(ctx, req)
}

// OfferConfig implements PeerService.
func (p *peerService) OfferConfig(ctx context.Context, req *v1.OfferConfigRequest) (*v1.OfferConfigResponse, error) {
	return p.node.config.OfferConfig(ctx, req)
}

// Events implements PeerService.
func (p *peerService) Events(_ context.Context, req *v1.EventsRequest) (*v1.EventsResponse, error) {
	return &v1.EventsResponse{Events: eventsToProto(p.node.recorder.Events(req.RequestId, int(req.Limit)))}, nil
}

func eventsToProto(events []timeline.Event) []*v1.Event {
	out := make([]*v1.Event, 0, len(events))
	for _, e := range events {
		out = append(out, &v1.Event{Hlc: int64(e.At), Node: e.Node, Code: uint32(e.Code), Name: e.Code.String(),
			RequestId: e.RequestID, Subject: e.Subject, Cause: e.Cause})
	}
	return out
}
