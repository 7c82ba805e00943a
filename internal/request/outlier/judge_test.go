package outlier

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ejectTime = 500 * time.Millisecond

// fixture is the judge of node n0 in data centre a with targets t0, t1 and so on.
type fixture struct {
	*Judge
	now time.Time
}

func newFixture(targets int) *fixture {
	f := &fixture{New(Config{Node: "n0", DataCentre: "a", EjectTime: ejectTime}), time.Unix(1000, 0)}
	f.SetTargets(targetList(targets, 1))
	return f
}

func targetList(n int, incarnation uint64) []Target {
	var list []Target
	for i := range n {
		list = append(list, Target{ID: fmt.Sprint("t", i), Incarnation: incarnation, Service: "s"})
	}
	return list
}

// attempts records attempts at a target that end at once.
func (f *fixture) attempts(id string, n int, o Outcome) {
	for range n {
		f.End(f.now, id, f.Begin(f.now, id), o)
	}
}

// succeedElsewhere records a success at each target but t0.
func (f *fixture) succeedElsewhere() {
	for id := range f.targets {
		if id != "t0" {
			f.attempts(id, 1, Succeeded)
		}
	}
}

// report sets what a reporter states of t0.
func (f *fixture) report(level Level, name string, e Evidence) {
	f.SetReport(Reporter{level, name}, map[string]Evidence{"t0": e})
}

// after lets time pass and returns the changes.
func (f *fixture) after(d time.Duration) []Change {
	f.now = f.now.Add(d)
	return f.Step(f.now)
}

func (f *fixture) state(id string) State { return f.targets[id].state }

// TestFailuresOfSeveralNodesEject guards against learning alone: with 71 nodes each sends a
// target one of 71 requests, and four targets that answered 500 failed 231 requests, one to
// four for each pair of a node and a target. Two failures that two nodes saw are enough, of
// whatever level the reports are.
func TestFailuresOfSeveralNodesEject(t *testing.T) {
	for _, level := range []Level{Node, Group, DataCentre} {
		t.Run(fmt.Sprint(level), func(t *testing.T) {
			is := is.New(t)
			f := newFixture(10)
			f.succeedElsewhere()
			f.attempts("t0", 1, Failed)
			is.Equal(len(f.after(stepInterval)), 0) // one failure is none too many
			f.report(level, "other", Evidence{Failed: 1})
			is.Equal(len(f.after(stepInterval)), 0) // successes there may not be known yet
			changes := f.after(successesWithin)
			is.Equal(len(changes), 1)
			is.Equal(changes[0], Change{Target: "t0", State: Ejected, Cause: Failing, Scope: Fleet, Evidence: Evidence{Failed: 2}, Ejections: 1, For: ejectTime})
		})
	}
}

// TestFewFailuresAmongManySuccessesDoNotEject guards against ejections of targets whose
// failure rate is usual.
func TestFewFailuresAmongManySuccessesDoNotEject(t *testing.T) {
	is := is.New(t)
	f := newFixture(10)
	f.succeedElsewhere()
	f.attempts("t0", 1, Failed)
	f.report(Node, "n1", Evidence{Failed: 1, Succeeded: 8})
	f.after(stepInterval)
	is.Equal(len(f.after(successesWithin)), 0) // a fifth
	f.report(Node, "n1", Evidence{Failed: 2, Succeeded: 8})
	is.Equal(len(f.after(stepInterval)), 1)
}

// TestServiceRateRaisesTheThreshold guards against ejections of the worst targets of a
// service that fails everywhere now and then: a quarter of failures is no outlier there.
func TestServiceRateRaisesTheThreshold(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	f.SetReport(Reporter{Node, "n1"}, map[string]Evidence{"t0": {Failed: 3, Succeeded: 7}, "t1": {Failed: 1, Succeeded: 9}, "t2": {Failed: 1, Succeeded: 9}, "t3": {Failed: 1, Succeeded: 9}})
	f.SetReport(Reporter{Node, "n2"}, map[string]Evidence{"t0": {Failed: 3, Succeeded: 7}, "t1": {Failed: 1, Succeeded: 9}, "t2": {Failed: 1, Succeeded: 9}, "t3": {Failed: 1, Succeeded: 9}})
	f.after(stepInterval)
	is.Equal(len(f.after(successesWithin)), 0) // 30 % with a mean of 15 %
}

