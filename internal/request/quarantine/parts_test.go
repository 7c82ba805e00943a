package quarantine

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/request/fingerprint"
)

// part returns the fingerprint of a part of a prompt.
func part(n int) fingerprint.ID {
	var id fingerprint.ID
	binary.BigEndian.PutUint64(id[:], uint64(n)+1)
	id[len(id)-1] = byte(fingerprint.OfPart)
	return id
}

const (
	firstPart  = 0 // of all prompts, unless a test says otherwise
	secondPart = 1000
	badPart    = 1_000_000
	partSeeds  = 30
)

// partSimulation runs a fleet in virtual time whose requests share parts of their prompts.
// Requests with a bad part crash the target that runs them 60 ms after their start, when their
// answer begins. Other answers begin 50 ms after the start of the run and take 0.4 to 1.2 s. What
// is lost is sent again up to three times.
type partSimulation struct {
	*simulation
	firstParts int
	requests   [fleetSize][]*partRequest
	crashes    map[int][]time.Time // by bad part
	late       map[int]int         // sends later than detectionTime after the fifth crash, by bad part

	turned fingerprint.ID // part that crashes targets now, of the load too; zero: none

	sent, refused, refusedForParts int // harmless requests
}

type partRequest struct {
	ids    []fingerprint.ID
	bad    int // the bad part; 0: none
	runs   int
	run    int
	target int
	began  time.Time // when the answer of the current run began; zero: it has not
}

func newPartSimulation(seed uint64, firstParts int, rate float64) *partSimulation {
	s := &partSimulation{simulation: &simulation{table: New(testConfig), random: rand.New(rand.NewPCG(seed, 11)), now: start},
		firstParts: firstParts, crashes: map[int][]time.Time{}, late: map[int]int{}}
	for t := range fleetSize {
		s.up[t] = true
	}
	s.load(rate)
	return s
}

// load sends harmless requests, each with one of the first parts, one of 100 second parts of
// different popularity, and now and then a third.
func (s *partSimulation) load(rate float64) {
	s.arrived++
	s.sent++
	s.sendPart(&partRequest{ids: s.prompt()})
	s.schedule(time.Duration(s.random.ExpFloat64()*float64(time.Second)/rate), func() { s.load(rate) })
}

func (s *partSimulation) prompt() []fingerprint.ID {
	s.arrived++
	ids := []fingerprint.ID{work(s.arrived), part(firstPart + s.random.IntN(s.firstParts)), part(secondPart + int(100*s.random.Float64()*s.random.Float64()))}
	if s.random.IntN(4) == 0 {
		ids = append(ids, part(2*secondPart+s.random.IntN(400)))
	}
	return ids
}

// sendBad sends requests with a bad part, no two alike, with the first part firstPart.
func (s *partSimulation) sendBad(bad int, rate float64) {
	ids := s.prompt()
	ids[1] = part(firstPart)
	if s.random.IntN(2) == 0 {
		ids = ids[:2]
	}
	s.sendPart(&partRequest{ids: append(ids, part(bad)), bad: bad})
	s.schedule(time.Duration(s.random.ExpFloat64()*float64(time.Second)/rate), func() { s.sendBad(bad, rate) })
}

