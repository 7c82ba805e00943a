package outlier

import (
	"slices"
	"strings"
	"time"
)

// Config configures a judge.
type Config struct {
	Node       string // the node that the judge belongs to
	DataCentre string // of that node
	// EjectTime is the time of the first ejection; it doubles with each further one.
	EjectTime time.Duration
}

// Level is what part of the fleet a reporter reports on.
type Level int

// The levels.
const (
	Node       Level = iota // another node of this node's group
	Group                   // another group of this node's data centre
	DataCentre              // another data centre
)

// Reporter is the source of a report.
type Reporter struct {
	Level Level
	Name  string
}

// self is the reporter of a node's own evidence; it is no key of Judge.reports.
var self = Reporter{Level: Node}

// Peer is a node that may send a probe.
type Peer struct {
	Name       string
	DataCentre string
}

// Target is a target that is judged.
type Target struct {
	ID          string
	Incarnation uint64
	Service     string
	Leaving     bool
}

// Judge holds the evidence about targets and the verdicts. It is not safe for concurrent
// use.
type Judge struct {
	cfg         Config
	start       time.Time // of the first attempt or report; buckets of windows are counted from it
	targets     map[string]*target
	services    map[string]*service
	reports     map[Reporter]map[string]Evidence
	peers       []Peer // nodes that may send probes, including this one
	lastAttempt uint64
	steppedAt   time.Time
	suspectsOwn bool // this node fails at over half of the targets it used
	verdicts    int  // targets that are not admitted
}

type service struct {
	serving int // targets that are not leaving
	// active are the targets with evidence or a verdict, sorted by ID: usually few of many
	// thousands.
	active     []*target
	firstEvent time.Duration // moving average of the time to the first event; 0: not known
}

type target struct {
	Target
	window    window
	waiting   []attempt // without an event
	inFlight  int       // attempts
	lastEvent time.Time // newest event that this node received
	reported  Evidence  // sum over all reporters
	// failingSince is since when this node knows of failures there; zero: it knows of none.
	failingSince time.Time
	// floors are the parts of reports that are older than the newest trial of the target or
	// its incarnation, and do not count.
	floors map[Reporter]Evidence
	active bool // it is in service.active
	verdict
}

// attempt is an attempt without an event.
type attempt struct {
	number  uint64
	sent    time.Time
	givenUp time.Time // when this node gave it up; zero: it is in flight
	// heard is when this node last received an event of an earlier attempt at the target:
	// until then this one may wait in a queue. An event of a later attempt shows that there
	// is none. Zero: none was received.
	heard time.Time
}

// New returns a judge that knows no targets.
func New(cfg Config) *Judge {
	return &Judge{cfg: cfg, targets: map[string]*target{}, services: map[string]*service{}, reports: map[Reporter]map[string]Evidence{}}
}

// SetTargets replaces the list of targets. A new incarnation starts with no history.
func (j *Judge) SetTargets(list []Target) {
	old := j.targets
	j.targets = make(map[string]*target, len(list))
	for _, s := range j.services {
		s.active, s.serving = nil, 0
	}
	for _, listed := range list {
		t := old[listed.ID]
		if t == nil || t.Incarnation != listed.Incarnation {
			t = j.newTarget(listed, t != nil)
		}
		t.Target = listed
		j.targets[listed.ID] = t
		s := j.serviceOf(listed.Service)
		if !t.Leaving {
			s.serving++
		}
		if t.active {
			s.active = append(s.active, t)
		}
	}
	j.steppedAt = time.Time{} // with fewer targets the limit on ejections is lower from now on
	j.verdicts = 0
	for _, s := range j.services {
		s.sortActive()
		j.verdicts += s.notAdmitted()
	}
}

// newTarget returns the state of a new target. What was reported on an earlier incarnation
// does not count.
func (j *Judge) newTarget(listed Target, restarted bool) *target {
	t := &target{Target: listed}
	for _, report := range j.reports {
		t.reported = t.reported.Plus(report[listed.ID])
	}
	if restarted {
		j.setFloors(t)
	}
	t.active = t.reported != Evidence{}
	return t
}

