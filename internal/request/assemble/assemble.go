// Package assemble joins the pieces of one streamed answer by their offset.
// Pieces that are late, repeated, out of order, or of an abandoned attempt do
// not change the answer. It does no I/O.
package assemble

// Piece is a chunk of a target's streamed answer.
type Piece struct {
	RequestID    string
	Attempt      int
	Offset       int // index of the piece's first token in the complete answer
	Tokens       int
	Text         string
	FinishReason string // reason the answer ended, on its last piece
}

// Assembler assembles the answer of one request. It is not safe for concurrent use.
type Assembler struct {
	requestID    string
	attempt      int
	nextOffset   int           // tokens received without a gap
	buffered     map[int]Piece // by offset; received before a piece with a smaller offset
	text         []byte        // of the tokens before nextOffset
	finishReason string
	foreign      int // pieces of other requests
}

// New returns an assembler for a request.
func New(requestID string) *Assembler {
	return &Assembler{requestID: requestID, buffered: map[int]Piece{}}
}

// Continue returns an assembler for a request of which another node has already
// received the first tokens, with the given text.
func Continue(requestID string, tokens int, text string) *Assembler {
	a := New(requestID)
	a.nextOffset, a.text = tokens, []byte(text)
	return a
}

// BeginAttempt starts the next attempt and returns its number. It drops the
// buffered pieces of earlier attempts, since the target of the next attempt
// continues at TokenCount.
func (a *Assembler) BeginAttempt() int {
	a.attempt++
	clear(a.buffered)
	return a.attempt
}

// Add adds a piece and returns the pieces that now follow without a gap, in order.
func (a *Assembler) Add(p Piece) []Piece {
	if p.RequestID != a.requestID {
		a.foreign++
		return nil
	}
	if p.Attempt != a.attempt || a.finishReason != "" || p.Offset < a.nextOffset {
		return nil
	}
	if _, repeated := a.buffered[p.Offset]; !repeated {
		a.buffered[p.Offset] = p
	}
	var ready []Piece
	for {
		piece, ok := a.buffered[a.nextOffset]
		if !ok {
			return ready
		}
		delete(a.buffered, a.nextOffset)
		a.nextOffset += piece.Tokens
		a.text = append(a.text, piece.Text...)
		a.finishReason = piece.FinishReason
		ready = append(ready, piece)
		if piece.FinishReason != "" || piece.Tokens == 0 {
			return ready
		}
	}
}

// TokenCount returns the number of tokens received without a gap.
func (a *Assembler) TokenCount() int { return a.nextOffset }

// Text returns the text of the tokens received without a gap.
func (a *Assembler) Text() string { return string(a.text) }

// FinishReason returns why the answer ended; empty if it has not ended.
func (a *Assembler) FinishReason() string { return a.finishReason }

// Complete reports whether all pieces up to the last one were received.
func (a *Assembler) Complete() bool { return a.finishReason != "" }

// Foreign returns the number of rejected pieces of other requests.
func (a *Assembler) Foreign() int { return a.foreign }
