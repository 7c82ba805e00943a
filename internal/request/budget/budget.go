// Package budget bounds retries to a share of accepted traffic, so that a
// failing target cannot multiply the load on the others. It is pure.
package budget

// maxSaved is how many retries a quiet period can save up.
const maxSaved = 20

// Budget is the balance of retries. It is not safe for concurrent use.
type Budget struct {
	share   float64
	balance float64
}

// New returns a budget of share retries per accepted request, with the saved
// maximum at hand.
func New(share float64) *Budget { return &Budget{share: share, balance: maxSaved} }

// RecordAccepted adds what one accepted request earns.
func (b *Budget) RecordAccepted() { b.balance = min(maxSaved, b.balance+b.share) }

// Take spends one retry; false when none is left.
func (b *Budget) Take() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
