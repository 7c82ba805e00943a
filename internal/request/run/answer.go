package run

import (
	"sync"

	"github.com/marblepond/marblepond/internal/request/assemble"
)

// Answer is the answer of one request while it is streamed. The Runner appends pieces;
// any number of readers follow at their own speed.
type Answer struct {
	mu        sync.Mutex
	assembler *assemble.Assembler
	pieces    []assemble.Piece
	done      bool
	err       error
	changed   chan struct{} // closed and replaced at each change
}

// NewAnswer returns the empty answer of a request.
func NewAnswer(requestID string) *Answer {
	return &Answer{assembler: assemble.New(requestID), changed: make(chan struct{})}
}

// ContinueAnswer returns the answer of a request of which another node, which
// forwarded it, has the first tokens.
func ContinueAnswer(requestID string, held int, text string) *Answer {
	return &Answer{assembler: assemble.Continue(requestID, held, text), changed: make(chan struct{})}
}

func (a *Answer) begin() (attempt, held int, text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.assembler.BeginAttempt(), a.assembler.TokenCount(), a.assembler.Text()
}

func (a *Answer) add(p assemble.Piece) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ready := a.assembler.Add(p); len(ready) > 0 {
		a.pieces = append(a.pieces, ready...)
		a.notifyReaders()
	}
}

func (a *Answer) notifyReaders() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// finish ends the answer; err is nil if it is complete.
func (a *Answer) finish(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.done, a.err = true, err
	a.notifyReaders()
}

// Held returns the number of tokens received without a gap.
func (a *Answer) Held() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.assembler.TokenCount()
}

// complete reports whether the answer was received without a gap up to its end.
func (a *Answer) complete() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.assembler.Complete()
}

// Text returns the text, the number of tokens and the finish reason.
func (a *Answer) Text() (text string, tokens int, finish string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.assembler.Text(), a.assembler.TokenCount(), a.assembler.FinishReason()
}

// State is a snapshot of an answer for a reader.
type State struct {
	Pieces  []assemble.Piece // from the index requested
	Done    bool
	Err     error
	Changed <-chan struct{} // closed at the next change
}

// From returns the state of the answer with the pieces from index n on.
func (a *Answer) From(n int) State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return State{Pieces: a.pieces[n:], Done: a.done, Err: a.err, Changed: a.changed}
}
