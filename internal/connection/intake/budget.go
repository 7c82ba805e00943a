// Package intake bounds what callers occupy at a node: the memory for what they send and do not
// read, and the connections. The bounds hold for all callers together, because limits of one request
// do not bound many.
package intake

import (
	"sync"
	"time"
)

const (
	// reservedPart is the part of a budget that only small reservations may use, so that large requests
	// do not keep small ones out.
	reservedPart = 4
	// smallReservationBytes is the size up to which a reservation is small.
	smallReservationBytes = 64 << 10
	// stallTime is how long a transfer may make no progress before it gives way to others.
	stallTime = time.Second
	// slowBytesPerSecond is the average rate below which a transfer gives way to others.
	slowBytesPerSecond = 16 << 10
)

// Budget is the memory in bytes that callers may occupy together, apart from answers that are there already. A reservation that does not fit takes the
// memory of transfers that have stalled or are slow; while there is room, no transfer is disturbed.
// It is safe for concurrent use.
type Budget struct {
	now      func() time.Time
	counters counters

	mu        sync.Mutex
	limit     int64
	used      int64
	transfers map[*Reservation]struct{} // the reservations that may be revoked
	revoked   int64                     // number of reservations that were
	refused   int64                     // number of times that a reservation did not grow
}

// NewBudget returns a budget of limit bytes; now is the clock that measures progress.
func NewBudget(limit int64, now func() time.Time) *Budget {
	return &Budget{now: now, limit: limit, transfers: map[*Reservation]struct{}{}}
}

// Limit returns the bytes that one reservation may have at most.
func (b *Budget) Limit() int64 { return b.limit - b.limit/reservedPart }

// Usage is what a budget has granted and refused.
type Usage struct {
	Bytes   int64 // held now
	Refused int64 // reservations that did not grow, since the start
	Revoked int64 // reservations that gave way to others, since the start
}

// Usage returns the use of the budget.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Bytes: b.used, Refused: b.refused, Revoked: b.revoked}
}

// Reservation is the part of a budget that one request occupies. While it is a transfer, the budget may
// revoke it: it then counts as returned, and its owner has to drop the memory and end the transfer.
// All methods are safe for concurrent use.
type Reservation struct {
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

// NewReservation returns a reservation of no bytes. revoke is called once if it is revoked, and must not block.
func (b *Budget) NewReservation(revoke func()) *Reservation {
	return &Reservation{budget: b, revoke: revoke}
}

// StartTransfer notes that bytes come or go from now on. The reservation may be revoked until Complete.
func (r *Reservation) StartTransfer() {
	now := r.budget.now()
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.transferring, r.begun, r.progressed, r.moved = true, now, now, 0
	r.budget.list(r)
}

// list adds a reservation to those that may be revoked, if it is one. The caller holds b.mu.
func (b *Budget) list(r *Reservation) {
	if r.transferring && r.held > 0 {
		b.transfers[r] = struct{}{}
	}
}

// Grow adds bytes to the reservation and reports whether there is room for them. Other transfers may be
// revoked for that.
func (r *Reservation) Grow(bytes int64) bool {
	now := r.budget.now()
	ok, victims := r.budget.grow(r, bytes, now)
	for _, v := range victims {
		v.revoke()
	}
	return ok
}

func (b *Budget) grow(r *Reservation, bytes int64, now time.Time) (ok bool, victims []*Reservation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.isRevoked {
		return false, nil
	}
	allowed := b.limit
	if r.held+bytes > smallReservationBytes {
		allowed = b.Limit()
	}
	for b.used+bytes > allowed {
		v := r.chooseVictim(b.transfers, bytes, now)
		if v == nil {
			b.refused++
			return false, victims
		}
		b.drop(v)
		v.isRevoked = true
		b.revoked++
		victims = append(victims, v)
	}
	r.held += bytes
	b.used += bytes
	b.list(r)
	return true, victims
}

// force adds bytes that are held already, whether there is room or not.
func (r *Reservation) force(bytes int64) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if !r.isRevoked {
		r.held += bytes
		r.budget.used += bytes
		r.budget.list(r)
	}
}

// chooseVictim returns the transfer that gives way to a reservation that needs more bytes, nil if none has
// to: the one that has stalled for longest, else the slowest; for a small reservation also the largest of
// over twice its size.
func (r *Reservation) chooseVictim(transfers map[*Reservation]struct{}, bytes int64, now time.Time) *Reservation {
	var stalled, slowest, largest *Reservation
	for v := range transfers {
		if v == r {
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
	size := r.held + bytes
	switch {
	case stalled != nil:
		return stalled
	case slowest != nil:
		return slowest
	case largest != nil && size <= smallReservationBytes && largest.held > 2*size:
		return largest
	}
	return nil
}

// isSlow reports whether the transfer's average rate is too low; a new one has none yet.
func (r *Reservation) isSlow(now time.Time) bool {
	return now.Sub(r.begun) >= stallTime && r.rate(now) < slowBytesPerSecond
}

// rate returns the average rate of the transfer in bytes a second.
func (r *Reservation) rate(now time.Time) float64 {
	return float64(r.moved) / max(now.Sub(r.begun), time.Millisecond).Seconds()
}

// drop returns what a reservation holds. The caller holds b.mu.
func (b *Budget) drop(r *Reservation) {
	b.used -= r.held
	r.held = 0
	delete(b.transfers, r)
}

// Moved notes that the transfer has made progress.
func (r *Reservation) Moved(bytes int) {
	now := r.budget.now()
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.progressed = now
	r.moved += int64(bytes)
}

// Shrink returns some of the reservation's bytes.
func (r *Reservation) Shrink(bytes int64) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	bytes = min(bytes, r.held) // a revoked reservation holds none
	r.held -= bytes
	r.budget.used -= bytes
}

// Complete ends the transfer. The reservation is kept until Release, and is no longer revoked. It reports
// false if it was revoked before.
func (r *Reservation) Complete() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.transferring = false
	delete(r.budget.transfers, r)
	return !r.isRevoked
}

// Held returns the bytes of the reservation.
func (r *Reservation) Held() int64 {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.held
}

// Revoked reports whether the reservation was revoked.
func (r *Reservation) Revoked() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.isRevoked
}

// Release returns all bytes of the reservation.
func (r *Reservation) Release() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.drop(r)
}
