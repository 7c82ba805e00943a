package checkpoint

import (
	"context"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
)

// Service serves a store to other nodes.
type Service struct{ Store *Store }

// Save implements the checkpoint service.
func (s Service) Save(_ context.Context, req *v1.SaveCheckpointsRequest) (*v1.SaveCheckpointsResponse, error) {
	return &v1.SaveCheckpointsResponse{Lacking: s.Store.Save(req.Jobs, req.Forget)}, nil
}

// Load implements the checkpoint service.
func (s Service) Load(_ context.Context, req *v1.LoadCheckpointRequest) (*v1.LoadCheckpointResponse, error) {
	return &v1.LoadCheckpointResponse{Checkpoint: s.Store.Load(req.Job)}, nil
}
