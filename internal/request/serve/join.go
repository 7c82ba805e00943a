package serve

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/marblepond/marblepond/internal/connection/dial"
	"github.com/marblepond/marblepond/internal/connection/openai"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/hold"
)

const (
	// maxJoinAttempts bounds how often a caller joins a request that ends without a
	// result, before it gets an error.
	maxJoinAttempts = 4
	joinRetryDelay  = 50 * time.Millisecond
)

// retryJoin retries a request with a key if the request that it joined ended
// without a result: that one was refused or failed before it was accepted, or it
// was dropped because another request holds the key's claim.
func (s *Server) retryJoin(attempt func() error) error {
	var err error
	for range maxJoinAttempts {
		var noResult noResultError
		if err = attempt(); !errors.As(err, &noResult) {
			return err
		}
		err = noResult.reported
		time.Sleep(joinRetryDelay)
	}
	return err
}

// noResultError says that a joined request ended without a result.
type noResultError struct {
	reported error // the error for the caller after the last attempt
}

// Error implements error.
func (d noResultError) Error() string { return "the joined request ended without a result" }

// maxJoinWait bounds one wait for a joined request's answer; join repeats it until
// the deadline.
const maxJoinWait = 5 * time.Second

// join answers a resend with the answer of the request that has its key.
func (s *Server) join(w http.ResponseWriter, r *http.Request, c *session, e *execution, first hold.Answer) error {
	s.Recorder.Record(timeline.RequestJoined, first.RequestID, e.request.Service, "resend "+e.request.ID)
	w.Header().Set(openai.HeaderRequestID, first.RequestID)
	answer := first
	var findErr error // a node, or the platform, that may have the answer did not respond
	for answer.State == hold.Running {
		wait := min(maxJoinWait, time.Until(e.request.Deadline))
		if wait <= 0 || r.Context().Err() != nil {
			return errkind.DeadlineExceeded.New("request %s is still running; try again", first.RequestID)
		}
		answer, findErr = s.Replicas.Find(r.Context(), first.RequestID, c.workspace.Name, wait)
	}
	if answer.State != hold.Done && e.request.NonIdempotent {
		return noResultError{errkind.UnknownOutcome.New("request %s has this key; its outcome is unknown", first.RequestID)}
	}
	if findErr != nil {
		return noResultError{errkind.TargetFailed.New("the answer to request %s was not found, send it again: %v", first.RequestID, findErr)}
	}
	if answer.State != hold.Done {
		return noResultError{errkind.TargetFailed.New("request %s ended without an answer; send it again", first.RequestID)}
	}
	return writeResult(w, e.stream, *answer.Result)
}

// writeResult sends a stored result, as a stream of one chunk if the caller
// requested a stream.
func writeResult(w http.ResponseWriter, stream bool, result hold.Result) error {
	if result.ErrorKind != "" {
		return errkind.ByName(result.ErrorKind).New("the request ended with this error")
	}
	if !dial.IsFinalStatus(result.Status) {
		return errkind.TargetFailed.New("the stored answer has status %d", result.Status)
	}
	if !stream {
		w.Header().Set("Content-Type", result.ContentType)
		w.WriteHeader(result.Status)
		w.Write(result.Body)
		return nil
	}
	w.Header().Set("Content-Type", "text/event-stream")
	encoder, text, finish, tokens := parseAnswer(result)
	w.Write(encoder.Chunk(text, finish, 0, tokens))
	w.Write(openai.DoneEvent())
	return nil
}

// parseAnswer decodes a stored complete answer.
func parseAnswer(result hold.Result) (encoder openai.Answer, text, finish string, tokens int) {
	var answer openai.Chunk
	json.NewDecoder(bytes.NewReader(result.Body)).Decode(&answer)
	encoder = openai.Answer{ID: answer.ID, Path: openai.CompletionPath, Model: answer.Model, Created: answer.Created}
	if len(answer.Choices) > 0 {
		text = answer.Choices[0].Text
		if m := answer.Choices[0].Message; m != nil {
			encoder.Path, text = openai.ChatPath, m.Content
		}
	}
	if answer.Usage != nil {
		tokens = answer.Usage.CompletionTokens
	}
	return encoder, text, answer.FinishReason(), tokens
}

// showResponse sends a stored result.
func (s *Server) showResponse(w http.ResponseWriter, r *http.Request, c *session) error {
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
