package objects

import (
	"sync"
	"time"
)

// Health tracks whether the object store serves the calls of one client, and its latency.
// It is safe for concurrent use.
type Health struct {
	now      func() time.Time
	onChange func(up bool, after time.Duration)

	mu         sync.Mutex
	up         bool
	stateSince time.Time     // when up last changed
	latency    time.Duration // of the newest response known, to this node or to another
	measuredAt time.Time     // when that response arrived
	resumedAt  time.Time     // when the first response after a silence was known
	servedOnly bool          // see SetServedOnly
}

// Silence is the time without a known response after which the store counts as silent. Some
// node queries it several times a second, and others learn of the response within half a
// second.
const Silence = 1500 * time.Millisecond

// SetServedOnly sets whether responses that refuse a call as overloaded leave the latency as
// it is: it then tells whether the store serves any node.
func (h *Health) SetServedOnly(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.servedOnly = on
}

// RecordResponse records the latency of a response to this node, and whether the store served
// the call.
func (h *Health) RecordResponse(took time.Duration, served bool) {
	h.mu.Lock()
	ignored := h.servedOnly && !served
	h.mu.Unlock()
	if !ignored {
		h.RecordLatency(took)
	}
	h.RecordOutcome(served)
}

// ResumedSince reports whether, at a time after since, the first response after a silence was
// known, to this node or to another.
func (h *Health) ResumedSince(since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.resumedAt.After(since)
}

// latencyValidFor is how long a latency counts as current: a few rounds of the polls
// that keep the cached copies fresh.
const latencyValidFor = 3 * time.Second

// RecordLatency records the latency of a response to this node.
func (h *Health) RecordLatency(took time.Duration) { h.ReceiveLatency(took, 0) }

// ReceiveLatency records the latency of a response, to this node or to another, that
// arrived age ago. Older responses than the newest known are ignored.
func (h *Health) ReceiveLatency(took, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := h.now().Add(-age)
	if !at.After(h.measuredAt) {
		return
	}
	if at.Sub(h.measuredAt) > Silence && !h.measuredAt.IsZero() {
		h.resumedAt = h.now()
	}
	h.latency, h.measuredAt = took, at
}

// Latency returns the latency of the newest response known and its age; took is 0
// if that is older than latencyValidFor.
func (h *Health) Latency() (took, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	age = h.now().Sub(h.measuredAt)
	if age > latencyValidFor {
		return 0, 0
	}
	return h.latency, age
}

// NewHealth returns the health of a store that is up at first. onChange is called at
// each change with how long the previous state lasted.
func NewHealth(now func() time.Time, onChange func(up bool, after time.Duration)) *Health {
	return &Health{now: now, onChange: onChange, up: true, stateSince: now()}
}

// Up reports whether the store served the newest call.
func (h *Health) Up() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.up
}

// RecordOutcome records whether the store served a call: it responded and did not refuse
// the call as overloaded.
func (h *Health) RecordOutcome(served bool) {
	h.mu.Lock()
	now := h.now()
	changed := h.up != served
	lasted := now.Sub(h.stateSince)
	if changed {
		h.up, h.stateSince = served, now
	}
	h.mu.Unlock()
	if changed {
		h.onChange(served, lasted)
	}
}
