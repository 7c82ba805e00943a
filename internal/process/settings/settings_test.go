package settings

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write the docs from the code")

const settingsPage = "../../../docs/SETTINGS.md"

const valid = `[node]
id = n1
data_centre = saldus-hall
caller_listen = 10.0.0.1:7070
peer_listen = 10.0.0.1:7071
[platform]
url = http://10.0.0.9:9000
[security]
peer_key = p
operator_key = o
`

func page() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nA node reads one INI file at its start (`marblepond agent --settings FILE`). `marblepond check` reports every fault,\none a line. Unknown keys are faults. This page is written from the code (`go test ./internal/process/settings -update`).\nServices, workspaces and their limits are not settings: operators change them while nodes run (OPERATIONS.md).\n")
	section := ""
	for _, k := range Keys {
		if k.Section != section {
			section = k.Section
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | default | unit | meaning |\n| --- | --- | --- | --- |\n", section)
		}
		value := k.Default
		if value == "" {
			value = "-"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", k.Name, value, k.Unit, k.Doc)
	}
	return b.String()
}

func TestKeysAndDocsAgree(t *testing.T) {
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(settingsPage, []byte(page()), 0o644))
	}
	written, err := os.ReadFile(settingsPage)
	is.NoErr(err)
	is.Equal(string(written), page())
}

func TestValid(t *testing.T) {
	is := is.New(t)
	s, err := Parse("f", []byte(valid))
	is.NoErr(err)
	is.Equal(s.CallerAdvertise, "10.0.0.1:7070") // the listen address by default
	is.Equal(s.RetryShare, 0.1)
}

// TestFaults compares the message of each kind of fault with the expected text.
func TestFaults(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"unknown key", valid + "[node]\nidd = x\n", `f: [node] idd: found "x", allowed: no such setting; see docs/SETTINGS.md`},
		{"unknown section", valid + "[nodes]\nid = x\n", `f: [nodes] id: found "x", allowed: no such setting; see docs/SETTINGS.md`},
		{"bad duration", valid + "[batch]\nlease_ttl = soon\n", `f: [batch] lease_ttl: found "soon", allowed: a duration from 200ms to 1h0m0s`},
		{"out of range", valid + "[platform]\nwrite_rate = 0\n", `f: [platform] write_rate: found "0", allowed: a whole number from 1 to 1000`},
		{"bad share", valid + "[batch]\nfill = 2\n", `f: [batch] fill: found "2", allowed: a number from 0 to 1`},
		{"host name", strings.Replace(valid, "10.0.0.1:7070", "localhost:7070", 1), `f: [node] caller_listen: found "localhost:7070", allowed: IP:port`},
		{"bad name", strings.Replace(valid, "saldus-hall", "saldus_hall", 1), `f: [node] data_centre: found "saldus_hall", allowed: letters, digits, '-' and '.', at least one (required)`},
		{"bad level", valid + "[log]\nlevel = loud\n", `f: [log] level: found "loud", allowed: one of debug, info, warn, error`},
		{"crossed", valid + "[membership]\ndead_after = 1s\n", `f: [membership] dead_after: found "1s", allowed: more than [membership] suspect_after`},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("f", []byte(c.text))
			is.True(err != nil)
			is.Equal(err.Error(), c.want)
		})
	}
}

func TestEveryFaultIsReported(t *testing.T) {
	is := is.New(t)
	_, err := Parse("f", []byte(""))
	var faults Faults
	is.True(errors.As(err, &faults))
	is.Equal(len(faults), 7) // each required key
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[node\nid"))
	f.Add([]byte("[batch]\nfill = 1e999"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := Parse("f", text); (s == nil) == (err == nil) {
			t.Fatal("neither settings nor faults")
		}
	})
}