func (s *service) sortActive() {
	slices.SortFunc(s.active, func(a, b *target) int { return strings.Compare(a.ID, b.ID) })
}

// activate records that there is evidence about a target.
func (j *Judge) activate(t *target) {
	if t.active {
		return
	}
	t.active = true
	s := j.serviceOf(t.Service)
	s.active = append(s.active, t)
	s.sortActive()
}

// deactivate forgets the targets of a service about which there is no evidence any more.
func (s *service) deactivate() {
	s.active = slices.DeleteFunc(s.active, func(t *target) bool {
		t.active = t.state != Admitted || t.reported != Evidence{} || !t.idle()
		return !t.active
	})
}

func (j *Judge) serviceOf(name string) *service {
	s := j.services[name]
	if s == nil {
		s = &service{}
		j.services[name] = s
	}
	return s
}

// MarkLeaving records that a target is leaving: it no longer counts among the targets of
// its service.
func (j *Judge) MarkLeaving(id string) {
	if t := j.targets[id]; t != nil && !t.Leaving {
		t.Leaving = true
		j.serviceOf(t.Service).serving--
		j.steppedAt = time.Time{} // the limit on ejections is lower from now on
	}
}

// SetPeers replaces the nodes that may send probes: the reachable ones that serve callers,
// including this one.
func (j *Judge) SetPeers(peers []Peer) { j.peers = peers }

// HasVerdicts reports whether any target is ejected or on trial.
func (j *Judge) HasVerdicts() bool { return j.verdicts > 0 }

// Begin records that an attempt is sent to a target, and returns its number. Work of
// probes is sent with MayProbe.
func (j *Judge) Begin(now time.Time, id string) (number uint64) {
	t := j.targets[id]
	if t == nil {
		return 0
	}
	j.lastAttempt++
	j.activate(t)
	t.inFlight++
	t.waiting = append(t.waiting, attempt{number: j.lastAttempt, sent: now})
	if t.state == OnTrial {
		t.probe, t.probeFirstEvent = j.lastAttempt, time.Time{}
	}
	return j.lastAttempt
}

// FirstEvent records the time from sending an online request to its first event.
func (j *Judge) FirstEvent(id string, took time.Duration) {
	t := j.targets[id]
	if t == nil {
		return
	}
	s := j.serviceOf(t.Service)
	if s.firstEvent == 0 {
		s.firstEvent = took
	}
	s.firstEvent += time.Duration(firstEventWeight * float64(took-s.firstEvent))
}

// Event records that an event of an attempt arrived.
func (j *Judge) Event(now time.Time, id string, number uint64) {
	if t := j.targets[id]; t != nil {
		t.lastEvent = now
		t.stopWaiting(number)
		for i := range t.waiting {
			if number < t.waiting[i].number {
				t.waiting[i].heard = now
			}
		}
		j.proveByEvents(now, t, number)
	}
}

// proveByEvents counts this node's probe as succeeded once it has sent events for
// probeProof: a batch item takes several seconds to its complete answer.
func (j *Judge) proveByEvents(now time.Time, t *target, number uint64) {
	if number == 0 || t.probe != number {
		return
	}
	if t.probeFirstEvent.IsZero() {
		t.probeFirstEvent = now
	}
	if now.Sub(t.probeFirstEvent) >= probeProof {
		t.window.add(j.bucket(now), Succeeded)
		t.passed++
		t.probe = 0
	}
}

// Refused records that a target refused an attempt because it is full. The attempt goes on
// to be counted in flight there, but is no longer unanswered.
func (j *Judge) Refused(id string, number uint64) {
	if t := j.targets[id]; t != nil {
		t.stopWaiting(number)
	}
}

