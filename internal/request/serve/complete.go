package serve

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/marblepond/marblepond/internal/connection/openai"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/record"
	"github.com/marblepond/marblepond/internal/request/hold"
	"github.com/marblepond/marblepond/internal/request/homes"
	"github.com/marblepond/marblepond/internal/request/run"
	"github.com/marblepond/marblepond/internal/version/fleet"
)

// execution is one online request that this node runs.
type execution struct {
	request run.Request
	key     string
	digest  []byte
	created int64 // Unix seconds
	stream  bool
	model   string // as the caller named it
	answer  *run.Answer
	// registered is closed when the homes hold the request or refused to.
	registered chan struct{}
	refusal    error // set before registered is closed
	// finished is closed when the homes have the result.
	finished chan struct{}
	accepted atomic.Bool // the caller has the first byte of a 200
	claim    *record.Claim
	cancel   context.CancelFunc
}

// complete serves a completion, streamed or whole.
func (s *Server) complete(w http.ResponseWriter, r *http.Request, c *session) error {
	body, err := s.body(r)
	if err != nil {
		return err
	}
	return s.rejoining(func() error {
		e, service, err := s.prepare(r, c, body)
		if err != nil {
			return err
		}
		return s.completeOnce(w, r, c, e, service)
	})
}

func (s *Server) completeOnce(w http.ResponseWriter, r *http.Request, c *session, e *execution, service *fleet.Service) error {
	w.Header().Set(openai.HeaderRequestID, e.request.ID)
	release, away, err := s.admit(r.Context(), c, service, e.request.Loaded, e.request.Deadline)
	if err != nil {
		return err
	}
	e.request.PreferRemote = away
	if !c.forwarded {
		joined, err := s.reserve(r.Context(), e)
		if err != nil || joined != nil {
			release()
			s.Allowances.Return(c.workspace) // the request that it joins has its own
		}
		if err != nil {
			return err
		}
		if joined != nil {
			return s.join(w, r, c, e, *joined)
		}
	}
	s.start(e, release)
	return s.answer(w, r, e)
}

// reserve holds the request at its homes and, when it is non-idempotent,
// claims it. joined is another request with the same key, whose answer is the
// caller's too.
func (s *Server) reserve(ctx context.Context, e *execution) (joined *hold.Answer, err error) {
	joined, err = s.register(ctx, e)
	if err != nil || joined != nil || !e.request.NonIdempotent {
		return joined, err
	}
	joined, err = s.claim(ctx, e)
	if err != nil || joined != nil {
		s.Replicas.Drop(context.WithoutCancel(ctx), e.request.ID)
	}
	return joined, err
}

func (s *Server) prepare(r *http.Request, c *session, body []byte) (*execution, *fleet.Service, error) {
	parsed, err := openai.Parse(r.URL.Path, body)
	if err != nil {
		return nil, nil, err
	}
	if parsed.Continuation.Tokens != 0 && !c.forwarded {
		return nil, nil, errkind.Malformed.New(`"continuation" is not for callers`)
	}
	service, loaded := c.config.ServiceFor(c.workspace, parsed.Model)
	if service == nil {
		return nil, nil, errkind.UnknownModel.New("no model %q for workspace %s", parsed.Model, c.workspace.Name)
	}
	now := time.Now()
	deadline, err := s.deadline(r, service, now)
	if err != nil {
		return nil, nil, err
	}
	e := s.newExecution(r, c, service, body, now)
	e.stream, e.model = parsed.Stream, parsed.Model
	e.request.Loaded, e.request.Prefix, e.request.Deadline = loaded, parsed.Prefix(), deadline
	e.request.Work = run.WorkOf(&e.request)
	if c.forwarded {
		e.request.ID, e.request.Hops, e.request.NonIdempotent = r.Header.Get(openai.HeaderRequestID), 1, false
		e.answer = run.ContinueAnswer(e.request.ID, parsed.Continuation.Tokens, parsed.Continuation.Text)
	}
	return e, service, nil
}

func (s *Server) newExecution(r *http.Request, c *session, service *fleet.Service, body []byte, now time.Time) *execution {
	key := r.Header.Get(openai.HeaderIdempotencyKey)
	id := homes.NewID(s.Members().Self.DataCentre, s.Replicas.SecondDataCentre(), now.Unix(), c.workspace.Name, key)
	return &execution{
		request: run.Request{
			ID: id, Workspace: c.workspace.Name, Service: service.Name, Path: r.URL.Path, Method: r.Method, Body: body,
			NonIdempotent: service.NonIdempotent || r.Header.Get(openai.HeaderNonIdempotent) == "true",
		},
		key: key, digest: digest(r.Method, r.URL.RequestURI(), body), created: now.Unix(),
		answer: run.NewAnswer(id), registered: make(chan struct{}), finished: make(chan struct{}),
	}
}

func digest(method, uri string, body []byte) []byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(uri), body} {
		h.Write(part)
		h.Write([]byte{0})
	}
	return h.Sum(nil)
}

