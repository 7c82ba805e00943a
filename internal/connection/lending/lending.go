// Package lending carries tokens of workspaces' allowances between nodes, by datagrams:
// a node that takes a request on asks the owner of the workspace's allowance. Who
// owns what, how much is lent and whom to ask next is decided by package allowance.
package lending

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/request/allowance"
	"github.com/marblepond/marblepond/internal/version/workspace"
)

const (
	// deadAfter is how much longer than a node its data centre has to be heard until the
	// node counts as lost; a cut makes both fall silent together. Of a node that lives one
	// datagram comes each probePause meanwhile, and with 30 of 100 lost still one of eight
	// in 995 of 1,000 cases.
	deadAfter  = 250 * time.Millisecond
	probePause = 30 * time.Millisecond
	// suspectFor is how long an owner that did not answer is not asked first.
	suspectFor = time.Second
)

// Fleet is what an exchange needs to know of the nodes.
type Fleet interface {
	// Owners returns whom to ask for tokens of a workspace, among the nodes that are heard
	// and not to be skipped, the first choice first.
	Owners(name string, skip func(node string) bool) []Lender
	// PreferredOwner returns the first choice among all nodes, heard or not.
	PreferredOwner(name string) Lender
	// Nodes returns how many nodes each data centre has.
	Nodes() map[string]int
	// Reachable reports whether another data centre is heard, and LastReceived when it last was.
	Reachable(dataCentre string) bool
	LastReceived(dataCentre string) time.Time
}

// Options configures an exchange.
type Options struct {
	Node       string
	DataCentre string
	Boot       int64 // Unix microseconds at process start
	Now        func() time.Time
	Fleet      Fleet
	// Limit returns the allowance of a workspace in force; false: it is not known.
	Limit     func(name string) (workspace.Allowance, bool)
	Tolerance allowance.Tolerance
	Metrics   tally.Scope
}

// Exchange borrows tokens for this node's requests and lends those that it owns. It is
// safe for concurrent use.
type Exchange struct {
	Options
	conn atomic.Pointer[net.PacketConn] // nil before Run

	mu       sync.Mutex
	ledger   *allowance.Buckets
	purse    *allowance.Balances
	sequence uint64
	pending  map[string]*pending  // asks under way, by workspace
	waiting  map[string]int       // requests that wait for a token, by workspace
	lived    map[string]time.Time // when a datagram of a node last came
	probed   map[string]time.Time // when a node was last asked for one
	suspects map[string]time.Time // until when an owner that didn't answer is not asked first
}

// pending is an ask under way. Requests that come while it is wait for it.
type pending struct {
	sequence uint64
	grants   chan grantFrom
	done     chan struct{}
}

// New returns an exchange; Run starts it.
func New(o Options) *Exchange {
	return &Exchange{Options: o, ledger: allowance.NewBuckets(o.Now(), o.Tolerance), purse: allowance.NewBalances(), pending: map[string]*pending{}, waiting: map[string]int{},
		lived: map[string]time.Time{}, probed: map[string]time.Time{}, suspects: map[string]time.Time{}}
}

