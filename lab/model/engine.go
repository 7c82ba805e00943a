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

// run is one attempt of a request or an item at an engine.
type run struct {
	prefix string                  // shared part of the prompt
	shared int                     // tokens of it
	prompt int                     // tokens of the whole prompt and of the output that is held
	events int                     // still to make
	unread int                     // prompt tokens still to read
	event  func(now time.Duration) // told each event
	end    func(now time.Duration) // told when it is whole
	gone   bool                    // the sender ended it
}

func (r *run) tokens(f *EngineParams) int { return r.prompt + r.events*f.TokensPerEvent }

// engine is one target.
type engine struct {
	f       *EngineParams
	clock   *clock
	slow    float64 // factor on the time of a step
	running []*run
	waiting []*run
	kept    []string       // prefixes, least recently used first
	sizes   map[string]int // tokens of the kept prefixes
	busy    bool           // a step is under way
	down    bool

	promptTokens, sharedAgain int // read in all, and of shared parts more than once
	seen                      map[string]bool
}

func newEngine(f *EngineParams, c *clock) *engine {
	return &engine{f: f, clock: c, slow: 1, sizes: map[string]int{}, seen: map[string]bool{}}
}

// add takes a run; end drops one.
func (e *engine) add(r *run) {
	e.waiting = append(e.waiting, r)
	e.wake()
}

func (e *engine) drop(r *run) {
	r.gone = true
	e.waiting = slices.DeleteFunc(e.waiting, func(o *run) bool { return o == r })
	e.running = slices.DeleteFunc(e.running, func(o *run) bool { return o == r })
	e.wake()
}

func (e *engine) wake() {
	if !e.busy && !e.down && len(e.running)+len(e.waiting) > 0 {
		e.busy = true
		e.clock.after(0, e.step)
	}
}

// step admits what there is room for, reads prompts, and gives the running
// requests whose prompt is read an event.
func (e *engine) step() {
	e.busy = false
	if e.down {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	read := e.read()
	steps := time.Duration(e.f.TokensPerEvent) * (e.f.StepTime + time.Duration(len(e.running)-1)*e.f.StepTimePerRequest)
	took := time.Duration(e.slow * float64(steps+time.Duration(float64(read)/e.f.PromptTokensPerMS*float64(time.Millisecond))))
	made := slices.Clone(e.running)
	e.busy = true
	e.clock.after(took, func() {
		e.busy = false
		for _, r := range made {
			e.made(r)
		}
		e.wake()
	})
}

func (e *engine) made(r *run) {
	if r.gone || e.down || r.unread > 0 {
		return
	}
	r.events--
	r.prompt += e.f.TokensPerEvent
	r.event(e.clock.now)
	if r.events <= 0 {
		e.drop(r)
		r.end(e.clock.now)
	}
}

// admit starts waiting requests in order of arrival. One that has started keeps
// its slot unless memory runs out.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.f.Slots && e.fits(e.waiting[0]) {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.unread = r.prompt - e.touch(r)
		e.running = append(e.running, r)
	}
	for len(e.running) > 1 && e.used() > e.f.MemoryTokens {
		newest := e.running[len(e.running)-1]
		e.running = e.running[:len(e.running)-1]
		e.waiting = append([]*run{newest}, e.waiting...)
	}
}

func (e *engine) fits(r *run) bool { return e.used()+r.tokens(e.f) <= e.f.MemoryTokens }

func (e *engine) used() int {
	total := 0
	for _, r := range e.running {
		total += r.prompt
	}
	return total
}

// touch returns how many tokens of a prompt are kept, and keeps its shared part.
func (e *engine) touch(r *run) int {
	if r.prefix == "" {
		return 0
	}
	held := e.sizes[r.prefix]
	e.kept = append(slices.DeleteFunc(e.kept, func(p string) bool { return p == r.prefix }), r.prefix)
	e.sizes[r.prefix] = r.shared
	if held == 0 && e.seen[r.prefix] {
		e.sharedAgain += r.shared
	}
	e.seen[r.prefix] = true
	for total := e.keptTokens(); total+e.used() > e.f.MemoryTokens && len(e.kept) > 1; total = e.keptTokens() {
		delete(e.sizes, e.kept[0])
		e.kept = e.kept[1:]
	}
	return held
}

func (e *engine) keptTokens() int {
	total := 0
	for _, n := range e.sizes {
		total += n
	}
	return total
}

// read reads prompt tokens of the running requests, up to a step's worth.
func (e *engine) read() int {
	left := e.f.PromptTokensPerStep * e.f.TokensPerEvent
	for _, r := range e.running {
		n := min(left, r.unread)
		r.unread -= n
		left -= n
	}
	read := e.f.PromptTokensPerStep*e.f.TokensPerEvent - left
	e.promptTokens += read
	return read
}

// fail takes the engine down; what it had is lost without a word.
func (e *engine) fail() {
	e.down = true
	for _, r := range append(e.running, e.waiting...) {
		r.gone = true
	}
	e.running, e.waiting = nil, nil
}
