package allowance

import (
	"time"

	"github.com/marblepond/marblepond/internal/version/workspace"
)

const (
	// lotTime is for how long ahead tokens are borrowed, and lapseTime after which they
	// lapse: a node with ten requests a second of a workspace asks four times, and one
	// with fewer for each request.
	lotTime   = 250 * time.Millisecond
	lapseTime = 2 * lotTime
	// refusedTime is how long a node refuses by itself after an owner had too little to lend.
	// The owner's account fills meanwhile, and holds more than that; asks for what is over
	// the allowance are bounded by it to ten a second and node.
	refusedTime = 100 * time.Millisecond
	// arrivalTime is the time over which a node averages how often requests come.
	arrivalTime = time.Second
	// backTime is how old tokens may be that are given back.
	backTime = 2 * time.Second
	// idleLot is how long a node remembers a workspace that sends it nothing.
	idleLot = time.Minute
)

// Decision says whether a request has its token.
type Decision int

// The answers.
const (
	MustBorrow Decision = iota // the owner is to be asked
	Taken
	Refused
	// Unanswered: no owner answered, and the node's own part of the allowance is used up.
	Unanswered
)

// Balances keeps the lots that one node has borrowed. It is not safe for concurrent use.
type Balances struct {
	lots  map[string]*lot
	swept time.Time
}

// lot is what a node has of one workspace.
type lot struct {
	left     int
	lapses   time.Time
	refused  time.Time // until then requests are refused without asking
	alone    bool      // because no owner answered
	back     int       // tokens that were not used and are to be given back
	backAt   time.Time // when the last of them was
	arrivals decaying
	share    float64 // of the own data centre in the demand, as an owner told it
}

// NewBalances returns an empty purse.
func NewBalances() *Balances { return &Balances{lots: map[string]*lot{}} }

// Arrived notes a request of a workspace, before its first Take.
func (p *Balances) Arrived(now time.Time, name string) {
	p.sweep(now)
	p.lot(name).arrivals.add(now, 1, arrivalTime)
}

// Take takes a token for a request. wait tells, of a refusal, when to come back.
func (p *Balances) Take(now time.Time, name string) (answer Decision, wait time.Duration) {
	l := p.lot(name)
	l.lapse(now)
	switch {
	case l.left > 0:
		l.left--
		return Taken, 0
	case now.Before(l.refused) && l.alone:
		return Unanswered, l.refused.Sub(now)
	case now.Before(l.refused):
		return Refused, l.refused.Sub(now)
	}
	return MustBorrow, 0
}

// Return gives back the token of a request that no target got.
func (p *Balances) Return(now time.Time, name string) {
	l := p.lot(name)
	l.lapse(now)
	if l.left > 0 {
		l.left++
		return
	}
	l.giveBack(now, 1)
}

// Request returns what to ask the owner for when so many requests wait. What it gives back
// is given back once.
func (p *Balances) Request(now time.Time, name string, waiting int) BorrowRequest {
	l := p.lot(name)
	l.lapse(now)
	ask := BorrowRequest{Workspace: name, Need: waiting, Share: l.share}
	perSecond := l.arrivals.value(now, arrivalTime) / arrivalTime.Seconds()
	ask.Prefetch = max(0, int(perSecond*lotTime.Seconds())-waiting)
	if now.Sub(l.backAt) < backTime {
		ask.Returned = l.back
	}
	l.back = 0
	return ask
}

// Granted takes an owner's answer; alone: none answered, and the node lent to itself.
func (p *Balances) Granted(now time.Time, name string, g Grant, alone bool) {
	l := p.lot(name)
	l.lapse(now)
	l.left += g.Lent
	l.lapses = now.Add(lapseTime)
	if g.Share > 0 {
		l.share = g.Share
	}
	if g.Wait > 0 { // those that got nothing of the lot would wait in vain
		l.refused, l.alone = now.Add(max(refusedTime, g.Wait)), alone
	}
}

// lapse ends a lot whose time is over; what is left of it goes back.
func (l *lot) lapse(now time.Time) {
	if l.left > 0 && now.After(l.lapses) {
		l.giveBack(now, l.left)
		l.left = 0
	}
}

func (l *lot) giveBack(now time.Time, n int) {
	if now.Sub(l.backAt) >= backTime {
		l.back = 0
	}
	l.back += n
	l.backAt = now
}

func (p *Balances) lot(name string) *lot {
	l := p.lots[name]
	if l == nil {
		l = &lot{}
		p.lots[name] = l
	}
	return l
}

// sweep forgets workspaces that send this node nothing any more.
func (p *Balances) sweep(now time.Time) {
	if now.Sub(p.swept) < idleLot/6 {
		return
	}
	p.swept = now
	for name, l := range p.lots {
		if now.Sub(l.arrivals.at) > idleLot {
			delete(p.lots, name)
		}
	}
}

// NeedsToken reports whether requests of a workspace need a token at all.
func NeedsToken(w *workspace.Workspace) bool { return w != nil && w.Allowance.Limited() }
