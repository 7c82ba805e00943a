package outlier

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// probe sends requests of one kind to t0 as often as it may within a time, each answered at once,
// while others state evidence about t0 all the time. It returns how many were sent.
func (f *fixture) probe(d time.Duration, work Work, others map[Reporter]Evidence) int {
	sent := 0
	for end := f.now.Add(d); f.now.Before(end); {
		for r, e := range others {
			f.report(r.Level, r.Name, e)
		}
		f.after(stepInterval)
		if f.state("t0") == OnTrial && f.MayProbe(f.now, "t0", work) {
			f.attempts("t0", 1, Succeeded)
			sent++
		}
	}
	return sent
}

// TestNodeWhosePathFailedReturns guards against a healthy target that one node never uses again:
// its failures there concerned it alone, and events that others receive of the target all the time
// were taken for those of another node's probe, so that it sent none after the first second.
func TestNodeWhosePathFailedReturns(t *testing.T) {
	is := is.New(t)
	f := newFixture(10)
	f.succeedElsewhere()
	others := map[Reporter]Evidence{{Group, "g"}: {Succeeded: 4, Alive: 3}}
	f.report(Group, "g", others[Reporter{Group, "g"}])
	f.attempts("t0", minEarlyFailures, Failed)
	f.after(stepInterval)
	is.Equal(f.state("t0"), Ejected)
	is.Equal(f.targets["t0"].scope, OwnNode)
	f.after(ejectTime)
	is.Equal(f.state("t0"), OnTrial)
	f.now = f.now.Add(probeTurn) // without a request of this node
	is.True(f.probe(settleTime, AtMostOnce, others) > 0)
	is.Equal(f.state("t0"), Admitted)
}

// TestDataCentreWhosePathFailedReturns: see TestNodeWhosePathFailedReturns, with failures that all
// nodes of one data centre have.
func TestDataCentreWhosePathFailedReturns(t *testing.T) {
	is := is.New(t)
	f := newFixture(10)
	f.succeedElsewhere()
	others := map[Reporter]Evidence{{DataCentre, "b"}: {Succeeded: 9, Alive: 3}}
	f.report(DataCentre, "b", others[Reporter{DataCentre, "b"}])
	f.report(Group, "g", Evidence{Failed: 2})
	f.attempts("t0", 2, Failed)
	f.after(stepInterval)
	is.Equal(f.targets["t0"].scope, OwnDataCentre)
	f.report(Group, "g", Evidence{})
	f.after(ejectTime)
	is.Equal(f.state("t0"), OnTrial)
	f.now = f.now.Add(probeTurn)
	is.True(f.probe(settleTime, AtMostOnce, others) > 0)
	is.Equal(f.state("t0"), Admitted)
}

// TestTargetThatOthersUseIsProbed guards against a target that a node has on trial for good, since
// one other node uses it: that one's successes are not stated any more, and its events were taken
// for those of a probe.
func TestTargetThatOthersUseIsProbed(t *testing.T) {
	is := is.New(t)
	f := newFixture(10)
	f.eject(t)
	f.after(ejectTime)
	is.Equal(f.state("t0"), OnTrial)
	f.report(Node, "n2", Evidence{})
	others := map[Reporter]Evidence{{Node, "n1"}: {Alive: 1}}
	f.now = f.now.Add(probeTurn)
	is.True(f.probe(servedProof+time.Second, AtMostOnce, others) > 0)
	is.Equal(f.state("t0"), Admitted)
}

// TestProbeOfAnotherNodeIsAwaited guards against probes of several nodes at once: while another
// node's probe may be answered, none is sent.
func TestProbeOfAnotherNodeIsAwaited(t *testing.T) {
	is := is.New(t)
	f := newFixture(10)
	f.eject(t)
	f.after(ejectTime)
	f.report(Node, "n2", Evidence{})
	f.report(Node, "n1", Evidence{})
	f.now = f.now.Add(probeTurn)
	f.after(stepInterval)
	is.Equal(f.probe(servedProof-2*probeTurn, Item, map[Reporter]Evidence{{Node, "n1"}: {Alive: 1}}), 0)
	is.Equal(f.state("t0"), OnTrial)
}

// TestProofsOfSeveralTurnsAddUp guards against a target that a node has on trial for good after
// several ejections: as the only one with a verdict it sends one probe in each of its turns, and
// the successes of earlier ones had left the window of evidence.
func TestProofsOfSeveralTurnsAddUp(t *testing.T) {
	is := is.New(t)
	f := newFixture(10)
	f.SetPeers([]Peer{{"n0", "a"}, {"n1", "a"}, {"n2", "a"}, {"n3", "a"}, {"n4", "a"}, {"n5", "a"}})
	f.eject(t)
	f.report(Node, "n1", Evidence{})
	f.report(Node, "n2", Evidence{})
	for range maxProofs {
		for f.state("t0") != OnTrial {
			f.after(stepInterval)
		}
		f.attempts("t0", 1, Failed)
		f.succeedElsewhere()
		f.after(stepInterval)
	}
	for f.state("t0") != OnTrial {
		f.after(stepInterval)
	}
	probes := 0
	for turn := 0; turn < maxProofs*6; turn++ {
		f.now = f.now.Add(probeTurn)
		f.after(0)
		if f.state("t0") == OnTrial && f.MayProbe(f.now, "t0", Item) {
			f.attempts("t0", 1, Succeeded)
			probes++
		}
	}
	f.after(stepInterval)
	is.Equal(probes, maxProofs)
	is.Equal(f.state("t0"), Admitted)
}
