// Package client is a client of the callers' API that checks the answers.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/marblepond/marblepond/internal/connection/openai"
	"github.com/marblepond/marblepond/internal/request/batch"
	"github.com/marblepond/marblepond/lab/engine"
)

// Caller sends requests with the key of one workspace.
type Caller struct {
	HTTP *http.Client
	Key  string
}

// New returns a caller with its own connection pool.
func New(key string) *Caller {
	return &Caller{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}}, Key: key}
}

// Prompt is a completion request.
type Prompt struct {
	Model     string
	Text      string
	MaxTokens int
	Stream    bool
	Header    map[string]string
	Timeout   time.Duration
}

// Outcome is the outcome of a completion request.
type Outcome struct {
	Status           int
	RequestID        string
	Kind             string // error type of a refusal; "error_in_stream" if a stream ended in an error
	NotRun           string // not-run header of a refusal
	RetryAfter       string
	Text             string
	Accepted         bool // the status was 200
	Correct          bool // the answer is complete and the expected one
	TimeToFirstToken time.Duration
	Total            time.Duration
	Gaps             []time.Duration // between events of the stream
	Err              error           // error of the connection
}

// body is the JSON body of a completion request.
type body struct {
	Model     string           `json:"model"`
	Messages  []openai.Message `json:"messages"`
	MaxTokens int              `json:"max_tokens"`
	Stream    bool             `json:"stream"`
}

// Complete sends a chat completion to the node at addr.
func (c *Caller) Complete(ctx context.Context, addr string, p Prompt) Outcome {
	data, _ := json.Marshal(body{p.Model, []openai.Message{{Role: "user", Content: p.Text}}, p.MaxTokens, p.Stream})
	start := time.Now()
	resp, err := c.send(ctx, http.MethodPost, addr, openai.ChatPath, data, p.Header)
	if err != nil {
		return Outcome{Err: err, Total: time.Since(start)}
	}
	defer resp.Body.Close()
	o := Outcome{Status: resp.StatusCode, RequestID: resp.Header.Get(openai.HeaderRequestID)}
	if resp.StatusCode != http.StatusOK {
		o.readRefusal(resp)
		return o
	}
	o.Accepted = true
	if p.Stream {
		o.readStream(resp.Body, start)
	} else {
		o.readResponse(resp.Body)
		o.TimeToFirstToken = time.Since(start)
	}
	o.Total = time.Since(start)
	want := engine.Answer((&openai.Request{Messages: []openai.Message{{Role: "user", Content: p.Text}}}).Text(), p.MaxTokens)
	o.Correct = o.Correct && o.Text == want
	return o
}

func (o *Outcome) readRefusal(resp *http.Response) {
	var e openai.ErrorBody
	json.NewDecoder(resp.Body).Decode(&e)
	o.Kind, o.NotRun, o.RetryAfter = e.Error.Type, resp.Header.Get(openai.HeaderNotRun), resp.Header.Get("Retry-After")
}

func (o *Outcome) readResponse(r io.Reader) {
	var chunk openai.Chunk
	if o.Err = json.NewDecoder(r).Decode(&chunk); o.Err != nil {
		return
	}
	if len(chunk.Choices) == 1 && chunk.Choices[0].Message != nil {
		o.Text = chunk.Choices[0].Message.Content
		o.Correct = chunk.FinishReason() != ""
	}
}

func (o *Outcome) readStream(r io.Reader, start time.Time) {
	var text strings.Builder
	last := start
	finished := false
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte(openai.DataPrefix))
		if !ok {
			continue
		}
		if string(data) == openai.DoneMark {
			o.Correct = finished
			break
		}
		var chunk openai.Chunk
		if json.Unmarshal(data, &chunk) != nil || len(chunk.Choices) == 0 {
			o.Kind = "error_in_stream"
			break
		}
		now := time.Now()
		if o.TimeToFirstToken == 0 {
			o.TimeToFirstToken = now.Sub(start)
		} else {
			o.Gaps = append(o.Gaps, now.Sub(last))
		}
		last = now
		finished = finished || chunk.FinishReason() != ""
		text.WriteString(chunk.Text())
	}
	o.Err = scanner.Err()
	o.Text = text.String()
}

func (c *Caller) send(ctx context.Context, method, addr, path string, data []byte, header map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return c.HTTP.Do(req)
}

// Call sends a request and returns status, header and body of the response.
func (c *Caller) Call(ctx context.Context, method, addr, path string, data []byte, header map[string]string) (int, http.Header, []byte, error) {
	resp, err := c.send(ctx, method, addr, path, data, header)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, out, err
}

