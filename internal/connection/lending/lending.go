// Package lending enforces the allowances (rate limits) of workspaces over all nodes. The
// tokens of a workspace are lent by one node, its owner; a node that accepts a request
// borrows tokens from the owner by datagrams. Package allowance decides which node owns
// what, how much is lent and which node to ask next.
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
	// unresponsiveAfter is how much older than the last datagram from its data centre the
	// last one from a node has to be for the node to count as unresponsive; in a network
	// partition both stop together. Meanwhile a node that is alive answers a probe each
	// probeInterval: with 30 of 100 datagrams lost, one of eight answers still arrives in
	// 995 of 1,000 cases.
	unresponsiveAfter = 250 * time.Millisecond
	probeInterval     = 30 * time.Millisecond
	// exceedsInterval is the least time between two reports that a workspace exceeds its allowance.
	exceedsInterval = 10 * time.Second
	// suspectFor is how long an owner that did not answer is skipped.
	suspectFor = time.Second
)

// Fleet is the view of the fleet's nodes that an exchange needs.
type Fleet interface {
	// Owners returns the nodes to borrow tokens of a workspace from, in order of
	// preference, among the reachable nodes that are not skipped.
	Owners(name string, skip func(node string) bool) []Lender
	// PreferredOwner returns the first in that order among all nodes, reachable or not.
	PreferredOwner(name string) Lender
	// Nodes returns how many nodes each data centre has.
	Nodes() map[string]int
	// Reachable reports whether another data centre is reachable, and LastReceived returns
	// when a datagram from it was last received.
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
	// Limit returns the allowance of a workspace in force; false: the workspace is not known.
	Limit     func(name string) (workspace.Allowance, bool)
	Tolerance allowance.Tolerance
	Metrics   tally.Scope
	// SharedView reports whether the shared view is on: refused requests get places in line. nil:
	// never.
	SharedView func() bool
	// Random returns a number between 0 and 1 that spreads the Retry-After of callers without
	// a place in line. nil: it is not spread.
	Random func() float64
	// Exceeds is called when this node, as the owner, first states that a workspace exceeds its
	// allowance, and at most once in exceedsInterval for each. It must not block. nil: never.
	Exceeds func(name string, limit workspace.Allowance, used int)
}

// Exchange borrows tokens for this node's requests, and lends tokens of the workspaces that
// this node owns. It is safe for concurrent use.
type Exchange struct {
	Options
	conn atomic.Pointer[net.PacketConn] // nil before Run

	mu           sync.Mutex
	buckets      *allowance.Buckets
	balances     *allowance.Balances
	sequence     uint64
	pending      map[string]*pending  // borrow requests in progress, by workspace
	waiting      map[string]int       // requests that wait for a token, by workspace
	counted      map[string]bool      // workspaces with counters of their own
	exceedsAt    map[string]time.Time // when it was last reported that a workspace exceeds its allowance
	lastReceived map[string]time.Time // when a datagram from a node was last received
	lastProbed   map[string]time.Time // when a node was last probed
	suspectUntil map[string]time.Time // until when an owner that did not answer is skipped
}

// pending is a borrow request in progress. Requests of the workspace that arrive meanwhile
// wait for it.
type pending struct {
	sequence uint64
	grants   chan grantReply
	done     chan struct{}
}

// New returns an exchange; Run starts it.
func New(o Options) *Exchange {
	return &Exchange{Options: o, buckets: allowance.NewBuckets(o.Now(), o.Tolerance), balances: allowance.NewBalances(), pending: map[string]*pending{}, waiting: map[string]int{}, counted: map[string]bool{}, exceedsAt: map[string]time.Time{},
		lastReceived: map[string]time.Time{}, lastProbed: map[string]time.Time{}, suspectUntil: map[string]time.Time{}}
}

// Take is TakeFor for a request whose caller stated no time limit.
func (x *Exchange) Take(ctx context.Context, w *workspace.Workspace) error {
	return x.TakeFor(ctx, w, 0)
}

