package job

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/timeline"
)

// PeerService answers other nodes about the jobs of a manager.
type PeerService struct{ m *Manager }

// PeerService returns the service for other nodes.
func (m *Manager) PeerService() PeerService { return PeerService{m} }

// Held implements the peers' service.
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

// End implements the peers' service.
func (s PeerService) End(_ context.Context, req *v1.EndRequest) (*v1.EndResponse, error) {
	s.m.EndSeen(req.Job)
	return &v1.EndResponse{}, nil
}

// Adopt implements the peers' service: it takes over jobs that nobody holds.
func (s PeerService) Adopt(_ context.Context, req *v1.AdoptRequest) (*v1.AdoptResponse, error) {
	if !s.m.cfg.Holds {
		return &v1.AdoptResponse{}, nil
	}
	go func() {
		for _, id := range req.Jobs {
			s.m.adopt(context.Background(), id, Holder{})
		}
	}()
	return &v1.AdoptResponse{}, nil
}

// noticeTimeout bounds a message that only speeds up what the store tells too.
const noticeTimeout = 300 * time.Millisecond

// endTimeout bounds the writing of a job's end.
const endTimeout = 2 * time.Second

// EndJob ends a job for its caller; when it returns nil the end is in the
// store. Errors: errkind.NotFound, errkind.PlatformUnavailable.
func (m *Manager) EndJob(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	known, _ := m.knownHead(id)
	holder := known.head.Holder
	if !m.known(id) && holder == (Holder{}) {
		head, err := m.locate(ctx, id, false)
		if err != nil {
			return err
		}
		holder = head.Holder
	}
	if !m.Ended(id) {
		if _, _, err := m.create(ctx, KindEnds, id, encode(struct{ Ended int64 }{time.Now().UnixMilli()})); err != nil {
			return errkind.PlatformUnavailable.New("the end of the job is not in the object store: %v", err)
		}
	}
	m.EndSeen(id)
	if holder != (Holder{}) && holder.Node != m.cfg.Self.Node {
		m.tellEnd(holder, id)
	}
	return nil
}

func (m *Manager) tellEnd(holder Holder, id string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
		defer cancel()
		if _, err := m.Peers.Job(holder.Address).End(ctx, &v1.EndRequest{Job: id}); err != nil {
			m.Recorder.Record(timeline.JobEnded, id, holder.Node, "the holder was not told and learns it from the store: "+err.Error())
		}
	}()
}

// handOver gives the jobs up in the store and asks another node to hold them.
func (m *Manager) handOver(ctx context.Context, jobs []*held) {
	var given []string
	for _, h := range jobs {
		if m.giveUp(ctx, h) {
			given = append(given, h.id)
		}
	}
	holders := m.Peers.Holders()
	rand.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	var wg sync.WaitGroup
	for i, address := range holders {
		var part []string // every len(holders)-th job
		for k := i; k < len(given); k += len(holders) {
			part = append(part, given[k])
		}
		if len(part) > 0 {
			wg.Go(func() { m.askToAdopt(ctx, address, part) })
		}
	}
	wg.Wait()
}

// askToAdopt asks a node to hold jobs. When it does not answer, the next sweep
// of any node finds them.
func (m *Manager) askToAdopt(ctx context.Context, address string, jobs []string) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	if _, err := m.Peers.Job(address).Adopt(ctx, &v1.AdoptRequest{Jobs: jobs}); err != nil {
		for _, id := range jobs {
			m.Recorder.Record(timeline.JobReleased, id, address, "the node asked to hold the job did not answer: "+err.Error())
		}
	}
}

// giveUp commits what is finished and writes a head without a holder.
func (m *Manager) giveUp(ctx context.Context, h *held) bool {
	h.writing.Lock()
	defer h.writing.Unlock()
	m.mu.Lock()
	pending := len(h.progress.pending) > 0
	released := h.released
	m.mu.Unlock()
	if released {
		return false
	}
	if pending && !m.commit(h) {
		return false
	}
	m.mu.Lock()
	if h.released {
		m.mu.Unlock()
		return false
	}
	head, revision := h.head, h.revision
	head.Failed, head.Keeper = h.progress.failures(), h.checkpoint.keeper
	m.release(h, "this node leaves")
	m.mu.Unlock()
	if head.Complete() {
		return false
	}
	head.Holder = Holder{}
	_, err := m.updateHead(ctx, h.id, &head, revision)
	return err == nil
}
