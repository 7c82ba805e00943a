package allowance

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/marblepond/marblepond/internal/version/workspace"
)

var (
	start     = time.Unix(1000, 0)
	tolerated = Tolerance{Window: 5 * time.Second, Share: 0.1, Slack: 20}
	limit     = workspace.Allowance{PerSecond: 60, Burst: 60}
	threeDCs  = map[string]int{"a": 4, "b": 4, "c": 4}
	allHeard  = map[string]bool{"a": true, "b": true, "c": true}
)

// natural is what the natural owner knows when all is well.
var natural = FleetView{Preferred: true, Nodes: threeDCs, Reachable: allHeard}

// settled returns the ledger of a node that has run for long.
func settled() *Buckets { return NewBuckets(start.Add(-time.Hour), tolerated) }

// ask returns an ask with a sequence of its own.
func ask(sequence uint64, need int) BorrowRequest {
	return BorrowRequest{Workspace: "w", Borrower: "n", Boot: 1, Sequence: sequence, DataCentre: "a", Need: need}
}

// TestLedgerKeepsTheAllowance: whatever is asked for, given back and asked for again, no
// window lends more than the allowance and its tolerance.
func TestLedgerKeepsTheAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := workspace.Allowance{PerSecond: float64(rapid.IntRange(1, 200).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 200).Draw(t, "burst"))}
		l := settled()
		now := start
		type lending struct {
			at time.Time
			n  int
		}
		var lent []lending
		outstanding := 0 // tokens that may be given back
		for i := range rapid.IntRange(1, 200).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			a := ask(uint64(i+1), rapid.IntRange(0, 50).Draw(t, "need"))
			a.Prefetch = rapid.IntRange(0, 20).Draw(t, "ahead")
			a.Returned = rapid.IntRange(0, outstanding).Draw(t, "back")
			outstanding -= a.Returned
			g := l.Lend(now, limit, natural, a)
			if again := l.Lend(now, limit, natural, a); again != g {
				t.Fatalf("the same ask got %+v and then %+v", g, again)
			}
			lent = append(lent, lending{now, g.Lent - a.Returned})
			outstanding += g.Lent
		}
		most := limit.PerSecond*tolerated.Window.Seconds() + limit.Burst + tolerated.of(limit)
		for i := range lent {
			sum := 0
			for _, next := range lent[i:] {
				if next.at.Sub(lent[i].at) <= tolerated.Window {
					sum += next.n
				}
			}
			if float64(sum) > most {
				t.Fatalf("%d lent in a window that allows %g", sum, most)
			}
		}
	})
}

// TestNewOwnerBringsNoNewBurst: an owner that has just started, and a substitute, lend a
// part of the tolerance and what comes in by the second, where a natural owner of long
// standing lends the burst.
func TestNewOwnerBringsNoNewBurst(t *testing.T) {
	is := is.New(t)
	is.True(settled().Lend(start, limit, natural, ask(1, 500)).Lent >= int(limit.Burst))
	credit := int(creditShare * tolerated.of(limit))
	is.Equal(NewBuckets(start, tolerated).Lend(start, limit, natural, ask(1, 500)).Lent, int(freshShare*tolerated.of(limit)))
	substitute := natural
	substitute.Preferred = false
	is.Equal(settled().Lend(start, limit, substitute, ask(1, 500)).Lent, credit)
	substitute.PreferredReachable = true
	l := settled()
	is.Equal(l.Lend(start, limit, substitute, ask(1, 500)).Lent, credit)
	is.True(l.Lend(start.Add(time.Second), limit, substitute, ask(2, 500)).Lent <= 3) // while the natural owner lives
	alone := substitute
	alone.Isolated = true
	is.Equal(settled().Lend(start, limit, alone, ask(1, 500)).Lent, max(1, credit/12))
}

// TestCreditOfAJustStartedSubstituteIsPaidBack: a node that takes over as substitute right
// after its own start lends on credit like any other, and then nothing more until the
// tokens of the time since have made up for it.
func TestCreditOfAJustStartedSubstituteIsPaidBack(t *testing.T) {
	is := is.New(t)
	substitute := natural
	substitute.Preferred = false
	credit := int(creditShare * tolerated.of(limit))
	lentBy := func(l *Buckets, at time.Duration, sequence uint64) int {
		return l.Lend(start.Add(at), limit, substitute, ask(sequence, 500)).Lent
	}
	young, old := NewBuckets(start, tolerated), settled()
	is.Equal(lentBy(young, 0, 1), credit)
	is.Equal(lentBy(old, 0, 1), credit)
	back := time.Duration(float64(credit)/limit.PerSecond*float64(time.Second)) + time.Millisecond
	is.Equal(lentBy(young, back, 2), 0)
	is.Equal(lentBy(old, back, 2), credit)
	is.Equal(lentBy(young, back+time.Second, 3), int(limit.PerSecond))
}

