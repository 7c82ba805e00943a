package homes

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/marblepond/marblepond/internal/connection/peer"
	"github.com/marblepond/marblepond/internal/connection/platform"
	"github.com/marblepond/marblepond/internal/process/member"
	"github.com/marblepond/marblepond/internal/request/hold"
)

// TestRunningRequestsAreCheckedRepeatedly: one check was not enough if the data
// centre of a request did not respond to it.
func TestRunningRequestsAreCheckedRepeatedly(t *testing.T) {
	is := is.New(t)
	schedule, start := checkSchedule{}, time.Unix(1000, 0)
	r := []hold.Request{{ID: "r", Created: 1000}}
	seen := 0
	for s := 4; s <= 40; s++ {
		seen += len(schedule.due(start.Add(time.Duration(s)*time.Second), r))
	}
	is.Equal(seen, 6) // at 4, 6, 9, 14, 21 and 32 seconds
	schedule.due(start, nil)
	is.Equal(len(schedule), 0)
}

func TestID(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[a-z][a-z0-9-]{0,10}`)
		want := ID{DataCentre: name.Draw(t, "dc"), SecondDataCentre: name.Draw(t, "second"), Created: rapid.Int64Range(0, 1<<40).Draw(t, "created")}
		key := rapid.String().Draw(t, "key")
		a, ok := ParseID(NewID(want.DataCentre, want.SecondDataCentre, want.Created, "w", key))
		b, _ := ParseID(NewID(want.DataCentre, want.SecondDataCentre, want.Created, "w", key))
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
			t.Fatal("an invalid ID was parsed in part")
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
	for _, g := range groupByBucket(results) {
		total += len(g)
		is.True(len(g) <= 6) // 6 times 100 KiB in base64 is below 900 KiB
	}
	is.Equal(total, 40)
}

// TestNoResponseIsNotTakenForUnknown: calls to replicas time out after 500 ms. A replica,
// data centre or platform that did not respond was treated as one that does not know the
// request, so that a caller was told that a result it had received does not exist. The
// three unresponsive cases fail without the rule.
func TestNoResponseIsNotTakenForUnknown(t *testing.T) {
	closed := httptest.NewServer(nil)
	closed.Close()
	empty := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "[]") }))
	defer empty.Close()
	unresponsive := strings.TrimPrefix(closed.URL, "http://")
	here := member.Info{ID: "n0", DataCentre: "here"}
	for _, c := range []struct {
		name, store string
		view        member.View
		id          string
		sure        bool
	}{
		{"all answered", empty.URL, member.View{Self: here, ActiveIDs: []string{"n0"}}, NewID("here", "", 1000, "w", ""), true},
		{"a data centre that does not exist", empty.URL, member.View{Self: here, ActiveIDs: []string{"n0"}}, NewID("nowhere", "", 1000, "w", ""), true},
		{"a replica does not respond", empty.URL, member.View{Self: here, ActiveIDs: []string{"n0", "n1"},
			Members: []member.Member{{Info: member.Info{ID: "n1", DataCentre: "here", PeerAddr: unresponsive}}}}, NewID("here", "", 1000, "w", ""), false},
		{"a data centre does not respond", empty.URL, member.View{Self: here, ActiveIDs: []string{"n0"},
			Contacts: []member.Member{{Info: member.Info{ID: "m0", DataCentre: "there", PeerAddr: unresponsive}}}}, NewID("there", "here", 1000, "w", ""), false},
		{"the platform does not respond", closed.URL, member.View{Self: here, ActiveIDs: []string{"n0"}}, NewID("here", "", 1000, "w", ""), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			store := platform.New(platform.Options{URL: c.store, HTTP: http.DefaultClient, Timeout: time.Second, ReadRate: 100, WriteRate: 100, Metrics: tally.NoopScope})
			rp := New(1<<20, func() *member.View { return &c.view }, peer.NewPool(http.DefaultClient, ""), store, nil, nil)
			for range 2 { // the second time the unresponsive address is avoided
				answer, err := rp.Find(context.Background(), c.id, "w", 0)
				is.Equal(answer.State, hold.Unknown)
				is.Equal(err == nil, c.sure)
			}
		})
	}
}
