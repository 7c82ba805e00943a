//go:build crowd

package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/marblepond/marblepond/internal/version/workspace"
	"github.com/marblepond/marblepond/lab/deployment"
	"github.com/marblepond/marblepond/lab/engine"
	"github.com/marblepond/marblepond/lab/procs"
)

const (
	callerKey = "clerk-key"
	chatPath  = "/v1/chat/completions"
	chatBody  = `{"model":"akmens-llm","max_tokens":4,"messages":[{"role":"user","content":"Which slabs are in stock?"}]}`
)

// limitedPrograms returns a folder with the programs of a fleet, of which the node starts with few
// descriptors.
func limitedPrograms(t *testing.T) string {
	t.Helper()
	built := t.TempDir()
	if err := procs.Build(built); err != nil {
		t.Fatal(err)
	}
	node := filepath.Join(built, "marblepond")
	if err := os.Rename(node, node+"-unlimited"); err != nil {
		t.Fatal(err)
	}
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d && exec %q \"$@\"\n", maxDescriptors, node+"-unlimited")
	if err := os.WriteFile(node, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	return built
}

// startOpenAINode starts a node with the project's own interface, its platform, and an engine that takes
// no time.
func startOpenAINode(t *testing.T) *node {
	t.Helper()
	model := engine.DefaultModel()
	model.Instant = true // long prompts keep the node busy, not the engine
	return startOpenAINodeBefore(t, model)
}

// startOpenAINodeBefore does so with an engine of a model.
func startOpenAINodeBefore(t *testing.T, model engine.Model) *node {
	t.Helper()
	bin := limitedPrograms(t)
	f, err := procs.Start(deployment.Layout{
		DataCentres: []string{"saldus-hall"}, Nodes: []int{1}, Engines: 1, EngineName: "akmens-llm", Model: model, Loaded: []string{"akmens-llm@1"},
		ExtraSettings: fmt.Sprintf("[limits]\nmemory = %d\nmax_body = %d\nmax_header = %d\n", memoryMiB, maxBodyBytes, maxHeaderBytes),
		Intent:        "[service \"akmens-llm\"]\nversion = 1\n[workspace \"kurzeme\"]\nkey_sha256 = " + workspace.HashKey(callerKey).String() + "\n",
	}, t.TempDir(), bin)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	p := f.Proc(f.NodeID(0, 0))
	n := newNode(t, f.CallerAddr(0, 0))
	n.pid, n.ordinary = p.PID(), n.ordinaryChat
	go func() {
		for !p.Ended() {
			time.Sleep(sampleInterval)
		}
		close(n.exited)
	}()
	if !n.ordinaryRequest() {
		t.Fatal("the node serves no request")
	}
	go n.sampleDescriptors()
	return n
}

// ordinaryChat sends one request of the project's own interface.
func (n *node) ordinaryChat(ctx context.Context, _ int) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.address+chatPath, strings.NewReader(chatBody))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// chatHead returns the head of a request up to the fields that state the body.
func chatHead(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + callerKey + "\r\n"
}

// Guards against callers of the project's own interface that together occupy more than the memory or
// the descriptors of a node.
func TestCrowdsAtTheOwnInterface(t *testing.T) {
	withLength := func(path string, length int) []byte {
		return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", chatHead(path), length)
	}
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", 16<<10, filler[:16<<10])
	whole := longChat()
	items := bytes.Repeat([]byte(`{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"akmens-llm","messages":[]}}`+"\n"), maxBodyBytes/110)
	fields := func(bytes int) string {
		var text strings.Builder
		for i := 0; text.Len() < bytes; i++ {
			fmt.Fprintf(&text, "%03x:\r\n", i)
		}
		return text.String()
	}
	for _, c := range []struct {
		name    string
		clients int
		parts   [][]byte
	}{
		{"bodies without their last byte", crowd, [][]byte{withLength(chatPath, maxBodyBytes), filler[1:]}},
		{"chunks without end", crowd, [][]byte{[]byte(chatHead(chatPath) + "Transfer-Encoding: chunked\r\n\r\n"), bytes.Repeat(chunk, maxBodyBytes/(16<<10)-1)}},
		{"whole bodies", crowd, [][]byte{withLength(chatPath, len(whole)), whole, withLength(chatPath, len(whole)), whole}},
		{"files without end", crowd, [][]byte{withLength("/v1/files", 1<<30), items}},
		{"a file of one line", crowd, [][]byte{withLength("/v1/files", 1<<30), filler}},
		{"headers of many fields", crowd, [][]byte{[]byte(chatHead(chatPath) + fields(maxHeaderBytes-512) + "Content-Length: 10\r\n\r\n")}},
		{"headers without end", crowd, [][]byte{[]byte(chatHead(chatPath) + fields(unconfiguredHeaderBytes))}},
		{"more connections than descriptors", maxDescriptors + 100, [][]byte{[]byte("POST /")}},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := startOpenAINode(t)
			n.play(c.clients, func(w io.Writer, _ int) error { return send(w, c.parts...) })
			n.check()
		})
	}
}

// longChat returns the body of a completion whose prompt is close to the limit.
func longChat() []byte {
	return []byte(`{"model":"akmens-llm","messages":[{"role":"user","content":"` + string(filler[:maxBodyBytes-200]) + `"}]}`)
}

// Guards against whole requests of legal size that occupy an engine for so long that an ordinary
// request is not answered.
func TestLongPromptsAtASlowEngine(t *testing.T) {
	n := startOpenAINodeBefore(t, engine.DefaultModel())
	whole := longChat()
	n.play(crowd, func(w io.Writer, _ int) error {
		request := append(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", chatHead(chatPath), len(whole)), whole...)
		return send(w, request, request)
	})
	n.check()
}

// stalledBody gives some bytes and then nothing until the test ends.
type stalledBody struct {
	bytes io.Reader
	end   <-chan struct{}
}

func (b *stalledBody) Read(p []byte) (int, error) {
	if n, _ := b.bytes.Read(p); n > 0 {
		return n, nil
	}
	<-b.end
	return 0, io.ErrUnexpectedEOF
}

// Guards against unfinished bodies and headers of many streams of few HTTP/2 connections.
func TestCrowdOfStreams(t *testing.T) {
	const connections, streams = 20, 100
	n := startOpenAINode(t)
	end := make(chan struct{})
	var clients, sent sync.WaitGroup
	t.Cleanup(func() { close(end); clients.Wait() })
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	for range connections {
		transport := &http.Transport{Protocols: protocols}
		t.Cleanup(transport.CloseIdleConnections)
		for range streams {
			sent.Add(1)
			var once sync.Once
			clients.Go(func() {
				defer once.Do(sent.Done)
				body := io.MultiReader(bytes.NewReader(filler[1:]), &stalledBody{strings.NewReader(""), end})
				req, err := http.NewRequest(http.MethodPost, "http://"+n.address+chatPath, body)
				if err != nil {
					t.Error(err)
					return
				}
				req.Header.Set("Authorization", "Bearer "+callerKey)
				for i := range maxHeaderBytes / 64 {
					req.Header.Set(fmt.Sprintf("X-Field-%d", i), "0123456789abcdef")
				}
				time.AfterFunc(writeTimeout/2, func() { once.Do(sent.Done) })
				if resp, err := transport.RoundTrip(req); err == nil {
					resp.Body.Close()
				}
			})
		}
	}
	sent.Wait()
	n.check()
}
