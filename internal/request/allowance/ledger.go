package allowance

import (
	"time"

	"github.com/marblepond/marblepond/internal/version/workspace"
)

// Tolerance is how far an allowance may be exceeded within a window of time. It covers
// what nodes can't know of each other, and never raises the rate in the long run.
type Tolerance struct {
	Window time.Duration
	Share  float64 // of the requests that the window allows
	Slack  float64 // additional requests
}

// of returns the number of requests by which an allowance may be exceeded in one window.
func (t Tolerance) of(limit workspace.Allowance) float64 {
	return t.Share*(limit.PerSecond*t.Window.Seconds()+limit.Burst) + t.Slack
}

const (
	// fallbackInitialShare is the share of the tolerance with which a bucket of a fallback
	// owner starts, which does not know what was lent before. It serves the usual load of a
	// workspace for half a second, until the owner is known to have failed.
	// restartInitialShare is the same for a preferred owner that has just started: less than
	// the allowance was lent while it was down, and if all nodes were down, all callers
	// return at once.
	fallbackInitialShare = 0.5
	restartInitialShare  = 0.9
	// fallbackPortion is the part of the allowance that a fallback owner lends while the
	// preferred owner is reachable. Nodes that can't reach the preferred owner, or lost its
	// answers, then exceed the allowance by no more than this and the initial tokens, which
	// the tolerance covers.
	fallbackPortion = 0.05
	// burstToleranceShare is the share of the tolerance that is added to the burst, for
	// requests that were sent evenly and arrive bunched.
	burstToleranceShare = 0.1
	// prefetchThreshold is the share of the burst above which tokens are lent ahead of
	// demand. Below it, tokens that expire unused at one node would be missed at another.
	prefetchThreshold = 0.5
	// demandTimeConstant is the time over which the demand of a data centre is averaged. It
	// is long compared with a network partition, so that the earlier demand is kept during one.
	demandTimeConstant = 30 * time.Second
	// priorRequests is the number of requests at which the observed demand counts as much as
	// the number of nodes: ten requests show the share of a data centre to within a seventh.
	priorRequests = 10
	// bucketIdleTimeout is how long a bucket is kept from which no node borrows. It is full by
	// then and takes 0.3 KB.
	bucketIdleTimeout = time.Minute
)

// BorrowRequest is a node's request for tokens of one workspace.
type BorrowRequest struct {
	Workspace  string
	Borrower   string // the node
	Boot       int64  // start of the node's process, Unix microseconds
	Sequence   uint64 // of the request; a resent request has the same one
	DataCentre string // of the node
	Need       int    // number of requests that wait for a token
	Prefetch   int    // further tokens, for requests expected within prefetchTime
	Returned   int    // unused tokens that the node gives back
	// Share is the share of the node's data centre in the workspace's demand, as an owner
	// last reported it; 0 if it is not known.
	Share float64
}

// Grant is the answer to a BorrowRequest.
type Grant struct {
	Lent int // number of tokens
	// Wait is the time until the next token is available if fewer tokens than needed were
	// lent, and 0 otherwise.
	Wait time.Duration
	// Share is the share of the borrower's data centre in the demand; 0 if it is not known.
	Share float64
	// Step is, with Wait, the time between the places in line of several requests that got no
	// token; 0 if the shared view is off.
	Step time.Duration
	// Exceeding reports whether the workspace asks for more than its allowance; false if the
	// shared view is off.
	Exceeding bool
	// Used is the number of tokens that this owner lent in the last window; 0 if the shared
	// view is off.
	Used int
}

// Buckets holds the token buckets of the workspaces that this node owns. It is not safe for
// concurrent use.
type Buckets struct {
	tolerance   Tolerance
	startedAt   time.Time
	byWorkspace map[string]*bucket
	lastSweep   time.Time
	policy      Policy
}

