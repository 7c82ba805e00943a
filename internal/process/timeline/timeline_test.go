package timeline

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"
)

var update = flag.Bool("update", false, "write the docs from the code")

const eventsPage = "../../../docs/EVENTS.md"

func page() string {
	var b strings.Builder
	b.WriteString("# Events\n\nImportant decisions are recorded as numbered events: in each node's ring buffer, in its log from level info up, and in\n`marblepond timeline`, which merges the nodes' buffers by hybrid logical time. Numbers are never reused. This page is\nwritten from the code (`go test ./internal/process/timeline -update`).\n\n| number | name | level | meaning |\n| --- | --- | --- | --- |\n")
	codes := make([]Code, 0, len(Catalogue))
	for c := range Catalogue {
		codes = append(codes, c)
	}
	slices.Sort(codes)
	for _, c := range codes {
		e := Catalogue[c]
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", c, e.Name, e.Level, e.Doc)
	}
	return b.String()
}

func TestCatalogueAndDocsAgree(t *testing.T) {
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(eventsPage, []byte(page()), 0o644))
	}
	written, err := os.ReadFile(eventsPage)
	is.NoErr(err)
	is.Equal(string(written), page())
}

// TestClockNeverGoesBack checks, for any steps of the wall clock and any times received
// from other nodes, that times increase and are later than the times received before.
func TestClockNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wall := time.Unix(1000, 0)
		c := NewClock(func() time.Time { return wall })
		var last HLC
		for range 30 {
			wall = wall.Add(time.Duration(rapid.IntRange(-50, 50).Draw(t, "ms")) * time.Millisecond)
			remote := HLC(rapid.Int64Range(0, 2_000_000).Draw(t, "remote") << hlcLogicalBits)
			c.Observe(remote)
			now := c.Now()
			if now <= last || now <= remote {
				t.Fatalf("%d after %d, message %d", now, last, remote)
			}
			last = now
		}
	})
}

func TestRingKeepsTheNewest(t *testing.T) {
	is := is.New(t)
	r := NewRecorder("n", 3, &log.Logger{Handler: discard.New()}, tally.NoopScope)
	for _, id := range []string{"a", "b", "a", "b", "a"} {
		r.Record(RequestHeld, id, "", "")
	}
	is.Equal(len(r.Events("", 10)), 3)
	is.Equal(len(r.Events("a", 10)), 2)
	is.Equal(len(r.Events("", 1)), 1)
}
