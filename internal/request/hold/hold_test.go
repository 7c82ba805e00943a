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
	is.True(!tab.Finish(Result{RequestID: "r1", Body: []byte("b")}, false)) // the first answer stands
	done := tab.Hold(request("r4", "k", "d"))
	is.Equal(done.State, Done)
	is.Equal(string(done.Result.Body), "a")
}

// TestKeysOfCentresAreApart: two data centres that took the same key at the
// same time must not wait for each other.
func TestKeysOfCentresAreApart(t *testing.T) {
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
	waiting := tab.Wait("r1")
	tab.Drop("r1")
	<-waiting // a joined caller is told
	is.Equal(tab.Hold(request("r2", "k", "d")).State, Registered)
}

func TestOrphansAreThoseOfTheGone(t *testing.T) {
	is := is.New(t)
	tab := New(1 << 20)
	tab.Hold(request("r1", "", "d"))
	tab.Hold(request("r2", "", "d"))
	tab.Finish(Result{RequestID: "r2"}, false)
	gone := func(node string, incarnation uint64) bool { return node == "n" && incarnation == 1 }
	is.Equal(len(tab.Orphans(gone)), 1)
	tab.SetOwner("r1", "m", 1)
	is.Equal(len(tab.Orphans(gone)), 0)
}

// TestMemoryIsBounded: whatever comes, the table stays within its limit, and
// never forgets a running request or a result that is not yet durable.
func TestMemoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 5000
		tab := New(limit)
		kept := map[string]bool{}
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprintf("r%d", n)
			if tab.Hold(request(id, id, "d")).State == Registered {
				kept[id] = true
			}
			for known := range kept {
				switch rapid.IntRange(0, 3).Draw(t, "then") {
				case 0:
					tab.Finish(Result{RequestID: known, Body: []byte("x")}, false)
				case 1:
					if tab.Lookup(known).State == Done {
						tab.MarkFlushed([]string{known})
						delete(kept, known)
					}
				}
			}
			if _, used := tab.Size(); used > limit {
				t.Fatalf("%d bytes used", used)
			}
			for known := range kept {
				if tab.Lookup(known).State == Unknown {
					t.Fatalf("%s was forgotten", known)
				}
			}
		}
	})
}
