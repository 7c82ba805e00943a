package serve

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/marblepond/marblepond/internal/connection/openai"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/record"
	"github.com/marblepond/marblepond/internal/request/assemble"
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
	release, err := s.admit(c, service, e.request.Loaded, e.request.Deadline)
	if err != nil {
		return err
	}
	if !c.forwarded {
		joined, err := s.reserve(r.Context(), e)
		if err != nil || joined != nil {
			release()
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

const (
	// joinRounds is how often a caller joins a request that then comes to
	// nothing, before it is told so.
	joinRounds = 4
	joinPause  = 50 * time.Millisecond
)

// rejoining tries a keyed request again when the one it had joined ended
// without a result: that one was refused before anything was sent, or gave way
// to the holder of the key's claim.
func (s *Server) rejoining(try func() error) error {
	var err error
	for range joinRounds {
		var dropped droppedError
		if err = try(); !errors.As(err, &dropped) {
			return err
		}
		err = dropped.final
		time.Sleep(joinPause)
	}
	return err
}

// droppedError says that a joined request ended without a result.
type droppedError struct {
	final error // what the caller is told when no further try follows
}

// Error implements error.
func (d droppedError) Error() string { return "the joined request ended without a result" }

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
		s.Keeper.Drop(context.WithoutCancel(ctx), e.request.ID)
	}
	return joined, err
}

func (s *Server) prepare(r *http.Request, c *session, body []byte) (*execution, *fleet.Service, error) {
	parsed, err := openai.Parse(r.URL.Path, body)
	if err != nil {
		return nil, nil, err
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
	if c.forwarded {
		e.request.ID, e.request.Hops, e.request.NonIdempotent = r.Header.Get(openai.HeaderRequestID), 1, false
		e.answer = run.NewAnswer(e.request.ID)
	}
	return e, service, nil
}

func (s *Server) newExecution(r *http.Request, c *session, service *fleet.Service, body []byte, now time.Time) *execution {
	key := r.Header.Get(openai.HeaderIdempotencyKey)
	id := homes.NewID(s.Members().Self.DataCentre, s.Keeper.SecondCentre(), now.Unix(), c.workspace.Name, key)
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
			_, e.refusal = s.Keeper.Register(context.WithoutCancel(ctx), s.held(e))
			close(e.registered)
		}()
		return nil, nil
	}
	defer close(e.registered)
	answer, err := s.Keeper.Register(ctx, s.held(e))
	switch {
	case err != nil:
		return nil, err
	case answer.State == hold.Conflict:
		return nil, errkind.KeyConflict.New("the key was used with another body")
	case answer.State == hold.Fresh:
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
		s.Keeper.Drop(ctx, e.request.ID) // a resend may run it anew
		if e.claim != nil && errkind.Of(err).NotRun == errkind.NotRunTrue {
			s.Claims.Abandon(*e.claim)
		}
		return
	}
	result := s.result(e, err)
	s.Keeper.Finish(ctx, result)
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

func (e *execution) shape() openai.Answer {
	return openai.Answer{ID: e.request.ID, Path: e.request.Path, Model: e.model, Created: e.created}
}

// answer sends the answer as it grows, or whole.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, e *execution) error {
	if !e.stream {
		return s.answerWhole(w, r, e)
	}
	sent := 0
	for {
		state := e.answer.From(sent)
		if len(state.Pieces) > 0 {
			if err := s.writePieces(w, r, e, state.Pieces); err != nil {
				return err
			}
			sent += len(state.Pieces)
			continue
		}
		if state.Done {
			return s.endStream(w, e, state.Err)
		}
		select {
		case <-state.Changed:
		case <-r.Context().Done():
			s.callerGone(e)
			return nil
		}
	}
}

// callerGone gives a request up that nobody was told of and nobody can ask for.
func (s *Server) callerGone(e *execution) {
	if !e.accepted.Load() && e.key == "" && !e.request.NonIdempotent {
		e.cancel()
	}
}

func (s *Server) writePieces(w http.ResponseWriter, r *http.Request, e *execution, pieces []assemble.Piece) error {
	if !e.accepted.Load() {
		if err := s.accept(w, e); err != nil {
			return err
		}
	}
	shape := e.shape()
	for _, p := range pieces {
		if p.Finish != "" {
			<-e.finished // the whole answer is kept before its end is told
		}
		if _, err := w.Write(shape.Chunk(p.Text, p.Finish, p.Offset, p.Tokens)); err != nil {
			return nil // the caller is gone; the execution goes on
		}
	}
	return http.NewResponseController(w).Flush()
}

// accept tells the caller, with the header of a 200, that the request is owed
// an answer; the homes must hold it by then.
func (s *Server) accept(w http.ResponseWriter, e *execution) error {
	if e.request.Hops == 0 {
		<-e.registered
		if e.refusal != nil {
			e.cancel()
			return errkind.Overloaded.New("no node can keep the request")
		}
	}
	e.accepted.Store(true)
	s.Recorder.Record(timeline.RequestAccepted, e.request.ID, e.request.Service, "")
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	return nil
}

