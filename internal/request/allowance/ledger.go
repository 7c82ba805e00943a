package allowance

import (
	"time"

	"github.com/marblepond/marblepond/internal/version/workspace"
)

// Tolerance says how far an allowance may be exceeded over a window of time. What a
// deployment tolerates is used for what nodes can't know, and never to serve more in
// the long run.
type Tolerance struct {
	Window time.Duration
	Share  float64 // of what the window allows
	Slack  float64 // requests on top
}

// of returns by how many requests an allowance may be exceeded in one window.
func (t Tolerance) of(limit workspace.Allowance) float64 {
	return t.Share*(limit.PerSecond*t.Window.Seconds()+limit.Burst) + t.Slack
}

const (
	// creditShare is the share of the tolerance that an account starts with whose owner is a
	// substitute and does not know what was lent before it. It serves a workspace at its
	// usual for half a second, until its owner is known to be lost. freshShare is the same for
	// a natural owner that has just started: while it was away less was lent than allowed,
	// and where all nodes were, all callers come at once.
	creditShare = 0.5
	freshShare  = 0.9
	// substituteShare is the part of the allowance that a substitute lends while the
	// natural owner lives: nodes that can't reach that one, or lost its answers, then exceed
	// the allowance by no more than this and the credit, which the tolerance covers.
	substituteShare = 0.05
	// capShare is the share of the tolerance that is added to the burst, for requests that
	// were sent evenly and arrive in a bunch.
	capShare = 0.1
	// aheadLevel is the share of the burst above which tokens are lent ahead of demand. Below
	// it a lot that lapses unused at one node would be missed at another.
	aheadLevel = 0.5
	// demandTime is the time over which the demand of a data centre is averaged: long
	// against a cut, during which it must not be forgotten.
	demandTime = 30 * time.Second
	// priorRequests is how many requests it takes until what was seen of demand counts as
	// much as the number of nodes: ten tell the part of a data centre to a seventh.
	priorRequests = 10
	// idleAccount is how long an account is kept that nobody borrows from. It is full by
	// then and its cost is 0.3 KB.
	idleAccount = time.Minute
)

// BorrowRequest is a node's wish for tokens.
type BorrowRequest struct {
	Workspace  string
	Borrower   string // the node
	Boot       int64  // of the node
	Sequence   uint64 // of the ask; one that is sent again has the same
	DataCentre string // of the node
	Need       int    // requests that wait for a token
	Prefetch   int    // requests that are expected while the lot lasts
	Returned   int    // tokens lent before and not used
	// Share is what the node's data centre has of the workspace's demand, as an owner
	// told it last; 0: not known.
	Share float64
}

// Grant answers an ask.
type Grant struct {
	Lent int
	// Wait is how long it takes until the next token is there, when not all that was
	// needed was lent; 0: it was.
	Wait time.Duration
	// Share is what the borrower's data centre has of the demand; 0: not known.
	Share float64
}

// Buckets keeps the accounts that this node owns. It is not safe for concurrent use.
type Buckets struct {
	tolerance Tolerance
	began     time.Time
	accounts  map[string]*account
	swept     time.Time
}

// account is the token bucket of one workspace.
type account struct {
	level   float64
	owed    float64   // of the tokens of the time to come, those that were lent already
	at      time.Time // when level was computed
	lent    decaying  // over the window
	refused decaying
	demand  map[string]*decaying // by data centre
	told    map[string]float64   // shares that borrowers were told by earlier owners
	answers map[string]answer    // the last of each borrower
	limit   workspace.Allowance
	portion float64 // of the allowance that this node lends
	// oneSided: some data centre is not heard, so that what is seen of demand says nothing of
	// how it is spread.
	oneSided bool
	// refusedAt is when tokens were last refused, and why.
	refusedAt time.Time
	why       Cause
}

// answer is the grant of a borrower's last ask, for the ask that comes again because the
// answer was lost.
type answer struct {
	boot     int64
	sequence uint64
	grant    Grant
}

// NewBuckets returns an empty ledger of a node that starts now.
func NewBuckets(now time.Time, t Tolerance) *Buckets {
	return &Buckets{tolerance: t, began: now, accounts: map[string]*account{}, swept: now}
}

// Lend answers an ask under the limit that is in force.
func (l *Buckets) Lend(now time.Time, limit workspace.Allowance, around FleetView, ask BorrowRequest) Grant {
	l.sweep(now)
	a := l.account(now, limit, around, ask)
	if last := a.answers[ask.Borrower]; last.boot == ask.Boot && last.sequence == ask.Sequence && ask.Sequence > 0 {
		return last.grant
	}
	l.refill(now, a, limit, around)
	a.note(now, ask)
	l.fill(a, float64(max(0, ask.Returned)), limit, around)
	grant := a.lend(now, ask, limit)
	if grant.Lent < ask.Need {
		a.refusedAt, a.why = now, cause(around)
	}
	if around.Preferred && !a.oneSided { // a substitute may see one side of a cut before it shows
		grant.Share = a.shareOf(now, ask.DataCentre, around.partOfNodes(ask.DataCentre))
	}
	a.answers[ask.Borrower] = answer{ask.Boot, ask.Sequence, grant}
	return grant
}

