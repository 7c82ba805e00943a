// Package budget limits retries to a share of the accepted requests, so that a
// failing target cannot multiply the load on the others. It does no I/O and
// reads no clock.
package budget

// maxBalance is the number of retries that accepted requests can accumulate.
const maxBalance = 20

// Budget is a token bucket of retries that accepted requests refill. It is not
// safe for concurrent use.
type Budget struct {
	retriesPerRequest float64
	balance           float64
}

// New returns a full budget that each accepted request refills by
// retriesPerRequest.
func New(retriesPerRequest float64) *Budget {
	return &Budget{retriesPerRequest: retriesPerRequest, balance: maxBalance}
}

// RecordAccepted refills the budget for one accepted request.
func (b *Budget) RecordAccepted() { b.balance = min(maxBalance, b.balance+b.retriesPerRequest) }

// Take takes one retry from the budget; it returns false if none is left.
func (b *Budget) Take() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
