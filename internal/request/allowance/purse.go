package allowance

import (
	"time"

	"github.com/marblepond/marblepond/internal/request/patience"
	"github.com/marblepond/marblepond/internal/version/workspace"
)

const (
	// prefetchTime is how far ahead tokens are borrowed for expected requests, and
	// tokenLifetime the time after which they expire. A node that receives ten requests per
	// second of a workspace borrows four times per second, and one with fewer for each request.
	prefetchTime  = 250 * time.Millisecond
	tokenLifetime = 2 * prefetchTime
	// minRefusalTime is the least time for which a node refuses requests on its own after the
	// owner had too few tokens. The owner's bucket fills meanwhile without overflowing. This limits
	// borrow requests beyond the allowance to ten per second and node.
	minRefusalTime = 100 * time.Millisecond
	// arrivalTimeConstant is the time over which a node averages the arrival rate of requests.
	arrivalTimeConstant = time.Second
	// maxReturnAge is the age up to which unused tokens are returned to the owner.
	maxReturnAge = 2 * time.Second
	// balanceIdleTimeout is how long a node keeps the balance of a workspace that sends it
	// no request.
	balanceIdleTimeout = time.Minute
	// placeLifetime is how long places in line wait for the requests that asked for them; they
	// are taken at once, except by requests whose callers are gone.
	placeLifetime = 100 * time.Millisecond
	// askInterval is the least time between two requests to the owner while requests are
	// refused: 50 a second and node, within the refusal time of 75 ms that callers honour.
	askInterval = 20 * time.Millisecond
	// maxUnansweredWait is how long a node refuses on its own after no owner answered; other
	// nodes may be reachable again by then.
	maxUnansweredWait = time.Second
)

// Decision is the result of Take.
type Decision int

// The decisions.
const (
	MustBorrow Decision = iota // a token has to be borrowed from the owner
	Taken
	Refused
	// Unanswered means that no owner answered, and the node's own part of the allowance is
	// used up.
	Unanswered
)

// Balances holds the tokens that one node has borrowed. It is not safe for concurrent use.
type Balances struct {
	byWorkspace map[string]*balance
	lastSweep   time.Time
}

// balance holds the borrowed tokens of one workspace.
type balance struct {
	tokens       int
	expiresAt    time.Time
	refusedUntil time.Time // until then requests are refused without asking the owner
	unanswered   bool      // they are refused because no owner answered
	returned     int       // unused tokens that are returned with the next request to the owner
	returnedAt   time.Time // when the last of them was added
	arrivals     decayingSum
	demandShare  float64 // of this data centre, as an owner reported it
	// While the shared view is on: the places in line that an owner gave to waiting requests,
	// the due time of the first and the time between them, and when they were given.
	places      int
	nextPlace   time.Time
	placeStep   time.Duration
	placedAt    time.Time
	exceedingAt time.Time // when an owner last stated that the workspace exceeds its allowance; zero: the newest statement is that it does not
	used        int       // tokens that the owner lent in the last window, as it stated
}

// NewBalances returns empty Balances.
func NewBalances() *Balances { return &Balances{byWorkspace: map[string]*balance{}} }

// Arrived records the arrival of a request of a workspace. It is called before the
// first Take for the request.
func (bs *Balances) Arrived(now time.Time, name string) {
	bs.dropIdle(now)
	bs.balance(name).arrivals.add(now, 1, arrivalTimeConstant)
}

// Take takes a token for a request. wait is the time after which a refused caller may retry.
func (bs *Balances) Take(now time.Time, name string) (decision Decision, wait time.Duration) {
	b := bs.balance(name)
	b.expire(now)
	switch {
	case b.tokens > 0:
		b.tokens--
		return Taken, 0
	case now.Before(b.refusedUntil) && b.unanswered:
		return Unanswered, b.refusedUntil.Sub(now)
	case now.Before(b.refusedUntil):
		return Refused, b.refusedUntil.Sub(now)
	case b.places > 0 && now.Sub(b.placedAt) < placeLifetime:
		return b.takePlace(now)
	}
	return MustBorrow, 0
}

// takePlace refuses a request that waited for tokens, and gives it the next place in line.
func (b *balance) takePlace(now time.Time) (Decision, time.Duration) {
	b.places--
	wait := max(minWait, b.nextPlace.Sub(now))
	b.nextPlace = b.nextPlace.Add(b.placeStep)
	return Refused, wait
}

// Return gives back the token of a request that reached no target.
func (bs *Balances) Return(now time.Time, name string) {
	b := bs.balance(name)
	b.expire(now)
	if b.tokens > 0 {
		b.tokens++
		return
	}
	b.addReturned(now, 1)
}

