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

// forwardedHeaders are the caller's headers that are forwarded to a plain service.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", openai.HeaderIdempotencyKey}

// servePlain serves a call to a plain service.
func (s *Server) servePlain(w http.ResponseWriter, r *http.Request, c *session) error {
	name := r.PathValue("name")
	service := c.config.Services[name]
	if service == nil || service.Kind != fleet.KindPlain || !c.workspace.MayUse(name) {
		return errkind.NotFound.New("no service %q", name)
	}
	body, err := s.body(r, c)
	if err != nil {
		return err
	}
	return s.retryJoin(func() error { return s.plainAttempt(w, r, c, service, body) })
}

// plainAttempt runs the call or, if its key is in use, joins the other one.
func (s *Server) plainAttempt(w http.ResponseWriter, r *http.Request, c *session, service *fleet.Service, body []byte) error {
	now := time.Now()
	deadline, err := s.deadline(r, service, now)
	if err != nil {
		return err
	}
	e := s.newExecution(r, c, service, body, now)
	e.request.Deadline = deadline
	e.request.Path = strings.TrimPrefix(r.URL.RequestURI(), "/services/"+service.Name)
	e.request.Header = forwardHeaders(r.Header)
	e.request.Work = run.WorkOf(&e.request)
	w.Header().Set(openai.HeaderRequestID, e.request.ID)
	release, _, err := s.admit(r.Context(), c, service, "", deadline)
	if err != nil {
		return err
	}
	defer release()
	if e.key == "" && !e.request.NonIdempotent {
		return s.plainDirect(w, r, e)
	}
	joined, err := s.reserve(r.Context(), e)
	if err != nil || joined != nil {
		s.Allowances.Return(c.workspace) // it did not run; a joined request has taken its own token
	}
	if err != nil {
		return err
	}
	if joined != nil {
		return s.join(w, r, c, e, *joined)
	}
	return s.plainReplicated(w, r, e)
}

// forwardHeaders returns the headers that are forwarded.
func forwardHeaders(all http.Header) http.Header {
	out := http.Header{}
	for _, name := range forwardedHeaders {
		if values := all.Values(name); len(values) > 0 {
			out[http.CanonicalHeaderKey(name)] = values
		}
	}
	return out
}

// plainDirect runs an idempotent call without a key. It is cancelled if the caller
// disconnects, because no later request could fetch the answer.
func (s *Server) plainDirect(w http.ResponseWriter, r *http.Request, e *execution) error {
	answer, err := s.Runner.Plain(r.Context(), e.request)
	if err != nil {
		return err
	}
	writePlain(w, answer)
	return nil
}

// plainReplicated runs a call with a key or a claim to its end, even if the caller
// disconnects, and stores the answer at the replicas.
func (s *Server) plainReplicated(w http.ResponseWriter, r *http.Request, e *execution) error {
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
			s.storeOutcome(ctx, e, err)
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
