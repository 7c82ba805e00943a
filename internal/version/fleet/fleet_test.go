package fleet

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/marblepond/marblepond/internal/version/workspace"
)

const intent = `[service "akmens-llm"]
model = akmens
version = 3
adapters = notes,stock

[workspace "kurzeme"]
key_sha256 = %s
services = akmens-llm
`

func parse(t *testing.T, text string) *Config {
	t.Helper()
	c, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestModelNames(t *testing.T) {
	is := is.New(t)
	c := parse(t, fmt.Sprintf(intent, workspace.HashKey("k")))
	w := c.Workspaces.ByKey("k")
	for name, loaded := range map[string]string{
		"akmens-llm": "akmens@3", "akmens": "akmens@3", "akmens-llm:notes": "akmens@3+notes", "akmens:stock": "akmens@3+stock", "akmens:none": "", "other": "",
	} {
		_, got := c.ServiceFor(w, name)
		is.Equal(got, loaded) // name
	}
	is.True(c.Workspaces.ByKey("other") == nil)
}

func TestFaults(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"unknown key", "[service \"s\"]\ncolour = red\n", `[service "s"] colour: found "red", allowed: no such key in this section`},
		{"unknown section", "[server \"s\"]\nmodel = m\n", `[server "s"] -: found "server \"s\"", allowed: [service "name"], [workspace "name"] or [data_centre "name"]`},
		{"bad evacuation", "[data_centre \"hall-a\"]\nevacuated = perhaps\n", `[data_centre "hall-a"] evacuated: found "perhaps", allowed: true or false`},
		{"unknown key of a data centre", "[data_centre \"hall-a\"]\nnodes = 3\n", `[data_centre "hall-a"] nodes: found "3", allowed: no such key in this section`},
		{"bad kind", "[service \"s\"]\nkind = big\n", `[service "s"] kind: found "big", allowed: model or plain`},
		{"bad key", "[workspace \"w\"]\nkey_sha256 = abc\n", `[workspace "w"] key_sha256: found "abc", allowed: SHA-256 in hex, 64 digits`},
		{"no such service", "[workspace \"w\"]\nservices = s\n", `[workspace "w"] services: found "s", allowed: a service of this configuration`},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(c.text))
			is.True(err != nil)
			is.Equal(err.Error(), c.want)
		})
	}
}

// TestSectionsRoundTrip: a configuration that is divided into sections and assembled
// again is the same, and a change of one workspace changes one section.
func TestSectionsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b strings.Builder
		for n := range rapid.IntRange(1, 30).Draw(t, "workspaces") {
			fmt.Fprintf(&b, "[workspace \"w%d\"]\nmax_in_flight = %d\n", n, rapid.IntRange(0, 9).Draw(t, "limit"))
		}
		c, err := Parse([]byte(b.String()))
		if err != nil {
			t.Fatal(err)
		}
		head := NewHead(c, Head{Version: 6}, "token")
		bodies := map[string][]byte{}
		for _, body := range c.Sections() {
			bodies[HashSection(body)] = body
		}
		again, err := Assemble(head, bodies)
		if err != nil || again.Version != 7 || again.Text() != c.Text() {
			t.Fatalf("%v\n%s", err, again.Text())
		}
		changed, _ := Parse([]byte(b.String() + "[workspace \"w0\"]\nbatch_weight = 5\n"))
		newSections := 0
		for _, hash := range NewHead(changed, head, "t").Sections {
			if bodies[hash] == nil {
				newSections++
			}
		}
		if diff := Diff(c, changed); newSections != 1 || len(diff) != 1 || diff[0].Key != "batch_weight" {
			t.Fatalf("%d sections changed, diff %v", newSections, diff)
		}
	})
}

func TestWritersAreRemembered(t *testing.T) {
	is := is.New(t)
	head := Head{}
	for n := range maxWriters + 5 {
		head = NewHead(Empty(), head, fmt.Sprint(n))
	}
	is.Equal(len(head.Writers), maxWriters)
	is.True(head.WrittenBy(head.Version-3, fmt.Sprint(maxWriters+1)))  // below later versions
	is.True(!head.WrittenBy(head.Version-3, fmt.Sprint(maxWriters+2))) // a token of another writer
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(fmt.Sprintf(intent, workspace.HashKey("k"))))
	f.Add([]byte(`[service ""]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Parse(text)
		if err != nil {
			return
		}
		if parsed, err := Parse([]byte(c.Text())); err == nil && len(Diff(c, parsed)) != 0 && !strings.ContainsAny(string(text), "`\"\\;#=:%") {
			t.Fatalf("Text loses part of the configuration: %v", Diff(c, parsed))
		}
	})
}
