package serve

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/marblepond/marblepond/internal/connection/openai"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/hold"
)

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

// joinWait is the longest single wait for a joined request's answer.
const joinWait = 5 * time.Second

// join answers a resend with the running request's answer.
func (s *Server) join(w http.ResponseWriter, r *http.Request, c *session, e *execution, first hold.Answer) error {
	s.Recorder.Record(timeline.RequestJoined, first.RequestID, e.request.Service, "resend "+e.request.ID)
	w.Header().Set(openai.HeaderRequestID, first.RequestID)
	answer := first
	var silent error // a place that may know the answer is not heard
	for answer.State == hold.Running {
		wait := min(joinWait, time.Until(e.request.Deadline))
		if wait <= 0 || r.Context().Err() != nil {
			return errkind.DeadlineExceeded.New("request %s is still running; ask again", first.RequestID)
		}
		answer, silent = s.Replicas.Find(r.Context(), first.RequestID, c.workspace.Name, wait)
	}
	if answer.State != hold.Done && e.request.NonIdempotent {
		return droppedError{errkind.UnknownOutcome.New("request %s has this key; its outcome is not known here", first.RequestID)}
	}
	if silent != nil {
		return droppedError{errkind.TargetFailed.New("the answer to request %s was not found, send it again: %v", first.RequestID, silent)}
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
	answer, err := s.Replicas.Find(r.Context(), id, c.workspace.Name, 0)
	if err != nil {
		return err
	}
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
