package choose

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/marblepond/marblepond/internal/request/continuation"
)

// versionedTable returns a table of targets with the versions given, of eight slots each.
func versionedTable(versions ...continuation.Version) *Table {
	table := New(Config{EjectAfter: 2, EjectTime: time.Second, Policy: LeastOfFew, LocalDataCentre: "here"})
	var targets []Target
	for i, v := range versions {
		targets = append(targets, Target{ID: fmt.Sprint("t", i), Incarnation: 1, Service: "s", DataCentre: "here", Slots: 8, Version: v})
	}
	table.SetTargets(targets)
	return table
}

// TestBegunAnswerGetsItsVersionOnly guards against an answer that is continued at a target of
// another version, however much freer that is, or whatever state targets are in.
func TestBegunAnswerGetsItsVersionOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := versionedTable("v1", "v2", "v1", "v2", "v3")
		now := time.Unix(1000, 0)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			id := fmt.Sprint("t", rapid.IntRange(0, 4).Draw(t, "target"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				table.Begin(id)
			case 1:
				table.MarkSaturated(now, id)
			case 2:
				table.MarkLeaving(id, 1)
			case 3:
				now = now.Add(50 * time.Millisecond)
			}
			batch := rapid.Bool().Draw(t, "batch")
			got, ok := table.Choose(now, Need{Service: "s", Origin: continuation.BegunAt("v2"), Overflow: 4, Batch: batch})
			if ok && got.Version != "v2" {
				t.Fatalf("continued at %s with version %s", got.ID, got.Version)
			}
			if ok && table.Supply(now, "s", continuation.BegunAt("v2")) == continuation.Gone {
				t.Fatal("a version is gone that a target was chosen for")
			}
		}
	})
}

// TestBegunAnswerMayQueueDeeper guards against begun answers that are refused because new
// requests fill the last targets of their version: those stop at the overflow, and a begun
// answer may still be queued.
func TestBegunAnswerMayQueueDeeper(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	const overflow = 4
	table := versionedTable("v1", "v2")
	for range 8 + overflow {
		table.Begin("t0")
		table.Begin("t1")
	}
	_, ok := table.Choose(now, Need{Service: "s", Overflow: overflow})
	is.True(!ok) // a new request
	got, ok := table.Choose(now, Need{Service: "s", Overflow: overflow, Origin: continuation.BegunAt("v1")})
	is.True(ok)
	is.Equal(got.ID, "t0")
	for range overflow {
		table.Begin("t0")
	}
	_, ok = table.Choose(now, Need{Service: "s", Overflow: overflow, Origin: continuation.BegunAt("v1")})
	is.True(!ok)

	alone := versionedTable("v1", "v1") // with one version alone nothing changes
	for range 8 + overflow {
		alone.Begin("t0")
		alone.Begin("t1")
	}
	_, ok = alone.Choose(now, Need{Service: "s", Overflow: overflow, Origin: continuation.BegunAt("v1")})
	is.True(!ok)
}

// TestNewRequestsLeaveRoomForBegunAnswers guards against begun answers that are refused in an
// overload because new requests take each slot that becomes free at the last target of their
// version, and against slots that are kept while one version alone has usable targets.
func TestNewRequestsLeaveRoomForBegunAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		others := rapid.IntRange(1, 9).Draw(t, "targets of v2")
		table := New(Config{EjectAfter: 2, EjectTime: time.Second, Policy: LeastOfFew, LocalDataCentre: "here"})
		targets := []Target{{ID: "last", Incarnation: 1, Service: "s", DataCentre: "here", Slots: slots, Version: "v1"}}
		for i := range others {
			targets = append(targets, Target{ID: fmt.Sprint("t", i), Incarnation: 1, Service: "s", DataCentre: "here", Slots: slots, Version: "v2"})
		}
		table.SetTargets(targets)
		sent := map[string]int{}
		fill := func() { // new requests alone
			for {
				got, ok := table.Choose(now, Need{Service: "s", Overflow: 4, Resumable: rapid.Bool().Draw(t, "resumable")})
				if !ok {
					return
				}
				table.Begin(got.ID)
				sent[got.ID]++
			}
		}
		fill()
		kept := min(1, slots-1)
		if sent["last"] != slots-kept {
			t.Fatalf("the last target of %d slots got %d new requests", slots, sent["last"])
		}
		if sent["t0"] != slots-kept { // one in eight targets of a version
			t.Fatalf("a target of the other version got %d new requests", sent["t0"])
		}
		if others > 1 && sent["t1"] != slots+4 {
			t.Fatalf("a target that keeps no slot got %d new requests", sent["t1"])
		}
		got, ok := table.Choose(now, Need{Service: "s", Overflow: 4, Origin: continuation.BegunAt("v1")})
		if !ok || got.ID != "last" {
			t.Fatalf("a begun answer was sent to %q", got.ID)
		}
		for i := range others {
			table.MarkLeaving(fmt.Sprint("t", i), 1)
		}
		table.Begin(got.ID)
		fill()
		if sent["last"] != slots+4-1 { // and the begun answer
			t.Fatalf("the only usable target got %d new requests", sent["last"])
		}
	})
}

