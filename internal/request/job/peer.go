package job

import (
	"context"
	"errors"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/timeline"
)

// PeerService implements the job service for other nodes.
type PeerService struct{ m *Manager }

// PeerService returns the job service of this manager for other nodes.
func (m *Manager) PeerService() PeerService { return PeerService{m} }

// Held returns which of the given jobs this node holds.
func (s PeerService) Held(_ context.Context, req *v1.HeldRequest) (*v1.HeldResponse, error) {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	resp := &v1.HeldResponse{}
	for _, id := range req.Jobs {
		if s.m.held[id] != nil {
			resp.Held = append(resp.Held, id)
		}
	}
	return resp, nil
}

// End records that the caller of a job has ended it.
func (s PeerService) End(_ context.Context, req *v1.EndRequest) (*v1.EndResponse, error) {
	s.m.MarkEnded(req.Job)
	return &v1.EndResponse{}, nil
}

// Adopt takes over jobs that no node holds.
func (s PeerService) Adopt(_ context.Context, req *v1.AdoptRequest) (*v1.AdoptResponse, error) {
	if !s.m.cfg.HoldsJobs {
		return &v1.AdoptResponse{}, nil
	}
	go func() {
		for _, id := range req.Jobs {
			s.m.adopt(context.Background(), id, Holder{})
		}
	}()
	return &v1.AdoptResponse{}, nil
}

// notifyTimeout bounds a notification that only saves time: the receiver also learns its
// content from the object store.
const notifyTimeout = 300 * time.Millisecond

// endTimeout bounds the write of a job's end.
const endTimeout = 2 * time.Second

// EndJob ends a job for its caller. When it returns nil, the end is in the object store.
// Errors: errkind.NotFound, errkind.PlatformUnavailable (it is not, and will not be),
// errkind.UnknownOutcome.
func (m *Manager) EndJob(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	known, _ := m.knownHead(id)
	holder := known.head.Holder
	if !m.isAccepted(id) && holder == (Holder{}) {
		head, err := m.locate(ctx, id, false)
		if err != nil {
			return err
		}
		holder = head.Holder
	}
	if !m.Ended(id) {
		_, _, err := m.create(ctx, KindEnds, id, encode(struct{ Ended int64 }{time.Now().UnixMilli()}))
		switch {
		case errors.Is(err, errOutcomeUnknown):
			return errkind.UnknownOutcome.New("whether the job was ended is not known; send the call again")
		case err != nil:
			return errkind.PlatformUnavailable.New("the end of the job could not be written to the object store: %v", err)
		}
	}
	m.MarkEnded(id)
	if holder != (Holder{}) && holder.Node != m.cfg.Self.Node {
		m.notifyEnd(holder, id)
	}
	return nil
}

// notifyEnd notifies the holder of a job that its caller has ended it.
func (m *Manager) notifyEnd(holder Holder, id string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		if _, err := m.Peers.Job(holder.Address).End(ctx, &v1.EndRequest{Job: id}); err != nil {
			m.Recorder.Record(timeline.JobEnded, id, holder.Node, "the holder was not notified and learns it from the object store: "+err.Error())
		}
	}()
}
