package allowance

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/marblepond/marblepond/internal/version/workspace"
)

var (
	start        = time.Unix(1000, 0)
	tolerated    = Tolerance{Window: 5 * time.Second, Share: 0.1, Slack: 20}
	limit        = workspace.Allowance{PerSecond: 60, Burst: 60}
	threeDCs     = map[string]int{"a": 4, "b": 4, "c": 4}
	allReachable = map[string]bool{"a": true, "b": true, "c": true}
)

// preferredView is what the preferred owner knows when all data centres are reachable.
var preferredView = FleetView{Preferred: true, Nodes: threeDCs, Reachable: allReachable}

// settled returns the Buckets of a node that has run for longer than a window.
func settled() *Buckets { return NewBuckets(start.Add(-time.Hour), tolerated) }

// borrowRequest returns a request with the sequence number given.
func borrowRequest(sequence uint64, need int) BorrowRequest {
	return BorrowRequest{Workspace: "w", Borrower: "n", Boot: 1, Sequence: sequence, DataCentre: "a", Need: need}
}

// TestBucketsKeepTheAllowance: with any requests, resent requests and returned tokens, no
// more than the allowance and its tolerance is lent in any window.
func TestBucketsKeepTheAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := workspace.Allowance{PerSecond: float64(rapid.IntRange(1, 200).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 200).Draw(t, "burst"))}
		buckets := settled()
		now := start
		type lending struct {
			at time.Time
			n  int
		}
		var lent []lending
		outstanding := 0 // tokens that may be returned
		for i := range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			req := borrowRequest(uint64(i+1), rapid.IntRange(0, 50).Draw(t, "need"))
			req.Prefetch = rapid.IntRange(0, 20).Draw(t, "prefetch")
			req.Returned = rapid.IntRange(0, outstanding).Draw(t, "returned")
			outstanding -= req.Returned
			g := buckets.Lend(now, limit, preferredView, req)
			if again := buckets.Lend(now, limit, preferredView, req); again != g {
				t.Fatalf("the same request got %+v and then %+v", g, again)
			}
			lent = append(lent, lending{now, g.Lent - req.Returned})
			outstanding += g.Lent
		}
		allowed := limit.PerSecond*tolerated.Window.Seconds() + limit.Burst + tolerated.of(limit)
		for i := range lent {
			sum := 0
			for _, next := range lent[i:] {
				if next.at.Sub(lent[i].at) <= tolerated.Window {
					sum += next.n
				}
			}
			if float64(sum) > allowed {
				t.Fatalf("%d lent in a window that allows %g", sum, allowed)
			}
		}
	})
}

// TestNewOwnerBringsNoNewBurst: an owner that has just started and a fallback owner lend a
// part of the tolerance and then the tokens of the time that passes. A preferred owner that
// has run for a window lends the burst.
func TestNewOwnerBringsNoNewBurst(t *testing.T) {
	is := is.New(t)
	is.True(settled().Lend(start, limit, preferredView, borrowRequest(1, 500)).Lent >= int(limit.Burst))
	initial := int(fallbackInitialShare * tolerated.of(limit))
	is.Equal(NewBuckets(start, tolerated).Lend(start, limit, preferredView, borrowRequest(1, 500)).Lent, int(restartInitialShare*tolerated.of(limit)))
	fallbackView := preferredView
	fallbackView.Preferred = false
	is.Equal(settled().Lend(start, limit, fallbackView, borrowRequest(1, 500)).Lent, initial)
	fallbackView.PreferredReachable = true
	buckets := settled()
	is.Equal(buckets.Lend(start, limit, fallbackView, borrowRequest(1, 500)).Lent, initial)
	is.True(buckets.Lend(start.Add(time.Second), limit, fallbackView, borrowRequest(2, 500)).Lent <= 3) // while the preferred owner is reachable
	isolatedView := fallbackView
	isolatedView.Isolated = true
	is.Equal(settled().Lend(start, limit, isolatedView, borrowRequest(1, 500)).Lent, max(1, initial/12))
}

// TestJustStartedFallbackOwnerRepaysItsTokens: a node that becomes fallback owner right after
// its own start lends its initial tokens like any other fallback owner, and then nothing
// until the tokens of the time since have repaid them.
func TestJustStartedFallbackOwnerRepaysItsTokens(t *testing.T) {
	is := is.New(t)
	fallbackView := preferredView
	fallbackView.Preferred = false
	initial := int(fallbackInitialShare * tolerated.of(limit))
	lentBy := func(buckets *Buckets, at time.Duration, sequence uint64) int {
		return buckets.Lend(start.Add(at), limit, fallbackView, borrowRequest(sequence, 500)).Lent
	}
	restarted, longRunning := NewBuckets(start, tolerated), settled()
	is.Equal(lentBy(restarted, 0, 1), initial)
	is.Equal(lentBy(longRunning, 0, 1), initial)
	repaidAfter := time.Duration(float64(initial)/limit.PerSecond*float64(time.Second)) + time.Millisecond
	is.Equal(lentBy(restarted, repaidAfter, 2), 0)
	is.Equal(lentBy(longRunning, repaidAfter, 2), initial)
	is.Equal(lentBy(restarted, repaidAfter+time.Second, 3), int(limit.PerSecond))
}

