// Package engine simulates a model engine: an OpenAI-style interface over a model of
// continuous batching. Its answers are a function of the prompt, so that a test can check that
// an answer is complete and correct.
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

// Model is the cost model. The time of a step is StepBase, plus StepPerSeq for each running
// sequence, plus PrefillPerToken for each prompt token prefilled in the step.
type Model struct {
	MaxRunning         int
	StepBase           time.Duration
	StepPerSeq         time.Duration
	PrefillPerToken    time.Duration
	PrefillChunk       int // maximum number of prompt tokens prefilled in a step
	CacheBlocks        int // size of the prefix cache, in blocks of blockTokens
	LoadReportInterval time.Duration
	ModelLoadTime      time.Duration
	ChecksFence        bool
	Instant            bool // steps take no time, to measure what is in front of the engine
}

// DefaultModel returns the model of a memory-bound decoder: a step takes 15 ms, and a fifth
// more when the engine is full.
func DefaultModel() Model {
	return Model{MaxRunning: 32, StepBase: 15 * time.Millisecond, StepPerSeq: 100 * time.Microsecond, PrefillPerToken: 40 * time.Microsecond,
		PrefillChunk: 512, CacheBlocks: 2000, LoadReportInterval: 200 * time.Millisecond, ModelLoadTime: 300 * time.Millisecond, ChecksFence: true}
}

// Faults are the failures to simulate.
type Faults struct {
	Hang         bool    `json:"hang"`          // accepts requests and reports load, but makes no progress
	FailShare    float64 `json:"fail_share"`    // share of requests answered with 500
	CutShare     float64 `json:"cut_share"`     // probability, per token, that the connection breaks
	RepeatShare  float64 `json:"repeat_share"`  // probability, per chunk, that it is sent twice
	ReorderShare float64 `json:"reorder_share"` // probability, per chunk, that it is sent after the next one
	Down         bool    `json:"down"`          // every connection is closed
}

const (
	charsPerToken    = 4
	blockTokens      = 16
	defaultMaxTokens = 16
	// resumeTime is how long a stream can be resumed after its end.
	resumeTime = 10 * time.Second
	// CrashMarker in a prompt crashes the engine; such a request can never be completed.
	CrashMarker = "<crash-engine>"
)

// sequence is a request in the engine.
type sequence struct {
	id          string
	path        string
	seed        uint64
	firstToken  int // index of the first token to generate
	totalTokens int // tokens of the complete answer
	prefillLeft int // prompt tokens still to be prefilled
	prompt      string
	nextToken   int // index of the next token
	cancelled   bool
	ended       time.Time
	changed     chan struct{}
}

// Engine is a simulated engine.
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

// New returns an engine that has loaded the given models. Run runs it.
func New(model Model, loaded ...string) *Engine {
	e := &Engine{Log: io.Discard, model: model, streams: map[string]*sequence{}, cache: newPrefixCache(model.CacheBlocks), loaded: loaded,
		loading: map[string]time.Time{}, startCounts: map[string]int{}, wake: make(chan struct{}, 1), events: newEventLog()}
	e.started = time.Now()
	e.lastReport = e.report()
	return e
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Token returns the i-th token of the answer to the prompt with the given seed.
func Token(seed uint64, i int) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d.%d", seed, i)
	return fmt.Sprintf("%04x ", h.Sum64()&0xffff)
}

// Seed returns the hash of a prompt, from which its answer is derived.
func Seed(prompt string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(prompt))
	return h.Sum64()
}

// Answer returns the complete answer to a prompt.
func Answer(prompt string, tokens int) string {
	var b strings.Builder
	seed := Seed(prompt)
	for i := range tokens {
		b.WriteString(Token(seed, i))
	}
	return b.String()
}

// Run runs steps. It returns if done is closed while the engine is idle.
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

// step admits waiting sequences, prefills the running ones and returns the duration of the
// step. It returns false if there is nothing to run.
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

// emitTokens generates the next token of each running sequence whose prompt is prefilled, and
// removes the sequences that have ended.
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

// submit queues a sequence for a request, after the tokens of the continuation.
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

// notifyRun wakes Run if it is idle.
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

// Crash simulates a crash and restart: it drops all streams and the cache.
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

// Crashes returns the number of crashes.
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

// applyOrder applies an order to load or unload a model. It returns false if the fencing token
// is stale.
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

// Tokens holds the numbers of tokens generated for online requests and for batch items.
type Tokens struct {
	Online int64
	Batch  int64
}

// batchPrefix is the prefix of the request IDs of batch items.
const batchPrefix = "batch_"

func (t *Tokens) count(id string) {
	if strings.HasPrefix(id, batchPrefix) {
		t.Batch++
	} else {
		t.Online++
	}
}

// Tokens returns the numbers of tokens generated so far.
func (e *Engine) Tokens() Tokens {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokens
}

// MaxTokenRate returns the tokens per second of a full engine, without prefill.
func (m Model) MaxTokenRate() float64 {
	step := m.StepBase + time.Duration(m.MaxRunning)*m.StepPerSeq
	return float64(m.MaxRunning) / step.Seconds()
}

// chance returns true with the given probability.
func chance(share float64) bool { return share > 0 && rand.Float64() < share }
