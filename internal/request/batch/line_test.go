package batch

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/engine"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/version/fleet"
)

func newSplitter(t testing.TB, maxItems int, emit func(n int, chunk []byte) error) *splitter {
	config, err := fleet.Parse([]byte("[service \"m\"]\n[service \"p\"]\nkind = plain\n[workspace \"w\"]\n"))
	if err != nil {
		t.Fatal(err)
	}
	return &splitter{config: config, workspace: config.Workspaces.ByName("w"), maxItems: maxItems, maxBytes: 10000, emit: emit,
		seen: map[uint64]bool{}, builders: map[string]*chunkBuilder{}}
}

func chat(id string) string {
	return fmt.Sprintf(`{"custom_id":%q,"method":"POST","url":"/v1/chat/completions","body":{"model":"m","messages":[{"role":"user","content":"x"}]}}`, id)
}

func plain(id string) string {
	return fmt.Sprintf(`{"custom_id":%q,"method":"POST","url":"/services/p/cut","body":{}}`, id)
}

func TestChunksHaveOneService(t *testing.T) {
	is := is.New(t)
	var chunks []string
	s := newSplitter(t, 2, func(n int, chunk []byte) error {
		is.Equal(n, len(chunks))
		chunks = append(chunks, string(chunk))
		return nil
	})
	is.NoErr(s.split(strings.NewReader(strings.Join([]string{chat("1"), plain("2"), "", chat("3"), chat("4"), plain("5"), plain("6")}, "\n"))))
	is.Equal(s.items, 6)
	is.Equal(len(chunks), 4)
	is.Equal(s.services, []string{"m", "p"})
	for n, chunk := range chunks {
		is.Equal(strings.Contains(chunk, "/services/"), s.services[s.chunkOf[n]] == "p")
	}
}

func TestFaultsNameTheLine(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"not JSON", chat("1") + "\n{", "line 2: not a valid item"},
		{"no ID", strings.Replace(chat("1"), `"custom_id":"1"`, `"custom_id":""`, 1), `line 1: "custom_id" is missing`},
		{"twice", chat("1") + "\n" + chat("2") + "\n" + chat("1"), `line 3: custom_id "1" is used twice`},
		{"unknown model", strings.Replace(chat("1"), `"m"`, `"n"`, 1), `line 1: no model "n"`},
		{"unknown URL", strings.Replace(chat("1"), "chat", "chatter", 1), "line 1: \"url\" is"},
		{"no messages", strings.Replace(chat("1"), "messages", "message", 1), `line 1: "messages" is missing`},
		{"empty", "\n\n", "the file has no items"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := newSplitter(t, 10, func(int, []byte) error { return nil }).split(strings.NewReader(c.text))
			is.True(err != nil)
			is.True(strings.HasPrefix(errkind.Message(err), c.want)) // message
			is.Equal(errkind.Of(err).NotRun, errkind.NotRunTrue)
		})
	}
}

// TestSegmentsFitThePlatform: results that exceed one object are committed in
// several objects, and a result too large for any object does not block the others.
func TestSegmentsFitThePlatform(t *testing.T) {
	is := is.New(t)
	results := []itemResult{{line: make([]byte, 60)}, {line: make([]byte, 60)}, {line: make([]byte, 200)}}
	is.Equal(len(segmentPrefix(results, 100)), 1)
	is.Equal(len(segmentPrefix(results, 120)), 2)
	is.Equal(len(segmentPrefix(results[2:], 100)), 1)
	is.Equal(len(segmentPrefix(nil, 100)), 0)
	it := &item{lease: &lease{}, line: Line{CustomID: "i"}}
	f := plainResult(it, engine.PlainAnswer{Status: 200, Body: make([]byte, maxSegmentBytes)})
	is.True(f.failed)
	is.True(len(f.line) < 1000)
}

func FuzzSplit(f *testing.F) {
	f.Add([]byte(chat("1") + "\n" + plain("2")))
	f.Add([]byte("{\"custom_id\":\"1\"}\n\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		items := 0
		s := newSplitter(t, 3, func(_ int, chunk []byte) error {
			lines, err := parseChunk(chunk)
			if err != nil {
				t.Fatalf("an emitted chunk can't be parsed: %v", err)
			}
			items += len(lines)
			return nil
		})
		if s.split(strings.NewReader(string(data))) == nil && items != s.items {
			t.Fatalf("%d items in the chunks, %d counted", s.items, items)
		}
	})
}