func (s *partSimulation) sendPart(r *partRequest) {
	if s.turned != (fingerprint.ID{}) && r.bad == 0 && slices.Contains(r.ids, s.turned) {
		r.bad = badPart
		s.sent--
	}
	if v, refused := s.table.Refused(s.now, r.ids...); refused {
		if r.bad == 0 {
			s.refused++
			if v.OfParts() {
				s.refusedForParts++
			}
		}
		return
	}
	apart := s.table.Suspected(s.now, r.ids...)
	var usable []int
	for t := range fleetSize {
		if s.up[t] && !(apart && slices.ContainsFunc(s.requests[t], func(o *partRequest) bool { return s.table.Suspected(s.now, o.ids...) })) {
			usable = append(usable, t)
		}
	}
	if len(usable) == 0 {
		return
	}
	if times := s.crashes[r.bad]; r.bad != 0 && len(times) >= 5 && s.now.Sub(times[4]) > detectionTime {
		s.late[r.bad]++
	}
	r.target = usable[s.random.IntN(len(usable))]
	r.runs++
	r.run++
	r.began = time.Time{}
	run := r.run
	s.requests[r.target] = append(s.requests[r.target], r)
	if r.bad != 0 {
		s.schedule(60*time.Millisecond, func() {
			if r.run == run {
				s.crashes[r.bad] = append(s.crashes[r.bad], s.now)
				s.endTarget(r.target)
			}
		})
		return
	}
	s.schedule(50*time.Millisecond, func() {
		if r.run == run {
			r.began = s.now
		}
	})
	s.schedule(50*time.Millisecond+AnsweringTime, func() {
		if r.run == run {
			s.table.Answered(s.now, Answer{Software: "s", Began: r.began, IDs: r.ids})
		}
	})
	s.schedule(time.Duration((0.4+0.8*s.random.Float64())*float64(time.Second)), func() {
		if r.run == run {
			s.requests[r.target] = slices.DeleteFunc(s.requests[r.target], func(o *partRequest) bool { return o == r })
			r.run++
			s.table.Answered(s.now, Answer{Software: "s", Began: r.began, Complete: true, IDs: r.ids})
		}
	})
}

// endTarget ends a target; what runs there is lost and sent again.
func (s *partSimulation) endTarget(t int) {
	if !s.up[t] {
		return
	}
	lost := s.requests[t]
	s.requests[t], s.up[t] = nil, false
	s.starts[t]++
	target := Target{fmt.Sprint("t", t), uint64(s.starts[t])}
	for _, l := range lost {
		ids := l.ids
		if !l.began.IsZero() && s.now.Sub(l.began) >= AnsweringTime {
			ids = ids[:1]
		}
		s.table.Lost(s.now, Loss{Target: target, Software: "s", Targets: fleetSize, Suspects: ids})
	}
	s.table.Ended(s.now.Add(2*time.Millisecond), target)
	s.schedule(restartTime, func() { s.up[t] = true })
	for _, l := range lost {
		l.run++
		if l.runs < maxRuns && l.bad == 0 {
			s.schedule(time.Duration(l.runs%2)*100*time.Millisecond, func() { s.sendPart(l) })
		}
	}
}

// partCase is a load with bad parts: the rate of each, and the rate of harmless requests and the
// number of their first parts.
type partCase struct {
	parts, firstParts int
	rate, load        float64
}

// play plays a case with several seeds. It returns how many of how many harmless requests were
// refused, and how many bad parts were sent more than maxLateSends times later than detectionTime
// after their fifth crash.
func (c partCase) play(t *testing.T) (refused, sent, late int) {
	crashes, most := 0, 0
	for seed := range uint64(partSeeds) {
		s := newPartSimulation(seed, c.firstParts, c.load)
		s.run(2 * time.Second)
		for n := range c.parts {
			s.schedule(time.Duration(s.random.IntN(1000))*time.Millisecond, func() { s.sendBad(badPart+n, c.rate) })
		}
		s.run(15 * time.Second)
		sent, refused = sent+s.sent, refused+s.refused
		for n := range c.parts {
			k := len(s.crashes[badPart+n])
			crashes, most = crashes+k, max(most, k)
			if s.late[badPart+n] > maxLateSends {
				late++
			}
		}
	}
	t.Logf("%d bad parts, %g/s each, beside %g/s with %d first parts: %d of %d harmless requests refused, %.1f crashes each, at most %d; %d of %d sent too often", c.parts, c.rate, c.load, c.firstParts,
		refused, sent, float64(crashes)/float64(partSeeds*c.parts), most, late, partSeeds*c.parts)
	return refused, sent, late
}

// TestBadPartsAreFound: requests that share one part of their prompts, no two alike, crash
// targets several times a second, with one or two such parts at once. Later than detectionTime
// after its fifth crash at most maxLateSends requests with a part are sent, and at most one
// harmless request in 10,000 is refused.
func TestBadPartsAreFound(t *testing.T) {
	is := is.New(t)
	for _, c := range []partCase{{1, 1, 8, 60}, {1, 8, 8, 60}, {1, 8, 3, 20}, {1, 8, 1, 5}, {2, 1, 4, 60}, {2, 8, 4, 60}, {1, 1, 8, 200}} {
		refused, sent, late := c.play(t)
		is.True(refused*10_000 <= sent)
		is.Equal(late, 0)
	}
}

