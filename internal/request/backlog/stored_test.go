package backlog

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestJobsOfLostHoldersCount guards against jobs that are accepted beyond the limit after their holders
// were lost: no node reports the tokens of a stored job until another one takes it over.
func TestJobsOfLostHoldersCount(t *testing.T) {
	is := is.New(t)
	now := start
	at := func(d time.Duration) time.Time { now = now.Add(d); return now }
	tracker := New(now.Add(-learnTime), overshoot) // all nodes were lost a moment ago
	reserve := func(r Report) Decision {
		v, _ := tracker.Reserve(now, key, r, r.Tokens, limit, true)
		return v
	}
	is.Equal(reserve(report("n1", 1, 100)), Unsure)
	is.True(tracker.WantsStored())
	tracker.SetStored(now, Stored{key: {{Node: "n1", Boot: 0}: 600, {}: 300}, {Route: "other"}: {{Node: "n2"}: 5000}})
	is.True(!tracker.WantsStored())
	at(learnTime)
	is.Equal(reserve(report("n1", 2, 200)), Full)
	is.Equal(reserve(report("n1", 3, 100)), Fits)
	tracker.Record(now, key, report("n1", 4, 700)) // it has taken its jobs up
	at(relistInterval)
	is.Equal(reserve(report("n2", 1, 10)), Unsure) // which the list does not show
	is.True(tracker.WantsStored())
	tracker.SetStored(now, Stored{key: {{Node: "n1", Boot: 1}: 700, {}: 300}})
	at(learnTime)
	tracker.Record(now, key, report("n1", 5, 700))
	is.Equal(reserve(report("n2", 2, 10)), Full)

	// Everything is taken over: reports alone count.
	at(relistInterval)
	tracker.Record(now, key, report("n1", 6, 700))
	tracker.Record(now, key, report("n2", 3, 200))
	_ = reserve(report("n3", 1, 10))
	tracker.SetStored(now, Stored{key: {{Node: "n1", Boot: 1}: 900, {Node: "n2", Boot: 1}: 300}}) // with finished items
	at(learnTime)
	tracker.Record(now, key, report("n1", 7, 700))
	tracker.Record(now, key, report("n2", 4, 200))
	is.Equal(reserve(report("n3", 2, 100)), Fits)
	at(10 * time.Second)
	is.Equal(reserve(report("n3", 3, 100)), Fits)
	is.True(!tracker.WantsStored())

	// A holder starts again before its jobs are taken over.
	tracker.Record(now, key, Report{Node: "n1", Boot: 2, Sequence: 1})
	is.Equal(reserve(report("n3", 4, 600)), Unsure)
	is.True(tracker.WantsStored())
}

// TestJobsOfALeavingHolderCount guards against jobs that are accepted beyond the limit while a node leaves:
// it no longer reports the jobs that it hands over, and no other node does until it takes them
// up.
func TestJobsOfALeavingHolderCount(t *testing.T) {
	is := is.New(t)
	now, sequence := start, uint64(10)
	at := func(d time.Duration) { now = now.Add(d) }
	tracker := longRunning()
	leaving := func(tokens int64) {
		sequence++
		tracker.Record(now, key, Report{Node: "n1", Boot: 1, Sequence: sequence, Tokens: tokens, HandingOver: true})
	}
	reserve := func(tokens int64) Decision {
		sequence++
		v, _ := tracker.Reserve(now, key, report("n2", sequence, tokens), tokens, limit, true)
		return v
	}
	tracker.Record(now, key, report("n1", 1, 800))
	_ = reserve(10)
	tracker.SetStored(now, Stored{key: {{Node: "n1", Boot: 1}: 800}})
	at(learnTime)
	tracker.Record(now, key, report("n1", 2, 800))
	is.Equal(reserve(300), Full)
	leaving(800)
	is.Equal(reserve(200), Fits) // it still has all its jobs
	is.True(!tracker.WantsStored())
	leaving(0)
	is.Equal(reserve(300), Unsure)
	is.True(tracker.WantsStored())
	tracker.SetStored(now, Stored{key: {{}: 800}})
	at(learnTime)
	leaving(0)
	is.Equal(reserve(300), Full)
	is.Equal(reserve(200), Fits)

	sequence++
	tracker.Record(now, key, report("n2", sequence, 0))
	tracker.Record(now, key, report("n3", 1, 800)) // it has taken the job up
	at(relistInterval)
	_ = reserve(10)
	is.True(tracker.WantsStored())
	tracker.SetStored(now, Stored{key: {{Node: "n3", Boot: 1}: 800}})
	at(learnTime)
	tracker.Record(now, key, report("n3", 2, 800))
	is.Equal(reserve(200), Fits)
	at(2 * relistInterval)
	_ = reserve(200)
	is.True(!tracker.WantsStored()) // no more lists
}