func (s *Server) endStream(w http.ResponseWriter, e *execution, err error) error {
	if !e.accepted.Load() {
		s.checkNotRun(e, err)
		return err
	}
	<-e.finished
	if err != nil {
		w.Write(openai.ErrorEvent(err, e.request.ID))
		return nil
	}
	s.Recorder.Record(timeline.RequestAnswered, e.request.ID, e.request.Service, "streamed")
	w.Write(openai.DoneEvent())
	return nil
}

// checkNotRun asserts that a refusal that says "not run" is true: no piece of
// an answer has come.
func (s *Server) checkNotRun(e *execution, err error) {
	if err != nil && errkind.Of(err).NotRun == errkind.NotRunTrue {
		s.Checker.Assert(e.answer.Held() == 0, invariant.NotRunTrue, e.request.ID, e.request.Service, "tokens arrived for a request refused as not run")
	}
}

func (s *Server) answerWhole(w http.ResponseWriter, r *http.Request, e *execution) error {
	select {
	case <-e.finished:
	case <-r.Context().Done():
		s.callerGone(e)
		return nil
	}
	if err := e.answer.From(0).Err; err != nil {
		s.checkNotRun(e, err)
		return err
	}
	if e.request.Hops == 0 && e.refusal != nil {
		return e.refusal
	}
	e.accepted.Store(true)
	s.Recorder.Record(timeline.RequestAnswered, e.request.ID, e.request.Service, "whole")
	result := s.result(e, nil)
	w.Header().Set("Content-Type", result.ContentType)
	w.Write(result.Body)
	return nil
}

// joinWait is the longest single wait for a joined request's answer.
const joinWait = 5 * time.Second

// join answers a resend with the running request's answer.
func (s *Server) join(w http.ResponseWriter, r *http.Request, c *session, e *execution, first hold.Answer) error {
	s.Recorder.Record(timeline.RequestJoined, first.RequestID, e.request.Service, "resend "+e.request.ID)
	w.Header().Set(openai.HeaderRequestID, first.RequestID)
	answer := first
	for answer.State == hold.Running {
		wait := min(joinWait, time.Until(e.request.Deadline))
		if wait <= 0 || r.Context().Err() != nil {
			return errkind.DeadlineExceeded.New("request %s is still running; ask again", first.RequestID)
		}
		answer = s.Keeper.Find(r.Context(), first.RequestID, c.workspace.Name, wait)
	}
	if answer.State != hold.Done && e.request.NonIdempotent {
		return droppedError{errkind.UnknownOutcome.New("request %s has this key; its outcome is not known here", first.RequestID)}
	}
	if answer.State != hold.Done {
		return droppedError{errkind.TargetFailed.New("request %s ended without an answer; send it again", first.RequestID)}
	}
	return writeResult(w, e.stream, *answer.Result)
}

// writeResult sends a kept result, as a stream of one piece when the caller
// asked for a stream.
func writeResult(w http.ResponseWriter, stream bool, result hold.Result) error {
	if result.ErrorKind != "" {
		return errkind.ByName(result.ErrorKind).New("the request ended with this error")
	}
	if !stream {
		w.Header().Set("Content-Type", result.ContentType)
		w.WriteHeader(result.Status)
		w.Write(result.Body)
		return nil
	}
	w.Header().Set("Content-Type", "text/event-stream")
	shape, text, finish, tokens := unshape(result)
	w.Write(shape.Chunk(text, finish, 0, tokens))
	w.Write(openai.DoneEvent())
	return nil
}

// unshape reads the parts of a whole answer.
func unshape(result hold.Result) (shape openai.Answer, text, finish string, tokens int) {
	var whole openai.Chunk
	json.NewDecoder(bytes.NewReader(result.Body)).Decode(&whole)
	shape = openai.Answer{ID: whole.ID, Path: openai.CompletionPath, Model: whole.Model, Created: whole.Created}
	if len(whole.Choices) > 0 {
		text = whole.Choices[0].Text
		if m := whole.Choices[0].Message; m != nil {
			shape.Path, text = openai.ChatPath, m.Content
		}
	}
	if whole.Usage != nil {
		tokens = whole.Usage.CompletionTokens
	}
	return shape, text, whole.Finish(), tokens
}

// response returns a kept result.
func (s *Server) response(w http.ResponseWriter, r *http.Request, c *session) error {
	id := r.PathValue("id")
	answer := s.Keeper.Find(r.Context(), id, c.workspace.Name, 0)
	switch answer.State {
	case hold.Done:
		return writeResult(w, false, *answer.Result)
	case hold.Running:
		writeJSON(w, http.StatusAccepted, runningBody{ID: id, Status: "in_progress"})
		return nil
	}
	return errkind.NotFound.New("no response %q", id)
}

type runningBody struct {
	ID     string `json:"id"`
	Status string `json:"status"`
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
	service, workspace := config.Services[held.Service], config.Workspaces[held.Workspace]
	if held.NonIdempotent || err != nil || service == nil || workspace == nil {
		s.Keeper.Finish(context.Background(), s.result(e, errkind.UnknownOutcome.New("the node that ran the request was lost")))
		return
	}
	_, e.request.Loaded = config.ServiceFor(workspace, parsed.Model)
	e.request.Prefix, e.model = parsed.Prefix(), parsed.Model
	s.Keeper.Register(context.Background(), s.held(e)) // the other home learns the new owner
	s.start(e, func() {})
}
