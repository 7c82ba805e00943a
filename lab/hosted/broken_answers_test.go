package hosted

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// These tests guard against broken answers of a target in trouble that reach callers, or become
// results of items, at a whole fleet.

const (
	brokenStream = "Content-Type: text/event-stream\r\n"
	brokenEvents = "id: 1\ndata: not the target's\n\n"
)

// brokenForms are the forms of broken answers to requests of any size.
var brokenForms = map[string]BrokenAnswer{
	"status 000":                   {StatusLine: "HTTP/1.1 000 Text", Rest: brokenStream + "\r\n" + brokenEvents},
	"status 000, a body":           {StatusLine: "HTTP/1.1 000 Text", Rest: "Content-Length: 4\r\n\r\nbody"},
	"status 600":                   {StatusLine: "HTTP/1.1 600 Text", Rest: "Content-Length: 4\r\n\r\nbody"},
	"blank in a name":              {StatusLine: "HTTP/1.1 200 OK", Rest: "X Foo: a\r\n" + brokenStream + "\r\n" + brokenEvents},
	"control byte in a name":       {StatusLine: "HTTP/1.1 200 OK", Rest: "X\x01Foo: a\r\n" + brokenStream + "\r\n" + brokenEvents},
	"blank after the length":       {StatusLine: "HTTP/1.1 200 OK", Rest: "Content-Length : 4\r\n\r\nbody and more"},
	"blank after the coding":       {StatusLine: "HTTP/1.1 200 OK", Rest: "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
	"stream, blank after coding":   {StatusLine: "HTTP/1.1 200 OK", Rest: brokenStream + "Transfer-Encoding : chunked\r\n\r\n1f\r\n" + brokenEvents + "\r\n0\r\n\r\n"},
	"refusal, blank in a name":     {StatusLine: "HTTP/1.1 503 Full", Rest: "X-Marblepond-Not-Run: 1\r\nX Foo: a\r\nContent-Length: 0\r\n\r\n"},
	"stream, HTTP/1.0 in chunks":   {StatusLine: "HTTP/1.0 200 OK", Rest: brokenStream + "Transfer-Encoding: chunked\r\n\r\n1f\r\n" + brokenEvents + "\r\n0\r\n\r\n"},
	"stream, a part not asked for": {StatusLine: "HTTP/1.1 206 Partial Content", Rest: brokenStream + "\r\n" + brokenEvents},
}

// requestPause is the time between requests, so that nodes learn of failures before all are sent.
const requestPause = 10 * time.Millisecond

// startBrokenFleet starts a fleet of which one target in three sends broken answers of a form.
func startBrokenFleet(t *testing.T, form BrokenAnswer, change ...func(map[string]any)) *Fleet {
	t.Helper()
	f := startFleet(t, Options{Nodes: 2, Runners: 3, Slots: 16, Events: 3, Gap: time.Millisecond, Extra: shortJobTimeouts})
	f.applyConfig(t, 2, change...)
	f.Runners[0].SetBrokenAnswers(func(*http.Request) *BrokenAnswer { return &form })
	return f
}

// checkBroken sends requests of each kind with a body and checks what their callers get. The kinds
// that may go elsewhere get their whole answers.
func (f *Fleet) checkBroken(t *testing.T, requests int, body []byte) {
	t.Helper()
	var mu sync.Mutex
	statuses := map[int]int{}
	var calls sync.WaitGroup
	for i := range requests {
		path, id := []string{StreamPath, ResumePath, RepeatPath}[i%3], fmt.Sprint("r-", i)
		calls.Go(func() {
			reply := Call(context.Background(), http.MethodPost, f.Nodes[i%2].CallerAddress(), path+"x", id, map[string]string{"X-Marblepond-Deadline-Ms": "5000"}, body)
			whole := reply.Err == nil && reply.Status == http.StatusOK && StreamText(reply.Body) == f.Runners[0].Text(id)
			runs := f.runCount(id)
			mu.Lock()
			defer mu.Unlock()
			statuses[reply.Status]++
			switch {
			case reply.Err == nil && reply.Status == http.StatusOK && !whole:
				t.Errorf("%s: the answer is not its own or not whole: %q", path, reply.Body)
			case !whole && path != StreamPath:
				t.Errorf("%s: status %d, %v", path, reply.Status, reply.Err)
			case path == StreamPath && runs > 1:
				t.Errorf("%s: %d runs", path, runs)
			case reply.Err == nil && !whole && (reply.Status < http.StatusInternalServerError || reply.Status > 599):
				t.Errorf("%s: status %d", path, reply.Status)
			case reply.Status == http.StatusServiceUnavailable && runs > 0:
				t.Errorf("%s: refused as not run after %d runs", path, runs)
			}
			for name := range reply.Header {
				if strings.Contains(name, "Foo") {
					t.Errorf("%s: field %q is passed on", path, name)
				}
			}
		})
		time.Sleep(requestPause)
	}
	calls.Wait()
	sends := len(f.Runners[0].RunStarts())
	t.Logf("statuses %v, %d sends to the target in trouble", statuses, sends)
	if share := requests / len(f.Runners); sends >= share {
		t.Errorf("%d sends to the target in trouble, %d is its share if nothing holds it to be faulty", sends, share)
	}
}

// TestBrokenAnswersReachNoCaller: no part of a broken answer reaches a caller or a result.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	for name, form := range brokenForms {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startBrokenFleet(t, form)
			const items = 20
			is.Equal(SubmitJob(f.Nodes[0].CallerAddress(), "job", Items("job", items)).Status, http.StatusAccepted)
			f.checkBroken(t, 60, []byte("prompt"))
			results, err := ReadAllResults(f.callers(), "job", 15*time.Second)
			is.NoErr(err)
			is.Equal(len(results), items)
			for _, r := range results {
				is.Equal(r.State, "completed")
				is.Equal(r.Text, f.Runners[0].Text(r.ID))
			}
		})
	}
}

// uploadBytes do not fit into the buffers of a connection that its target does not read.
const uploadBytes = 8 << 20

// TestPartResetDuringTheUploadReachesNoCaller: a part of an answer without a length is not taken for
// whole when its connection is reset while the request is still being written. A stream that may be
// resumed goes on after the last whole event.
func TestPartResetDuringTheUploadReachesNoCaller(t *testing.T) {
	for name, rest := range map[string]string{"stream": brokenStream + "\r\n" + firstEvent, "body": "\r\nbody"} {
		t.Run(name, func(t *testing.T) {
			f := startBrokenFleet(t, BrokenAnswer{StatusLine: "HTTP/1.1 200 OK", Rest: rest, Early: true, Reset: true}, func(config map[string]any) {
				config["limits"].(map[string]any)["max_body_bytes"] = 2 * uploadBytes
			})
			f.checkBroken(t, 30, make([]byte, uploadBytes))
		})
	}
}
