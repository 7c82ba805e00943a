// Package intake bounds what callers occupy at a node: the memory for what they send and do not
// read, and the connections. The bounds hold for all callers together, because limits of one request
// do not bound many.
package intake

import (
	"sync"
	"time"
)

const (
	// reservedPart is the part of a budget that only small claims may use, so that large requests
	// do not keep small ones out.
	reservedPart = 4
	// smallClaimBytes is the size up to which a claim is small.
	smallClaimBytes = 64 << 10
	// stallTime is how long a transfer may make no progress before it gives way to others.
	stallTime = time.Second
	// slowBytesPerSecond is the average rate below which a transfer gives way to others.
	slowBytesPerSecond = 16 << 10
)

// Budget is the memory in bytes that callers may occupy together, apart from answers that are there already. A claim that does not fit takes the
// memory of transfers that have stalled or are slow; while there is room, no transfer is disturbed.
// It is safe for concurrent use.
type Budget struct {
	now      func() time.Time
	counters counters

	mu        sync.Mutex
	limit     int64
	used      int64
	transfers map[*Claim]struct{} // the claims that may be revoked
	revoked   int64               // number of claims that were
	refused   int64               // number of times that a claim did not grow
}

// NewBudget returns a budget of limit bytes; now is the clock that measures progress.
func NewBudget(limit int64, now func() time.Time) *Budget {
	return &Budget{now: now, limit: limit, transfers: map[*Claim]struct{}{}}
}

// Limit returns the bytes that one claim may have at most.
func (b *Budget) Limit() int64 { return b.limit - b.limit/reservedPart }

// Usage is what a budget has granted and refused.
type Usage struct {
	Bytes   int64 // held now
	Refused int64 // claims that did not grow, since the start
	Revoked int64 // claims that gave way to others, since the start
}

// Usage returns the use of the budget.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Bytes: b.used, Refused: b.refused, Revoked: b.revoked}
}

// Claim is the part of a budget that one request occupies. While it is a transfer, the budget may
// revoke it: it then counts as returned, and its owner has to drop the memory and end the transfer.
// All methods are safe for concurrent use.
type Claim struct {
	budget *Budget
	revoke func()

	// Guarded by budget.mu.
	held         int64
	transferring bool
	begun        time.Time // when the transfer began
	progressed   time.Time // when its last bytes came
	moved        int64     // bytes of the transfer
	isRevoked    bool
}

// NewClaim returns a claim of no bytes. revoke is called once if it is revoked, and must not block.
func (b *Budget) NewClaim(revoke func()) *Claim { return &Claim{budget: b, revoke: revoke} }

// StartTransfer notes that bytes come or go from now on. The claim may be revoked until Complete.
func (c *Claim) StartTransfer() {
	now := c.budget.now()
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.transferring, c.begun, c.progressed, c.moved = true, now, now, 0
	c.budget.list(c)
}

// list adds a claim to those that may be revoked, if it is one. The caller holds b.mu.
func (b *Budget) list(c *Claim) {
	if c.transferring && c.held > 0 {
		b.transfers[c] = struct{}{}
	}
}

// Grow adds bytes to the claim and reports whether there is room for them. Other transfers may be
// revoked for that.
func (c *Claim) Grow(bytes int64) bool {
	now := c.budget.now()
	ok, victims := c.budget.grow(c, bytes, now)
	for _, v := range victims {
		v.revoke()
	}
	return ok
}

func (b *Budget) grow(c *Claim, bytes int64, now time.Time) (ok bool, victims []*Claim) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.isRevoked {
		return false, nil
	}
	allowed := b.limit
	if c.held+bytes > smallClaimBytes {
		allowed = b.Limit()
	}
	for b.used+bytes > allowed {
		v := c.chooseVictim(b.transfers, bytes, now)
		if v == nil {
			b.refused++
			return false, victims
		}
		b.drop(v)
		v.isRevoked = true
		b.revoked++
		victims = append(victims, v)
	}
	c.held += bytes
	b.used += bytes
	b.list(c)
	return true, victims
}

// force adds bytes that are held already, whether there is room or not.
func (c *Claim) force(bytes int64) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if !c.isRevoked {
		c.held += bytes
		c.budget.used += bytes
		c.budget.list(c)
	}
}

// chooseVictim returns the transfer that gives way to a claim that needs more bytes, nil if none has
// to: the one that has stalled for longest, else the slowest; for a small claim also the largest of
// over twice its size.
func (c *Claim) chooseVictim(transfers map[*Claim]struct{}, bytes int64, now time.Time) *Claim {
	var stalled, slowest, largest *Claim
	for v := range transfers {
		if v == c {
			continue
		}
		if now.Sub(v.progressed) >= stallTime && (stalled == nil || v.progressed.Before(stalled.progressed)) {
			stalled = v
		}
		if v.isSlow(now) && (slowest == nil || v.rate(now) < slowest.rate(now)) {
			slowest = v
		}
		if largest == nil || v.held > largest.held {
			largest = v
		}
	}
	size := c.held + bytes
	switch {
	case stalled != nil:
		return stalled
	case slowest != nil:
		return slowest
	case largest != nil && size <= smallClaimBytes && largest.held > 2*size:
		return largest
	}
	return nil
}

// isSlow reports whether the transfer's average rate is too low; a new one has none yet.
func (c *Claim) isSlow(now time.Time) bool {
	return now.Sub(c.begun) >= stallTime && c.rate(now) < slowBytesPerSecond
}

// rate returns the average rate of the transfer in bytes a second.
func (c *Claim) rate(now time.Time) float64 {
	return float64(c.moved) / max(now.Sub(c.begun), time.Millisecond).Seconds()
}

// drop returns what a claim holds. The caller holds b.mu.
func (b *Budget) drop(c *Claim) {
	b.used -= c.held
	c.held = 0
	delete(b.transfers, c)
}

// Moved notes that the transfer has made progress.
func (c *Claim) Moved(bytes int) {
	now := c.budget.now()
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.progressed = now
	c.moved += int64(bytes)
}

// Shrink returns some of the claim's bytes.
func (c *Claim) Shrink(bytes int64) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	bytes = min(bytes, c.held) // a revoked claim holds none
	c.held -= bytes
	c.budget.used -= bytes
}

// Complete ends the transfer. The claim is kept until Release, and is no longer revoked. It reports
// false if it was revoked before.
func (c *Claim) Complete() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.transferring = false
	delete(c.budget.transfers, c)
	return !c.isRevoked
}

// Held returns the bytes of the claim.
func (c *Claim) Held() int64 {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.held
}

// Revoked reports whether the claim was revoked.
func (c *Claim) Revoked() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.isRevoked
}

// Release returns all bytes of the claim.
func (c *Claim) Release() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.drop(c)
}