// TestOneReporterEjectsOnlyForItself guards against a node whose way to a healthy target is
// broken: it must not eject the target for nodes that succeed there, but leave it itself.
func TestOneReporterEjectsOnlyForItself(t *testing.T) {
	is := is.New(t)
	f := newFixture(10)
	f.report(Node, "n1", Evidence{Failed: 9})
	f.report(Group, "g", Evidence{Succeeded: 4})
	is.Equal(len(f.after(stepInterval)), 0)
	is.Equal(len(f.after(successesWithin)), 0)
	f.succeedElsewhere()
	f.report(Node, "n1", Evidence{})
	f.attempts("t0", 3, Failed)
	changes := f.after(stepInterval)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Scope, OwnNode)
}

// TestBrokenLinkOfThisNodeIsNoEvidence guards against a node that is cut off from the
// targets: it fails at most of them, and must neither eject them nor report failures.
func TestBrokenLinkOfThisNodeIsNoEvidence(t *testing.T) {
	is := is.New(t)
	f := newFixture(10)
	for i := range 4 {
		f.attempts(fmt.Sprint("t", i), 5, Failed)
	}
	f.attempts("t8", 1, Succeeded)
	is.Equal(len(f.after(stepInterval)), 0)
	is.Equal(len(f.after(successesWithin)), 0)
	for _, e := range f.Report(f.now, Node) {
		is.Equal(e.Failed, 0)
	}
}

// TestDataCentreView guards against the ejection of a target everywhere although only one
// data centre fails to reach it: the verdict holds there and not elsewhere.
func TestDataCentreView(t *testing.T) {
	is := is.New(t)
	f := newFixture(10)
	f.succeedElsewhere()
	f.attempts("t0", 1, Failed)
	f.report(Group, "g", Evidence{Failed: 2})
	f.report(DataCentre, "b", Evidence{Succeeded: 9})
	is.Equal(len(f.after(stepInterval)), 0)
	changes := f.after(successesWithin)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Scope, OwnDataCentre)
	other := newFixture(10)
	other.report(DataCentre, "b", Evidence{Failed: 9})
	other.report(DataCentre, "c", Evidence{Succeeded: 9})
	is.Equal(len(other.after(stepInterval)), 0)
	is.Equal(len(other.after(successesWithin)), 0) // only b fails there
	other.report(DataCentre, "c", Evidence{Failed: 2})
	is.Equal(len(other.after(stepInterval)), 1)
}

// TestHangingTargetIsEjected guards against targets that stop sending without an error:
// several attempts wait there and nobody receives events. A target that any node hears only
// has a queue.
func TestHangingTargetIsEjected(t *testing.T) {
	is := is.New(t)
	f := newFixture(10)
	f.succeedElsewhere()
	f.Begin(f.now, "t0")
	f.report(Group, "g", Evidence{Unanswered: 1, Alive: 1})
	is.Equal(len(f.after(minUnanswered)), 0) // not longer than that yet
	is.Equal(len(f.after(stepInterval)), 0)  // alive
	f.report(Group, "g", Evidence{Unanswered: 1})
	changes := f.after(stepInterval)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Cause, Hanging)
}

// TestUnansweredAttemptsOfOneNodeConcernOnlyIt guards against the ejection of a healthy
// target by a single node whose way there is broken.
func TestUnansweredAttemptsOfOneNodeConcernOnlyIt(t *testing.T) {
	is := is.New(t)
	f := newFixture(10)
	f.report(Node, "n1", Evidence{Unanswered: 5})
	is.Equal(len(f.after(stepInterval)), 0)
	f.report(Node, "n1", Evidence{})
	f.succeedElsewhere()
	f.Begin(f.now, "t0")
	f.Begin(f.now, "t0")
	changes := f.after(time.Second)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Scope, OwnNode)
}

// TestLongUnansweredAttemptsFail guards against hangs that show only when a caller gives
// up: an attempt that was unanswered for over a second counts as failed, whoever ended it,
// and a shorter one does not.
func TestLongUnansweredAttemptsFail(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		after time.Duration
		event bool
		want  int
	}{{minUnanswered + failedAfter, false, 0}, {minUnanswered + failedAfter + 1, false, 1}, {2 * time.Second, true, 0}} {
		f := newFixture(10)
		number := f.Begin(f.now, "t0")
		if c.event {
			f.Event(f.now.Add(time.Millisecond), "t0", number)
		}
		f.now = f.now.Add(c.after)
		f.End(f.now, "t0", number, BrokenOff)
		is.Equal(f.targets["t0"].window.sum.Failed, c.want)
	}
}