// Take takes a token for a request of a workspace, and asks for one if need be. The error
// is of errkind: it says when there is room.
func (x *Exchange) Take(ctx context.Context, w *workspace.Workspace) error {
	if !allowance.NeedsToken(w) {
		return nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.purse.Arrived(x.Now(), w.Name)
	x.waiting[w.Name]++
	defer x.leave(w.Name)
	for {
		answer, wait := x.purse.Take(x.Now(), w.Name)
		switch answer {
		case allowance.Taken:
			return nil
		case allowance.Refused:
			x.Metrics.Counter("allowance_refused").Inc(1)
			return errkind.WithRetryAfter(errkind.RateLimited.New("workspace %s is over its %g requests a second with %g at once; the next one is expected in %v",
				w.Name, w.Allowance.PerSecond, w.Allowance.Burst, wait.Round(time.Millisecond)), wait)
		case allowance.Unanswered:
			return errkind.WithRetryAfter(errkind.PlatformUnavailable.New("no node that lends for workspace %s answers", w.Name), wait)
		}
		p := x.join(w.Name)
		x.mu.Unlock()
		select {
		case <-p.done:
		case <-ctx.Done():
		}
		x.mu.Lock()
		if ctx.Err() != nil {
			return errkind.Cancelled.New("the caller went away before the request was sent")
		}
	}
}

// leave notes that a request waits no longer. The caller holds x.mu.
func (x *Exchange) leave(name string) {
	x.waiting[name]--
	if x.waiting[name] == 0 {
		delete(x.waiting, name)
	}
}

// Return gives back the token of a request that no target got.
func (x *Exchange) Return(w *workspace.Workspace) {
	if !allowance.NeedsToken(w) {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.purse.Return(x.Now(), w.Name)
}

// join returns the ask under way for a workspace, and begins one if there is none. The
// caller holds x.mu.
func (x *Exchange) join(name string) *pending {
	p := x.pending[name]
	if p == nil {
		x.sequence++
		p = &pending{sequence: x.sequence, grants: make(chan grantFrom, 1), done: make(chan struct{})}
		x.pending[name] = p
		go x.ask(name, p)
	}
	return p
}

// ask borrows what is needed, from the first owner that answers.
func (x *Exchange) ask(name string, p *pending) {
	x.mu.Lock()
	owners := x.Fleet.Owners(name, x.suspected)
	ask := x.purse.Request(x.Now(), name, x.waiting[name])
	x.mu.Unlock()
	ask.Borrower, ask.Boot, ask.Sequence, ask.DataCentre = x.Node, x.Boot, p.sequence, x.DataCentre
	var grant allowance.Grant
	answered := false
	if ask.Need > 0 { // else all that waited have gone away
		grant, answered = x.borrow(owners, ask, p)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if ask.Need > 0 {
		x.granted(ask, grant, answered)
	}
	delete(x.pending, name)
	close(p.done)
}

// granted takes the answer to an ask, or lends in place of owners that do not answer. The
// caller holds x.mu.
func (x *Exchange) granted(ask allowance.BorrowRequest, grant allowance.Grant, answered bool) {
	if !answered {
		x.Metrics.Counter("allowance_unanswered").Inc(1)
		grant = x.lend(ask, true)
	}
	x.purse.Granted(x.Now(), ask.Workspace, grant, !answered)
}

// borrow sends an ask along its course.
func (x *Exchange) borrow(owners []Lender, ask allowance.BorrowRequest, p *pending) (allowance.Grant, bool) {
	lenders := make(map[string]Lender, len(owners))
	names := make([]string, len(owners))
	for i, owner := range owners {
		names[i], lenders[owner.Node] = owner.Node, owner
	}
	course := allowance.NewAttempts(x.Node, names)
	for {
		owner, wait, ok := course.Next()
		if !ok {
			return allowance.Grant{}, false
		}
		if owner == x.Node {
			x.mu.Lock()
			grant := x.lend(ask, false)
			x.mu.Unlock()
			return grant, true
		}
		x.sendAsk(lenders[owner], ask)
		timer := time.NewTimer(wait)
		select {
		case got := <-p.grants:
			timer.Stop()
			if !got.unsure {
				return got.Grant, true
			}
			course.Skip()
		case <-timer.C:
			if course.Last() {
				x.suspect(owner)
			}
		}
	}
}

// lend answers an ask from this node's own ledger. The caller holds x.mu.
func (x *Exchange) lend(ask allowance.BorrowRequest, alone bool) allowance.Grant {
	limit, ok := x.Limit(ask.Workspace)
	if !ok {
		return allowance.Grant{Wait: time.Second} // it was taken out of the configuration
	}
	return x.ledger.Lend(x.Now(), limit, x.around(ask.Workspace, alone), ask)
}

// around returns what this node knows of the fleet as it lends. The caller holds x.mu.
func (x *Exchange) around(name string, alone bool) allowance.FleetView {
	around := allowance.FleetView{Isolated: alone, Nodes: x.Fleet.Nodes(), Reachable: map[string]bool{}}
	for dc := range around.Nodes {
		around.Reachable[dc] = dc == x.DataCentre || x.Fleet.Reachable(dc)
	}
	natural := x.Fleet.PreferredOwner(name)
	around.Preferred = natural.Node == x.Node
	if !around.Preferred && !alone {
		around.PreferredReachable = x.lives(natural)
	}
	return around
}

// lives reports whether a node is taken to live, and asks it for a datagram. It is until
// it had the time to answer, and longer while its data centre is silent too. The caller
// holds x.mu.
func (x *Exchange) lives(owner Lender) bool {
	heard := x.Now()
	if owner.DataCentre != x.DataCentre {
		if !x.Fleet.Reachable(owner.DataCentre) {
			return false // it is cut off, and what it may lend there is left to it
		}
		if owner.ForCentre {
			return true
		}
		heard = x.Fleet.LastReceived(owner.DataCentre)
	}
	now, node := x.Now(), owner.Node
	if now.Sub(x.probed[node]) >= deadAfter {
		x.lived[node] = now
	}
	if now.Sub(x.probed[node]) >= probePause {
		x.probed[node] = now
		x.sendAsk(owner, allowance.BorrowRequest{Borrower: x.Node, Boot: x.Boot, DataCentre: x.DataCentre})
	}
	return heard.Sub(x.lived[node]) < deadAfter
}

// suspect notes that an owner did not answer.
func (x *Exchange) suspect(node string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.suspects[node] = x.Now().Add(suspectFor)
}

// suspected reports whether a node did not answer of late. The caller holds x.mu.
func (x *Exchange) suspected(node string) bool { return x.Now().Before(x.suspects[node]) }
