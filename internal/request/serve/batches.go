package serve

import (
	"encoding/json"
	"io"
	"mime"
	"mime/multipart"
	"net/http"
	"strings"
	"time"

	"github.com/marblepond/marblepond/internal/connection/openai"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/record"
	"github.com/marblepond/marblepond/internal/request/batch"
)

// fileBody is a file in the OpenAI format.
type fileBody struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Items     int    `json:"items"`
}

// putFile stores a JSONL file, sent as multipart form field "file" or as the
// body itself.
func (s *Server) putFile(w http.ResponseWriter, r *http.Request, c *session) error {
	content, err := c.bounds.StreamBody(r, batch.FileMemory(r.ContentLength))
	if err != nil {
		return err
	}
	name, content, size, err := uploadedFile(r, content)
	if err != nil {
		return err
	}
	file, err := s.Store.PutFile(r.Context(), c.config, c.workspace, name, content, size)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, newFileBody(file))
	return nil
}

func newFileBody(f record.File) fileBody {
	return fileBody{f.ID, "file", f.Bytes, f.Created, f.Name, "batch", f.Items}
}

// uploadedFile returns the file in the body of a request. size is 0 if it is unknown.
func uploadedFile(r *http.Request, body io.Reader) (name string, content io.Reader, size int64, err error) {
	media, params, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if !strings.HasPrefix(media, "multipart/") {
		return "", body, max(0, r.ContentLength), nil
	}
	parts := multipart.NewReader(body, params["boundary"])
	for {
		part, err := parts.NextPart()
		if errkind.Is(err, errkind.Overloaded) {
			return "", nil, 0, err
		}
		if err != nil {
			return "", nil, 0, errkind.Malformed.New(`the form has no field "file": %v`, err)
		}
		if part.FormName() == "file" {
			return part.FileName(), part, max(0, r.ContentLength), nil
		}
	}
}

func (s *Server) showFile(w http.ResponseWriter, r *http.Request, c *session) error {
	file, err := s.Store.File(r.Context(), c.workspace.Name, r.PathValue("id"))
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, newFileBody(file))
	return nil
}

// fileContent sends the results of a job that are committed so far, as JSONL.
func (s *Server) fileContent(w http.ResponseWriter, r *http.Request, c *session) error {
	jobID, ok := batch.JobIDFromOutputFile(r.PathValue("id"))
	if !ok {
		return errkind.NotFound.New("no results file %q", r.PathValue("id"))
	}
	job, err := s.Store.WorkspaceJob(r.Context(), c.workspace.Name, jobID)
	if err != nil {
		return err
	}
	if err := c.bounds.Hold(batch.ChunkMemory); err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/jsonl")
	for n := range job.Chunks() {
		if err := s.Store.WriteChunkResults(r.Context(), job, n, w); err != nil {
			if n == 0 {
				return err
			}
			panic(http.ErrAbortHandler) // the caller sees an aborted transfer instead of a truncated file
		}
	}
	return nil
}

// submission is the body of a new batch in the OpenAI format, extended by
// input_file_ids and non_idempotent.
type submission struct {
	InputFileID      string            `json:"input_file_id"`
	InputFileIDs     []string          `json:"input_file_ids"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	NonIdempotent    bool              `json:"non_idempotent"`
	Metadata         map[string]string `json:"metadata"`
}

// defaultWindow is the completion window of a batch that names none.
const defaultWindow = 24 * time.Hour

func (s *Server) submitBatch(w http.ResponseWriter, r *http.Request, c *session) error {
	body, err := s.body(r, c)
	if err != nil {
		return err
	}
	var sub submission
	if err := json.Unmarshal(body, &sub); err != nil {
		return errkind.Malformed.New("body is not a valid batch: %v", err)
	}
	window, err := parseWindow(sub.CompletionWindow)
	if err != nil {
		return err
	}
	files := sub.InputFileIDs
	if sub.InputFileID != "" {
		files = append([]string{sub.InputFileID}, files...)
	}
	job, err := s.Store.Submit(r.Context(), batch.Submission{
		Workspace: c.workspace.Name, Key: r.Header.Get(openai.HeaderIdempotencyKey), Endpoint: sub.Endpoint, FileIDs: files,
		Window: window, NonIdempotent: sub.NonIdempotent || r.Header.Get(openai.HeaderNonIdempotent) == "true",
	})
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusAccepted, newBatchBody(job, 0, 0))
	return nil
}

func parseWindow(text string) (time.Duration, error) {
	if text == "" {
		return defaultWindow, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, errkind.Malformed.New(`"completion_window" is %q; allowed: a duration such as 24h`, text)
	}
	return d, nil
}

// batchBody is a batch in the OpenAI format.
type batchBody struct {
	ID           string       `json:"id"`
	Object       string       `json:"object"`
	Endpoint     string       `json:"endpoint"`
	Status       string       `json:"status"`
	OutputFileID string       `json:"output_file_id"`
	CreatedAt    int64        `json:"created_at"`
	ExpiresAt    int64        `json:"expires_at"`
	EndedAt      int64        `json:"ended_at,omitempty"`
	Counts       batch.Counts `json:"request_counts"`
}

func newBatchBody(job record.Job, completed, failed int) batchBody {
	return batchBody{job.ID, "batch", job.Endpoint, string(job.State), batch.OutputFileID(job.ID), job.Created, job.Due, job.Ended,
		batch.Counts{Total: job.Total, Completed: completed, Failed: failed}}
}

func (s *Server) showBatch(w http.ResponseWriter, r *http.Request, c *session) error {
	job, err := s.Store.WorkspaceJob(r.Context(), c.workspace.Name, r.PathValue("id"))
	if err != nil {
		return err
	}
	counts, err := s.Store.Count(r.Context(), job)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, newBatchBody(job, counts.Completed, counts.Failed))
	return nil
}

func (s *Server) cancelBatch(w http.ResponseWriter, r *http.Request, c *session) error {
	c.bounds.IgnoreBody(r)
	if _, err := s.Store.WorkspaceJob(r.Context(), c.workspace.Name, r.PathValue("id")); err != nil {
		return err
	}
	job, err := s.Store.Cancel(r.Context(), r.PathValue("id"))
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, newBatchBody(job, job.Completed, job.Failed))
	return nil
}

// listLimit bounds the number of batches in a list.
const listLimit = 100

type listBody struct {
	Object string      `json:"object"`
	Data   []batchBody `json:"data"`
}

func (s *Server) listBatches(w http.ResponseWriter, r *http.Request, c *session) error {
	jobs, err := s.Store.Jobs(r.Context(), c.workspace.Name, listLimit)
	if err != nil {
		return err
	}
	list := listBody{Object: "list", Data: []batchBody{}}
	for _, job := range jobs {
		list.Data = append(list.Data, newBatchBody(job, job.Completed, job.Failed))
	}
	writeJSON(w, http.StatusOK, list)
	return nil
}
