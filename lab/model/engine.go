package model

import (
	"slices"
	"time"
)

// EngineParams describes the capacity and speed of a kind of engine.
type EngineParams struct {
	Slots int // requests that run at once
	// StepTime is the time of one decoding step, which produces one token, with one
	// request, and StepTimePerRequest the time that each further request adds.
	StepTime, StepTimePerRequest time.Duration
	TokensPerEvent               int
	PromptTokensPerMS            float64 // prompt tokens read per millisecond
	PromptTokensPerStep          int     // limit of prompt tokens read in one decoding step
	MemoryTokens                 int     // for running requests and the prefix cache together
}

// PublishedEngine has the parameters that the users publish for a large model on two
// accelerators: 8 requests at once, 4.1 ms per step, 51.6 prompt tokens per millisecond,
// and memory for 103,133 tokens. The time that a further request adds to a step (9 us),
// the 6 tokens of an event and the 1,024 prompt tokens of a step are from the description
// of the same deployment.
var PublishedEngine = EngineParams{Slots: 8, StepTime: 4100 * time.Microsecond, StepTimePerRequest: 9 * time.Microsecond,
	TokensPerEvent: 6, PromptTokensPerMS: 51.6, PromptTokensPerStep: 1024, MemoryTokens: 103133}

// engineCall is one attempt of an online request or an item at an engine.
type engineCall struct {
	prefix         string                  // name of the shared prefix of the prompt; empty for an item
	prefixTokens   int                     // length of the prefix
	promptTokens   int                     // length of the prompt with its prefix and of the output so far
	eventsLeft     int                     // events not produced yet
	unreadTokens   int                     // tokens of the prompt not read yet
	onEvent        func(now time.Duration) // called at each event
	onEnd          func(now time.Duration) // called when the output is complete
	eventsReceived int                     // by the node, of a batch item
	ended          bool                    // it completed, the sender cancelled it, or the engine failed
}

// tokens returns the memory that the call needs until it is complete.
func (c *engineCall) tokens(p *EngineParams) int {
	return c.promptTokens + c.eventsLeft*p.TokensPerEvent
}

// engine simulates the engine of one target.
type engine struct {
	params         *EngineParams
	clock          *clock
	slowdown       float64 // factor on the time of a step; 1 is normal speed
	speed          float64 // of the target, relative to that of params
	running        []*engineCall
	waiting        []*engineCall
	cachedPrefixes []string       // least recently used first
	prefixSizes    map[string]int // in tokens, of the cached prefixes
	stepping       bool           // a step is running or scheduled
	down           bool
	hung           bool // accepts calls and produces no event

	readTokens         int             // prompt tokens read in total
	rereadPrefixTokens int             // those of prefixes that had been cached before and were evicted
	seenPrefixes       map[string]bool // prefixes cached at some time
}

func newEngine(p *EngineParams, c *clock) *engine {
	return &engine{params: p, clock: c, slowdown: 1, speed: 1, prefixSizes: map[string]int{}, seenPrefixes: map[string]bool{}}
}

// enqueue adds a call to the queue.
func (e *engine) enqueue(c *engineCall) {
	e.waiting = append(e.waiting, c)
	e.scheduleStep()
}

// remove ends a call, queued or running.
func (e *engine) remove(c *engineCall) {
	c.ended = true
	e.waiting = slices.DeleteFunc(e.waiting, func(o *engineCall) bool { return o == c })
	e.running = slices.DeleteFunc(e.running, func(o *engineCall) bool { return o == c })
	e.scheduleStep()
}

func (e *engine) scheduleStep() {
	if !e.stepping && !e.down && !e.hung && len(e.running)+len(e.waiting) > 0 {
		e.stepping = true
		e.clock.after(0, e.step)
	}
}

// step starts queued calls for which there are free slots and memory, reads prompts, and
// produces an event of each running call whose prompt has been read, after the time of this
// reading and of TokensPerEvent decoding steps.
func (e *engine) step() {
	e.stepping = false
	if e.down {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	read := e.readPrompts()
	decodeTime := time.Duration(e.params.TokensPerEvent) * (e.params.StepTime + time.Duration(len(e.running)-1)*e.params.StepTimePerRequest)
	duration := time.Duration(e.slowdown / e.speed * float64(decodeTime+time.Duration(float64(read)/e.params.PromptTokensPerMS*float64(time.Millisecond))))
	batch := slices.Clone(e.running)
	e.stepping = true
	e.clock.after(duration, func() {
		e.stepping = false
		for _, c := range batch {
			e.emit(c)
		}
		e.scheduleStep()
	})
}

// emit produces the next event of a running call.
func (e *engine) emit(c *engineCall) {
	if c.ended || e.down || c.unreadTokens > 0 {
		return
	}
	c.eventsLeft--
	c.promptTokens += e.params.TokensPerEvent
	c.onEvent(e.clock.now)
	if c.eventsLeft <= 0 {
		e.remove(c)
		c.onEnd(e.clock.now)
	}
}

// admit starts queued calls in order of arrival. When the running calls exceed the memory,
// those that started last go back to the head of the queue.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.params.Slots && e.fits(e.waiting[0]) {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		next.unreadTokens = next.promptTokens - e.usePrefix(next)
		e.running = append(e.running, next)
	}
	for len(e.running) > 1 && e.runningTokens() > e.params.MemoryTokens {
		latest := e.running[len(e.running)-1]
		e.running = e.running[:len(e.running)-1]
		e.waiting = append([]*engineCall{latest}, e.waiting...)
	}
}

func (e *engine) fits(c *engineCall) bool {
	return e.runningTokens()+c.tokens(e.params) <= e.params.MemoryTokens
}

func (e *engine) runningTokens() int {
	total := 0
	for _, c := range e.running {
		total += c.promptTokens
	}
	return total
}

// usePrefix returns how many tokens of a prompt's prefix are cached, and caches the prefix.
// Least recently used prefixes are evicted while the memory is exceeded.
func (e *engine) usePrefix(c *engineCall) int {
	if c.prefix == "" {
		return 0
	}
	cached := e.prefixSizes[c.prefix]
	e.cachedPrefixes = append(slices.DeleteFunc(e.cachedPrefixes, func(p string) bool { return p == c.prefix }), c.prefix)
	e.prefixSizes[c.prefix] = c.prefixTokens
	if cached == 0 && e.seenPrefixes[c.prefix] {
		e.rereadPrefixTokens += c.prefixTokens
	}
	e.seenPrefixes[c.prefix] = true
	for total := e.cachedTokens(); total+e.runningTokens() > e.params.MemoryTokens && len(e.cachedPrefixes) > 1; total = e.cachedTokens() {
		delete(e.prefixSizes, e.cachedPrefixes[0])
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
	return cached
}

func (e *engine) cachedTokens() int {
	total := 0
	for _, n := range e.prefixSizes {
		total += n
	}
	return total
}

// readPrompts reads prompt tokens of the running calls, up to the limit of TokensPerEvent
// decoding steps, and returns how many it read.
func (e *engine) readPrompts() int {
	left := e.params.PromptTokensPerStep * e.params.TokensPerEvent
	for _, c := range e.running {
		n := min(left, c.unreadTokens)
		c.unreadTokens -= n
		left -= n
	}
	read := e.params.PromptTokensPerStep*e.params.TokensPerEvent - left
	e.readTokens += read
	return read
}

// fail stops the engine. Its calls are lost, and their senders are not notified.
func (e *engine) fail() {
	e.down = true
	for _, c := range append(e.running, e.waiting...) {
		c.ended = true
	}
	e.running, e.waiting = nil, nil
}
