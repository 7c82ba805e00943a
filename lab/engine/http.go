package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/marblepond/marblepond/internal/connection/engine"
	"github.com/marblepond/marblepond/internal/connection/openai"
)

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+openai.ChatPath, e.complete)
	mux.HandleFunc("POST "+openai.CompletionPath, e.complete)
	mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	mux.HandleFunc("DELETE /v1/streams/{id}", func(_ http.ResponseWriter, r *http.Request) { e.cancel(r.PathValue("id")) })
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("POST /orders", e.handleOrder)
	mux.HandleFunc("GET /events", e.showEvents)
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(e.StartCounts()) })
	mux.HandleFunc("PUT /control/faults", e.handleFaults)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.currentFaults().Down && !strings.HasPrefix(r.URL.Path, "/control") {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var req openai.Request
	if err := json.Unmarshal(body, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, attempt := r.Header.Get(openai.HeaderRequestID), r.Header.Get(openai.HeaderAttempt)
	w.Header().Set(openai.HeaderRequestID, id)
	w.Header().Set(openai.HeaderAttempt, attempt)
	if chance(e.currentFaults().FailShare) {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	if !e.isLoaded(req.Model) {
		http.Error(w, "model not loaded: "+req.Model, http.StatusServiceUnavailable)
		return
	}
	if strings.Contains(req.Text(), CrashMarker) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	s := e.submit(id+"."+attempt, id, r.URL.Path, &req, req.Continuation)
	e.send(w, r, s, s.firstToken)
}

func (e *Engine) isLoaded(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.loaded) == 0 || slices.Contains(e.loaded, model)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	offset, _ := strconv.Atoi(r.URL.Query().Get("offset"))
	e.send(w, r, s, max(offset, s.firstToken))
}

// send streams the tokens of a sequence, starting at index from.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, s *sequence, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	out := &streamWriter{w: w, answer: openai.Answer{ID: s.id, Path: s.path}, faults: e.currentFaults()}
	for next := from; ; {
		e.mu.Lock()
		made, cancelled, changed := s.nextToken, s.cancelled, s.changed
		e.mu.Unlock()
		for ; next < made; next++ {
			out.token(s, next)
		}
		out.flush()
		switch {
		case made >= s.totalTokens:
			out.end()
			return
		case cancelled:
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return // the sequence keeps running, and its stream can be resumed
		}
	}
}

// streamWriter writes the chunks of a stream and applies the faults to them.
type streamWriter struct {
	w       http.ResponseWriter
	answer  openai.Answer
	faults  Faults
	delayed []byte // a chunk to be sent after the next one
}

func (o *streamWriter) token(s *sequence, i int) {
	finish := ""
	if i == s.totalTokens-1 {
		finish = "length"
	}
	piece := o.answer.Chunk(Token(s.seed, i), finish, i, 1)
	if chance(o.faults.CutShare) {
		panic(http.ErrAbortHandler)
	}
	if chance(o.faults.ReorderShare) && o.delayed == nil && finish == "" {
		o.delayed = piece
		return
	}
	o.w.Write(piece)
	if chance(o.faults.RepeatShare) {
		o.w.Write(piece)
	}
	if o.delayed != nil {
		o.w.Write(o.delayed)
		o.delayed = nil
	}
}

func (o *streamWriter) flush() { http.NewResponseController(o.w).Flush() }

func (o *streamWriter) end() { o.w.Write(openai.DoneEvent()) }

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.lastReport
	e.mu.Unlock()
	json.NewEncoder(w).Encode(report)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.applyOrder(o) {
		http.Error(w, "stale fencing token", http.StatusConflict)
	}
}

func (e *Engine) showEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	json.NewEncoder(w).Encode(e.events.since(since))
}

func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
	e.notifyRun()
}
