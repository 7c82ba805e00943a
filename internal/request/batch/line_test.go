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
		seen: map[uint64]bool{}, growing: map[string]*growing{}}
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
		{"twice", chat("1") + "\n" + chat("2") + "\n" + chat("1"), `line 3: custom_id "1" stands twice`},
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

// TestSegmentsFitThePlatform: results larger than one object are committed in
// several, and one that no object can hold does not stop the rest.
func TestSegmentsFitThePlatform(t *testing.T) {
	is := is.New(t)
	results := []finished{{line: make([]byte, 60)}, {line: make([]byte, 60)}, {line: make([]byte, 200)}}
	is.Equal(len(upTo(results, 100)), 1)
	is.Equal(len(upTo(results, 120)), 2)
	is.Equal(len(upTo(results[2:], 100)), 1)
	is.Equal(len(upTo(nil, 100)), 0)
	it := &item{lease: &lease{}, line: Line{CustomID: "i"}}
	f := plainResult(it, engine.PlainAnswer{Status: 200, Body: make([]byte, segmentBytes)})
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
				t.Fatalf("a chunk that was taken can't be read: %v", err)
			}
			items += len(lines)
			return nil
		})
		if s.split(strings.NewReader(string(data))) == nil && items != s.items {
			t.Fatalf("%d items taken, %d stored", s.items, items)
		}
	})
}