// TestBadPartsDuringAnOutage: so many requests with bad parts arrive that all targets are down
// within half a second and nothing is answered, with one, three or five such parts. The bound on
// late requests is the same; at most one harmless request in 20 is refused.
func TestBadPartsDuringAnOutage(t *testing.T) {
	is := is.New(t)
	for _, c := range []partCase{{5, 1, 2, 60}, {5, 8, 2, 60}, {1, 1, 30, 60}, {1, 8, 30, 60}, {3, 1, 8, 60}} {
		refused, sent, late := c.play(t)
		is.True(refused*20 <= sent)
		is.Equal(late, 0)
	}
}

// TestKillsBlameNoPart: targets are killed one, two or eight at a time, or all within a second,
// and nothing that runs there is the cause. No request is refused for a part of its prompt.
func TestKillsBlameNoPart(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		together, kills int
		pause           time.Duration
		firstParts      int
		load            float64
	}{{1, 9, 300 * time.Millisecond, 1, 60}, {1, 20, 300 * time.Millisecond, 8, 60}, {2, 9, 500 * time.Millisecond, 1, 60}, {8, 9, time.Second, 1, 60}, {8, 9, 4 * time.Second, 8, 20},
		{1, 12, 17 * time.Millisecond, 8, 60}, {1, 12, 60 * time.Millisecond, 8, 60}, {1, 60, 200 * time.Millisecond, 8, 5}} {
		sent, refused := 0, 0
		for seed := range uint64(partSeeds) {
			s := newPartSimulation(seed, c.firstParts, c.load)
			s.run(2 * time.Second)
			for range c.kills {
				for range c.together {
					s.endTarget(s.random.IntN(fleetSize))
				}
				s.run(c.pause)
			}
			s.run(6 * time.Second)
			sent, refused = sent+s.sent, refused+s.refusedForParts
		}
		t.Logf("%d times %d targets killed, every %v, beside %g/s with %d first parts: %d of %d requests refused", c.kills, c.together, c.pause, c.load, c.firstParts, refused, sent)
		is.Equal(refused, 0)
	}
}

// TestPartThatTurnsBad: a part that was in harmless requests begins to crash targets. Answers that
// began before do not keep it from being found.
func TestPartThatTurnsBad(t *testing.T) { playPartThatTurnsBad(t, 30) }

// TestPopularPartThatTurnsBad: the same with the most popular parts, so that all targets are down
// within two seconds.
func TestPopularPartThatTurnsBad(t *testing.T) {
	playPartThatTurnsBad(t, 10)
	playPartThatTurnsBad(t, 0)
}

// playPartThatTurnsBad plays the part of the given rank in popularity, with several seeds.
func playPartThatTurnsBad(t *testing.T, rank int) {
	is := is.New(t)
	refused, sent, late, crashes := 0, 0, 0, 0
	for seed := range uint64(partSeeds) {
		s := newPartSimulation(seed, 8, 60)
		s.run(2 * time.Second)
		s.turned = part(secondPart + rank)
		s.schedule(500*time.Millisecond, func() { s.sendTurned(4) })
		s.run(15 * time.Second)
		refused, sent, crashes = refused+s.refused, sent+s.sent, crashes+len(s.crashes[badPart])
		if s.late[badPart] > maxLateSends {
			late++
		}
	}
	t.Logf("part of rank %d: %d of %d harmless requests refused, %.1f crashes, %d of %d sent too often", rank, refused, sent, float64(crashes)/partSeeds, late, partSeeds)
	is.True(refused*1000 <= sent)
	is.Equal(late, 0)
}

// sendTurned sends requests with the part that has turned bad, beside those of the load.
func (s *partSimulation) sendTurned(rate float64) {
	ids := s.prompt()
	ids[2] = s.turned
	s.sendPart(&partRequest{ids: ids})
	s.schedule(time.Duration(s.random.ExpFloat64()*float64(time.Second)/rate), func() { s.sendTurned(rate) })
}
