// Package engine is the stand-in of a model engine: an OpenAI-style interface
// over a model of continuous batching. Its answers are a function of the
// prompt, so that a checker can tell a whole answer from a broken one.
package engine

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/connection/engine"
	"github.com/marblepond/marblepond/internal/connection/openai"
)

// Model is the cost model. The time of a step is the sum of a base, a part
// for each running sequence, and a part for each prompt token prefilled in it.
type Model struct {
	MaxRunning         int
	StepBase           time.Duration
	StepPerSeq         time.Duration
	PrefillPerToken    time.Duration
	PrefillChunk       int // prompt tokens prefilled in one step at most
	CacheBlocks        int // blocks of blockTokens kept of earlier prompts
	LoadReportInterval time.Duration
	ModelLoadTime      time.Duration
	ChecksFence        bool
	Instant            bool // no cost at all: to measure what is before the engine
}

// DefaultModel is a memory-bound decoder: a step of 15 ms that grows by a
// fifth when full.
func DefaultModel() Model {
	return Model{MaxRunning: 32, StepBase: 15 * time.Millisecond, StepPerSeq: 100 * time.Microsecond, PrefillPerToken: 40 * time.Microsecond,
		PrefillChunk: 512, CacheBlocks: 2000, LoadReportInterval: 200 * time.Millisecond, ModelLoadTime: 300 * time.Millisecond, ChecksFence: true}
}

// Faults can be switched on while the engine runs.
type Faults struct {
	Hang         bool    `json:"hang"`          // takes requests, answers health, makes no progress
	FailShare    float64 `json:"fail_share"`    // requests answered with 500
	CutShare     float64 `json:"cut_share"`     // chance per token that the connection breaks
	RepeatShare  float64 `json:"repeat_share"`  // chance per piece that it is sent twice
	ReorderShare float64 `json:"reorder_share"` // chance per piece that it is sent after the next
	Down         bool    `json:"down"`          // every connection is closed
}

const (
	charsPerToken    = 4
	blockTokens      = 16
	defaultMaxTokens = 16
	// resumeTime is how long an ended stream can be resumed.
	resumeTime = 10 * time.Second
	// CrashMarker in a prompt crashes the engine: an item that can never be done.
	CrashMarker = "<crash-engine>"
)

// sequence is one request inside the engine.
type sequence struct {
	id          string
	path        string
	seed        uint64
	firstToken  int // index of the first token to make
	totalTokens int // tokens of the whole answer
	prefillLeft int // prompt tokens still to be prefilled
	prompt      string
	nextToken   int // index of the next token
	cancelled   bool
	ended       time.Time
	changed     chan struct{}
}

// Engine is the stand-in.
type Engine struct {
	// Log gets a line for each start: Unix milliseconds, request ID.
	Log   io.Writer
	model Model

	mu          sync.Mutex
	faults      Faults
	running     []*sequence
	waiting     []*sequence
	streams     map[string]*sequence
	cache       *prefixCache
	loaded      []string
	loading     map[string]time.Time
	fence       int64
	started     time.Time
	crashes     int
	lastReport  engine.Report
	startCounts map[string]int // starts by request ID
	tokens      Tokens
	orders      []engine.Order
	wake        chan struct{}
	events      *eventLog
}

// New returns an engine; Run drives it.
func New(model Model, loaded ...string) *Engine {
	e := &Engine{Log: io.Discard, model: model, streams: map[string]*sequence{}, cache: newPrefixCache(model.CacheBlocks), loaded: loaded,
		loading: map[string]time.Time{}, startCounts: map[string]int{}, wake: make(chan struct{}, 1), events: newEventLog()}
	e.started = time.Now()
	e.lastReport = e.report()
	return e
}

// SetFaults switches faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Token returns the i-th token of the answer to a prompt.
func Token(seed uint64, i int) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d.%d", seed, i)
	return fmt.Sprintf("%04x ", h.Sum64()&0xffff)
}

// Seed returns what the answer to a prompt is made from.
func Seed(prompt string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(prompt))
	return h.Sum64()
}

// Answer returns the whole answer to a prompt.
func Answer(prompt string, tokens int) string {
	var b strings.Builder
	seed := Seed(prompt)
	for i := range tokens {
		b.WriteString(Token(seed, i))
	}
	return b.String()
}

// Run makes steps until done is closed.
func (e *Engine) Run(done <-chan struct{}) {
	go e.reportLoop(done)
	next := time.Now()
	for {
		cost, busy := e.step()
		if !busy {
			select {
			case <-done:
				return
			case <-e.wake:
				next = time.Now()
				continue
			}
		}
		next = next.Add(cost)
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
		} else if wait < -time.Second {
			next = time.Now()
		}
		e.emitTokens()
	}
}

func (e *Engine) reportLoop(done <-chan struct{}) {
	ticker := time.NewTicker(max(e.model.LoadReportInterval, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			e.mu.Lock()
			e.finishLoads()
			e.lastReport = e.report()
			e.removeEnded()
			e.mu.Unlock()
		}
	}
}