// TestVersionIsGoneOnlyBesideOthers guards against answers that are given up while the targets
// of their version may return, and against answers that wait for a version that was replaced.
func TestVersionIsGoneOnlyBesideOthers(t *testing.T) {
	is := is.New(t)
	v1, now := continuation.BegunAt("v1"), time.Unix(1000, 0)
	table := versionedTable("v1", "v2")
	is.Equal(table.Supply(now, "s", v1), continuation.Busy)
	table.MarkLeaving("t0", 1)
	is.Equal(table.Supply(now, "s", v1), continuation.Gone)
	table.MarkLeaving("t1", 1)
	is.Equal(table.Supply(now, "s", v1), continuation.Busy) // no target at all
}

// Guards against an answer that waits for targets that get no work as for targets that are full.
func TestVersionWithoutATargetThatGetsWorkIsUnusable(t *testing.T) {
	is := is.New(t)
	v1, now := continuation.BegunAt("v1"), time.Unix(1000, 0)
	table := versionedTable("v1", "v1", "v2")
	table.cfg.EjectAfter, table.cfg.EjectTime = 1, time.Second
	table.Begin("t0")
	table.End(now, "t0", Failure)
	is.Equal(table.Supply(now, "s", v1), continuation.Busy)
	table.Begin("t1")
	table.End(now, "t1", Failure)
	is.Equal(table.Supply(now, "s", v1), continuation.Unusable)
	is.Equal(table.Supply(now.Add(time.Second), "s", v1), continuation.Busy)
	table.SetEvacuated(now, []string{table.entries["t0"].DataCentre})
	is.Equal(table.Supply(now.Add(time.Second), "s", v1), continuation.Unusable)
}

// TestStreamsBeginAtVersionsInUse guards against resumable streams that begin at a version that
// other nodes do not know yet, and against requests that wait for it although they cannot be
// resumed or no other version is left.
func TestStreamsBeginAtVersionsInUse(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := versionedTable("v1", "v1", "v2", "v2")
	table.cfg.VersionInUse = func(_ string, v continuation.Version) bool { return v == "v1" }
	table.Begin("t0")
	table.Begin("t1") // targets of v2 have less in flight
	got, ok := table.Choose(now, Need{Service: "s", Resumable: true})
	is.True(ok)
	is.Equal(got.Version, continuation.Version("v1"))
	got, _ = table.Choose(now, Need{Service: "s"})
	is.Equal(got.Version, continuation.Version("v2"))
	for range 7 {
		table.Begin("t0")
		table.Begin("t1")
	}
	got, ok = table.Choose(now, Need{Service: "s", Resumable: true, Overflow: 4})
	is.True(ok) // queued at a version in use
	is.Equal(got.Version, continuation.Version("v1"))
	table.MarkLeaving("t0", 1)
	table.MarkLeaving("t1", 1)
	got, ok = table.Choose(now, Need{Service: "s", Resumable: true})
	is.True(ok)
	is.Equal(got.Version, continuation.Version("v2"))
}

// Guards against streams that a node begins right after its start at a version that was just listed
// and that other nodes do not know yet.
func TestStreamsBeginAtTheUsualVersionWhileNoneIsKnownToBeInUse(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := versionedTable("v1", "v1", "v1", "v2", "v2")
	table.cfg.VersionInUse = func(string, continuation.Version) bool { return false }
	for range 6 {
		for _, id := range []string{"t0", "t1", "t2"} {
			table.Begin(id) // targets of v2 have nothing in flight
		}
		got, ok := table.Choose(now, Need{Service: "s", Resumable: true, Overflow: 4})
		is.True(ok)
		is.Equal(got.Version, continuation.Version("v1"))
		table.End(now, got.ID, Neutral)
	}
}

// TestStreamsAvoidTheLastTargetOfAVersion guards against streams that cannot continue anywhere
// once their target is lost, and against a last target that is left idle while others are full.
func TestStreamsAvoidTheLastTargetOfAVersion(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := versionedTable("v1", "v2", "v2")
	for range 50 {
		got, ok := table.Choose(now, Need{Service: "s", Resumable: true})
		is.True(ok)
		is.Equal(got.Version, continuation.Version("v2"))
	}
	table.MarkSaturated(now, "t1")
	table.MarkSaturated(now, "t2")
	for range 12 {
		table.Begin("t1")
		table.Begin("t2")
	}
	got, ok := table.Choose(now, Need{Service: "s", Resumable: true, Overflow: 4})
	is.True(ok)
	is.Equal(got.ID, "t0")
}
