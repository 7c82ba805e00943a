// Package engine is the HTTP client of model engines and plain services. Each
// call is a single attempt; retries are the caller's decision.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/marblepond/marblepond/internal/connection/dial"
	"github.com/marblepond/marblepond/internal/connection/openai"
	"github.com/marblepond/marblepond/internal/request/assemble"
)

// Errors of an attempt.
var (
	ErrNotSent        = errors.New("no connection to the target; nothing was sent")
	ErrBusy           = errors.New("target refuses new work")
	ErrRejected       = errors.New("target rejected the request as malformed")
	ErrConnectionLost = errors.New("connection to the target was lost")
	ErrFailed         = errors.New("target failed")
	ErrStalled        = errors.New("target sent nothing for too long")
	ErrFenced         = errors.New("target rejected a stale fencing token")
	// ErrNotRun is an ErrBusy that is proved to be the answer to this attempt: it names the request
	// and the attempt, so that it is no late answer to another call.
	ErrNotRun = fmt.Errorf("%w and did not run the request", ErrBusy)
)

// Client sends requests and orders to targets.
type Client struct {
	http *http.Client
	// StallTimeout is the longest time without an event before a stream fails with
	// ErrStalled.
	StallTimeout time.Duration
}

func New(client *http.Client, stall time.Duration) *Client {
	return &Client{http: dial.WithCheckedAnswers(dial.WithoutRedirects(client)), StallTimeout: stall}
}

// Call is one attempt at a completion request.
type Call struct {
	Addr           string
	Path           string
	RequestID      string
	Attempt        int
	Body           []byte
	TokensReceived int         // received by earlier attempts; a resumed stream starts there
	Header         http.Header // extra headers; may be nil
}

// StreamID returns the ID of the attempt at the engine.
func (c Call) StreamID() string { return c.RequestID + "." + strconv.Itoa(c.Attempt) }

// Stream sends the call and passes each piece of the answer to sink until the
// stream ends. It returns nil if the engine completed the stream.
func (c *Client) Stream(ctx context.Context, call Call, sink func(assemble.Piece)) error {
	return c.stream(ctx, http.MethodPost, call.Path, call, sink)
}

// Resume continues a stream whose connection was lost, from call.TokensReceived on.
func (c *Client) Resume(ctx context.Context, call Call, sink func(assemble.Piece)) error {
	path := "/v1/streams/" + url.PathEscape(call.StreamID()) + "?offset=" + strconv.Itoa(call.TokensReceived)
	return c.stream(ctx, http.MethodGet, path, call, sink)
}

func (c *Client) stream(ctx context.Context, method, path string, call Call, sink func(assemble.Piece)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(c.StallTimeout, func() { cancel(ErrStalled) })
	defer watchdog.Stop()

	resp, sent, err := c.send(ctx, method, call.Addr, path, call)
	if err != nil {
		return attemptError(ctx, err, sent)
	}
	defer resp.Body.Close()
	if err := statusError(resp, call); err != nil {
		return err
	}
	next := call.TokensReceived
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, 4096), 1<<20)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte(openai.DataPrefix))
		if !ok {
			continue
		}
		watchdog.Reset(c.StallTimeout)
		if string(data) == openai.DoneMark {
			return nil
		}
		chunk, err := openai.DecodeChunk(data)
		if err != nil {
			return fmt.Errorf("%w: %v", ErrFailed, err)
		}
		piece := toPiece(call, chunk, next)
		next = piece.Offset + piece.Tokens
		sink(piece)
	}
	if err := attemptError(ctx, scanner.Err(), true); err != nil {
		return err
	}
	return ErrConnectionLost // ended without the [DONE] event
}

func toPiece(call Call, chunk *openai.Chunk, next int) assemble.Piece {
	piece := assemble.Piece{RequestID: call.RequestID, Attempt: call.Attempt, Offset: next,
		Tokens: chunk.Tokens, Text: chunk.Text(), FinishReason: chunk.FinishReason()}
	if chunk.Offset != nil {
		piece.Offset = *chunk.Offset
	} else if piece.Tokens == 0 && piece.Text != "" {
		piece.Tokens = 1
	}
	return piece
}