// TestBothSidesOfACutShareTheAllowance: by the demand that each had, as the natural owner
// saw it and told the others; what either side sees afterwards changes nothing.
func TestBothSidesOfACutShareTheAllowance(t *testing.T) {
	is := is.New(t)
	owner := settled()
	now := start
	var shares = map[string]float64{}
	for i := range 600 { // two thirds of the requests come in data centre a
		now = now.Add(20 * time.Millisecond)
		a := ask(uint64(i+1), 1)
		a.DataCentre = []string{"a", "a", "b"}[i%3]
		if g := owner.Lend(now, limit, natural, a); g.Share > 0 {
			shares[a.DataCentre] = g.Share
		}
	}
	is.True(shares["a"] > 0.6 && shares["a"] < 0.7)
	side := func(natural bool, heard ...string) FleetView {
		s := FleetView{Preferred: natural, Nodes: threeDCs, Reachable: map[string]bool{}}
		for _, dc := range heard {
			s.Reachable[dc] = true
		}
		return s
	}
	substitute := settled()
	lent := 0
	for i := range 1000 { // both sides ask for more than there is
		now = now.Add(10 * time.Millisecond)
		a := ask(uint64(1000+i), 10)
		lent += owner.Lend(now, limit, side(true, "a"), a).Lent
		a.DataCentre, a.Share = "b", shares["b"]
		lent += substitute.Lend(now, limit, side(false, "b", "c"), a).Lent
	}
	allowed := 10*limit.PerSecond + limit.Burst
	is.True(float64(lent) <= allowed+tolerated.of(limit))
	is.True(float64(lent) >= 0.9*allowed)
}

// TestLowerLimitBindsAtOnce: tokens that were saved under a higher limit are gone with it.
func TestLowerLimitBindsAtOnce(t *testing.T) {
	is := is.New(t)
	l := settled()
	l.Lend(start, workspace.Allowance{PerSecond: 500, Burst: 500}, natural, ask(1, 1))
	is.True(l.Lend(start, limit, natural, ask(2, 500)).Lent <= int(limit.Burst+tolerated.of(limit)))
}

// TestRateRefills: two at once and two a second, to the request, where nothing may be
// exceeded.
func TestRateRefills(t *testing.T) {
	is := is.New(t)
	two := workspace.Allowance{PerSecond: 2, Burst: 2}
	l := NewBuckets(start.Add(-time.Hour), Tolerance{Window: 5 * time.Second})
	is.Equal(l.Lend(start, two, natural, ask(1, 1)).Lent, 1)
	is.Equal(l.Lend(start, two, natural, ask(2, 1)).Lent, 1)
	refusal := l.Lend(start, two, natural, ask(3, 1))
	is.Equal(refusal.Lent, 0)
	is.Equal(refusal.Wait, 500*time.Millisecond)
	is.Equal(l.Lend(start.Add(499*time.Millisecond), two, natural, ask(4, 1)).Lent, 0)
	is.Equal(l.Lend(start.Add(500*time.Millisecond), two, natural, ask(5, 1)).Lent, 1)
}

// TestPurse: tokens of a lot are taken one by one, lapse, and go back; after a refusal the
// node refuses by itself for a while, and says when to come back.
func TestPurse(t *testing.T) {
	is := is.New(t)
	p := NewBalances()
	take := func(now time.Time) Decision {
		answer, _ := p.Take(now, "w")
		return answer
	}
	is.Equal(take(start), MustBorrow)
	p.Granted(start, "w", Grant{Lent: 3}, false)
	is.Equal(take(start), Taken)
	p.Return(start, "w")
	is.Equal(take(start), Taken)
	is.Equal(take(start), Taken)
	late := start.Add(lapseTime + time.Millisecond)
	is.Equal(take(late), MustBorrow)
	is.Equal(p.Request(late, "w", 1).Returned, 1)
	is.Equal(p.Request(late, "w", 1).Returned, 0) // given back once
	p.Granted(late, "w", Grant{Wait: time.Second}, false)
	answer, wait := p.Take(late, "w")
	is.Equal(answer, Refused)
	is.Equal(wait, time.Second)
	is.Equal(take(late.Add(time.Second)), MustBorrow)
	p.Granted(late, "w", Grant{Wait: time.Second}, true)
	is.Equal(take(late), Unanswered)
	for range 40 { // often used: a lot in place of one token
		p.Arrived(late, "w")
	}
	is.True(p.Request(late, "w", 1).Prefetch >= 5)
}

// TestCourse: each owner is asked several times, then the next, and the node itself is the
// last that it asks.
func TestCourse(t *testing.T) {
	is := is.New(t)
	owners := Owners("w", []string{"n1", "n2", "n3", "n4", "n5", "n6"})
	is.Equal(len(owners), ownersAsked)
	c := NewAttempts("none", owners)
	var asked []string
	for {
		owner, _, ok := c.Next()
		if !ok {
			break
		}
		asked = append(asked, owner)
		if owner == owners[1] {
			c.Skip()
		}
	}
	is.Equal(len(asked), (ownersAsked-1)*asksEach+1)
	is.Equal(asked[0], owners[0])
	is.Equal(asked[asksEach+1], owners[2])
	c = NewAttempts(owners[1], owners)
	for range asksEach {
		c.Next()
	}
	owner, _, _ := c.Next()
	is.Equal(owner, owners[1])
	c.Skip()
	_, _, ok := c.Next()
	is.True(!ok)
}

// BenchmarkLend is what an owner spends on one token.
func BenchmarkLend(b *testing.B) {
	l := settled()
	i := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		i++
		l.Lend(start.Add(time.Duration(i)*time.Millisecond), limit, natural, ask(i, 1))
	}
}
