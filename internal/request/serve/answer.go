package serve

import (
	"net/http"

	"github.com/marblepond/marblepond/internal/connection/openai"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/assemble"
)

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
		if p.FinishReason != "" {
			<-e.finished // the whole answer is kept before its end is told
		}
		if _, err := w.Write(shape.Chunk(p.Text, p.FinishReason, p.Offset, p.Tokens)); err != nil {
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
			return errNotKept()
		}
	}
	e.accepted.Store(true)
	s.Recorder.Record(timeline.RequestAccepted, e.request.ID, e.request.Service, "")
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	return nil
}

// errNotKept refuses a request that has begun to run and that no home could
// keep: it is not owed, and it can't be said that nothing ran.
func errNotKept() error {
	return errkind.TargetFailed.New("no node could keep the request; send it again")
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
		return errNotKept()
	}
	e.accepted.Store(true)
	s.Recorder.Record(timeline.RequestAnswered, e.request.ID, e.request.Service, "whole")
	result := s.result(e, nil)
	w.Header().Set("Content-Type", result.ContentType)
	w.Write(result.Body)
	return nil
}
