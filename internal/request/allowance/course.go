package allowance

import (
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/process/rendezvous"
)

const (
	// askAgain is how long an answer is awaited before the ask is sent again: five times
	// what two nodes of neighbouring data centres take. An answer that takes longer still
	// counts, and costs datagrams only.
	askAgain = 10 * time.Millisecond
	// asksEach is how often one owner is asked, and ownersAsked how many are, before a node
	// lends to itself alone: at the most 0.2 s after the request came, within an objective of
	// 0.3 s. With 30 of 100 datagrams lost one ask in 30 goes to a second owner; with half of
	// the nodes just killed one in 16 finds none.
	asksEach    = 5
	ownersAsked = 4
)

// Owners returns the nodes that are asked for tokens of a workspace, among those that are
// heard, the first choice first.
func Owners(name string, heard []string) []string { return rendezvous.Rank(name, heard, ownersAsked) }

// PreferredOwner returns the natural owner of a workspace: the first choice among all nodes that
// are registered.
func PreferredOwner(name string, nodes []string) string { return rendezvous.First(name, nodes) }

// Attempts is the way of one ask: whom to send it to, and how long to wait.
type Attempts struct {
	owners []string
	sent   int
}

// NewAttempts returns the way along owners that are heard, at the most to the node itself,
// which knows no better owner than itself then.
func NewAttempts(self string, owners []string) *Attempts {
	if i := slices.Index(owners, self); i >= 0 {
		owners = owners[:i+1]
	}
	return &Attempts{owners: owners}
}

// Next returns the node to send the ask to and how long to wait for its answer. false:
// nobody is left to be asked.
func (c *Attempts) Next() (owner string, wait time.Duration, ok bool) {
	i := c.sent / asksEach
	if i >= len(c.owners) {
		return "", 0, false
	}
	c.sent++
	return c.owners[i], askAgain, true
}

// Skip gives the present owner up, because it can't tell.
func (c *Attempts) Skip() { c.sent = (c.sent + asksEach - 1) / asksEach * asksEach }

// Last reports whether the owner asked last has been asked as often as it is.
func (c *Attempts) Last() bool { return c.sent%asksEach == 0 }
