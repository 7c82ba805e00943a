package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/request/fingerprint"
)

// course records crashes at given times after start, each with what was in flight, and answers.
type course struct {
	table *Table
	n     int
}

func newCourse() *course { return &course{table: New(testConfig)} }

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// crash records a crash with the work and parts of the requests in flight.
func (c *course) crash(ms int, requests ...[]fingerprint.ID) {
	target := incarnation(c.n)
	c.n++
	for _, ids := range requests {
		c.table.Lost(at(ms), Loss{Target: target, Software: "s v1", Targets: fleetSize, Suspects: ids})
	}
	c.table.Ended(at(ms+2), target)
}

// answer records an answer that began 0.6 s ago.
func (c *course) answer(ms int, software string, complete bool, ids ...fingerprint.ID) {
	c.table.Answered(at(ms), Answer{Software: software, Began: at(ms - 600), Complete: complete, IDs: ids})
}

func prompted(n int, parts ...int) []fingerprint.ID {
	ids := []fingerprint.ID{work(n)}
	for _, p := range parts {
		ids = append(ids, part(p))
	}
	return ids
}

func (c *course) refuses(ms int, ids ...fingerprint.ID) bool {
	_, refused := c.table.Refused(at(ms), ids...)
	return refused
}

const (
	common = 1 // part of all prompts
	bad    = 2 // part that crashes targets
	other  = 3
)

// crashes records so many crashes under the bad part, one every 300 ms, beside a harmless request
// that is answered after each.
func (c *course) crashes(n int) {
	for i := range n {
		c.crash(300*i, prompted(100+i, common, bad), prompted(200+i, common, other+i))
		c.answer(300*i+50, "s v1", true, prompted(300+i, common)...)
	}
}

// TestPartIsRefusedWhateverElseTheRequestHolds: after three crashes and settleTime requests with
// the part are refused, and others with the same first part are not.
func TestPartIsRefusedWhateverElseTheRequestHolds(t *testing.T) {
	is := is.New(t)
	c := newCourse()
	c.crashes(3)
	is.True(!c.refuses(600+299, prompted(1, common, bad)...))
	is.True(c.refuses(600+301, prompted(1, common, bad)...))
	is.True(c.refuses(600+301, prompted(2, bad, 77)...))
	is.True(!c.refuses(600+301, prompted(3, common, other)...))
	is.True(!c.refuses(600+301, work(100))) // the work of a request that crashed a target is not refused for itself
}

// TestPartsThatAreAlwaysTogether: two parts at just the same crashes are refused together. An
// answer with one of them leaves the other one refused; so does a crash with one of them alone.
func TestPartsThatAreAlwaysTogether(t *testing.T) {
	is := is.New(t)
	play := func() *course {
		c := newCourse()
		for i := range 3 {
			c.crash(300*i, prompted(100+i, common, bad, other), prompted(200+i, common))
			c.answer(300*i+50, "s v1", true, prompted(300+i, common)...)
		}
		is.True(c.refuses(1000, prompted(1, bad, other)...))
		is.True(!c.refuses(1000, prompted(1, bad)...))
		is.True(!c.refuses(1000, prompted(1, other)...))
		return c
	}
	c := play()
	c.answer(1100, "s v1", true, prompted(1, common, other)...)
	is.True(c.refuses(1100, prompted(1, bad)...))
	is.True(!c.refuses(1100, prompted(1, other)...))
	c = play()
	c.crash(1200, prompted(104, common, bad))
	c.answer(1250, "s v1", true, prompted(304, common)...)
	for i := range 2 {
		c.crash(1500+300*i, prompted(105+i, common, bad))
		c.answer(1550+300*i, "s v1", true, prompted(305+i, common)...)
	}
	is.True(c.refuses(2500, prompted(1, bad)...))
	is.True(!c.refuses(2500, prompted(1, other)...))
}

// TestWhatAnswersClear: an answer that arrives clears the parts of its prompt and not its work,
// a complete one both; answers of other software, and those that began long before the crash,
// clear no part.
func TestWhatAnswersClear(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		name       string
		software   string
		complete   bool
		after      int  // ms
		work, part bool // cleared
	}{{"arrives", "s v1", false, 100, false, true}, {"complete", "s v1", true, 100, true, true}, {"other software", "s v2", true, 100, false, false}} {
		course := newCourse()
		course.crashes(3)
		course.answer(600+c.after, c.software, c.complete, prompted(100, bad)...)
		states := course.table.crashes[incarnation(0)].states
		t.Log(c.name)
		is.Equal(states[work(100)] == cleared, c.work)
		is.Equal(states[part(bad)] == cleared, c.part)
	}
	late := newCourse()
	late.crashes(3)
	late.table.Answered(at(9000), Answer{Software: "s v1", Began: at(-int(soundFor.Milliseconds())), Complete: true, IDs: prompted(100, bad)})
	is.True(late.refuses(9001, part(bad))) // the part may crash targets since
}

// TestNothingAnsweredRefusesNoPart: all targets are lost within a second for another reason, and
// nothing is answered until they are back. The part of all prompts is not refused.
func TestNothingAnsweredRefusesNoPart(t *testing.T) {
	is := is.New(t)
	c := newCourse()
	for i := range fleetSize {
		c.crash(80*i, prompted(100+i, common), prompted(200+i, common, other))
	}
	for ms := 300; ms < 6000; ms += 100 {
		is.True(!c.refuses(ms, prompted(1, common, other)...))
	}
}