func (c *Client) send(ctx context.Context, method, addr, path string, call Call) (*http.Response, bool, error) {
	var used dial.ConnUse
	var body io.Reader
	if method == http.MethodPost {
		used.BodyBytes, body = int64(len(call.Body)), bytes.NewReader(call.Body)
	}
	req, err := http.NewRequestWithContext(used.Trace(ctx), method, "http://"+addr+path, body)
	if err != nil {
		return nil, false, err
	}
	req.GetBody = nil // an attempt is sent once; the transport must not repeat it
	for name, values := range call.Header {
		req.Header[name] = values
	}
	if method == http.MethodPost && req.Header.Get("Content-Type") == "" {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set(openai.HeaderRequestID, call.RequestID)
	req.Header.Set(openai.HeaderAttempt, strconv.Itoa(call.Attempt))
	resp, err := c.http.Do(req)
	return resp, err == nil || !used.ClaimUnsent(), err
}

func attemptError(ctx context.Context, err error, sent bool) error {
	switch {
	case errors.Is(context.Cause(ctx), ErrStalled):
		return ErrStalled
	case ctx.Err() != nil:
		return ctx.Err()
	case err == nil:
		return nil
	case errors.Is(err, dial.ErrInvalidAnswer):
		return fmt.Errorf("%w: %v", ErrFailed, err)
	case !sent:
		return fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %v", ErrConnectionLost, err)
}

func statusError(resp *http.Response, call Call) error {
	busy := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	switch {
	case resp.StatusCode < http.StatusMultipleChoices:
		return nil
	case busy && resp.Header.Get(openai.HeaderRequestID) == call.RequestID && resp.Header.Get(openai.HeaderAttempt) == strconv.Itoa(call.Attempt):
		return ErrNotRun
	case busy:
		return ErrBusy
	case resp.StatusCode < http.StatusInternalServerError:
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
		return fmt.Errorf("%w: status %d: %s", ErrRejected, resp.StatusCode, detail)
	}
	return fmt.Errorf("%w: status %d", ErrFailed, resp.StatusCode)
}

// Cancel asks the engine to stop a stream. It is best effort: the engine
// frees the sequence, nothing else depends on it.
func (c *Client) Cancel(ctx context.Context, call Call) {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete,
		"http://"+call.Addr+"/v1/streams/"+url.PathEscape(call.StreamID()), nil)
	if err != nil {
		return
	}
	if resp, err := c.http.Do(req); err == nil {
		resp.Body.Close()
	}
}

// Report is the load that an engine reports of itself. It may be out of date.
type Report struct {
	Running    int      `json:"running"`
	Waiting    int      `json:"waiting"`
	MaxRunning int      `json:"max_running"`
	Loaded     []string `json:"loaded"`
	Loading    []string `json:"loading"`
	Fence      int64    `json:"fence"` // highest fencing token of an accepted order
	Role       string   `json:"role"`
	Started    uint64   `json:"started_ms"` // start of the engine's process, Unix milliseconds; 0: not reported
}

// Load reads an engine's load report.
func (c *Client) Load(ctx context.Context, addr string) (Report, error) {
	var report Report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/load", nil)
	if err != nil {
		return report, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return report, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return report, ErrFailed
	}
	return report, json.NewDecoder(resp.Body).Decode(&report)
}

// Order tells an engine to load or unload a model. Orders are idempotent.
type Order struct {
	Fence int64  `json:"fence"` // fencing token
	Op    string `json:"op"`    // OpLoad or OpUnload
	Name  string `json:"name"`  // model to load or unload: "model@version" or "model@version+adapter"
}

// Operations of an order.
const (
	OpLoad   = "load"
	OpUnload = "unload"
)

// Order sends an order. The error is ErrFenced if the engine has accepted one with
// a higher fencing token.
func (c *Client) Order(ctx context.Context, addr string, order Order) error {
	body, _ := json.Marshal(order)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusConflict:
		return ErrFenced
	case resp.StatusCode >= http.StatusMultipleChoices:
		return fmt.Errorf("%w: order returned status %d", ErrFailed, resp.StatusCode)
	}
	return nil
}

// PlainCall is one attempt at a plain service.
type PlainCall struct {
	Addr      string
	Method    string
	Path      string // with query
	RequestID string
	Header    http.Header
	Body      []byte
	// NonIdempotent: every response of the service is final, and the transport must
	// not repeat the call.
	NonIdempotent bool
}

// PlainAnswer is the response of a plain service.
type PlainAnswer struct {
	Status int // from 200 to 599
	Header http.Header
	Body   []byte
}

const maxPlainAnswerBytes = 8 << 20

// Plain sends a call to a plain service and reads the complete response.
func (c *Client) Plain(ctx context.Context, call PlainCall) (PlainAnswer, error) {
	used := dial.ConnUse{BodyBytes: int64(len(call.Body))}
	req, err := http.NewRequestWithContext(used.Trace(ctx), call.Method, "http://"+call.Addr+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return PlainAnswer{}, fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	req.GetBody = nil
	req.Header = call.Header.Clone()
	if call.NonIdempotent {
		// On a broken connection net/http repeats a call with this header, or with some methods, if
		// its body can be rewound or is empty.
		req.Header.Del(openai.HeaderIdempotencyKey)
		req.Body = io.NopCloser(struct{ io.Reader }{bytes.NewReader(call.Body)})
	}
	req.Header.Set(openai.HeaderRequestID, call.RequestID)
	resp, err := c.http.Do(req)
	if err != nil {
		return PlainAnswer{}, attemptError(ctx, err, !used.ClaimUnsent())
	}
	dial.CheckEnd(ctx, resp, call.Addr)
	defer resp.Body.Close()
	busy := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	if busy && !call.NonIdempotent {
		return PlainAnswer{}, ErrBusy
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPlainAnswerBytes+1))
	if err != nil {
		return PlainAnswer{}, attemptError(ctx, err, true)
	}
	if len(body) > maxPlainAnswerBytes {
		return PlainAnswer{}, fmt.Errorf("%w: response is longer than %d bytes", ErrFailed, maxPlainAnswerBytes)
	}
	return PlainAnswer{resp.StatusCode, resp.Header, body}, nil
}