// TestGivenUpAttemptStaysUnanswered guards against evidence that is lost where the forwarder
// gives up silent attempts after 150 ms, sooner than they count as unanswered.
func TestGivenUpAttemptStaysUnanswered(t *testing.T) {
	is := is.New(t)
	f := newFixture(10)
	f.attempts("t1", 3, Succeeded)
	f.attempts("t2", 3, Succeeded)
	number := f.Begin(f.now, "t0")
	f.now = f.now.Add(minUnanswered)
	f.End(f.now, "t0", number, GivenUp)
	f.after(50 * time.Millisecond)
	is.Equal(f.Report(f.now, Node)["t0"].Unanswered, 1)
	f.after(failedAfter)
	is.Equal(f.Report(f.now, Node)["t0"].Unanswered, 0)
}

// TestRefusedAttemptIsNotUnanswered guards against ejections of full targets: a request that
// a target refused as full waits at this node, not there.
func TestRefusedAttemptIsNotUnanswered(t *testing.T) {
	is := is.New(t)
	f := newFixture(10)
	f.Refused("t0", f.Begin(f.now, "t0"))
	f.after(time.Second)
	is.Equal(f.Report(f.now, Node)["t0"].Unanswered, 0)
}

// TestCommonCauseEjectsNothing guards against ejecting most of a service when the cause is
// not the targets: over half of them fail.
func TestCommonCauseEjectsNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(10)
	fail := func(n int) {
		for _, r := range []string{"n1", "n2"} {
			report := map[string]Evidence{}
			for i := range n {
				report[fmt.Sprint("t", i)] = Evidence{Failed: 5}
			}
			f.SetReport(Reporter{Node, r}, report)
		}
	}
	fail(2)
	is.Equal(len(f.after(stepInterval)), 2)
	fail(6)
	for _, c := range f.after(stepInterval) {
		is.Equal(c.Cause, CommonCause)
	}
	is.True(!f.HasVerdicts())
}

// TestCommonCauseLengthensNoEjection guards against targets that stay out for the longest time after
// a fault that concerned many: ejections that the common cause ended at once counted for later ones.
func TestCommonCauseLengthensNoEjection(t *testing.T) {
	is := is.New(t)
	f := newFixture(10)
	fail := func(n int) []Change {
		for _, r := range []string{"n1", "n2"} {
			report := map[string]Evidence{}
			for i := range n {
				report[fmt.Sprint("t", i)] = Evidence{Failed: 5}
			}
			f.SetReport(Reporter{Node, r}, report)
		}
		return f.after(stepInterval)
	}
	for range 3 {
		changes := fail(1)
		is.Equal(len(changes), 1)
		is.Equal(changes[0].State, Ejected)
		is.Equal(changes[0].For, ejectTime)
		fail(6)
		is.Equal(f.state("t0"), Admitted)
	}
}

// TestLimitIsNeverExceeded guards against ejecting so many targets that the others are
// overloaded: whatever is reported and whatever targets leave, no more than 30 % of a service
// are ejected or on trial.
func TestLimitIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 24).Draw(t, "targets")
		f := newFixture(n)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			bad := rapid.IntRange(0, n).Draw(t, "bad")
			for _, r := range []Reporter{{Node, "n1"}, {Group, "g"}, {DataCentre, "b"}} {
				report := map[string]Evidence{}
				for i := range n {
					if rapid.Bool().Draw(t, "clear") {
						if i < bad {
							report[fmt.Sprint("t", i)] = Evidence{Failed: 9}
						}
						continue
					}
					report[fmt.Sprint("t", i)] = Evidence{Failed: rapid.IntRange(0, 3).Draw(t, "failed"), Succeeded: rapid.IntRange(0, 3).Draw(t, "succeeded"), Unanswered: rapid.IntRange(0, 2).Draw(t, "unanswered")}
				}
				f.SetReport(r, report)
			}
			if rapid.IntRange(0, 9).Draw(t, "leave") == 0 {
				n = max(1, n-rapid.IntRange(0, 3).Draw(t, "leaving"))
				f.SetTargets(targetList(n, 1))
			}
			f.after(time.Duration(rapid.IntRange(20, 900).Draw(t, "ms")) * time.Millisecond)
			if out := f.services["s"].notAdmitted(); float64(out) > maxEjectedShare*float64(n) {
				t.Fatalf("%d of %d targets are ejected", out, n)
			}
		}
	})
}
