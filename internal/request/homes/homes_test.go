package homes

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/marblepond/marblepond/internal/request/hold"
)

// TestRunningRequestsAreLookedAfterAgain: once was not enough when the data
// centre of a request did not answer the first time.
func TestRunningRequestsAreLookedAfterAgain(t *testing.T) {
	is := is.New(t)
	l, start := looks{}, time.Unix(1000, 0)
	r := []hold.Request{{ID: "r", Created: 1000}}
	seen := 0
	for s := 4; s <= 40; s++ {
		seen += len(l.due(start.Add(time.Duration(s)*time.Second), r))
	}
	is.Equal(seen, 6) // at 4, 6, 9, 14, 21 and 32 seconds
	l.due(start, nil)
	is.Equal(len(l), 0)
}

func TestID(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[a-z][a-z0-9-]{0,10}`)
		want := ID{DataCentre: name.Draw(t, "dc"), Second: name.Draw(t, "second"), Created: rapid.Int64Range(0, 1<<40).Draw(t, "created")}
		key := rapid.String().Draw(t, "key")
		a, ok := ParseID(NewID(want.DataCentre, want.Second, want.Created, "w", key))
		b, _ := ParseID(NewID(want.DataCentre, want.Second, want.Created, "w", key))
		if key != "" && a.Placement != b.Placement {
			t.Fatal("one key, two placements")
		}
		want.Placement = a.Placement
		if !ok || a != want {
			t.Fatalf("%+v, want %+v", a, want)
		}
	})
}

func FuzzParseID(f *testing.F) {
	f.Add("resp_a_b_tpf9_0011aabb_XYZ")
	f.Add("resp____")
	f.Fuzz(func(t *testing.T, id string) {
		if parsed, ok := ParseID(id); !ok && parsed != (ID{}) {
			t.Fatal("half an ID")
		}
	})
}

func TestGroupsStayBelowTheLimit(t *testing.T) {
	is := is.New(t)
	var results []*hold.Result
	for range 40 {
		results = append(results, &hold.Result{RequestID: NewID("dc", "", 1000, "w", ""), Body: make([]byte, 100<<10)})
	}
	total := 0
	for _, g := range groups(results) {
		total += len(g)
		is.True(len(g) <= 6) // 6 times 100 KiB in base64 is below 900 KiB
	}
	is.Equal(total, 40)
}