// bucket is the token bucket of one workspace.
type bucket struct {
	tokens         float64
	debt           float64     // tokens lent in advance, repaid from the next ones
	updatedAt      time.Time   // when tokens was computed
	lent           decayingSum // tokens, by usageTimeConstant
	refused        decayingSum
	demand         map[string]*decayingSum // by data centre
	reportedShares map[string]float64      // of data centres in the demand, as owners reported them to borrowers
	lastGrants     map[string]lastGrant    // by borrower
	limit          workspace.Allowance
	portion        float64 // of the allowance that this node lends
	// partitioned reports whether a data centre is unreachable. The demand observed meanwhile
	// does not show how demand is distributed over data centres.
	partitioned bool
	// refusedAt is when tokens were last refused, and refusalCause the cause.
	refusedAt    time.Time
	refusalCause Cause
	line         *line // nil while the shared view is off
	untouched    bool  // nothing was lent of it yet
}

// lastGrant is the grant for a borrower's last request. The borrower resends the request if
// the answer is lost.
type lastGrant struct {
	boot     int64
	sequence uint64
	grant    Grant
}

// NewBuckets returns the empty Buckets of a node that starts now.
func NewBuckets(now time.Time, t Tolerance) *Buckets {
	return &Buckets{tolerance: t, startedAt: now, byWorkspace: map[string]*bucket{}, lastSweep: now, policy: DefaultPolicy}
}

// SetPolicy changes how tokens are lent when the shared view is on, for models.
func (bs *Buckets) SetPolicy(p Policy) { bs.policy = p }

// Lend grants tokens for a request under the current limit. A resent request gets the same
// grant again.
func (bs *Buckets) Lend(now time.Time, limit workspace.Allowance, view FleetView, req BorrowRequest) Grant {
	bs.dropIdle(now)
	b := bs.bucket(now, limit, view, req)
	if last := b.lastGrants[req.Borrower]; last.boot == req.Boot && last.sequence == req.Sequence && req.Sequence > 0 {
		return last.grant
	}
	bs.refill(now, b, limit, view)
	b.recordDemand(now, req)
	grant := bs.lendFrom(now, b, limit, view, req)
	if grant.Lent < req.Need {
		b.refusedAt, b.refusalCause = now, refusalCause(view)
	}
	if view.Preferred && !b.partitioned { // a fallback owner may see one side of a partition before it is detected
		grant.Share = b.observedShare(now, req.DataCentre, view.nodeShare(req.DataCentre))
	}
	b.lastGrants[req.Borrower] = lastGrant{req.Boot, req.Sequence, grant}
	return grant
}

// lendFrom grants tokens of a bucket: from a line if the shared view is on.
func (bs *Buckets) lendFrom(now time.Time, b *bucket, limit workspace.Allowance, view FleetView, req BorrowRequest) Grant {
	if !view.Shared {
		b.line = nil
		bs.addTokens(b, float64(max(0, req.Returned)), limit, view)
		return b.lend(now, req, limit)
	}
	if b.line == nil {
		b.line = bs.newLine(now, b, limit, view, req)
	}
	b.untouched = false
	return bs.lendInLine(now, b, limit, req)
}

// bucket returns the bucket of a workspace, a new one if there is none.
func (bs *Buckets) bucket(now time.Time, limit workspace.Allowance, view FleetView, req BorrowRequest) *bucket {
	b := bs.byWorkspace[req.Workspace]
	if b != nil {
		return b
	}
	b = &bucket{updatedAt: now, demand: map[string]*decayingSum{}, reportedShares: map[string]float64{}, lastGrants: map[string]lastGrant{}}
	b.untouched = true
	bs.byWorkspace[req.Workspace] = b
	if req.Share > 0 {
		b.reportedShares[req.DataCentre] = req.Share
	}
	b.portion = b.lendablePortion(now, view)
	if view.Preferred && !bs.justStarted(now) {
		b.tokens = bs.capacity(limit, b.portion) // no other node lends, and no tokens were borrowed for a whole window
		return b
	}
	b.tokens = bs.initialTokens(limit, view, b.portion)
	if !view.Preferred && bs.justStarted(now) {
		// The owner before this one may have lent its own initial tokens in the same window,
		// and so on; the initial tokens of all of them must not add up.
		b.debt = b.tokens
	}
	return b
}

