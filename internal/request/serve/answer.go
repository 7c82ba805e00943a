package serve

import (
	"net/http"

	"github.com/marblepond/marblepond/internal/connection/openai"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/assemble"
)

// encoder returns the encoder of the response in the OpenAI format.
func (e *execution) encoder() openai.Answer {
	return openai.Answer{ID: e.request.ID, Path: e.request.Path, Model: e.model, Created: e.created}
}

// respond sends the response: as a stream while the answer is generated, or in one
// body when it is complete.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, e *execution) error {
	if !e.stream {
		return s.respondComplete(w, r, e)
	}
	sent := 0
	for {
		state := e.answer.From(sent)
		if len(state.Pieces) > 0 {
			if err := s.writeChunks(w, r, e, state.Pieces); err != nil {
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
			s.callerDisconnected(e)
			return nil
		}
	}
}

// callerDisconnected cancels the execution if its caller got no response header and
// no later request can fetch the answer. A non-idempotent request is never cancelled.
func (s *Server) callerDisconnected(e *execution) {
	if !e.accepted.Load() && e.key == "" && !e.request.NonIdempotent {
		e.cancel()
	}
}

// writeChunks writes new pieces of the answer as chunks of the stream.
func (s *Server) writeChunks(w http.ResponseWriter, r *http.Request, e *execution, pieces []assemble.Piece) error {
	if !e.accepted.Load() {
		if err := s.accept(w, e); err != nil {
			return err
		}
	}
	encoder := e.encoder()
	for _, p := range pieces {
		if p.FinishReason != "" {
			<-e.finished // the replicas store the complete answer before its end is sent
		}
		if _, err := w.Write(encoder.Chunk(p.Text, p.FinishReason, p.Offset, p.Tokens)); err != nil {
			return nil // the caller disconnected; the execution goes on
		}
	}
	return http.NewResponseController(w).Flush()
}

// accept sends the header of a 200, which commits the system to answer the request.
// The replicas must hold the request by then.
func (s *Server) accept(w http.ResponseWriter, e *execution) error {
	if e.request.Hops == 0 {
		<-e.registered
		if e.registerErr != nil {
			e.cancel()
			return errNotReplicated()
		}
	}
	e.accepted.Store(true)
	s.Recorder.Record(timeline.RequestAccepted, e.request.ID, e.request.Service, "")
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	return nil
}

// errNotReplicated returns the error for a request that no replica could store. It
// was not accepted, but it may have run, so the error does not say "not run".
func errNotReplicated() error {
	return errkind.TargetFailed.New("no node could store the request; send it again")
}

// endStream ends a stream, or returns the error if no header was sent yet.
func (s *Server) endStream(w http.ResponseWriter, e *execution, err error) error {
	if !e.accepted.Load() {
		s.assertNotRun(e, err)
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

// assertNotRun asserts for a refusal that says "not run" that no part of an answer
// was received.
func (s *Server) assertNotRun(e *execution, err error) {
	if err != nil && errkind.Of(err).NotRun == errkind.NotRunTrue {
		s.Checker.Assert(e.answer.Held() == 0, invariant.NotRunIsTrue, e.request.ID, e.request.Service, "tokens arrived for a request refused as not run")
	}
}

// respondComplete sends the response in one body.
func (s *Server) respondComplete(w http.ResponseWriter, r *http.Request, e *execution) error {
	select {
	case <-e.finished:
	case <-r.Context().Done():
		s.callerDisconnected(e)
		return nil
	}
	if err := e.answer.From(0).Err; err != nil {
		s.assertNotRun(e, err)
		return err
	}
	if e.request.Hops == 0 && e.registerErr != nil {
		return errNotReplicated()
	}
	e.accepted.Store(true)
	s.Recorder.Record(timeline.RequestAnswered, e.request.ID, e.request.Service, "complete")
	result := s.result(e, nil)
	w.Header().Set("Content-Type", result.ContentType)
	w.Write(result.Body)
	return nil
}
