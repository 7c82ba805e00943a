// Package service simulates a plain HTTP service, some of whose calls must not be repeated,
// and records the calls that it ran.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marblepond/marblepond/internal/connection/engine"
)

// Call is a call that the service ran.
type Call struct {
	Operation string `json:"operation"` // from the body: identifies what is to run once
	RequestID string `json:"request_id"`
}

// callBody is the body of a call.
type callBody struct {
	Operation string `json:"operation"`
}

// Service is a simulated service.
type Service struct {
	Delay time.Duration // before a call runs
	Log   io.Writer     // gets a line for each call: Unix milliseconds, operation; may be nil

	// AbortAfterCall, if set, aborts the connection after a call has run, without a response.
	AbortAfterCall atomic.Bool

	mu    sync.Mutex
	calls []Call
}

// maxRunning is the capacity stated in load reports.
const maxRunning = 64

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(engine.Report{MaxRunning: maxRunning})
	})
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(s.Calls()) })
	mux.HandleFunc("/", s.run)
	return mux
}

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var c callBody
	json.Unmarshal(body, &c)
	time.Sleep(s.Delay)
	s.mu.Lock()
	s.calls = append(s.calls, Call{c.Operation, r.Header.Get("X-Request-Id")})
	n := len(s.calls)
	if s.Log != nil {
		fmt.Fprintf(s.Log, "%d %s\n", time.Now().UnixMilli(), c.Operation)
	}
	s.mu.Unlock()
	if s.AbortAfterCall.Load() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"operation":%q,"entry":%d}`+"\n", c.Operation, n)
}

// Calls returns the calls that ran, in order.
func (s *Service) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call{}, s.calls...)
}
