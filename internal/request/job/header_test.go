package job

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/errkind"
)

func keepAll(string) bool { return false }

// Guards against headers of items that change on their way: through parsing, the store and a running
// item, with escapes, white space, repeated names and fields that are left out.
func TestHeaderKeepsItsFields(t *testing.T) {
	for _, c := range []struct {
		text string
		want map[string]string
	}{
		{`null`, nil},
		{`{}`, nil},
		{`{"X-A":"1"}`, map[string]string{"X-A": "1"}},
		{` { "X-A" : "1" ,` + "\n" + `"X-B":"" } `, map[string]string{"X-A": "1", "X-B": ""}},
		{`{"X-A":"1","X-A":"2"}`, map[string]string{"X-A": "2"}},
		{`{"X-A":null}`, map[string]string{"X-A": ""}},
		{`{"X-\u0041":"\"{,}\\"}`, map[string]string{"X-A": `"{,}\`}},
		{`{"Secret":"s","X-A":"<&>"}`, map[string]string{"X-A": "<&>"}},
		{`{"X-A":"1","Secret":"s"}`, map[string]string{"X-A": "1"}},
		{`{"Secret":"s"}`, nil},
	} {
		is := is.New(t)
		h, err := ParseHeader([]byte(c.text), func(name string) bool { return name == "Secret" })
		is.NoErr(err)
		stored, err := decode[Item](encode(Item{ID: "a", Header: h}))
		is.NoErr(err)
		want := http.Header{}
		for name, value := range c.want {
			want.Set(name, value)
		}
		is.Equal(stored.Header.parsed(), want)
		for name, value := range c.want {
			is.Equal(h.Get(strings.ToLower(name)), value)
		}
		is.Equal(h.Get("Secret"), "")
	}
}

// Guards against a header that is accepted though it is not an object of names and values.
func TestMalformedHeaders(t *testing.T) {
	for _, text := range []string{``, `[]`, `"a"`, `1`, `{"a":1}`, `{"a":{}}`, `{"a":["b"]}`, `{"a":true}`} {
		if h, err := ParseHeader([]byte(text), keepAll); err == nil {
			t.Errorf("%s is accepted as %q", text, h)
		}
	}
}

// Guards against nodes of different versions that split the same items differently: the size has to
// be that of a map of the fields.
func TestHeaderSizeIsThatOfItsFields(t *testing.T) {
	is := is.New(t)
	fields := map[string]string{"X-Model": "m", "X-Markup": "<\x01\">", "Empty": ""}
	want := 0
	for name, value := range fields {
		want += len(name) + len(value) + 8
	}
	is.Equal(Header(encode(fields)).size(), want)
}

// Guards against an estimate of a running item's header that is below what it takes.
func TestParsedHeaderEstimate(t *testing.T) {
	for _, value := range []string{"", strings.Repeat("v", 100)} {
		fields := map[string]string{}
		for i := range 20_000 {
			fields[fmt.Sprintf("%x", i)] = value
		}
		h := Header(encode(fields))
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		parsed := h.parsed()
		sent := parsed.Clone()
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(parsed)
		runtime.KeepAlive(sent)
		if took, allowed := int64(after.HeapAlloc)-int64(before.HeapAlloc), h.parsedBytes(); took > allowed {
			t.Errorf("a header of %d bytes takes %d, %d estimated", len(h), took, allowed)
		}
	}
}

// Guards against running items whose headers take memory without a bound, and against a job that is
// accepted though no node can run one of its items.
func TestParsedHeadersAreBounded(t *testing.T) {
	is := is.New(t)
	m := newTestManager("a", newMemoryStore())
	fields := map[string]string{}
	for i := range 1000 {
		fields[fmt.Sprint(i)] = ""
	}
	large := []Item{{ID: "a", Header: Header(encode(fields))}}
	bytes := largeHeaders(large)[0]
	m.cfg.MaxParsedHeaderBytes = bytes
	is.NoErr(m.checkHeaders(large))
	m.cfg.MaxParsedHeaderBytes--
	is.True(errkind.Is(m.checkHeaders(large), errkind.TooLarge))
	is.True(m.fitsParsed(bytes)) // taken over from another node, and alone
	m.parsedHeaders = 1
	is.True(!m.fitsParsed(bytes))
	is.True(m.fitsParsed(bytes - 2))
	m.parsedHeaders = 1 << 40
	is.True(m.fitsParsed(0)) // small headers do not count
	is.Equal(largeHeaders([]Item{{Header: `{"a":"b"}`}, {}}), []int64{0, 0})
}

// Guards against headers whose text and map differ, for any text that a caller may send.
func FuzzHeader(f *testing.F) {
	for _, text := range []string{`null`, `{}`, `{"a":"b","A":"c"}`, `{"a":null}`, `{"\ud800":"\u0000"}`, "{\"a\":\"\xff\"}", `{"a":{}}`, `{"a":"b"}x`, `{"a"`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var reference map[string]string
		if !json.Valid(text) { // the decoder of the job has checked that
			return
		}
		refused := json.Unmarshal(text, &reference)
		h, err := ParseHeader(text, keepAll)
		if (err == nil) != (refused == nil) {
			t.Fatalf("%q: %v, as a map: %v", text, err, refused)
		}
		if err != nil {
			return
		}
		again, err := decode[Item](encode(Item{Header: h}))
		if err != nil {
			t.Fatal(err)
		}
		for _, header := range []Header{h, again.Header} {
			got := map[string]string{}
			header.each(func(name, value string) { got[name] = value })
			if !maps.Equal(got, reference) {
				t.Fatalf("%q: %q, as a map %q", text, got, reference)
			}
		}
	})
}