// Request returns the request to the owner for a number of waiting requests. Unused tokens
// are included in one such request only.
func (bs *Balances) Request(now time.Time, name string, waiting int) BorrowRequest {
	b := bs.balance(name)
	b.expire(now)
	req := BorrowRequest{Workspace: name, Need: waiting, Share: b.demandShare}
	perSecond := b.arrivals.value(now, arrivalTimeConstant) / arrivalTimeConstant.Seconds()
	req.Prefetch = max(0, int(perSecond*prefetchTime.Seconds())-waiting)
	if now.Sub(b.returnedAt) < maxReturnAge {
		req.Returned = b.returned
	}
	b.returned = 0
	return req
}

// AskDelay returns the time to wait before the next request to the owner. While requests are
// refused, each one needs a place in line from the owner; those of askInterval share a request.
func (bs *Balances) AskDelay(now time.Time, name string) time.Duration {
	b := bs.balance(name)
	if b.exceedingAt.IsZero() {
		return 0
	}
	return max(0, askInterval-now.Sub(b.placedAt))
}

// GrantedInLine records an owner's answer while the shared view is on: need requests waited
// for it, and those that get no token get a place in line.
func (bs *Balances) GrantedInLine(now time.Time, name string, g Grant, need int, unanswered bool) {
	b := bs.balance(name)
	b.places = 0
	if unanswered {
		b.exceedingAt = time.Time{}
		g.Wait = min(g.Wait, maxUnansweredWait)
		bs.Granted(now, name, g, true)
		return
	}
	wait := g.Wait
	g.Wait = 0
	bs.Granted(now, name, g, false)
	b.unanswered, b.used = false, g.Used
	b.nextPlace, b.placeStep, b.placedAt = now.Add(wait), g.Step, now
	if wait > 0 {
		b.places = max(0, need-g.Lent)
	}
	b.exceedingAt = time.Time{}
	if g.Exceeding {
		b.exceedingAt = now
	}
}

// Exceeding reports whether the owner's newest statement is that the workspace asks for more
// than its allowance. A statement holds for a second.
func (bs *Balances) Exceeding(now time.Time, name string) bool {
	b := bs.byWorkspace[name]
	return b != nil && !b.exceedingAt.IsZero() && now.Sub(b.exceedingAt) < exceedingTime
}

// Used returns how many tokens the owner lent in the last window, as it last stated.
func (bs *Balances) Used(name string) int {
	if b := bs.byWorkspace[name]; b != nil {
		return b.used
	}
	return 0
}

// RetryAfter returns the time after which a refused caller is told to return. wait is its
// place in line and left the time that it has left, 0 if that is not known. A caller whose place is
// beyond the longest Retry-After that it honours is told a time late in that; spread, between 0 and 1,
// keeps such callers from returning together.
func RetryAfter(wait, left time.Duration, spread float64) time.Duration {
	if left <= 0 || wait < patience.LongestRetryAfter(left, 0) {
		return wait
	}
	return max(minWait, patience.LateReturn(left, 0, spread))
}

// Granted records an owner's answer. unanswered is set if no owner answered and the node lent
// to itself.
func (bs *Balances) Granted(now time.Time, name string, g Grant, unanswered bool) {
	b := bs.balance(name)
	b.expire(now)
	b.tokens += g.Lent
	b.expiresAt = now.Add(tokenLifetime)
	if g.Share > 0 {
		b.demandShare = g.Share
	}
	if g.Wait > 0 { // requests that got no token would wait in vain
		b.refusedUntil, b.unanswered = now.Add(max(minRefusalTime, g.Wait)), unanswered
	}
}

// expire moves expired tokens to those that are returned to the owner.
func (b *balance) expire(now time.Time) {
	if b.tokens > 0 && now.After(b.expiresAt) {
		b.addReturned(now, b.tokens)
		b.tokens = 0
	}
}

func (b *balance) addReturned(now time.Time, n int) {
	if now.Sub(b.returnedAt) >= maxReturnAge {
		b.returned = 0
	}
	b.returned += n
	b.returnedAt = now
}

func (bs *Balances) balance(name string) *balance {
	b := bs.byWorkspace[name]
	if b == nil {
		b = &balance{}
		bs.byWorkspace[name] = b
	}
	return b
}

// dropIdle drops the balances of workspaces that send this node no requests any more.
func (bs *Balances) dropIdle(now time.Time) {
	if now.Sub(bs.lastSweep) < balanceIdleTimeout/6 {
		return
	}
	bs.lastSweep = now
	for name, b := range bs.byWorkspace {
		if now.Sub(b.arrivals.updatedAt) > balanceIdleTimeout {
			delete(bs.byWorkspace, name)
		}
	}
}

// NeedsToken reports whether requests of a workspace need a token.
func NeedsToken(w *workspace.Workspace) bool { return w != nil && w.Allowance.Limited() }