// Batch is a batch as returned by the API.
type Batch struct {
	ID           string       `json:"id"`
	Status       string       `json:"status"`
	OutputFileID string       `json:"output_file_id"`
	Counts       batch.Counts `json:"request_counts"`
}

// Submit uploads a file and creates a batch of it.
func (c *Caller) Submit(ctx context.Context, addr string, jsonl []byte, key string, options string) (Batch, error) {
	file, err := c.Upload(ctx, addr, jsonl)
	if err != nil {
		return Batch{}, err
	}
	return c.Create(ctx, addr, file, key, options)
}

// Upload stores a file and returns its ID.
func (c *Caller) Upload(ctx context.Context, addr string, jsonl []byte) (string, error) {
	var file struct {
		ID string `json:"id"`
	}
	err := c.json(ctx, http.MethodPost, addr, "/v1/files", jsonl, map[string]string{"Content-Type": "application/jsonl"}, &file)
	return file.ID, err
}

// Create creates a batch of an uploaded file. options holds further JSON fields, with a
// leading comma.
func (c *Caller) Create(ctx context.Context, addr, fileID, key, options string) (Batch, error) {
	var b Batch
	header := map[string]string{}
	if key != "" {
		header[openai.HeaderIdempotencyKey] = key
	}
	err := c.json(ctx, http.MethodPost, addr, "/v1/batches", []byte(fmt.Sprintf(`{"input_file_id":%q,"endpoint":%q%s}`, fileID, openai.ChatPath, options)), header, &b)
	return b, err
}

// Batch reads a batch.
func (c *Caller) Batch(ctx context.Context, addr, id string) (Batch, error) {
	var b Batch
	err := c.json(ctx, http.MethodGet, addr, "/v1/batches/"+id, nil, nil, &b)
	return b, err
}

// Cancel requests the cancellation of a batch.
func (c *Caller) Cancel(ctx context.Context, addr, id string) (Batch, error) {
	var b Batch
	err := c.json(ctx, http.MethodPost, addr, "/v1/batches/"+id+"/cancel", nil, nil, &b)
	return b, err
}

// Results returns the results of a batch by item ID. It fails if an item occurs twice.
func (c *Caller) Results(ctx context.Context, addr, outputFile string) (map[string]batch.Result, error) {
	resp, err := c.send(ctx, http.MethodGet, addr, "/v1/files/"+outputFile+"/content", nil, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read results: status %d", resp.StatusCode)
	}
	out := map[string]batch.Result{}
	decoder := json.NewDecoder(resp.Body)
	for {
		var r batch.Result
		err := decoder.Decode(&r)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
		if _, twice := out[r.CustomID]; twice {
			return nil, fmt.Errorf("item %s occurs twice in the results", r.CustomID)
		}
		out[r.CustomID] = r
	}
}

// WaitBatch polls a batch until it is completed or cancelled.
func (c *Caller) WaitBatch(ctx context.Context, addr, id string) (Batch, error) {
	for {
		b, err := c.Batch(ctx, addr, id)
		if err == nil && (b.Status == "completed" || b.Status == "cancelled") {
			return b, nil
		}
		select {
		case <-ctx.Done():
			return b, fmt.Errorf("batch %s is %s (%d of %d): %w", id, b.Status, b.Counts.Completed, b.Counts.Total, ctx.Err())
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (c *Caller) json(ctx context.Context, method, addr, path string, data []byte, header map[string]string, into any) error {
	status, _, out, err := c.Call(ctx, method, addr, path, data, header)
	if err != nil {
		return err
	}
	if status >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s: status %d: %s", method, path, status, bytes.TrimSpace(out))
	}
	return json.Unmarshal(out, into)
}

// Item returns the JSONL line of a chat completion item.
func Item(id, model, text string, maxTokens int) string {
	b, _ := json.Marshal(body{Model: model, Messages: []openai.Message{{Role: "user", Content: text}}, MaxTokens: maxTokens})
	return fmt.Sprintf(`{"custom_id":%q,"method":"POST","url":%q,"body":%s}`+"\n", id, openai.ChatPath, b)
}

// ItemCorrect reports whether the result of an item is the expected answer.
func ItemCorrect(r batch.Result, text string, maxTokens int) bool {
	if r.Response == nil {
		return false
	}
	var chunk openai.Chunk
	if json.Unmarshal(r.Response.Body, &chunk) != nil || len(chunk.Choices) == 0 || chunk.Choices[0].Message == nil {
		return false
	}
	prompt := (&openai.Request{Messages: []openai.Message{{Role: "user", Content: text}}}).Text()
	return chunk.Choices[0].Message.Content == engine.Answer(prompt, maxTokens)
}
