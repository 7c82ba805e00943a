package allowance

import (
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/process/rendezvous"
)

const (
	// resendInterval is the time after which an unanswered request is sent again: five times
	// the round trip between two nodes of neighbouring data centres. A later answer still
	// counts, and costs only datagrams.
	resendInterval = 10 * time.Millisecond
	// sendsPerOwner is how often a request is sent to one owner, and maxOwners to how many
	// owners, before a node lends to itself: at most 0.2 s after the caller's request arrived.
	// With 30 of 100 datagrams lost, one request in 30 goes to a
	// second owner; with half of the nodes just killed, one in 16 finds no owner.
	sendsPerOwner = 5
	maxOwners     = 4
)

// Owners returns the nodes from which tokens of a workspace are borrowed, among the reachable
// ones, in rendezvous order.
func Owners(name string, reachable []string) []string {
	return rendezvous.Rank(name, reachable, maxOwners)
}

// PreferredOwner returns the preferred owner of a workspace: the first of all registered nodes
// in rendezvous order.
func PreferredOwner(name string, nodes []string) string { return rendezvous.First(name, nodes) }

// Attempts is the sequence of sends of one BorrowRequest.
type Attempts struct {
	owners []string
	sent   int
}

// NewAttempts returns the sends to the reachable owners. They end with the node itself if it
// is among the owners, since it then knows no better one.
func NewAttempts(self string, owners []string) *Attempts {
	if i := slices.Index(owners, self); i >= 0 {
		owners = owners[:i+1]
	}
	return &Attempts{owners: owners}
}

// Next returns the node to which the request is sent next and how long to wait for its
// answer; ok is false if no owner is left.
func (a *Attempts) Next() (owner string, wait time.Duration, ok bool) {
	i := a.sent / sendsPerOwner
	if i >= len(a.owners) {
		return "", 0, false
	}
	a.sent++
	return a.owners[i], resendInterval, true
}

// Skip goes on to the next owner, because the current one can't answer.
func (a *Attempts) Skip() { a.sent = (a.sent + sendsPerOwner - 1) / sendsPerOwner * sendsPerOwner }

// Last reports whether no further sends to the current owner are left.
func (a *Attempts) Last() bool { return a.sent%sendsPerOwner == 0 }