// TestBurstOfBadRequests: requests with a bad part arrive at eight targets at one moment. That
// is no kill of many targets: the part is refused once other requests have been answered for a
// while, and before as many arrive again.
func TestBurstOfBadRequests(t *testing.T) {
	is := is.New(t)
	c := newCourse()
	for i := range 8 {
		c.crash(2*i, prompted(100+i, common, bad), prompted(200+i, common, other))
	}
	c.answer(100, "s v1", true, prompted(300, common)...)
	c.answer(700, "s v1", true, prompted(301, common, other)...)
	is.True(!c.refuses(1000, part(bad)))
	is.True(c.refuses(100+int(burstAnsweredTime.Milliseconds()), part(bad)))
	is.True(!c.refuses(3000, part(common), part(other)))
}

// TestTwoBadPartsWithOneFirstPart: the first part of both is at all crashes of the two, and is not
// refused for that.
func TestTwoBadPartsWithOneFirstPart(t *testing.T) {
	is := is.New(t)
	c := newCourse()
	for i := range 8 {
		c.crash(300*i, prompted(100+i, common, bad+50*(i%2)), prompted(200+i, 9))
		c.answer(300*i+50, "s v1", true, prompted(300+i, 9)...) // no answer has the first part meanwhile
	}
	is.True(!c.refuses(3000, part(common)))
	is.True(c.refuses(3000, prompted(1, common, bad)...))
	is.True(c.refuses(3000, prompted(1, common, bad+50)...))
}

// TestPartsOfARequestThatCrashesTargets: one request is repeated; its own work is refused, and not
// the parts that it shares with others.
func TestPartsOfARequestThatCrashesTargets(t *testing.T) {
	is := is.New(t)
	c := newCourse()
	for i := range 4 {
		c.crash(300*i, prompted(1, common, other), prompted(200+i, common))
		c.answer(300*i+50, "s v1", true, prompted(300+i, common)...)
	}
	is.True(c.refuses(2000, work(1)))
	is.True(!c.refuses(2000, prompted(2, common, other)...))
}

// TestPartsAtTwoTargetsThatCrashTogether: two targets crash at one moment, and requests with a part
// were at both. New requests with it are not kept apart from others: many are, and a target has
// room for one that is.
func TestPartsAtTwoTargetsThatCrashTogether(t *testing.T) {
	is := is.New(t)
	c := newCourse()
	for i := range 2 {
		c.crash(5*i, prompted(100+i, common, other), prompted(200+i, common))
	}
	c.answer(100, "s v1", true, prompted(300, common)...)
	is.True(!c.table.Suspected(at(700), prompted(1, common, other)...))
	c.crash(400, prompted(102, common, other))
	c.answer(500, "s v1", true, prompted(301, common)...)
	is.True(c.table.Suspected(at(1100), prompted(1, common, other)...))
	is.True(!c.table.Suspected(at(1100), prompted(1, common)...))
}

// TestManyPartsAreBounded: requests with many parts at many crashes do not exceed the bounds.
func TestManyPartsAreBounded(t *testing.T) {
	is := is.New(t)
	c := newCourse()
	for i := range 2 * maxCrashes {
		var requests [][]fingerprint.ID
		for r := range 64 {
			ids := []fingerprint.ID{work(1000*i + r)}
			for p := range 30 {
				ids = append(ids, part(100_000*i+100*r+p))
			}
			requests = append(requests, ids)
		}
		c.crash(100*i, requests...)
	}
	is.Equal(len(c.table.crashes), maxCrashes)
	for _, crash := range c.table.crashes {
		is.Equal(crash.parts, maxPartsPerCrash)
		is.Equal(len(crash.states)-crash.parts, maxWorkPerCrash)
	}
}

// BenchmarkDeriveParts measures what a new crash costs with a full table of requests that share
// parts of their prompts.
func BenchmarkDeriveParts(b *testing.B) {
	for _, crashes := range []int{10, 50, maxCrashes} {
		b.Run(fmt.Sprint(crashes), func(b *testing.B) {
			c := newCourse()
			for i := range crashes {
				var requests [][]fingerprint.ID
				for r := range 8 {
					requests = append(requests, prompted(100*i+r, common+i%8, 100+(7*i+r)%50, 10_000+100*i+r))
				}
				c.crash(400*i, requests...)
				c.answer(400*i+100, "s v1", true, prompted(1_000_000+i, common, 100+i%50)...)
			}
			b.ResetTimer()
			for range b.N {
				c.table.verdictsStale = true
				c.table.derive(at(400 * crashes))
			}
		})
	}
}

// TestPartAtKilledTargets: four of twelve targets are killed at once, three times, and requests
// with a part that no answer clears were in flight at one of them each time. The part is not
// refused.
func TestPartAtKilledTargets(t *testing.T) {
	is := is.New(t)
	c := newCourse()
	for kill := range 3 {
		for i := range 4 {
			requests := [][]fingerprint.ID{prompted(100+10*kill+i, common)}
			if i == []int{3, 0, 0}[kill] {
				requests = append(requests, prompted(200+kill, common, other))
			}
			c.crash(1000*kill+5*i, requests...)
		}
		c.answer(1000*kill+100, "s v1", true, prompted(300+kill, common)...)
	}
	is.True(!c.refuses(5000, prompted(1, common, other)...))
}
