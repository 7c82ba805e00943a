package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a sound stand-in for a model runner (PROTOCOL.md, "Runners"). Its answer is a stream of
// events; event n has the data "ID:n".
type runner struct {
	id, address, zone string
	service           string
	slots, queue      int
	events            int
	gap               time.Duration
	rec               *record

	mu      sync.Mutex
	running int
	waiting int
	seq     int
	down    bool // it accepts no request: it answers as if it were full
}

// entry is what the runner writes under kind "servers".
func (r *runner) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	return map[string]any{"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready", fieldWarmUp: 0, "seq": r.seq}
}

func (r *runner) listen() (io.Closer, error) {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: r}
	go server.Serve(l)
	return server, nil
}

func (r *runner) notRun(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(status)
}

// takeSlot waits for a slot while there is room in the queue.
func (r *runner) takeSlot(req *http.Request) bool {
	r.mu.Lock()
	if r.down || r.running >= r.slots && r.waiting >= r.queue {
		r.mu.Unlock()
		return false
	}
	r.waiting++
	for r.running >= r.slots {
		r.mu.Unlock()
		select {
		case <-req.Context().Done():
			r.mu.Lock()
			r.waiting--
			r.mu.Unlock()
			return false
		case <-time.After(2 * time.Millisecond):
		}
		r.mu.Lock()
	}
	r.waiting--
	r.running++
	r.mu.Unlock()
	return true
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(headerID)
	w.Header().Set(headerID, id)
	if req.URL.Path == "/healthz" {
		w.Header().Set(headerInstance, r.id)
		return
	}
	if _, err := io.ReadAll(req.Body); err != nil {
		return
	}
	switch expected := req.Header.Get(headerExpect); {
	case id == "":
		r.notRun(w, 400)
		return
	case expected != "" && expected != r.id:
		r.notRun(w, 421)
		return
	}
	limit := 60 * time.Second
	if ms, err := strconv.Atoi(req.Header.Get(headerDeadline)); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	until := time.Now().Add(limit)
	if tooLarge(req) || !r.takeSlot(req) {
		r.notRun(w, 503)
		return
	}
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	r.rec.noteRun(id)
	r.rec.add("run", "runner", r.id, "request", id, "after", after)
	w.Header().Set(headerStamp, fmt.Sprintf("%s.%s.%d", r.id, id, time.Now().UnixNano()))
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for n := after + 1; n <= r.events; n++ {
		select {
		case <-req.Context().Done():
			r.rec.add("dropped", "runner", r.id, "request", id, "at", n)
			return
		case <-time.After(r.gap):
		}
		if time.Now().After(until) {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, n)); err != nil {
			return
		}
		if flush.Flush() != nil {
			return
		}
	}
	r.rec.finished(id)
	r.rec.add("finished", "runner", r.id, "request", id)
}

// kvTokens is the memory of a runner in tokens. A larger request is rejected as if the runner were full.
const kvTokens = 72000

func tooLarge(req *http.Request) bool {
	prompt, output, _ := strings.Cut(req.Header.Get(headerTokens), ",")
	p, _ := strconv.Atoi(prompt)
	o, _ := strconv.Atoi(output)
	return p+o > kvTokens
}

func eventData(id string, n int) string { return id + ":" + strconv.Itoa(n) }

// wholeText is the text of the result of an item that is completed.
func wholeText(id string, events int) string {
	lines := make([]string, events)
	for n := range lines {
		lines[n] = eventData(id, n+1)
	}
	return strings.Join(lines, "\n")
}