// End records the end of an attempt.
func (j *Judge) End(now time.Time, id string, number uint64, o Outcome) {
	t := j.targets[id]
	if t == nil || number == 0 {
		return
	}
	t.inFlight = max(0, t.inFlight-1)
	wasProbe := t.probe == number
	if wasProbe {
		t.probe = 0
	}
	a, waiting := t.find(number)
	switch {
	case (o == BrokenOff || o == GivenUp) && waiting && j.unansweredFor(now, t, a) > failedAfter:
		o = Failed
	case o == GivenUp && wasProbe:
		o = Failed
	case o == GivenUp && t.reported.Alive == 0:
		t.giveUp(now, number)
		return
	}
	t.stopWaiting(number)
	// An attempt from before an ejection belongs to the incident that led to it.
	if (o == Failed || o == Succeeded) && number > t.lastBefore {
		j.activate(t)
		t.window.add(j.bucket(now), o)
		if wasProbe && o == Succeeded {
			t.passed++
		}
	}
}

// giveUp keeps an attempt among the unanswered ones.
func (t *target) giveUp(now time.Time, number uint64) {
	for i := range t.waiting {
		if t.waiting[i].number == number {
			t.waiting[i].givenUp = now
			return
		}
	}
	t.waiting = append(t.waiting, attempt{number: number, sent: now, givenUp: now})
}

func (t *target) find(number uint64) (attempt, bool) {
	for _, a := range t.waiting {
		if a.number == number {
			return a, true
		}
	}
	return attempt{}, false
}

func (t *target) stopWaiting(number uint64) {
	t.waiting = slices.DeleteFunc(t.waiting, func(a attempt) bool { return a.number == number })
}

// unansweredFor returns for how long an attempt counts as unanswered; 0 or below: it does
// not.
func (j *Judge) unansweredFor(now time.Time, t *target, a attempt) time.Duration {
	if a.number <= t.lastBefore {
		return 0
	}
	overdue := now.Sub(a.sent) - max(minUnanswered, unansweredFactor*j.serviceOf(t.Service).firstEvent)
	if a.heard.IsZero() {
		return overdue
	}
	return min(overdue, now.Sub(a.heard)-aliveWithin)
}

func (j *Judge) bucket(now time.Time) int64 {
	if j.start.IsZero() {
		j.start = now
	}
	return int64(now.Sub(j.start) / bucketLength)
}

// Alive reports whether any node received an event of a target within aliveWithin, by its
// newest report.
func (j *Judge) Alive(now time.Time, id string) bool {
	t := j.targets[id]
	return t != nil && (t.reported.Alive > 0 || t.isAlive(now))
}

func (t *target) isAlive(now time.Time) bool {
	return !t.lastEvent.IsZero() && now.Sub(t.lastEvent) <= aliveWithin
}

// Succeeds reports whether this node knows of complete answers of a target and of no
// failure there.
func (j *Judge) Succeeds(id string) bool {
	t := j.targets[id]
	return t != nil && t.state == Admitted && t.window.sum.Failed+t.reported.Failed == 0 && t.window.sum.Succeeded+t.reported.Succeeded > 0
}

// dropGivenUp drops attempts that were given up failedAfter ago.
func (t *target) dropGivenUp(now time.Time) {
	if len(t.waiting) > 0 {
		t.waiting = slices.DeleteFunc(t.waiting, func(a attempt) bool { return !a.givenUp.IsZero() && now.Sub(a.givenUp) > failedAfter })
	}
}

// dropAllGivenUp drops all attempts that were given up.
func (t *target) dropAllGivenUp() {
	if len(t.waiting) > 0 {
		t.waiting = slices.DeleteFunc(t.waiting, func(a attempt) bool { return !a.givenUp.IsZero() })
	}
}

// own returns this node's evidence about a target.
func (j *Judge) own(now time.Time, t *target) Evidence {
	t.window.slide(j.bucket(now))
	e := t.window.sum
	for _, a := range t.waiting {
		if j.unansweredFor(now, t, a) > 0 {
			e.Unanswered++
		}
	}
	if t.isAlive(now) {
		e.Alive = 1
	}
	if j.suspectsOwn {
		e.Failed, e.Unanswered = 0, 0
	}
	return e
}
