package objects

import (
	"sync"
	"time"
)

// Health is what the calls of one client say of the store. It is safe for
// concurrent use.
type Health struct {
	now      func() time.Time
	onChange func(up bool, after time.Duration)

	mu    sync.Mutex
	up    bool
	since time.Time     // of the present state
	took  time.Duration // of the newest answer known, here or at another node
	at    time.Time     // when that answer came
}

// latencyFor is how long an answer says how slow the store is: a few rounds of
// the questions by which copies are kept new.
const latencyFor = 3 * time.Second

// RecordLatency takes how long an answer of the store took.
func (h *Health) RecordLatency(took time.Duration) { h.ReceiveLatency(took, 0) }

// ReceiveLatency takes how long an answer took that came, here or at another node, an age
// ago.
func (h *Health) ReceiveLatency(took, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at := h.now().Add(-age); at.After(h.at) {
		h.took, h.at = took, at
	}
}

// Latency returns how long the newest answer known took, and its age; took is 0
// when none of late is known.
func (h *Health) Latency() (took, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	age = h.now().Sub(h.at)
	if age > latencyFor {
		return 0, 0
	}
	return h.took, age
}

// NewHealth returns the health of a store that is taken to be up. onChange is
// told each change with the time that the state before lasted.
func NewHealth(now func() time.Time, onChange func(up bool, after time.Duration)) *Health {
	return &Health{now: now, onChange: onChange, up: true, since: now()}
}

// Up reports whether the newest call was answered.
func (h *Health) Up() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.up
}

// RecordOutcome takes the outcome of a call: whether the store answered it at all.
func (h *Health) RecordOutcome(answered bool) {
	h.mu.Lock()
	now := h.now()
	changed := h.up != answered
	lasted := now.Sub(h.since)
	if changed {
		h.up, h.since = answered, now
	}
	h.mu.Unlock()
	if changed {
		h.onChange(answered, lasted)
	}
}
