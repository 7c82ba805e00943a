package fingerprint

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestWhatIsTheSameWork: equal work has equal fingerprints, and each part of it affects them.
func TestWhatIsTheSameWork(t *testing.T) {
	is := is.New(t)
	base := func() *Work {
		return &Work{Method: "POST", Host: "h", Path: "/a/b?q=1", Selectors: []string{"m", "key"}, Body: []byte("prompt")}
	}
	is.Equal(base().ID(), base().ID())
	seen := map[ID]string{base().ID(): "base"}
	for name, change := range map[string]func(*Work){
		"method":        func(w *Work) { w.Method = "GET" },
		"host":          func(w *Work) { w.Host = "g" },
		"path":          func(w *Work) { w.Path = "/a/c?q=1" },
		"query":         func(w *Work) { w.Path = "/a/b?q=2" },
		"model":         func(w *Work) { w.Selectors[0] = "n" },
		"caller":        func(w *Work) { w.Selectors[1] = "other" },
		"body":          func(w *Work) { w.Body = []byte("prompt!") },
		"empty body":    func(w *Work) { w.Body = nil },
		"parts shifted": func(w *Work) { w.Host, w.Path = "h/", "a/b?q=1" },
	} {
		w := base()
		change(w)
		if other, found := seen[w.ID()]; found {
			t.Errorf("%s and %s have the same fingerprint", name, other)
		}
		seen[w.ID()] = name
	}
}

// TestPartsAreBounded: each part of a prompt is returned once, and no more than maxParts.
func TestPartsAreBounded(t *testing.T) {
	is := is.New(t)
	is.Equal(len((&Work{}).Parts()), 0)
	calls := 0
	w := &Work{PromptParts: func() []string {
		calls++
		names := []string{"a", "b", "a"}
		for i := range 1000 {
			names = append(names, fmt.Sprint(i))
		}
		return names
	}}
	is.Equal(w.Parts()[:3], []string{"a", "b", "0"})
	is.Equal(len(w.Parts()), maxParts)
	is.Equal(calls, 1)
}

func TestTextStandsForOneID(t *testing.T) {
	is := is.New(t)
	id := (&Work{Path: "/x"}).ID()
	parsed, ok := Parse(id.String())
	is.True(ok)
	is.Equal(parsed, id)
	for _, text := range []string{"", "xy", id.String()[2:], id.String() + "00"} {
		_, ok := Parse(text)
		is.True(!ok)
	}
}

// BenchmarkWork measures what the fingerprint of a request costs.
func BenchmarkWork(b *testing.B) {
	for _, size := range []int{1 << 10, 1 << 20} {
		body := bytes.Repeat([]byte("x"), size)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				w := &Work{Method: "POST", Host: "orders.example", Path: "/ask/1", Selectors: []string{"m", ""}, Body: body}
				w.ID()
			}
		})
	}
}
