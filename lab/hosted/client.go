package hosted

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Reply is the response that a client received.
type Reply struct {
	Status int
	Header http.Header
	Body   string
	Err    error // no response, or an incomplete one
}

// SendRequest sends an online request and reads the complete response.
func SendRequest(ctx context.Context, node, path, id string, header map[string]string) Reply {
	return Call(ctx, http.MethodPost, node, path, id, header, []byte("prompt"))
}

// Call sends any request of a client.
func Call(ctx context.Context, method, node, path, id string, header map[string]string, body []byte) Reply {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, bytes.NewReader(body))
	if err != nil {
		return Reply{Err: err}
	}
	req.Host = Host
	if id != "" {
		req.Header.Set("X-Marblepond-Request-Id", id)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return Reply{Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: string(data), Err: err}
}

// StreamText returns the data of a stream's events, one per line.
func StreamText(body string) string {
	var lines []string
	for _, line := range strings.Split(body, "\n") {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			lines = append(lines, data)
		}
	}
	return strings.Join(lines, "\n")
}

// Item is an item of a job as clients send it.
type Item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  float64           `json:"tokens"`
}

// Items returns n items of a job.
func Items(job string, n int) []Item {
	var items []Item
	for i := range n {
		items = append(items, Item{ID: fmt.Sprintf("%s-%d", job, i), Path: BatchPath + "run", Body: []byte(fmt.Sprintf("body %d", i)), Tokens: 100})
	}
	return items
}

// jobBody returns the body of a submission.
func jobBody(items []Item) []byte {
	body, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		panic(err) // items hold only plain fields
	}
	return body
}

// SubmitJob sends a job.
func SubmitJob(node, job string, items []Item) Reply {
	return Call(context.Background(), http.MethodPost, node, BatchPath+"submit", job, map[string]string{"X-Marblepond-Deadline-Ms": "4000"}, jobBody(items))
}

// Result is one result of a job.
type Result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// Results is the response to a read of results.
type Results struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []Result `json:"results"`
}

// ReadResults reads results from a position on. It also returns the HTTP status.
func ReadResults(node, job string, after int) (Results, int) {
	return readResults(node, job, after, map[string]string{"X-Marblepond-Wait-Ms": "300"})
}

func readResults(node, job string, after int, header map[string]string) (Results, int) {
	reply := Call(context.Background(), http.MethodGet, node, fmt.Sprintf("/v1/lots/%s?after=%d", job, after), "", header, nil)
	var r Results
	if reply.Err != nil || reply.Status != http.StatusOK || json.Unmarshal([]byte(reply.Body), &r) != nil {
		return Results{}, reply.Status
	}
	return r, reply.Status
}

// ReadAllResults reads all results of a job, from the nodes in turn.
func ReadAllResults(nodes []string, job string, within time.Duration) ([]Result, error) {
	return readAllResults(nodes, job, within, func(node string, after int) (Results, int) { return ReadResults(node, job, after) })
}

func readAllResults(nodes []string, job string, within time.Duration, read func(node string, after int) (Results, int)) ([]Result, error) {
	var all []Result
	until := time.Now().Add(within)
	for n := 0; time.Now().Before(until); n++ {
		r, status := read(nodes[n%len(nodes)], len(all))
		all = append(all, r.Results...)
		if status == http.StatusOK && len(all) >= r.Total {
			return all, nil
		}
		if len(r.Results) == 0 {
			time.Sleep(20 * time.Millisecond)
		}
	}
	return all, fmt.Errorf("job %s has %d results after %v", job, len(all), within)
}

// EndJob ends a job.
func EndJob(node, job string) Reply {
	return Call(context.Background(), http.MethodDelete, node, "/v1/lots/"+job, "", nil, nil)
}
