package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// reply is what a client received.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// call sends one request of a client on a new channel and reads the whole answer.
func call(method, node, path, id string, header map[string]string, body []byte, limit time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, bytes.NewReader(body))
	check(err)
	req.Host = host
	if id != "" {
		req.Header.Set(headerID, id)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, data, err}
}

type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

const batchPath = "/sheet/"

// submit sends a batch job, again at the next node until one answers 202.
func (f *fleet) submit(job string, items []item) { f.submitAt(0, job, items) }

// submitAt is submit, with the node to begin with.
func (f *fleet) submitAt(first int, job string, items []item) {
	body, err := json.Marshal(map[string]any{"items": items})
	check(err)
	for i := range 20 {
		n := f.edges()[(first+i)%len(zones)]
		r := call(http.MethodPost, n.address, batchPath+job, job, map[string]string{headerDeadline: "4000", "Content-Type": "application/json"}, body, 5*time.Second)
		f.log.line("batch job %s of %d items sent to %s: %d %v", job, len(items), n.id, r.status, r.err)
		if r.status == http.StatusAccepted {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	panic(errCannotRun{"the batch job was not accepted"})
}

// read reads results from a position on at a node.
func (f *fleet) read(n *node, job string, after int, wait bool) (page, reply) {
	header := map[string]string{}
	if wait {
		header[headerWait] = "1000"
	}
	r := call(http.MethodGet, n.address, fmt.Sprintf("%s%s?after=%d", pathLots, job, after), "", header, nil, 4*time.Second)
	var p page
	if r.err == nil && r.status == http.StatusOK {
		check(json.Unmarshal(r.body, &p))
	}
	return p, r
}

// readAll reads a batch job at the nodes in turn, about twice a second, until all results are there.
func (f *fleet) readAll(job string, within time.Duration) ([]result, int) {
	var all []result
	total := -1
	for i, until := 0, time.Now().Add(within); time.Now().Before(until); i++ {
		n := f.edges()[i%len(zones)]
		p, r := f.read(n, job, len(all), true)
		if r.status == http.StatusOK {
			total = p.Total
		}
		f.log.line("read %s after %d at %s: status %d, %d results, total %d %v", job, len(all), n.id, r.status, len(p.Results), p.Total, r.err)
		all = append(all, p.Results...)
		if total >= 0 && len(all) >= total {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	return all, total
}
