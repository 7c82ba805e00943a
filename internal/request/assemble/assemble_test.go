package assemble

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestAnswerIsComplete delivers pieces late, repeated, out of order and mixed
// with those of other requests, over several attempts that each continue at
// TokenCount.
func TestAnswerIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 20).Draw(t, "tokens")
		piece := func(attempt, i int) Piece {
			p := Piece{RequestID: "r", Attempt: attempt, Offset: i, Tokens: 1, Text: fmt.Sprintf("<%d>", i)}
			if i == total-1 {
				p.FinishReason = "stop"
			}
			return p
		}
		a := New("r")
		var sent []Piece // of every attempt, to be delivered again later
		for attempt := 1; attempt <= rapid.IntRange(1, 4).Draw(t, "attempts") || !a.Complete(); attempt++ {
			if a.BeginAttempt() != attempt {
				t.Fatal("attempts are not counted up")
			}
			rest := make([]Piece, 0, total)
			for i := a.TokenCount(); i < total; i++ {
				rest = append(rest, piece(attempt, i))
			}
			stream := rapid.Permutation(append(rest, rest...)).Draw(t, "stream")
			cut := len(stream)
			if attempt < 4 {
				cut = rapid.IntRange(0, len(stream)).Draw(t, "cut")
			}
			for _, p := range stream[:cut] {
				foreign := p
				foreign.RequestID, foreign.Text = "other", "!"
				a.Add(foreign)
				if len(sent) > 0 {
					a.Add(sent[rapid.IntRange(0, len(sent)-1).Draw(t, "late")])
				}
				a.Add(p)
			}
			sent = append(sent, stream...)
		}
		var want strings.Builder
		for i := range total {
			want.WriteString(piece(0, i).Text)
		}
		if a.Text() != want.String() || a.TokenCount() != total {
			t.Fatalf("got %q, want %q", a.Text(), want.String())
		}
	})
}

func TestAbandonedAttemptIsDropped(t *testing.T) {
	is := is.New(t)
	a := New("r")
	first := a.BeginAttempt()
	a.Add(Piece{RequestID: "r", Attempt: first, Offset: 1, Tokens: 1, Text: "early"})
	a.BeginAttempt()
	is.Equal(len(a.Add(Piece{RequestID: "r", Attempt: first, Offset: 0, Tokens: 1, Text: "late"})), 0)
	is.Equal(a.TokenCount(), 0)
}
