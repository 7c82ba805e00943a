// Package openai holds the request and response formats of the OpenAI-compatible
// HTTP API between callers and nodes, and between nodes and model engines.
package openai

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/marblepond/marblepond/internal/errkind"
)

// Paths of the API.
const (
	ChatPath       = "/v1/chat/completions"
	CompletionPath = "/v1/completions"
)

// SSE framing (WHATWG HTML, section 9.2).
const (
	DataPrefix = "data: "
	DoneMark   = "[DONE]"
)

// Headers between callers, nodes and targets.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderNonIdempotent  = "Marblepond-Non-Idempotent"
	HeaderTimeoutMS      = "Marblepond-Timeout-Ms"
	HeaderNotRun         = "Marblepond-Not-Run"
	HeaderRequestID      = "X-Request-Id"
	HeaderAttempt        = "Marblepond-Attempt"
	HeaderForwarded      = "Marblepond-Forwarded"
	HeaderWorkspace      = "Marblepond-Workspace"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request holds the fields of a completion request that a node reads. The body goes
// to the engine unchanged except for the fields that Forward sets.
type Request struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Prompt    string    `json:"prompt"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	// Continuation is set only between nodes and towards engines.
	Continuation Continuation `json:"continuation"`
}

// Parse decodes and validates a request body for the given path.
func Parse(path string, body []byte) (*Request, error) {
	var r Request
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, errkind.Malformed.New("body is not a valid request: %v", err)
	}
	switch {
	case r.Model == "":
		return nil, errkind.Malformed.New(`"model" is missing`)
	case r.MaxTokens < 0:
		return nil, errkind.Malformed.New(`"max_tokens" is negative`)
	case path == ChatPath && len(r.Messages) == 0:
		return nil, errkind.Malformed.New(`"messages" is missing or empty`)
	case path == CompletionPath && r.Prompt == "":
		return nil, errkind.Malformed.New(`"prompt" is missing or empty`)
	}
	return &r, nil
}

// SharedParts returns a name for each message of a chat but the last one: its role and a hash of
// its text. Other requests may have the same messages. It returns none for other requests.
func SharedParts(path string, body []byte) []string {
	r, err := Parse(path, body)
	if err != nil || len(r.Messages) == 0 {
		return nil
	}
	var names []string
	for _, m := range r.Messages[:len(r.Messages)-1] {
		hash := sha256.Sum256([]byte(m.Content))
		names = append(names, fmt.Sprintf("%s:%x", m.Role, hash[:8]))
	}
	return names
}

// affinityPrefixBytes is how much of a prompt its affinity key takes: system prompts and
// templates are longer, and what differs between requests comes later.
const affinityPrefixBytes = 256

// Prefix returns the affinity key of the request's prompt.
func (r *Request) Prefix() string {
	text := r.Prompt
	if len(r.Messages) > 0 {
		text = r.Messages[0].Content
	}
	return text[:min(len(text), affinityPrefixBytes)]
}

// Text returns the complete prompt.
func (r *Request) Text() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Continuation asks an engine to continue after the tokens that earlier attempts
// returned.
type Continuation struct {
	Tokens int    `json:"tokens"`
	Text   string `json:"text"`
}

// Forward returns the body for an engine: with streaming on, the name of the loaded
// model in place of the caller's model name and, when receivedTokens > 0, a continuation.
func Forward(body []byte, loaded string, receivedTokens int, receivedText string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errkind.Malformed.New("body is not a JSON object: %v", err)
	}
	fields["stream"] = json.RawMessage("true")
	if loaded != "" {
		fields["model"], _ = json.Marshal(loaded)
	}
	if receivedTokens > 0 {
		fields["continuation"], _ = json.Marshal(Continuation{receivedTokens, receivedText})
	}
	return json.Marshal(fields)
}

// Delta is the new text in a chat chunk.
type Delta struct {
	Content string `json:"content,omitempty"`
}

// Choice is one choice of a chunk or of a complete answer.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Delta   `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Usage counts tokens.
type Usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// Chunk is one event of a stream, or a complete answer. Offset and Tokens are set by the
// engine: the index of the chunk's first token and its number of tokens.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Offset  *int     `json:"offset,omitempty"`
	Tokens  int      `json:"tokens,omitempty"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Text returns the chunk's new text.
func (c *Chunk) Text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	if d := c.Choices[0].Delta; d != nil {
		return d.Content
	}
	return c.Choices[0].Text
}

// FinishReason returns the chunk's finish reason; empty if there is none.
func (c *Chunk) FinishReason() string {
	if len(c.Choices) == 0 || c.Choices[0].FinishReason == nil {
		return ""
	}
	return *c.Choices[0].FinishReason
}

// Answer holds the fields that the chunks of an answer and its complete form share.
type Answer struct {
	ID      string
	Path    string
	Model   string
	Created int64 // Unix seconds
}

// Chunk returns the SSE event for a part of the answer.
func (a Answer) Chunk(text, finish string, offset, tokens int) []byte {
	choice := Choice{}
	if a.Path == ChatPath {
		choice.Delta = &Delta{text}
	} else {
		choice.Text = text
	}
	if finish != "" {
		choice.FinishReason = &finish
	}
	return sseEvent(Chunk{ID: a.ID, Object: a.object() + ".chunk", Created: a.Created, Model: a.Model,
		Choices: []Choice{choice}, Offset: &offset, Tokens: tokens})
}

// Body returns the complete answer as one JSON body.
func (a Answer) Body(text, finish string, tokens int) []byte {
	choice := Choice{FinishReason: &finish}
	if a.Path == ChatPath {
		choice.Message = &Message{"assistant", text}
	} else {
		choice.Text = text
	}
	data, _ := json.Marshal(Chunk{ID: a.ID, Object: a.object(), Created: a.Created, Model: a.Model,
		Choices: []Choice{choice}, Usage: &Usage{tokens}})
	return data
}

func (a Answer) object() string {
	if a.Path == ChatPath {
		return "chat.completion"
	}
	return "text_completion"
}

func sseEvent(v any) []byte {
	data, _ := json.Marshal(v)
	var b bytes.Buffer
	b.Grow(len(data) + len(DataPrefix) + 2)
	b.WriteString(DataPrefix)
	b.Write(data)
	b.WriteString("\n\n")
	return b.Bytes()
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail states what failed, whether any part of the request may have run, and when
// to retry.
type ErrorDetail struct {
	Type       string `json:"type"`
	Message    string `json:"message"`
	NotRun     string `json:"not_run"`
	RetryAfter int    `json:"retry_after_ms,omitempty"`
	RequestID  string `json:"request_id,omitempty"`
}

// NewErrorBody returns the body for an error.
func NewErrorBody(err error, requestID string) ErrorBody {
	kind := errkind.Of(err)
	return ErrorBody{ErrorDetail{
		Type:       kind.Name,
		Message:    errkind.Message(err),
		NotRun:     string(kind.NotRun),
		RetryAfter: int(kind.RetryAfter.Milliseconds()),
		RequestID:  requestID,
	}}
}

// ErrorEvent returns the SSE event for an error after the stream has started.
func ErrorEvent(err error, requestID string) []byte { return sseEvent(NewErrorBody(err, requestID)) }

// DoneEvent returns the last SSE event of a stream.
func DoneEvent() []byte { return []byte(DataPrefix + DoneMark + "\n\n") }

// DecodeChunk decodes the data of one SSE event from an engine.
func DecodeChunk(data []byte) (*Chunk, error) {
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, fmt.Errorf("malformed event from engine: %w", err)
	}
	if len(c.Choices) == 0 {
		return nil, fmt.Errorf("event from engine has no choices: %.200s", data)
	}
	return &c, nil
}