// justStarted reports whether this node has run for less than a window.
func (bs *Buckets) justStarted(now time.Time) bool {
	return now.Sub(bs.startedAt) < bs.tolerance.Window
}

// initialTokens returns the tokens with which a bucket starts if its owner does not know what
// was lent before. An isolated node starts with its portion of that.
func (bs *Buckets) initialTokens(limit workspace.Allowance, view FleetView, portion float64) float64 {
	tokens := fallbackInitialShare * bs.tolerance.of(limit)
	switch {
	case view.Isolated:
		tokens *= portion
	case view.Preferred:
		tokens = restartInitialShare * bs.tolerance.of(limit)
	}
	return max(1, tokens)
}

// capacity returns the number of tokens up to which a bucket fills.
func (bs *Buckets) capacity(limit workspace.Allowance, portion float64) float64 {
	return max(1, portion*(limit.Burst+burstToleranceShare*bs.tolerance.of(limit)))
}

// addTokens adds tokens to a bucket up to its capacity. The initial tokens may exceed the
// capacity; the bucket does not fill up to that number again.
func (bs *Buckets) addTokens(b *bucket, tokens float64, limit workspace.Allowance, view FleetView) {
	capacity := bs.capacity(limit, b.portion)
	if b.tokens < capacity {
		b.tokens = min(capacity, b.tokens+tokens)
	}
	b.tokens = min(b.tokens, max(capacity, bs.initialTokens(limit, view, b.portion)))
}

// refill adds the tokens for the time since the last update.
func (bs *Buckets) refill(now time.Time, b *bucket, limit workspace.Allowance, view FleetView) {
	b.limit, b.portion, b.partitioned = limit, b.lendablePortion(now, view), view.partitioned()
	if passed := now.Sub(b.updatedAt).Seconds(); passed > 0 {
		bs.addTokens(b, b.repay(passed*b.portion*limit.PerSecond), limit, view)
		b.updatedAt = now
	}
}

// repay pays the debt from new tokens and returns the rest.
func (b *bucket) repay(tokens float64) float64 {
	paid := min(b.debt, tokens)
	b.debt -= paid
	return tokens - paid
}

// lend takes tokens from the bucket.
func (b *bucket) lend(now time.Time, req BorrowRequest, limit workspace.Allowance) Grant {
	need := min(max(0, req.Need), max(0, int(b.tokens)))
	prefetch := 0
	if surplus := b.tokens - float64(need) - prefetchThreshold*b.portion*limit.Burst; need == req.Need && surplus > 0 {
		prefetch = min(max(0, req.Prefetch), int(surplus))
	}
	b.tokens -= float64(need + prefetch)
	b.lent.add(now, float64(need+prefetch), usageTimeConstant)
	if need < req.Need {
		b.refused.add(now, float64(req.Need-need), usageTimeConstant)
	}
	grant := Grant{Lent: need + prefetch}
	if need < req.Need {
		grant.Wait = b.timeToNextToken(limit)
	}
	return grant
}

// timeToNextToken returns the time until the bucket has a token.
func (b *bucket) timeToNextToken(limit workspace.Allowance) time.Duration {
	rate := b.portion * limit.PerSecond
	if rate <= 0 {
		return maxWait
	}
	return max(minWait, min(maxWait, time.Duration((1-b.tokens+b.debt)/rate*float64(time.Second))))
}

// maxWait and minWait limit Grant.Wait; datagrams carry whole milliseconds.
const (
	maxWait = 10 * time.Second
	minWait = time.Millisecond
)

// dropIdle drops the buckets from which no node borrows any more.
func (bs *Buckets) dropIdle(now time.Time) {
	if now.Sub(bs.lastSweep) < bucketIdleTimeout/6 {
		return
	}
	bs.lastSweep = now
	for name, b := range bs.byWorkspace {
		if now.Sub(b.updatedAt) > bucketIdleTimeout {
			delete(bs.byWorkspace, name)
		}
	}
}
