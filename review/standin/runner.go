package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// runner is a stand-in for a model runner. It serves one request at a time on a channel, runs up
// to slots requests at once, queues a few more, and refuses all others with 503 and the header
// that says that it did not run them.
type runner struct {
	id, zone, address string
	slots, queue      int
	state             string
	cut               bool                          // it can't reach the platform's store
	weights           int                           // version of its weights
	events            int                           // of each answer
	pace              time.Duration                 // between events
	data              func(id string, n int) string // of event n

	log    *record
	places chan struct{}

	mu       sync.Mutex
	inside   int            // running and queued
	runs     map[string]int // by request ID
	finished map[string]int
	answers  int
	refusals int
	// Of a faulty runner, each repeatEach-th answer comes once more, late: at the point where the
	// next response on that channel is expected. 0: none does.
	repeatEach   int
	repeated     int // answers that came once more
	repeatedOver int // of these, refusals
}

func startRunner(log *record, r *runner) *runner {
	if r.weights == 0 {
		r.weights = 1
	}
	r.state = "ready"
	r.log, r.places, r.runs, r.finished = log, make(chan struct{}, r.slots), map[string]int{}, map[string]int{}
	listener, err := net.Listen("tcp", r.address)
	check(err)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return r
}

// entry returns what the runner registers in the platform's store.
func (r *runner) entry(seq int) map[string]any {
	return map[string]any{"service": serviceName, "address": r.address, "zone": r.zone, "version": fmt.Sprint("v", r.weights), "slots": r.slots, "state": r.state,
		fieldWarmUp: 0, "seq": seq}
}

// setRepeatEach makes the runner faulty, or sound with 0.
func (r *runner) setRepeatEach(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.repeatEach = n
}

// faulty reports whether the runner is faulty now.
func (r *runner) faulty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.repeatEach > 0
}

// serve reads requests from a channel and answers them one after another.
func (r *runner) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	var late []byte // an answer that comes once more, before the next one
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if late != nil && r.faulty() {
			if _, err := conn.Write(late); err != nil {
				return
			}
			r.log.line("runner %s: the answer before comes once more, now that %s was sent on the channel", r.id, req.Header.Get(headerID))
		}
		answer, ok := r.handle(conn, req)
		if !ok {
			return
		}
		late = r.repeat(answer, req.Header.Get(headerID))
	}
}

// repeat returns the answer if it shall come once more.
func (r *runner) repeat(answer []byte, id string) []byte {
	refusal := bytes.Contains(answer, []byte(headerNotRun))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers++
	if r.repeatEach == 0 || r.answers%r.repeatEach != 0 {
		return nil
	}
	r.repeated++
	if refusal {
		r.repeatedOver++
	}
	return answer
}

// handle answers one request and returns the whole answer; ok is false if the channel ended.
func (r *runner) handle(conn net.Conn, req *http.Request) (answer []byte, ok bool) {
	id := req.Header.Get(headerID)
	var out bytes.Buffer
	send := func(format string, args ...any) bool {
		text := fmt.Sprintf(format, args...)
		out.WriteString(text)
		_, err := conn.Write([]byte(text))
		return err == nil
	}
	if expected := req.Header.Get(headerExpect); expected != "" && expected != r.id {
		ok = send("HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerID, id, headerNotRun)
		return out.Bytes(), ok
	}
	if pin := req.Header.Get(headerPin); pin != "" && pin != strconv.Itoa(r.weights) {
		r.log.line("runner %s: refuses %s (421, its weights have version %d, %s is expected)", r.id, id, r.weights, pin)
		ok = send("HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerID, id, headerInstance, r.id, headerNotRun)
		return out.Bytes(), ok
	}
	if !r.enter() {
		r.log.line("runner %s: refuses %s (503, not run)", r.id, id)
		ok = send("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerID, id, headerNotRun)
		return out.Bytes(), ok
	}
	r.places <- struct{}{}
	defer r.leave()
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	r.log.line("runner %s: runs %s after event %q", r.id, id, req.Header.Get(headerResume))
	from, _ := strconv.Atoi(req.Header.Get(headerResume))
	if !send("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp.%s.%s\r\n%s: %d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", headerID, id, headerStamp, r.id, id, headerWeights, r.weights) {
		return nil, false
	}
	for n := from + 1; n <= r.events; n++ {
		time.Sleep(r.pace)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, r.data(id, n))
		if !send("%x\r\n%s\r\n", len(event), event) {
			return nil, false // the channel closed: the request is dropped
		}
	}
	if !send("0\r\n\r\n") {
		return nil, false
	}
	r.mu.Lock()
	r.finished[id]++
	r.mu.Unlock()
	r.log.line("runner %s: has finished %s", r.id, id)
	return out.Bytes(), true
}

func (r *runner) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inside >= r.slots+r.queue {
		r.refusals++
		return false
	}
	r.inside++
	return true
}

func (r *runner) leave() {
	<-r.places
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inside--
}
