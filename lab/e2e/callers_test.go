package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/openai"
	"github.com/marblepond/marblepond/lab/engine"
)

// openStream sends a streaming request and returns its response after the first event.
func openStream(ctx context.Context, addr, text string, tokens int) (*http.Response, *bufio.Scanner, error) {
	body := fmt.Sprintf(`{"model":"akmens-llm","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, text)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+openai.ChatPath, strings.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set("Authorization", "Bearer clerk-key")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Scan()
	return resp, lines, nil
}

// TestDisconnectedAndSlowCallers checks that an accepted request is completed and its answer
// stored when the caller disconnects, and that a slow reader gets the complete answer.
func TestDisconnectedAndSlowCallers(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t)
	ctx, disconnect := context.WithCancel(context.Background())
	resp, _, err := openStream(ctx, f.CallerAddr(0, 0), "vanishing", 40)
	is.NoErr(err)
	id := resp.Header.Get(openai.HeaderRequestID)
	disconnect()
	resp.Body.Close()
	want := engine.Answer("user: vanishing\n", 40)
	is.True(eventually(10*time.Second, func() bool {
		status, _, body, err := c.Call(context.Background(), http.MethodGet, f.CallerAddr(1, 0), "/v1/responses/"+id, nil, nil)
		var answer openai.Chunk
		return err == nil && status == http.StatusOK && json.Unmarshal(body, &answer) == nil && answer.Choices[0].Message.Content == want
	}))

	resp, lines, err := openStream(context.Background(), f.CallerAddr(0, 0), "slow", 40)
	is.NoErr(err)
	defer resp.Body.Close()
	events := 1
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), openai.DataPrefix) {
			events++
		}
		time.Sleep(20 * time.Millisecond) // slower than the engine
	}
	is.Equal(events, 41) // 40 tokens and the [DONE] event
}

// TestOverTheLimits checks that requests over a limit and malformed ones are refused before
// anything runs.
func TestOverTheLimits(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t)
	before := startCount(f)
	for _, tc := range []struct {
		body   string
		header map[string]string
		status int
	}{
		{strings.Repeat("x", 9<<20), nil, http.StatusRequestEntityTooLarge},
		{"{}", map[string]string{"Padding": strings.Repeat("x", 80<<10)}, http.StatusRequestHeaderFieldsTooLarge},
		{`{"model":"akmens-llm","messages":[]}`, nil, http.StatusBadRequest},
		{`{"model":"akmens-llm","messages":[{"role":"user","content":"x"}]}`, map[string]string{openai.HeaderTimeoutMS: "soon"}, http.StatusBadRequest},
	} {
		status, header, _, err := c.Call(context.Background(), http.MethodPost, f.CallerAddr(0, 0), openai.ChatPath, []byte(tc.body), tc.header)
		is.NoErr(err)
		is.Equal(status, tc.status)
		if status != http.StatusRequestHeaderFieldsTooLarge { // the HTTP server answers 431 itself, without the node's headers
			is.Equal(header.Get(openai.HeaderNotRun), "true")
		}
	}
	is.Equal(startCount(f), before)
}