// TakeFor takes a token for a request of a workspace, and borrows tokens if this node has none. left
// is the time limit that the request's caller stated, 0 if it stated none. The error is of errkind,
// and says when to retry.
func (x *Exchange) TakeFor(ctx context.Context, w *workspace.Workspace, left time.Duration) error {
	if !allowance.NeedsToken(w) {
		return nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.balances.Arrived(x.Now(), w.Name)
	x.waiting[w.Name]++
	defer x.stopWaiting(w.Name)
	for {
		answer, wait := x.balances.Take(x.Now(), w.Name)
		if x.shared() {
			x.count(w.Name, answer)
		}
		switch answer {
		case allowance.Taken:
			return nil
		case allowance.Refused:
			x.Metrics.Counter("allowance_refused").Inc(1)
			if x.shared() {
				return x.refusal(w, allowance.RetryAfter(wait, left, x.random()))
			}
			return errkind.WithRetryAfter(errkind.RateLimited.New("workspace %s exceeds its allowance of %g requests a second with a burst of %g; the next token is expected in %v",
				w.Name, w.Allowance.PerSecond, w.Allowance.Burst, wait.Round(time.Millisecond)), wait)
		case allowance.Unanswered:
			return errkind.WithRetryAfter(errkind.PlatformUnavailable.New("no node that lends for workspace %s answers", w.Name), wait)
		}
		p := x.startOrJoin(w.Name)
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

// stopWaiting notes that a request no longer waits. The caller holds x.mu.
func (x *Exchange) stopWaiting(name string) {
	x.waiting[name]--
	if x.waiting[name] == 0 {
		delete(x.waiting, name)
	}
}

// refusal returns the error for a request without a token while the shared view is on. The
// caller holds x.mu.
func (x *Exchange) refusal(w *workspace.Workspace, wait time.Duration) error {
	window := x.Tolerance.Window.Seconds()
	return errkind.WithRetryAfter(errkind.RateLimited.New("workspace %s exceeds its allowance of %g requests a second with a burst of %g: it was given %d tokens of %g in the last %g s; the caller's turn comes in %v",
		w.Name, w.Allowance.PerSecond, w.Allowance.Burst, x.balances.Used(w.Name), w.Allowance.PerSecond*window+w.Allowance.Burst, window, wait.Round(time.Millisecond)), wait)
}

func (x *Exchange) shared() bool { return x.SharedView != nil && x.SharedView() }

func (x *Exchange) random() float64 {
	if x.Random == nil {
		return 1
	}
	return x.Random()
}

// Exceeding reports whether the owner stated within the last second, and not otherwise since,
// that a workspace asks for more than its allowance. It is false while the shared view is off.
func (x *Exchange) Exceeding(name string) bool {
	if !x.shared() {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.balances.Exceeding(x.Now(), name)
}

const (
	// maxCounted is the number of workspaces with counters of their own. Of 5,700 workspaces
	// a few are large; the others share the counters of otherWorkspaces.
	maxCounted      = 64
	otherWorkspaces = "others"
)

// count counts the decision on a request by workspace. The caller holds x.mu.
func (x *Exchange) count(name string, d allowance.Decision) {
	if d == allowance.MustBorrow {
		return
	}
	if !x.counted[name] && len(x.counted) < maxCounted {
		x.counted[name] = true
	}
	if !x.counted[name] {
		name = otherWorkspaces
	}
	decision := "refused"
	if d == allowance.Taken {
		decision = "admitted"
	}
	x.Metrics.Tagged(map[string]string{"workspace": name, "decision": decision}).Counter("allowance_requests").Inc(1)
}

// maxReturnDelay is how long after it was taken a token may come back while the shared view is off. An
// owner's bucket does not know when it lent a token: one that comes back late would be lent once more to
// requests of a window in which it counts once.
const maxReturnDelay = 100 * time.Millisecond

// Return gives back the token of a request that was sent to no target.
func (x *Exchange) Return(w *workspace.Workspace) { x.ReturnAfter(w, 0) }

// ReturnAfter is Return for a request that had the token for a time.
func (x *Exchange) ReturnAfter(w *workspace.Workspace, held time.Duration) {
	if !allowance.NeedsToken(w) || (held > maxReturnDelay && !x.shared()) {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.balances.Return(x.Now(), w.Name)
}

// startOrJoin returns the borrow request in progress for a workspace, and starts one if
// there is none. The caller holds x.mu.
func (x *Exchange) startOrJoin(name string) *pending {
	p := x.pending[name]
	if p == nil {
		x.sequence++
		p = &pending{sequence: x.sequence, grants: make(chan grantReply, 1), done: make(chan struct{})}
		x.pending[name] = p
		go x.runRequest(name, p)
	}
	return p
}

// runRequest borrows the tokens that a workspace's waiting requests need, from the first
// owner that answers.
func (x *Exchange) runRequest(name string, p *pending) {
	x.mu.Lock()
	if delay := x.askDelay(name); delay > 0 {
		x.mu.Unlock()
		time.Sleep(delay)
		x.mu.Lock()
	}
	owners := x.Fleet.Owners(name, x.suspected)
	request := x.balances.Request(x.Now(), name, x.waiting[name])
	x.mu.Unlock()
	request.Borrower, request.Boot, request.Sequence, request.DataCentre = x.Node, x.Boot, p.sequence, x.DataCentre
	var grant allowance.Grant
	answered := false
	if request.Need > 0 { // else all requests that waited are cancelled
		grant, answered = x.borrow(owners, request, p)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if request.Need > 0 {
		x.applyGrant(request, grant, answered)
	}
	delete(x.pending, name)
	close(p.done)
}

// applyGrant adds the tokens of a grant to this node's balance. When no owner answered, the
// node lends to itself. The caller holds x.mu.
func (x *Exchange) applyGrant(request allowance.BorrowRequest, grant allowance.Grant, answered bool) {
	if !answered {
		x.Metrics.Counter("allowance_unanswered").Inc(1)
		grant = x.lend(request, true)
	}
	if x.shared() {
		x.balances.GrantedInLine(x.Now(), request.Workspace, grant, request.Need, !answered)
		return
	}
	x.balances.Granted(x.Now(), request.Workspace, grant, !answered)
}

// askDelay returns how long to wait before the owner is asked again. The caller holds x.mu.
func (x *Exchange) askDelay(name string) time.Duration {
	if !x.shared() {
		return 0
	}
	return x.balances.AskDelay(x.Now(), name)
}

// borrow sends a borrow request to one owner after another, with retries, until one
// answers.
func (x *Exchange) borrow(owners []Lender, request allowance.BorrowRequest, p *pending) (allowance.Grant, bool) {
	lenders := make(map[string]Lender, len(owners))
	names := make([]string, len(owners))
	for i, owner := range owners {
		names[i], lenders[owner.Node] = owner.Node, owner
	}
	attempts := allowance.NewAttempts(x.Node, names)
	for {
		owner, wait, ok := attempts.Next()
		if !ok {
			return allowance.Grant{}, false
		}
		if owner == x.Node {
			x.mu.Lock()
			grant := x.lend(request, false)
			x.mu.Unlock()
			return grant, true
		}
		x.sendRequest(lenders[owner], request)
		timer := time.NewTimer(wait)
		select {
		case reply := <-p.grants:
			timer.Stop()
			if !reply.unsure {
				return reply.Grant, true
			}
			attempts.Skip()
		case <-timer.C:
			if attempts.Last() {
				x.suspect(owner)
			}
		}
	}
}

// lend answers a borrow request from this node's token buckets; isolated: no owner answered
// this node's own request. The caller holds x.mu.
func (x *Exchange) lend(request allowance.BorrowRequest, isolated bool) allowance.Grant {
	limit, ok := x.Limit(request.Workspace)
	if !ok {
		return allowance.Grant{Wait: time.Second} // the workspace was removed from the configuration
	}
	grant := x.buckets.Lend(x.Now(), limit, x.fleetView(request.Workspace, isolated), request)
	if grant.Exceeding {
		x.reportExceeding(request.Workspace, limit, grant.Used)
	}
	return grant
}

// reportExceeding reports that a workspace exceeds its allowance. The caller holds x.mu.
func (x *Exchange) reportExceeding(name string, limit workspace.Allowance, used int) {
	now := x.Now()
	if at, reported := x.exceedsAt[name]; x.Exceeds == nil || (reported && now.Sub(at) < exceedsInterval) {
		return
	}
	x.exceedsAt[name] = now
	x.Exceeds(name, limit, used)
}

// fleetView returns the view of the fleet on which a grant is based. The caller holds x.mu.
func (x *Exchange) fleetView(name string, isolated bool) allowance.FleetView {
	view := allowance.FleetView{Isolated: isolated, Nodes: x.Fleet.Nodes(), Reachable: map[string]bool{}, Shared: x.shared()}
	for dc := range view.Nodes {
		view.Reachable[dc] = dc == x.DataCentre || x.Fleet.Reachable(dc)
	}
	preferred := x.Fleet.PreferredOwner(name)
	view.Preferred = preferred.Node == x.Node
	if !view.Preferred && !isolated {
		view.PreferredReachable = x.isResponsive(preferred)
	}
	return view
}

// isResponsive probes a node and reports whether it counts as responsive. A node does until
// it has had time to answer, and longer while no datagram from its data centre arrives
// either. The caller holds x.mu.
func (x *Exchange) isResponsive(owner Lender) bool {
	reference := x.Now()
	if owner.DataCentre != x.DataCentre {
		if !x.Fleet.Reachable(owner.DataCentre) {
			return false // partitioned off: what it may lend there is left to it
		}
		if owner.ForCentre {
			return true
		}
		reference = x.Fleet.LastReceived(owner.DataCentre)
	}
	now, node := x.Now(), owner.Node
	if now.Sub(x.lastProbed[node]) >= unresponsiveAfter {
		x.lastReceived[node] = now
	}
	if now.Sub(x.lastProbed[node]) >= probeInterval {
		x.lastProbed[node] = now
		x.sendRequest(owner, allowance.BorrowRequest{Borrower: x.Node, Boot: x.Boot, DataCentre: x.DataCentre})
	}
	return reference.Sub(x.lastReceived[node]) < unresponsiveAfter
}

// suspect has an owner that did not answer skipped for suspectFor.
func (x *Exchange) suspect(node string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.suspectUntil[node] = x.Now().Add(suspectFor)
}

// suspected reports whether a node did not answer within the last suspectFor. The caller
// holds x.mu.
func (x *Exchange) suspected(node string) bool { return x.Now().Before(x.suspectUntil[node]) }