// TestSubmissionAtALeavingNodeHidesNoJob guards against jobs that are accepted beyond the limit because the
// report that lacks a job which a leaving node has handed over has a new one as well.
func TestSubmissionAtALeavingNodeHidesNoJob(t *testing.T) {
	is := is.New(t)
	now := start
	tracker := longRunning()
	tracker.Record(now, key, report("n1", 1, 800))
	_, _ = tracker.Reserve(now, key, report("n2", 1, 10), 10, limit, true)
	tracker.SetStored(now, Stored{key: {{Node: "n1", Boot: 1}: 800}})
	now = now.Add(learnTime)
	tracker.Record(now, key, report("n1", 2, 800))
	decision, _ := tracker.Reserve(now, key, report("n2", 2, 100), 100, limit, true)
	is.Equal(decision, Fits)
	decision, _ = tracker.Reserve(now, key, Report{Node: "n1", Boot: 1, Sequence: 3, Tokens: 850, HandingOver: true}, 850, limit, true)
	is.Equal(decision, Unsure)
	is.True(tracker.WantsStored())
}

// simulation is a fleet whose nodes are lost and leave at random; the stored jobs are not.
type simulation struct {
	t       *rapid.T
	now     time.Time
	tracker *Tracker
	boots   map[string]int64
	sent    map[string]time.Time // of the last report
	heldAt  map[int]time.Time    // since when its holder counts a job
	jobs    map[int]simulatedJob
	leaving map[string]bool
	next    int
	count   uint64
}

type simulatedJob struct {
	holder Incarnation
	tokens int64
}

var simulatedNodes = []string{"n1", "n2", "n3"}

// held returns the tokens that a node reports.
func (s *simulation) held(node string) int64 {
	sum := int64(0)
	for id, j := range s.jobs {
		if j.holder == (Incarnation{node, s.boots[node]}) && !s.now.Before(s.heldAt[id]) {
			sum += j.tokens
		}
	}
	return sum
}

func (s *simulation) report(node string, more int64) Report {
	s.count++
	s.sent[node] = s.now
	return Report{Node: node, Boot: s.boots[node], Sequence: s.count, Tokens: s.held(node) + more, HandingOver: s.leaving[node]}
}

func (s *simulation) waiting() int64 {
	sum := int64(0)
	for _, j := range s.jobs {
		sum += j.tokens
	}
	return sum
}

func (s *simulation) submit() {
	s.now = s.now.Add(time.Millisecond) // no two events have the same time
	node, tokens := rapid.SampledFrom(simulatedNodes).Draw(s.t, "at"), rapid.Int64Range(1, 300).Draw(s.t, "tokens")
	decision, _ := s.tracker.Reserve(s.now, key, s.report(node, tokens), tokens, limit, true)
	if decision != Fits {
		return
	}
	s.next++
	s.jobs[s.next], s.heldAt[s.next] = simulatedJob{holder: Incarnation{node, s.boots[node]}, tokens: tokens}, s.now
	if sum := s.waiting(); sum > limit {
		s.t.Fatalf("%d tokens wait", sum)
	}
}

// handOver has the holder of a job leave and store the job without a holder.
func (s *simulation) handOver(id int) {
	j, ok := s.jobs[id]
	if ok && s.boots[j.holder.Node] == j.holder.Boot && j.holder != (Incarnation{}) {
		s.leaving[j.holder.Node], j.holder = true, Incarnation{}
		s.jobs[id] = j
	}
}

