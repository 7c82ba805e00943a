// Package service is the stand-in of a plain service, some of whose calls
// must not be repeated. It keeps a ledger of what it ran.
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

// Call is one call that the service carried out.
type Call struct {
	Operation string `json:"operation"` // from the body: what the caller wants done once
	RequestID string `json:"request_id"`
}

// callBody is the body of a callBody.
type callBody struct {
	Operation string `json:"operation"`
}

// Service is the stand-in.
type Service struct {
	Delay time.Duration // before a call is carried out
	Log   io.Writer     // gets a line for each call: Unix milliseconds, operation; may be nil

	// AbortAfterCall breaks the connection after a call was carried out.
	AbortAfterCall atomic.Bool

	mu    sync.Mutex
	calls []Call
}

// maxRunning is the capacity shown in load reports.
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

// Calls returns the calls carried out, in order.
func (s *Service) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call{}, s.calls...)
}
