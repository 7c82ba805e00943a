package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const host = "desk.example"

type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
}

type lot struct {
	id    string
	items []item
}

func (l *lot) tokens() int {
	sum := 0
	for _, i := range l.items {
		sum += i.Tokens
	}
	return sum
}

// newLot returns a batch job of items that ask for a number of tokens each.
func newLot(id string, count, tokens int) *lot {
	l := &lot{id: id}
	for n := range count {
		l.items = append(l.items, item{ID: fmt.Sprintf("%s%04x", id, n), Path: fmt.Sprintf("/drafts/%d", n), Headers: map[string]string{
			headerModel: "m", headerTokens: fmt.Sprintf("%d,%d", tokens/2, tokens-tokens/2)},
			Body: base64.StdEncoding.EncodeToString([]byte("draft " + strconv.Itoa(n))), Tokens: tokens})
	}
	return l
}

// call makes one call on a new channel. status 0: there was no answer.
func (f *fleet) call(method, address, path string, header map[string]string, body []byte, limit time.Duration) (status int, answer []byte, got http.Header) {
	ctx, cancel := context.WithTimeout(f.ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, nil
	}
	defer resp.Body.Close()
	if answer, err = io.ReadAll(resp.Body); err != nil {
		return 0, nil, nil
	}
	return resp.StatusCode, answer, resp.Header
}

// Time limit and retries of the class, as the site file gives them for batch jobs.
const (
	submitLimit   = 4 * time.Second
	submitRetries = 1
)

// attempt sends a batch job once. after is what the answer gives as Retry-After.
func (f *fleet) attempt(n *node, l *lot, left time.Duration) (status int, after time.Duration) {
	body, err := json.Marshal(map[string]any{"items": l.items})
	if err != nil {
		panic(err)
	}
	f.rec.add("sent", "lot", l.id, "node", n.name, "tokens", l.tokens())
	status, _, header := f.call(http.MethodPost, n.front(), "/drafts/"+l.id, map[string]string{headerID: l.id, "Content-Type": "application/json",
		headerDeadline: strconv.FormatInt(left.Milliseconds(), 10)}, body, left)
	seconds, _ := strconv.ParseFloat(header.Get("Retry-After"), 64)
	f.rec.add("answered", "lot", l.id, "node", n.name, "status", status, "retry_after", seconds)
	return status, time.Duration(seconds * float64(time.Second))
}

// submit sends a batch job as a client does: again at another node after a refusal, a failure or no
// answer, with the pause that the answer asks for, up to a third of the time left.
func (f *fleet) submit(entries []*node, first int, l *lot) (status int) {
	until := time.Now().Add(submitLimit)
	for n := 0; n <= submitRetries && time.Now().Before(until); n++ {
		var after time.Duration
		status, after = f.attempt(entries[(first+n)%len(entries)], l, time.Until(until))
		if status == 202 || (status >= 400 && status < 500 && status != 429 && status != 408 && status != 421) {
			return status
		}
		time.Sleep(min(after, time.Until(until)/3))
	}
	return status
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

// read reads the results of a batch job from a position on.
func (f *fleet) read(n *node, id string, after int, wait time.Duration) (status int, p page) {
	header := map[string]string{}
	if wait > 0 {
		header[headerWait] = strconv.FormatInt(wait.Milliseconds(), 10)
	}
	status, text, _ := f.call(http.MethodGet, n.front(), fmt.Sprintf("%s%s?after=%d", pathLots, id, after), header, nil, wait+1500*time.Millisecond)
	if status == 200 && json.Unmarshal(text, &p) != nil {
		return -1, page{}
	}
	return status, p
}
