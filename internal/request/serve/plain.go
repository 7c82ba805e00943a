package serve

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/marblepond/marblepond/internal/connection/engine"
	"github.com/marblepond/marblepond/internal/connection/openai"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/hold"
	"github.com/marblepond/marblepond/internal/request/run"
	"github.com/marblepond/marblepond/internal/version/fleet"
)

// passedHeaders are the callers' headers that a plain service gets to see.
var passedHeaders = []string{"Content-Type", "Accept", "Accept-Language", openai.HeaderIdempotencyKey}

// plain serves a call to a plain service.
func (s *Server) plain(w http.ResponseWriter, r *http.Request, c *session) error {
	name := r.PathValue("name")
	service := c.config.Services[name]
	if service == nil || service.Kind != fleet.KindPlain || !c.workspace.May(name) {
		return errkind.NotFound.New("no service %q", name)
	}
	body, err := s.body(r)
	if err != nil {
		return err
	}
	return s.rejoining(func() error { return s.plainTry(w, r, c, service, body) })
}

func (s *Server) plainTry(w http.ResponseWriter, r *http.Request, c *session, service *fleet.Service, body []byte) error {
	now := time.Now()
	deadline, err := s.deadline(r, service, now)
	if err != nil {
		return err
	}
	e := s.newExecution(r, c, service, body, now)
	e.request.Deadline = deadline
	e.request.Path = strings.TrimPrefix(r.URL.RequestURI(), "/services/"+service.Name)
	e.request.Header = passed(r.Header)
	e.request.Work = run.WorkOf(&e.request)
	w.Header().Set(openai.HeaderRequestID, e.request.ID)
	release, _, err := s.admit(r.Context(), c, service, "", deadline)
	if err != nil {
		return err
	}
	defer release()
	if e.key == "" && !e.request.NonIdempotent {
		return s.plainOnce(w, r, e)
	}
	joined, err := s.reserve(r.Context(), e)
	if err != nil || joined != nil {
		s.Allowances.Return(c.workspace) // the request that it joins has its own
	}
	if err != nil {
		return err
	}
	if joined != nil {
		return s.join(w, r, c, e, *joined)
	}
	return s.plainKept(w, r, e)
}

func passed(all http.Header) http.Header {
	out := http.Header{}
	for _, name := range passedHeaders {
		if values := all.Values(name); len(values) > 0 {
			out[http.CanonicalHeaderKey(name)] = values
		}
	}
	return out
}

// plainOnce runs a call that nobody can ask for again; it ends with its caller.
func (s *Server) plainOnce(w http.ResponseWriter, r *http.Request, e *execution) error {
	answer, err := s.Runner.Plain(r.Context(), e.request)
	if err != nil {
		return err
	}
	writePlain(w, answer)
	return nil
}

// plainKept runs a call with a key or a claim to its end, whatever becomes of
// the caller's connection, and keeps the answer.
func (s *Server) plainKept(w http.ResponseWriter, r *http.Request, e *execution) error {
	var answer engine.PlainAnswer
	var err error
	done := make(chan struct{})
	ctx := context.WithoutCancel(r.Context())
	s.active.Add(1)
	go func() {
		defer s.active.Done()
		defer close(done)
		answer, err = s.Runner.Plain(ctx, e.request)
		if err != nil {
			s.settle(ctx, e, err)
			return
		}
		s.Replicas.Finish(ctx, hold.Result{RequestID: e.request.ID, Workspace: e.request.Workspace, Key: e.key, Digest: e.digest,
			Status: answer.Status, ContentType: answer.Header.Get("Content-Type"), Body: answer.Body, Created: e.created})
	}()
	select {
	case <-done:
	case <-r.Context().Done():
		return nil
	}
	if err != nil {
		return err
	}
	s.Recorder.Record(timeline.RequestAnswered, e.request.ID, e.request.Service, "plain")
	writePlain(w, answer)
	return nil
}

func writePlain(w http.ResponseWriter, answer engine.PlainAnswer) {
	if t := answer.Header.Get("Content-Type"); t != "" {
		w.Header().Set("Content-Type", t)
	}
	w.WriteHeader(answer.Status)
	w.Write(answer.Body)
}
