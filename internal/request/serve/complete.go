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
	key     string // idempotency key, may be empty
	digest  []byte
	created int64 // Unix seconds
	stream  bool
	model   string // as given by the caller
	answer  *run.Answer
	// registered is closed when the replicas hold the request, or when that failed.
	registered  chan struct{}
	registerErr error // set before registered is closed
	// finished is closed when the execution has ended, after its result was sent to
	// the replicas.
	finished chan struct{}
	accepted atomic.Bool // the caller got a 200, or gets it now
	claim    *record.Claim
	cancel   context.CancelFunc
}

// decodedFactor is how many times its bytes the body of a completion takes beside the body itself:
// decoded, and encoded for the engine.
const decodedFactor = 2

// complete serves a completion, as a stream or in one body.
func (s *Server) complete(w http.ResponseWriter, r *http.Request, c *session) error {
	body, err := s.body(r, c)
	if err != nil {
		return err
	}
	if err := c.bounds.Hold(decodedFactor * int64(len(body))); err != nil {
		return err
	}
	return s.retryJoin(func() error {
		e, service, err := s.prepare(r, c, body)
		if err != nil {
			return err
		}
		return s.completeOnce(w, r, c, e, service)
	})
}

// completeOnce runs the request or, if its key is in use, joins the other one.
func (s *Server) completeOnce(w http.ResponseWriter, r *http.Request, c *session, e *execution, service *fleet.Service) error {
	w.Header().Set(openai.HeaderRequestID, e.request.ID)
	release, preferRemote, err := s.admit(r.Context(), c, service, e.request.Loaded, e.request.Deadline)
	if err != nil {
		return err
	}
	e.request.PreferRemote = preferRemote
	if !c.forwarded {
		joined, err := s.reserve(r.Context(), e)
		if err != nil || joined != nil {
			release()
			s.Allowances.Return(c.workspace) // it did not run; a joined request has taken its own token
		}
		if err != nil {
			return err
		}
		if joined != nil {
			return s.join(w, r, c, e, *joined)
		}
	}
	s.start(e, release)
	return s.respond(w, r, e)
}

// reserve registers the request at its replicas and claims it if it is
// non-idempotent. joined is set if another request has the same key; the caller
// gets the answer of that one.
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

// prepare validates a completion request and creates its execution.
func (s *Server) prepare(r *http.Request, c *session, body []byte) (*execution, *fleet.Service, error) {
	parsed, err := openai.Parse(r.URL.Path, body)
	if err != nil {
		return nil, nil, err
	}
	if parsed.Continuation.Tokens != 0 && !c.forwarded {
		return nil, nil, errkind.Malformed.New(`"continuation" is only allowed between nodes`)
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
		e.request.ID, e.request.Hops = r.Header.Get(openai.HeaderRequestID), 1
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

// digest returns the hash that distinguishes a resend from another request.
func digest(method, uri string, body []byte) []byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(uri), body} {
		h.Write(part)
		h.Write([]byte{0})
	}
	return h.Sum(nil)
}

// register stores the request at its replicas. A request with a key waits for
// them, so that a resend joins it. Without a key the request runs meanwhile, and
// only the first byte of the response waits for the replicas.
func (s *Server) register(ctx context.Context, e *execution) (joined *hold.Answer, err error) {
	if e.key == "" && !e.request.NonIdempotent {
		go func() {
			_, e.registerErr = s.Replicas.Register(context.WithoutCancel(ctx), s.replicatedRequest(e))
			close(e.registered)
		}()
		return nil, nil
	}
	defer close(e.registered)
	answer, err := s.Replicas.Register(ctx, s.replicatedRequest(e))
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

// replicatedRequest returns the form of the request that the replicas store.
func (s *Server) replicatedRequest(e *execution) hold.Request {
	self := s.Members().Self
	return hold.Request{
		ID: e.request.ID, Workspace: e.request.Workspace, Key: e.key, Digest: e.digest, Owner: self.ID, OwnerIncarnation: self.Incarnation,
		Service: e.request.Service, Path: e.request.Path, Body: e.request.Body, NonIdempotent: e.request.NonIdempotent,
		Deadline: e.request.Deadline.UnixMilli(), Created: e.created,
	}
}

// claimTimeout bounds how long a request waits for its claim.
const claimTimeout = 5 * time.Second

// claim acquires the right to dispatch a non-idempotent request, once. joined is
// set if another request has claimed the key.
func (s *Server) claim(ctx context.Context, e *execution) (joined *hold.Answer, err error) {
	self := s.Members().Self
	key := e.key
	if key == "" {
		key = e.request.ID
	}
	ctx, cancel := context.WithTimeout(ctx, min(claimTimeout, time.Until(e.request.Deadline)/2))
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

// start runs the execution independently of the caller's connection: an accepted
// request is finished and its result stored even if the caller disconnects.
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
			s.storeOutcome(ctx, e, err)
		}
		close(e.finished)
	}()
}

// storeOutcome sends the result to the replicas, or drops a request there that was
// not accepted and failed.
func (s *Server) storeOutcome(ctx context.Context, e *execution, err error) {
	ctx = context.WithoutCancel(ctx)
	<-e.registered
	if err != nil && !e.accepted.Load() && !errkind.Is(err, errkind.UnknownOutcome) {
		s.Replicas.Drop(ctx, e.request.ID) // a resend may run it again
		if e.claim != nil && errkind.Of(err).NotRun == errkind.NotRunTrue {
			s.Claims.Abandon(*e.claim)
		}
		return
	}
	result := s.result(e, err)
	s.Replicas.Finish(ctx, result)
}

// result returns the form of the outcome that the replicas store.
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
	result.Body = e.encoder().Body(text, finish, tokens)
	return result
}

// rerunTimeout bounds the run of a request that was taken over from a dead node.
const rerunTimeout = 30 * time.Second

// Rerun runs a request whose owner died. A non-idempotent one may have run, so it
// is not repeated and its outcome is recorded as unknown.
func (s *Server) Rerun(original hold.Request) {
	config := s.Config()
	e := &execution{
		request: run.Request{ID: original.ID, Workspace: original.Workspace, Service: original.Service, Path: original.Path, Method: http.MethodPost,
			Body: original.Body, Deadline: time.Now().Add(rerunTimeout), NonIdempotent: original.NonIdempotent},
		key: original.Key, digest: original.Digest, created: original.Created, answer: run.NewAnswer(original.ID),
		registered: make(chan struct{}), finished: make(chan struct{}),
	}
	close(e.registered)
	e.accepted.Store(true) // not known, but its result must be stored if it was
	parsed, err := openai.Parse(original.Path, original.Body)
	service, workspace := config.Services[original.Service], config.Workspaces.ByName(original.Workspace)
	if original.NonIdempotent || err != nil || service == nil || workspace == nil {
		s.Replicas.Finish(context.Background(), s.result(e, errkind.UnknownOutcome.New("the node that ran the request was lost")))
		return
	}
	_, e.request.Loaded = config.ServiceFor(workspace, parsed.Model)
	e.request.Prefix, e.model = parsed.Prefix(), parsed.Model
	e.request.Work = run.WorkOf(&e.request)
	s.Replicas.Register(context.Background(), s.replicatedRequest(e)) // informs the other replica of the new owner
	s.start(e, func() {})
}