// account returns the account of a workspace, a new one if there is none.
func (l *Buckets) account(now time.Time, limit workspace.Allowance, around FleetView, ask BorrowRequest) *account {
	a := l.accounts[ask.Workspace]
	if a != nil {
		return a
	}
	a = &account{at: now, demand: map[string]*decaying{}, told: map[string]float64{}, answers: map[string]answer{}}
	l.accounts[ask.Workspace] = a
	if ask.Share > 0 {
		a.told[ask.DataCentre] = ask.Share
	}
	a.portion = a.portionOf(now, around)
	if around.Preferred && !l.justStarted(now) {
		a.level = l.capacity(limit, a.portion) // nobody else lends, and in all of a window nobody has borrowed
		return a
	}
	a.level = l.credit(limit, around, a.portion)
	if !around.Preferred && l.justStarted(now) {
		// It takes over from one that lent on credit in the same window, as that one did
		// from the owner before it: the credits of all may not add up.
		a.owed = a.level
	}
	return a
}

// justStarted reports whether this node has run for less than a window.
func (l *Buckets) justStarted(now time.Time) bool { return now.Sub(l.began) < l.tolerance.Window }

// credit returns what an account starts with whose owner does not know what was lent
// before. A node that hears no other has its part of that.
func (l *Buckets) credit(limit workspace.Allowance, around FleetView, portion float64) float64 {
	credit := creditShare * l.tolerance.of(limit)
	switch {
	case around.Isolated:
		credit *= portion
	case around.Preferred:
		credit = freshShare * l.tolerance.of(limit)
	}
	return max(1, credit)
}

// capacity returns up to how many tokens an account fills.
func (l *Buckets) capacity(limit workspace.Allowance, portion float64) float64 {
	return max(1, portion*(limit.Burst+capShare*l.tolerance.of(limit)))
}

// fill adds tokens to an account as far as its capacity goes. What it started with may be
// more than that, and is not filled up again.
func (l *Buckets) fill(a *account, tokens float64, limit workspace.Allowance, around FleetView) {
	most := l.capacity(limit, a.portion)
	if a.level < most {
		a.level = min(most, a.level+tokens)
	}
	a.level = min(a.level, max(most, l.credit(limit, around, a.portion)))
}

// refill adds the tokens of the time since the last look.
func (l *Buckets) refill(now time.Time, a *account, limit workspace.Allowance, around FleetView) {
	a.limit, a.portion, a.oneSided = limit, a.portionOf(now, around), around.silent()
	if passed := now.Sub(a.at).Seconds(); passed > 0 {
		l.fill(a, a.repay(passed*a.portion*limit.PerSecond), limit, around)
		a.at = now
	}
}

// repay takes what is owed off new tokens, and returns the rest.
func (a *account) repay(tokens float64) float64 {
	paid := min(a.owed, tokens)
	a.owed -= paid
	return tokens - paid
}

// lend takes tokens from the account.
func (a *account) lend(now time.Time, ask BorrowRequest, limit workspace.Allowance) Grant {
	need := min(max(0, ask.Need), max(0, int(a.level)))
	ahead := 0
	if spare := a.level - float64(need) - aheadLevel*a.portion*limit.Burst; need == ask.Need && spare > 0 {
		ahead = min(max(0, ask.Prefetch), int(spare))
	}
	a.level -= float64(need + ahead)
	a.lent.add(now, float64(need+ahead), windowTime)
	if need < ask.Need {
		a.refused.add(now, float64(ask.Need-need), windowTime)
	}
	grant := Grant{Lent: need + ahead}
	if need < ask.Need {
		grant.Wait = a.untilOne(limit)
	}
	return grant
}

// untilOne returns how long it takes until a token is there.
func (a *account) untilOne(limit workspace.Allowance) time.Duration {
	rate := a.portion * limit.PerSecond
	if rate <= 0 {
		return longestWait
	}
	return max(shortestWait, min(longestWait, time.Duration((1-a.level+a.owed)/rate*float64(time.Second))))
}

// longestWait and shortestWait bound what a refusal says of when to come back; datagrams
// carry whole milliseconds.
const (
	longestWait  = 10 * time.Second
	shortestWait = time.Millisecond
)

// sweep drops accounts that nobody borrows from any more.
func (l *Buckets) sweep(now time.Time) {
	if now.Sub(l.swept) < idleAccount/6 {
		return
	}
	l.swept = now
	for name, a := range l.accounts {
		if now.Sub(a.at) > idleAccount {
			delete(l.accounts, name)
		}
	}
}