// register holds the request at its homes. With a key it waits for them, for a
// resend is to join; without one the homes are told while the request runs,
// and only the first byte of the answer waits for them.
func (s *Server) register(ctx context.Context, e *execution) (joined *hold.Answer, err error) {
	if e.key == "" && !e.request.NonIdempotent {
		go func() {
			_, e.refusal = s.Replicas.Register(context.WithoutCancel(ctx), s.held(e))
			close(e.registered)
		}()
		return nil, nil
	}
	defer close(e.registered)
	answer, err := s.Replicas.Register(ctx, s.held(e))
	switch {
	case err != nil:
		return nil, err
	case answer.State == hold.Conflict:
		return nil, errkind.KeyConflict.New("the key was used with another body")
	case answer.State == hold.Registered:
		return nil, nil
	}
	return &answer, nil
}

func (s *Server) held(e *execution) hold.Request {
	self := s.Members().Self
	return hold.Request{
		ID: e.request.ID, Workspace: e.request.Workspace, Key: e.key, Digest: e.digest, Owner: self.ID, OwnerIncarnation: self.Incarnation,
		Service: e.request.Service, Path: e.request.Path, Body: e.request.Body, NonIdempotent: e.request.NonIdempotent,
		Deadline: e.request.Deadline.UnixMilli(), Created: e.created,
	}
}

// claimTime bounds how long a request waits for its claim.
const claimTime = 5 * time.Second

// claim gets the right to send a non-idempotent request.
func (s *Server) claim(ctx context.Context, e *execution) (joined *hold.Answer, err error) {
	self := s.Members().Self
	key := e.key
	if key == "" {
		key = e.request.ID
	}
	ctx, cancel := context.WithTimeout(ctx, min(claimTime, time.Until(e.request.Deadline)/2))
	defer cancel()
	claim, won, err := s.Claims.Acquire(ctx, record.Claim{
		Workspace: e.request.Workspace, Key: key, Digest: e.digest, RequestID: e.request.ID,
		Holder: record.Holder{Node: self.ID, Incarnation: self.Incarnation}, Created: e.created,
	})
	switch {
	case err != nil:
		return nil, err
	case !won:
		return &hold.Answer{State: hold.Running, RequestID: claim.RequestID}, nil
	case time.Until(e.request.Deadline) <= 0:
		s.Claims.Abandon(claim)
		return nil, errkind.DeadlineUnmeetable.New("the deadline passed before the request was sent")
	}
	e.claim = &claim
	return nil, nil
}

// start runs the execution apart from the caller's connection: what was
// accepted is finished and kept even when the caller goes away.
func (s *Server) start(e *execution, release func()) {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	s.active.Add(1)
	go func() {
		defer s.active.Done()
		defer cancel()
		defer release()
		err := s.Runner.Online(ctx, e.request, e.answer)
		if e.request.Hops == 0 {
			s.settle(ctx, e, err)
		}
		close(e.finished)
	}()
}

// settle gives the outcome to the homes.
func (s *Server) settle(ctx context.Context, e *execution, err error) {
	ctx = context.WithoutCancel(ctx)
	<-e.registered
	if err != nil && !e.accepted.Load() && !errkind.Is(err, errkind.UnknownOutcome) {
		s.Replicas.Drop(ctx, e.request.ID) // a resend may run it anew
		if e.claim != nil && errkind.Of(err).NotRun == errkind.NotRunTrue {
			s.Claims.Abandon(*e.claim)
		}
		return
	}
	result := s.result(e, err)
	s.Replicas.Finish(ctx, result)
}

func (s *Server) result(e *execution, err error) hold.Result {
	result := hold.Result{RequestID: e.request.ID, Workspace: e.request.Workspace, Key: e.key, Digest: e.digest,
		Created: e.created, ContentType: "application/json"}
	if err != nil {
		answer := errkind.Of(err)
		result.Status, result.ErrorKind = answer.HTTPStatus, answer.Name
		result.Body, _ = json.Marshal(openai.NewErrorBody(err, e.request.ID))
		return result
	}
	text, tokens, finish := e.answer.Text()
	result.Status = http.StatusOK
	result.Body = e.shape().Whole(text, finish, tokens)
	return result
}

// rerunTime is the least time a request taken over from a dead node gets.
const rerunTime = 30 * time.Second

// Rerun runs a request whose owner died. A non-idempotent one may have run:
// its outcome is recorded as unknown, and nobody repeats it.
func (s *Server) Rerun(held hold.Request) {
	config := s.Config()
	e := &execution{
		request: run.Request{ID: held.ID, Workspace: held.Workspace, Service: held.Service, Path: held.Path, Method: http.MethodPost,
			Body: held.Body, Deadline: time.Now().Add(rerunTime), NonIdempotent: held.NonIdempotent},
		key: held.Key, digest: held.Digest, created: held.Created, answer: run.NewAnswer(held.ID),
		registered: make(chan struct{}), finished: make(chan struct{}),
	}
	close(e.registered)
	e.accepted.Store(true) // perhaps: its answer is kept either way
	parsed, err := openai.Parse(held.Path, held.Body)
	service, workspace := config.Services[held.Service], config.Workspaces.ByName(held.Workspace)
	if held.NonIdempotent || err != nil || service == nil || workspace == nil {
		s.Replicas.Finish(context.Background(), s.result(e, errkind.UnknownOutcome.New("the node that ran the request was lost")))
		return
	}
	_, e.request.Loaded = config.ServiceFor(workspace, parsed.Model)
	e.request.Prefix, e.model = parsed.Prefix(), parsed.Model
	e.request.Work = run.WorkOf(&e.request)
	s.Replicas.Register(context.Background(), s.held(e)) // the other home learns the new owner
	s.start(e, func() {})
}