func (e *Engine) report() engine.Report {
	r := engine.Report{Running: len(e.running), Waiting: len(e.waiting), MaxRunning: e.model.MaxRunning,
		Loaded: slices.Clone(e.loaded), Fence: e.fence, Role: "both", Started: uint64(e.started.UnixMilli())}
	for name := range e.loading {
		r.Loading = append(r.Loading, name)
	}
	return r
}

func (e *Engine) finishLoads() {
	for name, ready := range e.loading {
		if time.Now().After(ready) {
			delete(e.loading, name)
			e.loaded = append(e.loaded, name)
		}
	}
}

func (e *Engine) removeEnded() {
	for id, s := range e.streams {
		if !s.ended.IsZero() && time.Since(s.ended) > resumeTime {
			delete(e.streams, id)
		}
	}
}

// step admits waiting sequences and returns the time of the next step.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.waiting) > 0 && len(e.running) < e.model.MaxRunning {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !e.model.Instant {
			s.prefillLeft = e.cache.insert(s.prompt)
		}
		e.running = append(e.running, s)
	}
	if len(e.running) == 0 || e.faults.Hang {
		return 0, false
	}
	if e.model.Instant {
		return 0, true
	}
	budget := e.model.PrefillChunk
	for _, s := range e.running {
		n := min(s.prefillLeft, budget)
		s.prefillLeft -= n
		budget -= n
	}
	prefilled := e.model.PrefillChunk - budget
	return e.model.StepBase + time.Duration(len(e.running))*e.model.StepPerSeq + time.Duration(prefilled)*e.model.PrefillPerToken, true
}

// emitTokens gives every prefilled running sequence its next token.
func (e *Engine) emitTokens() {
	e.mu.Lock()
	defer e.mu.Unlock()
	var still []*sequence
	for _, s := range e.running {
		if s.prefillLeft == 0 && !s.cancelled {
			s.nextToken++
			s.notify()
			e.tokens.count(s.id)
		}
		if s.nextToken >= s.totalTokens || s.cancelled {
			s.ended = time.Now()
			e.events.add(s.prompt)
			continue
		}
		still = append(still, s)
	}
	e.running = still
}

func (s *sequence) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// submit starts a sequence.
func (e *Engine) submit(id, requestID, path string, req *openai.Request, from openai.Continuation) *sequence {
	prompt := req.Text()
	total := req.MaxTokens
	if total == 0 {
		total = defaultMaxTokens
	}
	s := &sequence{id: id, path: path, seed: Seed(prompt), firstToken: from.Tokens, nextToken: from.Tokens, totalTokens: max(total, from.Tokens+1),
		prompt: prompt + from.Text, changed: make(chan struct{})}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startCounts[requestID]++
	fmt.Fprintf(e.Log, "%d %s\n", time.Now().UnixMilli(), requestID)
	e.streams[id] = s
	e.waiting = append(e.waiting, s)
	e.notifyRun()
	return s
}

func (e *Engine) notifyRun() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// cancel ends a sequence at the next step.
func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	if s == nil || !s.ended.IsZero() {
		return
	}
	s.cancelled = true
	s.notify()
	e.waiting = slices.DeleteFunc(e.waiting, func(w *sequence) bool { return w == s })
	e.notifyRun()
}

// Crash loses every stream and the cache, as a restart would.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.cancelled = true
		s.notify()
	}
	e.streams = map[string]*sequence{}
	e.running, e.waiting = nil, nil
	e.started = time.Now()
	e.crashes++
	e.cache = newPrefixCache(e.model.CacheBlocks)
}

// Crashes returns how often the engine has crashed.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// StartCounts returns how often each request was started.
func (e *Engine) StartCounts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]int{}
	for id, n := range e.startCounts {
		out[id] = n
	}
	return out
}

// applyOrder takes an instruction; false when its fencing number is old.
func (e *Engine) applyOrder(o engine.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.model.ChecksFence && o.Fence < e.fence {
		return false
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
	switch {
	case o.Op == engine.OpUnload:
		e.loaded = slices.DeleteFunc(e.loaded, func(n string) bool { return n == o.Name })
	case !slices.Contains(e.loaded, o.Name) && e.loading[o.Name].IsZero():
		e.loading[o.Name] = time.Now().Add(e.model.ModelLoadTime)
	}
	return true
}

// Tokens counts the tokens made, by what asked for them.
type Tokens struct {
	Online int64
	Batch  int64
}

// batchPrefix starts the request IDs of batch items.
const batchPrefix = "batch_"

func (t *Tokens) count(id string) {
	if strings.HasPrefix(id, batchPrefix) {
		t.Batch++
	} else {
		t.Online++
	}
}

// Tokens returns the tokens made so far.
func (e *Engine) Tokens() Tokens {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokens
}

// MaxTokenRate returns the tokens a second of an engine that is full.
func (m Model) MaxTokenRate() float64 {
	step := m.StepBase + time.Duration(m.MaxRunning)*m.StepPerSeq
	return float64(m.MaxRunning) / step.Seconds()
}

func chance(share float64) bool { return share > 0 && rand.Float64() < share }