// TestBothSidesOfACutShareTheAllowance: the two sides of a network partition divide the
// allowance by the demand that the preferred owner observed and reported before. Demand that
// a side observes afterwards does not change the division.
func TestBothSidesOfACutShareTheAllowance(t *testing.T) {
	is := is.New(t)
	owner := settled()
	now := start
	var shares = map[string]float64{}
	for i := range 600 { // two thirds of the requests arrive in data centre a
		now = now.Add(20 * time.Millisecond)
		req := borrowRequest(uint64(i+1), 1)
		req.DataCentre = []string{"a", "a", "b"}[i%3]
		if g := owner.Lend(now, limit, preferredView, req); g.Share > 0 {
			shares[req.DataCentre] = g.Share
		}
	}
	is.True(shares["a"] > 0.6 && shares["a"] < 0.7)
	side := func(preferred bool, reachable ...string) FleetView {
		view := FleetView{Preferred: preferred, Nodes: threeDCs, Reachable: map[string]bool{}}
		for _, dc := range reachable {
			view.Reachable[dc] = true
		}
		return view
	}
	fallback := settled()
	lent := 0
	for i := range 1000 { // both sides request more than the allowance
		now = now.Add(10 * time.Millisecond)
		req := borrowRequest(uint64(1000+i), 10)
		lent += owner.Lend(now, limit, side(true, "a"), req).Lent
		req.DataCentre, req.Share = "b", shares["b"]
		lent += fallback.Lend(now, limit, side(false, "b", "c"), req).Lent
	}
	allowed := 10*limit.PerSecond + limit.Burst
	is.True(float64(lent) <= allowed+tolerated.of(limit))
	is.True(float64(lent) >= 0.9*allowed)
}

// TestLowerLimitBindsAtOnce: tokens saved under a higher limit do not remain under a lower one.
func TestLowerLimitBindsAtOnce(t *testing.T) {
	is := is.New(t)
	buckets := settled()
	buckets.Lend(start, workspace.Allowance{PerSecond: 500, Burst: 500}, preferredView, borrowRequest(1, 1))
	is.True(buckets.Lend(start, limit, preferredView, borrowRequest(2, 500)).Lent <= int(limit.Burst+tolerated.of(limit)))
}

// TestRateRefills: without a share or slack in the tolerance, a limit of two per second with
// a burst of two is exact to the request.
func TestRateRefills(t *testing.T) {
	is := is.New(t)
	two := workspace.Allowance{PerSecond: 2, Burst: 2}
	buckets := NewBuckets(start.Add(-time.Hour), Tolerance{Window: 5 * time.Second})
	is.Equal(buckets.Lend(start, two, preferredView, borrowRequest(1, 1)).Lent, 1)
	is.Equal(buckets.Lend(start, two, preferredView, borrowRequest(2, 1)).Lent, 1)
	refusal := buckets.Lend(start, two, preferredView, borrowRequest(3, 1))
	is.Equal(refusal.Lent, 0)
	is.Equal(refusal.Wait, 500*time.Millisecond)
	is.Equal(buckets.Lend(start.Add(499*time.Millisecond), two, preferredView, borrowRequest(4, 1)).Lent, 0)
	is.Equal(buckets.Lend(start.Add(500*time.Millisecond), two, preferredView, borrowRequest(5, 1)).Lent, 1)
}

// TestBalances: borrowed tokens are taken one by one, expire, and are returned. After a
// refusal the node refuses without a request to the owner for a time, and returns the time to
// wait.
func TestBalances(t *testing.T) {
	is := is.New(t)
	balances := NewBalances()
	take := func(now time.Time) Decision {
		decision, _ := balances.Take(now, "w")
		return decision
	}
	is.Equal(take(start), MustBorrow)
	balances.Granted(start, "w", Grant{Lent: 3}, false)
	is.Equal(take(start), Taken)
	balances.Return(start, "w")
	is.Equal(take(start), Taken)
	is.Equal(take(start), Taken)
	late := start.Add(tokenLifetime + time.Millisecond)
	is.Equal(take(late), MustBorrow)
	is.Equal(balances.Request(late, "w", 1).Returned, 1)
	is.Equal(balances.Request(late, "w", 1).Returned, 0) // returned only once
	balances.Granted(late, "w", Grant{Wait: time.Second}, false)
	decision, wait := balances.Take(late, "w")
	is.Equal(decision, Refused)
	is.Equal(wait, time.Second)
	is.Equal(take(late.Add(time.Second)), MustBorrow)
	balances.Granted(late, "w", Grant{Wait: time.Second}, true)
	is.Equal(take(late), Unanswered)
	for range 40 { // frequent requests: tokens are borrowed ahead
		balances.Arrived(late, "w")
	}
	is.True(balances.Request(late, "w", 1).Prefetch >= 5)
}

// TestAttempts: a request is sent to each owner several times, then to the next one, and to
// the node itself last.
func TestAttempts(t *testing.T) {
	is := is.New(t)
	owners := Owners("w", []string{"n1", "n2", "n3", "n4", "n5", "n6"})
	is.Equal(len(owners), maxOwners)
	attempts := NewAttempts("none", owners)
	var asked []string
	for {
		owner, _, ok := attempts.Next()
		if !ok {
			break
		}
		asked = append(asked, owner)
		if owner == owners[1] {
			attempts.Skip()
		}
	}
	is.Equal(len(asked), (maxOwners-1)*sendsPerOwner+1)
	is.Equal(asked[0], owners[0])
	is.Equal(asked[sendsPerOwner+1], owners[2])
	attempts = NewAttempts(owners[1], owners)
	for range sendsPerOwner {
		attempts.Next()
	}
	owner, _, _ := attempts.Next()
	is.Equal(owner, owners[1])
	attempts.Skip()
	_, _, ok := attempts.Next()
	is.True(!ok)
}

// BenchmarkLend measures what one request costs an owner.
func BenchmarkLend(b *testing.B) {
	buckets := settled()
	i := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		i++
		buckets.Lend(start.Add(time.Duration(i)*time.Millisecond), limit, preferredView, borrowRequest(i, 1))
	}
}
