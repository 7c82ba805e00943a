package homes

import (
	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/request/hold"
)

type peerClient = marblepondv1connect.PeerServiceClient

func requestToProto(r hold.Request) *v1.HoldRequest {
	return &v1.HoldRequest{RequestId: r.ID, Workspace: r.Workspace, IdempotencyKey: r.Key, Digest: r.Digest,
		Owner: r.Owner, OwnerIncarnation: r.OwnerIncarnation, Path: r.Path, Body: r.Body,
		NonIdempotent: r.NonIdempotent, DeadlineUnixMs: r.Deadline, CreatedUnixS: r.Created, Service: r.Service}
}

// RequestFromProto converts a request from its wire form.
func RequestFromProto(r *v1.HoldRequest) hold.Request {
	return hold.Request{ID: r.RequestId, Workspace: r.Workspace, Key: r.IdempotencyKey, Digest: r.Digest,
		Owner: r.Owner, OwnerIncarnation: r.OwnerIncarnation, Path: r.Path, Body: r.Body,
		NonIdempotent: r.NonIdempotent, Deadline: r.DeadlineUnixMs, Created: r.CreatedUnixS, Service: r.Service}
}

// AnswerToProto converts a replica's answer to its wire form.
func AnswerToProto(a hold.Answer) *v1.HoldResponse {
	return &v1.HoldResponse{State: v1.HoldState(a.State), RequestId: a.RequestID, Owner: a.Owner,
		OwnerIncarnation: a.OwnerIncarnation, Result: optionalResultToProto(a.Result)}
}

func answerFromProto(a *v1.HoldResponse) hold.Answer {
	return hold.Answer{State: hold.State(a.State), RequestID: a.RequestId, Owner: a.Owner,
		OwnerIncarnation: a.OwnerIncarnation, Result: resultFromProto(a.Result)}
}

func optionalResultToProto(r *hold.Result) *v1.Result {
	if r == nil {
		return nil
	}
	return ResultToProto(*r)
}

// ResultToProto converts a result to its wire form.
func ResultToProto(r hold.Result) *v1.Result {
	return &v1.Result{RequestId: r.RequestID, Workspace: r.Workspace, IdempotencyKey: r.Key, Digest: r.Digest,
		Status: int32(r.Status), ContentType: r.ContentType, Body: r.Body, ErrorKind: r.ErrorKind, CreatedUnixS: r.Created}
}

func resultFromProto(r *v1.Result) *hold.Result {
	if r == nil {
		return nil
	}
	return &hold.Result{RequestID: r.RequestId, Workspace: r.Workspace, Key: r.IdempotencyKey, Digest: r.Digest,
		Status: int(r.Status), ContentType: r.ContentType, Body: r.Body, ErrorKind: r.ErrorKind, Created: r.CreatedUnixS}
}

// ResultFromProto converts a result from its wire form.
func ResultFromProto(r *v1.Result) hold.Result { return *resultFromProto(r) }
