package openai

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestForwardKeepsUnknownFields(t *testing.T) {
	is := is.New(t)
	out, err := Forward([]byte(`{"model":"a","temperature":0.2,"prompt":"x"}`), "a@1", 3, "abc")
	is.NoErr(err)
	var fields map[string]any
	is.NoErr(json.Unmarshal(out, &fields))
	is.Equal(fields["temperature"], 0.2)
	is.Equal(fields["model"], "a@1")
	is.Equal(fields["stream"], true)
	is.Equal(fields["continuation"], map[string]any{"tokens": 3.0, "text": "abc"})
}

func TestChunkRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, path := range []string{ChatPath, CompletionPath} {
		event := Answer{ID: "r", Path: path, Model: "m"}.Chunk("text", "stop", 4, 1)
		chunk, err := DecodeChunk(event[len(DataPrefix):])
		is.NoErr(err)
		is.Equal(chunk.Text(), "text")
		is.Equal(chunk.FinishReason(), "stop")
		is.Equal(*chunk.Offset, 4)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
	f.Add([]byte(`{"model":1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := Parse(ChatPath, body)
		if err == nil && (r.Model == "" || len(r.Messages) == 0) {
			t.Fatal("accepted without model or messages")
		}
		if err == nil {
			if _, err := Forward(body, "m", 1, "x"); err != nil {
				t.Fatalf("accepted but not forwarded: %v", err)
			}
		}
	})
}

func FuzzDecodeChunk(f *testing.F) {
	f.Add([]byte(`{"choices":[{"delta":{"content":"x"}}],"offset":1}`))
	f.Add([]byte(`{"choices":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if c, err := DecodeChunk(data); err == nil {
			_, _ = c.Text(), c.FinishReason()
		}
	})
}

// TestSharedParts: messages with the same role and text have the same name in all requests, the
// last message is not named, and other requests have none.
func TestSharedParts(t *testing.T) {
	is := is.New(t)
	chat := func(messages ...string) []byte {
		return []byte(`{"model":"m","messages":[` + strings.Join(messages, ",") + `]}`)
	}
	system, user := `{"role":"system","content":"a"}`, `{"role":"user","content":"a"}`
	is.Equal(len(SharedParts(ChatPath, chat(system))), 0)
	one, two := SharedParts(ChatPath, chat(system, user)), SharedParts(ChatPath, chat(system, user, `{"role":"user","content":"b"}`))
	is.Equal(len(one), 1)
	is.Equal(two[:1], one)
	is.True(two[1] != one[0]) // the role counts
	is.Equal(len(SharedParts(CompletionPath, []byte(`{"model":"m","prompt":"a"}`))), 0)
	is.Equal(len(SharedParts(ChatPath, []byte("no JSON"))), 0)
}
