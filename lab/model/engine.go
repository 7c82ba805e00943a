package model

import (
	"slices"
	"time"
)

// EngineParams describe one kind of engine.
type EngineParams struct {
	Slots int
	// StepTime is the time of one step with one request, and StepTimePerRequest what each
	// further one adds.
	StepTime, StepTimePerRequest time.Duration
	TokensPerEvent               int
	PromptTokensPerMS            float64 // prompt tokens read in a millisecond
	PromptTokensPerStep          int     // most prompt tokens read in one step
	MemoryTokens                 int     // tokens of running requests and kept prefixes
}

// PublishedEngine holds the figures that the users publish of a large model on
// two accelerators: 8 requests at once, 4.1 ms a step, 51.6 prompt tokens a
// millisecond, memory for 103,133 tokens. What a request adds to a step (9 us), the
// 6 tokens of an event and the 1,024 prompt tokens of a step stand in the
// description of the same deployment.
var PublishedEngine = EngineParams{Slots: 8, StepTime: 4100 * time.Microsecond, StepTimePerRequest: 9 * time.Microsecond,
	TokensPerEvent: 6, PromptTokensPerMS: 51.6, PromptTokensPerStep: 1024, MemoryTokens: 103133}

// engineCall is one attempt of a request or an item at an engine.
type engineCall struct {
	prefix       string                  // shared part of the prompt
	prefixTokens int                     // tokens of it
	promptTokens int                     // tokens of the whole prompt and of the output that is held
	eventsLeft   int                     // still to make
	unreadTokens int                     // prompt tokens still to read
	onEvent      func(now time.Duration) // told each event
	onEnd        func(now time.Duration) // told when it is whole
	ended        bool                    // the sender ended it
}

func (c *engineCall) tokens(p *EngineParams) int {
	return c.promptTokens + c.eventsLeft*p.TokensPerEvent
}

// engine is one target.
type engine struct {
	params         *EngineParams
	clock          *clock
	slowdown       float64 // factor on the time of a step
	running        []*engineCall
	waiting        []*engineCall
	cachedPrefixes []string       // prefixes, least recently used first
	prefixSizes    map[string]int // tokens of the kept prefixes
	stepping       bool           // a step is under way
	down           bool

	readTokens, rereadPrefixTokens int // read in all, and of shared parts more than once
	seenPrefixes                   map[string]bool
}

func newEngine(p *EngineParams, c *clock) *engine {
	return &engine{params: p, clock: c, slowdown: 1, prefixSizes: map[string]int{}, seenPrefixes: map[string]bool{}}
}

// enqueue takes a run; end drops one.
func (e *engine) enqueue(c *engineCall) {
	e.waiting = append(e.waiting, c)
	e.scheduleStep()
}

func (e *engine) remove(c *engineCall) {
	c.ended = true
	e.waiting = slices.DeleteFunc(e.waiting, func(o *engineCall) bool { return o == c })
	e.running = slices.DeleteFunc(e.running, func(o *engineCall) bool { return o == c })
	e.scheduleStep()
}

func (e *engine) scheduleStep() {
	if !e.stepping && !e.down && len(e.running)+len(e.waiting) > 0 {
		e.stepping = true
		e.clock.after(0, e.step)
	}
}

// step admits what there is room for, reads prompts, and gives the running
// requests whose prompt is read an event.
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
	duration := time.Duration(e.slowdown * float64(decodeTime+time.Duration(float64(read)/e.params.PromptTokensPerMS*float64(time.Millisecond))))
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

// admit starts waiting requests in order of arrival. One that has started keeps
// its slot unless memory runs out.
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

// usePrefix returns how many tokens of a prompt are kept, and keeps its shared part.
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

// readPrompts reads prompt tokens of the running requests, up to a step's worth.
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

// fail takes the engine down; what it had is lost without a word.
func (e *engine) fail() {
	e.down = true
	for _, c := range append(e.running, e.waiting...) {
		c.ended = true
	}
	e.running, e.waiting = nil, nil
}
