package hold

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func request(id, key, digest string) Request {
	return Request{ID: id, Workspace: "w", Key: key, Digest: []byte(digest), Owner: "n", OwnerIncarnation: 1, Body: []byte("body")}
}

func TestResendJoinsAndConflicts(t *testing.T) {
	is := is.New(t)
	tab := New(1 << 20)
	is.Equal(tab.Hold(request("r1", "k", "d")).State, Registered)
	second := tab.Hold(request("r2", "k", "d"))
	is.Equal(second.State, Running)
	is.Equal(second.RequestID, "r1")
	is.Equal(tab.Hold(request("r3", "k", "other")).State, Conflict)
	is.True(tab.Finish(Result{RequestID: "r1", Body: []byte("a")}, false))
	is.True(!tab.Finish(Result{RequestID: "r1", Body: []byte("b")}, false)) // the first result is kept
	done := tab.Hold(request("r4", "k", "d"))
	is.Equal(done.State, Done)
	is.Equal(string(done.Result.Body), "a")
}

// TestKeysAreScopedByDataCentre: two data centres that accepted the same key at
// the same time must not wait for each other.
func TestKeysAreScopedByDataCentre(t *testing.T) {
	is := is.New(t)
	tab := New(1 << 20)
	here, there := request("r1", "k", "d"), request("r2", "k", "d")
	here.DataCentre, there.DataCentre = "a", "b"
	is.Equal(tab.Hold(here).State, Registered)
	is.Equal(tab.Hold(there).State, Registered)
}

func TestDroppedKeyStartsAnew(t *testing.T) {
	is := is.New(t)
	tab := New(1 << 20)
	tab.Hold(request("r1", "k", "d"))
	done := tab.Wait("r1")
	tab.Drop("r1")
	<-done // a caller that joined the request is woken
	is.Equal(tab.Hold(request("r2", "k", "d")).State, Registered)
}

func TestOrphansAreRequestsOfEndedOwners(t *testing.T) {
	is := is.New(t)
	tab := New(1 << 20)
	tab.Hold(request("r1", "", "d"))
	tab.Hold(request("r2", "", "d"))
	tab.Finish(Result{RequestID: "r2"}, false)
	hasEnded := func(node string, incarnation uint64) bool { return node == "n" && incarnation == 1 }
	is.Equal(len(tab.Orphans(hasEnded)), 1)
	tab.SetOwner("r1", "m", 1)
	is.Equal(len(tab.Orphans(hasEnded)), 0)
}

// TestMemoryIsBounded: after any sequence of calls the table is within its limit
// and still has all running requests and all results that are not yet durable.
func TestMemoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 5000
		tab := New(limit)
		required := map[string]bool{}
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprintf("r%d", n)
			if tab.Hold(request(id, id, "d")).State == Registered {
				required[id] = true
			}
			for known := range required {
				switch rapid.IntRange(0, 3).Draw(t, "then") {
				case 0:
					tab.Finish(Result{RequestID: known, Body: []byte("x")}, false)
				case 1:
					if tab.Lookup(known).State == Done {
						tab.MarkFlushed([]string{known})
						delete(required, known)
					}
				}
			}
			if _, used := tab.Size(); used > limit {
				t.Fatalf("%d bytes used", used)
			}
			for known := range required {
				if tab.Lookup(known).State == Unknown {
					t.Fatalf("%s was forgotten", known)
				}
			}
		}
	})
}
