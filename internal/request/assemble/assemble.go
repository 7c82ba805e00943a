// Package assemble puts the pieces of one answer together by offset. Pieces
// that are late, repeated, out of order, or of an attempt that was given up
// change nothing. It is pure.
package assemble

// Piece is a part of a target's answer.
type Piece struct {
	RequestID    string
	Attempt      int
	Offset       int // index of the piece's first token in the whole answer
	Tokens       int
	Text         string
	FinishReason string // reason the answer ended, on its last piece
}

// Assembler holds the answer of one request as far as it is known.
type Assembler struct {
	requestID string
	attempt   int
	next      int // tokens held without a gap
	early     map[int]Piece
	text      []byte
	finish    string
	foreign   int
}

// New returns an assembler for a request.
func New(requestID string) *Assembler {
	return &Assembler{requestID: requestID, early: map[int]Piece{}}
}

// Continue returns an assembler for a request of which another node holds the
// first tokens.
func Continue(requestID string, held int, text string) *Assembler {
	a := New(requestID)
	a.next, a.text = held, []byte(text)
	return a
}

// BeginAttempt starts the next attempt and returns its number. Pieces of earlier
// attempts that were not yet in order are dropped: another target's
// continuation starts at Held.
func (a *Assembler) BeginAttempt() int {
	a.attempt++
	clear(a.early)
	return a.attempt
}

// Add takes a piece and returns the pieces that became ready, in order.
func (a *Assembler) Add(p Piece) []Piece {
	if p.RequestID != a.requestID {
		a.foreign++
		return nil
	}
	if p.Attempt != a.attempt || a.finish != "" || p.Offset < a.next {
		return nil
	}
	if _, repeated := a.early[p.Offset]; !repeated {
		a.early[p.Offset] = p
	}
	var ready []Piece
	for {
		piece, ok := a.early[a.next]
		if !ok {
			return ready
		}
		delete(a.early, a.next)
		a.next += piece.Tokens
		a.text = append(a.text, piece.Text...)
		a.finish = piece.FinishReason
		ready = append(ready, piece)
		if piece.FinishReason != "" || piece.Tokens == 0 {
			return ready
		}
	}
}

// TokenCount returns the number of tokens held without a gap.
func (a *Assembler) TokenCount() int { return a.next }

// Text returns the answer's text held without a gap.
func (a *Assembler) Text() string { return string(a.text) }

// FinishReason returns why the answer ended; empty while it has not.
func (a *Assembler) FinishReason() string { return a.finish }

// Complete reports whether the answer has ended without a gap.
func (a *Assembler) Complete() bool { return a.finish != "" }

// Foreign returns how many pieces of other requests were turned away.
func (a *Assembler) Foreign() int { return a.foreign }