// restart starts a node, which was lost or has left.
func (s *simulation) restart(node string) {
	s.now = s.now.Add(time.Millisecond)
	s.boots[node]++
	s.leaving[node] = false
}

// takeOver moves the jobs of lost holders, and those that were handed over, to a node.
func (s *simulation) takeOver() {
	node := rapid.SampledFrom(simulatedNodes).Draw(s.t, "by")
	for id := range s.next + 1 {
		if j, ok := s.jobs[id]; ok && !s.leaving[node] && (s.boots[j.holder.Node] != j.holder.Boot || j.holder == (Incarnation{})) {
			j.holder = Incarnation{node, s.boots[node]}
			s.jobs[id], s.heldAt[id] = j, s.now.Add(takenUpWithin/2)
		}
	}
}

func (s *simulation) list() {
	stored := Stored{key: {}}
	for _, j := range s.jobs {
		stored[key][j.holder] += j.tokens
	}
	s.tracker.SetStored(s.now, stored)
}

// TestLimitHoldsWhenNodesAreLost: whichever nodes are lost or leave, all at once or one after another, the
// stored jobs stay within the limit.
func TestLimitHoldsWhenNodesAreLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, now: start, tracker: longRunning(), boots: map[string]int64{"n1": 1, "n2": 1, "n3": 1}, sent: map[string]time.Time{}, heldAt: map[int]time.Time{}, leaving: map[string]bool{}, jobs: map[int]simulatedJob{}}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			for range rapid.IntRange(0, 12).Draw(t, "pause") {
				s.now = s.now.Add(50 * time.Millisecond)
				for _, node := range simulatedNodes {
					if s.now.Sub(s.sent[node]) >= ReportInterval {
						s.tracker.Record(s.now, key, s.report(node, 0))
					}
				}
				if s.tracker.WantsStored() {
					s.list()
				}
			}
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0:
				for _, node := range simulatedNodes { // all nodes are lost, the owner too
					s.restart(node)
				}
				s.tracker = New(s.now, overshoot)
			case 1:
				s.restart(rapid.SampledFrom(simulatedNodes).Draw(t, "lost"))
			case 2, 3:
				s.takeOver()
			case 5, 6:
				s.handOver(rapid.IntRange(0, s.next).Draw(t, "handed over"))
			case 4:
				delete(s.jobs, rapid.IntRange(0, s.next).Draw(t, "done"))
			default:
				s.submit()
			}
		}
	})
}

// Guards against jobs that are accepted beyond the limit right after a loss, before the stored jobs are
// listed: in small steps, at the next report of the holder, or after all nodes were lost once more.
func TestLimitHoldsUntilStoredJobsAreListed(t *testing.T) {
	type submission struct {
		after  time.Duration // the one before
		tokens int64
	}
	for name, c := range map[string]struct {
		stored  int64 // tokens of the holder's jobs
		allLost int   // times that all nodes are lost; 0: the holder alone is
		submits []submission
	}{
		"one holder is lost":              {14, 0, []submission{{0, 107}, {0, 288}, {0, 292}, {0, 300}}},
		"all nodes are lost":              {687, 1, []submission{{0, 1}, {150 * time.Millisecond, 14}, {300 * time.Millisecond, 300}}},
		"all nodes are lost twice":        {963, 2, []submission{{0, 2}, {0, 21}, {0, 26}}},
		"all nodes are lost for a moment": {1000, 1, []submission{{learnTime, 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now, tracker, boot, sequence, held := start, longRunning(), int64(1), uint64(0), int64(0)
			submit := func(tokens int64) {
				sequence++
				r := Report{Node: "n1", Boot: boot, Sequence: sequence, Tokens: held + tokens}
				if decision, _ := tracker.Reserve(now, key, r, tokens, limit, true); decision == Fits {
					held += tokens
				}
			}
			submit(c.stored)
			is.Equal(held, c.stored)
			boot++
			for range c.allLost {
				boot++
				tracker = New(now, overshoot)
			}
			held = 0
			for _, s := range c.submits {
				now = now.Add(s.after)
				submit(s.tokens)
			}
			is.True(tracker.WantsStored())
			is.Equal(held, int64(0))
		})
	}
}
