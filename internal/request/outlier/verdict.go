package outlier

import (
	"math"
	"time"
)

const (
	// minFailureRate is the failure rate that a failing target exceeds at least, and
	// serviceRateFactor the multiple of the failure rate of its service. maxFailureRate
	// limits that multiple: otherwise no target would exceed it where a third of them fail.
	minFailureRate    = 0.2
	serviceRateFactor = 3
	maxFailureRate    = 0.9
	// minDeviations is by how many standard deviations the failures exceed what the failure
	// rate of the service makes expect. With 3, two failures of four would be an outlier
	// where 8 % of all requests fail, and 60 targets have that several times a second.
	minDeviations = 3.5
	// successesWithin is how long after the first failure at a target the other nodes take to
	// learn of it and to state their successes there. Until then minEarlyFailures are needed,
	// because a failure rate without the successes is too high.
	successesWithin  = 500 * time.Millisecond
	minEarlyFailures = 4
	// soundFailureRate is the failure rate up to which other reporters see no fault: half of
	// minFailureRate, because otherwise the reporters of a target that fails moderately would
	// excuse it for each other.
	soundFailureRate = 0.1
	// minFailures is how many failures several reporters see at a failing target at least,
	// and minFailuresOfOne how many a single one sees.
	minFailures      = 2
	minFailuresOfOne = 3
	// minUnansweredAttempts is how many attempts are unanswered at a hanging target at least.
	minUnansweredAttempts = 2
)

// Cause is why the state of a target changed.
type Cause string

// The causes.
const (
	Failing      Cause = "its failure rate is an outlier"
	Hanging      Cause = "attempts are unanswered and no node receives events of it"
	ProbeFailed  Cause = "a probe failed"
	ProbePassed  Cause = "a probe succeeded"
	EjectionOver Cause = "the time of the ejection is over"
	CommonCause  Cause = "over half of the targets of the service fail or hang"
	OverLimit    Cause = "too many targets of the service are ejected"
	Released     Cause = "an operator released it"
)

// Scope is the part of the fleet that a verdict applies to.
type Scope int

// The scopes.
const (
	Fleet         Scope = iota // all nodes
	OwnDataCentre              // the nodes of this node's data centre
	OwnNode                    // this node
)

var scopeNames = map[Scope]string{Fleet: "fleet", OwnDataCentre: "data_centre", OwnNode: "node"}

// String returns the scope's name.
func (s Scope) String() string { return scopeNames[s] }

// finding is the judgement of a target that is an outlier.
type finding struct {
	cause    Cause
	scope    Scope
	evidence Evidence // of the scope
}

// severity orders findings: the worst has the highest.
func (f finding) severity() float64 {
	if f.cause == Hanging {
		return 1
	}
	return f.evidence.failureRate()
}

// judge returns whether a target is an outlier, given the failure rate of its service.
func (j *Judge) judge(now time.Time, t *target, serviceRate float64) (finding, bool) {
	if t.reported.Failed+t.window.sum.Failed < minFailures && t.reported.Unanswered+len(t.waiting) < minUnansweredAttempts {
		return finding{}, false
	}
	s := j.sum(now, t)
	if scope, evidence, ok := s.failing(serviceRate); ok && (evidence.Failed >= minEarlyFailures || now.Sub(t.failingSince) >= successesWithin) {
		return finding{Failing, scope, evidence}, true
	}
	if scope, ok := s.hanging(); ok {
		return finding{Hanging, scope, s.all}, true
	}
	return finding{}, false
}

// isFailing reports whether evidence of a number of reporters with failures is that of a
// failing target, in a service with a failure rate.
func isFailing(e Evidence, reporters int, serviceRate float64) bool {
	enough := e.Failed >= minFailuresOfOne || (e.Failed >= minFailures && reporters > 1)
	threshold := max(minFailureRate, min(maxFailureRate, serviceRateFactor*serviceRate))
	return enough && e.failureRate() > threshold && float64(e.Failed) > mostExpected(e.Failed+e.Succeeded, serviceRate)
}

// mostExpected returns how many of a number of attempts fail at most, by chance, at a failure
// rate: minDeviations standard deviations above the mean of the binomial distribution.
func mostExpected(attempts int, rate float64) float64 {
	mean := float64(attempts) * rate
	return mean + minDeviations*math.Sqrt(mean*(1-rate))
}

// failing reports whether the target fails for this node, in which scope, and the evidence
// of that scope.
func (s *sums) failing(serviceRate float64) (Scope, Evidence, bool) {
	if only, ok := s.onlyReporter(); ok {
		return OwnNode, s.own, only == self && isFailing(s.own, 1, serviceRate)
	}
	if others := s.all.plus(s.centre, -1); others.succeeds() {
		return OwnDataCentre, s.centre, isFailing(s.centre, s.nearby, serviceRate)
	}
	return Fleet, s.all, isFailing(s.all, s.reporters, serviceRate)
}

// onlyReporter returns the reporter for which alone the target fails, if there is one: the
// other reporters succeed there.
func (s *sums) onlyReporter() (Reporter, bool) {
	for _, p := range s.parts {
		if p.Failed <= 0 || !s.all.plus(p.Evidence, -1).succeeds() {
			continue
		}
		if p.Level == DataCentre || s.centre.plus(p.Evidence, -1).failureRate() <= soundFailureRate {
			return p.Reporter, true
		}
	}
	return Reporter{}, false
}

// hanging reports whether the target hangs for this node, and in which scope. Attempts of a
// single node show that only to the node itself.
func (s *sums) hanging() (Scope, bool) {
	if s.all.Unanswered < minUnansweredAttempts || s.all.Alive > 0 {
		return Fleet, false
	}
	var reporters []Reporter
	for _, p := range s.parts {
		if p.Unanswered > 0 {
			reporters = append(reporters, p.Reporter)
		}
	}
	if len(reporters) > 1 || reporters[0].Level != Node {
		return Fleet, true
	}
	return OwnNode, reporters[0] == self
}

// of returns the evidence of a scope.
func (s *sums) of(scope Scope) Evidence {
	switch scope {
	case OwnNode:
		return s.own
	case OwnDataCentre:
		return s.centre
	}
	return s.all
}
